//! Measures what a planner's process takes for jobs against what is reckoned. Alone in its process.

use std::{fs, sync::Arc, time::Duration};

use prost::Message as _;
use sapphire_jobs::{
    Incarnation, Job, Notice, Poll, Run, Running, Step,
    catalog::{Catalog, Parts, Queue},
    cordon, footprint,
    resources::Resources,
};
use sapphire_plan::policy;
use sapphire_planner::{
    effect::Effect,
    event::{Event, Moment, Operation},
    keys,
    options::Options,
    planner::Planner,
};
use sapphire_store::call::{Call, Item, Reply};

/// Resident memory of this process in bytes.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("it is Linux");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("it is there");
    let kib: u64 = line.split_whitespace().next().and_then(|it| it.parse().ok()).expect("a number");
    kib * 1_024
}

struct Driver {
    planner: Planner,
    now: Duration,
    orders: Vec<Run>,
    token: u64,
    sequence: u64,
}

impl Driver {
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
            lease: Duration::from_secs(6),
            longest_lease: Duration::from_secs(10),
            clock_drift_milli: 20,
            stop_timeout: Duration::from_millis(400),
            status_retention: Duration::from_secs(120),
            reclaim_deadline: Duration::from_secs(3),
            remote_factor: 3,
            policy: policy::Policy::default(),
            speeds: Default::default(),
            shares: None,
            stops: None,
            calls_outlive_incarnations: false,
            has_inventory: false,
            cordon_prefix: "cordons/".to_owned(),
            read_cordon: |_, _| cordon::Record { zone: None, fault: None },
            cordon_deadline: Duration::from_secs(5),
            cancel_deadline: Duration::from_secs(3),
            job_memory: 1 << 30,
        };
        let now = Duration::from_secs(100);
        let moment = Moment { steady: now, unix: now };
        let planner = Planner::new(options, 50, Arc::new(catalog), moment);
        let mut driver = Driver { planner, now, orders: Vec::new(), token: 0, sequence: 0 };
        let page = Reply::Items { items, has_more: false, revision: 40 };
        driver.handle(Event::Tick);
        driver.handle(Event::Store(Operation::Scan, page));
        driver
    }

    fn handle(&mut self, event: Event) {
        let moment = Moment { steady: self.now, unix: self.now };
        for effect in self.planner.handle(moment, event) {
            match effect {
                Effect::Store(Operation::Scan | Operation::CordonWatch, _) => {}
                Effect::Store(operation, call) => {
                    let reply = match call {
                        Call::Commit { .. } => Reply::Committed(80),
                        Call::Scan { .. } => {
                            Reply::Items { items: Vec::new(), has_more: false, revision: 80 }
                        }
                        _ => Reply::Changes { items: Vec::new(), revision: 80 },
                    };
                    self.handle(Event::Store(operation, reply));
                }
                Effect::Orders(_, orders) => {
                    self.token = orders.token;
                    for run in orders.starts.into_iter().filter_map(|start| start.run) {
                        if !self.orders.contains(&run) {
                            self.orders.push(run);
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn poll(&mut self) {
        self.now += Duration::from_millis(50);
        self.sequence += 1;
        let room = Resources { millicores: 1 << 30, memory_mib: 1 << 30, accelerators: 1 << 30 };
        let minion = Incarnation {
            id: "m".to_owned(),
            born_ms: 1,
            service: "desk".to_owned(),
            capacity: Some(room.message()),
            ..Incarnation::default()
        };
        let running = self.orders.iter().map(|run| Running {
            run: Some(run.clone()),
            percent: 1,
            ..Running::default()
        });
        let poll = Poll {
            agent: "a".to_owned(),
            address: "a:1".to_owned(),
            generation: 1,
            sequence: self.sequence,
            lists: self.sequence,
            incarnation: Some(minion),
            fenced_token: self.token,
            running: running.collect(),
            ..Poll::default()
        };
        self.handle(Event::Poll(self.sequence, Box::new(poll)));
        self.handle(Event::Tick);
    }
}

fn job(id: String, step: Step) -> Job {
    Job {
        id,
        queue: "q".to_owned(),
        service: "desk".to_owned(),
        spec: "s".repeat(500),
        steps: vec![step],
        max_attempts: 2,
        accepted_ms: 100_000,
        term: 1,
        ..Job::default()
    }
}

fn record(id: String, step: Step) -> Item {
    let job = job(id, step);
    Item { key: keys::job(&job.id), value: Some(job.encode_to_vec().into()), revision: 30 }
}

/// Guards against a planner that exceeds its memory although its account says that it doesn't.
#[test]
fn no_more_is_taken_than_is_reckoned() {
    let step = |tasks, label: &str| Step {
        tasks,
        label: label.to_owned(),
        estimate_ms: 60_000,
        ..Step::default()
    };
    // Jobs that wait.
    let items: Vec<Item> = (0..20)
        .map(|at| record(format!("waiting-{at}"), step(5_000, "nowhere")))
        .chain((0..5_000).map(|at| record(format!("small-{at}"), step(1, "nowhere"))))
        .collect();
    let before = resident();
    let mut driver = Driver::new(items);
    for _ in 0..40 {
        driver.poll();
    }
    let table = driver.planner.table();
    assert_eq!(table.groups(), 105_000);
    let (taken, reckoned) = (resident() - before, table.account.used());
    assert!(taken <= reckoned, "waiting: {taken} bytes are taken, {reckoned} reckoned");
    // A job that runs.
    let before = resident();
    let notice =
        Notice { jobs: vec![job("running".to_owned(), step(4_000, ""))], ..Notice::default() };
    driver.handle(Event::Notice(notice));
    for _ in 0..40 {
        driver.poll();
    }
    let runs = driver.planner.load().runs as u64;
    assert_eq!(runs, 4_000);
    let reckoned = runs * (footprint::GROUP + footprint::RUN);
    let taken = resident().saturating_sub(before);
    assert!(taken <= reckoned, "running: {taken} bytes are taken, {reckoned} reckoned");
}
