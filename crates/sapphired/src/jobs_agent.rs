//! `sapphired agent` on the users' platform: beside a minion that runs tasks, with its I/O.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant},
};

use cadence::{CountedExt as _, StatsdClient, Timed as _};
use eyre::WrapErr as _;
use prost::Message as _;
use sapphire_jobs::{Lead, Orders};
use sapphire_net::{
    hub::{CallId, CallerId, Event as NetEvent, Failure, Hub, ListenerId},
    message::{Limits, Request, Response},
};
use sapphire_platform as platform;
use sapphire_runner::{
    effect::Effect,
    event::{Event as Told, Ticket},
    machine::Machine,
    minion::Call,
    options,
};
use sapphire_settings::JobAgent;
use stakker::{CX, Stakker, actor, after, call, ret_shutdown, stop};

use crate::{
    exposition, inner, jobs_entry, logging,
    reactor::{self, Event, Net},
    reload,
};

/// How often time-outs are looked at.
const TICK: Duration = Duration::from_millis(60);

/// A call under way.
enum Pending {
    Minion { ticket: Ticket, call: Box<Call>, sent: Duration },
    Poll(Ticket),
    Lead,
}

/// Listening addresses.
struct Listeners {
    minion: ListenerId,
    inner: ListenerId,
}

/// The actor.
struct Role {
    file: reload::File,
    net: Net,
    listeners: Listeners,
    machine: Machine,
    calls: HashMap<CallId, Pending>,
    levels: logging::Levels,
    registry: exposition::Registry,
    metrics: StatsdClient,
}

impl Role {
    fn init(cx: CX![], role: Role) -> Option<Self> {
        call!([cx], tick());
        Some(role)
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        self.told(cx, Told::Tick);
        if self.file.is_due(reactor::now().steady) {
            self.reload();
        }
    }

    fn event(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Net(NetEvent::Request { caller, listener, request }) => {
                self.request(cx, caller, listener, &request);
            }
            Event::Net(NetEvent::Answer { call, result }) => self.answered(cx, call, result),
            Event::Net(NetEvent::Disconnected(_)) => {}
            Event::Net(NetEvent::NotAccepted { kind, .. }) => {
                self.levels.info("net", &format!("a connection was not accepted: {kind}"));
            }
            Event::Terminate => self.told(cx, Told::Terminate),
            Event::Reload => self.reload(),
            Event::Settle => {}
        }
    }

    fn reload(&mut self) {
        match self.file.reload(sapphire_settings::jobs::read_agent) {
            reload::Outcome::Same => {}
            reload::Outcome::Changed(settings) => {
                let bounds = settings.bounds.unwrap_or_default();
                self.machine.set_stop_timeout(Duration::from_millis(bounds.stop_ms));
                self.levels.info("member", "settings changed; bounds are in force");
            }
            reload::Outcome::Refused(findings) => {
                self.levels.info("member", &format!("settings not taken over: {findings}"));
            }
        }
    }

    fn request(&mut self, cx: CX![], caller: CallerId, listener: ListenerId, request: &Request) {
        if listener == self.listeners.minion {
            let response = match platform::minion::word(request) {
                platform::minion::Word::Beat(beat) => {
                    self.told(cx, Told::Heartbeat(beat));
                    Response::new(200, "{}").with("Content-Type", "application/json")
                }
                platform::minion::Word::Leaves(id) => {
                    self.told(cx, Told::Deregistered(id));
                    Response::new(200, "{}").with("Content-Type", "application/json")
                }
                platform::minion::Word::Unreadable(reason) => {
                    self.levels.info("agent", &format!("a minion's call is refused: {reason}"));
                    Response::new(400, "{}")
                }
            };
            self.net.borrow_mut().answer(caller, &response);
        } else if listener == self.listeners.inner {
            let response = match (request.method.as_str(), request.path()) {
                ("POST", inner::LEAD) => match Lead::decode(request.body.clone()) {
                    Ok(lead) => {
                        self.told(cx, Told::Leader(lead));
                        Response::new(200, "")
                    }
                    Err(error) => {
                        self.levels.info("member", &format!("a message can't be read: {error}"));
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

    fn answered(&mut self, cx: CX![], call: CallId, result: Result<Response, Failure>) {
        match self.calls.remove(&call) {
            Some(Pending::Minion { ticket, call, sent }) => {
                let took = reactor::now().steady.saturating_sub(sent);
                let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
                // A time that can't be kept is not worth an error.
                let _ = self.metrics.time("minion", millis);
                let reply = platform::minion::reply(&call, result);
                self.told(cx, Told::MinionReply(ticket, reply));
            }
            Some(Pending::Poll(ticket)) => {
                let is_declined = result.as_ref().is_ok_and(|it| it.status == inner::DECLINED);
                let told = match inner::answer::<Orders>(result) {
                    Some(orders) => Told::Orders(ticket, Box::new(orders)),
                    None => Told::PollFailed { ticket, is_declined },
                };
                self.told(cx, told);
            }
            Some(Pending::Lead) => {
                if let Some(lead) = inner::answer::<Lead>(result) {
                    self.told(cx, Told::Leader(lead));
                }
            }
            None => {}
        }
    }

    fn told(&mut self, cx: CX![], event: Told) {
        let now = reactor::now().steady;
        for effect in self.machine.handle(now, event) {
            self.effect(cx, now, effect);
        }
    }

    fn effect(&mut self, cx: CX![], now: Duration, effect: Effect) {
        match effect {
            Effect::CallMinion { ticket, address, minion_id, call, timeout } => {
                let Ok(target) = address.parse::<SocketAddr>() else { return };
                let request = platform::minion::request(&minion_id, &call);
                let id = self.net.borrow_mut().call(target, &request, timeout);
                self.calls.insert(id, Pending::Minion { ticket, call: Box::new(call), sent: now });
            }
            Effect::Poll { ticket, address, poll } => {
                // A counter that can't be kept is not worth an error.
                let _ = self.metrics.incr("polls");
                let hub = &mut self.net.borrow_mut();
                let timeout = options::POLL_TIMEOUT;
                let id = inner::call(hub, &address, "POST", inner::POLL, &*poll, timeout);
                self.calls.extend(id.map(|id| (id, Pending::Poll(ticket))));
            }
            Effect::QueryLeader { address } => {
                let hub = &mut self.net.borrow_mut();
                let timeout = options::LEADER_QUERY_TIMEOUT;
                let id = inner::call(hub, &address, "GET", inner::LEAD, &(), timeout);
                self.calls.extend(id.map(|id| (id, Pending::Lead)));
            }
            Effect::Log(text) => self.levels.info("agent", &text),
            Effect::Exit => stop!(cx),
        }
    }
}

/// Runs an agent until it has shut down.
///
/// # Errors
/// When an address can't be listened on or the system refuses what it needs.
pub fn run(settings: &JobAgent, path: &Path) -> eyre::Result<()> {
    let levels = logging::start_bounded(&settings.logging.clone().unwrap_or_default())?;
    let mut hub = Hub::new().wrap_err("event loop")?;
    let listeners = Listeners {
        minion: jobs_entry::listen(&mut hub, &settings.minion, minion_limits())?,
        inner: jobs_entry::listen(&mut hub, &settings.address, Limits::default())?,
    };
    if !settings.metrics.is_empty() {
        jobs_entry::listen(&mut hub, &settings.metrics, minion_limits())?;
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
    });
    let role = Role {
        file: reload::File::new(PathBuf::from(path), started.steady),
        net: net.clone(),
        listeners,
        machine,
        calls: HashMap::new(),
        levels: levels.clone(),
        metrics: registry.client(),
        registry,
    };
    let signals = reactor::Signals::catch()?;
    levels.info(
        "member",
        &format!(
            "agent={} zone={} starts minion={}",
            settings.name, settings.zone, settings.minion
        ),
    );
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(stakker, Role::init(role), ret_shutdown!(stakker));
    reactor::run(&mut stakker, &actor, &net, &signals, |actor, event| call!([actor], event(event)))
}

/// Bounds of what a minion may send: it has few connections, and its bodies may be large.
fn minion_limits() -> Limits {
    Limits { connections: 64, body_bytes: 4 << 20, ..Limits::default() }
}
