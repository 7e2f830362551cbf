//! Role `sapphired agent` on the users' platform: runs the state machine of the agent beside a
//! minion as an actor on the event loop and performs its effects.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
};

use cadence::{Counted as _, CountedExt as _, Gauged as _, StatsdClient, Timed as _};
use eyre::WrapErr as _;
use sapphire_jobs::{Lead, Orders};
use sapphire_net::{
    hub::{CallId, CallerId, Event as NetEvent, Failure, Hub, ListenerId},
    message::{Request, Response},
};
use sapphire_platform as platform;
use sapphire_runner::{
    effect::Effect,
    event::{Event as MachineEvent, Ticket},
    machine::Machine,
    minion::Call,
    options,
};
use sapphire_settings::JobAgent;
use stakker::{CX, Stakker, actor, after, call, ret_shutdown, stop};

use crate::{
    exposition, internal, jobs_entry, logging,
    reactor::{self, Event, Net},
    reload, shares, turned_away,
};

/// Interval at which timeouts are checked.
const TICK: Duration = Duration::from_millis(60);

/// A call in progress.
enum Pending {
    Minion { ticket: Ticket, call: Box<Call>, sent: Duration },
    Poll(Ticket),
    LeaderQuery,
}

/// Listeners of the agent; requests at any other listener are for the metrics.
struct Listeners {
    /// For the minion.
    minion: ListenerId,
    /// For other processes of the system.
    internal: ListenerId,
}

/// State machine of the agent with the sockets that perform its effects.
struct Role {
    settings_file: reload::File,
    net: Net,
    listeners: Listeners,
    machine: Machine,
    calls: HashMap<CallId, Pending>,
    logger: logging::Logger,
    registry: exposition::Registry,
    metrics: StatsdClient,
    skipped_log: platform::skipped_log::SkippedLog,
    turned_away: turned_away::Report,
    /// Heartbeats of other minions that were last reported.
    foreign_heartbeats: u64,
}

impl Role {
    fn init(cx: CX![], role: Role) -> Option<Self> {
        call!([cx], tick());
        Some(role)
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.handle_machine_event(cx, MachineEvent::Tick);
        let now = reactor::now().steady;
        if self.settings_file.is_due(now) {
            self.reload();
        }
        let turned_away = self.net.borrow_mut().take_turned_away();
        self.turned_away.report(now, turned_away, &self.metrics, &self.logger);
        let foreign = self.machine.foreign_heartbeats();
        if foreign > self.foreign_heartbeats {
            self.foreign_heartbeats = foreign;
            // A metric that can't be recorded is not worth an error.
            let _ = self.metrics.gauge("foreign_heartbeats", foreign);
        }
    }

    fn handle(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Net(NetEvent::Request { caller, listener, request }) => {
                self.handle_request(cx, caller, listener, &request);
            }
            Event::Net(NetEvent::Answer { call, result }) => self.handle_answer(cx, call, result),
            Event::Net(NetEvent::Disconnected(_)) => {}
            Event::Net(NetEvent::NotAccepted { kind, .. }) => {
                self.logger.info("net", &format!("a connection was not accepted: {kind}"));
            }
            Event::Terminate => self.handle_machine_event(cx, MachineEvent::Terminate),
            Event::Reload => self.reload(),
            Event::BatchEnd => {}
        }
    }

    fn reload(&mut self) {
        match self.settings_file.reload(sapphire_settings::jobs::read_agent) {
            reload::Outcome::Unchanged => {}
            reload::Outcome::Changed(settings) => {
                let bounds = settings.bounds.unwrap_or_default();
                self.machine.set_stop_timeout(Duration::from_millis(bounds.stop_ms));
                self.logger.info("member", "settings changed; the new bounds are in force");
            }
            reload::Outcome::Rejected(findings) => {
                self.logger.info(
                    "member",
                    &format!("new settings rejected, the previous ones stay in force: {findings}"),
                );
            }
        }
    }

    fn handle_request(
        &mut self,
        cx: CX![],
        caller: CallerId,
        listener: ListenerId,
        request: &Request,
    ) {
        if listener == self.listeners.minion {
            let response = match platform::minion::notification(request) {
                platform::minion::Notification::Heartbeat(beat) => {
                    self.handle_machine_event(cx, MachineEvent::Heartbeat(beat));
                    Response::new(200, "{}").with("Content-Type", "application/json")
                }
                platform::minion::Notification::Deregistered(id) => {
                    self.handle_machine_event(cx, MachineEvent::Deregistered(id));
                    Response::new(200, "{}").with("Content-Type", "application/json")
                }
                platform::minion::Notification::Malformed(reason) => {
                    // A metric that can't be recorded is not worth an error.
                    let _ = self.metrics.incr("malformed_calls");
                    if self.skipped_log.is_due(reactor::now().steady, "calls", &reason) {
                        self.logger.info("agent", &format!("call of a minion rejected: {reason}"));
                    }
                    Response::new(400, "{}")
                }
            };
            self.net.borrow_mut().answer(caller, &response);
        } else if listener == self.listeners.internal {
            let response = match (request.method.as_str(), request.path()) {
                ("POST", internal::LEADER) => match internal::decode::<Lead>(&request.body, None) {
                    Ok(lead) => {
                        self.handle_machine_event(cx, MachineEvent::Announced(lead));
                        Response::new(200, "")
                    }
                    Err(error) => {
                        self.logger.info("member", &format!("malformed message: {error}"));
                        Response::new(400, "")
                    }
                },
                _ => Response::new(404, ""),
            };
            self.net.borrow_mut().answer(caller, &response);
        } else {
            let text = self.registry.text();
            self.net.borrow_mut().answer(caller, &Response::new(200, text));
        }
    }

    fn handle_answer(&mut self, cx: CX![], call: CallId, result: Result<Response, Failure>) {
        match self.calls.remove(&call) {
            Some(Pending::Minion { ticket, call, sent }) => {
                let took = reactor::now().steady.saturating_sub(sent);
                let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
                // A metric that can't be recorded is not worth an error.
                let _ = self.metrics.time("minion", millis);
                let mut skipped = platform::skipped::Skipped::default();
                let reply = platform::minion::reply(&call, result, &mut skipped);
                self.report_skipped(&skipped);
                self.handle_machine_event(cx, MachineEvent::MinionReply(ticket, reply));
            }
            Some(Pending::Poll(ticket)) => {
                let is_declined = result.as_ref().is_ok_and(|it| it.status == internal::DECLINED);
                let event = match internal::answer::<Orders>(result) {
                    Some(orders) => MachineEvent::Orders(ticket, Box::new(orders)),
                    None => MachineEvent::PollFailed { ticket, is_declined },
                };
                self.handle_machine_event(cx, event);
            }
            Some(Pending::LeaderQuery) => {
                if let Some(lead) = internal::answer::<Lead>(result) {
                    self.handle_machine_event(cx, MachineEvent::Leader(lead));
                }
            }
            None => {}
        }
    }

    /// Counts and logs the rows of the minion's lists that were skipped.
    fn report_skipped(&mut self, skipped: &platform::skipped::Skipped) {
        if skipped.rows == 0 {
            return;
        }
        let rows = i64::try_from(skipped.rows).unwrap_or(i64::MAX);
        // A metric that can't be recorded is not worth an error.
        let _ = self.metrics.count("skipped_rows", rows);
        for line in self.skipped_log.lines(reactor::now().steady, "minion", skipped) {
            self.logger.info("agent", &line);
        }
    }

    fn handle_machine_event(&mut self, cx: CX![], event: MachineEvent) {
        let now = reactor::now().steady;
        for effect in self.machine.handle(now, event) {
            self.perform(cx, now, effect);
        }
    }

    fn perform(&mut self, cx: CX![], now: Duration, effect: Effect) {
        match effect {
            Effect::CallMinion { ticket, address, minion_id, call, timeout } => {
                let Ok(target) = address.parse::<SocketAddr>() else { return };
                let request = platform::minion::request(&minion_id, &call);
                let id = self.net.borrow_mut().call(target, &request, timeout);
                self.calls.insert(id, Pending::Minion { ticket, call: Box::new(call), sent: now });
            }
            Effect::Poll { ticket, address, poll } => {
                // A metric that can't be recorded is not worth an error.
                let _ = self.metrics.incr("polls");
                let hub = &mut self.net.borrow_mut();
                let timeout = options::POLL_TIMEOUT;
                let id = internal::call(hub, &address, "POST", internal::POLL, &*poll, timeout);
                self.calls.extend(id.map(|id| (id, Pending::Poll(ticket))));
            }
            Effect::QueryLeader { address } => {
                let hub = &mut self.net.borrow_mut();
                let timeout = options::LEADER_QUERY_TIMEOUT;
                let id = internal::call(hub, &address, "GET", internal::LEADER, &(), timeout);
                self.calls.extend(id.map(|id| (id, Pending::LeaderQuery)));
            }
            Effect::Log(text) => self.logger.info("agent", &text),
            Effect::Exit => stop!(cx),
        }
    }
}

/// Runs an agent until it has shut down.
///
/// # Errors
/// When an address can't be listened on, a signal handler can't be installed, a thread can't be
/// started or the event loop fails.
pub fn run(settings: &JobAgent, path: &Path) -> eyre::Result<()> {
    let logger = logging::start_bounded(&settings.logging.clone().unwrap_or_default())?;
    let mut hub = Hub::new().wrap_err("cannot create the event loop")?;
    let shares = shares::Shares::new(&settings.limits.unwrap_or_default());
    let listeners = Listeners {
        minion: jobs_entry::listen(&mut hub, &settings.minion, shares.minion())?,
        internal: jobs_entry::listen(&mut hub, &settings.address, shares.agent_internal())?,
    };
    if !settings.metrics.is_empty() {
        jobs_entry::listen(&mut hub, &settings.metrics, shares.probes())?;
    }
    let started = reactor::now();
    let registry = exposition::Registry::default();
    let net: Net = Rc::new(RefCell::new(hub));
    let bounds = settings.bounds.unwrap_or_default();
    let machine = Machine::new(options::Options {
        name: settings.name.clone(),
        address: settings.address.clone(),
        generation: u64::try_from(started.unix.as_micros()).unwrap_or(u64::MAX),
        entries: settings.entries.clone(),
        minion_address: settings.tasks.clone(),
        stop_timeout: Duration::from_millis(bounds.stop_ms),
        longest_lease: Duration::from_millis(bounds.lease_limit_ms),
    });
    let role = Role {
        settings_file: reload::File::new(PathBuf::from(path), started.steady),
        net: net.clone(),
        listeners,
        machine,
        calls: HashMap::new(),
        logger: logger.clone(),
        metrics: registry.client(),
        registry,
        skipped_log: platform::skipped_log::SkippedLog::default(),
        turned_away: turned_away::Report::default(),
        foreign_heartbeats: 0,
    };
    let signals = reactor::Signals::catch()?;
    logger.info(
        "member",
        &format!(
            "agent={} zone={} starts minion={}",
            settings.name, settings.zone, settings.minion
        ),
    );
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(stakker, Role::init(role), ret_shutdown!(stakker));
    reactor::run(&mut stakker, &actor, &net, &signals, |actor, event| call!([actor], handle(event)))
}
