//! The active configuration, and the checks that it is the newest one.

use std::{sync::Arc, time::Duration};

use sapphire_jobs::catalog::Catalog;
use sapphire_store::call::{Call, Condition, Item, Reply};

use crate::{effect::Effect, event::Operation, machine::Machine, options};

impl Machine {
    pub(crate) fn drive_freshness(&mut self, now: Duration) {
        self.drive_catalog_read(now);
        self.drive_catalog_watch(now);
        self.drive_freshness_check(now);
    }

    /// Reads the configuration while none is active or a newer one is known to exist.
    fn drive_catalog_read(&mut self, now: Duration) {
        let freshness = &mut self.freshness;
        let is_wanted = freshness.catalog.is_none() || freshness.is_behind();
        if !is_wanted || freshness.is_reading || now < freshness.read_at {
            return;
        }
        freshness.is_reading = true;
        let key = self.options.catalog_key.clone();
        self.effects.push(Effect::Store(Operation::Catalog, Call::Get { key }));
    }

    fn drive_catalog_watch(&mut self, now: Duration) {
        let freshness = &mut self.freshness;
        if freshness.watch_from == 0 || freshness.is_watching || now < freshness.watch_at {
            return;
        }
        freshness.is_watching = true;
        let prefix = self.options.catalog_key.clone();
        let (after, wait) = (freshness.watch_from, options::WATCH_WAIT);
        let call = Call::WatchPrefix { prefix, after, wait };
        self.effects.push(Effect::Store(Operation::CatalogWatch, call));
    }

    /// Checks that the active configuration is the newest, when the last check is old or the next
    /// watch needs its revision. A configuration that is known to be outdated is not checked: the
    /// refusal would transfer the complete new one, which is being fetched already.
    fn drive_freshness_check(&mut self, now: Duration) {
        let interval = if self.is_planning {
            options::LEADER_CHECK_INTERVAL
        } else {
            options::FOLLOWER_CHECK_AGE
        };
        let freshness = &mut self.freshness;
        let is_old = freshness.age(now).is_none_or(|age| age >= interval);
        let is_wanted = (is_old || freshness.watch_from == 0) && !freshness.is_behind();
        if freshness.catalog.is_none()
            || !is_wanted
            || freshness.is_checking
            || now < freshness.check_at
        {
            return;
        }
        freshness.is_checking = true;
        let key = self.options.catalog_key.clone();
        let conditions = vec![Condition { key, revision: freshness.revision() }];
        let call = Call::Commit { conditions, puts: Vec::new(), removes: Vec::new() };
        self.effects.push(Effect::Store(Operation::Freshness, call));
    }

    /// Handles the reply to a read. The configuration counts as verified when the read was sent.
    pub(crate) fn catalog_read(&mut self, now: Duration, sent: Duration, reply: Reply) {
        self.freshness.is_reading = false;
        self.freshness.read_at = now + options::CATALOG_RETRY;
        if let Reply::Value(value) = reply
            && value.revision > 0
        {
            let item = Item {
                key: self.options.catalog_key.clone(),
                value: Some(value.bytes),
                revision: value.revision,
            };
            self.apply_catalog(now, &item, Some(sent));
        }
    }

    /// Handles the reply to a freshness check. The check is a conditional write that writes
    /// nothing, so it is cheap however large the configuration is, unless there is a newer one,
    /// which the refusal then contains.
    pub(crate) fn freshness_checked(&mut self, now: Duration, sent: Duration, reply: Reply) {
        self.freshness.is_checking = false;
        self.freshness.check_at = now + options::CATALOG_RETRY;
        match reply {
            Reply::Committed(revision) => {
                // The configuration is unchanged at this revision of the store, so a watch can
                // start here. The configuration's own revision may be older than the history that
                // the store keeps.
                self.freshness.watch_from = self.freshness.watch_from.max(revision);
                self.mark_verified(self.freshness.revision(), sent);
            }
            Reply::Refused(items) => {
                let key = self.options.catalog_key.clone();
                let revision = self.freshness.revision();
                self.log(format!("configuration revision={revision} is not the newest"));
                match items.iter().find(|item| item.key == key && item.value.is_some()) {
                    Some(item) => self.apply_catalog(now, item, Some(sent)),
                    None => self.freshness.newest = self.freshness.newest.max(revision + 1),
                }
            }
            _ => {}
        }
    }

    pub(crate) fn catalog_changed(&mut self, now: Duration, reply: Reply) {
        self.freshness.is_watching = false;
        match reply {
            Reply::Changes { items, revision } => {
                self.freshness.watch_from = self.freshness.watch_from.max(revision);
                let key = self.options.catalog_key.clone();
                for item in items.iter().filter(|item| item.key == key) {
                    self.apply_catalog(now, item, None);
                }
            }
            Reply::HistoryGone => {
                // A freshness check, which is a small call, then finds out whether the
                // configuration has changed. Reading a large one each time would saturate the link.
                let revision = std::mem::take(&mut self.freshness.watch_from);
                self.log(format!(
                    "configuration: the store has dropped its history after revision {revision}"
                ));
            }
            _ => self.freshness.watch_at = now + options::WATCH_RETRY,
        }
    }

    /// Handles the result of the leader's freshness check, as its feed reports it.
    pub(crate) fn apply_leader_check(
        &mut self,
        now: Duration,
        sent: Duration,
        revision: u64,
        age: Duration,
    ) {
        if revision == self.freshness.revision() && revision > 0 {
            // The leader took the age before it answered. Subtracting it from the time when the
            // poll was sent makes the check appear older than it is, never more recent.
            self.mark_verified(revision, sent.saturating_sub(age));
        } else if revision > self.freshness.newest {
            self.freshness.newest = revision;
            if self.freshness.is_watching {
                // The watch is delivering it; a second transfer would only slow down the first.
                self.freshness.read_at = self.freshness.read_at.max(now + options::WATCH_GRACE);
            }
        }
    }

    fn mark_verified(&mut self, revision: u64, at: Duration) {
        let freshness = &mut self.freshness;
        if freshness.revision() == revision
            && freshness.verified_at.is_none_or(|verified_at| verified_at < at)
        {
            freshness.verified_at = Some(at);
            self.effects.push(Effect::CatalogVerified { revision, at });
        }
    }

    /// Activates a configuration unless it is older than the active one.
    ///
    /// Replies to a watch, a direct read and a relayed read may arrive late and out of order. A
    /// caller that was served under a newer configuration must not be refused under an older one.
    fn apply_catalog(&mut self, now: Duration, item: &Item, verified_at: Option<Duration>) {
        let Some(value) = &item.value else { return };
        self.freshness.newest = self.freshness.newest.max(item.revision);
        if item.revision < self.freshness.revision() {
            return;
        }
        if item.revision > self.freshness.revision() {
            match (self.options.read_catalog)(value, item.revision) {
                Ok(catalog) => self.activate(catalog),
                Err(error) => {
                    let revision = item.revision;
                    self.log(format!(
                        "configuration revision={revision} can't be decoded: {error}"
                    ));
                    self.freshness.read_at = now + options::INVALID_CATALOG_RETRY;
                    return;
                }
            }
        }
        if let Some(at) = verified_at {
            self.mark_verified(item.revision, at);
        }
    }

    fn activate(&mut self, catalog: Catalog) {
        let known = self.freshness.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let (version, revision) = (catalog.version, catalog.revision);
        self.log(format!("configuration version={version} revision={revision} after={known}"));
        let catalog = Arc::new(catalog);
        // The last freshness check also holds for this configuration: at that time the previous one
        // was the newest, so none newer than this one existed.
        self.freshness.catalog = Some(catalog.clone());
        self.freshness.watch_from = self.freshness.watch_from.max(revision);
        self.effects.push(Effect::Catalog(catalog));
    }
}
