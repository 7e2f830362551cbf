"""A planner is killed while a minion answers no calls, but carries them out and works on."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

PREFIX = "/lohu930/"
# Twice the longest time for which the site file lets minions fail their requests.
MUTE_S = 13.0
WORK_S = 25


async def case(system, trouble):
    record, world = system.record, system.world
    await system.begin([standins.queue("r-1", PREFIX, 1, 4)])
    minions = [standins.Minion(world, machine, f"i-{machine.name}") for machine in system.agents]
    for minion in minions:
        await minion.open()
    await asyncio.sleep(3)
    minion, machine = minions[0], system.agents[0]
    # The data of the task are near the first machine, so that it starts there.
    step = {"count": 1, "cpu": 15000, "mem_mb": 79000, "gpu": 8, "estimate_ms": 1000 * WORK_S,
            "affinity": machine.rack}
    job = await system.submit(PREFIX, [step], seconds=WORK_S)
    run = await system.wait("the task has started", lambda: world.runs and world.runs[0], 5)
    if run.minion is not minion:
        raise standins.CannotRun("the task has started on another minion")
    await asyncio.sleep(2)
    if trouble:
        minion.server.is_mute = True
        record.line(f"{minion.name} answers no calls from now on; its heartbeats go on")
        await asyncio.sleep(0.5)
        planner = system.leader()
        system.kill(planner)
        await asyncio.sleep(0.5)
        system.start(planner)
        await asyncio.sleep(MUTE_S - 1.0)
        minion.server.is_mute = False
        record.line(f"{minion.name} answers calls again")

    async def is_complete():
        await asyncio.sleep(0.5)
        return await system.state(PREFIX, job) == "complete"

    await system.wait("the job is complete", is_complete, 60)
    return [f"TWICE: {one.task} run {one.number} on {one.minion.name} and run {other.number} on "
            f"{other.minion.name} at the same time, for {seconds:.3f} s"
            for one, other, seconds in world.overlaps()]


standins.play(FOLDER, case, entries=3, agents=4)
