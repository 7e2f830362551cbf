//! What a planner does when events come faster than it can follow one by one.

use std::time::Duration;

use sapphire_jobs::{Notice, Poll};
use sapphire_planner::event::{Event, Moment};

use crate::harness::{Bench, TERM, job, minion, ms, step};

fn moment(bench: &Bench) -> Moment {
    Moment { steady: ms(bench.now), unix: ms(bench.now) }
}

fn notice(bench: &Bench, number: usize) -> Event {
    let mut job = job(&format!("j{number:02}"), TERM, step(3, false));
    job.accepted_ms = bench.now;
    Event::Notice(Notice { jobs: vec![job], cancelled: Vec::new() })
}

/// Guards against a pass over all that waits with each message: many that come together would
/// each pay for the work of all.
#[test]
fn events_that_come_together_cost_one_pass() {
    let mut bench = Bench::new(vec![]);
    bench.join("a1", vec![], vec![]);
    let (now, before) = (moment(&bench), bench.planner.load());
    for number in 0..40 {
        let event = notice(&bench, number);
        bench.planner.take(now, event);
    }
    let effects = bench.planner.settle(now);
    let after = bench.planner.load();
    assert_eq!(after.events - before.events, 40);
    assert_eq!(after.passes - before.passes, 1);
    assert!(!effects.is_empty());
    let worker = &bench.planner.workers()["a1"];
    assert_eq!(worker.runs.len(), 8, "the one pass has filled the worker");
}

/// Guards against a planner on a slow processor that does nothing but passes, while agents wait
/// for its answers until their leases lapse.
#[test]
fn passes_that_take_long_leave_time_for_polls() {
    let mut bench = Bench::new(vec![]);
    bench.join("a1", vec![], vec![]);
    let before = bench.planner.load().passes;
    let mut passes = before;
    for number in 0..100 {
        bench.now += 10;
        let event = notice(&bench, number);
        bench.tell(event);
        let earlier = std::mem::replace(&mut passes, bench.planner.load().passes);
        if passes > earlier {
            // Each pass takes as long as the time between two events.
            let took = Duration::from_millis(10);
            bench.planner.pass_took(ms(bench.now) + took, took);
            bench.now += 10;
        }
    }
    let passes = passes - before;
    assert!((20..=67).contains(&passes), "{passes} passes for 100 events");
    let poll = Poll { incarnation: Some(minion("a1")), ..Poll::default() };
    let answers = bench.orders.len();
    bench.report("a1", poll);
    assert!(bench.orders.len() > answers, "a poll is answered although no pass is due");
}
