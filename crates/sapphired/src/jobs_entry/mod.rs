//! `sapphired entry` on the users' platform: callers, configuration and, while it holds the
//! planner's key, the planner, with their I/O.

mod effects;
mod meter;
mod options;
mod planning;
mod requests;
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
use sapphire_front::{self as front, machine::Machine, reach::Way};
use sapphire_jobs::catalog::Catalog;
use sapphire_net::{
    hub::{CallId, CallerId, Event as NetEvent, Hub, ListenerId},
    message::Limits,
};
use sapphire_planner::{
    self as planner,
    event::{Moment, Operation},
    planner::Planner,
};
use sapphire_settings::JobEntry;
use sapphire_store::call::Call;
use stakker::{CX, Stakker, actor, after, call, ret_shutdown, stop};

use crate::{
    exposition, logging,
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
            Event::Net(NetEvent::Disconnected(caller)) => {
                if let Some(served) = self.served.remove(&caller) {
                    let text = format!("request={caller} {} caller left", served.text);
                    self.levels.info("front", &text);
                }
                self.front_event(now, front::event::Event::Disconnected(caller));
                self.planner_event(now, planner::event::Event::Disconnected(caller));
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
                    planner.set_options(options::planner(&settings));
                }
                self.settings = *settings;
            }
            reload::Outcome::Refused(findings) => {
                self.levels.info("member", &format!("settings not taken over: {findings}"));
            }
        }
    }

    fn front_event(&mut self, now: Moment, event: front::event::Event) {
        let effects = self.front.handle(now, event);
        self.perform(now, effects.into_iter().map(Work::Front).collect());
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
        callers: listen(&mut hub, &settings.callers, options::callers())?,
        ready: listen(&mut hub, &settings.ready, options::callers())?,
        inner: listen(&mut hub, &settings.address, Limits::default())?,
    };
    if !settings.metrics.is_empty() {
        listen(&mut hub, &settings.metrics, options::callers())?;
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
        front: Machine::new(options::front(settings, started)),
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
