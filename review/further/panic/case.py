"""Fault: one job that can never be done ends the process of each entry that plans, again and again."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(HERE)))

import platform_2 as platform  # noqa: E402

# The widest step of the deployment, for seven days, with all the memory that the field can name.
COUNT = 55
ESTIMATE_MS = 7 * 86_400_000
MEM_MB = 2**64 - 1
WATCH_S = 75.0
# The rule: on a tenth of the machines in use (two at least), three ends of a process by itself.
MACHINES = 2
ENDS = 3


async def case(bed, trouble):
    # The entries know the sizes of the workers 5 s after the planner's term has begun.
    await asyncio.sleep(8.0)
    leader = await bed.leader()
    if leader is None:
        raise platform.Unplayable("no entry leads")
    caller = next(entry for entry in bed.entries if entry is not leader)
    if trouble:
        leader.signal(signal.SIGKILL)
        bed.record(f"{leader.name}, which leads, is killed; it is started again after 1 s")
    poison = platform.new_id()
    body = platform.plain(COUNT, 1.0, mem_mb=MEM_MB, estimate_ms=ESTIMATE_MS)
    for _ in range(8):
        status, _ = await bed.submit(caller, poison, body)
        if status == 200:
            break
        await asyncio.sleep(0.5)
    began = bed.time()
    # Another tenant's small jobs, for the record.
    answers = {}
    while bed.time() < began + WATCH_S:
        await asyncio.sleep(5.0)
        status, _ = await bed.request(caller, "POST", bed.urgent_prefix + platform.new_id(),
                                      platform.plain(1, 0.2), key=bed.sure_key)
        answers[status] = answers.get(status, 0) + 1
    bed.record(f"answers to other jobs: {answers}")
    ends = {entry.name: [at for at, code in entry.exits if code != -signal.SIGKILL]
            for entry in bed.entries + bed.agents}
    often = {name: len(times) for name, times in ends.items() if len(times) >= ENDS}
    bed.record(f"ends of processes by themselves: { {name: len(t) for name, t in ends.items()} }")
    if len(often) < MACHINES:
        return []
    return [f"Fault: processes end by themselves {ENDS} times and more on {len(often)} of "
            f"{len(ends)} machines: {often}"]


platform.play(HERE, case, minions=4)
