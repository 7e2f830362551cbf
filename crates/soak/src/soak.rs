//! The run of one seed: submits jobs, injects faults, and checks the promises that callers and
//! minions can observe.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    path::{Path, PathBuf},
    time::Duration,
};

use nix::sys::signal::Signal;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use sapphire_jobs::task::{RunNumber, Task};
use sapphire_net::{
    clock,
    hub::{CallId, CallerId, Event, Hub, ListenerId},
    message::{Limits, Request, Response},
};
use sapphire_proofs::{
    jobs::minion::{Minion, Truth},
    store::Store,
};
use sapphire_standins::jobs_platform as platform;
use sapphire_store::call::{Call, Reply};
use serde_json::{Value, json};

use crate::{
    conditions::{Conditions, millis},
    fleet::{AGENTS, ENTRIES, Fleet, Net, Node, Ways},
    proxy::{Mode, Proxy},
    trouble::Trouble,
};

mod cancels;
mod drains;
mod foreign;
mod hold_ups;
mod idle;
mod inventory;
mod listed;
mod minions;
mod spells;
mod unanswered;
mod waits;
mod withdrawals;

pub use idle::Standstill;
pub use unanswered::Figures;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the program `sapphired`.
    pub program: PathBuf,
    /// Folder for settings and logs; created if it doesn't exist.
    pub folder: PathBuf,
    /// Seed of the jobs and faults.
    pub seed: u64,
    /// Number of jobs.
    pub jobs: u32,
    /// Number of faults.
    pub faults: u32,
    /// Loopback network of the deployment: the third byte of its addresses. The example `soak` uses
    /// 1 to 240, tests the numbers above, so that they can run at the same time.
    pub net: u8,
    /// Conditions of the store and of the links to it.
    pub conditions: Conditions,
    /// Optional kinds of faults and load.
    pub trouble: Trouble,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Promises that were broken, one text each.
    pub broken: Vec<String>,
    /// Number of jobs that were accepted.
    pub accepted: usize,
    /// Number of jobs that callers saw as ended. Failed and cancelled ones count too; each of them
    /// is also a broken promise, unless a task of it has failed as often as it may.
    pub complete: usize,
    /// Number of jobs that were cancelled after a submission without an answer, with an acknowledgement.
    pub withdrawn: usize,
    /// Faults in the order in which they were injected.
    pub faults: Vec<String>,
    /// Times for which a job had nothing running for three seconds or more although there was
    /// capacity for it.
    pub standstills: Vec<Standstill>,
    /// Longest time for which a job had nothing running although there was capacity for it.
    pub longest_standstill: Duration,
    /// Starts after an end as done that was listed while only a process was stopped by a signal. They
    /// would break a promise if the machine had been too busy to run it.
    pub frozen: Vec<String>,
    /// Other starts after an end as done that break no promise.
    pub repeats: Vec<String>,
    /// Longest times for which unanswered starts counted.
    pub unanswered: Figures,
}

/// Longest wait for network events before the next step.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between the heartbeats of a minion, and their timeout.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time from a response to the caller's next request for the same job.
const REQUEST_DELAY: Duration = Duration::from_millis(150);
/// Timeout of a caller's request.
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Interval between the submissions of new jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(90);
/// Interval between faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(900);
/// Interval between the submissions of new jobs with spells.
const SPELLS_JOB_INTERVAL: Duration = Duration::from_millis(300);
/// Time from the start of the processes to the first job.
const STARTUP_DELAY: Duration = Duration::from_millis(2_500);
/// Time after the end of the last fault within which every accepted job has to be complete.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(30);

/// What an outstanding HTTP call was made for; jobs are named by their id.
#[derive(Debug)]
enum Pending {
    Submission(String),
    Query(String),
    Cancellation(String),
    /// A submission that arrives again after it was accepted.
    Duplicate,
    Heartbeat,
}

/// A job as its caller knows it.
#[derive(Default)]
struct Job {
    tasks: u32,
    /// Its only step, as submitted.
    step: Value,
    /// When the caller sends its next request.
    next_request_at: Duration,
    is_accepted: bool,
    was_refused: bool,
    /// The caller has seen that the job has ended.
    is_complete: bool,
    /// The text submitted with it, which each start has to carry.
    spec: String,
    /// When its submission arrives again, at another entry.
    duplicate_at: Option<Duration>,
    /// When the caller cancels it, once it is accepted.
    cancel_at: Option<Duration>,
    /// When the caller sent the first request to cancel it.
    cancel_sent_at: Option<Duration>,
    cancelled_at: Option<Duration>,
    /// The caller cancels it if its submission has no answer.
    withdraws: bool,
    /// Since when it has had nothing running although there was capacity for it.
    idle: Option<idle::Idle>,
    /// Entry that the caller's next request goes to.
    entry: u8,
}

impl Job {
    /// Request that submits the job.
    fn submission(&self, id: &str) -> Request {
        let body = json!({ "spec": self.spec, "steps": [self.step] });
        Request::new("POST", &format!("/q/{id}"), body.to_string())
    }
}

struct Soak {
    options: Options,
    hub: Hub,
    rng: Pcg32,
    /// Draws what only optional kinds of faults and load need, so that the draws of `rng` are the
    /// same with and without them.
    trouble_rng: Pcg32,
    /// Draws cordons and partitions of zones.
    zone_rng: Pcg32,
    spells: spells::Spells,
    /// Last time at which traffic went on or a fault other than slowness had effects.
    busy_until: Duration,
    /// Last time at which a process, a minion or a link was disturbed.
    disturbed_until: Duration,
    /// Last time of a disruption by the platform's words, other than of a process that is only stopped
    /// for a while; and the last time at which one was.
    disrupted_until: Duration,
    frozen_until: Duration,
    /// Last time at which each agent's processes or links were disturbed.
    agents_disturbed: Vec<Duration>,
    /// Checkpoints that the runs of each task, or of its gang, have saved.
    checkpoints: BTreeMap<Task, BTreeSet<String>>,
    /// Tasks that have been reported to run on after the cancellation of their jobs.
    overdue: BTreeSet<(Task, RunNumber)>,
    /// Number of failed runs, by task or first task of a gang.
    failures: BTreeMap<Task, u32>,
    /// When each cordoned zone was cordoned.
    cordons: BTreeMap<String, Duration>,
    /// When the next zone is cordoned, or the present cordon is lifted.
    next_cordon: Duration,
    store_listener: ListenerId,
    minion_listeners: BTreeMap<ListenerId, u8>,
    store: Store,
    /// Watches of the store that wait for a change, and the time at which each is answered anyway.
    watches: Vec<(CallerId, Call, Duration)>,
    /// Long polls that wait for the end of a task.
    long_polls: Vec<minions::LongPoll>,
    /// Orders that are carried out late, and when.
    late_orders: Vec<(Duration, minions::Received)>,
    /// Share of the starts and stops that are late from `late_from` until `late_until`.
    late_share: f64,
    late_from: Duration,
    late_until: Duration,
    /// Time at which all faults so far have ended.
    faults_until: Duration,
    /// Gang members that have been present in each run.
    members_seen: BTreeMap<(Task, RunNumber), BTreeSet<u32>>,
    minions: Vec<Minion>,
    /// Agents whose VMs are gone for good, or until they are replaced.
    gone: BTreeSet<u8>,
    /// When VMs were gone.
    departures: Vec<unanswered::Departure>,
    /// Number of VMs on which each agent was before.
    vms: Vec<u32>,
    /// Minions that drain.
    drains: Vec<drains::Drain>,
    /// The inventory at each of its changes.
    inventories: Vec<(Duration, Vec<(String, String)>)>,
    /// Actual properties of tasks, by job and step.
    truth: BTreeMap<(String, u32), Truth>,
    jobs: BTreeMap<String, Job>,
    pending: BTreeMap<CallId, Pending>,
    /// Runs that ended with `done`, by task.
    completions: BTreeMap<Task, Vec<minions::Completion>>,
    log: fs::File,
    net: Net,
    /// Number of the latest round of heartbeats.
    sequence: u64,
    outcome: Outcome,
}

/// Runs one seed to its end.
///
/// # Errors
/// Returns an error if the system refuses to create a process, file or socket.
pub fn run(options: Options) -> io::Result<Outcome> {
    let (net, conditions) = (Net(options.net), options.conditions);
    fs::create_dir_all(&options.folder)?;
    remove_logs(&options.folder)?;
    let mut hub = Hub::new()?;
    let store_listener = hub.listen(net.store(), Limits::default())?;
    let mut minion_listeners = BTreeMap::new();
    let agents = if options.trouble.has_spells() { AGENTS * 2 } else { AGENTS };
    for agent in 0..agents {
        minion_listeners.insert(hub.listen(net.minion(agent), Limits::default())?, agent);
    }
    let proxies = Proxies::start(net, &options, agents)?;
    let mut store = conditions.history.map_or_else(Store::default, Store::with_history);
    platform::configure(&mut store, clock::now(), conditions.idle_routes);
    let minion = |agent| minions::start(agent, 1, &options);
    let minions = (0..agents).map(minion).collect();
    let spells = spells::Spells::new(&options, clock::now() + STARTUP_DELAY, agents);
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(options.folder.join("minions.log"))?;
    let soak = Soak {
        hub,
        rng: Pcg32::seed_from_u64(options.seed),
        trouble_rng: Pcg32::seed_from_u64(options.seed ^ 0x1a7e),
        zone_rng: Pcg32::seed_from_u64(options.seed ^ 0x20e5),
        spells,
        busy_until: Duration::ZERO,
        disturbed_until: clock::now() + STARTUP_DELAY,
        disrupted_until: clock::now(),
        frozen_until: Duration::ZERO,
        agents_disturbed: vec![Duration::ZERO; usize::from(agents)],
        checkpoints: BTreeMap::new(),
        overdue: BTreeSet::new(),
        failures: BTreeMap::new(),
        cordons: BTreeMap::new(),
        next_cordon: clock::now() + STARTUP_DELAY,
        store_listener,
        minion_listeners,
        store,
        watches: Vec::new(),
        long_polls: Vec::new(),
        late_orders: Vec::new(),
        late_share: 0.0,
        late_from: Duration::MAX,
        late_until: Duration::ZERO,
        faults_until: Duration::ZERO,
        members_seen: BTreeMap::new(),
        minions,
        gone: BTreeSet::new(),
        departures: Vec::new(),
        vms: vec![0; usize::from(agents)],
        drains: Vec::new(),
        inventories: Vec::new(),
        truth: BTreeMap::new(),
        jobs: BTreeMap::new(),
        pending: BTreeMap::new(),
        completions: BTreeMap::new(),
        log,
        net,
        sequence: 0,
        outcome: Outcome::default(),
        options,
    };
    soak.run(&proxies)
}

/// Removes the logs of an earlier run from a folder, which would count as those of this one.
fn remove_logs(folder: &Path) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            fs::remove_file(path)?;
        }
    }
    Ok(())
}

/// Proxies that can be made faulty: for each entry one before the store, and one before the entry's
/// internal address if the links between processes are to be faulty too.
struct Proxies {
    store: Vec<Proxy>,
    internal: Vec<Proxy>,
    /// Behind those before the store, for series of planners.
    store_cuts: Vec<Proxy>,
    /// Those of each agent, for series of planners.
    agents: Vec<AgentProxies>,
}

/// Proxies between an agent and the entries.
struct AgentProxies {
    /// One before each entry's internal address.
    to_entries: Vec<Proxy>,
    to_agent: Proxy,
}

impl Proxies {
    fn start(net: Net, options: &Options, agents: u8) -> io::Result<Self> {
        let link = options.conditions.link;
        let has_agents = options.trouble.has_proxies();
        let before_store = |entry| if has_agents { net.store_cut(entry) } else { net.store() };
        let store = |entry| Proxy::start(net.store_proxy(entry), before_store(entry), link);
        let store_cut = |entry| Proxy::start(net.store_cut(entry), net.store(), None);
        let internal = |entry| Proxy::start(net.internal_proxy(entry), net.internal(entry), None);
        let has_internal = options.trouble.links || has_agents;
        let internal_count = if has_internal { ENTRIES } else { 0 };
        let agent = |agent| {
            let to_entry = |entry| {
                let (from, to) = (net.entry_proxy(agent, entry), net.internal_proxy(entry));
                Proxy::start_replacing(from, to, None, net.replacements(agent))
            };
            let (from, to) = (net.agent_proxy(agent), net.agent(agent));
            Ok(AgentProxies {
                to_entries: (0..ENTRIES).map(to_entry).collect::<io::Result<_>>()?,
                to_agent: Proxy::start_replacing(from, to, None, net.replacements(agent))?,
            })
        };
        Ok(Proxies {
            store: (0..ENTRIES).map(store).collect::<io::Result<_>>()?,
            internal: (0..internal_count).map(internal).collect::<io::Result<_>>()?,
            store_cuts: (0..if has_agents { ENTRIES } else { 0 })
                .map(store_cut)
                .collect::<io::Result<_>>()?,
            agents: (0..if has_agents { agents } else { 0 })
                .map(agent)
                .collect::<io::Result<_>>()?,
        })
    }
}

/// How the effect of a fault is ended. Killed, terminated and crashed processes need nothing; they
/// get `Store`, which at most ends another fault of that proxy.
#[derive(Clone, Copy, Debug)]
enum Undo {
    /// The paused process is resumed.
    Resume(Node),
    /// The entry's proxy before the store forwards everything again.
    Store(u8),
    /// The entry's proxy before its internal address forwards everything again.
    Link(u8),
    /// Both proxies of the entry forward everything again.
    Partition(u8),
}

impl Soak {
    /// Runs until every accepted job is complete after the last fault, or time is up.
    fn run(mut self, proxies: &Proxies) -> io::Result<Outcome> {
        let program = self.options.program.clone();
        let folder = self.options.folder.clone();
        let ways = match self.options.trouble {
            trouble if trouble.has_proxies() => Ways::AgentProxies,
            Trouble { links: true, .. } => Ways::EntryProxies,
            _ => Ways::Direct,
        };
        let agents = self.minions.len() as u8;
        let conditions = self.options.conditions;
        let mut fleet =
            Fleet::start(self.net, agents, Path::new(&program), &folder, ways, conditions)?;
        let start = clock::now();
        let (mut next_job, mut next_fault) =
            (start + STARTUP_DELAY, start + STARTUP_DELAY + FAULT_INTERVAL);
        let (mut jobs, mut faults) = (self.options.jobs, self.options.faults);
        let (mut next_heartbeat, mut last) = (start, start);
        self.draw_late_orders(start);
        let mut undos: Vec<(Duration, Undo)> = Vec::new();
        let mut quiet_since = None;
        loop {
            self.hub.poll(POLL_INTERVAL)?;
            let now = clock::now();
            self.expire_leases(now);
            while let Some(event) = self.hub.next_event() {
                self.handle_event(now, event);
            }
            self.answer_watches(now);
            self.advance_minions(now, now.saturating_sub(last));
            last = now;
            if now >= next_heartbeat {
                next_heartbeat = now + HEARTBEAT_INTERVAL;
                self.send_heartbeats();
                self.send_foreign_heartbeats();
            }
            if jobs > 0 && now >= next_job {
                jobs -= 1;
                let spells = self.options.trouble.has_spells();
                next_job = now + if spells { SPELLS_JOB_INTERVAL } else { JOB_INTERVAL };
                self.add_job(now);
            }
            if faults > 0 && now >= next_fault {
                faults -= 1;
                next_fault = now + FAULT_INTERVAL;
                undos.push(self.inject_fault(now, &fleet, proxies));
            }
            undos.retain(|(at, undo)| {
                if now >= *at {
                    match undo {
                        Undo::Resume(node) => fleet.signal(*node, Signal::SIGCONT),
                        Undo::Store(entry) => proxies.store[usize::from(*entry)].set(Mode::Pass),
                        Undo::Link(entry) => proxies.internal[usize::from(*entry)].set(Mode::Pass),
                        Undo::Partition(entry) => {
                            proxies.store[usize::from(*entry)].set(Mode::Pass);
                            proxies.internal[usize::from(*entry)].set(Mode::Pass);
                        }
                    }
                }
                now < *at
            });
            fleet.restart_ended()?;
            if self.options.trouble.zones {
                self.drive_cordons(now, jobs > 0 || faults > 0);
            }
            self.send_requests(now);
            self.drive_spells(now, &mut fleet, proxies)?;
            self.record_inventory(now);
            let has_late_orders = now < self.late_until || !self.late_orders.is_empty();
            let has_faults =
                faults > 0 || !undos.is_empty() || has_late_orders || self.spells.has_faults();
            let has_faults = has_faults || !self.drains.is_empty();
            if jobs > 0 || has_faults || !self.cordons.is_empty() {
                self.busy_until = now;
            }
            if !undos.is_empty() || has_late_orders || self.spells.is_disturbing(now) {
                self.disturbed_until = now;
            }
            for (_, undo) in &undos {
                let is_freeze = matches!(undo, Undo::Resume(_));
                let until =
                    if is_freeze { &mut self.frozen_until } else { &mut self.disrupted_until };
                *until = now.max(*until);
            }
            self.record_disruptions(now);
            self.watch_listed(now);
            self.watch_idle(now);
            self.watch_cancelled(now);
            if jobs == 0 && !has_faults {
                let since = *quiet_since.get_or_insert(now);
                let deadline = since.max(self.spells.end()) + COMPLETION_TIMEOUT;
                let waiting = |job: &Job| job.is_accepted && !job.is_complete;
                let is_over = !self.jobs.values().any(waiting) && self.cancellations_are_over(now);
                if is_over || now >= deadline {
                    return self.finish();
                }
            }
        }
    }

    /// Draws the period in which orders are late, and their share.
    fn draw_late_orders(&mut self, start: Duration) {
        if self.options.trouble.late_orders {
            self.late_share = self.trouble_rng.random_range(0.0..0.6);
            let wait = Duration::from_millis(self.trouble_rng.random_range(0..2_000));
            let length = Duration::from_millis(self.trouble_rng.random_range(3_000..8_000));
            self.late_from = start + STARTUP_DELAY + wait;
            self.late_until = self.late_from + length;
            self.faults_until = self.late_until;
            self.write_log(&format!(
                "{:.2} of the starts and stops are late for {length:?}",
                self.late_share
            ));
        }
    }

    /// Cordons a zone from time to time, and lifts the cordon again. None remains once the faults
    /// are over.
    fn drive_cordons(&mut self, now: Duration, goes_on: bool) {
        if goes_on && now < self.next_cordon {
            return;
        }
        let millis = |range| Duration::from_millis(range);
        if let Some((zone, _)) = self.cordons.pop_first() {
            platform::set_cordoned(&mut self.store, now, &zone, false);
            self.write_log(&format!("zone={zone} is no longer cordoned"));
            self.next_cordon = now + millis(self.zone_rng.random_range(200..2_000));
        } else if goes_on {
            let zone = format!("z{}", self.zone_rng.random_range(0..platform::ZONES));
            let time = millis(self.zone_rng.random_range(500..9_000));
            platform::set_cordoned(&mut self.store, now, &zone, true);
            self.record_fault(&format!("cordon {zone}"), time);
            self.cordons.insert(zone, now);
            self.next_cordon = now + time;
        }
    }

    /// Checks that no accepted job is left over and counts the jobs.
    fn finish(mut self) -> io::Result<Outcome> {
        self.end_idle(clock::now());
        waits::find_reasons(&self.options.folder, &mut self.outcome.standstills)?;
        let figures = unanswered::measure(&self.options.folder, &self.departures)?;
        let lease_limit = millis(self.options.conditions.bounds.lease_limit);
        self.outcome.broken.extend(figures.broken(lease_limit));
        self.outcome.unanswered = figures;
        for (id, job) in &self.jobs {
            if job.is_accepted && !job.is_complete {
                self.outcome.broken.push(format!("{id} was accepted and is not complete"));
            }
        }
        self.outcome.accepted = self.jobs.values().filter(|job| job.is_accepted).count();
        let is_withdrawn = |job: &&Job| job.is_withdrawn() && job.cancelled_at.is_some();
        self.outcome.withdrawn = self.jobs.values().filter(is_withdrawn).count();
        self.outcome.complete = self.jobs.values().filter(|job| job.is_complete).count();
        Ok(self.outcome)
    }

    fn handle_event(&mut self, now: Duration, event: Event) {
        match event {
            Event::Request { caller, listener, request } if listener == self.store_listener => {
                self.handle_store_request(now, caller, &request);
            }
            Event::Request { caller, listener, request } => {
                if let Some(agent) = self.minion_listeners.get(&listener).copied() {
                    self.handle_minion_request(now, caller, agent, &request);
                }
            }
            Event::Disconnected(caller) => {
                self.watches.retain(|(other, ..)| *other != caller);
                self.long_polls.retain(|poll| poll.caller != caller);
            }
            Event::NotAccepted { kind, .. } => eprintln!("a connection was not accepted: {kind}"),
            Event::Answer { call, result } => {
                let pending = self.pending.remove(&call);
                self.handle_answer(now, pending, result.ok().as_ref());
            }
        }
    }

    fn handle_store_request(&mut self, now: Duration, caller: CallerId, request: &Request) {
        if request.path() == "/machines" {
            let response = platform::inventory(self.listed_vms(now).into_iter());
            self.answer_list(caller, response);
            return;
        }
        let Some(call) = platform::store_call(request) else {
            self.hub.answer(caller, &Response::new(404, ""));
            return;
        };
        match self.store.call(now, &call) {
            Some(reply) => self.answer_list(caller, platform::store_response(&call, &reply)),
            None => {
                let deadline = match &call {
                    Call::WatchPrefix { wait, .. } => {
                        now + (*wait).min(self.options.conditions.watch)
                    }
                    _ => now,
                };
                self.watches.push((caller, call, deadline));
            }
        }
    }

    /// Returns the names of the VMs with the identifiers of their minions, which are empty for VMs
    /// without one.
    fn vms(&self) -> Vec<(String, String)> {
        let name = |agent: u8, number: u32| format!("vm{agent}-{number}");
        let mut vms = Vec::new();
        for ((agent, minion), number) in (0_u8..).zip(&self.minions).zip(&self.vms) {
            if !self.gone.contains(&agent) {
                let id = minion.is_up.then(|| minion.incarnation.id.clone());
                vms.push((name(agent, *number), id.unwrap_or_default()));
            } else if self.spells.is_replaced(agent) {
                vms.push((name(agent, *number + 1), String::new()));
            }
        }
        if self.options.trouble.departures {
            vms.push(("spare".to_owned(), String::new()));
        }
        vms
    }

    /// Answers with a response that may contain lists, and with odd rows if these are wanted. The
    /// items of a refused write are not a list of others.
    fn answer_list(&mut self, caller: CallerId, response: Response) {
        let has_odd_rows = self.options.conditions.has_odd_rows && response.status == 200;
        let response = if has_odd_rows { platform::with_odd_rows(&response) } else { response };
        self.hub.answer(caller, &response);
    }

    /// Answers watches whose prefix has changed or whose time is up.
    fn answer_watches(&mut self, now: Duration) {
        for (caller, call, deadline) in std::mem::take(&mut self.watches) {
            let call = match call {
                Call::WatchPrefix { prefix, after, .. } if now >= deadline => {
                    Call::WatchPrefix { prefix, after, wait: Duration::ZERO }
                }
                call => call,
            };
            match self.store.call(now, &call) {
                Some(reply @ (Reply::Changes { .. } | Reply::HistoryGone)) => {
                    self.answer_list(caller, platform::store_response(&call, &reply));
                }
                _ => self.watches.push((caller, call, deadline)),
            }
        }
    }

    /// Sends a heartbeat of each minion to its agent.
    fn send_heartbeats(&mut self) {
        self.sequence += 1;
        for (agent, minion) in (0..).zip(&self.minions).filter(|(_, minion)| minion.is_up) {
            if self.drains.iter().any(|drain| drain.agent == agent && drain.is_deregistered) {
                continue;
            }
            let address = self.net.minion(agent).to_string();
            let request = platform::heartbeat(minion, &address, self.sequence);
            let call = self.hub.call(self.net.heartbeats(agent), &request, HEARTBEAT_INTERVAL);
            self.pending.insert(call, Pending::Heartbeat);
        }
    }

    /// Draws a job, which its caller submits at once. Returns its id.
    fn add_job(&mut self, now: Duration) -> String {
        let id = format!("{:016x}", self.jobs.len() as u64 + (self.options.seed << 32));
        let tasks = self.rng.random_range(1..4);
        let work = Duration::from_millis(self.rng.random_range(200..1_800));
        let is_gang = self.options.trouble.gangs && tasks > 1 && self.trouble_rng.random_bool(0.5);
        let mut truth = Soak::task_truth(work, if is_gang { tasks } else { 1 });
        let mut step = json!({
            "count": tasks, "cpu": 1_000, "mem_mb": 1_000, "gpu": 1, "estimate_ms": 1_000,
        });
        if is_gang {
            step["gang"] = true.into();
        }
        let entry = self.rng.random_range(0..ENTRIES);
        if let Some((long, of_long)) = self.draw_long_job() {
            (step, truth) = (long, of_long);
        }
        let tasks = step["count"].as_u64().map_or(tasks, |count| count as u32);
        self.truth.insert((id.clone(), 0), truth);
        let spec = format!("soak {id}");
        let cancel_at = self.spells.draw_cancellation(now).map(|delay| now + delay);
        let job =
            Job { tasks, step, next_request_at: now, entry, spec, cancel_at, ..Job::default() };
        self.jobs.insert(id.clone(), job);
        id
    }

    /// Sends the callers' requests that are due.
    fn send_requests(&mut self, now: Duration) {
        let due: Vec<String> = (self.jobs.iter())
            .filter(|(_, job)| !job.is_complete && now >= job.next_request_at)
            .map(|(id, _)| id.clone())
            .collect();
        self.send_duplicates(now);
        for id in due {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.next_request_at = now + CALLER_TIMEOUT * 2;
            let is_cancelled = job.cancel_at.is_some_and(|at| now >= at);
            let is_cancelled = job.is_accepted && is_cancelled || job.is_withdrawn();
            let (request, pending) = if is_cancelled && job.cancelled_at.is_none() {
                job.cancel_sent_at.get_or_insert(now);
                (Request::new("DELETE", &format!("/q/{id}"), ""), Pending::Cancellation(id))
            } else if job.is_accepted {
                (Request::new("GET", &format!("/q/{id}"), ""), Pending::Query(id))
            } else {
                (job.submission(&id), Pending::Submission(id))
            };
            let request = request.with("Host", "soak.example").with("X-Key", "k");
            let timeout = if job.withdraws { withdrawals::TIMEOUT } else { CALLER_TIMEOUT };
            let call = self.hub.call(self.net.callers(job.entry), &request, timeout);
            self.pending.insert(call, pending);
        }
    }

    /// Handles the response to a caller's request; `None` if there was none.
    fn handle_answer(
        &mut self,
        now: Duration,
        pending: Option<Pending>,
        response: Option<&Response>,
    ) {
        if let Some(Pending::Cancellation(id)) = &pending {
            self.handle_cancellation(now, id, response.map_or(0, |response| response.status));
            return;
        }
        let (Some(Pending::Submission(id) | Pending::Query(id)), is_query) =
            (pending.as_ref(), matches!(pending, Some(Pending::Query(_))))
        else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.next_request_at = now + REQUEST_DELAY;
        let status = response.map_or(0, |response| response.status);
        if is_query && job.cancel_sent_at.is_some() && status == 410 {
            job.is_complete = true;
            return;
        }
        if status == 0 && job.withdraws {
            job.cancel_sent_at.get_or_insert(now);
        }
        if status != 200 {
            job.entry = (job.entry + 1) % ENTRIES;
            job.was_refused |= !is_query && matches!(status, 429 | 503);
            if is_query && status == 410 {
                self.outcome.broken.push(format!("{id} was accepted and is said not to exist"));
            }
            return;
        }
        if !is_query {
            job.is_accepted = true;
            job.duplicate_at = self.spells.draw_duplicate().map(|delay| now + delay);
            self.busy_until = self.busy_until.max(now);
            return;
        }
        let body: Value =
            response.and_then(|it| serde_json::from_slice(&it.body).ok()).unwrap_or(Value::Null);
        match body["state"].as_str() {
            Some("complete") => {
                job.is_complete = true;
                let (id, tasks) = (id.clone(), job.tasks);
                self.check_complete(&id, tasks);
            }
            Some("failed")
                if self
                    .failures
                    .iter()
                    .any(|(task, count)| task.job == *id && *count >= platform::MAX_ATTEMPTS) =>
            {
                job.is_complete = true
            }
            Some("cancelled") if job.cancel_sent_at.is_some() => job.is_complete = true,
            Some("failed" | "cancelled") => {
                self.outcome.broken.push(format!("{id} is shown as {}", body["state"]));
                job.is_complete = true;
            }
            _ => {}
        }
    }

    /// Draws and injects a fault; returns when and how its effect is ended.
    fn inject_fault(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        proxies: &Proxies,
    ) -> (Duration, Undo) {
        let entry = self.rng.random_range(0..ENTRIES);
        let agent = self.rng.random_range(0..AGENTS);
        let time = Duration::from_millis(self.rng.random_range(300..2_600));
        let node = if self.rng.random_bool(0.5) { Node::Entry(entry) } else { Node::Agent(agent) };
        let kind = self.rng.random_range(0..7);
        self.faults_until = self.faults_until.max(now + time);
        if self.options.trouble.links && self.trouble_rng.random_bool(0.4) {
            let modes =
                [Mode::Delay, Mode::Silence, Mode::Reset, Mode::CutRequests, Mode::CutAnswers];
            let mode = modes[self.trouble_rng.random_range(0..modes.len())];
            self.record_fault(&format!("link {mode:?} {:?}", Node::Entry(entry)), time);
            proxies.internal[usize::from(entry)].set(mode);
            return (now + time, Undo::Link(entry));
        }
        let has_partitions = self.options.trouble.zones && self.options.trouble.links;
        if has_partitions && self.zone_rng.random_bool(0.2) {
            self.record_fault(&format!("partition {:?}", Node::Entry(entry)), time);
            proxies.store[usize::from(entry)].set(Mode::Silence);
            proxies.internal[usize::from(entry)].set(Mode::Silence);
            return (now + time, Undo::Partition(entry));
        }
        let text = match kind {
            0 => "kill",
            1 => "terminate",
            2 => "pause",
            3 => "store delayed",
            4 => "store silent",
            5 => "store reset",
            _ => "minion crashes",
        };
        self.record_fault(&format!("{text} {node:?}"), time);
        let mode = |mode: Mode| proxies.store[usize::from(entry)].set(mode);
        let disrupted_until = self.disrupted_until;
        self.disturb(now + time, if kind < 3 { node } else { Node::Entry(entry) });
        if kind == 2 {
            self.disrupted_until = disrupted_until;
        }
        match kind {
            0 => fleet.signal(node, Signal::SIGKILL),
            1 => fleet.signal(node, Signal::SIGTERM),
            2 => fleet.signal(node, Signal::SIGSTOP),
            3 => mode(Mode::Delay),
            4 => mode(Mode::Silence),
            5 => mode(Mode::Reset),
            _ => self.crash(agent),
        }
        let undo = if kind == 2 { Undo::Resume(node) } else { Undo::Store(entry) };
        (now + time, undo)
    }

    /// Records that a process or its links are disturbed.
    fn disturb(&mut self, until: Duration, node: Node) {
        self.disturbed_until = self.disturbed_until.max(until);
        self.disrupted_until = self.disrupted_until.max(until);
        if let Node::Agent(agent) = node {
            let disturbed = &mut self.agents_disturbed[usize::from(agent)];
            *disturbed = until.max(*disturbed);
        }
    }

    fn record_fault(&mut self, text: &str, time: Duration) {
        let text = format!("{text} {} ms", time.as_millis());
        self.write_log(&format!("fault: {text}"));
        self.outcome.faults.push(text);
    }
}
