//! Room that is left to urgent work.

use std::{collections::BTreeMap, ops::Range};

use sapphire_jobs::{Ended, Ending, Incarnation, Job, Notice, Poll, Running, Step, task::Task};
use sapphire_planner::{event::Event, worker::Phase};

use crate::harness::{Bench, TERM, ended, job, minion, room, step};

const NAMES: [&str; 8] = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
/// How long an urgent task runs, and another, in milliseconds.
const URGENT: u64 = 3_000;
const LONG: u64 = 90_000;

/// Workers, two a rack, whose minions do at once what they are told.
struct Workers {
    bench: Bench,
    began: BTreeMap<(Task, u32), u64>,
    ends: BTreeMap<String, u64>,
    stopped: usize,
}

impl Workers {
    fn new() -> Self {
        let mut workers = Workers {
            bench: Bench::new(Vec::new()),
            began: BTreeMap::new(),
            ends: BTreeMap::new(),
            stopped: 0,
        };
        for name in NAMES {
            workers.bench.join(name, Vec::new(), Vec::new());
        }
        workers
    }

    fn report(&mut self, at: usize, running: Vec<Running>, ended: Vec<Ended>) {
        let name = NAMES[at];
        let incarnation = Incarnation { rack: format!("r{}", at / 2), ..minion(name) };
        let incarnation = Some(incarnation);
        self.bench.report(name, Poll { incarnation, running, ended, ..Poll::default() });
    }

    fn hand_in(&mut self, job: Job) {
        let jobs = vec![Job { accepted_ms: self.bench.now, ..job }];
        self.bench.tell(Event::Notice(Notice { jobs, ..Notice::default() }));
    }

    fn pass(&mut self, time: u64) {
        for _ in 0..time / 100 {
            for at in 0..NAMES.len() {
                self.act(at);
            }
            self.bench.pass(100);
        }
    }

    fn act(&mut self, at: usize) {
        let runs: Vec<(Task, u32, Phase)> = (self.bench.planner.workers()[NAMES[at]].runs.iter())
            .map(|(task, run)| (task.clone(), run.number, run.phase))
            .collect();
        let (mut running, mut over) = (Vec::new(), Vec::new());
        for (task, number, phase) in runs {
            let began = *self.began.entry((task.clone(), number)).or_insert(self.bench.now);
            let is_done = task.job.starts_with("urgent") && self.bench.now >= began + URGENT;
            let ending = match phase {
                Phase::Stopping => Some(Ending::Stopped),
                _ if is_done => Some(Ending::Done),
                _ => None,
            };
            match ending {
                Some(ending) => {
                    let told = self.ends.entry(NAMES[at].to_owned()).or_default();
                    *told += 1;
                    self.stopped += usize::from(ending == Ending::Stopped);
                    over.push(ended(*told, task.run(number), ending));
                }
                None => {
                    let whole = if task.job.starts_with("urgent") { URGENT } else { LONG };
                    let percent = (100 * (self.bench.now - began) / whole).min(99) as u32;
                    running.push(Running {
                        run: Some(task.run(number)),
                        percent,
                        ..Running::default()
                    });
                }
            }
        }
        self.report(at, running, over);
    }

    fn urgent(&mut self, number: usize) {
        let room = Some(room(64).message());
        let task = Step { tasks: 1, room, estimate_ms: URGENT, ..Step::default() };
        let id = format!("urgent{number:02}");
        let urgent = Job { queue: "urgent".to_owned(), priority: 0, ..job(&id, TERM, task) };
        self.hand_in(urgent);
    }

    /// Two urgent jobs every one and a half seconds, so that four run at a time.
    fn urgent_load(&mut self, pairs: Range<usize>) {
        for pair in pairs {
            self.urgent(2 * pair);
            self.urgent(2 * pair + 1);
            self.pass(1_500);
        }
    }

    fn placed(&self, id: &str) -> usize {
        let runs = self.bench.planner.workers().values().flat_map(|worker| worker.runs.keys());
        runs.filter(|task| task.job == id).count()
    }
}

/// Guards against work that is started wherever urgent work leaves room for a moment: the next
/// urgent job stops it, again and again, and nothing of it is ever done.
#[test]
fn long_work_leaves_room_to_urgent_work_that_keeps_coming() {
    let mut workers = Workers::new();
    workers.urgent_load(0..8);
    let whole = Step { room: Some(room(64).message()), estimate_ms: LONG, ..step(8, false) };
    workers.hand_in(job("long", TERM, whole));
    workers.urgent_load(8..16);
    assert!(workers.stopped <= 1, "{} stops for urgent jobs that were expected", workers.stopped);
    let long = workers.placed("long");
    assert!((2..=4).contains(&long), "{long} of 8 long tasks have room");
}

/// Guards against room that is kept for urgent work that does not come any more.
#[test]
fn room_is_given_back_once_no_urgent_work_comes() {
    let mut workers = Workers::new();
    workers.urgent_load(0..8);
    let whole = Step { room: Some(room(64).message()), estimate_ms: LONG, ..step(8, false) };
    workers.hand_in(job("long", TERM, whole));
    workers.pass(40_000);
    // One worker of eight is spared in any case, as long as the job can wait.
    assert_eq!(workers.placed("long"), 7);
}
