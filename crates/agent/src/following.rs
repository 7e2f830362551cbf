//! Which planner an agent follows.

use std::time::Duration;

use sapphire_wire::{Epoch, Peer, epoch};

/// The planner followed, and when it was last heard.
#[derive(Debug, Default)]
pub struct Following {
    epoch: Option<Epoch>,
    planner: Option<Peer>,
    heard: Duration,
}

impl Following {
    /// Whether a planner's message is to be obeyed; follows a newer planner.
    ///
    /// Guards against a planner that was paused past its lease and returns: its epoch is below
    /// the one followed, so it is refused. A take-over without the store (take-over number above
    /// the one followed, same term) is believed only when the incumbent has been silent, since
    /// otherwise an entry that lost sight of a healthy planner could depose it.
    pub fn obeys(
        &mut self,
        now: Duration,
        silence: Duration,
        from: &Peer,
        offered: &Epoch,
    ) -> bool {
        if !epoch::is_above(offered, self.epoch.as_ref()) {
            let is_current = self.epoch.as_ref() == Some(offered);
            if is_current {
                self.hear(now, from);
            }
            return is_current;
        }
        let is_takeover = self.epoch.as_ref().is_some_and(|epoch| epoch.term == offered.term);
        if is_takeover && !self.is_silent(now, silence) {
            return false;
        }
        self.epoch = Some(offered.clone());
        self.hear(now, from);
        true
    }

    fn hear(&mut self, now: Duration, from: &Peer) {
        self.heard = now;
        self.planner = Some(from.clone());
    }

    /// Whether the planner followed has not been heard for a time-out.
    pub fn is_silent(&self, now: Duration, silence: Duration) -> bool {
        self.epoch.is_some() && now.saturating_sub(self.heard) > silence
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
