"""A worker is taken away for good after one of its starts had no answer, and planners are killed."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import standins  # noqa: E402

PREFIX = "/lohu930/"
WORK_S = 4
# Times after the worker is gone at which the planner is killed.
KILLS_S = (3, 12)
# Bounds of the rule: time after the end of the traffic, and time with nothing running.
FINISH_S, IDLE_S = 14, 3
# Time for which the job is watched after that.
WATCH_S = 16


async def kill_planners(system):
    """Kills the planner at the given times, and starts its process again."""
    began = time.monotonic()
    for at in KILLS_S:
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        planner = await system.wait("somebody plans", system.leader, 5)
        system.kill(planner)
        await asyncio.sleep(0.5)
        system.start(planner)


async def case(system, trouble):
    record, world = system.record, system.world
    await system.begin([standins.queue("r-1", PREFIX, 1, 4)])
    minions = [standins.Minion(world, machine, f"i-{machine.name}") for machine in system.agents]
    for minion in minions:
        await minion.open()
    await asyncio.sleep(3)
    minion, machine = minions[0], system.agents[0]
    minion.leaves_start = trouble
    # The data of the task are near the first machine, so that it starts there.
    step = {"count": 1, "cpu": 15000, "mem_mb": 79000, "gpu": 8, "estimate_ms": 1000 * WORK_S,
            "affinity": machine.rack}
    job = await system.submit(PREFIX, [step], seconds=WORK_S)
    end_of_traffic = time.monotonic()
    run = await system.wait("the task has started", lambda: world.runs and world.runs[0], 5)
    if run.minion is not minion:
        raise standins.CannotRun("the task has started on another minion")
    kills = None
    if trouble:
        await asyncio.sleep(1.0)
        record.line(f"{machine.name} is taken away for good, with its minion")
        await minion.crash()
        system.kill(machine)
        kills = asyncio.ensure_future(kill_planners(system))
    await asyncio.sleep(max(0.0, end_of_traffic + FINISH_S - time.monotonic()))
    since = last_active = time.monotonic()
    idle = 0.0
    while time.monotonic() < since + WATCH_S:
        if any(run.ended is None or run.how == "done" for run in world.runs):
            last_active = time.monotonic()
        idle = max(idle, time.monotonic() - last_active)
        await asyncio.sleep(0.1)
    if kills:
        await kills
    state = await system.state(PREFIX, job)
    if idle < IDLE_S:
        return []
    return [f"LOST: job {job} has had nothing running for {idle:.1f} s, {FINISH_S} s after the end "
            f"of the traffic; its only task has not been done, the other minions are idle, and the "
            f"job is shown as {state}"]


standins.play(FOLDER, case, entries=3, agents=4)
