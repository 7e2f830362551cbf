//! What callers and other processes ask, and the answers to this process's own calls.

use prost::Message as _;
use sapphire_front::{self as front, answer::Answer};
use sapphire_jobs::{FeedPoll, Lead, Notice, Poll, Relay, Relayed};
use sapphire_net::{
    hub::{CallId, CallerId, Failure, ListenerId},
    message::{Request, Response},
};
use sapphire_planner::{self as planner, event::Moment};
use sapphire_platform as platform;

use super::{Pending, Role, STORE_TIMEOUT, Served};
use crate::inner;

impl Role {
    pub(super) fn request(
        &mut self,
        now: Moment,
        caller: CallerId,
        listener: ListenerId,
        request: Request,
    ) {
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

    pub(super) fn inner_request(&mut self, now: Moment, caller: CallerId, request: &Request) {
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
                let response = match self.front.leader() {
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

    pub(super) fn malformed(&mut self, caller: CallerId, error: &prost::DecodeError) {
        self.levels.info("member", &format!("a message can't be read: {error}"));
        self.net.borrow_mut().answer(caller, &Response::new(400, ""));
    }

    pub(super) fn ask_planner(
        &mut self,
        now: Moment,
        caller: CallerId,
        event: planner::event::Event,
    ) {
        if self.planner.is_some() {
            self.planner_event(now, event);
        } else {
            self.net.borrow_mut().answer(caller, &Response::new(inner::DECLINED, ""));
        }
    }

    pub(super) fn answered(
        &mut self,
        now: Moment,
        call: CallId,
        result: Result<Response, Failure>,
    ) {
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
                    self.front_event(now, front::event::Event::Leader(lead));
                }
            }
            Some(Pending::Told) | None => {}
        }
    }

    pub(super) fn answer(&mut self, now: Moment, caller: CallerId, answer: &Answer) {
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
}
