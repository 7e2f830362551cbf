//! Keys of the records in the store.

/// Prefix of all keys except the leader key, so that one scan reads all of them.
pub const ALL: &str = "s/";
/// Prefix of submitted jobs and cancellations.
pub const INTAKE: &str = "s/in/";
/// The leader key, which names the entry that plans. It is removed when its lease expires.
pub const LEAD: &str = "lead";
/// List of the workers that may be running tasks.
pub const FLEET: &str = "s/fleet";
/// Usage of the workers by organisation.
pub const SHARES: &str = "s/shares";
/// Handover record: starts that may still be carried out. The first of its slots.
pub const UNANSWERED: &str = "s/unanswered";
/// Number of slots of the handover record. A write goes to a slot that no other write is on its way
/// to; the latest write counts.
pub const SLOTS: usize = 4;

/// Prefix of the records of the workers' speeds.
pub const SPEEDS: &str = "s/speeds/";

/// Prefix of the segments of the log of runs.
pub const RUNS: &str = "s/runs/";

const JOB: &str = "s/in/job/";
const CANCEL: &str = "s/in/cancel/";
const PROGRESS: &str = "s/out/";

/// Returns the key of a job.
pub fn job(id: &str) -> String {
    format!("{JOB}{id}")
}

/// Returns the key that exists once a job has been cancelled.
pub fn cancel(id: &str) -> String {
    format!("{CANCEL}{id}")
}

/// Returns the key of a slot of the handover record.
pub fn unanswered(slot: usize) -> String {
    if slot == 0 { UNANSWERED.to_owned() } else { format!("{UNANSWERED}/{slot}") }
}

/// Returns the key of a shard of the workers' speeds.
pub fn speeds(shard: usize) -> String {
    format!("{SPEEDS}{shard}")
}

/// Returns the key of a segment of the log of runs, given the term and the write that adds it.
pub fn runs(term: u64, write: u64) -> String {
    format!("{RUNS}{term}.{write}")
}

/// Returns the term that added a segment of the log of runs; 0 if its key has none.
pub fn term_of_runs(key: &str) -> u64 {
    let number = key.strip_prefix(RUNS).and_then(|rest| rest.split('.').next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns the key of a job's progress.
pub fn progress(id: &str) -> String {
    format!("{PROGRESS}{id}")
}

/// Kind of record that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key<'a> {
    /// A job, with its identifier.
    Job(&'a str),
    /// A cancellation, with the identifier of its job.
    Cancel(&'a str),
    /// Progress of a job, with the job's identifier.
    Progress(&'a str),
    /// The list of workers.
    Fleet,
    /// Usage of the workers by organisation.
    Shares,
    /// A slot of the handover record.
    Unanswered(usize),
    /// A shard of the workers' speeds.
    Speeds(usize),
    /// A segment of the log of runs.
    Runs,
    /// A key that the planner does not use.
    Other,
}

/// Parses a key.
pub fn parse(key: &str) -> Key<'_> {
    if let Some(id) = key.strip_prefix(JOB) {
        Key::Job(id)
    } else if let Some(id) = key.strip_prefix(CANCEL) {
        Key::Cancel(id)
    } else if let Some(id) = key.strip_prefix(PROGRESS) {
        Key::Progress(id)
    } else if key == FLEET {
        Key::Fleet
    } else if let Some(shard) = key.strip_prefix(SPEEDS) {
        shard.parse().map_or(Key::Other, Key::Speeds)
    } else if key.starts_with(RUNS) {
        Key::Runs
    } else if key == SHARES {
        Key::Shares
    } else {
        let slot = (0..SLOTS).find(|slot| key == unanswered(*slot));
        slot.map_or(Key::Other, Key::Unanswered)
    }
}
