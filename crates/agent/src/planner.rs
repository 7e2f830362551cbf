//! Planner whose orders the agent accepts.

use sapphire_wire::{Epoch, Peer, epoch};

/// Planner with the highest epoch seen so far.
#[derive(Debug, Default)]
pub struct Tracker {
    epoch: Option<Epoch>,
    planner: Option<Peer>,
}

impl Tracker {
    /// Whether a planner's message is to be accepted; a planner with a higher epoch replaces the
    /// current one.
    ///
    /// Guards against a planner that was paused past its lease and resumes: its epoch is lower than
    /// the current one, so its messages are rejected.
    pub fn accepts(&mut self, from: &Peer, offered: &Epoch) -> bool {
        let is_current = self.epoch.as_ref() == Some(offered);
        if !is_current && !epoch::is_above(offered, self.epoch.as_ref()) {
            return false;
        }
        self.epoch = Some(offered.clone());
        self.planner = Some(from.clone());
        true
    }

    /// The current planner, to which reports are sent.
    pub fn peer(&self) -> Option<&Peer> {
        self.planner.as_ref()
    }

    /// Epoch of the current planner.
    pub fn epoch(&self) -> Option<&Epoch> {
        self.epoch.as_ref()
    }
}
