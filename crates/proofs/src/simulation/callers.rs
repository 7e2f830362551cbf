//! Requests of callers and operators, and the answers to them.

use sapphire_entry as entry;
use sapphire_entry::{answer, api};
use sapphire_wire::{Header, id};

use super::{Simulation, summary};

impl Simulation {
    /// Makes an HTTP request to an entry; the answer will be in [`Simulation::answers`].
    pub fn http(&mut self, at: &str, request: api::Request) -> u64 {
        let caller = self.next_caller;
        self.next_caller += 1;
        let generation = self.entries.get(at).map_or(0, |process| process.generation);
        if self.entries.get(at).is_some_and(|process| process.is_running(self.now)) {
            self.callers.insert(caller, (at.to_owned(), generation));
        }
        self.entry_event(at, entry::event::Event::Http(caller, request));
        caller
    }

    /// Makes a request without a body.
    pub fn call(&mut self, at: &str, method: &str, path: &str) -> u64 {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let request = api::Request {
            method: method.into(),
            path: path.into(),
            query: query.into(),
            ..api::Request::default()
        };
        self.http(at, request)
    }

    /// Submits a job, given as JSON.
    pub fn submit(&mut self, at: &str, job: &serde_json::Value) -> u64 {
        let request = api::Request {
            method: "POST".into(),
            path: "/v1/jobs".into(),
            body: job.to_string().into(),
            ..api::Request::default()
        };
        self.check.record_submission(job);
        self.http(at, request)
    }

    /// Sends a service request; its body identifies it.
    pub fn request(&mut self, at: &str, body: &str, idempotent: bool) -> u64 {
        let header = |name: &str, value: &str| Header { name: name.into(), value: value.into() };
        let request = api::Request {
            method: "POST".into(),
            path: "/v1/services/review/check".into(),
            headers: vec![header(api::IDEMPOTENT, if idempotent { "true" } else { "false" })],
            body: body.to_owned().into(),
            ..api::Request::default()
        };
        let caller = self.http(at, request);
        self.check.record_request(caller, body, idempotent);
        caller
    }

    /// Applies a rule file at an entry.
    pub fn apply(&mut self, at: &str, expected: u64, text: &str) -> u64 {
        let header = |name: &str, value: String| Header { name: name.into(), value };
        let request = api::Request {
            method: "PUT".into(),
            path: "/v1/rules".into(),
            query: "allow_short=true".into(),
            headers: vec![header("If-Match", expected.to_string())],
            body: text.to_owned().into(),
        };
        self.http(at, request)
    }

    /// Status and JSON body of the answer, once it has arrived.
    pub fn answer(&self, caller: u64) -> Option<(u16, serde_json::Value)> {
        let (_, answer) = self.answers.get(&caller)?;
        let value = serde_json::from_slice(&answer.body).unwrap_or_default();
        Some((answer.status, value))
    }

    pub(super) fn record_answer(&mut self, caller: u64, answer: answer::Answer) {
        self.record(&format!("caller {caller}: {} {}", answer.status, summary(&answer.body)));
        self.check.check_answer(caller, &answer, &self.agents);
        let before = self.answers.insert(caller, (self.now, answer));
        assert!(before.is_none(), "caller {caller} was answered twice");
    }

    /// Callers without an answer whose entry is still the process that they called.
    pub fn waiting_callers(&self) -> Vec<u64> {
        let is_alive = |(name, generation): &(String, id::Generation)| {
            self.entries
                .get(name)
                .is_some_and(|p| p.generation == *generation && p.machine.is_some())
        };
        self.callers
            .iter()
            .filter(|(caller, at)| !self.answers.contains_key(caller) && is_alive(at))
            .map(|(caller, _)| *caller)
            .collect()
    }
}
