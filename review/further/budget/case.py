"""A gang fails for the last time that its queue allows, while the store goes down and the planner is
killed."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))

import standins  # noqa: E402

PREFIX = "/pule252/"
MAX_ATTEMPTS = 2
WORK_S = 0.6
# Longest times of the disruptions, as the site file has them.
LONGEST_FREEZE_S = 2.0
LONGEST_OUTAGE_S = 4.5


def failed_and_noted(world, task):
    """Runs of a task that ended `failed` and whose ends `last_seen` has reached."""
    return [run for run in world.runs if run.task == task and run.how == "failed"
            and (task, run.number, "failed") in world.noted]


async def disturb(system, task, last_runs):
    """Freezes the agent of the member that does not fail, takes the store away once the failure is
    stored, lets the agent report, and kills the planner."""
    record, world, store = system.record, system.world, system.store
    fails = next(run for run in last_runs if run.task == task)
    other = next(run for run in last_runs if run is not fails)
    system.stop(other.minion.machine)
    frozen_at = record.now()
    progress = f"s/out/{task.split('.')[0]}"
    await system.wait("the run has failed", lambda: fails.ended, 3)
    before = store.shown(progress)["revision"]
    await system.wait("the failure is stored",
                      lambda: store.shown(progress)["revision"] > before, 1.2)
    store.is_down = True
    down_at = record.now()
    record.line("the store is down")
    system.resume(other.minion.machine)
    if record.now() - frozen_at > LONGEST_FREEZE_S:
        raise standins.CannotRun("the agent was frozen for too long")
    end = (other.task, other.number, "broken")
    await system.wait("the other end is taken note of", lambda: end in world.noted, 2.5)
    system.kill(system.leader())
    await asyncio.sleep(0.5)
    store.is_down = False
    record.line("the store is back")
    if record.now() - down_at > LONGEST_OUTAGE_S:
        raise standins.CannotRun("the store was down for too long")


async def case(system, trouble):
    world = system.world
    await system.begin([standins.queue("r-1", PREFIX, 2, MAX_ATTEMPTS)])
    for machine in system.agents:
        await standins.Minion(world, machine, f"i-{machine.name}").open()
    await asyncio.sleep(2)
    step = {"count": 2, "cpu": 11000, "mem_mb": 59000, "gpu": 8, "estimate_ms": 600, "gang": True}
    job = await system.submit(PREFIX, [step], seconds=WORK_S, gang=2, fails=True)
    task = f"{job}.0.0.0"

    def last_runs():
        ended = [run for run in world.runs if run.task == task and run.how == "failed"]
        active = [run for run in world.runs if run.ended is None]
        return active if len(ended) == MAX_ATTEMPTS - 1 and len(active) == 2 else None

    runs = await system.wait("the last run has begun", last_runs, 20)
    if trouble:
        await disturb(system, task, runs)
        for machine in system.entries:
            if machine.process.poll() is not None:
                system.start(machine)
    await system.wait("all failures are taken note of",
                      lambda: len(failed_and_noted(world, task)) >= MAX_ATTEMPTS, 20)
    last = max(run.ended for run in failed_and_noted(world, task)[:MAX_ATTEMPTS])
    await asyncio.sleep(15 if trouble else 5)
    await system.state(PREFIX, job)
    return [f"BUDGET: {task} run {run.number} starts {run.began - last:.3f} s after "
            f"{MAX_ATTEMPTS} runs have ended failed, on {run.minion.name}"
            for run in world.runs if run.task == task and run.began > last]


standins.play(FOLDER, case, entries=3, agents=5)
