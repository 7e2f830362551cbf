//! A lease that is withheld from a worker.

use std::time::Duration;

use crate::lease::Obstacle;

/// A lease that is withheld from a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Withheld {
    /// The present reason.
    pub obstacle: Obstacle,
    /// Time of the first answer without a lease.
    pub since: Duration,
    /// It has lasted long enough to be logged.
    pub is_logged: bool,
}
