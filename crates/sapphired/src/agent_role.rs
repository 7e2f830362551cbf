//! Role `sapphired agent` on threads and message sockets: runs the agent's state machine as an
//! actor and performs its effects.

use std::time::{Duration, Instant};

use crossbeam_channel::bounded;
use sapphire_agent::{effect::Effect, event::Event, machine, options};
use sapphire_settings::Agent;
use sapphire_wire::{Minion, Worker, peer};
use stakker::{CX, Stakker, actor, after, call, ret_shutdown, stop};

use crate::{clock, logging, mesh, metrics, minion, runtime, worker};

/// Interval at which timeouts are checked.
const TICK: Duration = Duration::from_millis(100);
/// Number of ticks after which gauges are sent and idle connections closed.
const SLOW_TICKS: u32 = 100;
/// Time for which ended attempts are remembered.
const ENDED_RETENTION: Duration = Duration::from_secs(600);

/// State machine of the agent with the sockets and threads that perform its effects.
struct Role {
    machine: machine::Machine,
    clock: clock::Clock,
    mesh: mesh::Mesh,
    worker: Option<worker::Worker>,
    minion: Option<minion::Minion>,
    logger: logging::Logger,
    metrics: metrics::Sender,
    /// Effects of the machine's creation, performed when the actor starts.
    initial: Vec<Effect>,
    ticks: u32,
}

impl Role {
    fn init(cx: CX![], role: Role) -> Option<Self> {
        call!([cx], begin());
        Some(role)
    }

    fn begin(&mut self, cx: CX![]) {
        for effect in std::mem::take(&mut self.initial) {
            self.perform(cx, effect);
        }
        self.tick(cx);
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.handle(cx, Event::Tick);
        self.ticks += 1;
        if self.ticks.is_multiple_of(SLOW_TICKS) {
            self.mesh.close_idle();
            let load = self.machine.load();
            self.metrics.gauge("accelerators.free", u64::from(load.free_accelerators));
            self.metrics.gauge("slots.free", u64::from(load.free_slots));
        }
    }

    fn handle(&mut self, cx: CX![], event: Event) {
        let now = self.clock.at(cx.now());
        for effect in self.machine.handle(now, event) {
            self.perform(cx, effect);
        }
    }

    fn perform(&mut self, cx: CX![], effect: Effect) {
        match effect {
            Effect::Send { to, envelope } => {
                self.metrics.count_sent(self.mesh.send(&to.address, *envelope));
            }
            Effect::ResetWorker => self.call_worker(worker::Call::Reset),
            Effect::RunTasks(run) => self.call_worker(worker::Call::Run(run)),
            Effect::RenewTasks(attempt, lease) => {
                self.call_worker(worker::Call::Renew(attempt, lease));
            }
            Effect::CheckpointTasks(attempt) => {
                self.call_worker(worker::Call::Checkpoint(attempt));
            }
            Effect::StopTasks(attempt) => self.call_worker(worker::Call::Stop(attempt)),
            Effect::CallMinion(call) => {
                if let Some(minion) = &self.minion {
                    minion.call(call);
                }
            }
            Effect::Log(text) => self.logger.info("agent", &text),
            Effect::Exit => {
                self.logger.info("agent", "exits after a graceful shutdown");
                stop!(cx);
            }
        }
    }

    fn call_worker(&self, call: worker::Call) {
        if let Some(worker) = &self.worker {
            worker.call(call);
        }
    }
}

/// Runs an agent until it has shut down gracefully.
///
/// # Errors
/// When an address can't be listened on or a thread can't be started.
pub fn run(settings: &Agent) -> eyre::Result<()> {
    let logger = logging::start(&settings.logging.clone().unwrap_or_default())?;
    let metrics =
        metrics::Sender::new(&settings.metrics.clone().unwrap_or_default(), &settings.name)?;
    let clock = clock::Clock::start();
    let options = options(settings, clock);
    let (events, queue) = bounded(runtime::MAX_EVENTS);
    mesh::listen(&settings.address, events.clone(), |envelope| Event::Frame(Box::new(envelope)))?;
    let worker = settings.worker.as_ref();
    let worker = worker.map(|own| worker::Worker::start(&own.address, options.lease, &events));
    let minion = settings.minion.as_ref();
    let minion = minion.map(|own| minion::Minion::start(&own.address, own.slots, &events));
    let (machine, initial) = machine::Machine::new(clock.at(Instant::now()), options);
    let role = Role {
        machine,
        clock,
        mesh: mesh::Mesh::default(),
        worker: worker.transpose()?,
        minion: minion.transpose()?,
        logger: logger.clone(),
        metrics,
        initial,
        ticks: 0,
    };
    runtime::watch_signals(events, || Event::Drain)?;
    logger.info("agent", &format!("agent={} starts address={}", settings.name, settings.address));
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(stakker, Role::init(role), ret_shutdown!(stakker));
    runtime::run(&mut stakker, &actor, &queue, |_, actor, event| call!([actor], handle(event)));
    Ok(())
}

fn options(settings: &Agent, clock: clock::Clock) -> options::Options {
    let timing = settings.timing.unwrap_or_default();
    let millis = Duration::from_millis;
    let worker = settings.worker.as_ref().map(|own| Worker {
        name: own.name.clone(),
        rack: own.rack.clone(),
        accelerators: own.accelerators,
        processors: own.processors,
        memory_bytes: own.memory_bytes,
    });
    let minion = settings.minion.as_ref().map(|own| Minion {
        name: own.name.clone(),
        service: own.service.clone(),
        slots: own.slots,
        waiting: own.slots,
    });
    options::Options {
        identity: peer::new(&settings.name, &settings.address, clock.generation()),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        worker,
        minion,
        entries: settings.entries.clone(),
        heartbeat: millis(timing.heartbeat_ms),
        silence_timeout: millis(timing.silence_ms),
        lease: millis(timing.lease_ms),
        ended_retention: ENDED_RETENTION,
    }
}
