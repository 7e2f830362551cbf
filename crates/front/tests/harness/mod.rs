//! An entry driven event by event, with its answers and store calls recorded.

use std::time::Duration;

use bytes::Bytes;
use sapphire_front::{
    answer::{Action, Answer, Request, Submission},
    effect::Effect,
    event::{Event, Operation},
    machine::Machine,
    options::Options,
};
use sapphire_jobs::{
    Feed, Step,
    catalog::{Catalog, Organisation, Parts, Queue},
};
use sapphire_planner::event::Moment;
use sapphire_store::call::{Call, Reply, Value};

pub(crate) const CONFIG: &str = "op/config";

pub(crate) const REVOCATION: u64 = 5_000;

/// Maximum number of cancellations of jobs that don't exist.
pub(crate) const MAX_TOMBSTONES: usize = 50;

pub(crate) fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Decodes the configuration of these tests, whose text is its list of caller keys.
pub(crate) fn read_catalog(bytes: &Bytes, revision: u64) -> Result<Catalog, String> {
    let text = String::from_utf8(bytes.to_vec()).map_err(|error| error.to_string())?;
    let queue = Queue {
        name: "q".to_owned(),
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        service: "s".to_owned(),
        ..Queue::default()
    };
    let later = Queue { prefix: "/later/".to_owned(), priority: 1, ..queue.clone() };
    let keys = text.split(' ').map(str::to_owned).collect();
    let organisation = Organisation { name: "o".to_owned(), keys, guaranteed_accelerators: 1 };
    Ok(Catalog::new(Parts {
        version: revision,
        revision,
        queues: vec![queue, later],
        organisations: vec![organisation],
        ..Parts::default()
    }))
}

pub(crate) struct Fixture {
    pub(crate) machine: Machine,
    pub(crate) answers: Vec<(u64, Answer)>,
    pub(crate) calls: Vec<Operation>,
    pub(crate) sent: Vec<Call>,
    pub(crate) caller: u64,
}

impl Fixture {
    pub(crate) fn new() -> Self {
        let machine = Machine::new(Options {
            name: "e".to_owned(),
            address: "e:1".to_owned(),
            generation: 1,
            entries: Vec::new(),
            catalog_key: CONFIG.to_owned(),
            read_catalog,
            revocation: ms(REVOCATION),
            leader_lease: ms(1_300),
            retention: ms(120_000),
            max_tombstones: MAX_TOMBSTONES,
            job_tasks: 20_000,
            gang_tasks: 2_000,
            seed: 1,
        });
        Fixture { machine, answers: Vec::new(), calls: Vec::new(), sent: Vec::new(), caller: 0 }
    }

    /// Creates an entry with a feed and with a configuration that contains the caller key `k`,
    /// verified at the given time.
    pub(crate) fn configured(now: u64) -> Self {
        let mut fixture = Fixture::new();
        fixture.handle(now, Event::Tick);
        fixture.catalog_reply(now, now, 7, "k");
        let feed = Feed { term: 1, version: 1, is_whole: true, ..Feed::default() };
        fixture.handle(now, Event::Feed { sent: ms(now), feed: Some(Box::new(feed)) });
        fixture
    }

    pub(crate) fn handle(&mut self, now: u64, event: Event) {
        let moment = Moment { steady: ms(now), unix: ms(now) };
        for effect in self.machine.handle(moment, event) {
            match effect {
                Effect::Answer(caller, answer) => self.answers.push((caller, answer)),
                Effect::Store(operation, call) => {
                    self.calls.push(operation);
                    self.sent.push(call);
                }
                _ => {}
            }
        }
    }

    pub(crate) fn catalog_reply(&mut self, now: u64, sent: u64, revision: u64, keys: &str) {
        let value = Value { revision, bytes: Bytes::from(keys.to_owned()) };
        self.store_reply(now, sent, Operation::Catalog, Reply::Value(value));
    }

    pub(crate) fn store_reply(&mut self, now: u64, sent: u64, operation: Operation, reply: Reply) {
        self.handle(now, Event::Store { operation, sent: ms(sent), reply });
    }

    pub(crate) fn request(
        &mut self,
        now: u64,
        path: &str,
        key: &str,
        action: Action,
    ) -> Option<Answer> {
        self.caller += 1;
        let request = Request {
            host: "h".to_owned(),
            path: path.to_owned(),
            key: key.to_owned(),
            timeout: Some(ms(3_000)),
            action,
        };
        self.handle(now, Event::Request(self.caller, Box::new(request)));
        self.last_answer()
    }

    /// Answer to the latest request, if it has been answered.
    pub(crate) fn last_answer(&self) -> Option<Answer> {
        let mine = self.answers.iter().rfind(|(caller, _)| *caller == self.caller);
        mine.map(|(_, answer)| answer.clone())
    }
}

pub(crate) fn submit_one_step() -> Action {
    let step = Step { tasks: 1, ..Step::default() };
    Action::Submit(Ok(Submission { spec: "s".to_owned(), steps: vec![step], schedule: None }))
}

pub(crate) fn is_refused(answer: Option<&Answer>) -> bool {
    matches!(answer, Some(Answer::NotDone { .. }))
}
