//! Spells: troubles that last for some seconds and overlap, drawn by a generator of their own.

use std::{collections::BTreeSet, io, ops::Range, time::Duration};

use nix::sys::signal::Signal;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_jobs::resources::Resources;
use sapphire_proofs::jobs::minion::Truth;
use sapphire_runner::minion::Call as Order;
use sapphire_standins::jobs_platform as platform;
use sapphire_store::call::{Call, Reply};
use serde_json::{Value, json};

use super::{
    Options, Proxies, SPELLS_JOB_INTERVAL, Soak, drains::Plan, hold_ups, minions,
    unanswered::Departure,
};
use crate::{
    fleet::{ENTRIES, Fleet, Node},
    proxy::{Mode, Scope},
    trouble::Trouble,
};

/// Share of the jobs that are long gangs.
const LONG_SHARE: f64 = 0.35;
/// Share of the jobs that are tasks of some seconds where something is held up.
const SINGLE_SHARE: f64 = 0.6;
/// Share of the stops that are lost in a spell of lost stops.
const LOST_SHARE: f64 = 0.5;
/// Time for which each planner of a fast series plans.
const PLANNING_TIME: Duration = Duration::from_millis(800);
/// Interval between the planners killed in a slow series.
const SERIES_INTERVAL: Duration = Duration::from_secs(10);
/// Time within which a single planner is killed.
const TAKEOVER_TIME: Duration = Duration::from_millis(300);
/// Longest time for which spells of slow minions go on after the others.
const SLOW_EXCESS_MS: u64 = 20_000;
/// Share of the minions that leave together with their agents.
const MACHINE_SHARE: f64 = 0.75;
/// Share of the minions that left which are replaced, and the time until then.
const REPLACED_SHARE: f64 = 0.6;
const REPLACEMENT_MS: Range<u64> = 2_000..8_000;
/// Time within which planners are killed beside other losses.
const SERIES_TIME: Duration = Duration::from_secs(7);
/// Period in which a slow entry runs for its share of the time.
const SLOW_PERIOD_MS: u128 = 100;
/// Number of jobs that are submitted and cancelled together.
const BURST: Range<u32> = 10..25;
/// Share of the other jobs that are cancelled, and the time from their acceptance until then.
const CANCELLED_SHARE: f64 = 0.7;
const CANCELLED_MS: Range<u64> = 0..1_500;
/// Share of the submissions that arrive again, and the time from their acceptance until then.
const DUPLICATE_SHARE: f64 = 0.3;
const DUPLICATE_MS: Range<u64> = 50..5_000;

/// Interval at which VMs are taken away in series, and that at which planners are killed meanwhile.
const DEPARTURE_MS: Range<u64> = 1_200..2_400;
const DEPARTURES_PLANNER_INTERVAL: Duration = Duration::from_secs(7);

/// Interval between the moments at which listeners are closed, and the time for which they are.
const REFUSING_INTERVAL_MS: Range<u64> = 100..1_500;
const REFUSING_MS: Range<u64> = 20..2_000;
/// Interval between the minions that drain.
const DRAIN_INTERVAL_MS: Range<u64> = 300..1_500;
/// Interval between the times in which the inventory is wrong, and their length.
const HIDDEN_INTERVAL_MS: Range<u64> = 300..2_500;
const HIDDEN_MS: Range<u64> = 1_500..6_000;
/// Time for which agents are paused or dead meanwhile.
const SILENT_MS: Range<u64> = 3_000..7_000;
/// Age of an inventory.
const STALE_MS: Range<u64> = 1_000..6_000;

/// Time from the start that has no answer until its VM is gone, and from then until planners are killed.
const LOST_START_DELAY: Duration = Duration::from_secs(1);
/// Work of the task of which the start is lost.
const LOST_START_WORK: Duration = Duration::from_secs(4);
const LOST_START_KILLS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(12)];

/// Kind of a spell.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Kind {
    /// Minions are slower by a factor.
    Slow { agents: Vec<u8>, factor: f64 },
    /// All tasks that a minion starts fail.
    Failing(u8),
    /// A minion carries out calls but doesn't answer them.
    Mute(u8),
    /// Stops are neither carried out nor answered.
    LostStops,
    /// The minion that gets the next start leaves without an answer.
    Leaving,
    /// The planner is killed, and each next one that plans at this interval at least.
    Planners(Duration),
    /// Signals, restarts and changes of the configuration at the same time.
    Operations,
    /// A VM is gone, with its minion and its agent.
    VmGone(u8),
    /// An agent is dead while its minion runs on; it starts again unless it is lost for good.
    AgentDead { agent: u8, for_good: bool },
    /// A machine with an agent and its minion is cut off from all entries.
    CutOff(u8),
    /// What the planner sends to the agents or to the store, or gets from them, is held back.
    PlannerCut { to_store: bool, mode: Mode },
    /// An entry runs for a share of the time only.
    SlowEntry { entry: u8, share: f64 },
    /// All entries have no power, nor have the agents if `has_agents`.
    Power { has_agents: bool },
    /// Many jobs are submitted and cancelled; so are a share of the others.
    Cancels,
    /// A share of the starts and stops is not answered and carried out late.
    LateOrders(f64),
    /// A minion's listener is closed while its tasks run on.
    Refusing(u8),
    /// A minion drains, deregisters and goes on.
    Drain(Plan),
    /// The inventory is that of some time ago.
    StaleInventory(Duration),
    /// The inventory lacks the row of a minion, or only its identifier.
    Hidden { agent: u8, has_row: bool },
    /// An agent is paused while its minion runs on.
    AgentPaused(u8),
    /// An agent is paused for that time right before a run on its minion ends.
    EndHeld(Duration),
    /// The planner is paused.
    PlannerPaused,
    /// What an agent and the entries send to each other is held back, in one direction or both.
    LinkSilent { agent: u8, mode: Mode, scope: Scope },
    /// Answers to the calls of an agent to entries are lost.
    AnswersLost(u8),
    /// The store's answers to an entry are late by this time.
    StoreSlow { entry: u8, delay: Duration },
    /// The store's answers to an entry are lost.
    StoreLost(u8),
    /// A minion neither carries out calls nor answers them.
    Hanging(u8),
    /// An entry is paused with submissions unread, and their callers cancel the jobs at other entries.
    Withdrawals(u8),
}

impl Kind {
    fn is_enabled(&self, trouble: Trouble) -> bool {
        match self {
            Kind::Slow { .. } => trouble.slow,
            Kind::Failing(_) => trouble.failing,
            Kind::Mute(_) | Kind::LostStops => trouble.unanswered,
            Kind::Leaving => trouble.leaving,
            Kind::Planners(_) => trouble.planners,
            Kind::Operations => trouble.operations,
            // Drawn only if they are enabled.
            Kind::VmGone(_)
            | Kind::AgentDead { .. }
            | Kind::CutOff(_)
            | Kind::PlannerCut { .. }
            | Kind::SlowEntry { .. }
            | Kind::Power { .. }
            | Kind::Cancels
            | Kind::LateOrders(_)
            | Kind::Refusing(_)
            | Kind::Drain(_)
            | Kind::StaleInventory(_)
            | Kind::Hidden { .. }
            | Kind::AgentPaused(_)
            | Kind::EndHeld(_)
            | Kind::PlannerPaused
            | Kind::LinkSilent { .. }
            | Kind::AnswersLost(_)
            | Kind::StoreSlow { .. }
            | Kind::StoreLost(_)
            | Kind::Hanging(_)
            | Kind::Withdrawals(_) => true,
        }
    }
}

/// A spell, from its beginning to its end.
#[derive(Clone, Debug)]
pub(super) struct Spell {
    pub(super) from: Duration,
    pub(super) until: Duration,
    pub(super) kind: Kind,
    pub(super) is_begun: bool,
}

impl Spell {
    fn is_slow(&self) -> bool {
        matches!(self.kind, Kind::Slow { .. })
    }

    /// Returns whether the spell disturbs processes, minions or links all the while.
    fn is_disturbing(&self) -> bool {
        !matches!(
            self.kind,
            Kind::Slow { .. }
                | Kind::Leaving
                | Kind::Cancels
                | Kind::VmGone(_)
                | Kind::Operations
                | Kind::Drain(_)
                | Kind::EndHeld(_)
        ) && !matches!(self.kind, Kind::AgentDead { for_good: true, .. })
    }
}

/// The spells of a run that are not over.
#[derive(Debug)]
pub(super) struct Spells {
    rng: Pcg32,
    pub(super) spells: Vec<Spell>,
    /// End of the last spell.
    pub(super) end: Duration,
    /// Minions whose agents are to leave with them.
    departures: Vec<u8>,
    /// Minions that are to be replaced, and when.
    replacements: Vec<(Duration, u8)>,
    /// Whether each agent's minion is mute.
    mute: Vec<bool>,
    /// Revision of the leader key of the planner that was killed last, and when the next one may be
    /// killed.
    killed: u64,
    next_kill: Duration,
    /// Version of the configuration.
    version: u64,
    /// Entry whose links are cut as that of the planner.
    cut_planner: Option<u8>,
    /// Entry that is paused as the planner.
    paused_planner: Option<u8>,
    /// Processes that are stopped to make them slow.
    paused: BTreeSet<Node>,
    /// Agents that are dead for good.
    removed: BTreeSet<u8>,
    /// Draws series of planners with other losses, and cancellations.
    series_rng: Pcg32,
    /// Submissions that were accepted may arrive again.
    has_duplicates: bool,
    /// The next start has no answer, and its VM is gone after that.
    loses_start: bool,
    /// Draws the jobs of runs in which something is held up; `None` without such spells.
    hold_ups_rng: Option<Pcg32>,
}

impl Spells {
    /// Draws the spells, from `start` until the last job is submitted; those of slow minions may go
    /// on for longer.
    pub(super) fn new(options: &Options, start: Duration, agents: u8) -> Self {
        let mut spells = Spells {
            rng: Pcg32::seed_from_u64(options.seed ^ 0x5be11),
            spells: Vec::new(),
            end: Duration::ZERO,
            departures: Vec::new(),
            replacements: Vec::new(),
            mute: vec![false; usize::from(agents)],
            killed: 0,
            next_kill: Duration::ZERO,
            version: 1,
            cut_planner: None,
            paused_planner: None,
            paused: BTreeSet::new(),
            removed: BTreeSet::new(),
            series_rng: Pcg32::seed_from_u64(options.seed ^ 0x5e21e5),
            has_duplicates: options.trouble.cancels,
            loses_start: options.trouble.lost_start,
            hold_ups_rng: (options.trouble.has_hold_ups())
                .then(|| Pcg32::seed_from_u64(options.seed ^ 0x0401_d0b5)),
        };
        if options.trouble.has_spells() {
            let length = SPELLS_JOB_INTERVAL * options.jobs;
            spells.draw(start, u64::try_from(length.as_millis()).unwrap_or(u64::MAX), agents);
            spells.spells.retain(|spell| spell.kind.is_enabled(options.trouble));
            if options.trouble.mute_takeovers {
                // A generator of its own leaves the other spells of a seed as they are.
                let rng = Pcg32::seed_from_u64(options.seed ^ 0x307e);
                let earlier = std::mem::replace(&mut spells.rng, rng);
                spells.draw_mute_takeovers(start, length, agents);
                spells.rng = earlier;
            }
            spells.draw_series(options.trouble, start, length, agents);
            if options.trouble.departures {
                spells.draw_departures(start, length, agents);
            }
            spells.draw_listeners_and_drains(options, start, length, agents);
            spells.draw_inventories(options, start, length, agents);
            spells.draw_hold_ups(options, start, length, agents);
            spells.draw_withdrawals(options, start, length);
            spells.end = spells.spells.iter().map(|spell| spell.until).max().unwrap_or_default();
        }
        spells
    }

    fn draw(&mut self, start: Duration, length_ms: u64, agents: u8) {
        for _ in 0..self.rng.random_range(7..12) {
            let share = self.rng.random_range(0.1..0.34);
            let count = (f64::from(agents) * share).round().max(1.0) as usize;
            let mut all: Vec<u8> = (0..agents).collect();
            let draw = |_| all.swap_remove(self.rng.random_range(0..all.len()));
            let agents = (0..count).map(draw).collect();
            let factor = self.rng.random_range(4.0..13.0);
            let kind = Kind::Slow { agents, factor };
            self.add(start, length_ms + SLOW_EXCESS_MS, 3_000..10_000, kind);
        }
        for _ in 0..2 {
            let kind = Kind::Failing(self.rng.random_range(0..agents));
            self.add(start, length_ms, 1_000..4_000, kind);
            let kind = Kind::Mute(self.rng.random_range(0..agents));
            self.add(start, length_ms, 1_000..6_000, kind);
            self.add(start, length_ms, 2_000..6_000, Kind::LostStops);
        }
        for _ in 0..self.rng.random_range(2..5) {
            self.add(start, length_ms, 500..3_000, Kind::Leaving);
        }
        match self.rng.random_range(0..3) {
            0 => self.add(start, length_ms, 3_000..7_000, Kind::Planners(PLANNING_TIME)),
            1 => {
                let kind = Kind::Planners(SERIES_INTERVAL);
                self.add(start, 1, length_ms..length_ms + 1, kind);
            }
            _ => {}
        }
        for _ in 0..self.rng.random_range(1..4) {
            self.add(start, length_ms, 1..2, Kind::Operations);
        }
    }

    /// Draws spells in each of which several minions are mute, and the planner is killed near the
    /// beginning.
    fn draw_mute_takeovers(&mut self, start: Duration, length: Duration, agents: u8) {
        let mut from = start + Duration::from_millis(self.rng.random_range(0..3_000));
        while from < start + length {
            let until = from + Duration::from_millis(self.rng.random_range(6_000..17_000));
            let share = self.rng.random_range(0.1..0.4);
            for agent in 0..agents {
                if self.rng.random_bool(share) {
                    let delay = Duration::from_millis(self.rng.random_range(0..500));
                    let kind = Kind::Mute(agent);
                    self.spells.push(Spell { from, until: until + delay, kind, is_begun: false });
                }
            }
            for _ in 0..self.rng.random_range(1..3) {
                let from = from + Duration::from_millis(self.rng.random_range(0..2_500));
                let until = from + TAKEOVER_TIME;
                let kind = Kind::Planners(PLANNING_TIME);
                self.spells.push(Spell { from, until, kind, is_begun: false });
            }
            from = until + Duration::from_millis(self.rng.random_range(200..2_000));
        }
    }

    /// Draws series of planners with other losses, losses of power, and cancellations.
    fn draw_series(&mut self, trouble: Trouble, start: Duration, length: Duration, agents: u8) {
        let mut rng = self.series_rng.clone();
        let millis = Duration::from_millis;
        let mut add = |from, until, kind| {
            self.spells.push(Spell { from, until, kind, is_begun: false });
        };
        let mut from = start + millis(rng.random_range(0..4_000));
        while trouble.series && from < start + length {
            let count = rng.random_range(3..10);
            let until = from + SERIES_TIME;
            add(from, until, Kind::Planners(SERIES_TIME / count));
            for loss in 0..rng.random_range(1..4) {
                let agent = rng.random_range(0..agents);
                let kind = match if loss == 0 { 0 } else { rng.random_range(0..4) } {
                    0 => Kind::AgentDead { agent, for_good: rng.random_bool(0.5) },
                    1 => Kind::VmGone(agent),
                    _ => Kind::CutOff(agent),
                };
                let from = from + millis(rng.random_range(0..5_000));
                add(from, from + millis(rng.random_range(1_000..9_000)), kind);
            }
            if rng.random_bool(0.5) {
                let (to_store, is_request) = (rng.random_bool(0.5), rng.random_bool(0.5));
                let mode = if is_request { Mode::CutRequests } else { Mode::CutAnswers };
                let from = from + millis(rng.random_range(0..8_000));
                let until = from + millis(rng.random_range(800..5_000));
                add(from, until, Kind::PlannerCut { to_store, mode });
            }
            if rng.random_bool(0.5) {
                let (entry, share) = (rng.random_range(0..ENTRIES), rng.random_range(0.1..0.5));
                let from = from + millis(rng.random_range(0..8_000));
                let until = from + millis(rng.random_range(1_000..6_000));
                add(from, until, Kind::SlowEntry { entry, share });
            }
            from = until + millis(rng.random_range(500..12_000));
        }
        if trouble.power {
            let from = (start + length).saturating_sub(millis(rng.random_range(0..2_500)));
            let has_agents = rng.random_bool(0.3);
            let until = from + millis(rng.random_range(200..2_500));
            add(from, until, Kind::Power { has_agents });
        }
        if trouble.cancels {
            for storm in 0..rng.random_range(1..4) {
                // The first is at a time at which orders may be late.
                let share = if storm == 0 { 0.3 } else { 1.0 };
                let from = start + length.mul_f64(rng.random_range(0.0..share));
                add(from, from + millis(rng.random_range(500..3_000)), Kind::Cancels);
            }
        }
        self.series_rng = rng;
        if trouble.cancels && trouble.series {
            self.draw_cancelled_series(trouble);
        }
    }

    /// Draws cancellations, some of them beside late orders, for each series of planners and for each
    /// planner whose links are cut.
    fn draw_cancelled_series(&mut self, trouble: Trouble) {
        let millis = Duration::from_millis;
        let mut rng = Pcg32::seed_from_u64(self.series_rng.random::<u64>());
        let is_series = |kind: &Kind| match *kind {
            Kind::Planners(interval) => interval < SERIES_TIME && interval > PLANNING_TIME / 2,
            _ => matches!(kind, Kind::PlannerCut { .. }),
        };
        let beginnings: Vec<Duration> =
            self.spells.iter().filter(|it| is_series(&it.kind)).map(|it| it.from).collect();
        for beginning in beginnings {
            let from = beginning + millis(rng.random_range(0..2_500));
            let until = from + millis(rng.random_range(500..2_500));
            self.spells.push(Spell { from, until, kind: Kind::Cancels, is_begun: false });
            if trouble.late_orders && rng.random_bool(0.6) {
                let from = beginning.max(from.saturating_sub(millis(1_500)));
                let until = from + millis(rng.random_range(1_000..5_000));
                let kind = Kind::LateOrders(rng.random_range(0.1..0.7));
                self.spells.push(Spell { from, until, kind, is_begun: false });
            }
        }
    }

    /// Draws VMs that are taken away one after the other while orders are late and planners are killed.
    fn draw_departures(&mut self, start: Duration, length: Duration, agents: u8) {
        let millis = Duration::from_millis;
        let rng = &mut Pcg32::seed_from_u64(self.series_rng.random::<u64>());
        let mut add = |from, until, kind| {
            self.spells.push(Spell { from, until, kind, is_begun: false });
        };
        let end = start + length;
        add(start, end, Kind::LateOrders(rng.random_range(0.1..0.4)));
        add(start + millis(3_000), end, Kind::Planners(DEPARTURES_PLANNER_INTERVAL));
        let mut from = start + millis(rng.random_range(1_000..3_000));
        for agent in (0..agents).cycle() {
            if from >= end {
                break;
            }
            add(from, from + millis(1), Kind::VmGone(agent));
            from += millis(rng.random_range(DEPARTURE_MS));
        }
    }

    /// Draws closed listeners, one after the other and overlapping, and minions that drain.
    fn draw_listeners_and_drains(
        &mut self,
        options: &Options,
        start: Duration,
        length: Duration,
        agents: u8,
    ) {
        let rng = &mut Pcg32::seed_from_u64(options.seed ^ 0x115_7e4e5);
        let mut from = start;
        while options.trouble.listeners && from < start + length {
            from += Duration::from_millis(rng.random_range(REFUSING_INTERVAL_MS));
            let until = from + Duration::from_millis(rng.random_range(REFUSING_MS));
            let kind = Kind::Refusing(rng.random_range(0..agents));
            self.spells.push(Spell { from, until, kind, is_begun: false });
        }
        let rng = &mut Pcg32::seed_from_u64(options.seed ^ 0xd4a_1e5);
        let mut from = start;
        while options.trouble.drains && from < start + length {
            from += Duration::from_millis(rng.random_range(DRAIN_INTERVAL_MS));
            let plan = Plan::draw(rng, agents);
            let until = from + plan.length();
            self.spells.push(Spell { from, until, kind: Kind::Drain(plan), is_begun: false });
        }
    }

    /// Draws inventories that are old or lack minions, some of them while an agent is paused or dead.
    fn draw_inventories(
        &mut self,
        options: &Options,
        start: Duration,
        length: Duration,
        agents: u8,
    ) {
        let rng = &mut Pcg32::seed_from_u64(options.seed ^ 0x1_47e4_7047);
        let millis = Duration::from_millis;
        let mut from = start;
        while options.trouble.inventory && from < start + length {
            from += millis(rng.random_range(HIDDEN_INTERVAL_MS));
            let until = from + millis(rng.random_range(HIDDEN_MS));
            let agent = rng.random_range(0..agents);
            let kind = match rng.random_range(0..3) {
                0 => Kind::StaleInventory(millis(rng.random_range(STALE_MS))),
                kind => Kind::Hidden { agent, has_row: kind == 1 },
            };
            self.spells.push(Spell { from, until, kind, is_begun: false });
            // An agent has to be silent for a while before the inventory is read for its minion.
            let silent_from = from.saturating_sub(millis(rng.random_range(0..2_500))).max(start);
            let kind = match rng.random_range(0..4) {
                0 => continue,
                1 => Kind::AgentDead { agent, for_good: false },
                _ => Kind::AgentPaused(agent),
            };
            let until = silent_from + millis(rng.random_range(SILENT_MS));
            self.spells.push(Spell { from: silent_from, until, kind, is_begun: false });
        }
    }

    /// Returns whether a minion's listener is closed.
    pub(super) fn refuses(&self, now: Duration, agent: u8) -> bool {
        self.present(now).any(|kind| *kind == Kind::Refusing(agent))
    }

    /// Returns how old the inventory is, and the agents whose minions it lacks, with whether it still
    /// has their rows.
    pub(super) fn inventory(&self, now: Duration) -> (Duration, Vec<(u8, bool)>) {
        let age =
            |kind: &Kind| if let Kind::StaleInventory(age) = kind { Some(*age) } else { None };
        let hidden = |kind: &Kind| match *kind {
            Kind::Hidden { agent, has_row } => Some((agent, has_row)),
            _ => None,
        };
        let age = self.present(now).filter_map(age).max().unwrap_or_default();
        (age, self.present(now).filter_map(hidden).collect())
    }

    /// Returns whether another VM is to take the place of one that is gone.
    pub(super) fn is_replaced(&self, agent: u8) -> bool {
        self.replacements.iter().any(|(_, other)| *other == agent)
    }

    /// Adds a spell that begins within `within_ms` of `start`.
    fn add(&mut self, start: Duration, within_ms: u64, length_ms: Range<u64>, kind: Kind) {
        let from = start + Duration::from_millis(self.rng.random_range(0..within_ms.max(1)));
        let until = from + Duration::from_millis(self.rng.random_range(length_ms));
        self.spells.push(Spell { from, until, kind, is_begun: false });
    }

    /// Returns the spells in force.
    pub(super) fn present(&self, now: Duration) -> impl Iterator<Item = &Kind> {
        let is_present = move |spell: &&Spell| (spell.from..spell.until).contains(&now);
        self.spells.iter().filter(is_present).map(|spell| &spell.kind)
    }

    /// End of the last spell.
    pub(super) fn end(&self) -> Duration {
        self.end
    }

    /// Returns whether there are spells, other than of slow minions, or replacements to come.
    pub(super) fn has_faults(&self) -> bool {
        self.loses_start || !self.replacements.is_empty() || !self.spells.iter().all(Spell::is_slow)
    }

    /// Returns whether a spell disturbs processes, minions or links.
    pub(super) fn is_disturbing(&self, now: Duration) -> bool {
        let is_present = |spell: &&Spell| (spell.from..spell.until).contains(&now);
        self.spells.iter().filter(is_present).any(Spell::is_disturbing)
            || !self.departures.is_empty()
    }

    /// Returns whether no order reaches a minion, since its agent is dead or cut off.
    pub(super) fn is_away(&self, now: Duration, agent: u8) -> bool {
        self.removed.contains(&agent)
            || self.present(now).any(|kind| match kind {
                Kind::CutOff(other) | Kind::LinkSilent { agent: other, .. } => *other == agent,
                Kind::AgentDead { agent: other, .. } | Kind::AgentPaused(other) => *other == agent,
                Kind::Power { has_agents } => *has_agents,
                _ => false,
            })
    }

    /// Draws after what time a job is cancelled that is submitted now; `None` if it isn't.
    pub(super) fn draw_cancellation(&mut self, now: Duration) -> Option<Duration> {
        let is_present = self.present(now).any(|kind| *kind == Kind::Cancels);
        let is_cancelled = is_present && self.series_rng.random_bool(CANCELLED_SHARE);
        is_cancelled.then(|| Duration::from_millis(self.series_rng.random_range(CANCELLED_MS)))
    }

    /// Draws after what time the submission of a job that was accepted now arrives again; `None` if
    /// it doesn't.
    pub(super) fn draw_duplicate(&mut self) -> Option<Duration> {
        let is_duplicate = self.has_duplicates && self.series_rng.random_bool(DUPLICATE_SHARE);
        is_duplicate.then(|| Duration::from_millis(self.series_rng.random_range(DUPLICATE_MS)))
    }

    /// Returns whether a minion doesn't answer.
    pub(super) fn is_mute(&self, agent: u8) -> bool {
        self.mute[usize::from(agent)]
    }

    /// Returns whether an order is lost.
    pub(super) fn loses(&mut self, now: Duration, order: &Order) -> bool {
        matches!(order, Order::Stop { .. })
            && self.present(now).any(|kind| *kind == Kind::LostStops)
            && self.rng.random_bool(LOST_SHARE)
    }

    /// Returns whether a start or stop is carried out late.
    pub(super) fn delays(&mut self, now: Duration) -> bool {
        let share = |kind: &Kind| if let Kind::LateOrders(share) = kind { *share } else { 0.0 };
        let share = self.present(now).map(share).fold(0.0, f64::max);
        share > 0.0 && self.series_rng.random_bool(share)
    }

    /// Returns whether an attempt of a start is lost, and has its VM and planners lost later.
    pub(super) fn loses_start(&mut self, now: Duration, order: &Order, agent: u8) -> bool {
        if !self.loses_start || !matches!(order, Order::Start { .. }) {
            return false;
        }
        self.loses_start = false;
        let gone_at = now + LOST_START_DELAY;
        let mut add = |from, until, kind| {
            self.spells.push(Spell { from, until, kind, is_begun: false });
            self.end = self.end.max(until);
        };
        add(gone_at, gone_at + Duration::from_millis(1), Kind::VmGone(agent));
        for delay in LOST_START_KILLS {
            let from = gone_at + delay;
            add(from, from + TAKEOVER_TIME, Kind::Planners(PLANNING_TIME));
        }
        true
    }

    /// Returns whether a minion leaves that gets a start. Draws whether its agent leaves too, and
    /// its replacement. A minion that leaves without its agent accepts connections but does nothing.
    pub(super) fn takes_away(&mut self, now: Duration, agent: u8) -> bool {
        let is_leaving =
            |spell: &Spell| spell.kind == Kind::Leaving && (spell.from..spell.until).contains(&now);
        let Some(at) = self.spells.iter().position(is_leaving) else { return false };
        self.spells.remove(at);
        if self.rng.random_bool(MACHINE_SHARE) {
            self.departures.push(agent);
        }
        if self.rng.random_bool(REPLACED_SHARE) {
            let delay = Duration::from_millis(self.rng.random_range(REPLACEMENT_MS));
            self.replacements.push((now + delay, agent));
        }
        true
    }
}

impl Soak {
    /// Begins and ends spells, and lets those in force take effect.
    pub(super) fn drive_spells(
        &mut self,
        now: Duration,
        fleet: &mut Fleet,
        proxies: &Proxies,
    ) -> io::Result<()> {
        let due = |spell: &&mut Spell| !spell.is_begun && now >= spell.from;
        let mut begun = Vec::new();
        for spell in self.spells.spells.iter_mut().filter(due) {
            spell.is_begun = true;
            begun.push((spell.kind.clone(), spell.until - spell.from));
        }
        for (kind, length) in begun {
            if !matches!(kind, Kind::EndHeld(_)) {
                self.record_fault(&format!("spell {kind:?}"), length);
            }
            self.begin_spell(now, &kind, fleet);
        }
        let present: Vec<Kind> = self.spells.present(now).cloned().collect();
        let is_over = |spell: &Spell| spell.is_begun && now >= spell.until;
        let (over, later) = std::mem::take(&mut self.spells.spells).into_iter().partition(is_over);
        let over: Vec<Spell> = over;
        self.spells.spells = later;
        for spell in over {
            self.end_spell(now, &spell.kind, fleet)?;
        }
        for (agent, minion) in (0..).zip(&mut self.minions) {
            let slowdown = |kind: &Kind| match kind {
                Kind::Slow { agents, factor } if agents.contains(&agent) => *factor,
                _ => 1.0,
            };
            minion.slowdown = present.iter().map(slowdown).fold(1.0, f64::max);
            minion.fails = present.contains(&Kind::Failing(agent));
            self.spells.mute[usize::from(agent)] = present.contains(&Kind::Mute(agent));
        }
        if self.spells.has_faults() {
            self.faults_until = self.faults_until.max(now);
        }
        for kind in &present {
            if let Kind::Planners(interval) = kind {
                self.kill_planner(now, fleet, *interval);
            }
        }
        self.pause_processes(now, &present, fleet);
        self.drive_drains(now);
        self.drive_listeners(now)?;
        if self.options.trouble.has_proxies() {
            self.cut_links(now, &present, proxies);
        }
        for agent in std::mem::take(&mut self.spells.departures) {
            self.record_fault(&format!("taken away {:?}", Node::Agent(agent)), Duration::ZERO);
            self.gone.insert(agent);
            self.departures.push(Departure::begin(agent));
            fleet.take_away(Node::Agent(agent));
            self.disturb(now, Node::Agent(agent));
        }
        let replacements = std::mem::take(&mut self.spells.replacements);
        let (due, later) = replacements.into_iter().partition(|(at, _)| now >= *at);
        self.spells.replacements = later;
        let due: Vec<(Duration, u8)> = due;
        for (_, agent) in due {
            let minion = &mut self.minions[usize::from(agent)];
            let born_ms = minion.incarnation.born_ms + 1;
            *minion = minions::start(agent, born_ms, &self.options);
            self.gone.remove(&agent);
            self.vms[usize::from(agent)] += 1;
            let departure = self.departures.iter_mut().rfind(|it| it.agent == agent);
            departure.into_iter().for_each(Departure::end);
            self.spells.removed.remove(&agent);
            fleet.bring_back(Node::Agent(agent))?;
            minion.incarnation.id = format!("m{agent}-{born_ms}");
            self.write_log(&format!("m{agent} is replaced, born_ms={born_ms}"));
            self.disturb(now, Node::Agent(agent));
        }
        Ok(())
    }

    /// Carries out what happens once at the beginning of a spell.
    fn begin_spell(&mut self, now: Duration, kind: &Kind, fleet: &mut Fleet) {
        match *kind {
            Kind::Operations => self.operate(now, fleet),
            Kind::VmGone(agent) if self.gone.contains(&agent) => {}
            Kind::VmGone(agent) => {
                self.minions[usize::from(agent)].terminate(&self.truth);
                self.spells.departures.push(agent);
                // Series of departures leave too little capacity otherwise.
                let is_series = self.options.trouble.departures;
                let may_return = !self.options.trouble.lost_start;
                let is_drawn = may_return && self.spells.series_rng.random_bool(REPLACED_SHARE);
                if is_drawn || is_series {
                    let delay = self.spells.series_rng.random_range(REPLACEMENT_MS);
                    self.spells.replacements.push((now + Duration::from_millis(delay), agent));
                }
            }
            Kind::AgentDead { agent, for_good } => {
                fleet.take_away(Node::Agent(agent));
                self.disturb(now, Node::Agent(agent));
                if for_good {
                    self.spells.removed.insert(agent);
                }
            }
            Kind::Power { has_agents } => {
                for node in self.without_power(has_agents) {
                    fleet.take_away(node);
                    self.disturb(now, node);
                }
            }
            Kind::PlannerCut { .. } => self.spells.cut_planner = self.planner(now),
            Kind::PlannerPaused => self.spells.paused_planner = self.planner(now),
            Kind::Drain(plan) => self.begin_drain(now, plan),
            Kind::EndHeld(held) => self.hold_end(now, held),
            Kind::Withdrawals(entry) => self.submit_withdrawn(now, entry),
            Kind::Cancels => {
                for _ in 0..self.spells.series_rng.random_range(BURST) {
                    self.add_job(now);
                }
                let share = self.spells.series_rng.random_range(0.0..1.0);
                let rng = &mut self.spells.series_rng;
                for job in self.jobs.values_mut().filter(|job| !job.is_complete) {
                    if job.cancel_at.is_none() && rng.random_bool(share) {
                        let delay = Duration::from_millis(rng.random_range(CANCELLED_MS));
                        job.cancel_at = Some(now + delay);
                    }
                }
            }
            _ => {}
        }
    }

    /// Carries out what happens at the end of a spell.
    fn end_spell(&mut self, now: Duration, kind: &Kind, fleet: &mut Fleet) -> io::Result<()> {
        let nodes = match *kind {
            Kind::AgentDead { agent, for_good: false } => vec![Node::Agent(agent)],
            Kind::Power { has_agents } => self.without_power(has_agents),
            _ => Vec::new(),
        };
        for node in nodes {
            let is_gone =
                |agent| self.gone.contains(&agent) || self.spells.removed.contains(&agent);
            if !matches!(node, Node::Agent(agent) if is_gone(agent)) {
                fleet.bring_back(node)?;
                self.disturb(now, node);
            }
        }
        Ok(())
    }

    /// Returns the processes that a loss of power ends.
    fn without_power(&self, has_agents: bool) -> Vec<Node> {
        let agents = if has_agents { self.minions.len() as u8 } else { 0 };
        (0..ENTRIES).map(Node::Entry).chain((0..agents).map(Node::Agent)).collect()
    }

    /// Stops and resumes the slow entries and the paused agents.
    fn pause_processes(&mut self, now: Duration, present: &[Kind], fleet: &Fleet) {
        let planner = self.spells.paused_planner.map(Node::Entry);
        let phase = (now.as_millis() % SLOW_PERIOD_MS) as f64 / SLOW_PERIOD_MS as f64;
        let is_paused = |kind: &Kind| match *kind {
            Kind::SlowEntry { entry, share } if phase >= share => Some(Node::Entry(entry)),
            Kind::AgentPaused(agent) => Some(Node::Agent(agent)),
            Kind::Withdrawals(entry) => Some(Node::Entry(entry)),
            Kind::PlannerPaused => planner,
            _ => None,
        };
        let paused: BTreeSet<Node> = present.iter().filter_map(is_paused).collect();
        for node in self.spells.paused.symmetric_difference(&paused) {
            let signal = if paused.contains(node) { Signal::SIGSTOP } else { Signal::SIGCONT };
            fleet.signal(*node, signal);
        }
        self.spells.paused = paused;
    }

    /// Sets the modes of the links of machines and planners that are cut off.
    fn cut_links(&mut self, now: Duration, present: &[Kind], proxies: &Proxies) {
        let cut_planner = self.spells.cut_planner;
        let mode_to = |store: bool, entry: u8| {
            let mode = |kind: &Kind| match *kind {
                Kind::PlannerCut { to_store, mode } if to_store == store => Some(mode),
                _ => None,
            };
            present.iter().find_map(mode).filter(|_| cut_planner == Some(entry))
        };
        for (agent, ways) in (0..).zip(&proxies.agents) {
            let is_cut_off = present.contains(&Kind::CutOff(agent));
            if is_cut_off {
                self.disturb(now, Node::Agent(agent));
            }
            let link = |kind: &Kind| match *kind {
                Kind::LinkSilent { agent: other, mode, scope } if other == agent => {
                    Some((scope, mode))
                }
                _ => None,
            };
            let (scope, silent) = present.iter().find_map(link).unzip();
            let scope = scope.unwrap_or(Scope::All);
            let is_lost = present.contains(&Kind::AnswersLost(agent));
            let cut = is_cut_off.then_some(Mode::Silence);
            for (entry, proxy) in (0..).zip(&ways.to_entries) {
                let mode = cut.or(mode_to(false, entry)).or(silent);
                let mode = mode.or(is_lost.then_some(Mode::LoseAnswers)).unwrap_or(Mode::Pass);
                proxy.set_within(scope, mode);
            }
            let to_agents = (0..ENTRIES).find_map(|entry| mode_to(false, entry)).or(silent);
            // The planner is the client of the agent, so requests are what it sends.
            let to_agents = to_agents.map(|mode| match mode {
                Mode::Silence => Mode::Silence,
                Mode::CutRequests => Mode::CutAnswers,
                _ => Mode::CutRequests,
            });
            ways.to_agent.set_within(scope, cut.or(to_agents).unwrap_or(Mode::Pass));
        }
        for (entry, proxy) in (0..).zip(&proxies.store_cuts) {
            let store = |kind: &Kind| match *kind {
                Kind::StoreSlow { entry: other, delay } if other == entry => {
                    Some(Mode::SlowAnswers(delay))
                }
                Kind::StoreLost(other) if other == entry => Some(Mode::LoseAnswers),
                _ => None,
            };
            let mode = mode_to(true, entry).or(present.iter().find_map(store));
            proxy.set(mode.unwrap_or(Mode::Pass));
        }
    }

    /// Returns the entry that plans, by the leader key.
    fn planner(&mut self, now: Duration) -> Option<u8> {
        self.leader(now).map(|(entry, _)| entry)
    }

    /// Returns the holder of the leader key and the key's revision.
    fn leader(&mut self, now: Duration) -> Option<(u8, u64)> {
        let call = Call::Get { key: "lead".to_owned() };
        let Some(Reply::Value(lead)) = self.store.call(now, &call) else { return None };
        let named = |entry: &u8| {
            let name = format!("e{entry}");
            lead.bytes.windows(name.len()).any(|part| part == name.as_bytes())
        };
        (0..ENTRIES).find(named).map(|entry| (entry, lead.revision))
    }

    /// Kills the entry that plans, unless it is the one killed last or it is too early.
    fn kill_planner(&mut self, now: Duration, fleet: &Fleet, interval: Duration) {
        let Some((entry, revision)) = self.leader(now) else { return };
        if now >= self.spells.next_kill && revision != self.spells.killed {
            self.spells.killed = revision;
            self.spells.next_kill = now + interval;
            self.record_fault(&format!("kill planner {:?}", Node::Entry(entry)), Duration::ZERO);
            fleet.signal(Node::Entry(entry), Signal::SIGKILL);
        }
    }

    /// Signals several processes and changes the configuration at the same time.
    fn operate(&mut self, now: Duration, fleet: &Fleet) {
        let agents = self.minions.len() as u8;
        for _ in 0..3 {
            let signals = [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGKILL];
            let signal = signals[self.spells.rng.random_range(0..signals.len())];
            let node = if self.spells.rng.random_bool(0.4) {
                Node::Entry(self.spells.rng.random_range(0..ENTRIES))
            } else {
                Node::Agent(self.spells.rng.random_range(0..agents))
            };
            self.record_fault(&format!("{signal} {node:?}"), Duration::ZERO);
            self.disturb(now, node);
            fleet.signal(node, signal);
        }
        self.spells.version += self.spells.rng.random_range(1..5);
        let idle_routes = self.options.conditions.idle_routes + self.spells.rng.random_range(0..9);
        let version = self.spells.version;
        platform::configure_version(&mut self.store, now, idle_routes, version);
    }

    /// Draws a long gang with checkpoints in place of a job: its step as submitted, and its actual
    /// properties. It is a single task if its first start is to be lost.
    pub(super) fn draw_long_job(&mut self) -> Option<(Value, Truth)> {
        if self.options.trouble.lost_start {
            let step = json!({
                "count": 1, "cpu": 1_000, "mem_mb": 1_000, "gpu": 1,
                "estimate_ms": LOST_START_WORK.as_millis() as u64,
            });
            return Some((step, Soak::task_truth(LOST_START_WORK, 1)));
        }
        if let Some(rng) = &mut self.spells.hold_ups_rng
            && rng.random_bool(SINGLE_SHARE)
        {
            let work = Duration::from_millis(rng.random_range(hold_ups::WORK_MS));
            let step = json!({
                "count": rng.random_range(hold_ups::TASKS), "cpu": 1_000, "mem_mb": 1_000, "gpu": 1,
                "estimate_ms": work.as_millis() as u64,
            });
            return Some((step, Soak::task_truth(work, 1)));
        }
        if !self.options.trouble.has_spells() || !self.spells.rng.random_bool(LONG_SHARE) {
            return None;
        }
        let rng = &mut self.spells.rng;
        let (members, work_ms) = (rng.random_range(2..5), rng.random_range(2_000..6_000));
        let (estimate, wants_one_rack) = (rng.random_range(0.85..1.2), rng.random_bool(0.3));
        let work = Duration::from_millis(work_ms);
        let resources = Resources { millicores: 1_000, memory_mib: 1_000, accelerators: 2 };
        let mut step = json!({
            "count": members, "cpu": 1_000, "mem_mb": 1_000, "gpu": 2,
            "estimate_ms": work.mul_f64(estimate).as_millis() as u64,
            "gang": true, "checkpointing": true,
        });
        if wants_one_rack {
            step["rack_local"] = true.into();
        }
        let truth = Soak::task_truth(work, members);
        Some((step, Truth { checkpoints: true, wants_one_rack, resources, ..truth }))
    }
}
