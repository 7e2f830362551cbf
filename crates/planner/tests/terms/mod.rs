//! The beginning of a term, and what is made durable in it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use prost::Message as _;
use sapphire_jobs::{
    Ended, Ending, Feed, FeedPoll, Fleet, Incarnation, Job, Member, Notice, Orders, Poll, Progress,
    Run, Running, State, Step, Tally,
    catalog::{Catalog, Parts, Queue},
    room::Room,
};
use sapphire_planner::{
    effect::Effect,
    event::{Event, Moment, Operation},
    keys,
    options::Options,
    planner::Planner,
};
use sapphire_store::call::{Call, Item, Reply};

const TERM: u64 = 50;
const START: u64 = 100_000;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn room(accelerators: u64) -> Room {
    Room { millicores: 1_000, memory_mib: 1_000, accelerators }
}

fn job(id: &str, term: u64, step: Step) -> Job {
    Job {
        id: id.to_owned(),
        queue: "q".to_owned(),
        service: "desk".to_owned(),
        spec: "s".to_owned(),
        steps: vec![step],
        max_attempts: 2,
        slack_milli: 3_000,
        accepted_ms: START,
        term,
        ..Job::default()
    }
}

fn step(tasks: u32, is_gang: bool) -> Step {
    Step { tasks, room: Some(room(1).message()), estimate_ms: 2_000, is_gang, ..Step::default() }
}

fn run(job: &str, index: u32, number: u32) -> Run {
    Run { job: job.to_owned(), occurrence: 0, step: 0, index, run: number }
}

/// A planner with what it has asked for.
struct Bench {
    planner: Planner,
    now: u64,
    orders: Vec<(u64, Orders)>,
    feeds: Vec<Feed>,
    calls: Vec<(Operation, Call)>,
    is_deposed: bool,
    sequence: BTreeMap<String, u64>,
    tokens: BTreeMap<String, u64>,
    asker: u64,
}

impl Bench {
    /// A planner whose store holds what is given.
    fn new(items: Vec<Item>) -> Self {
        let queue = Queue {
            name: "q".to_owned(),
            service: "desk".to_owned(),
            max_attempts: 2,
            slack: 3.0,
            priority: 1,
            ..Queue::default()
        };
        let catalog = Catalog::new(Parts { queues: vec![queue], ..Parts::default() });
        let options = Options {
            name: "e".to_owned(),
            lease: ms(6_000),
            clock_drift_milli: 20,
            stop: ms(400),
            status: ms(120_000),
            reclaim: ms(2_900),
            remote_factor: 3,
        };
        let moment = Moment { steady: ms(START), unix: ms(START) };
        let mut bench = Bench {
            planner: Planner::new(options, TERM, Arc::new(catalog), moment),
            now: START,
            orders: Vec::new(),
            feeds: Vec::new(),
            calls: Vec::new(),
            is_deposed: false,
            sequence: BTreeMap::new(),
            tokens: BTreeMap::new(),
            asker: 0,
        };
        bench.tell(Event::Tick);
        let page = Reply::Items { items, has_more: false, revision: 40 };
        bench.tell(Event::Store(Operation::Scan, page));
        bench.answer_store(Reply::Committed(60));
        bench
    }

    fn tell(&mut self, event: Event) {
        let moment = Moment { steady: ms(self.now), unix: ms(self.now) };
        for effect in self.planner.handle(moment, event) {
            match effect {
                Effect::Orders(asker, orders) => self.orders.push((asker, *orders)),
                Effect::Feed(_, feed) => self.feeds.push(*feed),
                Effect::Store(operation, call) => self.calls.push((operation, call)),
                Effect::Deposed => self.is_deposed = true,
                _ => {}
            }
        }
    }

    fn pass(&mut self, time: u64) {
        for _ in 0..time / 50 {
            self.now += 50;
            self.tell(Event::Tick);
        }
    }

    /// Answers the latest call to the store.
    fn answer_store(&mut self, reply: Reply) {
        let (operation, _) = self.calls.pop().expect("a call was made");
        self.tell(Event::Store(operation, reply));
    }

    fn poll(&mut self, name: &str, running: Vec<Running>, ended: Vec<Ended>) {
        let sequence = self.sequence.entry(name.to_owned()).or_default();
        *sequence += 1;
        let poll = Poll {
            agent: name.to_owned(),
            address: format!("{name}:1"),
            generation: 1,
            sequence: *sequence,
            lists: *sequence,
            incarnation: Some(Incarnation {
                id: format!("m-{name}"),
                born_ms: 1,
                service: "desk".to_owned(),
                rack: "r".to_owned(),
                capacity: Some(room(8).times(8).message()),
                ..Incarnation::default()
            }),
            fenced_token: self.tokens.get(name).copied().unwrap_or(0),
            running,
            ended,
            ..Poll::default()
        };
        self.asker += 1;
        let asker = self.asker;
        self.tell(Event::Poll(asker, Box::new(poll)));
        let mine = self.orders.iter().filter(|(other, _)| *other == asker);
        if let Some(token) = mine.map(|(_, orders)| orders.token).next_back() {
            self.tokens.insert(name.to_owned(), token);
        }
    }

    /// Lets a worker join; its minion lists what is given.
    fn join(&mut self, name: &str, running: Vec<Running>, ended: Vec<Ended>) {
        self.poll(name, Vec::new(), Vec::new());
        self.poll(name, running, ended);
        while let Some(at) =
            self.calls.iter().position(|(operation, _)| *operation == Operation::Fleet)
        {
            let (operation, _) = self.calls.remove(at);
            self.tell(Event::Store(operation, Reply::Committed(61)));
        }
    }

    /// Runs that were ordered; an order is given again until its agent has it in hand.
    fn starts(&self) -> Vec<Run> {
        let orders = self.orders.iter().flat_map(|(_, orders)| &orders.starts);
        let mut runs: Vec<Run> = Vec::new();
        for run in orders.filter_map(|start| start.run.clone()) {
            if !runs.contains(&run) {
                runs.push(run);
            }
        }
        runs
    }

    fn stops(&self) -> Vec<Run> {
        self.orders.iter().flat_map(|(_, orders)| orders.stops.clone()).collect()
    }
}

fn item(key: String, value: Vec<u8>) -> Item {
    Item { key, value: Some(Bytes::from(value)), revision: 30 }
}

fn fleet(terms: u32, members: &[&str]) -> Item {
    let member = |name: &&str| Member { name: (*name).to_owned(), address: format!("{name}:1") };
    let fleet = Fleet { terms, members: members.iter().map(member).collect() };
    item(keys::FLEET.to_owned(), fleet.encode_to_vec())
}

fn ended(number: u64, run: Run, ending: Ending) -> Ended {
    Ended { number, run: Some(run), ending: ending.into(), checkpoint: String::new() }
}

/// A task is started more often than its queue allows. It failed once by the store's record and
/// once more while planners changed; the second failure is listed by its minion only. The
/// successor has to count it, though it did not order that run.
#[test]
fn failures_of_runs_that_an_earlier_planner_ordered_count() {
    let progress = Progress {
        tallies: vec![Tally { failed_runs: vec![1], ..Tally::default() }],
        state: State::Active.into(),
    };
    let mut bench = Bench::new(vec![
        fleet(1, &["a"]),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
        item(keys::progress("j"), progress.encode_to_vec()),
    ]);
    bench.join("a", Vec::new(), vec![ended(1, run("j", 0, 2), Ending::Faulty)]);
    bench.pass(2_000);
    bench.poll("a", Vec::new(), Vec::new());
    assert_eq!(bench.starts(), Vec::new());
    let entry = &bench.planner.table().entries["j"];
    assert_eq!(entry.state, State::Failed);
}

/// A farmer is billed twice. A worker of the last planner's does not answer the new one; what it
/// may still be running is not started elsewhere before its lease has certainly run out.
#[test]
fn what_an_unheard_worker_may_run_is_not_started() {
    let mut bench = Bench::new(vec![
        fleet(1, &["a", "b"]),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
    ]);
    bench.join("a", Vec::new(), Vec::new());
    for _ in 0..9 {
        bench.pass(500);
        bench.poll("a", Vec::new(), Vec::new());
    }
    assert_eq!(bench.starts(), Vec::new());
    for _ in 0..20 {
        bench.pass(500);
        bench.poll("a", Vec::new(), Vec::new());
    }
    assert_eq!(bench.starts().len(), 1, "the lease has run out and it waits for ever");
}

/// A job of this term can't have been started by an earlier planner; it waits for nobody.
#[test]
fn a_job_of_this_term_starts_at_once() {
    let mut bench = Bench::new(vec![fleet(1, &["a", "b"])]);
    bench.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(2, false))], cancelled: Vec::new() };
    bench.tell(Event::Notice(notice));
    let starts = bench.starts();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|run| run.run == 1_001), "above any run of the term before");
}

/// A gang of which one member is missing after a change of planners can't go on: what is left of
/// it is stopped, and it starts again whole.
#[test]
fn a_gang_that_is_not_whole_is_stopped() {
    let mut bench = Bench::new(vec![
        fleet(1, &["a"]),
        item(keys::job("j"), job("j", 10, step(2, true)).encode_to_vec()),
    ]);
    let part = Running { run: Some(run("j", 0, 1)), ..Running::default() };
    bench.join("a", vec![part], Vec::new());
    bench.pass(700);
    assert_eq!(bench.stops(), vec![run("j", 0, 1)]);
    bench.poll("a", Vec::new(), vec![ended(1, run("j", 0, 1), Ending::Stopped)]);
    bench.poll("a", Vec::new(), Vec::new());
    assert_eq!(bench.starts().len(), 2);
}

/// A review is sent twice. A task is done, the planner and then the minion are lost; unless the
/// end was durable before the minion forgot it, the next planner starts the task again.
#[test]
fn an_end_is_durable_before_it_is_forgotten() {
    let mut bench = Bench::new(vec![fleet(1, &["a"])]);
    bench.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    bench.tell(Event::Notice(notice));
    bench.poll("a", Vec::new(), vec![ended(1, run("j", 0, 1_001), Ending::Done)]);
    bench.tell(Event::Feed(900, FeedPoll { entry: "e".to_owned(), ..FeedPoll::default() }));
    bench.pass(700);
    let noted = |bench: &Bench| bench.orders.last().map(|(_, orders)| orders.noted);
    assert_eq!(noted(&bench), Some(0));
    assert!(
        bench.feeds.iter().flat_map(|feed| &feed.rows).all(|row| row.state() != State::Complete)
    );
    bench.answer_store(Reply::Committed(70));
    bench.poll("a", Vec::new(), Vec::new());
    bench.pass(700);
    assert_eq!(noted(&bench), Some(1));
}

/// A done task starts again. A write of progress gets no answer and is carried out seconds later,
/// over a newer one. So each write names the revision that it builds on.
#[test]
fn a_write_of_progress_builds_on_a_revision() {
    let mut bench = Bench::new(vec![fleet(1, &["a"])]);
    bench.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    bench.tell(Event::Notice(notice));
    bench.poll("a", Vec::new(), vec![ended(1, run("j", 0, 1_001), Ending::Done)]);
    let (_, Call::Commit { conditions, .. }) = bench.calls.last().expect("progress is written")
    else {
        panic!("progress is written under conditions")
    };
    let names: Vec<(&str, u64)> =
        conditions.iter().map(|it| (it.key.as_str(), it.revision)).collect();
    assert_eq!(names, vec![(keys::LEAD, TERM), ("s/out/j", 0)]);
}

/// A planner that was replaced while it could not know meets its successor's key, and stops.
#[test]
fn a_planner_whose_key_is_another_ones_stops() {
    let mut bench = Bench::new(vec![fleet(1, &["a"])]);
    bench.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    bench.tell(Event::Notice(notice));
    bench.poll("a", Vec::new(), vec![ended(1, run("j", 0, 1_001), Ending::Done)]);
    let lead = Item { key: keys::LEAD.to_owned(), value: Some(Bytes::new()), revision: TERM + 9 };
    bench.answer_store(Reply::Refused(vec![lead]));
    assert!(bench.is_deposed);
}

/// Garbage in the store, from another writer, costs nothing but a log line.
#[test]
fn records_that_cannot_be_read_are_passed_over() {
    let mut bench = Bench::new(vec![
        fleet(1, &["a"]),
        item(keys::job("bad"), b"\xff\xff\xff".to_vec()),
        item("s/else".to_owned(), b"?".to_vec()),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
    ]);
    bench.join("a", Vec::new(), Vec::new());
    assert_eq!(bench.starts().len(), 1);
}
