//! Role `sapphired entry` on the users' platform: runs two state machines as one actor on the event
//! loop and performs their effects. The front serves callers and follows the configuration; the
//! planner exists while this entry holds the leader key.

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

use cadence::{Counted as _, CountedExt as _, Gauged as _, StatsdClient, Timed as _};
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
use sapphire_platform as platform;
use sapphire_settings::JobEntry;
use sapphire_store::call::Call;
use stakker::{CX, Stakker, actor, after, call, ret_shutdown, stop};

use crate::{
    exposition, logging,
    reactor::{self, Event, Net},
    reload, shares, turned_away,
};

/// Interval at which timeouts are checked.
const TICK: Duration = Duration::from_millis(50);
/// Timeout of a direct call to the store, beyond the time for which a watch may stay open. Enough
/// for a store in another region that is ninety times slower than its usual 4 ms; calls that would
/// take longer are relayed through another entry.
const STORE_TIMEOUT: Duration = Duration::from_millis(420);
/// Minimum duration of a graceful shutdown, during which callers are still served. The platform
/// checks readiness once a second and needs two failed checks to send callers elsewhere.
const MIN_SHUTDOWN: Duration = Duration::from_millis(2_600);
/// Maximum duration of a graceful shutdown, below the time after which the platform kills the
/// process.
const MAX_SHUTDOWN: Duration = Duration::from_millis(5_200);

/// The state machine that made a call to the store.
#[derive(Debug)]
enum Origin {
    Front(front::event::Operation),
    /// The planner of a term of office; answers to calls of earlier terms are dropped.
    Planner {
        term: u64,
        operation: Operation,
    },
}

/// A call in progress.
#[derive(Debug)]
enum Pending {
    Store {
        origin: Origin,
        call: Box<Call>,
        sent: Duration,
        way: Way,
    },
    /// Call to the store on behalf of another entry.
    Relay {
        caller: CallerId,
    },
    /// Poll of the feed of the leader at this address.
    Feed {
        sent: Duration,
        address: String,
    },
    LeaderQuery,
    /// Read of the inventory of VMs by the planner of a term.
    Inventory {
        term: u64,
    },
    /// Call whose answer is not used.
    Notification,
}

/// A caller's request that has not been answered yet.
struct ActiveRequest {
    received_at: Duration,
    /// Method and target, for the log.
    text: String,
}

/// Listeners of the entry; requests at any other listener are for the metrics.
struct Listeners {
    callers: ListenerId,
    /// For the platform's readiness checks.
    ready: ListenerId,
    /// For other processes of the system.
    internal: ListenerId,
}

/// State machines of the entry with the sockets that perform their effects.
struct Role {
    settings: JobEntry,
    settings_file: reload::File,
    net: Net,
    listeners: Listeners,
    store: SocketAddr,
    /// Address of the inventory of VMs, if there is one.
    inventory: Option<SocketAddr>,
    front: Machine,
    /// The planner while this entry plans.
    planner: Option<Planner>,
    catalog: Arc<Catalog>,
    calls: HashMap<CallId, Pending>,
    active_requests: HashMap<CallerId, ActiveRequest>,
    logger: logging::Logger,
    registry: exposition::Registry,
    metrics: StatsdClient,
    /// Time at which the shutdown was requested.
    terminating_since: Option<Duration>,
    meter: meter::Meter,
    skipped_log: platform::skipped_log::SkippedLog,
    turned_away: turned_away::Report,
}

/// An effect of either state machine that is still to be performed.
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
        self.handle_front_event(now, front::event::Event::Tick);
        self.handle_planner_event(now, planner::event::Event::Tick);
        self.advance_planner();
        if let Some(planner) = &self.planner {
            let effects =
                self.front.check_outage(now.steady, |since| planner.is_store_reached(since));
            self.perform(now, effects.into_iter().map(Work::Front).collect());
        }
        if self.settings_file.is_due(now.steady) {
            self.reload();
        }
        let turned_away = self.net.borrow_mut().take_turned_away();
        self.turned_away.report(now.steady, turned_away, &self.metrics, &self.logger);
        if let Some(since) = self.terminating_since {
            let is_quiet = self.net.borrow().callers() == 0 && self.front.is_idle();
            let waited = now.steady.saturating_sub(since);
            if (is_quiet && waited >= MIN_SHUTDOWN) || waited >= MAX_SHUTDOWN {
                self.logger.info("member", "exits after a graceful shutdown");
                stop!(cx);
            }
        }
    }

    fn handle(&mut self, _cx: CX![], event: Event) {
        let now = reactor::now();
        match event {
            Event::Net(NetEvent::Request { caller, listener, request }) => {
                self.handle_request(now, caller, listener, request);
            }
            Event::Net(NetEvent::Disconnected(caller)) => {
                if let Some(active) = self.active_requests.remove(&caller) {
                    let text = format!("request={caller} {} caller disconnected", active.text);
                    self.logger.info("front", &text);
                }
                self.handle_front_event(now, front::event::Event::Disconnected(caller));
                self.handle_planner_event(now, planner::event::Event::Disconnected(caller));
            }
            Event::Net(NetEvent::Answer { call, result }) => self.handle_answer(now, call, result),
            Event::Net(NetEvent::NotAccepted { kind, .. }) => {
                self.logger.info("net", &format!("a connection was not accepted: {kind}"));
            }
            Event::BatchEnd => self.advance_planner(),
            Event::Terminate => self.terminate(now),
            Event::Reload => self.reload(),
        }
    }

    fn terminate(&mut self, now: Moment) {
        if self.terminating_since.is_none() {
            self.logger.info("member", "shutdown requested; serves callers, stops planning");
            self.terminating_since = Some(now.steady);
            self.net.borrow_mut().close_after_answers();
            self.handle_front_event(now, front::event::Event::Terminate);
        }
    }

    fn reload(&mut self) {
        match self.settings_file.reload(sapphire_settings::jobs::read_entry) {
            reload::Outcome::Unchanged => {}
            reload::Outcome::Changed(settings) => {
                self.logger.info("member", "settings changed; the new bounds are in force");
                let bounds = settings.bounds.unwrap_or_default();
                self.front.set_revocation(Duration::from_millis(bounds.revocation_ms));
                if let Some(planner) = &mut self.planner {
                    planner.set_options(options::planner(&settings));
                }
                self.settings = *settings;
            }
            reload::Outcome::Rejected(findings) => {
                self.logger.info(
                    "member",
                    &format!("new settings rejected, the previous ones stay in force: {findings}"),
                );
            }
        }
    }

    fn handle_front_event(&mut self, now: Moment, event: front::event::Event) {
        let effects = self.front.handle(now, event);
        self.perform(now, effects.into_iter().map(Work::Front).collect());
    }

    /// Adds one to a counter. A metric that can't be recorded is not worth an error.
    fn count(&self, name: &str) {
        let _ = self.metrics.incr(name);
    }

    /// Counts and logs the rows of a list that were skipped.
    fn report_skipped(&mut self, now: Duration, list: &str, skipped: &platform::skipped::Skipped) {
        if skipped.rows == 0 {
            return;
        }
        let rows = i64::try_from(skipped.rows).unwrap_or(i64::MAX);
        // A metric that can't be recorded is not worth an error.
        let _ = self.metrics.count("skipped_rows", rows);
        for line in self.skipped_log.lines(now, list, skipped) {
            self.logger.info("front", &line);
        }
    }

    /// Records a duration in a histogram. A metric that can't be recorded is not worth an error.
    fn record_time(&self, name: &str, took: Duration) {
        let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let _ = self.metrics.time(name, millis);
    }
}

/// Runs an entry until it has shut down gracefully.
///
/// # Errors
/// When an address can't be listened on, a signal handler can't be installed, a thread can't be
/// started or the event loop fails.
pub fn run(settings: &JobEntry, path: &Path) -> eyre::Result<()> {
    let logger = logging::start_bounded(&settings.logging.clone().unwrap_or_default())?;
    let mut hub = Hub::new().wrap_err("cannot create the event loop")?;
    let shares = shares::Shares::new(&settings.limits.unwrap_or_default());
    let listeners = Listeners {
        callers: listen(&mut hub, &settings.callers, shares.callers())?,
        ready: listen(&mut hub, &settings.ready, shares.probes())?,
        internal: listen(&mut hub, &settings.address, shares.entry_internal())?,
    };
    if !settings.metrics.is_empty() {
        listen(&mut hub, &settings.metrics, shares.probes())?;
    }
    let registry = exposition::Registry::default();
    let started = reactor::now();
    let net: Net = Rc::new(RefCell::new(hub));
    let role = Role {
        settings: settings.clone(),
        settings_file: reload::File::new(PathBuf::from(path), started.steady),
        net: net.clone(),
        listeners,
        store: settings.store.parse().wrap_err("invalid address of the store")?,
        inventory: match settings.inventory.as_str() {
            "" => None,
            address => Some(address.parse().wrap_err("invalid address of the inventory")?),
        },
        front: Machine::new(options::front(settings, started)),
        planner: None,
        catalog: Arc::default(),
        calls: HashMap::new(),
        active_requests: HashMap::new(),
        logger: logger.clone(),
        metrics: registry.client(),
        registry,
        terminating_since: None,
        meter: meter::Meter::default(),
        skipped_log: platform::skipped_log::SkippedLog::default(),
        turned_away: turned_away::Report::default(),
    };
    let signals = reactor::Signals::catch()?;
    logger.info("member", &format!("entry={} starts callers={}", settings.name, settings.callers));
    role.metrics.gauge("starts", 1_u64).wrap_err("cannot record a metric")?;
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(stakker, Role::init(role), ret_shutdown!(stakker));
    reactor::run(&mut stakker, &actor, &net, &signals, |actor, event| call!([actor], handle(event)))
}

/// Listens at an address of the settings.
///
/// # Errors
/// When the address is invalid, in use or not an address of this machine.
pub fn listen(hub: &mut Hub, address: &str, limits: Limits) -> eyre::Result<ListenerId> {
    let parsed: SocketAddr =
        address.parse().wrap_err_with(|| format!("invalid address {address}"))?;
    hub.listen(parsed, limits).wrap_err_with(|| format!("cannot listen at {address}"))
}
