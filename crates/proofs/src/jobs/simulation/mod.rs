//! Event loop of the simulation: runs the state machines, the fake store and the fake minions in
//! virtual time, and records violated invariants.

mod agents;
pub mod bounds;
mod callers;
mod calm;
pub mod delays;
mod entries;
mod faults;
pub mod idle;
mod leftovers;
mod minions;
pub mod options;
mod settings;
pub mod standstill;
mod store_calls;
pub mod suspicions;
pub mod unanswered;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_front as front;
use sapphire_jobs::{
    Incarnation,
    task::{JobId, RunNumber, Task},
};
use sapphire_plan::policy::Policy;
use sapphire_planner::{self as planner, event::Moment, planner::Planner};
use sapphire_runner as runner;
use sapphire_store::call::Call;

use self::{
    bounds::Bounds,
    options::{Features, Options},
};
use super::{
    load::{Arrival, Site, Worker},
    minion::{Minion, Runs, Truth},
};
use crate::store;

/// One-way network latency between regions, within a region, and between an agent and the minion
/// on the same VM.
const REMOTE_LATENCY: Duration = Duration::from_millis(20);
const REGION_LATENCY: Duration = Duration::from_micros(900);
const LOCAL_LATENCY: Duration = Duration::from_micros(100);
/// Time that the store takes for a call.
const STORE_LATENCY: Duration = Duration::from_millis(4);
/// Time for which the store keeps its history of changes.
const HISTORY_RETENTION: Duration = Duration::from_secs(20);
/// Interval in which tasks make progress.
const STEP: Duration = Duration::from_millis(5);
const ENTRY_TICK: Duration = Duration::from_millis(50);
const AGENT_TICK: Duration = Duration::from_millis(60);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Store key of the configuration.
const CONFIG: &str = "config";
/// Unix time at simulation time zero.
const EPOCH: Duration = Duration::from_secs(1_790_000_000);

struct EntryNode {
    front: front::machine::Machine,
    planner: Option<Planner>,
    region: usize,
    generation: u64,
    is_up: bool,
    reaches_store: bool,
    paused_until: Duration,
    /// Until when it handles nothing although there is no fault.
    held_until: Duration,
}

struct AgentNode {
    machine: runner::machine::Machine,
    region: usize,
    generation: u64,
    is_up: bool,
    /// Whether it is cut off from everything but its minion.
    is_isolated: bool,
    paused_until: Duration,
    /// Until when it handles nothing although there is no fault.
    held_until: Duration,
}

/// Scheduled action. Numbers beside the index of a process are its generation.
#[derive(Debug)]
enum Action {
    EntryTick(usize, u64),
    AgentTick(usize, u64),
    Heartbeat(usize),
    Step,
    Front(usize, u64, front::event::Event),
    Store {
        entry: usize,
        generation: u64,
        origin: Origin,
        call: Call,
        sent: Duration,
    },
    Planner(usize, u64, planner::event::Event),
    Poll {
        entry: usize,
        agent: usize,
        generation: u64,
        ticket: u64,
        poll: Box<sapphire_jobs::Poll>,
    },
    Feed {
        entry: usize,
        requester: usize,
        generation: u64,
        poll: sapphire_jobs::FeedPoll,
        sent: Duration,
    },
    Runner(usize, u64, runner::event::Event),
    Minion(Box<Request>),
    QueryLeader {
        entry: usize,
        from: Requester,
        generation: u64,
    },
    Submit(usize),
    Cancel(usize),
    ReadState(usize),
    StartEntry(usize),
    StartAgent(usize),
    Deregister(usize, String),
    StartMinion(usize),
    /// Adds a worker in place of one that is gone.
    ReplaceWorker(usize),
    CheckStandstills,
    MeasureIdle,
    MeasureUnanswered,
    RecordInventory,
    CountListed(Box<calm::Listing>),
}

/// Call of an agent to its minion.
#[derive(Clone, Debug)]
struct Request {
    agent: usize,
    /// Generation of the agent process that gets the reply; `None` for an order that is carried out
    /// late, whose reply is lost.
    generation: Option<u64>,
    ticket: u64,
    call: runner::minion::Call,
    /// Identifier that the minion must have; any if empty.
    target: String,
    /// `born_ms` of the minion's incarnation when the call was sent.
    born_ms: u64,
    sent: Duration,
    /// When the call times out at the agent.
    timeout_at: Duration,
}

/// Process that queries an entry for the current leader.
#[derive(Clone, Copy, Debug)]
enum Requester {
    Entry(usize),
    Agent(usize),
}

/// Part of an entry that made a call to the store; of a planner, with its term.
#[derive(Clone, Debug)]
enum Origin {
    Front(front::event::Operation),
    Planner(u64, planner::event::Operation),
}

/// Poll that waits for the planner, with what its reply needs.
#[derive(Clone, Copy, Debug)]
enum PendingPoll {
    Agent { agent: usize, generation: u64, ticket: u64 },
    Entry { entry: usize, generation: u64, sent: Duration },
}

/// Run of a task that has ended as done.
#[derive(Clone, Debug)]
struct Completion {
    agent: usize,
    /// `born_ms` of its minion's incarnation.
    born_ms: u64,
    number: RunNumber,
    at: Duration,
    /// Whether the end is taken note of: acknowledged, or listed in calm time.
    is_acknowledged: bool,
    /// Whether the minion has listed it, when it counted as taken note of for that reason alone, and whether there was a
    /// disruption soon after.
    is_listed: bool,
    counted_at: Option<Duration>,
    is_disturbed: bool,
    /// When the end was acknowledged, whether or not the lease had expired by then.
    noted_at: Option<Duration>,
    /// Descriptions of the starts of the same task since then.
    starts: Vec<String>,
}

/// Refused submissions of one job.
#[derive(Clone, Copy, Debug, Default)]
struct Refusal {
    count: u32,
    /// When the caller may submit again.
    retry_at: Duration,
}

/// Simulation of one fleet.
pub struct Simulation {
    now: Duration,
    /// Pending actions by time and by the order in which they were scheduled.
    queue: BTreeMap<(Duration, u64), Action>,
    /// Latest sequence number of a scheduled action or a poll.
    last_sequence: u64,
    rng: Pcg32,
    store: store::Store,
    is_store_up: bool,
    /// Whether the store rejects all calls at once.
    is_store_refusing: bool,
    /// Whether the store carries out calls but its replies are lost.
    is_store_mute: bool,
    /// Time that the store takes for a call, half of it before the call is carried out.
    store_latency: Duration,
    /// Watches that the store has not answered yet: entry, its generation, origin, call, deadline.
    watches: Vec<(usize, u64, Origin, Call, Duration)>,
    entries: Vec<EntryNode>,
    agents: Vec<AgentNode>,
    minions: Vec<Minion>,
    /// Regions that are partitioned from the others and from the store. Each region is one
    /// availability zone, `z` and its number.
    partitioned: BTreeSet<usize>,
    /// When a fault last kept planners, or the worker of each agent, from following the others.
    disturbed_at: Duration,
    workers_disturbed_at: BTreeMap<usize, Duration>,
    /// Runs of tasks that were done which have been reported as going on.
    leftovers: BTreeSet<(Task, RunNumber)>,
    /// Workers that are gone for good.
    gone: BTreeSet<usize>,
    /// Minions that carry out calls but answer none.
    mute: BTreeSet<usize>,
    /// When each cordoned region was cordoned.
    cordons: BTreeMap<usize, Duration>,
    /// Polls that a planner has not answered yet.
    pending_polls: BTreeMap<u64, PendingPoll>,
    /// Actual behaviour of the tasks, by job and step.
    truth: BTreeMap<(String, u32), Truth>,
    arrivals: Vec<Arrival>,
    /// Time at which the load starts; arrivals and log lines count from it.
    load_start: Duration,
    /// When a caller was first told of each state of a job.
    reported: BTreeMap<(String, i32), Duration>,
    /// When a caller was last told that its job is accepted.
    accepted: BTreeMap<String, Duration>,
    /// Latest refusal of each job that was refused.
    refused: BTreeMap<String, Duration>,
    refusals: BTreeMap<usize, Refusal>,
    /// When a caller was first told that its job is cancelled.
    cancelled: BTreeMap<String, Duration>,
    /// Jobs that were cancelled before they were accepted.
    withdrawn: BTreeSet<String>,
    /// When the first task of each job started.
    started: BTreeMap<String, Duration>,
    /// Runs that have ended as done, by task.
    completions: BTreeMap<Task, Vec<Completion>>,
    /// Number of runs of each task that failed through their own fault or their minion's.
    failures: BTreeMap<Task, u32>,
    /// Since when each job stands still although it could run.
    standing_since: BTreeMap<JobId, Duration>,
    /// Jobs that have stood still although they could run.
    pub standstills: Vec<standstill::Standstill>,
    /// For how long jobs had nothing running although they could run.
    pub idle: idle::Figures,
    /// For how long unanswered starts counted.
    pub unanswered: unanswered::Figures,
    troubles: suspicions::Troubles,
    delays: delays::Delays,
    disruptions: calm::Disruptions,
    bounds: &'static Bounds,
    /// How long tasks of minions that crashed took until they ran again.
    pub recoveries: Vec<(suspicions::Crash, Duration)>,
    /// VMs without a minion besides those of the workers.
    pub vacant_vms: usize,
    /// Starts after an end that was only listed, with a disruption soon after the end counted as taken note of.
    pub starts_after_disruptions: Vec<String>,
    /// Descriptions of the violated invariants.
    pub violations: Vec<String>,
    /// Log lines, each with its time and process.
    pub log: Vec<String>,
    /// Share of the orders to minions that get no reply and are carried out late.
    pub late_orders: f64,
    /// Share of the orders that minions refuse as unhealthy and don't carry out.
    pub refused_orders: f64,
    /// Share of the stops that get no reply and are never carried out.
    pub lost_stops: f64,
    /// How often a caller submits a refused job again.
    pub retries: u32,
    /// Work lost on earlier incarnations of minions, in processor seconds.
    earlier_waste: f64,
    /// Runs that ended on earlier incarnations of minions, by job.
    earlier_runs: BTreeMap<JobId, Runs>,
    policy: Policy,
    features: Features,
    /// Whether a minion carries out calls that an earlier incarnation of it has received.
    calls_outlive_incarnations: bool,
    /// Number of reads of the configuration.
    pub catalog_reads: usize,
    /// Number of watches of the configuration.
    pub catalog_watches: usize,
}

/// Time from the start of the simulation to the start of the load, in which a planner takes
/// office.
const WARM_UP: Duration = Duration::from_secs(4);

impl Simulation {
    /// Simulation with one entry in each region and an agent on each worker.
    pub fn new(options: Options<'_>) -> Self {
        let mut sim = Simulation {
            now: Duration::from_secs(100),
            queue: BTreeMap::new(),
            last_sequence: 0,
            rng: Pcg32::seed_from_u64(options.seed),
            store: store::Store::with_history(HISTORY_RETENTION),
            catalog_reads: 0,
            catalog_watches: 0,
            is_store_up: true,
            is_store_refusing: false,
            is_store_mute: false,
            store_latency: Duration::ZERO,
            watches: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            minions: Vec::new(),
            partitioned: BTreeSet::new(),
            disturbed_at: Duration::ZERO,
            workers_disturbed_at: BTreeMap::new(),
            leftovers: BTreeSet::new(),
            gone: BTreeSet::new(),
            mute: BTreeSet::new(),
            cordons: BTreeMap::new(),
            pending_polls: BTreeMap::new(),
            truth: BTreeMap::new(),
            load_start: Duration::ZERO,
            reported: BTreeMap::new(),
            accepted: BTreeMap::new(),
            refused: BTreeMap::new(),
            refusals: BTreeMap::new(),
            retries: u32::MAX,
            cancelled: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            started: BTreeMap::new(),
            completions: BTreeMap::new(),
            failures: BTreeMap::new(),
            standing_since: BTreeMap::new(),
            standstills: Vec::new(),
            idle: idle::Figures::default(),
            unanswered: unanswered::Figures::default(),
            troubles: suspicions::Troubles::default(),
            delays: delays::Delays::default(),
            disruptions: calm::Disruptions::default(),
            bounds: options.bounds,
            recoveries: Vec::new(),
            vacant_vms: 0,
            starts_after_disruptions: Vec::new(),
            violations: Vec::new(),
            log: Vec::new(),
            late_orders: 0.0,
            refused_orders: 0.0,
            lost_stops: 0.0,
            earlier_waste: 0.0,
            earlier_runs: BTreeMap::new(),
            policy: options.policy,
            calls_outlive_incarnations: options.calls_outlive_incarnations,
            features: options.features,
            arrivals: options.arrivals,
        };
        sim.load_start = sim.now + WARM_UP;
        sim.configure(options.site);
        for region in 0..options.site.workers.len() {
            sim.add_entry(region);
        }
        for worker in options.site.fleet(options.has_slow) {
            let first_heartbeat = Duration::from_millis(100 * sim.agents.len() as u64);
            sim.add_worker(options.site, worker, first_heartbeat);
        }
        sim.draw_speeds(options.speeds);
        for index in 0..sim.arrivals.len() {
            let arrival = &sim.arrivals[index];
            for (step, truth) in arrival.truth.iter().enumerate() {
                sim.truth.insert((arrival.job.id.clone(), step as u32), truth.clone());
            }
            let at = sim.load_start + arrival.at;
            let cancel = arrival.cancel_after;
            sim.at(at, Action::Submit(index));
            if let Some(after) = cancel {
                sim.at(at + after, Action::Cancel(index));
            }
        }
        sim.at(sim.now + STEP, Action::Step);
        sim
    }

    /// Writes the configuration to the store; its content is that of [`settings::read_catalog`].
    fn configure(&mut self, _site: &Site) {
        let put = Call::Put {
            key: CONFIG.to_owned(),
            expected: 0,
            value: Bytes::from_static(b"1"),
            lease: None,
        };
        self.store.call(self.now, &put);
    }

    fn add_entry(&mut self, region: usize) {
        let index = self.entries.len();
        let front = front::machine::Machine::new(self.front_options(index, 1));
        self.entries.push(EntryNode {
            front,
            planner: None,
            region,
            generation: 1,
            is_up: true,
            reaches_store: true,
            paused_until: Duration::ZERO,
            held_until: Duration::ZERO,
        });
        self.after(Duration::from_millis(index as u64), Action::EntryTick(index, 1));
    }

    fn front_options(&self, index: usize, process_generation: u64) -> front::options::Options {
        front::options::Options {
            name: format!("e{index}"),
            address: format!("e{index}"),
            generation: process_generation,
            entries: (0..3).map(|other| format!("e{other}")).collect(),
            catalog_key: CONFIG.to_owned(),
            read_catalog: settings::read_catalog,
            revocation: Duration::from_secs(5),
            leader_lease: Duration::from_millis(1_300),
            retention: settings::STATUS_RETENTION,
            max_tombstones: 1_000,
            job_tasks: 20_000,
            gang_tasks: 2_000,
            seed: index as u64 * 17,
        }
    }

    fn add_worker(&mut self, site: &Site, worker: Worker, first_heartbeat: Duration) {
        let Worker { region, index, slowness } = worker;
        let number = self.agents.len();
        let incarnation = Incarnation {
            id: format!("m{number}"),
            born_ms: 1,
            service: "desk".to_owned(),
            labels: vec!["a".to_owned(), format!("r{region}-{}", index / site.workers_per_rack)],
            rack: format!("r{region}-{}", index / site.workers_per_rack),
            capacity: Some(site.capacity.message()),
            zone: zone(region),
            ..Incarnation::default()
        };
        let minion = Minion::new(incarnation)
            .with_clock(Duration::ZERO, self.bounds.longest_lease)
            .with_pace(slowness, site.conditions.restoration.max(self.bounds.restoration))
            .with_stop_delay(self.bounds.stop_delay);
        self.add_minion(region, minion, first_heartbeat);
    }

    /// Adds a minion and its agent.
    fn add_minion(&mut self, region: usize, minion: Minion, first_heartbeat: Duration) {
        let number = self.agents.len();
        self.minions.push(minion);
        let machine =
            runner::machine::Machine::new(settings::runner_options(number, 1, self.bounds));
        self.agents.push(AgentNode {
            machine,
            region,
            generation: 1,
            is_up: true,
            is_isolated: false,
            paused_until: Duration::ZERO,
            held_until: Duration::ZERO,
        });
        self.after(Duration::from_millis(number as u64), Action::AgentTick(number, 1));
        self.after(first_heartbeat, Action::Heartbeat(number));
        self.disrupt(number);
    }

    /// Draws the workers' speeds, uniformly on a logarithmic scale.
    fn draw_speeds(&mut self, speeds: f64) {
        if speeds > 1.0 {
            let half = speeds.ln() / 2.0;
            for minion in &mut self.minions {
                minion.slowness = self.rng.random_range(-half..half).exp();
            }
        }
    }

    fn at(&mut self, at: Duration, action: Action) {
        self.last_sequence += 1;
        self.queue.insert((at.max(self.now), self.last_sequence), action);
    }

    fn after(&mut self, after: Duration, action: Action) {
        self.at(self.now + after, action);
    }

    fn moment(&self) -> Moment {
        Moment { steady: self.now, unix: EPOCH + self.now }
    }

    /// Time since the start of the load.
    pub fn time(&self) -> Duration {
        self.now.saturating_sub(self.load_start)
    }

    /// Runs until this time after the start of the load.
    pub fn run_until(&mut self, time: Duration) {
        let until = self.load_start + time;
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > until {
                break;
            }
            let ((at, _), action) = self.queue.pop_first().expect("the queue is not empty");
            self.now = at;
            self.perform(action);
        }
        self.now = until;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::EntryTick(entry, generation) => self.entry_tick(entry, generation),
            Action::AgentTick(agent, generation) => {
                if self.agents[agent].generation == generation && self.agents[agent].is_up {
                    self.agent_event(agent, generation, runner::event::Event::Tick);
                    self.after(AGENT_TICK, Action::AgentTick(agent, generation));
                }
            }
            Action::Heartbeat(agent) => self.heartbeat(agent),
            Action::Step => self.step(),
            Action::Front(entry, generation, event) => self.front_event(entry, generation, event),
            Action::Store { entry, generation, origin, call, sent } => {
                self.store_call(entry, generation, origin, call, sent);
            }
            Action::Planner(to, generation, event) => self.planner_event(to, generation, event),
            Action::Poll { entry, agent, generation, ticket, poll } => {
                self.poll(entry, agent, generation, ticket, *poll);
            }
            Action::Feed { entry, requester, generation, poll, sent } => {
                self.feed(entry, requester, generation, poll, sent);
            }
            Action::Runner(agent, generation, event) => self.agent_event(agent, generation, event),
            Action::Minion(request) => self.minion_call(*request),
            Action::QueryLeader { entry, from, generation } => self.leader(entry, from, generation),
            Action::Submit(index) => self.submit(index),
            Action::Cancel(index) => self.cancel(index),
            Action::ReadState(index) => self.read_state(index),
            Action::StartEntry(entry) => self.start_entry(entry),
            Action::StartAgent(agent) => self.start_agent(agent),
            Action::Deregister(agent, id) => self.deregister(agent, &id),
            Action::StartMinion(agent) => self.start_minion(agent),
            Action::ReplaceWorker(agent) => self.replace_worker(agent),
            Action::CheckStandstills => self.check_standstills(),
            Action::MeasureIdle => self.measure_idle(),
            Action::MeasureUnanswered => self.measure_unanswered(),
            Action::RecordInventory => self.record_inventory(),
            Action::CountListed(listing) => self.count_listed(&listing),
        }
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        if from == to { REGION_LATENCY } else { REMOTE_LATENCY }
    }

    /// Whether messages between processes in two regions arrive.
    fn is_connected(&self, from: usize, to: usize) -> bool {
        from == to || !(self.partitioned.contains(&from) || self.partitioned.contains(&to))
    }

    fn entry_of(address: &str) -> Option<usize> {
        address.strip_prefix('e')?.parse().ok()
    }

    /// Number of agents.
    pub fn agents(&self) -> usize {
        self.agents.len()
    }

    /// Number of entries.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    fn log_line(&mut self, text: &str) {
        let time = self.now.as_secs_f64() - self.load_start.as_secs_f64();
        self.log.push(format!("{time:.3} {text}"));
    }
}

/// Name of a region's availability zone.
fn zone(region: usize) -> String {
    format!("z{region}")
}
