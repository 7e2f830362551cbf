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
    /// Spells in which minions are slow.
    pub slow: bool,
    /// Spells in which a minion fails all its tasks.
    pub failing: bool,
    /// Spells in which a minion carries out calls but doesn't answer them, or stops are lost.
    pub unanswered: bool,
    /// Minions leave right after a start that they don't answer; some are replaced.
    pub leaving: bool,
    /// Planners are killed in series.
    pub planners: bool,
    /// Signals, restarts and changes of the configuration at the same time.
    pub operations: bool,
    /// Several minions at once carry out calls and answer none, while planners are killed.
    pub mute_takeovers: bool,
    /// Planners are killed in series while a VM or an agent is gone or a machine is cut off, a
    /// planner's links are cut in one direction, or an entry is slow.
    pub series: bool,
    /// All entries, and in some runs all agents, lose power at once near the end of the traffic.
    pub power: bool,
    /// Jobs are cancelled, many at once and promptly after they were submitted; some submissions
    /// arrive again after they were accepted.
    pub cancels: bool,
    /// VMs are taken away one after the other while orders are late and planners are killed; their
    /// replacements are without a minion for long.
    pub departures: bool,
    /// The first start has no answer at its first attempt, its VM is gone for good one second later, and
    /// the planner is killed 3 and 12 seconds after that.
    pub lost_start: bool,
    /// The listeners of minions are closed for a moment while their tasks run on and their heartbeats
    /// go on.
    pub listeners: bool,
    /// Minions drain and go on for some seconds after their deregistration.
    pub drains: bool,
    /// The inventory of VMs is some seconds old or lacks live minions, also while their agents are
    /// paused or killed.
    pub inventory: bool,
}

impl Trouble {
    /// All kinds but spells.
    pub const WITHOUT_SPELLS: Trouble = Trouble {
        late_orders: true,
        gangs: true,
        links: true,
        zones: true,
        slow: false,
        failing: false,
        unanswered: false,
        leaving: false,
        planners: false,
        operations: false,
        mute_takeovers: false,
        series: false,
        power: false,
        cancels: false,
        departures: false,
        lost_start: false,
        listeners: false,
        drains: false,
        inventory: false,
    };
    /// All kinds that are drawn.
    pub const ALL: Trouble = Trouble {
        slow: true,
        failing: true,
        unanswered: true,
        leaving: true,
        planners: true,
        operations: true,
        mute_takeovers: true,
        series: true,
        power: true,
        cancels: true,
        departures: true,
        listeners: true,
        drains: true,
        inventory: true,
        ..Trouble::WITHOUT_SPELLS
    };

    /// Returns whether any of the kinds is enabled that come in spells. Such a run has twice the
    /// agents, on three racks, and jobs that are longer gangs with checkpoints.
    pub fn has_spells(&self) -> bool {
        self.slow
            || self.failing
            || self.unanswered
            || self.leaving
            || self.planners
            || self.operations
            || self.mute_takeovers
            || self.series
            || self.power
            || self.cancels
            || self.departures
            || self.lost_start
            || self.listeners
            || self.drains
            || self.inventory
    }
}
