//! Carries calls and watches to the store and their replies back.

use std::time::Duration;

use sapphire_front as front;
use sapphire_planner::{self as planner};
use sapphire_store::call::{Call, Reply};

use super::{Action, Origin, STORE_LATENCY, Simulation};

impl Simulation {
    pub(super) fn send_store(&mut self, entry: usize, origin: Origin, call: Call) {
        use front::event::Operation;
        let generation = self.entries[entry].generation;
        let sent = self.now;
        match &origin {
            Origin::Front(Operation::Catalog) => self.catalog_reads += 1,
            Origin::Front(Operation::CatalogWatch) => self.catalog_watches += 1,
            _ => {}
        }
        let latency = self.latency(self.entries[entry].region, 0);
        self.after(
            latency + STORE_LATENCY + self.store_latency / 2,
            Action::Store { entry, generation, origin, call, sent },
        );
    }

    pub(super) fn store_call(
        &mut self,
        entry: usize,
        generation: u64,
        origin: Origin,
        call: Call,
        sent: Duration,
    ) {
        let timeout = Duration::from_millis(700);
        if !self.reaches_store(entry) {
            let reply = Reply::Unavailable("no answer".to_owned());
            self.deliver(entry, generation, origin, sent, reply, timeout);
            return;
        }
        let latency = self.latency(self.entries[entry].region, 0);
        if self.is_store_refusing {
            let reply = Reply::Unavailable("refused".to_owned());
            self.deliver(entry, generation, origin, sent, reply, latency);
            return;
        }
        let until = match &call {
            Call::WatchPrefix { wait, .. } => self.now + *wait,
            _ => self.now,
        };
        match self.store.call(self.now, &call) {
            Some(reply) => {
                let elapsed = self.now.saturating_sub(sent);
                let after = latency + self.store_latency / 2;
                let delay = self.answer_delay(&origin);
                let after = after + delay.unwrap_or(timeout);
                if self.is_store_mute || elapsed + after > timeout {
                    let reply = Reply::Unavailable("no answer".to_owned());
                    let after = timeout.saturating_sub(elapsed);
                    self.deliver(entry, generation, origin, sent, reply, after);
                } else {
                    self.deliver(entry, generation, origin, sent, reply, after);
                }
            }
            None => self.watches.push((entry, generation, origin, call, until)),
        }
        self.poll_watches();
    }

    fn reaches_store(&self, entry: usize) -> bool {
        let node = &self.entries[entry];
        self.is_store_up && node.reaches_store && !self.partitioned.contains(&node.region)
    }

    pub(super) fn poll_watches(&mut self) {
        for (entry, generation, origin, call, until) in std::mem::take(&mut self.watches) {
            let latency = self.latency(self.entries[entry].region, 0);
            if !self.reaches_store(entry) || self.is_store_mute || self.is_store_refusing {
                self.watches.push((entry, generation, origin, call, until));
                continue;
            }
            let is_over = self.now >= until;
            let call = match call {
                Call::WatchPrefix { prefix, after, .. } if is_over => {
                    Call::WatchPrefix { prefix, after, wait: Duration::ZERO }
                }
                call => call,
            };
            match self.store.call(self.now, &call) {
                Some(reply) => self.deliver(entry, generation, origin, self.now, reply, latency),
                None => self.watches.push((entry, generation, origin, call, until)),
            }
        }
    }

    pub(super) fn deliver(
        &mut self,
        entry: usize,
        generation: u64,
        origin: Origin,
        sent: Duration,
        reply: Reply,
        after: Duration,
    ) {
        match origin {
            Origin::Front(operation) => {
                let event = front::event::Event::Store { operation, sent, reply };
                self.after(after, Action::Front(entry, generation, event));
            }
            Origin::Planner(term, operation) => {
                let planner = self.entries[entry].planner.as_ref();
                if planner.is_some_and(|planner| planner.term() == term) {
                    let event = planner::event::Event::Store(operation, reply);
                    self.after(after, Action::Planner(entry, generation, event));
                }
            }
        }
    }
}
