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
    /// Agents are held up, one after the other, while their minions go on.
    pub held_agents: bool,
    /// Planners are held up.
    pub held_planners: bool,
    /// Links between an agent and the entries are silent in one direction or both, without a reset.
    pub agent_links: bool,
    /// The answers to an agent's polls are lost.
    pub lost_answers: bool,
    /// The store's answers to one entry are slow or lost.
    pub slow_store: bool,
    /// Minions refuse connections or hang for some seconds while their tasks go on.
    pub hanging: bool,
    /// Entries are paused with submissions unread, and their callers cancel the jobs at other entries.
    pub withdrawals: bool,
    /// Processes of another service send heartbeats to agents.
    pub foreign: bool,
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
        held_agents: false,
        held_planners: false,
        agent_links: false,
        lost_answers: false,
        slow_store: false,
        hanging: false,
        withdrawals: false,
        foreign: false,
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

    /// Returns this with all kinds in which something is held up.
    pub const fn with_hold_ups(self) -> Trouble {
        Trouble {
            held_agents: true,
            held_planners: true,
            agent_links: true,
            lost_answers: true,
            slow_store: true,
            hanging: true,
            ..self
        }
    }

    /// Returns whether any of the kinds is enabled in which something is held up.
    pub fn has_hold_ups(&self) -> bool {
        self.held_agents
            || self.held_planners
            || self.hanging
            || self.slow_store
            || self.has_agent_links()
    }

    /// Returns whether agents have proxies of their own, and the store second ones.
    pub fn has_proxies(&self) -> bool {
        self.series || self.slow_store || self.has_agent_links()
    }

    fn has_agent_links(&self) -> bool {
        self.agent_links || self.lost_answers
    }

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
            || self.withdrawals
            || self.departures
            || self.lost_start
            || self.listeners
            || self.drains
            || self.inventory
            || self.has_hold_ups()
    }
}
