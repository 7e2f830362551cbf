//! Names of tasks and of what starts together.

use sapphire_schema::jobs;

/// Name of a job, chosen by its caller.
pub type JobId = String;
/// Name of a worker's agent.
pub type WorkerName = String;
/// Number of a start of a task; members of a gang share it, and it only grows.
pub type RunNumber = u32;

/// One task of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Task {
    /// Its job.
    pub job: JobId,
    /// Which repetition of the job, from 0.
    pub occurrence: u32,
    /// Which step, from 0.
    pub step: u32,
    /// Which task of the step, from 0.
    pub index: u32,
}

impl Task {
    /// Reads a message.
    pub fn read(run: &jobs::Run) -> Self {
        Task { job: run.job.clone(), occurrence: run.occurrence, step: run.step, index: run.index }
    }

    /// One start of it.
    pub fn run(&self, run: RunNumber) -> jobs::Run {
        jobs::Run {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
            run,
        }
    }
}

/// What starts together within a job: a whole gang, or one task that is no part of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupKey {
    /// Which repetition of the job.
    pub occurrence: u32,
    /// Which step.
    pub step: u32,
    /// Which task; 0 for a gang.
    pub index: u32,
}

impl GroupKey {
    /// The group that a task belongs to.
    pub fn of(task: &Task, is_gang: bool) -> Self {
        let index = if is_gang { 0 } else { task.index };
        GroupKey { occurrence: task.occurrence, step: task.step, index }
    }
}

impl std::fmt::Display for Task {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}/{}", self.job, self.occurrence, self.step, self.index)
    }
}
