//! Measures the time of a pass on 300 busy workers.
//!
//! `cargo run --release --example pass_time -- [slowness]...`: the slowness of the workers in turn,
//! the reference speed if none is given.

#![allow(dead_code, reason = "the harness of the tests has more than this needs")]

use std::time::{Duration, Instant};

use sapphire_jobs::{Job, Notice, Running, Step};
use sapphire_plan::speed::{Slowness, Speeds};
use sapphire_planner::{event::Event, worker::Run};

#[path = "../tests/harness/mod.rs"]
mod harness;

use harness::{Fixture, TERM, job, resources, step};

const WORKERS: usize = 300;
const ROUNDS: u64 = 60;

fn main() {
    let slowness: Vec<f64> = std::env::args().skip(1).filter_map(|it| it.parse().ok()).collect();
    let mut fixture = Fixture::new(Vec::new());
    let names: Vec<String> = (0..WORKERS).map(|at| format!("w{at:03}")).collect();
    if !slowness.is_empty() {
        let given = names
            .iter()
            .enumerate()
            .map(|(at, name)| (name.clone(), Slowness::new(slowness[at % slowness.len()])));
        fixture.planner.set_speeds(Speeds::given(given));
    }
    names.iter().for_each(|name| fixture.join(name, Vec::new(), Vec::new()));
    let mut times: Vec<Duration> = Vec::new();
    let before = fixture.planner.load();
    for round in 0..ROUNDS {
        submit(&mut fixture, round);
        for _ in 0..3 {
            let passes = fixture.planner.load().passes;
            let time = pass(&mut fixture);
            if fixture.planner.load().passes > passes {
                times.push(time);
            }
        }
        names.iter().for_each(|name| poll(&mut fixture, name, round));
    }
    let after = fixture.planner.load();
    times.sort_unstable();
    let passes = after.passes - before.passes;
    let placed = |names: &str| {
        let is_one = |line: &&String| line.contains("placed on=") && line.contains(names);
        fixture.log.iter().filter(is_one).count()
    };
    println!("placed: urgent {}, others {}", placed("job=u"), placed("job="));
    println!(
        "passes={passes} tried={} searches={} median_us={} least_us={}",
        after.tried - before.tried,
        after.searches - before.searches,
        times[times.len() / 2].as_micros(),
        times[0].as_micros()
    );
}

/// Submits a mixture of urgent gangs, gangs and tasks that exceeds the workers after some rounds.
fn submit(fixture: &mut Fixture, round: u64) {
    let of = |kind: &str, tasks: u32, is_gang: bool, accelerators: u64| {
        let room = Some(resources(accelerators).message());
        let step = Step { room, estimate_ms: 20_000, ..step(tasks, is_gang) };
        Job { accepted_ms: fixture.now, ..job(&format!("{kind}{round:03}"), TERM, step) }
    };
    let queue = "urgent".to_owned();
    let urgent = Job {
        queue,
        priority: 0,
        slack_milli: 1_500,
        target_latency_ms: 500,
        ..of("u", 4, true, 64)
    };
    let jobs = vec![urgent, of("g", 8, true, 64), of("t", 40, false, 16), of("s", 60, false, 8)];
    fixture.handle(Event::Notice(Notice { jobs, ..Notice::default() }));
}

/// Returns the time of one pass, with the other work of a tick.
fn pass(fixture: &mut Fixture) -> Duration {
    fixture.now += 100;
    let began = Instant::now();
    fixture.handle(Event::Tick);
    began.elapsed()
}

/// Sends a worker's list, with progress that says how much of each run is left.
fn poll(fixture: &mut Fixture, name: &str, round: u64) {
    let percent = u32::try_from(round % 80).unwrap_or_default();
    let listed = |(task, run): (&sapphire_jobs::task::Task, &Run)| Running {
        run: Some(task.run(run.number)),
        percent,
        ..Running::default()
    };
    let running = fixture.planner.workers()[name].runs.iter().map(listed).collect();
    fixture.poll(name, running, Vec::new());
}
