"""LOST: a task that lasts has nothing running although there is capacity for it twice over."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(HERE)))

import platform_2 as platform  # noqa: E402

GREY_S = 6.0
ESTIMATE_MS = 60_000
WATCH_S = 40.0
# The rule: nothing running for 3 s, from 6 s after the last run, with the 4 s before them calm.
AFTER_LAST_RUN_S = 6.0
CALM_S = 4.0
IDLE_S = 3.0


async def case(bed, trouble):
    entry = bed.entries[0]
    # Tasks that last fill all minions but one.
    fills = [platform.new_id() for _ in bed.minions[1:]]
    for job in fills:
        await bed.submit(entry, job, platform.lasting(1, 8, estimate_ms=ESTIMATE_MS))
    until = bed.time() + 8
    while sum(bool(minion.running) for minion in bed.minions) < len(fills):
        if bed.time() > until:
            raise platform.Unplayable("the minions are not filled")
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)
    home = next(minion for minion in bed.minions if not minion.running)

    home.fails = trouble
    bed.record(f"minion={home.name} fails what it starts: {trouble}; it alone has free GPUs")
    grey_since = bed.time()
    job = platform.new_id()
    task = f"{job}.0.0.0"
    status, _ = await bed.submit(entry, job, platform.lasting(1, 4, estimate_ms=ESTIMATE_MS))
    if status != 200:
        raise platform.Unplayable(f"the job was not accepted: {status}")
    accepted = bed.time()
    await asyncio.sleep(grey_since + GREY_S - bed.time())
    home.fails = False
    calm_since = bed.time()
    bed.record(f"minion={home.name} is sound")

    fault = None
    while bed.time() < calm_since + WATCH_S:
        now = bed.time()
        used = {minion.name: sum(8 if key.split(".")[0] in fills else 4 for key in minion.running)
                for minion in bed.minions}
        fits = sum((8 - gpus) // 4 for gpus in used.values())
        is_running = any(task in minion.running for minion in bed.minions)
        last_run = max([end[0] for end in bed.ends if end[2] == task], default=accepted)
        idle_from = max(last_run + AFTER_LAST_RUN_S, calm_since + CALM_S)
        if is_running and fault:
            break
        if not is_running and not fault and now >= idle_from + IDLE_S and fits >= 2:
            fault = (f"LOST: task={task} lasts, and had nothing running from {idle_from:.1f} to "
                     f"{now:.1f} s; its last run ended at {last_run:.1f} s, all was calm since "
                     f"{calm_since:.1f} s, and free GPUs held it {fits} times (in use: {used})")
            bed.record(fault)
        await asyncio.sleep(0.1)
    bed.record(f"at the end the task runs: {any(task in it.running for it in bed.minions)}, "
               f"{bed.time() - calm_since:.1f} s after the disruption")
    await bed.request(entry, "GET", bed.prefix + job)
    return [fault] if fault else []


platform.play(HERE, case, minions=4)
