//! State of the handover record: starts that a planner leaves to its successor.

use std::{collections::BTreeMap, time::Duration};

use sapphire_store::call::Revision;

use crate::{keys, options};

/// Number of a write of the record in this term, counted from 1.
pub(crate) type Write = u64;
/// Index of a slot of the record.
pub(crate) type Slot = usize;

/// State of the handover record in the store.
#[derive(Default)]
pub(crate) struct Handover {
    /// Revisions of the slots.
    pub(crate) revisions: [Revision; keys::SLOTS],
    /// Latest write that was begun.
    pub(crate) latest: Write,
    /// Latest write that is known to have been carried out.
    pub(crate) durable: Write,
    /// First write that contains all starts ordered so far.
    pub(crate) required: Write,
    /// Writes that have had no reply, with their slots.
    pub(crate) in_flight: BTreeMap<Write, Slot>,
    /// The record contains starts that can no longer be carried out.
    pub(crate) is_outdated: bool,
    /// The record lacks what this planner has settled: VMs that are gone, or the end of the wait for starts
    /// that are missing. A write of it may also have failed.
    pub(crate) is_settling: bool,
    /// Starts of earlier terms may be missing from the record.
    pub(crate) is_incomplete: bool,
    /// Time at which the missing starts can't be carried out any more, once it is known.
    pub(crate) missing_until: Option<Duration>,
    /// Time of the latest write.
    pub(crate) written_at: Duration,
    /// Time before which a failed write is not repeated.
    pub(crate) retry_at: Duration,
}

impl Handover {
    /// Requires that the record contain a start that is being ordered. Returns the first write that
    /// contains it.
    pub(crate) fn require(&mut self) -> Write {
        self.required = self.latest + 1;
        self.required
    }

    /// Returns whether the record is to be written now. `has_additions` and `has_removals` say
    /// whether it lacks starts that agents have reported, and contains some that are over.
    ///
    /// While orders wait, or a successor would settle again what is settled, a write does not wait for
    /// long for the replies to those before, which may be late or lost.
    pub(crate) fn is_due(&self, now: Duration, has_additions: bool, has_removals: bool) -> bool {
        let is_older = |delay: Duration| now >= self.written_at + delay;
        let is_awaited = self.required > self.durable || has_removals || self.is_settling;
        match self.in_flight.len() {
            0 if now >= self.retry_at => {
                is_awaited
                    || (has_additions && is_older(options::WRITE_DELAY))
                    || (self.is_outdated && is_older(options::CLEANUP_DELAY))
            }
            1 if is_awaited && is_older(options::REPEAT_DELAY) => true,
            1..keys::SLOTS => self.required > self.latest && is_older(options::GATHER_DELAY),
            _ => false,
        }
    }

    /// Begins a write to a free slot. Returns that slot; `None` if there is none.
    pub(crate) fn begin_write(&mut self, now: Duration) -> Option<Slot> {
        let is_free = |slot: &Slot| !self.in_flight.values().any(|other| other == slot);
        let slot = (0..keys::SLOTS).find(is_free)?;
        self.latest += 1;
        self.in_flight.insert(self.latest, slot);
        self.is_outdated = false;
        self.is_settling = false;
        self.written_at = now;
        Some(slot)
    }

    /// Records that a write was not carried out, or that it isn't known. Returns the slot that it went to.
    pub(crate) fn failed(&mut self, write: Write) -> Option<Slot> {
        self.is_settling = true;
        self.in_flight.remove(&write)
    }

    /// Records that a write has been carried out.
    pub(crate) fn written(&mut self, write: Write, revision: Revision) {
        if let Some(slot) = self.in_flight.remove(&write) {
            self.revisions[slot] = revision;
        }
        self.durable = self.durable.max(write);
    }
}
