//! State of the learning of workers' speeds, and of the records of it.

use std::{collections::BTreeMap, time::Duration};

use sapphire_jobs::{Incarnation, task::WorkerName};
use sapphire_plan::speed::{History, Record};
use sapphire_store::call::Revision;

/// Maximum number of workers for each shard when the number of shards is chosen. Lower than the
/// limit of 1,000 per record, since a hash distributes the workers unevenly.
const WORKERS_PER_SHARD: usize = 700;
/// Offset basis and prime of the 32-bit FNV-1a hash. Records must be found again by later versions,
/// so that the hash must not depend on a library.
const FNV_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// The machine of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Machine {
    /// Digest of its rack, labels and capacity.
    pub(crate) digest: u32,
    /// Identifier of its minion.
    pub(crate) minion: String,
}

impl Machine {
    pub(crate) fn of(minion: &Incarnation) -> Self {
        let capacity = minion.capacity.unwrap_or_default();
        let labels = minion.labels.join("\0");
        let text = format!("{}\0\0{labels}\0\0{capacity:?}", minion.rack);
        Machine { digest: hash(&text), minion: minion.id.clone() }
    }
}

/// A worker whose speed may be known.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    pub(crate) machine: Machine,
    /// What the store contains, as far as known.
    pub(crate) written: Option<Record>,
    /// Slowness in the latest log line.
    pub(crate) logged: f64,
    /// Time since which there is no such worker.
    pub(crate) absent_since: Option<Duration>,
}

/// A write of a shard that has had no reply.
pub(crate) struct Write {
    pub(crate) records: Vec<(WorkerName, Record)>,
    pub(crate) is_unequal: bool,
}

/// State of the learning and of the records.
#[derive(Default)]
pub(crate) struct Speeds {
    pub(crate) history: History,
    pub(crate) known: BTreeMap<WorkerName, Known>,
    /// Revisions of the shards; their number is a power of two once there are any.
    pub(crate) revisions: Vec<Revision>,
    pub(crate) in_flight: Option<Write>,
    /// Shard from which the search for one to write goes on.
    pub(crate) next_shard: usize,
    pub(crate) next_check: Duration,
    pub(crate) next_write: Duration,
    /// Whether the workers count as unequal according to the store.
    pub(crate) was_unequal_written: bool,
    pub(crate) was_unequal_logged: bool,
    pub(crate) writes: u64,
    /// Number of workers that are not at the reference speed.
    pub(crate) unequal_workers: usize,
}

impl Speeds {
    /// Returns the shard of a worker.
    pub(crate) fn shard(&self, worker: &str) -> usize {
        hash(worker) as usize % self.revisions.len().max(1)
    }

    /// Adds shards if there are more workers than these may have. All of them are then written
    /// again.
    pub(crate) fn grow(&mut self) {
        let needed = self.known.len().div_ceil(WORKERS_PER_SHARD).next_power_of_two();
        if needed > self.revisions.len() {
            self.revisions.resize(needed, 0);
            self.known.values_mut().for_each(|known| known.written = None);
        }
    }
}

/// Returns the 32-bit FNV-1a hash of a text.
fn hash(text: &str) -> u32 {
    text.bytes().fold(FNV_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME))
}
