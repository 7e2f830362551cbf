//! Requests of callers and of other processes, and the answers to the calls of this process.

use sapphire_front::{
    self as front,
    answer::{self as answers, Answer},
};
use sapphire_jobs::{FeedPoll, Lead, Notice, Poll, Relay, Relayed};
use sapphire_net::{
    hub::{CallId, CallerId, Failure, ListenerId},
    message::{Request, Response},
};
use sapphire_planner::{self as planner, event::Moment};
use sapphire_platform as platform;

use super::{ActiveRequest, Pending, Role, STORE_TIMEOUT};
use crate::{internal, reactor};

/// Number of the field of a poll with the incarnation of the minion, which has a list of labels.
const POLL_INCARNATION: u32 = 5;
/// Number of the field of a notice with the submitted jobs, which have lists of steps.
const NOTICE_JOBS: u32 = 1;

impl Role {
    /// Handles a request according to the listener at which it arrived: a caller's request, a
    /// readiness check, a request of another process, or a request for the metrics.
    pub(super) fn handle_request(
        &mut self,
        now: Moment,
        caller: CallerId,
        listener: ListenerId,
        request: Request,
    ) {
        if listener == self.listeners.callers {
            let text = format!("{} {}", request.method, request.target);
            self.active_requests.insert(caller, ActiveRequest { received_at: now.steady, text });
            let request = Box::new(platform::caller::request(&request));
            self.handle_front_event(now, front::event::Event::Request(caller, request));
        } else if listener == self.listeners.ready {
            let status = if self.front.is_ready(now.steady) { 200 } else { 503 };
            self.net.borrow_mut().answer(caller, &Response::new(status, ""));
        } else if listener == self.listeners.internal {
            self.handle_internal_request(now, caller, &request);
        } else {
            let text = self.registry.text();
            self.net.borrow_mut().answer(caller, &Response::new(200, text));
        }
    }

    /// Handles a request of another process of the system.
    pub(super) fn handle_internal_request(
        &mut self,
        now: Moment,
        caller: CallerId,
        request: &Request,
    ) {
        use planner::event::Event;
        let body = &request.body;
        match (request.method.as_str(), request.path()) {
            ("POST", internal::POLL) => {
                match internal::decode::<Poll>(body, Some(POLL_INCARNATION)) {
                    Ok(poll) => {
                        self.send_to_planner(now, caller, Event::Poll(caller, Box::new(poll)))
                    }
                    Err(error) => self.reject_malformed(caller, &error),
                }
            }
            ("POST", internal::FEED) => match internal::decode::<FeedPoll>(body, None) {
                Ok(poll) => self.send_to_planner(now, caller, Event::Feed(caller, poll)),
                Err(error) => self.reject_malformed(caller, &error),
            },
            ("POST", internal::NOTICE) => match internal::decode::<Notice>(body, Some(NOTICE_JOBS))
            {
                Ok(notice) => {
                    let status = if self.planner.is_some() { 200 } else { internal::DECLINED };
                    self.handle_planner_event(now, Event::Notice(notice));
                    self.net.borrow_mut().answer(caller, &Response::new(status, ""));
                }
                Err(error) => self.reject_malformed(caller, &error),
            },
            ("GET", internal::LEADER) => {
                let response = match self.front.leader() {
                    Some(leader) => internal::response(leader),
                    None => Response::new(404, ""),
                };
                self.net.borrow_mut().answer(caller, &response);
            }
            ("POST", internal::RELAY) => match internal::decode::<Relay>(body, None) {
                Ok(relay) => {
                    let request = Request::new(&relay.method, &relay.target, relay.body)
                        .with("Content-Type", "application/json");
                    let call = self.net.borrow_mut().call(self.store, &request, STORE_TIMEOUT);
                    self.calls.insert(call, Pending::Relay { caller });
                }
                Err(error) => self.reject_malformed(caller, &error),
            },
            _ => self.net.borrow_mut().answer(caller, &Response::new(404, "")),
        }
    }

    /// Answers 400 to a message that can't be decoded.
    pub(super) fn reject_malformed(&mut self, caller: CallerId, error: &internal::Rejected) {
        self.count("malformed_calls");
        let text = format!("malformed message: {error}");
        if self.skipped_log.is_due(reactor::now().steady, "calls", &text) {
            self.logger.info("member", &text);
        }
        self.net.borrow_mut().answer(caller, &Response::new(400, ""));
    }

    /// Passes a request to the planner, which answers it later; declines it if this entry does not
    /// plan.
    pub(super) fn send_to_planner(
        &mut self,
        now: Moment,
        caller: CallerId,
        event: planner::event::Event,
    ) {
        if self.planner.is_some() {
            self.handle_planner_event(now, event);
        } else {
            self.net.borrow_mut().answer(caller, &Response::new(internal::DECLINED, ""));
        }
    }

    /// Handles the result of a call of this process.
    pub(super) fn handle_answer(
        &mut self,
        now: Moment,
        call: CallId,
        result: Result<Response, Failure>,
    ) {
        match self.calls.remove(&call) {
            Some(Pending::Store { origin, call, sent, way }) => {
                self.handle_store_answer(now, origin, &call, sent, &way, result);
            }
            Some(Pending::Relay { caller }) => {
                let relayed = match result {
                    Ok(response) => Relayed { status: response.status.into(), body: response.body },
                    Err(_) => Relayed::default(),
                };
                self.net.borrow_mut().answer(caller, &internal::response(&relayed));
            }
            Some(Pending::Feed { sent, address }) => {
                if matches!(result, Err(Failure::Refused)) {
                    let event = front::event::Event::LeaderRefused(address);
                    self.handle_front_event(now, event);
                }
                let feed = internal::answer(result).map(Box::new);
                self.handle_front_event(now, front::event::Event::Feed { sent, feed });
            }
            Some(Pending::LeaderQuery) => {
                if let Some(leader) = internal::answer::<Lead>(result) {
                    self.handle_front_event(now, front::event::Event::Leader(leader));
                }
            }
            Some(Pending::Inventory { term }) => {
                let mut skipped = platform::skipped::Skipped::default();
                let page = platform::inventory::page(result, &mut skipped);
                self.report_skipped(now.steady, "inventory", &skipped);
                self.count(if page.is_some() { "inventory.answered" } else { "inventory.failed" });
                if self.planner.as_ref().is_some_and(|planner| planner.term() == term) {
                    self.handle_planner_event(now, planner::event::Event::Inventory(page));
                }
            }
            Some(Pending::Notification) | None => {}
        }
    }

    /// Answers a caller's request and logs it.
    pub(super) fn send_answer(&mut self, now: Moment, caller: CallerId, answer: &Answer) {
        let response = platform::caller::response(answer);
        if let Some(active) = self.active_requests.remove(&caller) {
            let took = now.steady.saturating_sub(active.received_at);
            self.record_time("request", took);
            self.count(&format!("answers.{}", response.status));
            match answer {
                Answer::NotDone { reason: answers::ABOVE_SHARE, .. } => {
                    self.count("shares.refused");
                }
                Answer::NotDone { reason: answers::NO_MEMORY, .. } => {
                    self.count("jobs.refused_for_memory");
                }
                Answer::NotDone { reason: answers::TOO_MANY_TOMBSTONES, .. } => {
                    self.count("cancellations.refused");
                }
                _ => {}
            }
            let (status, took) = (response.status, took.as_millis());
            let text = format!("request={caller} {} status={status} ms={took}", active.text);
            self.logger.info("front", &format!("{text} answer={answer:?}"));
        }
        self.net.borrow_mut().answer(caller, &response);
    }
}
