//! Settings of an entry.

use std::time::Duration;

use bytes::Bytes;
use sapphire_jobs::catalog::Catalog;

/// Reads a configuration as the operators wrote it; the text says why it can't be read.
pub type ReadCatalog = fn(&Bytes, u64) -> Result<Catalog, String>;

/// Names, bounds and where things are.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name.
    pub name: String,
    /// Where it listens for other processes.
    pub address: String,
    /// Start of its process.
    pub generation: u64,
    /// Other entries, to begin with.
    pub entries: Vec<String>,
    /// Key of the configuration in the store.
    pub catalog_key: String,
    /// Reads the configuration.
    pub read_catalog: ReadCatalog,
    /// Time after which a key that was taken away must not be served any more.
    pub revocation: Duration,
    /// Lease of the planner's key.
    pub lead_lease: Duration,
    /// Seed of what is drawn at random.
    pub seed: u64,
}

/// Margin of the proof that a key still holds, for timers that fire late.
pub const REVOCATION_MARGIN: Duration = Duration::from_millis(400);
/// Age of the proof up to which a caller may be told that its queue or key does not exist.
pub const REFUSAL_AGE: Duration = Duration::from_millis(2_000);
/// Age of the proof up to which callers should be sent to an entry. Above the age at which it
/// proves its configuration by itself, with a store that is slow: an entry that is cut off alone
/// is left by new callers 2.5 s sooner than when its keys have to be refused.
pub const READY_PROOF: Duration = Duration::from_millis(3_000);
/// How often the planner's entry proves its configuration; the others hear of it from there.
pub const PROOF_INTERVAL: Duration = Duration::from_millis(1_000);
/// Age of the proof at which an entry proves its configuration by itself.
pub const OWN_PROOF_AGE: Duration = Duration::from_millis(2_200);
/// Pause before a failed read of the configuration is repeated.
pub const CATALOG_RETRY: Duration = Duration::from_millis(150);
/// Pause before a configuration that can't be read is asked for again.
pub const UNREADABLE_RETRY: Duration = Duration::from_secs(5);
/// Time for a watch under way to bring a configuration that others have already.
pub const WATCH_GRACE: Duration = Duration::from_millis(500);
/// How long the store is asked to hold a watch: below the time for which it keeps its history, so
/// that the next watch can go on from the answer.
pub const WATCH_WAIT: Duration = Duration::from_secs(12);
/// Pause before a watch that failed is begun again.
pub const WATCH_RETRY: Duration = Duration::from_millis(300);
/// How long an entry tries to have a job or a cancellation written. Longer than a store that is
/// slow takes and than one try each straight and through another entry; shorter than callers
/// wait, so that they can go elsewhere in time.
pub const WRITE_PATIENCE: Duration = Duration::from_millis(1_050);
/// Share of the time that a caller still waits for which its write is tried. Under half, so that
/// it has time for another entry; with all of it, callers were held to their end in vain.
pub const HELD_SHARE: f64 = 0.45;
/// Pause before a write that failed is sent again.
pub const WRITE_RETRY: Duration = Duration::from_millis(60);
/// Pause before a read for a look-up that failed is sent again.
pub const LOOK_UP_RETRY: Duration = Duration::from_millis(60);
/// Time after which a write without an answer is certainly carried out or lost. The store may
/// carry one out 6 s late, and a cut of a few seconds may hold it up before.
pub const UNSETTLED: Duration = Duration::from_secs(15);
/// Jobs in one write, two rows each of the 32 that the store takes.
pub const WRITE_JOBS: usize = 12;
/// Writes under way at once, so that one without an answer doesn't hold up the others.
pub const WRITES: usize = 8;
/// How long a caller that asks for the state of a running job waits for its end. What an end
/// takes from the minion's list to the entries: 45 ms to the planner, 10 to 50 ms in the store,
/// 20 ms to the entries; below the 200 ms in which a process that is told to end answers.
pub const READ_HOLD: Duration = Duration::from_millis(150);
/// Callers that wait so at most; others are told at once how their job stands.
pub const READS: usize = 1_000;
/// When a caller is to come again after the store could not be reached. Outages last seconds;
/// another entry may reach the store at once.
pub const COME_AGAIN: Duration = Duration::from_millis(1_000);
/// Pause before the planner is told again of a job that it does not show yet.
pub const TELL_AGAIN: Duration = Duration::from_millis(350);
/// Time for the planner's answer to a feed poll.
pub const FEED_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Age of the feed up to which it counts as fresh.
pub const FEED_FRESH: Duration = Duration::from_millis(2_000);
/// Pause before somebody is asked who plans.
pub const LEAD_PAUSE: Duration = Duration::from_millis(150);
/// Pause before the planner's key is read while nobody is known to hold it.
pub const LEAD_READ: Duration = Duration::from_millis(700);
