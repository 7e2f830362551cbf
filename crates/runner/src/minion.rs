//! Heartbeats of a minion, calls to it and its replies.

use std::time::Duration;

use sapphire_jobs::{Ended, Incarnation, Rejection, Running, Start, task::Task};

/// A heartbeat, which a minion sends periodically.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The minion's incarnation, with its capacity and state.
    pub incarnation: Incarnation,
    /// Address at which the minion takes calls, ip:port.
    pub address: String,
    /// Grows with each heartbeat of one incarnation, so that a late one is recognised.
    pub sequence: u64,
}

/// A call to a minion.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// A long poll: extends the lease and asks for the lists of running tasks and of ends.
    LongPoll {
        /// End of the lease by the minion's clock; none leaves the lease as it is.
        deadline: Option<Duration>,
        /// Fencing token.
        token: u64,
        /// Ends up to this number are acknowledged: the minion need not list them any more.
        acknowledged: u64,
        /// Longest time for which the minion waits for a run to end before it answers.
        wait: Duration,
    },
    /// Starts a task.
    Start {
        /// The run to start.
        start: Box<Start>,
        /// End of the lease by the minion's clock.
        deadline: Duration,
        /// Fencing token.
        token: u64,
    },
    /// Stops a task.
    Stop {
        /// The task.
        task: Task,
        /// Number of the run to stop.
        number: u32,
        /// Fencing token.
        token: u64,
    },
}

/// A minion's reply to a call, or the failure of the call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The lists of running tasks and of ends.
    Listed {
        /// Unix time in ms at which the answering incarnation started; 0 if the minion does not
        /// report it.
        born_ms: u64,
        /// The minion's clock.
        clock: Duration,
        /// Tasks that are running.
        running: Vec<Running>,
        /// Ends that were not acknowledged yet.
        ended: Vec<Ended>,
        /// Number of rows of both lists that can't be read.
        unreadable: usize,
    },
    /// The order was carried out.
    Done,
    /// The order was refused, for this reason.
    Refused(Rejection),
    /// A minion with another identifier answers at the address.
    WrongInstance,
    /// Nothing listens at the minion's address.
    NotListening,
    /// No answer came, or none that can be read. The call may have been carried out, or may still
    /// be carried out later.
    Unknown,
}
