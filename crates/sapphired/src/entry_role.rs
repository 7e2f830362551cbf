//! Role `sapphired entry` on threads and message sockets: runs the entry's state machine as an
//! actor and performs its effects.

use std::time::{Duration, Instant};

use crossbeam_channel::bounded;
use sapphire_entry::{effect::Effect, event::Event, machine, options};
use sapphire_settings::Entry;
use sapphire_wire::peer;
use stakker::{CX, Stakker, actor, after, call, ret_shutdown, stop};

use crate::{clock, http, logging, mesh, metrics, runtime, shares, store};

/// Interval at which timeouts are checked.
const TICK: Duration = Duration::from_millis(50);
/// Number of ticks after which gauges are sent and idle connections closed.
const SLOW_TICKS: u32 = 100;

/// State machine of the entry with the sockets and threads that perform its effects.
struct Role {
    machine: machine::Machine,
    clock: clock::Clock,
    mesh: mesh::Mesh,
    store: store::Store,
    endpoint: http::Endpoint,
    logger: logging::Logger,
    metrics: metrics::Sender,
    ticks: u32,
}

impl Role {
    fn init(cx: CX![], role: Role) -> Option<Self> {
        call!([cx], tick());
        Some(role)
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.handle(cx, Event::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(SLOW_TICKS) {
            self.mesh.close_idle();
            self.metrics.gauge("requests.in_flight", self.machine.requests().len() as u64);
            self.metrics.gauge("agents", self.machine.registry().agents().len() as u64);
            let jobs = self.machine.planner().map_or(0, |planner| planner.jobs().len());
            self.metrics.gauge("jobs", jobs as u64);
            self.report_turned_away();
        }
    }

    /// Counts and logs the callers that met a limit.
    fn report_turned_away(&mut self) {
        let turned_away = self.endpoint.take_turned_away();
        for (reason, count) in turned_away.by_reason() {
            self.metrics
                .count(&format!("turned_away.{reason}"), i64::try_from(count).unwrap_or(i64::MAX));
        }
        if let Some(line) = logging::turned_away(&turned_away) {
            self.logger.info("edge", &line);
        }
    }

    fn handle(&mut self, cx: CX![], event: Event) {
        let now = self.clock.at(cx.now());
        if matches!(event, Event::Drain) {
            self.endpoint.close_after_answers();
        }
        for effect in self.machine.handle(now, event) {
            self.perform(cx, effect);
        }
    }

    fn perform(&mut self, cx: CX![], effect: Effect) {
        match effect {
            Effect::Send { to, envelope } => {
                self.metrics.count_sent(self.mesh.send(&to.address, *envelope));
            }
            Effect::Store(operation, call) => {
                self.metrics.count("store.calls", 1);
                self.store.call(operation, call);
            }
            Effect::Answer(caller, answer) => {
                self.metrics.count(&format!("answers.{}", answer.status), 1);
                self.endpoint.answer(caller, answer);
            }
            Effect::Log(line) => self.logger.info(line.part, &line.text),
            Effect::Exit => {
                self.logger.info("member", "exits after a graceful shutdown");
                stop!(cx);
            }
        }
    }
}

/// Runs an entry until it has shut down gracefully.
///
/// # Errors
/// When an address can't be listened on or a thread can't be started.
pub fn run(settings: &Entry) -> eyre::Result<()> {
    let logger = logging::start(&settings.logging.clone().unwrap_or_default())?;
    let metrics =
        metrics::Sender::new(&settings.metrics.clone().unwrap_or_default(), &settings.name)?;
    let clock = clock::Clock::start();
    let options = options(settings, clock);
    let limits = settings.limits.unwrap_or_default();
    let shares = shares::Shares::new(&limits.process.unwrap_or_default());
    let http_limits = shares.http(usize::try_from(limits.body_bytes)?, http::refusal);
    let (events, queue) = bounded(runtime::MAX_EVENTS);
    let endpoint = http::Endpoint::start(&settings.http, http_limits, &events)?;
    mesh::listen(&settings.address, events.clone(), |envelope| Event::Frame(Box::new(envelope)))?;
    let role = Role {
        machine: machine::Machine::new(options),
        clock,
        mesh: mesh::Mesh::default(),
        store: store::Store::start(&settings.store, &events)?,
        endpoint: endpoint.clone(),
        logger: logger.clone(),
        metrics,
        ticks: 0,
    };
    runtime::watch_signals(events, || Event::Drain)?;
    logger.info("member", &format!("entry={} starts http={}", settings.name, settings.http));
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(stakker, Role::init(role), ret_shutdown!(stakker));
    runtime::run(&mut stakker, &actor, &queue, |_, actor, event| call!([actor], handle(event)));
    drop(actor);
    drop(stakker);
    endpoint.finish();
    Ok(())
}

fn options(settings: &Entry, clock: clock::Clock) -> options::Options {
    let timing = settings.timing.unwrap_or_default();
    let limits = settings.limits.unwrap_or_default();
    let millis = Duration::from_millis;
    let generation = clock.generation();
    options::Options {
        identity: peer::new(&settings.name, &settings.address, generation),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peers: settings.peers.clone(),
        heartbeat: millis(timing.heartbeat_ms),
        silence_timeout: millis(timing.silence_ms),
        lease: millis(timing.lease_ms),
        hold_timeout: millis(timing.hold_ms),
        request_timeout: millis(timing.request_ms),
        shutdown_timeout: millis(timing.shutdown_ms),
        max_requests: limits.requests as usize,
        max_jobs: limits.jobs as usize,
        seed: generation,
    }
}
