//! What happens to an agent.

use sapphire_wire::{envelope, id};

use crate::effect;

/// One input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message arrived.
    Frame(Box<envelope::Envelope>),
    /// Time has passed; to be given at least once per heartbeat interval.
    Tick,
    /// The worker stopped everything an earlier life of this agent had started.
    WorkerReset,
    /// A task group ended on the worker.
    TaskEnded(TaskEnd),
    /// A task group has written its checkpoint.
    Checkpointed(id::Attempt),
    /// The minion answered, or failed to.
    MinionAnswered(effect::Response),
    /// The operator or platform asks for a graceful shutdown.
    Drain,
}

/// How a gang's tasks on this worker ended.
#[derive(Clone, Debug)]
pub struct TaskEnd {
    /// Attempt the tasks belong to.
    pub attempt: id::Attempt,
    /// Exit code of the program; none when the worker stopped it.
    pub exit_code: Option<i32>,
    /// Reason in words.
    pub reason: String,
}
