//! Shares of the organisations when there is too little for all of them.

use std::time::Duration;

/// Options of the shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time in which usage loses most of its weight.
    pub window: Duration,
}
