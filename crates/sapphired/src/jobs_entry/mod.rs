//! `sapphired entry` on the users' platform: callers, configuration and, while it holds the
//! planner's key, the planner, with their I/O.

mod effects;
mod meter;
mod store;

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use cadence::{CountedExt as _, Gauged as _, StatsdClient, Timed as _};
use eyre::WrapErr as _;
use prost::Message as _;
use sapphire_front::{self as front, answer::Answer, machine::Machine, reach::Way};
use sapphire_jobs::{FeedPoll, Lead, Notice, Poll, Relay, Relayed, catalog::Catalog};
use sapphire_net::{
    clock,
    hub::{CallId, CallerId, Event as NetEvent, Failure, Hub, ListenerId},
    message::{Limits, Request, Response},
};
use sapphire_plan::policy::Policy;
use sapphire_planner::{
    self as planner,
    event::{Moment, Operation},
    planner::Planner,
};
use sapphire_platform as platform;
use sapphire_settings::JobEntry;
use sapphire_store::call::Call;
use stakker::{CX, Stakker, actor, after, call, ret_shutdown, stop};

use crate::{
    exposition, inner, logging,
    reactor::{self, Event, Net},
    reload,
};

/// How often time-outs are looked at.
const TICK: Duration = Duration::from_millis(50);
/// Time for the store's answer to anything but a watch. Above a store that is ninety times
/// slower than usual (4 ms) in another region; what takes longer goes through another entry.
const STORE_TIMEOUT: Duration = Duration::from_millis(420);
/// Time from the request to end during which callers are still served: the platform looks at
/// readiness once a second and needs two looks.
const LINGER: Duration = Duration::from_millis(2_600);
/// Longest graceful shutdown, below the time after which the platform kills the process.
const LONGEST_SHUTDOWN: Duration = Duration::from_millis(5_200);
/// Share of the platform's longest lease that minions are given. A longer lease loses less work
/// to a short cut, a shorter one frees a lost minion's tasks sooner.
const LEASE_SHARE: f64 = 0.6;
/// Longest lease that minions are given.
const MAX_LEASE: Duration = Duration::from_secs(6);
/// How much slower than true time a minion's clock may be, in parts of a thousand.
const CLOCK_DRIFT_MILLI: u32 = 20;

/// Whose call to the store it is.
#[derive(Debug)]
enum Origin {
    Front(front::event::Operation),
    Planner { term: u64, operation: Operation },
}

/// A call under way.
#[derive(Debug)]
enum Pending {
    Store { origin: Origin, call: Box<Call>, sent: Duration, way: Way },
    Relay { caller: CallerId },
    Feed { sent: Duration },
    Lead,
    Told,
}

/// A caller's request that is being served.
struct Served {
    since: Duration,
    text: String,
}

/// Listening addresses.
struct Listeners {
    callers: ListenerId,
    ready: ListenerId,
    inner: ListenerId,
}

/// The actor.
struct Role {
    settings: JobEntry,
    file: reload::File,
    net: Net,
    listeners: Listeners,
    store: SocketAddr,
    front: Machine,
    planner: Option<Planner>,
    catalog: Arc<Catalog>,
    calls: HashMap<CallId, Pending>,
    served: HashMap<CallerId, Served>,
    levels: logging::Levels,
    registry: exposition::Registry,
    metrics: StatsdClient,
    ending: Option<Duration>,
    meter: meter::Meter,
}

/// An effect of either part that is still to be carried out.
enum Work {
    Front(front::effect::Effect),
    Planner(planner::effect::Effect),
}

impl Role {
    fn init(cx: CX![], role: Role) -> Option<Self> {
        call!([cx], tick());
        Some(role)
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now = reactor::now();
        self.front_event(now, front::event::Event::Tick);
        self.planner_event(now, planner::event::Event::Tick);
        self.settle();
        if let Some(planner) = &self.planner {
            let effects =
                self.front.check_outage(now.steady, |since| planner.is_store_reached(since));
            self.perform(now, effects.into_iter().map(Work::Front).collect());
        }
        if self.file.is_due(now.steady) {
            self.reload();
        }
        if let Some(since) = self.ending {
            let is_quiet = self.net.borrow().callers() == 0 && self.front.is_idle();
            let waited = now.steady.saturating_sub(since);
            if (is_quiet && waited >= LINGER) || waited >= LONGEST_SHUTDOWN {
                self.levels.info("member", "stops: asked to end, callers served");
                stop!(cx);
            }
        }
    }

    fn event(&mut self, _cx: CX![], event: Event) {
        let now = reactor::now();
        match event {
            Event::Net(NetEvent::Request { caller, listener, request }) => {
                self.request(now, caller, listener, request);
            }
            Event::Net(NetEvent::Left(caller)) => {
                if let Some(served) = self.served.remove(&caller) {
                    let text = format!("request={caller} {} caller left", served.text);
                    self.levels.info("front", &text);
                }
                self.front_event(now, front::event::Event::Left(caller));
                self.planner_event(now, planner::event::Event::Left(caller));
            }
            Event::Net(NetEvent::Answer { call, result }) => self.answered(now, call, result),
            Event::Net(NetEvent::NotAccepted { kind, .. }) => {
                self.levels.info("net", &format!("a connection was not accepted: {kind}"));
            }
            Event::Settle => self.settle(),
            Event::Terminate => self.terminate(now),
            Event::Reload => self.reload(),
        }
    }

    fn terminate(&mut self, now: Moment) {
        if self.ending.is_none() {
            self.levels.info("member", "asked to end; serves callers, plans no more");
            self.ending = Some(now.steady);
            self.net.borrow_mut().close_after_answers();
            self.front_event(now, front::event::Event::Terminate);
        }
    }

    fn reload(&mut self) {
        match self.file.reload(sapphire_settings::jobs::read_entry) {
            reload::Outcome::Same => {}
            reload::Outcome::Changed(settings) => {
                self.levels.info("member", "settings changed; bounds are in force");
                let bounds = settings.bounds.unwrap_or_default();
                self.front.set_revocation(Duration::from_millis(bounds.revocation_ms));
                if let Some(planner) = &mut self.planner {
                    planner.set_options(planner_options(&settings));
                }
                self.settings = *settings;
            }
            reload::Outcome::Refused(findings) => {
                self.levels.info("member", &format!("settings not taken over: {findings}"));
            }
        }
    }

    fn request(&mut self, now: Moment, caller: CallerId, listener: ListenerId, request: Request) {
        if listener == self.listeners.callers {
            let text = format!("{} {}", request.method, request.target);
            self.served.insert(caller, Served { since: now.steady, text });
            let request = Box::new(platform::caller::request(&request));
            self.front_event(now, front::event::Event::Request(caller, request));
        } else if listener == self.listeners.ready {
            let status = if self.front.is_ready(now.steady) { 200 } else { 503 };
            self.net.borrow_mut().answer(caller, &Response::new(status, ""));
        } else if listener == self.listeners.inner {
            self.inner_request(now, caller, &request);
        } else {
            let text = self.registry.text();
            self.net.borrow_mut().answer(caller, &Response::new(200, text));
        }
    }

    fn inner_request(&mut self, now: Moment, caller: CallerId, request: &Request) {
        use planner::event::Event as Told;
        let body = request.body.clone();
        match (request.method.as_str(), request.path()) {
            ("POST", inner::POLL) => match Poll::decode(body) {
                Ok(poll) => self.ask_planner(now, caller, Told::Poll(caller, Box::new(poll))),
                Err(error) => self.malformed(caller, &error),
            },
            ("POST", inner::FEED) => match FeedPoll::decode(body) {
                Ok(poll) => self.ask_planner(now, caller, Told::Feed(caller, poll)),
                Err(error) => self.malformed(caller, &error),
            },
            ("POST", inner::NOTICE) => match Notice::decode(body) {
                Ok(notice) => {
                    let status = if self.planner.is_some() { 200 } else { inner::DECLINED };
                    self.planner_event(now, Told::Notice(notice));
                    self.net.borrow_mut().answer(caller, &Response::new(status, ""));
                }
                Err(error) => self.malformed(caller, &error),
            },
            ("GET", inner::LEAD) => {
                let response = match self.front.lead() {
                    Some(lead) => inner::response(lead),
                    None => Response::new(404, ""),
                };
                self.net.borrow_mut().answer(caller, &response);
            }
            ("POST", inner::RELAY) => match Relay::decode(body) {
                Ok(relay) => {
                    let request = Request::new(&relay.method, &relay.target, relay.body)
                        .with("Content-Type", "application/json");
                    let call = self.net.borrow_mut().call(self.store, &request, STORE_TIMEOUT);
                    self.calls.insert(call, Pending::Relay { caller });
                }
                Err(error) => self.malformed(caller, &error),
            },
            _ => self.net.borrow_mut().answer(caller, &Response::new(404, "")),
        }
    }

    fn malformed(&mut self, caller: CallerId, error: &prost::DecodeError) {
        self.levels.info("member", &format!("a message can't be read: {error}"));
        self.net.borrow_mut().answer(caller, &Response::new(400, ""));
    }

    fn ask_planner(&mut self, now: Moment, caller: CallerId, event: planner::event::Event) {
        if self.planner.is_some() {
            self.planner_event(now, event);
        } else {
            self.net.borrow_mut().answer(caller, &Response::new(inner::DECLINED, ""));
        }
    }

    fn answered(&mut self, now: Moment, call: CallId, result: Result<Response, Failure>) {
        match self.calls.remove(&call) {
            Some(Pending::Store { origin, call, sent, way }) => {
                self.store_answered(now, origin, &call, sent, &way, result);
            }
            Some(Pending::Relay { caller }) => {
                let relayed = match result {
                    Ok(response) => Relayed { status: response.status.into(), body: response.body },
                    Err(_) => Relayed::default(),
                };
                self.net.borrow_mut().answer(caller, &inner::response(&relayed));
            }
            Some(Pending::Feed { sent }) => {
                let feed = inner::answer(result).map(Box::new);
                self.front_event(now, front::event::Event::Feed { sent, feed });
            }
            Some(Pending::Lead) => {
                if let Some(lead) = inner::answer::<Lead>(result) {
                    self.front_event(now, front::event::Event::Lead(lead));
                }
            }
            Some(Pending::Told) | None => {}
        }
    }

    fn front_event(&mut self, now: Moment, event: front::event::Event) {
        let effects = self.front.handle(now, event);
        self.perform(now, effects.into_iter().map(Work::Front).collect());
    }

    fn planner_event(&mut self, now: Moment, event: planner::event::Event) {
        if let Some(planner) = &mut self.planner {
            let began = clock::now();
            planner.take(now, event);
            self.meter.event(clock::now().saturating_sub(began));
        }
    }

    /// Has the planner do what follows from the events that it was told.
    fn settle(&mut self) {
        let now = reactor::now();
        let Some(planner) = &mut self.planner else { return };
        let passes = planner.load().passes;
        let effects = planner.settle(now);
        let load = planner.load();
        let end = clock::now();
        let took = end.saturating_sub(now.steady);
        let is_pass = load.passes > passes;
        if is_pass {
            planner.pass_took(end, took);
        }
        self.meter.turn(took, is_pass);
        if is_pass {
            self.time("pass", took);
        }
        if let Some(line) = self.meter.line(end, load) {
            self.levels.info("plan", &line);
        }
        self.perform(now, effects.into_iter().map(Work::Planner).collect());
    }

    fn answer(&mut self, now: Moment, caller: CallerId, answer: &Answer) {
        let response = platform::caller::response(answer);
        if let Some(served) = self.served.remove(&caller) {
            let took = now.steady.saturating_sub(served.since);
            self.time("request", took);
            self.count(&format!("answers.{}", response.status));
            let (status, took) = (response.status, took.as_millis());
            let text = format!("request={caller} {} status={status} ms={took}", served.text);
            self.levels.info("front", &format!("{text} answer={answer:?}"));
        }
        self.net.borrow_mut().answer(caller, &response);
    }

    /// Counts something. A counter that can't be kept is not worth an error.
    fn count(&self, name: &str) {
        let _ = self.metrics.incr(name);
    }

    fn time(&self, name: &str, took: Duration) {
        let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let _ = self.metrics.time(name, millis);
    }
}

/// Runs an entry until it has shut down gracefully.
///
/// # Errors
/// When an address can't be listened on or the system refuses what it needs.
pub fn run(settings: &JobEntry, path: &Path) -> eyre::Result<()> {
    let levels = logging::start_bounded(&settings.logging.clone().unwrap_or_default())?;
    let mut hub = Hub::new().wrap_err("event loop")?;
    let listeners = Listeners {
        callers: listen(&mut hub, &settings.callers, caller_limits())?,
        ready: listen(&mut hub, &settings.ready, caller_limits())?,
        inner: listen(&mut hub, &settings.address, Limits::default())?,
    };
    if !settings.metrics.is_empty() {
        listen(&mut hub, &settings.metrics, caller_limits())?;
    }
    let registry = exposition::Registry::default();
    let started = reactor::now();
    let net: Net = Rc::new(RefCell::new(hub));
    let role = Role {
        settings: settings.clone(),
        file: reload::File::new(PathBuf::from(path), started.steady),
        net: net.clone(),
        listeners,
        store: settings.store.parse().wrap_err("store")?,
        front: Machine::new(front_options(settings, started)),
        planner: None,
        catalog: Arc::default(),
        calls: HashMap::new(),
        served: HashMap::new(),
        levels: levels.clone(),
        metrics: registry.client(),
        registry,
        ending: None,
        meter: meter::Meter::default(),
    };
    let signals = reactor::Signals::catch()?;
    levels.info("member", &format!("entry={} starts callers={}", settings.name, settings.callers));
    role.metrics.gauge("starts", 1_u64).wrap_err("metrics")?;
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(stakker, Role::init(role), ret_shutdown!(stakker));
    reactor::run(&mut stakker, &actor, &net, &signals, |actor, event| call!([actor], event(event)))
}

/// Listens at an address of the settings.
///
/// # Errors
/// When the address is taken or not this machine's.
pub fn listen(hub: &mut Hub, address: &str, limits: Limits) -> eyre::Result<ListenerId> {
    let parsed: SocketAddr = address.parse().wrap_err_with(|| format!("address {address}"))?;
    hub.listen(parsed, limits).wrap_err_with(|| format!("listen {address}"))
}

/// Bounds of what callers may send. Clients that stall give way to others.
fn caller_limits() -> Limits {
    Limits {
        connections: 1_024,
        head_bytes: 16 << 10,
        body_bytes: 1 << 20,
        request_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    }
}

fn front_options(settings: &JobEntry, started: Moment) -> front::options::Options {
    let bounds = settings.bounds.unwrap_or_default();
    let generation = u64::try_from(started.unix.as_micros()).unwrap_or(u64::MAX);
    let seed =
        settings.name.bytes().fold(generation, |sum, byte| sum * 31 % 65_521 + u64::from(byte));
    front::options::Options {
        name: settings.name.clone(),
        address: settings.address.clone(),
        generation,
        entries: settings.entries.clone(),
        catalog_key: platform::store::CONFIGURATION.to_owned(),
        read_catalog: platform::config::read,
        revocation: Duration::from_millis(bounds.revocation_ms),
        lead_lease: Duration::from_millis(bounds.store_lease_ms).max(LEAD_LEASE),
        seed,
    }
}

/// Lease of the planner's key. A planner that is lost costs about this time of placement; a
/// store that is slow must not make a planner lose its key.
const LEAD_LEASE: Duration = Duration::from_millis(1_300);

fn planner_options(settings: &JobEntry) -> planner::options::Options {
    let bounds = settings.bounds.unwrap_or_default();
    let millis = Duration::from_millis;
    planner::options::Options {
        name: settings.name.clone(),
        lease: millis(bounds.lease_limit_ms).mul_f64(LEASE_SHARE).min(MAX_LEASE),
        clock_drift_milli: CLOCK_DRIFT_MILLI,
        stop: millis(bounds.stop_ms),
        status: millis(bounds.status_ms),
        reclaim: millis(bounds.reclaim_ms),
        remote_factor: bounds.remote_factor,
        policy: settings.policy.map_or_else(Policy::default, policy),
    }
}

fn policy(settings: sapphire_settings::Policy) -> Policy {
    Policy {
        learn_times: settings.learn_times,
        learn_siblings: settings.learn_siblings,
        keep_checkpoints: settings.keep_checkpoints,
        keep_times: settings.keep_times,
        reserve_room: settings.reserve_room,
        count_waves: settings.count_waves,
        limit_urgent: settings.limit_urgent,
        weigh_waits: settings.weigh_waits,
        weigh_lateness: settings.weigh_lateness,
        spare_workers: settings.spare_workers,
        leave_racks: settings.leave_racks,
        wait_for_rack: settings.wait_for_rack,
        prefer_pressing: settings.prefer_pressing,
        move_slow: settings.move_slow,
        move_still: settings.move_still,
        doubt_workers: settings.doubt_workers,
    }
}
