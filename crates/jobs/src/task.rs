//! Identifiers of tasks, of their runs, and of groups of tasks that start together.

use sapphire_schema::jobs;

/// Identifier of a job, chosen by its caller.
pub type JobId = String;
/// Name of a worker, which is that of the agent that runs there.
pub type WorkerName = String;
/// Number of one run of a task. All tasks of a gang share it, and each restart has a higher one.
pub type RunNumber = u32;

/// Identifier of one task in one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Task {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the job's repetition, from 0.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u32,
    /// Index of the task in the step, from 0.
    pub index: u32,
}

impl Task {
    /// Converts from the wire message, without its run number.
    pub fn read(run: &jobs::Run) -> Self {
        Task { job: run.job.clone(), occurrence: run.occurrence, step: run.step, index: run.index }
    }

    /// The wire message for the given run of this task.
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

/// Identifier, within a job, of a group of tasks that start together: all tasks of a gang, or one
/// task that is not part of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupKey {
    /// Index of the job's repetition, from 0.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u32,
    /// Index of the task in the step; 0 for a gang.
    pub index: u32,
}

impl GroupKey {
    /// Identifier of the group that a task belongs to.
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
