//! Keys in the store.

/// Everything but the planner's own key, so that one scan reads all of it.
pub const ALL: &str = "s/";
/// What callers hand in: jobs and cancellations.
pub const INTAKE: &str = "s/in/";
/// Who plans; goes away with its lease.
pub const LEAD: &str = "lead";
/// Workers that may be running tasks.
pub const FLEET: &str = "s/fleet";
/// Starts that may still be carried out.
pub const UNANSWERED: &str = "s/unanswered";

const JOB: &str = "s/in/job/";
const CANCEL: &str = "s/in/cancel/";
const PROGRESS: &str = "s/out/";

/// Key of a job.
pub fn job(id: &str) -> String {
    format!("{JOB}{id}")
}

/// Key that is there once a job has been cancelled.
pub fn cancel(id: &str) -> String {
    format!("{CANCEL}{id}")
}

/// Key of a job's progress.
pub fn progress(id: &str) -> String {
    format!("{PROGRESS}{id}")
}

/// What a key is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key<'a> {
    /// A job.
    Job(&'a str),
    /// A cancellation.
    Cancel(&'a str),
    /// A job's progress.
    Progress(&'a str),
    /// The fleet.
    Fleet,
    /// Starts that may still be carried out.
    Unanswered,
    /// Nothing of ours.
    Other,
}

/// Reads a key.
pub fn read(key: &str) -> Key<'_> {
    if let Some(id) = key.strip_prefix(JOB) {
        Key::Job(id)
    } else if let Some(id) = key.strip_prefix(CANCEL) {
        Key::Cancel(id)
    } else if let Some(id) = key.strip_prefix(PROGRESS) {
        Key::Progress(id)
    } else if key == FLEET {
        Key::Fleet
    } else if key == UNANSWERED {
        Key::Unanswered
    } else {
        Key::Other
    }
}
