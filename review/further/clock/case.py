"""A minion goes down and up by turns while the time of day of its machine jumps back."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

import standins  # noqa: E402

PREFIX = "/lohu930/"
# How far the time of day jumps back.
JUMP_MS = 2000
# The minion is up and down for these times by turns.
UP_S, DOWN_S = 0.8, 0.6
WORK_S = 4
# Bounds of the rule: time after the end of the traffic, and time with nothing running.
FINISH_S, IDLE_S = 14, 3
# Time for which the job is watched after that.
WATCH_S = 10


async def silence(method, target, headers, body):
    raise standins.NoAnswer


async def go_dark(minion):
    """The minion crashes. Calls to its machine get no answer until it starts again."""
    minion.sends_heartbeats = False
    minion.server.serve = silence
    for task in minion.tasks:
        task.cancel()
    minion.record.line(f"minion {minion.name} of {minion.machine.name} crashes, and is dark")
    for run in list(minion.running.values()):
        minion.finish(run, "gone")


async def start_again(minion, jumped_ms):
    """The minion starts again under its name, by the clock of its machine."""
    await minion.server.close()
    born_ms = int(time.time() * 1000) - jumped_ms
    again = standins.Minion(minion.world, minion.machine, minion.name, born_ms)
    await again.open()
    return again


async def case(system, trouble):
    record, world = system.record, system.world
    await system.begin([standins.queue("r-1", PREFIX, 1, 4)])
    minions = [standins.Minion(world, machine, f"i-{machine.name}") for machine in system.agents]
    for minion in minions:
        await minion.open()
    await asyncio.sleep(3)
    minion, machine = minions[0], system.agents[0]
    if trouble:
        await go_dark(minion)
        await asyncio.sleep(DOWN_S)
        minion = await start_again(minion, 0)
    up_since = time.monotonic()
    await asyncio.sleep(0.3)
    # The data of the task are near the first machine, so that it starts there.
    step = {"count": 1, "cpu": 15000, "mem_mb": 79000, "gpu": 8, "estimate_ms": 1000 * WORK_S,
            "affinity": machine.rack}
    job = await system.submit(PREFIX, [step], seconds=WORK_S)
    run = await system.wait("the task has started", lambda: world.runs and world.runs[0], 5)
    if run.minion.machine is not machine:
        raise standins.CannotRun("the task has started on another machine")
    if trouble:
        await asyncio.sleep(max(0.0, up_since + UP_S - time.monotonic()))
        record.line(f"the time of day of {machine.name} jumps back by {JUMP_MS} ms")
        await go_dark(minion)
        await asyncio.sleep(DOWN_S)
        await start_again(minion, JUMP_MS)
    await asyncio.sleep(FINISH_S)
    since = last_active = time.monotonic()
    idle = 0.0
    while time.monotonic() < since + WATCH_S:
        if any(run.ended is None or run.how == "done" for run in world.runs):
            last_active = time.monotonic()
        idle = max(idle, time.monotonic() - last_active)
        await asyncio.sleep(0.1)
    state = await system.state(PREFIX, job)
    if idle < IDLE_S:
        return []
    return [f"LOST: job {job} has had nothing running for {idle:.1f} s, {FINISH_S} s after the end "
            f"of the traffic; its only task has not been done, all minions are idle, and the job is "
            f"shown as {state}"]


standins.play(FOLDER, case, entries=3, agents=4)
