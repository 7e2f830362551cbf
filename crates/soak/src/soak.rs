//! One seed: a load, faults, and the promises checked from what callers and minions see.

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
    conditions::Conditions,
    fleet::{AGENTS, ENTRIES, Fleet, Net, Who},
    proxy::{Mode, Proxy},
    trouble::Trouble,
};

mod minions;

/// How a seed is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
    /// Seed of load and faults.
    pub seed: u64,
    /// Jobs.
    pub jobs: u32,
    /// Faults.
    pub faults: u32,
    /// Loopback network of the deployment, 1 to 250.
    pub net: u8,
    /// What the store is like.
    pub conditions: Conditions,
    /// Further trouble.
    pub trouble: Trouble,
}

/// What a seed has shown.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Jobs that were accepted, and of these complete.
    pub accepted: usize,
    /// Jobs that were shown as complete.
    pub complete: usize,
    /// Faults, in order.
    pub faults: Vec<String>,
}

const TICK: Duration = Duration::from_millis(10);
const BEAT: Duration = Duration::from_millis(400);
const ASK: Duration = Duration::from_millis(150);
const CALLER_TIMEOUT: Duration = Duration::from_millis(3_000);
const JOB_PAUSE: Duration = Duration::from_millis(90);
const FAULT_PAUSE: Duration = Duration::from_millis(900);
const LEAD_IN: Duration = Duration::from_millis(2_500);
/// Time after the last fault within which every accepted job has to be complete.
const FINISH: Duration = Duration::from_secs(30);

#[derive(Debug)]
enum Asked {
    Submit(String),
    Look(String),
    Beat,
}

#[derive(Default)]
struct Job {
    tasks: u32,
    is_gang: bool,
    next: Duration,
    is_accepted: bool,
    was_refused: bool,
    is_complete: bool,
    entry: u8,
}

struct Soak {
    options: Options,
    hub: Hub,
    rng: Pcg32,
    /// Draws what only some runs have, so that the others draw as they do without it.
    extra: Pcg32,
    store_listener: ListenerId,
    minion_listeners: BTreeMap<ListenerId, u8>,
    store: Store,
    watches: Vec<(CallerId, Call, Duration)>,
    holds: Vec<minions::Hold>,
    /// Orders to carry out, and when.
    late: Vec<(Duration, minions::Sent)>,
    late_share: f64,
    late_from: Duration,
    late_until: Duration,
    /// End of the latest fault.
    trouble_until: Duration,
    /// Members of each run that have been there.
    seen: BTreeMap<(Task, RunNumber), BTreeSet<u32>>,
    minions: Vec<Minion>,
    truth: BTreeMap<(String, u32), Truth>,
    jobs: BTreeMap<String, Job>,
    asked: BTreeMap<CallId, Asked>,
    done: BTreeMap<Task, Vec<minions::Done>>,
    log: fs::File,
    net: Net,
    sequence: u64,
    outcome: Outcome,
}

/// Plays a seed.
///
/// # Errors
/// When processes, files or sockets are refused by the system.
pub fn run(options: Options) -> io::Result<Outcome> {
    let (net, conditions) = (Net(options.net), options.conditions);
    fs::create_dir_all(&options.folder)?;
    let mut hub = Hub::new()?;
    let store_listener = hub.listen(net.store(), Limits::default())?;
    let mut minion_listeners = BTreeMap::new();
    for agent in 0..AGENTS {
        minion_listeners.insert(hub.listen(net.minion(agent), Limits::default())?, agent);
    }
    let proxies = Proxies::start(net, &options)?;
    let mut store = conditions.history.map_or_else(Store::default, Store::with_history);
    platform::configure(&mut store, clock::now(), conditions.idle_routes);
    let minions = (0..AGENTS).map(|agent| Minion::new(platform::incarnation(agent, 1))).collect();
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(options.folder.join("minions.log"))?;
    let soak = Soak {
        hub,
        rng: Pcg32::seed_from_u64(options.seed),
        extra: Pcg32::seed_from_u64(options.seed ^ 0x1a7e),
        store_listener,
        minion_listeners,
        store,
        watches: Vec::new(),
        holds: Vec::new(),
        late: Vec::new(),
        late_share: 0.0,
        late_from: Duration::MAX,
        late_until: Duration::ZERO,
        trouble_until: Duration::ZERO,
        seen: BTreeMap::new(),
        minions,
        truth: BTreeMap::new(),
        jobs: BTreeMap::new(),
        asked: BTreeMap::new(),
        done: BTreeMap::new(),
        log,
        net,
        sequence: 0,
        outcome: Outcome::default(),
        options,
    };
    soak.play(&proxies)
}

/// Proxies before the store and the entries, one an entry each.
struct Proxies {
    store: Vec<Proxy>,
    inner: Vec<Proxy>,
}

impl Proxies {
    fn start(net: Net, options: &Options) -> io::Result<Self> {
        let link = options.conditions.link;
        let store = |entry| Proxy::start(net.store_proxy(entry), net.store(), link);
        let inner = |entry| Proxy::start(net.inner_proxy(entry), net.inner(entry), None);
        let inner_count = if options.trouble.links { ENTRIES } else { 0 };
        Ok(Proxies {
            store: (0..ENTRIES).map(store).collect::<io::Result<_>>()?,
            inner: (0..inner_count).map(inner).collect::<io::Result<_>>()?,
        })
    }
}

/// How a fault is undone.
#[derive(Clone, Copy, Debug)]
enum Undo {
    Resume(Who),
    Store(u8),
    Inner(u8),
}

impl Soak {
    fn play(mut self, proxies: &Proxies) -> io::Result<Outcome> {
        let program = self.options.program.clone();
        let folder = self.options.folder.clone();
        let links = self.options.trouble.links;
        let mut fleet = Fleet::start(self.net, Path::new(&program), &folder, links)?;
        let start = clock::now();
        let (mut next_job, mut next_fault) = (start + LEAD_IN, start + LEAD_IN + FAULT_PAUSE);
        let (mut jobs, mut faults) = (self.options.jobs, self.options.faults);
        let (mut next_beat, mut last) = (start, start);
        self.draw_late(start);
        let mut heal: Vec<(Duration, Undo)> = Vec::new();
        let mut quiet_since = None;
        loop {
            self.hub.poll(TICK)?;
            let now = clock::now();
            self.lapse(now);
            while let Some(event) = self.hub.next_event() {
                self.event(now, event);
            }
            self.step_watches(now);
            self.step_minions(now, now.saturating_sub(last));
            last = now;
            if now >= next_beat {
                next_beat = now + BEAT;
                self.beat();
            }
            if jobs > 0 && now >= next_job {
                jobs -= 1;
                next_job = now + JOB_PAUSE;
                self.new_job(now);
            }
            if faults > 0 && now >= next_fault {
                faults -= 1;
                next_fault = now + FAULT_PAUSE;
                heal.push(self.fault(now, &fleet, proxies));
            }
            heal.retain(|(at, undo)| {
                if now >= *at {
                    match undo {
                        Undo::Resume(who) => fleet.signal(*who, Signal::SIGCONT),
                        Undo::Store(entry) => proxies.store[usize::from(*entry)].set(Mode::Pass),
                        Undo::Inner(entry) => proxies.inner[usize::from(*entry)].set(Mode::Pass),
                    }
                }
                now < *at
            });
            fleet.restart_ended()?;
            self.ask(now);
            let is_late = now < self.late_until || !self.late.is_empty();
            if jobs == 0 && faults == 0 && heal.is_empty() && !is_late {
                let since = *quiet_since.get_or_insert(now);
                let waiting = |job: &Job| job.is_accepted && !job.is_complete;
                let is_over = !self.jobs.values().any(waiting);
                if is_over || now >= since + FINISH {
                    return Ok(self.finish());
                }
            }
        }
    }

    /// Draws when orders are late, and how many of them.
    fn draw_late(&mut self, start: Duration) {
        if self.options.trouble.late_orders {
            self.late_share = self.extra.random_range(0.0..0.6);
            let wait = Duration::from_millis(self.extra.random_range(0..2_000));
            let length = Duration::from_millis(self.extra.random_range(3_000..8_000));
            self.late_from = start + LEAD_IN + wait;
            self.late_until = self.late_from + length;
            self.trouble_until = self.late_until;
            self.write(&format!("{:.2} of the orders late for {length:?}", self.late_share));
        }
    }

    fn finish(mut self) -> Outcome {
        for (id, job) in &self.jobs {
            if job.is_accepted && !job.is_complete {
                self.outcome.broken.push(format!("{id} was accepted and is not complete"));
            }
        }
        self.outcome.accepted = self.jobs.values().filter(|job| job.is_accepted).count();
        self.outcome.complete = self.jobs.values().filter(|job| job.is_complete).count();
        self.outcome
    }

    fn event(&mut self, now: Duration, event: Event) {
        match event {
            Event::Request { caller, listener, request } if listener == self.store_listener => {
                self.store_request(now, caller, &request);
            }
            Event::Request { caller, listener, request } => {
                if let Some(agent) = self.minion_listeners.get(&listener).copied() {
                    self.minion_request(now, caller, agent, &request);
                }
            }
            Event::Disconnected(caller) => {
                self.watches.retain(|(other, ..)| *other != caller);
                self.holds.retain(|hold| hold.caller != caller);
            }
            Event::NotAccepted { kind, .. } => eprintln!("a connection was not accepted: {kind}"),
            Event::Answer { call, result } => {
                let asked = self.asked.remove(&call);
                self.answered(now, asked, result.ok().as_ref());
            }
        }
    }

    fn store_request(&mut self, now: Duration, caller: CallerId, request: &Request) {
        let Some(call) = platform::store_call(request) else {
            self.hub.answer(caller, &Response::new(404, ""));
            return;
        };
        match self.store.call(now, &call) {
            Some(reply) => self.hub.answer(caller, &platform::store_response(&call, &reply)),
            None => {
                let until = match &call {
                    Call::WatchPrefix { wait, .. } => {
                        now + (*wait).min(self.options.conditions.watch)
                    }
                    _ => now,
                };
                self.watches.push((caller, call, until));
            }
        }
    }

    /// Answers watches that are due.
    fn step_watches(&mut self, now: Duration) {
        for (caller, call, until) in std::mem::take(&mut self.watches) {
            let call = match call {
                Call::WatchPrefix { prefix, after, .. } if now >= until => {
                    Call::WatchPrefix { prefix, after, wait: Duration::ZERO }
                }
                call => call,
            };
            match self.store.call(now, &call) {
                Some(reply @ (Reply::Changes { .. } | Reply::HistoryGone)) => {
                    self.hub.answer(caller, &platform::store_response(&call, &reply));
                }
                _ => self.watches.push((caller, call, until)),
            }
        }
    }

    fn beat(&mut self) {
        self.sequence += 1;
        for agent in 0..AGENTS {
            let minion = &self.minions[usize::from(agent)];
            let address = self.net.minion(agent).to_string();
            let request = platform::beat(minion, &address, self.sequence);
            let call = self.hub.call(self.net.beats(agent), &request, BEAT);
            self.asked.insert(call, Asked::Beat);
        }
    }

    fn new_job(&mut self, now: Duration) {
        let id = format!("{:016x}", self.jobs.len() as u64 + (self.options.seed << 32));
        let tasks = self.rng.random_range(1..4);
        let work = Duration::from_millis(self.rng.random_range(200..1_800));
        let is_gang = self.options.trouble.gangs && tasks > 1 && self.extra.random_bool(0.5);
        let truth = Soak::truth(work, if is_gang { tasks } else { 1 });
        self.truth.insert((id.clone(), 0), truth);
        let entry = self.rng.random_range(0..ENTRIES);
        self.jobs.insert(id, Job { tasks, is_gang, next: now, entry, ..Job::default() });
    }

    /// Sends the callers' requests that are due.
    fn ask(&mut self, now: Duration) {
        let due: Vec<String> = (self.jobs.iter())
            .filter(|(_, job)| !job.is_complete && now >= job.next)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.next = now + CALLER_TIMEOUT * 2;
            let (request, asked) = if job.is_accepted {
                (Request::new("GET", &format!("/q/{id}"), ""), Asked::Look(id))
            } else {
                let mut step = json!({
                    "count": job.tasks, "cpu": 1_000, "mem_mb": 1_000, "gpu": 1,
                    "estimate_ms": 1_000,
                });
                if job.is_gang {
                    step["gang"] = true.into();
                }
                let body = json!({ "spec": "soak", "steps": [step] });
                let request = Request::new("POST", &format!("/q/{id}"), body.to_string());
                (request, Asked::Submit(id))
            };
            let request = request.with("Host", "soak.example").with("X-Key", "k");
            let call = self.hub.call(self.net.callers(job.entry), &request, CALLER_TIMEOUT);
            self.asked.insert(call, asked);
        }
    }

    fn answered(&mut self, now: Duration, asked: Option<Asked>, response: Option<&Response>) {
        let (Some(Asked::Submit(id) | Asked::Look(id)), is_look) =
            (asked.as_ref(), matches!(asked, Some(Asked::Look(_))))
        else {
            return;
        };
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.next = now + ASK;
        let status = response.map_or(0, |response| response.status);
        if status != 200 {
            job.entry = (job.entry + 1) % ENTRIES;
            job.was_refused |= !is_look && matches!(status, 429 | 503);
            if is_look && status == 410 {
                self.outcome.broken.push(format!("{id} was accepted and is said not to exist"));
            }
            return;
        }
        if !is_look {
            job.is_accepted = true;
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
            Some("failed" | "cancelled") => {
                self.outcome.broken.push(format!("{id} is shown as {}", body["state"]));
                job.is_complete = true;
            }
            _ => {}
        }
    }

    /// Causes a fault; returns when and how it is to be undone.
    fn fault(&mut self, now: Duration, fleet: &Fleet, proxies: &Proxies) -> (Duration, Undo) {
        let entry = self.rng.random_range(0..ENTRIES);
        let agent = self.rng.random_range(0..AGENTS);
        let time = Duration::from_millis(self.rng.random_range(300..2_600));
        let who = if self.rng.random_bool(0.5) { Who::Entry(entry) } else { Who::Agent(agent) };
        let kind = self.rng.random_range(0..7);
        self.trouble_until = self.trouble_until.max(now + time);
        if self.options.trouble.links && self.extra.random_bool(0.4) {
            let modes =
                [Mode::Delay, Mode::Silence, Mode::Reset, Mode::CutRequests, Mode::CutAnswers];
            let mode = modes[self.extra.random_range(0..modes.len())];
            self.tell_fault(&format!("link {mode:?} {:?}", Who::Entry(entry)), time);
            proxies.inner[usize::from(entry)].set(mode);
            return (now + time, Undo::Inner(entry));
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
        self.tell_fault(&format!("{text} {who:?}"), time);
        let mode = |mode: Mode| proxies.store[usize::from(entry)].set(mode);
        match kind {
            0 => fleet.signal(who, Signal::SIGKILL),
            1 => fleet.signal(who, Signal::SIGTERM),
            2 => fleet.signal(who, Signal::SIGSTOP),
            3 => mode(Mode::Delay),
            4 => mode(Mode::Silence),
            5 => mode(Mode::Reset),
            _ => self.crash(agent),
        }
        let undo = if kind == 2 { Undo::Resume(who) } else { Undo::Store(entry) };
        (now + time, undo)
    }

    fn tell_fault(&mut self, text: &str, time: Duration) {
        let text = format!("{text} {} ms", time.as_millis());
        self.write(&format!("fault: {text}"));
        self.outcome.faults.push(text);
    }
}
