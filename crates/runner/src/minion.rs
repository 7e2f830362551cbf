//! What a minion is asked, what it answers, and what it says of itself.

use std::time::Duration;

use sapphire_jobs::{Ended, Incarnation, Rejection, Running, Start, task::Task};

/// What a minion says of itself from time to time.
#[derive(Clone, Debug, PartialEq)]
pub struct Beat {
    /// Its life, with what it has.
    pub incarnation: Incarnation,
    /// Where it takes orders, ip:port.
    pub address: String,
    /// Grows with each beat of one life, so that a late one is known.
    pub sequence: u64,
}

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Extends the lease and asks what runs.
    Hold {
        /// End of the lease by the minion's clock; none leaves it as it is.
        deadline: Option<Duration>,
        /// Fencing token.
        token: u64,
        /// Ends up to this number need not be listed any more.
        noted: u64,
        /// How long to wait for an end.
        wait: Duration,
    },
    /// Starts a task.
    Start {
        /// What to start.
        start: Box<Start>,
        /// End of the lease by the minion's clock.
        deadline: Duration,
        /// Fencing token.
        token: u64,
    },
    /// Stops a task.
    Stop {
        /// Which.
        task: Task,
        /// Which run of it.
        number: u32,
        /// Fencing token.
        token: u64,
    },
}

/// One answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// What runs and what has ended.
    Listed {
        /// Unix time of the start of the life that answers; 0 when it doesn't say.
        born_ms: u64,
        /// The minion's clock.
        clock: Duration,
        /// Tasks that run.
        running: Vec<Running>,
        /// Ends that were not noted.
        ended: Vec<Ended>,
        /// Rows of both lists that can't be read.
        unreadable: usize,
    },
    /// Done.
    Done,
    /// Not done, and why.
    Refused(Rejection),
    /// Another life of the minion has answered.
    OtherLife,
    /// Nothing listens at its address.
    Gone,
    /// No answer, or none that can be read: it may be carried out, also later.
    Unknown,
}
