//! Calls to the store: straight, or through another entry.

use std::time::Duration;

use cadence::Counted as _;
use sapphire_front::{self as front, reach::Way};
use sapphire_jobs::{Relay, Relayed};
use sapphire_net::{hub::Failure, message::Response};
use sapphire_planner::{self as planner, event::Moment};
use sapphire_platform as platform;
use sapphire_store::call::{Call, Reply};

use super::{Origin, Pending, Role, STORE_TIMEOUT, Work};
use crate::inner;

/// Time for another entry's answer to a relayed call.
const RELAY_TIMEOUT: Duration = Duration::from_millis(520);
/// The same for an answer that may be as large as the store's values: the other entry has to have
/// all of it before it passes the first byte on.
const LARGE_RELAY_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for a proof of the configuration, which is large only when refused: short enough that
/// callers are served meanwhile by the proof before.
const PROOF_RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Role {
    pub(super) fn store_answered(
        &mut self,
        now: Moment,
        origin: Origin,
        call: &Call,
        sent: Duration,
        way: &Way,
        result: Result<Response, Failure>,
    ) {
        let bytes = result.as_ref().map_or(0, |response| response.body.len());
        let reply = match way {
            Way::Straight => platform::store::reply(call, result),
            Way::Through(_) => relayed_reply(call, result),
        };
        let is_answered = !matches!(reply, Reply::Unavailable(_) | Reply::NotDone(_));
        let name = if is_answered { "store.answered" } else { "store.failed" };
        self.count(name);
        self.time("store", now.steady.saturating_sub(sent));
        self.count_purpose(&origin, &reply, bytes);
        if let Reply::Unavailable(reason) | Reply::NotDone(reason) = &reply {
            let (purpose, ms) = (purpose(&origin), now.steady.saturating_sub(sent).as_millis());
            let text = format!("store call={purpose} way={way:?} ms={ms} failed: {reason}");
            self.levels.info("front", &text);
        }
        if !is_watch(call) {
            let effects = self.front.record_call(now.steady, way, is_answered);
            self.perform(now, effects.into_iter().map(Work::Front).collect());
        }
        match origin {
            Origin::Front(operation) => {
                self.front_event(now, front::event::Event::Store { operation, sent, reply });
            }
            Origin::Planner { term, operation } => {
                if self.planner.as_ref().is_some_and(|planner| planner.term() == term) {
                    self.planner_event(now, planner::event::Event::Store(operation, reply));
                }
            }
        }
    }

    fn count_purpose(&self, origin: &Origin, reply: &Reply, bytes: usize) {
        let name = format!("store.{}.{}", purpose(origin), outcome(reply));
        self.count(&name);
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        // A counter that can't be kept is not worth an error.
        let _ = self.metrics.count(&format!("store.{}.bytes", purpose(origin)), bytes);
    }

    pub(super) fn store_call(&mut self, now: Moment, origin: Origin, call: Call) {
        self.count("store.calls");
        let is_probe = matches!(origin, Origin::Front(front::event::Operation::Probe));
        let way = self.front.way(is_probe || is_watch(&call));
        let request = platform::store::request(&call);
        let id = match &way {
            Way::Straight => {
                let timeout = STORE_TIMEOUT + watch_wait(&call);
                Some(self.net.borrow_mut().call(self.store, &request, timeout))
            }
            Way::Through(address) => {
                let relay =
                    Relay { method: request.method, target: request.target, body: request.body };
                let timeout = relay_timeout(&origin, &call);
                let hub = &mut self.net.borrow_mut();
                inner::call(hub, address, "POST", inner::RELAY, &relay, timeout)
            }
        };
        let sent = now.steady;
        match id {
            Some(id) => {
                let call = Box::new(call);
                self.calls.insert(id, Pending::Store { origin, call, sent, way });
            }
            None => log::warn!(target: "sapphire", "member: a call to the store was not sent"),
        }
    }
}

/// What a call to the store is for, as the metrics name it.
fn purpose(origin: &Origin) -> &'static str {
    use front::event::Operation as Front;
    use planner::event::Operation as Plan;
    match origin {
        Origin::Front(operation) => match operation {
            Front::Catalog => "catalog",
            Front::Freshness => "proof",
            Front::CatalogWatch => "catalog_watch",
            Front::Leader => "lead",
            Front::LeaderWatch => "lead_watch",
            Front::LeaderLease | Front::LeaderRelease => "hold",
            Front::Submit(_) => "submit",
            Front::Cancel(_) => "cancel",
            Front::LookUp(_) | Front::LookUpProgress(_) | Front::LookUpCancel(_) => "look_up",
            Front::Probe => "probe",
        },
        Origin::Planner { operation, .. } => match operation {
            Plan::Scan => "scan",
            Plan::Fleet => "fleet",
            Plan::Progress(_) => "progress",
            Plan::Forget(_) => "forget",
            Plan::Intake => "intake",
            Plan::Unanswered => "unanswered",
        },
    }
}

/// Time for another entry's answer to a relayed call.
fn relay_timeout(origin: &Origin, call: &Call) -> Duration {
    use front::event::Operation;
    match origin {
        Origin::Front(Operation::Catalog) => LARGE_RELAY_TIMEOUT,
        Origin::Front(Operation::Freshness) => PROOF_RELAY_TIMEOUT,
        Origin::Planner { .. } if matches!(call, Call::Scan { .. }) => LARGE_RELAY_TIMEOUT,
        _ => RELAY_TIMEOUT,
    }
}

/// How a call to the store ended, as the metrics name it.
fn outcome(reply: &Reply) -> &'static str {
    match reply {
        Reply::Unavailable(_) => "unanswered",
        Reply::NotDone(_) => "turned_away",
        Reply::Conflict(_) | Reply::Refused(_) => "refused",
        Reply::HistoryGone => "history_gone",
        Reply::Lapsed => "lapsed",
        _ => "done",
    }
}

/// Reads what another entry says of a call that it made.
fn relayed_reply(call: &Call, result: Result<Response, Failure>) -> Reply {
    match inner::answer::<Relayed>(result) {
        Some(relayed) if relayed.status > 0 => {
            let status = u16::try_from(relayed.status).unwrap_or(502);
            let response = Response::new(status, relayed.body);
            platform::store::reply(call, Ok(response))
        }
        _ => Reply::Unavailable("another entry has no answer either".to_owned()),
    }
}

fn is_watch(call: &Call) -> bool {
    !watch_wait(call).is_zero()
}

fn watch_wait(call: &Call) -> Duration {
    match call {
        Call::WatchPrefix { wait, .. } if *wait > Duration::from_millis(1) => *wait,
        _ => Duration::ZERO,
    }
}
