//! Shares that the interfaces of a process get of its memory and descriptors.

use std::time::Duration;

use nix::sys::resource::{Resource, getrlimit};
use sapphire_net::message::{self, CONNECTION_BYTES, Limits};
use sapphire_settings::ProcessLimits;

/// Most connections of an interface that many callers or processes use.
const MAX_CONNECTIONS: usize = 1_024;
/// Most connections of an interface that few processes use.
const MAX_FEW_CONNECTIONS: usize = 64;
/// Descriptors that are kept for other uses than connections of the interfaces and calls.
const MIN_OTHER_DESCRIPTORS: usize = 24;
/// Largest body of a caller's request, in bytes.
const CALLER_BODY: usize = 1 << 20;
/// Least limit of the body of a caller's request, in bytes; with a lower one nobody could submit a job.
const MIN_CALLER_BODY: usize = 16 << 10;
/// Largest body of a minion's heartbeat, in bytes.
const HEARTBEAT_BODY: usize = 4 << 20;
/// Largest body of a call between processes, in bytes: a relayed write to the store of several values, or
/// a notice of several large jobs.
const CALL_BODY: usize = 8 << 20;
/// Largest body of an announcement of the leader, in bytes.
const ANNOUNCEMENT_BODY: usize = 64 << 10;
/// Largest body of a request for readiness or metrics, in bytes.
const PROBE_BODY: usize = 16 << 10;
/// Receive buffers of the system in bytes, where bodies are small and where they may be large.
const SMALL_RECEIVE: usize = 16 << 10;
const LARGE_RECEIVE: usize = 32 << 10;
/// Memory in bytes that an interface has for its requests beyond the largest body.
const MIN_MARGIN: usize = 128 << 10;

/// Largest body of a caller's request in bytes, given the limit that operators have set.
pub fn caller_body(configured: Option<u64>) -> usize {
    let bytes =
        configured.map_or(CALLER_BODY, |bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    bytes.clamp(MIN_CALLER_BODY, CALLER_BODY)
}

/// Divides the memory and descriptors of a process among its interfaces. All shares together leave
/// memory for the state of the process and descriptors for its own calls.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    memory: usize,
    sockets: usize,
}

impl Shares {
    /// Creates the shares of what the settings allow; the system may allow fewer descriptors.
    pub fn new(limits: &ProcessLimits) -> Self {
        let allowed = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
        let descriptors = allowed.min(limits.descriptors.into());
        let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
        let other = (descriptors / 20).max(MIN_OTHER_DESCRIPTORS);
        Shares {
            memory: usize::try_from(limits.memory_bytes).unwrap_or(usize::MAX),
            sockets: descriptors.saturating_sub(other),
        }
    }

    /// Interface of the users' platform for callers.
    pub fn callers(&self) -> Limits {
        Limits {
            connections: self.many_connections(self.memory / 5, SMALL_RECEIVE),
            body_bytes: CALLER_BODY,
            memory_bytes: self.pool(8, CALLER_BODY),
            receive_bytes: SMALL_RECEIVE,
            idle_timeout: Duration::from_secs(15),
            ..Limits::default()
        }
    }

    /// Interface of an entry for other processes of the system.
    pub fn entry_internal(&self) -> Limits {
        self.internal(CALL_BODY)
    }

    /// Interface of an agent for other processes of the system.
    pub fn agent_internal(&self) -> Limits {
        self.internal(ANNOUNCEMENT_BODY)
    }

    fn internal(&self, body_bytes: usize) -> Limits {
        Limits {
            connections: self.many_connections(self.memory * 3 / 10, LARGE_RECEIVE),
            body_bytes,
            memory_bytes: self.pool(8, body_bytes),
            receive_bytes: LARGE_RECEIVE,
            ..Limits::default()
        }
    }

    /// Interface for readiness checks or metrics.
    pub fn probes(&self) -> Limits {
        Limits {
            connections: (self.sockets / 20).min(MAX_FEW_CONNECTIONS),
            body_bytes: PROBE_BODY,
            memory_bytes: self.pool(64, PROBE_BODY),
            receive_bytes: SMALL_RECEIVE,
            idle_timeout: Duration::from_secs(15),
            ..Limits::default()
        }
    }

    /// Interface of an agent for its minion, which opens few connections and may send large bodies.
    pub fn minion(&self) -> Limits {
        Limits {
            connections: (self.sockets / 5).min(MAX_FEW_CONNECTIONS),
            body_bytes: HEARTBEAT_BODY,
            memory_bytes: self.pool(8, HEARTBEAT_BODY),
            receive_bytes: LARGE_RECEIVE,
            ..Limits::default()
        }
    }

    /// The product's own interface for callers and operators.
    pub fn http(&self, body_bytes: usize, refusal: fn(u16) -> message::Response) -> Limits {
        Limits {
            connections: (self.sockets / 2).min(MAX_CONNECTIONS),
            body_bytes,
            memory_bytes: self.pool(4, body_bytes),
            receive_bytes: SMALL_RECEIVE,
            request_timeout: Duration::from_secs(30),
            refusal,
            ..Limits::default()
        }
    }

    /// Connections of an interface that many callers or processes use, which together may take a part of
    /// the memory.
    fn many_connections(&self, memory: usize, receive_bytes: usize) -> usize {
        let by_memory = memory / (CONNECTION_BYTES + receive_bytes);
        (self.sockets * 3 / 10).min(by_memory).min(MAX_CONNECTIONS)
    }

    /// Memory that the requests of an interface share: a part of all memory, and at least enough for
    /// one with the largest body.
    fn pool(&self, part: usize, body_bytes: usize) -> usize {
        (self.memory / part).max(body_bytes + MIN_MARGIN)
    }
}
