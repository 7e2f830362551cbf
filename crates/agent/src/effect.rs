//! What an agent wants done.

use std::time::Duration;

use bytes::Bytes;
use sapphire_wire::{Header, Peer, envelope, id};

/// One output of the state machine.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to an address.
    Send {
        /// Receiver; the generation is 0 when it is not known.
        to: Peer,
        /// Message.
        envelope: Box<envelope::Envelope>,
    },
    /// Stop everything an earlier life of this agent started, then say `WorkerReset`.
    ResetWorker,
    /// Start a gang's tasks on the worker under a lease.
    RunTasks(Run),
    /// Extend the lease of running tasks.
    RenewTasks(id::Attempt, Duration),
    /// Ask running tasks for a checkpoint.
    CheckpointTasks(id::Attempt),
    /// Stop running tasks.
    StopTasks(id::Attempt),
    /// Hand a request to the minion.
    AskMinion(Call),
    /// Write a log line.
    Log(String),
    /// All work is done; the process may exit.
    Exit,
}

/// Tasks to start.
#[derive(Clone, Debug)]
pub struct Run {
    /// Attempt they belong to.
    pub attempt: id::Attempt,
    /// How many tasks.
    pub tasks: u32,
    /// Accelerators of all tasks together.
    pub accelerators: u32,
    /// Program.
    pub command: String,
    /// Lease; the worker stops the tasks when it lapses.
    pub lease: Duration,
}

/// A request for the minion.
#[derive(Clone, Debug)]
pub struct Call {
    /// Attempt of the caller's entry.
    pub attempt: id::Attempt,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers of the caller.
    pub headers: Vec<Header>,
    /// Body of the caller.
    pub body: Bytes,
    /// Time left until the caller's deadline.
    pub left: Duration,
}

/// What the minion answered.
#[derive(Clone, Debug)]
pub struct Response {
    /// Attempt it answers.
    pub attempt: id::Attempt,
    /// Status, headers and body; or why there is no whole answer.
    pub answer: Result<Whole, Failure>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: u32,
    /// Headers of the minion.
    pub headers: Vec<Header>,
    /// Body of the minion.
    pub body: Bytes,
}

/// Why the minion has no whole answer.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The minion never saw the request: the connection was refused.
    pub is_unseen: bool,
    /// Reason in words.
    pub reason: String,
}
