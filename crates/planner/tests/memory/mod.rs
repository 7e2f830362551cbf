//! Tests of the memory that a planner keeps for accepted jobs.

mod answers;
mod occurrences;
mod startup;

use prost::Message as _;
use sapphire_jobs::{Ended, Ending, Job, Notice, Run, Running, Schedule, State, Step};
use sapphire_planner::{event::Event, keys, options::Options};
use sapphire_store::call::{Item, Reply};

use crate::harness::{Fixture, START, TERM, ended, fleet, item, job, no_starts, options, step};

/// Memory for jobs in most of these tests.
const MEMORY: u64 = 4 << 20;

fn with_memory(job_memory: u64) -> Options {
    Options { job_memory, ..options() }
}

/// Returns a job of an earlier term that repeats every `interval_ms` from the start of a test on.
fn repeated(id: &str, tasks: u32, interval_ms: u64, times: u32) -> Job {
    let schedule = Schedule { first_ms: START, interval_ms, times };
    Job { schedule: Some(schedule), ..job(id, TERM, step(tasks, false)) }
}

/// Returns a step whose tasks no worker has the label for.
fn unplaced(tasks: u32) -> Step {
    Step { label: "nowhere".to_owned(), ..step(tasks, false) }
}

fn record(job: &Job) -> Item {
    item(keys::job(&job.id), job.encode_to_vec())
}

fn submit(fixture: &mut Fixture, job: Job) {
    fixture.handle(Event::Notice(Notice { jobs: vec![job], ..Notice::default() }));
}

/// Returns a planner with an idle worker that has read these records.
fn planner(job_memory: u64, mut items: Vec<Item>) -> Fixture {
    items.extend([fleet(1, &[]), no_starts(1)]);
    let mut fixture = Fixture::with_options(with_memory(job_memory), items);
    fixture.join("a", Vec::new(), Vec::new());
    fixture
}

/// A worker whose minion carries out each start, and whose runs take a while.
struct Minion {
    run_time: u64,
    running: Vec<(u64, Run)>,
    ended: Vec<Ended>,
    last_end: u64,
    /// Starts, with their times.
    starts: Vec<(u64, Run)>,
}

impl Minion {
    fn new(run_time: u64) -> Self {
        Minion { run_time, running: Vec::new(), ended: Vec::new(), last_end: 0, starts: Vec::new() }
    }

    /// Lets time pass, in steps of 50 ms.
    fn run(&mut self, fixture: &mut Fixture, name: &str, time: u64) {
        for _ in 0..time / 50 {
            fixture.advance(50);
            self.poll(fixture, name);
            answer_writes(fixture);
        }
    }

    fn poll(&mut self, fixture: &mut Fixture, name: &str) {
        let now = fixture.now;
        let over = self.running.extract_if(.., |(began, _)| now >= *began + self.run_time);
        let over: Vec<Run> = over.map(|(_, run)| run).collect();
        for run in over {
            self.last_end += 1;
            self.ended.push(ended(self.last_end, run, Ending::Done));
        }
        let running = self.running.iter().map(|(began, run)| Running {
            run: Some(run.clone()),
            percent: u32::try_from((now - began) * 99 / self.run_time).unwrap_or(99),
            ..Running::default()
        });
        fixture.orders.clear();
        fixture.poll(name, running.collect(), self.ended.clone());
        fixture.advance(0);
        let orders: Vec<_> = fixture.orders.iter().map(|(_, orders)| orders.clone()).collect();
        for orders in orders {
            self.ended.retain(|end| end.number > orders.noted);
            for run in orders.starts.into_iter().filter_map(|start| start.run) {
                if !self.starts.iter().any(|(_, other)| *other == run) {
                    self.starts.push((now, run.clone()));
                    self.running.push((now, run));
                }
            }
            for stop in orders.stops {
                let before = self.running.len();
                self.running.retain(|(_, run)| *run != stop);
                if self.running.len() < before {
                    self.last_end += 1;
                    self.ended.push(ended(self.last_end, stop, Ending::Stopped));
                }
            }
        }
    }

    fn starts_of(&self, job: &str) -> Vec<&(u64, Run)> {
        self.starts.iter().filter(|(_, run)| run.job == job).collect()
    }
}

/// Carries out the writes that have no reply yet.
fn answer_writes(fixture: &mut Fixture) {
    for (operation, _) in std::mem::take(&mut fixture.calls) {
        fixture.handle(Event::Store(operation, Reply::Committed(80)));
    }
}

fn state(fixture: &Fixture, id: &str) -> Option<State> {
    fixture.planner.table().entries.get(id).map(|entry| entry.state)
}

/// Asserts that what is reckoned for jobs stays within the memory, and returns that.
fn assert_within(fixture: &Fixture) -> u64 {
    let table = fixture.planner.table();
    let kept: u64 = table.entries.values().map(|entry| entry.kept.all()).sum();
    let (used, limit) = (table.account.used(), table.account.limit());
    assert_eq!(kept, used);
    assert!(used <= limit, "{used} bytes of {limit}");
    used
}

/// Guards against a planner that exceeds its memory: the runs of many small tasks take more than they do
/// while they wait.
#[test]
fn runs_are_bounded_and_urgent_ones_go_beyond() {
    let mut fixture = planner(MEMORY, Vec::new());
    let room =
        sapphire_jobs::resources::Resources { millicores: 1, memory_mib: 0, accelerators: 0 };
    let tiny = |tasks| Step { room: Some(room.message()), ..step(tasks, false) };
    submit(&mut fixture, job("j", TERM, tiny(2_000)));
    let mut minion = Minion::new(60_000);
    minion.run(&mut fixture, "a", 2_000);
    let most = fixture.planner.table().account.max_runs();
    assert_eq!(most, 341);
    assert_eq!(minion.starts.len(), most / 8 * 7);
    submit(&mut fixture, Job { queue: String::new(), ..job("urgent", TERM, tiny(3)) });
    minion.run(&mut fixture, "a", 1_000);
    assert_eq!(minion.starts_of("urgent").len(), 3, "{:?}", fixture.log.last());
}
