//! Shares that the interfaces of a process get of its memory.

use std::time::Duration;

use sapphire_net::message::Limits;
use sapphire_settings::ProcessLimits;

/// Most connections of an interface that many callers or processes use.
const MAX_CONNECTIONS: usize = 1_024;
/// Most connections of an interface that few processes use.
const MAX_FEW_CONNECTIONS: usize = 64;
/// Largest body of a caller's request, in bytes.
const CALLER_BODY: usize = 1 << 20;
/// Largest body of a minion's heartbeat, in bytes.
const HEARTBEAT_BODY: usize = 4 << 20;
/// Largest body of a request for readiness or metrics, in bytes.
const PROBE_BODY: usize = 16 << 10;
/// Memory in bytes that an interface has for its requests beyond the largest body.
const MIN_MARGIN: usize = 128 << 10;

/// Divides the memory of a process among its interfaces. All shares together leave memory for the
/// state of the process.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    memory: usize,
}

impl Shares {
    /// Creates the shares of what the settings allow.
    pub fn new(limits: &ProcessLimits) -> Self {
        Shares { memory: usize::try_from(limits.memory_bytes).unwrap_or(usize::MAX) }
    }

    /// Interface of the users' platform for callers.
    pub fn callers(&self) -> Limits {
        Limits {
            connections: MAX_CONNECTIONS,
            body_bytes: CALLER_BODY,
            memory_bytes: self.pool(8, CALLER_BODY),
            receive_bytes: 16 << 10,
            idle_timeout: Duration::from_secs(15),
            ..Limits::default()
        }
    }

    /// Interface of the users' platform for other processes of the system.
    pub fn internal(&self) -> Limits {
        let limits = Limits::default();
        Limits {
            connections: MAX_CONNECTIONS,
            memory_bytes: self.pool(8, limits.body_bytes),
            receive_bytes: 32 << 10,
            ..limits
        }
    }

    /// Interface for readiness checks or metrics.
    pub fn probes(&self) -> Limits {
        Limits {
            connections: MAX_FEW_CONNECTIONS,
            body_bytes: PROBE_BODY,
            memory_bytes: self.pool(64, PROBE_BODY),
            receive_bytes: 16 << 10,
            idle_timeout: Duration::from_secs(15),
            ..Limits::default()
        }
    }

    /// Interface of an agent for its minion, which opens few connections and may send large bodies.
    pub fn minion(&self) -> Limits {
        Limits {
            connections: MAX_FEW_CONNECTIONS,
            body_bytes: HEARTBEAT_BODY,
            memory_bytes: self.pool(8, HEARTBEAT_BODY),
            receive_bytes: 32 << 10,
            ..Limits::default()
        }
    }

    /// Memory that the requests of an interface share: a part of all memory, and at least enough for
    /// one with the largest body.
    fn pool(&self, part: usize, body_bytes: usize) -> usize {
        (self.memory / part).max(body_bytes + MIN_MARGIN)
    }
}
