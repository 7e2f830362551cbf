//! Kinds of trouble beside the faults that every seed has.

/// Kinds of trouble beside the faults that every seed has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trouble {
    /// For part of the run, minions leave a share of starts and stops without an answer and carry
    /// them out seconds later; a minion that crashes may come back under another id.
    pub late_orders: bool,
    /// Some jobs are gangs.
    pub gangs: bool,
    /// Connections between the system's own processes are delayed, silenced, reset and cut one way.
    pub links: bool,
}

impl Trouble {
    /// All kinds.
    pub const ALL: Trouble = Trouble { late_orders: true, gangs: true, links: true };
}
