//! Starts that a minion may still carry out.

use sapphire_jobs::{Notice, Poll, Rejection, Run, Verdict};
use sapphire_planner::event::Event;

use crate::harness::{Bench, TERM, fleet, job, run, step};

/// A planner whose one worker has been told to start a task and has not answered.
fn ordered() -> (Bench, Run) {
    let mut bench = Bench::new(vec![fleet(1, &["a"])]);
    bench.join("a", Vec::new(), Vec::new());
    let notice = Notice { jobs: vec![job("j", TERM, step(1, false))], cancelled: Vec::new() };
    bench.tell(Event::Notice(notice));
    let run = run("j", 0, 1_001);
    assert_eq!(bench.starts(), vec![run.clone()]);
    (bench, run)
}

fn cancel(bench: &mut Bench) {
    let notice = Notice { jobs: Vec::new(), cancelled: vec!["j".to_owned()] };
    bench.tell(Event::Notice(notice));
}

/// Lists of a worker that has a start in hand and doesn't list it.
fn list(bench: &mut Bench, pending: &Run, stopping: &[Run]) {
    let report =
        Poll { pending: vec![pending.clone()], stopping: stopping.to_vec(), ..Poll::default() };
    bench.report("a", report);
}

/// Guards against a stop that is never sent because the agent has the start in hand.
#[test]
fn a_start_in_hand_is_told_to_stop() {
    let (mut bench, run) = ordered();
    cancel(&mut bench);
    list(&mut bench, &run, &[]);
    bench.pass(700);
    assert_eq!(bench.stops(), vec![run]);
}

/// Guards against a task that runs twice, and a worker that is overfilled: the start had no
/// answer, lists left it out since it had not been carried out yet, and then it was.
#[test]
fn absence_from_lists_settles_no_start_without_an_answer() {
    let (mut bench, run) = ordered();
    list(&mut bench, &run, &[]);
    cancel(&mut bench);
    for _ in 0..10 {
        list(&mut bench, &run, std::slice::from_ref(&run));
        bench.pass(500);
    }
    assert_eq!(bench.placed("j"), "a", "its room is given away");
    let verdict = Verdict { run: Some(run), rejection: Rejection::Old.into() };
    bench.report("a", Poll { verdicts: vec![verdict], ..Poll::default() });
    assert_eq!(bench.placed("j"), "", "its room is kept for ever");
}
