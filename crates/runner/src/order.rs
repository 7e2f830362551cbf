//! One order on its way to the minion.

use std::time::Duration;

use sapphire_jobs::Start;

use crate::event::Ticket;

/// What is ordered.
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    Start(Box<Start>),
    /// Refused at the time given, after a try without an answer, which may have been carried out.
    Unsettled(Duration),
    /// To stop; answered at the time given.
    Stop(Option<Duration>),
}

impl Kind {
    /// Whether it is to start something, whatever came of its tries.
    pub(crate) fn is_start(&self) -> bool {
        matches!(self, Kind::Start(_) | Kind::Unsettled(_))
    }

    /// When the minion gave the answer that only a list can settle.
    pub(crate) fn answered(&self) -> Option<Duration> {
        match self {
            Kind::Unsettled(answered) | Kind::Stop(Some(answered)) => Some(*answered),
            Kind::Start(_) | Kind::Stop(None) => None,
        }
    }
}

/// An order.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) number: u32,
    pub(crate) kind: Kind,
    pub(crate) call: Option<Ticket>,
    pub(crate) tries: u32,
    /// Not to be sent again before.
    pub(crate) retry_at: Duration,
}
