//! An order of the planner that is not resolved yet.

use std::time::Duration;

use sapphire_jobs::Start;

use crate::event::Ticket;

/// What is ordered.
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    Start(Box<Start>),
    /// A start that the minion refused at the given time, although an earlier, unanswered attempt
    /// may have been carried out.
    Refused(Duration),
    /// A stop, with the time at which the minion answered it.
    Stop(Option<Duration>),
}

impl Kind {
    /// Whether the order is a start, whatever the outcome of its attempts.
    pub(crate) fn is_start(&self) -> bool {
        matches!(self, Kind::Start(_) | Kind::Refused(_))
    }

    /// When the minion answered an order whose outcome only a list can show.
    pub(crate) fn answered_at(&self) -> Option<Duration> {
        match self {
            Kind::Refused(answered_at) | Kind::Stop(Some(answered_at)) => Some(*answered_at),
            Kind::Start(_) | Kind::Stop(None) => None,
        }
    }
}

/// An order for one task.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    /// Number of the run.
    pub(crate) number: u32,
    pub(crate) kind: Kind,
    /// Ticket of the call in flight.
    pub(crate) call: Option<Ticket>,
    pub(crate) attempts: u32,
    /// Attempts that were not carried out, since the connection was refused.
    pub(crate) refused_connections: u32,
    /// Time before which the order is not sent again.
    pub(crate) retry_at: Duration,
    /// Time of the latest attempt to start the run.
    pub(crate) started_at: Option<Duration>,
    /// Time of the first list that lacks the run, after all attempts to start it have expired.
    pub(crate) absent_since: Option<Duration>,
}

impl Order {
    /// Returns an order that has not been sent.
    pub(crate) fn new(number: u32, kind: Kind) -> Self {
        Order {
            number,
            kind,
            call: None,
            attempts: 0,
            refused_connections: 0,
            retry_at: Duration::ZERO,
            started_at: None,
            absent_since: None,
        }
    }

    /// Returns whether it is a start that is not being sent at present.
    pub(crate) fn is_open_start(&self) -> bool {
        matches!(self.kind, Kind::Start(_)) && self.call.is_none()
    }

    /// Returns the number of attempts that the minion may have received.
    pub(crate) fn deliveries(&self) -> u32 {
        self.attempts - self.refused_connections
    }
}
