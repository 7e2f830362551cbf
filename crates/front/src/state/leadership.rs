//! State of the leader election.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{Lead, remote_clock::RemoteClock};
use sapphire_planner::keys;
use sapphire_store::{call::Revision, lease};

use crate::options;

/// Longest random delay before an entry tries to acquire a leader key without a holder, so that the
/// entries don't all try at once.
const MAX_STAGGER: Duration = Duration::from_millis(20);

/// The lease on the leader key and what is known about the leader.
pub(crate) struct Leadership {
    /// This entry's side of the lease on the leader key.
    pub(crate) holder: lease::Holder,
    /// Leader with the highest term known.
    pub(crate) leader: Option<Lead>,
    /// The latest terms, each with a time at which it had begun.
    pub(crate) seen_terms: BTreeMap<Revision, Duration>,
    /// What the latest feeds tell of the clocks of their planners, by term.
    pub(crate) clocks: BTreeMap<Revision, RemoteClock>,
    /// Since when the leader key is known to have no holder.
    pub(crate) vacant_since: Option<Duration>,
    /// A read of the leader key is in progress.
    pub(crate) is_reading: bool,
    /// A watch of the leader key is in progress.
    pub(crate) is_watching: bool,
    /// Revision of the store up to which all changes of the leader key are known, where the next
    /// watch starts; 0 when the key has to be read first.
    pub(crate) watch_from: Revision,
    /// Earliest time of the next read of the leader key.
    pub(crate) read_at: Duration,
    /// Earliest time of the next watch of the leader key.
    pub(crate) watch_at: Duration,
    /// Earliest time of the next feed poll or question for the leader.
    pub(crate) query_at: Duration,
    /// Counter that selects the next entry to be asked for the leader.
    pub(crate) next_entry: usize,
    /// A feed poll is in progress.
    pub(crate) is_polling: bool,
    /// When the latest call for the lease was sent.
    pub(crate) lease_call_sent: Duration,
    /// When the latest event was handled.
    pub(crate) last_event: Duration,
    /// Random delay before this entry tries to acquire the leader key.
    pub(crate) stagger: Duration,
    /// The process is terminating and must not become the leader again.
    pub(crate) is_terminating: bool,
    /// Term whose holder has ended and whose key this entry has released already.
    pub(crate) released_term: Revision,
}

impl Leadership {
    pub(crate) fn new(settings: &options::Options) -> Self {
        let value = Lead {
            name: settings.name.clone(),
            address: settings.address.clone(),
            term: 0,
            generation: settings.generation,
        };
        let value = Bytes::from(value.encode_to_vec());
        let span = u64::try_from(MAX_STAGGER.as_millis()).unwrap_or(1).max(1);
        Leadership {
            holder: lease::Holder::new(keys::LEAD, value, settings.leader_lease),
            leader: None,
            seen_terms: BTreeMap::new(),
            clocks: BTreeMap::new(),
            vacant_since: None,
            is_reading: false,
            is_watching: false,
            watch_from: 0,
            read_at: Duration::ZERO,
            watch_at: Duration::ZERO,
            query_at: Duration::ZERO,
            next_entry: 0,
            is_polling: false,
            lease_call_sent: Duration::ZERO,
            last_event: Duration::ZERO,
            stagger: Duration::from_millis(settings.seed % span),
            is_terminating: false,
            released_term: 0,
        }
    }
}
