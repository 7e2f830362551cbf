//! Options and time constants of an entry.

use std::time::Duration;

use bytes::Bytes;
use sapphire_jobs::catalog::Catalog;

/// Decodes a configuration as the operators wrote it; the error text says why that failed.
pub type ReadCatalog = fn(&Bytes, u64) -> Result<Catalog, String>;

/// Identity, addresses and bounds of an entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the entry.
    pub name: String,
    /// Address at which the entry listens for other processes.
    pub address: String,
    /// Start time of the process in microseconds of Unix time; distinguishes it from earlier
    /// processes of the same entry.
    pub generation: u64,
    /// Addresses of the entries that are known at startup.
    pub entries: Vec<String>,
    /// Key of the configuration in the store.
    pub catalog_key: String,
    /// Decodes the configuration.
    pub read_catalog: ReadCatalog,
    /// Time within which a revoked caller key must stop being served.
    pub revocation: Duration,
    /// Duration of the lease on the leader key.
    pub leader_lease: Duration,
    /// Time for which the planner keeps cancellations of jobs that don't exist.
    pub retention: Duration,
    /// Maximum number of such cancellations that the entry writes within that time.
    pub max_tombstones: usize,
    /// Most tasks of a job in one occurrence.
    pub job_tasks: u64,
    /// Most tasks of a gang.
    pub gang_tasks: u64,
    /// Seed of random choices.
    pub seed: u64,
}

/// Safety margin below [`Options::revocation`], for timers that fire late.
pub const REVOCATION_MARGIN: Duration = Duration::from_millis(400);
/// Age of the last freshness check up to which a caller may be told that its queue or key does not
/// exist.
pub const REFUSAL_MAX_AGE: Duration = Duration::from_millis(2_000);
/// Age of the last freshness check up to which the entry reports itself ready. Above
/// [`FOLLOWER_CHECK_AGE`] plus the time that a slow store takes to answer. Below the age at which
/// an entry refuses all caller keys ([`Options::revocation`] less [`REVOCATION_MARGIN`], 4.6 s by
/// default), so that new callers leave an isolated entry before that.
pub const READY_MAX_AGE: Duration = Duration::from_millis(3_000);
/// How often the leader checks that its configuration is the newest; the feed passes the result on
/// to the other entries.
pub const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Age of the last freshness check at which an entry other than the leader makes its own.
pub const FOLLOWER_CHECK_AGE: Duration = Duration::from_millis(2_200);
/// Delay before a failed read of the configuration is repeated.
pub const CATALOG_RETRY: Duration = Duration::from_millis(150);
/// Delay before a configuration that could not be decoded is read again.
pub const INVALID_CATALOG_RETRY: Duration = Duration::from_secs(5);
/// Time allowed for a watch in progress to deliver a configuration that other entries already have,
/// before the entry reads it itself.
pub const WATCH_GRACE: Duration = Duration::from_millis(500);
/// How long the store is asked to keep a watch open: less than the time for which it keeps its
/// history, so that the next watch can resume at the revision of the reply.
pub const WATCH_WAIT: Duration = Duration::from_secs(12);
/// Delay before a failed watch is restarted.
pub const WATCH_RETRY: Duration = Duration::from_millis(300);
/// Longest time for which an entry tries to write a job or a cancellation. Longer than a slow store
/// takes and than one direct and one relayed attempt take together; shorter than the timeout of
/// callers, so that they can try another entry in time.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(1_050);
/// Share of a caller's timeout that is spent on its write. Less than half, so that the caller has
/// time to try another entry: with all of it, callers waited in vain until their timeout.
pub const WRITE_TIMEOUT_SHARE: f64 = 0.45;
/// Delay before a failed write is sent again.
pub const WRITE_RETRY: Duration = Duration::from_millis(60);
/// Delay before a failed read for a look-up is sent again.
pub const LOOKUP_RETRY: Duration = Duration::from_millis(60);
/// Time after which a write without an answer has either been applied or is lost. The store may
/// apply a write 6 s late, and a network partition of a few seconds may delay it before that.
pub const WRITE_RESOLUTION_TIME: Duration = Duration::from_secs(15);
/// Most jobs in one write: three rows for each job, of the 32 rows that the store accepts.
pub const MAX_JOBS_PER_WRITE: usize = 10;
/// Number of writes in flight at which no further jobs are sent, nor cancellations of jobs that may not
/// exist. More than one, so that a write without an answer does not delay the others. Cancellations
/// of known jobs are sent regardless.
pub const MAX_WRITES_IN_FLIGHT: usize = 8;
/// How long a request for the state of a running job waits for the job's end. The end of a run
/// takes 45 ms from the minion's list to the leader, 10 to 50 ms in the store and 20 ms from there
/// to the entries. Below the 200 ms within which a terminating process answers its callers.
pub const READ_WAIT: Duration = Duration::from_millis(150);
/// Most requests that wait for a job's end; further ones are answered at once.
pub const MAX_WAITING_READS: usize = 1_000;
/// Time after which a caller should retry when the store could not be reached. Outages last
/// seconds, but another entry may reach the store at once.
pub const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Time after which a caller may retry a job that the planner has no memory for: some of its tasks end in
/// that time.
pub const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Delay before the leader is notified again of a job that its feed does not list yet.
pub const NOTICE_RETRY: Duration = Duration::from_millis(350);
/// Timeout of a feed poll.
pub const FEED_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Age of the latest feed up to which it counts as fresh.
pub const FEED_MAX_AGE: Duration = Duration::from_millis(2_000);
/// Delay before another entry is asked who the leader is, and after a failed feed poll.
pub const LEADER_QUERY_DELAY: Duration = Duration::from_millis(150);
/// Delay between reads of the leader key, which are made while its changes are not being watched or
/// the feed is out of date.
pub const LEADER_READ_INTERVAL: Duration = Duration::from_millis(700);
