//! Optional kinds of faults and load, in addition to the faults of every seed.

/// Optional kinds of faults and load, in addition to the faults of every seed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trouble {
    /// For part of the run, minions don't answer a share of the starts and stops and carry them
    /// out seconds later; a minion that crashes may restart under another identifier.
    pub late_orders: bool,
    /// Some jobs are gangs.
    pub gangs: bool,
    /// Connections between the system's own processes are delayed, silenced, reset and cut one way.
    pub links: bool,
    /// Zones of minions are cordoned. With faulty links, an entry is also cut off from the store and
    /// from the other processes at the same time, as if its zone were partitioned.
    pub zones: bool,
}

impl Trouble {
    /// All kinds enabled.
    pub const ALL: Trouble = Trouble { late_orders: true, gangs: true, links: true, zones: true };
}
