//! Days of faults on a load of gangs, urgent and wide steps that falls to little before the end,
//! after which no job may stand still.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;

use super::{
    load::{self, Arrival, Kind, Site},
    simulation::{
        Simulation,
        bounds::{self, Bounds},
        delays::FleetWrites,
        options::Options,
        suspicions::{Linger, Misread},
    },
    sites, suspicions,
};

/// Times until which the load is high, until which there are faults, and until which jobs are
/// submitted, in seconds.
const HIGH_LOAD_END: f64 = 24.0;
const FAULTS_END: f64 = 34.0;
const LOAD_END: f64 = 36.0;
/// Latest time at which changes of planners in succession begin.
const LATEST_TAKEOVER: f64 = 30.0;
/// Speed of the slowest clock that a minion may have.
const SLOWEST_CLOCK: f64 = 0.98;
/// Load after [`HIGH_LOAD_END`], as a multiple of that before.
const LOW_LOAD: f64 = 0.2;
/// Time after the last submission and the end of the last fault from which no job may stand still.
pub const GRACE: Duration = Duration::from_secs(14);
/// Time for which standstills are looked for.
const WATCHED: Duration = Duration::from_secs(40);

/// Atlântica with gangs of up to five members, two of which fit on a worker.
pub const GANGS: Site = Site {
    name: "gangs",
    kinds: &[
        Kind {
            width: (3.2, 5.0),
            accelerators: &[1, 1, 2],
            rate: 0.5,
            one_rack_share: 0.5,
            ..sites::ATLANTICA.kinds[0]
        },
        sites::ATLANTICA.kinds[1],
        sites::ATLANTICA.kinds[2],
    ],
    ..sites::ATLANTICA
};

/// How the planner's entry is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Takeovers {
    None,
    Once,
    /// Every ten seconds.
    Series,
    /// Three to six times in succession, each time some seconds after the one before.
    Rapid,
}

/// What becomes of workers around a change of planners.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Silent {
    None,
    /// They are gone for good, and replaced after some seconds.
    Gone,
    /// They are cut off for some seconds, and their minions live on.
    CutOff,
    /// Their agents are lost for some seconds.
    WithoutAgent,
}

/// Faults of a day.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Whether there are spells of slow minions.
    has_slow: bool,
    /// Whether orders are carried out late, and stops are lost.
    has_late: bool,
    has_lost_stops: bool,
    /// Whether minions fail all their tasks for some seconds.
    has_failing: bool,
    /// Whether workers are replaced.
    has_replaced: bool,
    takeovers: Takeovers,
    /// Whether agents are killed and paused.
    has_agents: bool,
    /// Whether the store is down or slow.
    has_store: bool,
    /// Whether minions are mute for some seconds, most of them when the planner is killed, and have
    /// slow clocks.
    has_mute: bool,
    /// What becomes of one or two workers when the planner is first killed.
    silent: Silent,
    /// Whether workers are taken away one after the other, and new VMs are without a minion for long.
    has_departures: bool,
    /// Whether minions leave for long while their VMs and agents stay.
    has_absences: bool,
    /// Troubles in which minions that live on resemble minions that have ended.
    suspicions: suspicions::Kinds,
    /// Whether a minion carries out calls that an earlier incarnation of it has received.
    calls_outlive_incarnations: bool,
    bounds: &'static Bounds,
}

const NONE: Scenario = Scenario {
    name: "none",
    has_slow: false,
    has_late: false,
    has_lost_stops: false,
    has_failing: false,
    has_replaced: false,
    takeovers: Takeovers::None,
    has_agents: false,
    has_store: false,
    has_mute: false,
    silent: Silent::None,
    has_departures: false,
    has_absences: false,
    suspicions: suspicions::Kinds::NONE,
    calls_outlive_incarnations: true,
    bounds: &bounds::DEFAULT,
};

impl Scenario {
    /// The same with minions of which no incarnation carries out calls for an earlier one.
    pub fn with_calls_of_one_incarnation(self) -> Self {
        Scenario { calls_outlive_incarnations: false, ..self }
    }

    /// Its bounds in time.
    pub fn bounds(self) -> &'static Bounds {
        self.bounds
    }

    /// The same with other bounds in time.
    pub fn with_bounds(self, bounds: &'static Bounds) -> Self {
        Scenario { bounds, ..self }
    }
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    NONE,
    Scenario { name: "slow", has_slow: true, ..NONE },
    Scenario { name: "late", has_late: true, ..NONE },
    Scenario { name: "slow-late", has_slow: true, has_late: true, ..NONE },
    Scenario { name: "slow-lost-stops", has_slow: true, has_lost_stops: true, ..NONE },
    Scenario { name: "slow-failing", has_slow: true, has_failing: true, ..NONE },
    Scenario { name: "slow-replaced", has_slow: true, has_replaced: true, ..NONE },
    Scenario { name: "slow-takeover", has_slow: true, takeovers: Takeovers::Once, ..NONE },
    Scenario { name: "late-takeovers", has_late: true, takeovers: Takeovers::Series, ..NONE },
    Scenario { name: "late-agents", has_late: true, has_agents: true, ..NONE },
    Scenario { name: "slow-store", has_slow: true, has_store: true, ..NONE },
    Scenario {
        name: "all",
        has_slow: true,
        has_late: true,
        has_lost_stops: true,
        has_failing: true,
        has_replaced: true,
        takeovers: Takeovers::Series,
        has_agents: true,
        has_store: true,
        ..NONE
    },
    Scenario { name: "takeovers", takeovers: Takeovers::Rapid, ..NONE },
    Scenario { name: "gone-takeover", silent: Silent::Gone, takeovers: Takeovers::Once, ..NONE },
    Scenario { name: "gone-takeovers", silent: Silent::Gone, takeovers: Takeovers::Rapid, ..NONE },
    Scenario { name: "cut-takeover", silent: Silent::CutOff, takeovers: Takeovers::Once, ..NONE },
    Scenario { name: "cut-takeovers", silent: Silent::CutOff, takeovers: Takeovers::Rapid, ..NONE },
    Scenario {
        name: "agent-takeovers",
        silent: Silent::WithoutAgent,
        takeovers: Takeovers::Rapid,
        ..NONE
    },
    Scenario { name: "departures", has_late: true, has_departures: true, ..NONE },
    Scenario {
        name: "departures-takeovers",
        has_late: true,
        has_departures: true,
        takeovers: Takeovers::Series,
        ..NONE
    },
    Scenario {
        name: "departures-rapid",
        has_late: true,
        has_departures: true,
        takeovers: Takeovers::Rapid,
        ..NONE
    },
    Scenario {
        name: "absences",
        has_late: true,
        has_absences: true,
        takeovers: Takeovers::Series,
        ..NONE
    },
    Scenario { name: "mute", has_mute: true, ..NONE },
    Scenario { name: "mute-slow", has_mute: true, has_slow: true, ..NONE },
    Scenario { name: "mute-late", has_mute: true, has_late: true, ..NONE },
    Scenario { name: "mute-agents", has_mute: true, has_agents: true, ..NONE },
    Scenario { name: "mute-store", has_mute: true, has_store: true, ..NONE },
    Scenario {
        name: "mute-all",
        has_mute: true,
        has_late: true,
        has_slow: true,
        has_agents: true,
        has_store: true,
        ..NONE
    },
    Scenario { name: "refusing", suspicions: REFUSING, ..NONE },
    Scenario {
        name: "refusing-takeovers",
        suspicions: REFUSING,
        takeovers: Takeovers::Rapid,
        ..NONE
    },
    Scenario {
        name: "refusing-agents",
        suspicions: REFUSING,
        has_agents: true,
        has_late: true,
        ..NONE
    },
    Scenario { name: "refusing-store", suspicions: REFUSING, has_store: true, ..NONE },
    Scenario { name: "lingering", suspicions: LINGERING, ..NONE },
    Scenario {
        name: "lingering-takeovers",
        suspicions: LINGERING,
        takeovers: Takeovers::Rapid,
        ..NONE
    },
    Scenario {
        name: "lingering-agents",
        suspicions: LINGERING,
        has_agents: true,
        has_late: true,
        ..NONE
    },
    Scenario { name: "lingering-unlisted", suspicions: UNLISTED, ..NONE },
    Scenario { name: "inventory-old", suspicions: OLD_INVENTORY, ..NONE },
    Scenario { name: "inventory-lacking", suspicions: LACKING_INVENTORY, ..NONE },
    Scenario {
        name: "inventory-takeovers",
        suspicions: INVENTORY,
        takeovers: Takeovers::Rapid,
        ..NONE
    },
    Scenario {
        name: "inventory-agents",
        suspicions: INVENTORY,
        has_agents: true,
        has_late: true,
        ..NONE
    },
    Scenario { name: "refused-starts", suspicions: REFUSED_STARTS, ..NONE },
    Scenario { name: "refused-starts-late", suspicions: REFUSED_STARTS, has_late: true, ..NONE },
    Scenario {
        name: "suspicions",
        suspicions: suspicions::Kinds::ALL,
        takeovers: Takeovers::Series,
        has_agents: true,
        has_late: true,
        has_store: true,
        ..NONE
    },
    Scenario { name: "crashes", suspicions: CRASHES, ..NONE },
    Scenario { name: "held-up-agents", suspicions: HELD_UP_AGENTS, ..NONE },
    Scenario { name: "held-up-planners", suspicions: HELD_UP_PLANNERS, ..NONE },
    Scenario { name: "held-up-links", suspicions: HELD_UP_LINKS, ..NONE },
    Scenario { name: "slow-fleet-writes", suspicions: SLOW_FLEET_WRITES, ..NONE },
    Scenario { name: "held-up", suspicions: HELD_UP, ..NONE },
    Scenario {
        name: "held-up-agents-suspicions",
        suspicions: suspicions::Kinds { has_held_agents: true, ..suspicions::Kinds::ALL },
        ..NONE
    },
    Scenario {
        name: "held-up-planners-suspicions",
        suspicions: suspicions::Kinds { has_held_planners: true, ..suspicions::Kinds::ALL },
        ..NONE
    },
    Scenario {
        name: "held-up-links-suspicions",
        suspicions: suspicions::Kinds { has_held_links: true, ..suspicions::Kinds::ALL },
        ..NONE
    },
    Scenario {
        name: "slow-fleet-writes-suspicions",
        suspicions: suspicions::Kinds { has_slow_fleet_writes: true, ..suspicions::Kinds::ALL },
        ..NONE
    },
];

const REFUSING: suspicions::Kinds =
    suspicions::Kinds { has_refusals: true, ..suspicions::Kinds::NONE };
const LINGERING: suspicions::Kinds =
    suspicions::Kinds { has_lingering: true, ..suspicions::Kinds::NONE };
const UNLISTED: suspicions::Kinds = suspicions::Kinds { has_unlisted: true, ..LINGERING };
const OLD_INVENTORY: suspicions::Kinds =
    suspicions::Kinds { has_old_inventory: true, ..suspicions::Kinds::NONE };
const LACKING_INVENTORY: suspicions::Kinds =
    suspicions::Kinds { has_lacking_inventory: true, ..suspicions::Kinds::NONE };
const INVENTORY: suspicions::Kinds =
    suspicions::Kinds { has_old_inventory: true, ..LACKING_INVENTORY };
const REFUSED_STARTS: suspicions::Kinds =
    suspicions::Kinds { has_refused_starts: true, ..suspicions::Kinds::NONE };
const CRASHES: suspicions::Kinds =
    suspicions::Kinds { has_crashes: true, ..suspicions::Kinds::NONE };

const HELD_UP_AGENTS: suspicions::Kinds =
    suspicions::Kinds { has_held_agents: true, ..suspicions::Kinds::NONE };
const HELD_UP_PLANNERS: suspicions::Kinds =
    suspicions::Kinds { has_held_planners: true, ..suspicions::Kinds::NONE };
const HELD_UP_LINKS: suspicions::Kinds =
    suspicions::Kinds { has_held_links: true, ..suspicions::Kinds::NONE };
const SLOW_FLEET_WRITES: suspicions::Kinds =
    suspicions::Kinds { has_slow_fleet_writes: true, ..suspicions::Kinds::NONE };
const HELD_UP: suspicions::Kinds = suspicions::Kinds {
    has_held_agents: true,
    has_held_planners: true,
    has_held_links: true,
    has_slow_fleet_writes: true,
    ..suspicions::Kinds::NONE
};

/// Change of the conditions.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    Slowdown(usize, f64),
    Mute(usize, bool),
    PausePlanner(f64),
    Failing(usize, bool),
    Late(f64),
    LostStops(f64),
    ReplaceWorker(usize),
    RemoveWorker(usize, f64),
    RemoveMinion(usize, f64),
    VacantVms(usize),
    KillPlanner,
    KillAgent(usize, f64),
    Isolate(usize, bool),
    PauseAgent(usize, f64),
    StoreUp(bool),
    StoreLatency(u64),
    RefuseConnections(usize, f64),
    Drain(usize, f64, Linger),
    Misread(usize, Option<Misread>),
    InventoryLag(f64),
    RefusedOrders(f64),
    HoldUpAgent(usize, f64),
    HoldUpPlanner(f64),
    HoldUpLink(usize, f64, bool, bool),
    FleetWrites(Option<FleetWrites>),
}

/// Looks up a scenario.
pub fn scenario(name: &str) -> Option<Scenario> {
    SCENARIOS.iter().find(|it| it.name == name).copied()
}

/// Simulates a day. Standstills are looked for from `grace` after the last submission and the last
/// fault on.
pub fn simulate(scenario: Scenario, seed: u64, grace: Duration) -> Simulation {
    let arrivals = draw(seed);
    let last_arrival = arrivals.iter().map(|arrival| arrival.at).max().unwrap_or_default();
    let options = Options::new(&GANGS, arrivals, seed)
        .calls_outlive_incarnations(scenario.calls_outlive_incarnations)
        .bounds(scenario.bounds);
    let mut sim = Simulation::new(options);
    let changes = changes(scenario, seed, sim.agents());
    let last_change = changes.last().map_or(0.0, |(at, _)| *at);
    let from = last_arrival.max(Duration::from_secs_f64(last_change)) + grace;
    sim.check_standstills_from(from);
    sim.measure_idle_times();
    sim.measure_unanswered_starts();
    if scenario.has_mute {
        for worker in 0..sim.agents() {
            let minion = sim.minion(worker);
            (minion.clock_rate, minion.max_lease) =
                (SLOWEST_CLOCK, scenario.bounds.longest_slow_lease);
        }
    }
    for (at, change) in changes {
        sim.run_until(Duration::from_secs_f64(at));
        apply(&mut sim, change);
    }
    sim.run_to_end(from + WATCHED);
    sim
}

fn draw(seed: u64) -> Vec<Arrival> {
    let end = Duration::from_secs_f64(LOAD_END);
    let high_end = Duration::from_secs_f64(HIGH_LOAD_END);
    let mut arrivals = load::draw(&GANGS, seed, high_end, 1.0);
    for mut arrival in load::draw(&GANGS, !seed, end, LOW_LOAD) {
        if arrival.at >= high_end {
            arrival.job.id = format!("e{}", &arrival.job.id[1..]);
            arrivals.push(arrival);
        }
    }
    arrivals
}

/// Draws the faults of a day, in the order of time.
fn changes(scenario: Scenario, seed: u64, workers: usize) -> Vec<(f64, Change)> {
    let mut rng = Pcg32::seed_from_u64(seed ^ 0xfa17);
    let mut changes = Vec::new();
    if scenario.has_slow {
        let mut at = rng.random_range(4.0..7.0);
        while at < FAULTS_END - 5.0 {
            let share = rng.random_range(0.1..0.34);
            let until = (at + rng.random_range(5.0..8.0)).min(FAULTS_END);
            let factor = rng.random_range(4.0..13.0);
            for worker in choose(&mut rng, workers, share) {
                changes.push((at, Change::Slowdown(worker, factor)));
                changes.push((until, Change::Slowdown(worker, 1.0)));
            }
            at = until + rng.random_range(0.5..3.0);
        }
    }
    if scenario.has_late {
        changes.push((3.0, Change::Late(rng.random_range(0.05..0.3))));
        changes.push((FAULTS_END, Change::Late(0.0)));
    }
    if scenario.has_lost_stops {
        changes.push((3.0, Change::LostStops(rng.random_range(0.05..0.3))));
        changes.push((FAULTS_END, Change::LostStops(0.0)));
    }
    if scenario.has_failing {
        for _ in 0..3 {
            let at = rng.random_range(5.0..FAULTS_END - 6.0);
            let until = at + rng.random_range(3.0..6.0);
            for worker in choose(&mut rng, workers, 0.2) {
                changes.push((at, Change::Failing(worker, true)));
                changes.push((until, Change::Failing(worker, false)));
            }
        }
    }
    if scenario.has_replaced {
        for worker in choose(&mut rng, workers, 0.3) {
            let at = rng.random_range(5.0..FAULTS_END);
            changes.push((at, Change::ReplaceWorker(worker)));
        }
    }
    let takeover = rng.random_range(4.0..14.0);
    let takeovers: &[f64] = match scenario.takeovers {
        Takeovers::None => &[],
        Takeovers::Once => &[10.0],
        Takeovers::Series => &[0.0, 10.0, 20.0],
        // Drawn below, so that the other scenarios have the same draws as before.
        Takeovers::Rapid => &[],
    };
    changes.extend(takeovers.iter().map(|after| (takeover + after, Change::KillPlanner)));
    if scenario.has_agents {
        for _ in 0..8 {
            let (at, agent) = (rng.random_range(4.0..FAULTS_END), rng.random_range(0..workers));
            let time = rng.random_range(0.3..4.0);
            let is_killed = rng.random_bool(0.5);
            let change = if is_killed {
                Change::KillAgent(agent, time)
            } else {
                Change::PauseAgent(agent, time)
            };
            changes.push((at, change));
        }
    }
    if scenario.has_store {
        let at = rng.random_range(5.0..FAULTS_END - 4.0);
        let (start, end) = if rng.random_bool(0.5) {
            (Change::StoreUp(false), Change::StoreUp(true))
        } else {
            (Change::StoreLatency(600), Change::StoreLatency(0))
        };
        changes.extend([(at, start), (at + 4.0, end)]);
    }
    if scenario.has_mute {
        changes.extend(mute_spells(&mut rng, workers));
    }
    if scenario.takeovers == Takeovers::Rapid {
        changes.extend(rapid_takeovers(&mut rng));
    }
    if scenario.silent != Silent::None {
        changes.extend(silences(scenario.silent, &mut rng, workers, &changes));
    }
    if scenario.has_departures {
        changes.extend(departures(&mut rng, workers));
    }
    if scenario.has_absences {
        changes.extend(absences(&mut rng, workers));
    }
    changes.extend(suspicions::draw(scenario.suspicions, seed, workers, FAULTS_END));
    changes.sort_by(|left, right| left.0.total_cmp(&right.0));
    changes
}

/// Draws changes of planners in succession, none of whom serves for more than some seconds.
fn rapid_takeovers(rng: &mut Pcg32) -> Vec<(f64, Change)> {
    let mut at = rng.random_range(6.0..LATEST_TAKEOVER);
    let kills = (0..rng.random_range(3..7)).map(|_| {
        at += rng.random_range(1.6..4.0);
        (at, Change::KillPlanner)
    });
    kills.collect()
}

/// Draws what becomes of one or two workers when the planner is first killed.
fn silences(
    silent: Silent,
    rng: &mut Pcg32,
    workers: usize,
    changes: &[(f64, Change)],
) -> Vec<(f64, Change)> {
    let kills = changes.iter().filter(|(_, change)| matches!(change, Change::KillPlanner));
    let first = kills.map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
    let count = rng.random_range(1..3);
    let chosen: Vec<usize> = choose(rng, workers, 1.0).into_iter().take(count).collect();
    let mut drawn = Vec::new();
    for worker in chosen {
        let at = first + rng.random_range(-1.0..0.5);
        let time = rng.random_range(8.0..20.0);
        match silent {
            Silent::None => {}
            Silent::Gone => drawn.push((at, Change::ReplaceWorker(worker))),
            Silent::WithoutAgent => drawn.push((at, Change::KillAgent(worker, time))),
            Silent::CutOff => {
                drawn.push((at, Change::Isolate(worker, true)));
                drawn.push((at + time, Change::Isolate(worker, false)));
            }
        }
    }
    drawn
}

/// Draws workers that are taken away one after the other. There is always a VM whose minion has not
/// started yet.
fn departures(rng: &mut Pcg32, workers: usize) -> Vec<(f64, Change)> {
    let mut drawn = vec![(0.0, Change::VacantVms(1))];
    let mut at = rng.random_range(4.0..9.0);
    // Those that replace the first ones leave as well.
    for worker in 0..workers * 2 {
        let replaced_after = rng.random_range(4.0..9.0);
        drawn.push((at, Change::RemoveWorker(worker, replaced_after)));
        at += rng.random_range(0.8..2.5);
        if at >= FAULTS_END {
            break;
        }
    }
    drawn
}

/// Draws minions that leave for longer than a start may be late.
fn absences(rng: &mut Pcg32, workers: usize) -> Vec<(f64, Change)> {
    let chosen = choose(rng, workers, 0.4);
    let mut drawn = Vec::new();
    for worker in chosen {
        let (at, time) = (rng.random_range(4.0..FAULTS_END), rng.random_range(16.0..30.0));
        drawn.push((at, Change::RemoveMinion(worker, time)));
    }
    drawn
}

/// Draws spells in which minions are mute; the planner is killed or paused around the start of most
/// of them, and again after some.
fn mute_spells(rng: &mut Pcg32, workers: usize) -> Vec<(f64, Change)> {
    let mut changes = Vec::new();
    let mut at = rng.random_range(3.0..7.0);
    while at < FAULTS_END - 6.0 {
        let until = (at + rng.random_range(4.0..17.0)).min(FAULTS_END);
        let share = rng.random_range(0.1..0.34);
        for worker in choose(rng, workers, share) {
            changes.push((at, Change::Mute(worker, true)));
            changes.push((until + rng.random_range(0.0..0.5), Change::Mute(worker, false)));
        }
        if rng.random_bool(0.85) {
            let loss = at + rng.random_range(-0.5..2.0);
            let is_pause = rng.random_bool(0.2);
            let pause = Change::PausePlanner(rng.random_range(1.0..6.0));
            changes.push((loss, if is_pause { pause } else { Change::KillPlanner }));
        }
        if rng.random_bool(0.3) {
            changes.push((at + rng.random_range(2.0..13.0), Change::KillPlanner));
        }
        at = until + rng.random_range(0.2..4.0);
    }
    changes
}

/// Chooses a share of the workers, one at least.
pub(super) fn choose(rng: &mut Pcg32, workers: usize, share: f64) -> Vec<usize> {
    let count = ((workers as f64 * share).round() as usize).max(1);
    let mut all: Vec<usize> = (0..workers).collect();
    (0..count).map(|_| all.swap_remove(rng.random_range(0..all.len()))).collect()
}

fn apply(sim: &mut Simulation, change: Change) {
    match change {
        Change::Slowdown(worker, factor) => {
            sim.minion(worker).slowdown = factor;
            sim.note(&format!("m{worker} slowdown={factor:.1}"));
        }
        Change::Mute(worker, is_mute) => sim.set_minion_mute(worker, is_mute),
        Change::PausePlanner(time) => {
            if let Some(planner) = sim.planner_entry() {
                sim.pause_entry(planner, Duration::from_secs_f64(time));
            }
        }
        Change::Failing(worker, fails) => {
            sim.minion(worker).fails = fails;
            sim.note(&format!("m{worker} fails={fails}"));
        }
        Change::Late(share) => sim.late_orders = share,
        Change::LostStops(share) => sim.lost_stops = share,
        Change::ReplaceWorker(worker) => sim.remove_worker(worker, Duration::from_secs(4)),
        Change::RemoveWorker(worker, replaced_after) => {
            if worker < sim.agents() {
                sim.remove_worker(worker, Duration::from_secs_f64(replaced_after));
            }
        }
        Change::RemoveMinion(worker, time) => {
            sim.remove_minion(worker, Duration::from_secs_f64(time));
        }
        Change::VacantVms(count) => sim.vacant_vms = count,
        Change::KillPlanner => {
            if let Some(planner) = sim.planner_entry() {
                sim.kill_entry(planner, Duration::from_secs(1));
            }
        }
        Change::KillAgent(agent, time) => {
            if sim.is_worker_up(agent) {
                sim.kill_agent(agent, Duration::from_secs_f64(time));
            }
        }
        Change::Isolate(agent, is_isolated) => sim.set_agent_isolated(agent, is_isolated),
        Change::PauseAgent(agent, time) => sim.pause_agent(agent, Duration::from_secs_f64(time)),
        Change::StoreUp(is_up) => sim.set_store_up(is_up),
        Change::RefuseConnections(worker, time) => {
            sim.refuse_connections(worker, Duration::from_secs_f64(time));
        }
        Change::Drain(worker, leaves_after, linger) => {
            sim.drain_lingering(worker, Duration::from_secs_f64(leaves_after), linger);
        }
        Change::Misread(worker, misread) => sim.misread_inventory(worker, misread),
        Change::InventoryLag(lag) => sim.set_inventory_lag(Duration::from_secs_f64(lag)),
        Change::RefusedOrders(share) => sim.refused_orders = share,
        Change::HoldUpAgent(agent, time) => {
            sim.hold_up_agent(agent, Duration::from_secs_f64(time));
        }
        Change::HoldUpPlanner(time) => {
            if let Some(planner) = sim.planner_entry() {
                sim.hold_up_entry(planner, Duration::from_secs_f64(time));
            }
        }
        Change::HoldUpLink(agent, time, polls, answers) => {
            sim.hold_up_link(agent, Duration::from_secs_f64(time), polls, answers);
        }
        Change::FleetWrites(fleet_writes) => sim.set_fleet_writes(fleet_writes),
        Change::StoreLatency(latency) => sim.set_store_latency(Duration::from_millis(latency)),
    }
}
