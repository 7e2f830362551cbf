//! Inputs of the agent's state machine.

use sapphire_wire::{envelope, id};

use crate::effect;

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message arrived.
    Frame(Box<envelope::Envelope>),
    /// Time has passed; must be given at least once per heartbeat interval.
    Tick,
    /// The worker has stopped everything that an earlier process of this agent had started.
    WorkerReset,
    /// A gang's tasks ended on the worker.
    TaskEnded(TaskEnd),
    /// A gang's tasks have written their checkpoint.
    Checkpointed(id::Attempt),
    /// The minion answered a request or failed to.
    MinionAnswered(effect::Response),
    /// The operator or the platform requests a graceful shutdown.
    Drain,
}

/// How a gang's tasks on this worker ended.
#[derive(Clone, Debug)]
pub struct TaskEnd {
    /// Attempt that the tasks belong to.
    pub attempt: id::Attempt,
    /// Exit code of the program; `None` when the worker stopped it.
    pub exit_code: Option<i32>,
    /// Reason as text.
    pub reason: String,
}
