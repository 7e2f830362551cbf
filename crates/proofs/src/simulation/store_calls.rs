//! Carries calls to the store and their replies back.

use std::time::Duration;

use sapphire_entry as entry;
use sapphire_store::call::{Call, Reply};
use sapphire_wire::id;

use super::{STORE_TIMEOUT, Simulation, StoreCall, StoreStage, WATCH_TIMEOUT};

impl Simulation {
    pub(super) fn send_store(
        &mut self,
        entry: &str,
        operation: entry::event::Operation,
        call: Call,
    ) {
        let generation = self.entries.get(entry).map_or(0, |process| process.generation);
        let at = self.now + Duration::from_millis(2) + self.store_faults.extra_delay;
        let stage = StoreStage::Arriving(call);
        let entry = entry.to_owned();
        self.store_calls.push(StoreCall { at, entry, generation, operation, stage });
    }

    pub(super) fn advance_store_calls(&mut self) {
        let now = self.now;
        for pending in std::mem::take(&mut self.store_calls) {
            if pending.at > now {
                self.store_calls.push(pending);
            } else {
                self.advance_store_call(pending);
            }
        }
    }

    pub(super) fn advance_store_call(&mut self, pending: StoreCall) {
        let now = self.now;
        match pending.stage {
            StoreStage::Arriving(call) => {
                let until = now + WATCH_TIMEOUT;
                let is_watch = matches!(call, Call::Watch { .. });
                if self.is_store_unreachable(&pending.entry) {
                    self.fail_store_call(pending.entry, pending.generation, pending.operation);
                } else if is_watch {
                    let stage = StoreStage::Watching(call, until);
                    self.store_calls.push(StoreCall { stage, ..pending });
                } else if let Some(reply) = self.store.call(now, &call) {
                    if self.chance(self.store_faults.lost_answers) {
                        self.fail_store_call(pending.entry, pending.generation, pending.operation);
                        return;
                    }
                    let at = now + Duration::from_millis(2);
                    let stage = StoreStage::Answering(reply);
                    self.store_calls.push(StoreCall { at, stage, ..pending });
                }
            }
            StoreStage::Watching(call, until) => {
                if self.is_store_unreachable(&pending.entry) || now >= until {
                    self.fail_store_call(pending.entry, pending.generation, pending.operation);
                    return;
                }
                let stage = match self.store.call(now, &call) {
                    Some(reply) => StoreStage::Answering(reply),
                    None => StoreStage::Watching(call, until),
                };
                self.store_calls.push(StoreCall { stage, ..pending });
            }
            StoreStage::Answering(reply) => {
                let process = self.entries.get(&pending.entry);
                let is_same = process.is_some_and(|p| p.generation == pending.generation);
                let is_running = process.is_some_and(|process| process.is_running(now));
                if is_same && !is_running && process.is_some_and(|p| p.machine.is_some()) {
                    let stage = StoreStage::Answering(reply);
                    self.store_calls.push(StoreCall { stage, ..pending });
                } else if is_same {
                    let event = entry::event::Event::Store(pending.operation, reply);
                    self.entry_event(&pending.entry, event);
                }
            }
        }
    }

    pub(super) fn is_store_unreachable(&self, entry: &str) -> bool {
        self.store_faults.is_down || self.store_faults.cut_off.iter().any(|name| name == entry)
    }

    pub(super) fn fail_store_call(
        &mut self,
        entry: String,
        generation: id::Generation,
        operation: entry::event::Operation,
    ) {
        let stage = StoreStage::Answering(Reply::Unavailable("no answer".into()));
        let at = self.now + STORE_TIMEOUT;
        self.store_calls.push(StoreCall { at, entry, generation, operation, stage });
    }
}
