//! Tests of the planner on workers of lastingly unequal speed.

use std::collections::BTreeMap;

use sapphire_jobs::{Ended, Ending, FeedPoll, Job, Notice, Running, Step, task::Task};
use sapphire_plan::speed::{Slowness, Speeds};
use sapphire_planner::{
    event::Event,
    worker::{Phase, Run},
};

use crate::harness::{Fixture, TERM, ended, job, resources, step};

/// Workers whose tasks each take a time in proportion to the worker's slowness.
struct Site {
    fixture: Fixture,
    slowness: BTreeMap<&'static str, f64>,
    /// Run time of all tasks at the reference speed, in ms.
    run_time: u64,
    began: BTreeMap<(&'static str, Task, u32), u64>,
    ends: BTreeMap<&'static str, Vec<Ended>>,
}

impl Site {
    /// `known` has the slowness that the planner knows.
    fn new(workers: &[(&'static str, f64)], run_time: u64, known: &[(&'static str, f64)]) -> Self {
        let mut fixture = Fixture::new(Vec::new());
        let given = |(name, slowness): &(&str, f64)| ((*name).to_owned(), Slowness::new(*slowness));
        fixture.planner.set_speeds(Speeds::given(known.iter().map(given)));
        let (slowness, began, ends) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let mut site = Site { fixture, slowness, run_time, began, ends };
        workers.iter().for_each(|(name, slowness)| site.join(name, *slowness));
        site
    }

    fn join(&mut self, name: &'static str, slowness: f64) {
        self.fixture.join(name, Vec::new(), Vec::new());
        self.slowness.insert(name, slowness);
    }

    fn submit(&mut self, job: Job) {
        let jobs = vec![Job { accepted_ms: self.fixture.now, ..job }];
        self.fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
    }

    fn advance(&mut self, time: u64) {
        let until = self.fixture.now + time;
        while self.fixture.now < until {
            for (name, slowness) in self.slowness.clone() {
                let runs: Vec<(Task, Run)> = (self.fixture.planner.workers()[name].runs.iter())
                    .map(|(task, run)| (task.clone(), run.clone()))
                    .collect();
                let mut running = Vec::new();
                for (task, run) in runs {
                    let now = self.fixture.now;
                    let began = self.began.entry((name, task.clone(), run.number)).or_insert(now);
                    let percent = (now - *began) as f64 / (self.run_time as f64 * slowness) * 100.0;
                    let ending = match run.phase {
                        Phase::Stopping => Some(Ending::Stopped),
                        _ => (percent >= 100.0).then_some(Ending::Done),
                    };
                    let (percent, task) = (percent as u32, task.run(run.number));
                    if let Some(ending) = ending {
                        let ends = self.ends.entry(name).or_default();
                        let number = ends.len() as u64 + 1;
                        ends.push(ended(number, task, ending));
                    } else {
                        running.push(Running { run: Some(task), percent, ..Running::default() });
                    }
                }
                let ends = self.ends.get(name).cloned().unwrap_or_default();
                self.fixture.poll(name, running, ends);
            }
            self.fixture.advance(100);
        }
    }

    fn workers_of(&self, id: &str) -> Vec<&'static str> {
        let has = |name: &&'static str| {
            let worker = &self.fixture.planner.workers()[*name];
            worker.runs.keys().any(|task| task.job == id)
        };
        self.slowness.keys().copied().filter(has).collect()
    }
}

const MIXED: [(&str, f64); 4] = [("fast1", 0.75), ("fast2", 0.75), ("slow1", 1.8), ("slow2", 1.8)];

fn whole(tasks: u32, is_gang: bool, estimate_ms: u64) -> Step {
    Step { room: Some(resources(64).message()), estimate_ms, ..step(tasks, is_gang) }
}

fn urgent(id: &str, tasks: u32) -> Job {
    let job = job(id, TERM, whole(tasks, true, 3_000));
    let queue = "urgent".to_owned();
    Job { queue, priority: 0, slack_milli: 1_500, target_latency_ms: 500, ..job }
}

/// Guards against urgent gangs that are late on slow workers while the fast ones run work that has
/// time: this goes to the slow workers, and a gang waits for what is on the fast ones. A second
/// gang, which no fast workers are left for, runs all the same.
#[test]
fn urgent_gangs_run_on_fast_workers_and_work_with_time_on_slow_ones() {
    let mut site = Site::new(&MIXED, 3_000, &MIXED);
    site.submit(job("patient", TERM, whole(3, false, 3_000)));
    site.advance(300);
    assert_eq!(site.workers_of("patient").len(), 3);
    assert_eq!(site.workers_of("patient")[1..], ["slow1", "slow2"]);
    site.submit(urgent("gang", 2));
    site.advance(2_300);
    assert_eq!(site.workers_of("gang"), ["fast1", "fast2"]);
    site.submit(urgent("late", 2));
    site.advance(12_000);
    let done = |id| site.fixture.planner.table().entries[id].is_over();
    assert!(done("late") && done("patient"));
}

const VERY_MIXED: [(&str, f64); 4] =
    [("fast1", 0.75), ("fast2", 0.75), ("slow1", 2.6), ("slow2", 2.6)];

/// Returns the number of runs that are stopped while four tasks of equal length run on two fast and
/// two slow workers, and the expected run time when the next job is placed, in ms.
fn stops_and_estimate(known: &[(&'static str, f64)]) -> (usize, u64) {
    let mut site = Site::new(&VERY_MIXED, 10_000, known);
    site.submit(job("a", TERM, whole(4, false, 10_000)));
    site.advance(30_000);
    site.submit(job("next", TERM, whole(1, false, 10_000)));
    let line =
        site.fixture.log.iter().rfind(|line| line.contains("job=next") && line.contains("placed"));
    let expected = line.and_then(|line| line.split("expected_ms=").nth(1));
    let expected = expected.and_then(|rest| rest.split(' ').next()).expect("it is placed");
    (site.fixture.stops().len(), expected.parse().expect("a number"))
}

/// Guards against runs that are stopped as too slow because their workers are, and against expected
/// run times that depend on the workers of earlier runs.
#[test]
fn runs_are_compared_at_the_reference_speed() {
    let (stops, expected) = stops_and_estimate(&VERY_MIXED);
    assert_eq!(stops, 0);
    assert!((9_500..10_500).contains(&expected), "{expected} ms");
    assert!(stops_and_estimate(&[]).0 > 0, "without the speeds they are stopped");
}

/// Guards against jobs that are accepted although slow workers can't do them in time: the backlog
/// lasts longer on slow workers.
#[test]
fn a_backlog_lasts_longer_on_slow_workers() {
    let drain = |name| {
        let mut site = Site::new(&[(name, 1.0)], 600_000, &MIXED);
        site.submit(job("a", TERM, whole(10, false, 60_000)));
        site.advance(6_000);
        let poll = FeedPoll { entry: "e2".to_owned(), ..FeedPoll::default() };
        site.fixture.handle(Event::Feed(900, poll));
        let feed = site.fixture.feeds.pop().expect("the poll is answered");
        feed.supplies[0].backlogs[0].drain_ms as f64
    };
    let ratio = drain("slow1") / drain("fast1");
    assert!((ratio - 1.8 / 0.75).abs() < 0.05, "{ratio}");
}

/// Guards against a step that is late because its last task runs on a slow worker while a fast one
/// is free. A task that has nearly ended is not restarted.
#[test]
fn the_last_task_of_a_step_is_restarted_on_a_free_fast_worker() {
    for (joins_after, expected) in [(2_000, ["fast1"]), (22_000, ["slow1"])] {
        let mut site = Site::new(&[("slow1", 1.8)], 20_000, &MIXED);
        let slack_milli = 1_500;
        let job = Job {
            queue: "other".to_owned(),
            priority: 1,
            slack_milli,
            ..job("a", TERM, whole(1, false, 20_000))
        };
        site.submit(job);
        site.advance(joins_after);
        site.join("fast1", 0.75);
        site.advance(3_000);
        assert_eq!(site.workers_of("a"), expected);
    }
}

/// Guards against a job that has nothing running for seconds although workers are free: it waited for
/// workers that are fast enough for its objective.
#[test]
fn work_that_is_not_urgent_waits_for_fast_workers_for_a_limited_time() {
    let workers = [("f", 0.75), ("s", 3.0)];
    let mut site = Site::new(&workers, 8_000, &workers);
    site.submit(job("first", TERM, whole(1, false, 8_000)));
    site.submit(job("second", TERM, whole(1, false, 8_000)));
    site.advance(1_000);
    assert_eq!(site.fixture.worker_of("first"), "f");
    assert_eq!(site.fixture.worker_of("second"), "", "it would be late on the slow worker");
    site.advance(1_500);
    assert_eq!(site.fixture.worker_of("second"), "s");
}
