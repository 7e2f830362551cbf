"""A job is cancelled while a run goes on of a task that is done: its agent was frozen."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

import standins  # noqa: E402

PREFIX = "/pule252/"
WORK_S = 12
# Time after its start at which the agent freezes, and for how long.
FREEZE_AT_S, FREEZE_S = 9, 8
# Bounds of the rule, in seconds, and the time without a disruption before the cancellation.
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.4, 4.0


async def case(system, trouble):
    world = system.world
    await system.begin([standins.queue("r-1", PREFIX, 2, 4)])
    minions = [standins.Minion(world, machine, f"i-{machine.name}") for machine in system.agents]
    for minion in minions:
        await minion.open()
    await asyncio.sleep(3)
    machine = system.agents[0]
    # The data of the first step are near the first machine, so that it starts there.
    first = {"count": 1, "cpu": 11000, "mem_mb": 59000, "gpu": 8, "estimate_ms": 1000 * WORK_S,
             "affinity": machine.rack}
    second = {"count": 1, "cpu": 11000, "mem_mb": 59000, "gpu": 1, "estimate_ms": 1000 * WORK_S,
              "after": [0]}
    job = await system.submit(PREFIX, [first, second], seconds=WORK_S)
    run = await system.wait("the task has started", lambda: world.runs and world.runs[0], 5)
    if run.minion.machine is not machine:
        raise standins.CannotRun("the task has started on another machine")
    if trouble:
        await asyncio.sleep(FREEZE_AT_S)
        system.stop(machine)
        await asyncio.sleep(FREEZE_S)
        system.resume(machine)
    noted = (run.task, run.number, "done")
    await system.wait("the task's end is taken note of", lambda: noted in world.noted, 20)
    await asyncio.sleep(CONTACT_S + 0.2)
    answer = await system.request("DELETE", f"{PREFIX}{job}")
    cancelled_at = time.monotonic()
    if not answer or answer[0] != 200:
        raise standins.CannotRun("the cancellation was not acknowledged")
    await asyncio.sleep(CANCEL_S + STOP_S)
    late = time.monotonic()
    left = [run for run in world.runs if run.ended is None]
    return [f"UNASKED: {run.task} run {run.number} works on at {run.minion.name}, "
            f"{late - cancelled_at:.1f} s after the cancelling of its job was acknowledged"
            for run in left]


standins.play(FOLDER, case, entries=3, agents=4)
