//! The configuration in force, and the proof that there is no newer one.

use std::{sync::Arc, time::Duration};

use sapphire_jobs::catalog::Catalog;
use sapphire_store::call::{Call, Condition, Item, Reply};

use crate::{effect::Effect, event::Operation, machine::Machine, options};

impl Machine {
    pub(crate) fn drive_freshness(&mut self, now: Duration) {
        self.drive_read(now);
        self.drive_watch(now);
        self.drive_proof(now);
    }

    /// Reads the configuration while there is none, or a newer one than that in force.
    fn drive_read(&mut self, now: Duration) {
        let fresh = &mut self.fresh;
        let is_wanted = fresh.catalog.is_none() || fresh.is_behind();
        if !is_wanted || fresh.is_reading || now < fresh.read_at {
            return;
        }
        fresh.is_reading = true;
        let key = self.options.catalog_key.clone();
        self.out.push(Effect::Store(Operation::Catalog, Call::Get { key }));
    }

    fn drive_watch(&mut self, now: Duration) {
        let fresh = &mut self.fresh;
        if fresh.watched == 0 || fresh.is_watching || now < fresh.watch_at {
            return;
        }
        fresh.is_watching = true;
        let prefix = self.options.catalog_key.clone();
        let (after, wait) = (fresh.watched, options::WATCH_WAIT);
        let call = Call::WatchPrefix { prefix, after, wait };
        self.out.push(Effect::Store(Operation::CatalogWatch, call));
    }

    /// Proves that the configuration in force is the newest, when the last proof is old or the
    /// next watch needs one. One that is known to be old is not proven: the refusal would bring
    /// all of the new one, which is being fetched already.
    fn drive_proof(&mut self, now: Duration) {
        let interval =
            if self.is_planning { options::PROOF_INTERVAL } else { options::OWN_PROOF_AGE };
        let fresh = &mut self.fresh;
        let is_old = fresh.age(now).is_none_or(|age| age >= interval);
        let is_wanted = (is_old || fresh.watched == 0) && !fresh.is_behind();
        if fresh.catalog.is_none() || !is_wanted || fresh.is_proving || now < fresh.prove_at {
            return;
        }
        fresh.is_proving = true;
        let key = self.options.catalog_key.clone();
        let conditions = vec![Condition { key, revision: fresh.revision() }];
        let call = Call::Commit { conditions, puts: Vec::new(), removes: Vec::new() };
        self.out.push(Effect::Store(Operation::Proof, call));
    }

    /// Takes the configuration as read. The proof's age counts from when the read was sent.
    pub(crate) fn catalog_read(&mut self, now: Duration, sent: Duration, reply: Reply) {
        self.fresh.is_reading = false;
        self.fresh.read_at = now + options::CATALOG_RETRY;
        if let Reply::Value(value) = reply
            && value.revision > 0
        {
            let item = Item {
                key: self.options.catalog_key.clone(),
                value: Some(value.bytes),
                revision: value.revision,
            };
            self.apply(now, &item, Some(sent));
        }
    }

    /// Takes the answer to whether the configuration is the newest: a write under a condition
    /// that writes nothing, so that it is cheap however large the configuration is, unless there
    /// is a newer one, which the refusal brings.
    pub(crate) fn proof_read(&mut self, now: Duration, sent: Duration, reply: Reply) {
        self.fresh.is_proving = false;
        self.fresh.prove_at = now + options::CATALOG_RETRY;
        match reply {
            Reply::Committed(revision) => {
                // The configuration is the same at this revision of the store, so a watch can go
                // on from here: its own revision may be older than the history that is kept.
                self.fresh.watched = self.fresh.watched.max(revision);
                self.proven(self.fresh.revision(), sent);
            }
            Reply::Refused(items) => {
                let key = self.options.catalog_key.clone();
                let revision = self.fresh.revision();
                self.log(format!("configuration revision={revision} is not the newest"));
                match items.iter().find(|item| item.key == key && item.value.is_some()) {
                    Some(item) => self.apply(now, item, Some(sent)),
                    None => self.fresh.heard = self.fresh.heard.max(revision + 1),
                }
            }
            _ => {}
        }
    }

    pub(crate) fn catalog_changed(&mut self, now: Duration, reply: Reply) {
        self.fresh.is_watching = false;
        match reply {
            Reply::Changes { items, revision } => {
                self.fresh.watched = self.fresh.watched.max(revision);
                let key = self.options.catalog_key.clone();
                for item in items.iter().filter(|item| item.key == key) {
                    self.apply(now, item, None);
                }
            }
            Reply::HistoryGone => {
                // A proof tells whether it has changed, at the price of a small call; reading it
                // each time would fill the link once it is large.
                let revision = std::mem::take(&mut self.fresh.watched);
                self.log(format!("configuration: the store has no history after {revision}"));
            }
            _ => self.fresh.watch_at = now + options::WATCH_RETRY,
        }
    }

    /// What the planner says of the configuration.
    pub(crate) fn relayed_proof(
        &mut self,
        now: Duration,
        sent: Duration,
        revision: u64,
        age: Duration,
    ) {
        if revision == self.fresh.revision() && revision > 0 {
            // The age was taken before the answer was sent, so counting it from when the
            // question was sent makes the proof older than it is, never younger.
            self.proven(revision, sent.saturating_sub(age));
        } else if revision > self.fresh.heard {
            self.fresh.heard = revision;
            if self.fresh.is_watching {
                // It is on its way; a second transfer would only slow the first one down.
                self.fresh.read_at = self.fresh.read_at.max(now + options::WATCH_GRACE);
            }
        }
    }

    fn proven(&mut self, revision: u64, at: Duration) {
        let fresh = &mut self.fresh;
        if fresh.revision() == revision && fresh.proven.is_none_or(|proven| proven < at) {
            fresh.proven = Some(at);
            self.out.push(Effect::Fresh { revision, at });
        }
    }

    /// Puts a configuration in force unless it is older than the one that is.
    ///
    /// Guards against going back: a watch, a read and a relayed copy may come late and out of
    /// order, and a caller that has been served under a newer one must not be refused again.
    fn apply(&mut self, now: Duration, item: &Item, proven: Option<Duration>) {
        let Some(value) = &item.value else { return };
        self.fresh.heard = self.fresh.heard.max(item.revision);
        if item.revision < self.fresh.revision() {
            return;
        }
        if item.revision > self.fresh.revision() {
            match (self.options.read_catalog)(value, item.revision) {
                Ok(catalog) => self.put_in_force(catalog),
                Err(error) => {
                    let revision = item.revision;
                    self.log(format!("configuration revision={revision} can't be read: {error}"));
                    self.fresh.read_at = now + options::UNREADABLE_RETRY;
                    return;
                }
            }
        }
        if let Some(at) = proven {
            self.proven(item.revision, at);
        }
    }

    fn put_in_force(&mut self, catalog: Catalog) {
        let known = self.fresh.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let (version, revision) = (catalog.version, catalog.revision);
        self.log(format!("configuration version={version} revision={revision} after={known}"));
        let catalog = Arc::new(catalog);
        // The proof of the one before holds for this one: what was the newest then is older.
        self.fresh.catalog = Some(catalog.clone());
        self.fresh.watched = self.fresh.watched.max(revision);
        self.out.push(Effect::Catalog(catalog));
    }
}
