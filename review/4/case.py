"""UNASKED: a job that was cancelled, with its cancellation acknowledged, is started seconds later."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import platform_2 as platform  # noqa: E402

FREEZE_S = 4.0
DUE_S = 12.0
WATCH_S = 16.0


async def case(bed, trouble):
    leader = await bed.leader()
    if leader is None:
        raise platform.Unplayable("no entry leads")
    frozen = next(entry for entry in bed.entries if entry is not leader)
    other = next(entry for entry in bed.entries if entry not in (leader, frozen))
    bed.record(f"leader={leader.name} frozen={frozen.name if trouble else 'none'}")

    job = platform.new_id()
    body = platform.plain(2, 3.0)
    body.update(start_at_ms=int((time.time() + DUE_S) * 1000), interval_ms=1000, repeat_count=1)

    if trouble:
        frozen.signal(signal.SIGSTOP)
        bed.record(f"{frozen.name} stands still")
    stopped_at = bed.time()
    # The caller waits for its whole deadline. After no answer it withdraws its job at another entry.
    await bed.submit(frozen, job, body, timeout=3.0)
    acknowledged = None
    for _ in range(10):
        status, _ = await bed.cancel(other, job)
        if 200 <= status < 300 or status == 410:
            acknowledged = bed.time()
            break
        await asyncio.sleep(0.5)
    if acknowledged is None:
        raise platform.Unplayable("the cancellation was not acknowledged")
    if trouble:
        await asyncio.sleep(max(0.0, stopped_at + FREEZE_S - bed.time()))
        frozen.signal(signal.SIGCONT)
        bed.record(f"{frozen.name} wakes after {bed.time() - stopped_at:.1f} s")
    await asyncio.sleep(max(0.0, stopped_at + WATCH_S - bed.time()))
    await bed.request(other, "GET", bed.prefix + job)

    limit = acknowledged + platform.CANCEL_MS / 1000
    late = [start for start in bed.starts if start[2].startswith(job) and start[0] > limit]
    return [
        f"UNASKED: minion={minion} was told to start task={task} run={run} {at - acknowledged:.1f} s "
        f"after its job's cancelling was acknowledged (cancel_ms is {platform.CANCEL_MS})"
        for at, minion, task, run in late
    ]


platform.play(HERE, case, minions=11)
