//! Which planner an agent follows.

use sapphire_wire::{Epoch, Peer, epoch};

/// The planner followed.
#[derive(Debug, Default)]
pub struct Following {
    epoch: Option<Epoch>,
    planner: Option<Peer>,
}

impl Following {
    /// Whether a planner's message is to be obeyed; follows a newer planner.
    ///
    /// Guards against a planner that was paused past its lease and returns: its epoch is below
    /// the one followed, so it is refused.
    pub fn obeys(&mut self, from: &Peer, offered: &Epoch) -> bool {
        let is_current = self.epoch.as_ref() == Some(offered);
        if !is_current && !epoch::is_above(offered, self.epoch.as_ref()) {
            return false;
        }
        self.epoch = Some(offered.clone());
        self.planner = Some(from.clone());
        true
    }

    /// The planner to report to.
    pub fn planner(&self) -> Option<&Peer> {
        self.planner.as_ref()
    }

    /// Epoch followed.
    pub fn epoch(&self) -> Option<&Epoch> {
        self.epoch.as_ref()
    }
}
