//! Calls to the store, which are sent directly or relayed by another entry.

use std::time::Duration;

use cadence::Counted as _;
use sapphire_front::{self as front, reach::Way};
use sapphire_jobs::{Relay, Relayed};
use sapphire_net::{hub::Failure, message::Response};
use sapphire_planner::{self as planner, event::Moment};
use sapphire_platform as platform;
use sapphire_store::call::{Call, Reply};

use super::{Origin, Pending, Role, STORE_TIMEOUT, Work};
use crate::internal;

/// Timeout of a call that another entry relays.
const RELAY_TIMEOUT: Duration = Duration::from_millis(520);
/// Timeout of a relayed call whose answer may be large: the other entry must receive all of it
/// before it passes on the first byte.
const LARGE_RELAY_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a relayed freshness check, whose answer is large only if there is a newer
/// configuration. Short enough that the previous check is still valid and callers are served
/// meanwhile.
const FRESHNESS_RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Role {
    /// Handles the result of a call: metrics, log, and the event for the state machine that made
    /// it.
    pub(super) fn handle_store_answer(
        &mut self,
        now: Moment,
        origin: Origin,
        call: &Call,
        sent: Duration,
        way: &Way,
        result: Result<Response, Failure>,
    ) {
        let bytes = result.as_ref().map_or(0, |response| response.body.len());
        let mut skipped = platform::skipped::Skipped::default();
        let reply = match way {
            Way::Straight => platform::store::reply(call, result, &mut skipped),
            Way::Through(_) => relayed_reply(call, result, &mut skipped),
        };
        self.report_skipped(now.steady, purpose(&origin), &skipped);
        let is_answered = !matches!(reply, Reply::Unavailable(_) | Reply::NotDone(_));
        let name = if is_answered { "store.answered" } else { "store.failed" };
        self.count(name);
        self.record_time("store", now.steady.saturating_sub(sent));
        self.count_call(&origin, &reply, bytes);
        if let Reply::Unavailable(reason) | Reply::NotDone(reason) = &reply {
            let (purpose, ms) = (purpose(&origin), now.steady.saturating_sub(sent).as_millis());
            let text = format!("store call={purpose} way={way:?} ms={ms} failed: {reason}");
            self.logger.info("front", &text);
        }
        if !is_watch(call) {
            let effects = self.front.record_call(now.steady, way, is_answered);
            self.perform(now, effects.into_iter().map(Work::Front).collect());
        }
        match origin {
            Origin::Front(operation) => {
                self.handle_front_event(now, front::event::Event::Store { operation, sent, reply });
            }
            Origin::Planner { term, operation } => {
                if self.planner.as_ref().is_some_and(|planner| planner.term() == term) {
                    self.handle_planner_event(now, planner::event::Event::Store(operation, reply));
                }
            }
        }
    }

    /// Counts a call by its purpose and outcome, and the bytes of its answer.
    fn count_call(&self, origin: &Origin, reply: &Reply, bytes: usize) {
        let name = format!("store.{}.{}", purpose(origin), outcome(reply));
        self.count(&name);
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        // A metric that can't be recorded is not worth an error.
        let _ = self.metrics.count(&format!("store.{}.bytes", purpose(origin)), bytes);
    }

    /// Sends a call, directly or by way of another entry as the front chooses.
    pub(super) fn call_store(&mut self, now: Moment, origin: Origin, call: Call) {
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
                internal::call(hub, address, "POST", internal::RELAY, &relay, timeout)
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

/// Purpose of a call to the store, as it stands in the names of metrics and in log lines.
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
            Front::Cancel(_) | Front::Tombstone(_) => "cancel",
            Front::LookUp(_) | Front::LookUpProgress(_) | Front::LookUpCancel(_) => "look_up",
            Front::Probe => "probe",
        },
        Origin::Planner { operation, .. } => match operation {
            Plan::Scan | Plan::Begun => "scan",
            Plan::Fleet => "fleet",
            Plan::Progress(_) => "progress",
            Plan::Forget(_) | Plan::Tombstones(_) => "forget",
            Plan::Intake => "intake",
            Plan::Unanswered(_) => "unanswered",
            Plan::Speeds(_) => "speeds",
            Plan::Shares => "shares",
            Plan::Cordons => "cordons",
            Plan::CordonWatch => "cordon_watch",
        },
    }
}

/// Timeout of a relayed call.
fn relay_timeout(origin: &Origin, call: &Call) -> Duration {
    use front::event::Operation;
    match origin {
        Origin::Front(Operation::Catalog) => LARGE_RELAY_TIMEOUT,
        Origin::Front(Operation::Freshness) => FRESHNESS_RELAY_TIMEOUT,
        Origin::Planner { .. } if matches!(call, Call::Scan { .. }) => LARGE_RELAY_TIMEOUT,
        _ => RELAY_TIMEOUT,
    }
}

/// Outcome of a call to the store, as it stands in the names of metrics.
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

/// Decodes the result of a call that another entry made for this one.
fn relayed_reply(
    call: &Call,
    result: Result<Response, Failure>,
    skipped: &mut platform::skipped::Skipped,
) -> Reply {
    match internal::answer::<Relayed>(result) {
        Some(relayed) if relayed.status > 0 => {
            let status = u16::try_from(relayed.status).unwrap_or(502);
            let response = Response::new(status, relayed.body);
            platform::store::reply(call, Ok(response), skipped)
        }
        _ => Reply::Unavailable("another entry has no answer either".to_owned()),
    }
}

/// Whether the store may hold the call open until there are changes.
fn is_watch(call: &Call) -> bool {
    !watch_wait(call).is_zero()
}

/// Time for which the store may hold the call open; zero for calls that are answered at once.
fn watch_wait(call: &Call) -> Duration {
    match call {
        Call::WatchPrefix { wait, .. } if *wait > Duration::from_millis(1) => *wait,
        _ => Duration::ZERO,
    }
}
