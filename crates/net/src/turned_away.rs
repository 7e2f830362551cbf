//! Counts of callers that were turned away.

/// Numbers of callers that were turned away, by the reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnedAway {
    /// Gave way since the connections of their listener took too much memory.
    pub memory: u64,
    /// Closed in favour of a new connection, while they were idle or sent a part of a request.
    pub stalled: u64,
    /// Refused since all connections of their listener had requests that were being served.
    pub connections: u64,
    /// Sent a head or body above the limit.
    pub too_large: u64,
    /// Sent what is no HTTP request.
    pub malformed: u64,
    /// Did not send the rest of a request, or did not read the response, in time.
    pub late: u64,
}

impl TurnedAway {
    /// Returns each reason with its number of callers, without those that have none.
    pub fn by_reason(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let all = [
            ("memory", self.memory),
            ("stalled", self.stalled),
            ("connections", self.connections),
            ("too_large", self.too_large),
            ("malformed", self.malformed),
            ("late", self.late),
        ];
        all.into_iter().filter(|(_, count)| *count > 0)
    }

    /// Adds other counts.
    pub fn add(&mut self, other: TurnedAway) {
        self.memory += other.memory;
        self.stalled += other.stalled;
        self.connections += other.connections;
        self.too_large += other.too_large;
        self.malformed += other.malformed;
        self.late += other.late;
    }

    /// Counts a request that was refused with this status code.
    pub(crate) fn count_refusal(&mut self, status: u16) {
        match status {
            413 | 431 => self.too_large += 1,
            503 => self.memory += 1,
            _ => self.malformed += 1,
        }
    }
}
