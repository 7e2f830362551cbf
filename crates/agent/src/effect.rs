//! Outputs of the agent's state machine.

use std::time::Duration;

use bytes::Bytes;
use sapphire_wire::{Header, Peer, envelope, id};

/// An output, to be carried out by the caller.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message.
    Send {
        /// Receiver; its generation is 0 when not known.
        to: Peer,
        /// The message.
        envelope: Box<envelope::Envelope>,
    },
    /// Stop everything that an earlier process of this agent started on the worker, then report
    /// `WorkerReset`.
    ResetWorker,
    /// Start a gang's tasks on the worker under a lease.
    RunTasks(Run),
    /// Extend the lease of running tasks to the given time from now.
    RenewTasks(id::Attempt, Duration),
    /// Ask running tasks for a checkpoint.
    CheckpointTasks(id::Attempt),
    /// Stop running tasks.
    StopTasks(id::Attempt),
    /// Forward a request to the minion.
    CallMinion(Call),
    /// Write a log line.
    Log(String),
    /// All work is done; the process may exit.
    Exit,
}

/// A gang's tasks to start on this worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Attempt that the tasks belong to.
    pub attempt: id::Attempt,
    /// Number of tasks.
    pub tasks: u32,
    /// Accelerators of all these tasks together.
    pub accelerators: u32,
    /// Command that each task runs.
    pub command: String,
    /// Lease; the worker stops the tasks when it expires.
    pub lease: Duration,
}

/// A request for the minion.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier of the attempt, assigned by the entry.
    pub attempt: id::Attempt,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers sent by the caller.
    pub headers: Vec<Header>,
    /// Body sent by the caller.
    pub body: Bytes,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
}

/// Result of a request to the minion.
#[derive(Clone, Debug)]
pub struct Response {
    /// Attempt that this result belongs to.
    pub attempt: id::Attempt,
    /// Complete HTTP answer, or why there is none.
    pub result: Result<Answer, Failure>,
}

/// A complete HTTP answer of the minion.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u32,
    /// Headers sent by the minion.
    pub headers: Vec<Header>,
    /// Body sent by the minion.
    pub body: Bytes,
}

/// Why there is no complete answer of the minion.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Whether the request certainly did not reach the minion, for example because the connection
    /// was refused.
    pub is_undelivered: bool,
    /// Reason as text.
    pub reason: String,
}
