//! Settings of the agent.

use std::time::Duration;

/// Names and addresses.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name.
    pub name: String,
    /// Where it listens for other processes.
    pub address: String,
    /// Start of its process; grows from start to start.
    pub generation: u64,
    /// Entries to ask who plans, to begin with.
    pub entries: Vec<String>,
    /// Where the minion takes orders, if that is known before it speaks; else empty.
    pub tasks: String,
    /// Longest time that a stopped task may go on.
    pub stop: Duration,
}

/// How long the minion waits for an end before it answers a hold. Each answer is a renewal of
/// the lease and shows how far tasks have come; it stays on the machine and costs little.
pub const HOLD_WAIT: Duration = Duration::from_millis(400);
/// The same while starts without an answer may be carried out, by a next life of the minion above
/// all: the first hold that this one answers has it refuse them.
pub const SHORT_HOLD_WAIT: Duration = Duration::from_millis(20);
/// Time for the minion's answer beyond what it was asked to wait. It is on the same machine; a
/// busy one has been seen to take tens of milliseconds.
pub const MINION_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time after which a minion carries out a call that had no answer; the platform says 2 to
/// 12 seconds.
pub const LATEST_CALL: Duration = Duration::from_secs(12);
/// Pause before a call without an answer is made once more, doubled with each further one. The
/// first repetition goes at once, since a single order may be lost; a minion that answers nothing
/// costs a connection a call.
pub const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause, well below the lease.
pub const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(1_600);
/// Time without an answer from the minion after which the planner is told.
pub const MINION_SILENCE: Duration = Duration::from_millis(1_800);
/// Pause between holds while ends are listed that are not noted yet: the minion answers at once
/// then, and asking on without a pause would take the processor.
pub const LISTED_PAUSE: Duration = Duration::from_millis(90);
/// Time after a list in which its minion is told of the ends that are noted: the hold that tells of
/// them goes out in the same turn, or as soon as another one on its way is answered.
pub const NOTED_AFTER: Duration = Duration::from_millis(20);
/// Time for the planner's answer: the time it holds a poll, and two messages between regions.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Least time between two polls, so that several ends go into one.
pub const POLL_PAUSE: Duration = Duration::from_millis(8);
/// Time between two events after which the process was paused: far above the time between ticks, and
/// below that in which a minion may end and start again.
pub const PAUSE: Duration = Duration::from_millis(700);
/// Pause between looks at whether a minion is there at all.
pub const LOOK_PAUSE: Duration = Duration::from_millis(120);
/// The same once one has answered; its heartbeat says the rest.
pub const LOOK_AGAIN: Duration = Duration::from_millis(1_000);
/// Pause before an entry is asked who plans.
pub const LEAD_PAUSE: Duration = Duration::from_millis(120);
/// Time for an entry's answer to that.
pub const LEAD_TIMEOUT: Duration = Duration::from_millis(400);
/// Connections refused in a row after which the minion's process is taken as ended.
pub const REFUSALS: u32 = 3;

/// Pause before the next try of a call, after so many in a row without an answer.
pub(crate) fn retry_pause(tries: u32) -> Duration {
    match tries {
        0 | 1 => Duration::ZERO,
        more => (RETRY_PAUSE * 2_u32.pow((more - 2).min(8))).min(LONGEST_RETRY_PAUSE),
    }
}
