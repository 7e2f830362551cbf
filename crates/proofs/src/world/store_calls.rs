//! Calls to the store, on their way and back.

use std::time::Duration;

use sapphire_entry as entry;
use sapphire_store::call::{Call, Reply};
use sapphire_wire::id;

use super::{STORE_TIMEOUT, StoreFlight, StoreStage, WATCH_HOLD, World};

impl World {
    pub(super) fn send_store(
        &mut self,
        entry: &str,
        operation: entry::event::Operation,
        call: Call,
    ) {
        let generation = self.entries.get(entry).map_or(0, |process| process.generation);
        let at = self.now + Duration::from_millis(2) + self.store_faults.slow;
        let stage = StoreStage::Arrives(call);
        let entry = entry.to_owned();
        self.store_flights.push(StoreFlight { at, entry, generation, operation, stage });
    }

    pub(super) fn step_store(&mut self) {
        let now = self.now;
        for flight in std::mem::take(&mut self.store_flights) {
            if flight.at > now {
                self.store_flights.push(flight);
            } else {
                self.store_flight(flight);
            }
        }
    }

    pub(super) fn store_flight(&mut self, flight: StoreFlight) {
        let now = self.now;
        match flight.stage {
            StoreStage::Arrives(call) => {
                let until = now + WATCH_HOLD;
                let is_watch = matches!(call, Call::Watch { .. });
                if self.is_store_away(&flight.entry) {
                    self.store_fails(flight.entry, flight.generation, flight.operation);
                } else if is_watch {
                    let stage = StoreStage::Watches(call, until);
                    self.store_flights.push(StoreFlight { stage, ..flight });
                } else if let Some(reply) = self.store.call(now, &call) {
                    if self.chance(self.store_faults.lost_answers) {
                        self.store_fails(flight.entry, flight.generation, flight.operation);
                        return;
                    }
                    let at = now + Duration::from_millis(2);
                    let stage = StoreStage::Answers(reply);
                    self.store_flights.push(StoreFlight { at, stage, ..flight });
                }
            }
            StoreStage::Watches(call, until) => {
                if self.is_store_away(&flight.entry) || now >= until {
                    self.store_fails(flight.entry, flight.generation, flight.operation);
                    return;
                }
                let stage = match self.store.call(now, &call) {
                    Some(reply) => StoreStage::Answers(reply),
                    None => StoreStage::Watches(call, until),
                };
                self.store_flights.push(StoreFlight { stage, ..flight });
            }
            StoreStage::Answers(reply) => {
                let process = self.entries.get(&flight.entry);
                let is_same = process.is_some_and(|p| p.generation == flight.generation);
                let runs = process.is_some_and(|process| process.runs(now));
                if is_same && !runs && process.is_some_and(|p| p.machine.is_some()) {
                    let stage = StoreStage::Answers(reply);
                    self.store_flights.push(StoreFlight { stage, ..flight });
                } else if is_same {
                    let event = entry::event::Event::Store(flight.operation, reply);
                    self.entry_event(&flight.entry, event);
                }
            }
        }
    }

    pub(super) fn is_store_away(&self, entry: &str) -> bool {
        self.store_faults.is_down || self.store_faults.cut_off.iter().any(|name| name == entry)
    }

    pub(super) fn store_fails(
        &mut self,
        entry: String,
        generation: id::Generation,
        operation: entry::event::Operation,
    ) {
        let stage = StoreStage::Answers(Reply::Unavailable("no answer".into()));
        let at = self.now + STORE_TIMEOUT;
        self.store_flights.push(StoreFlight { at, entry, generation, operation, stage });
    }
}
