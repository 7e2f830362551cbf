//! Tests of cancellations of jobs that don't exist: they bar the job for as long as its submission may
//! arrive, and don't remain in the store for ever.

use sapphire_jobs::Notice;
use sapphire_planner::{
    event::{Event, Operation},
    keys,
};
use sapphire_store::call::{Call, Condition, Item, Reply};

use super::{cancellation, submitted};
use crate::harness::{Fixture, TERM, fleet, job, step};

/// Time in ms for which the state of a job is kept after its end.
const RETENTION: u64 = 120_000;

/// Takes the latest call that removes the cancellation of job `j`.
fn take_removal(fixture: &mut Fixture) -> Option<(Operation, Call)> {
    let removes = |call: &Call| {
        let Call::Commit { removes, .. } = call else { return false };
        removes.contains(&keys::cancel("j"))
    };
    let at = fixture.calls.iter().rposition(|(_, call)| removes(call))?;
    Some(fixture.calls.remove(at))
}

/// Returns a planner that has read the cancellation at the beginning of its term, or later.
fn knowing(is_read_at_once: bool) -> Fixture {
    let mut items = vec![fleet(1, &["a"])];
    items.extend(is_read_at_once.then(cancellation));
    let mut fixture = Fixture::new(items);
    if !is_read_at_once {
        let reply = Reply::Changes { items: vec![cancellation()], revision: 200 };
        fixture.handle(Event::Store(Operation::Intake, reply));
    }
    fixture
}

/// Guards against a store that fills with cancellations of jobs that don't exist, and against one that is
/// removed while a submission of its job may still arrive.
#[test]
fn a_cancellation_without_a_job_is_removed_after_the_retention() {
    for is_read_at_once in [false, true] {
        let mut fixture = knowing(is_read_at_once);
        fixture.advance(RETENTION - 100);
        assert_eq!(take_removal(&mut fixture), None);
        fixture.advance(3_000);
        let (operation, call) = take_removal(&mut fixture).expect("it is removed");
        let Call::Commit { conditions, puts, removes } = call else { panic!("{call:?}") };
        let holds = |key: String, revision| conditions.contains(&Condition { key, revision });
        // Neither a planner of the past nor a call that is carried out late removes another one.
        assert!(holds(keys::LEAD.to_owned(), TERM), "{conditions:?}");
        assert!(holds(keys::cancel("j"), 30), "{conditions:?}");
        assert!(holds(keys::job("j"), 0), "{conditions:?}");
        assert_eq!((puts, removes), (Vec::new(), vec![keys::cancel("j")]));
        fixture.handle(Event::Store(operation, Reply::Committed(300)));
        fixture.advance(10_000);
        assert_eq!(take_removal(&mut fixture), None, "it is gone");
    }
}

/// Guards against a removal that is given up, or repeated without a pause.
#[test]
fn a_removal_without_an_answer_is_sent_again() {
    let mut fixture = knowing(true);
    fixture.advance(RETENTION + 2_000);
    let mut sent = 0;
    for _ in 0..20 {
        fixture.advance(500);
        while let Some((operation, _)) = take_removal(&mut fixture) {
            sent += 1;
            fixture.handle(Event::Store(operation, Reply::Unavailable("none".to_owned())));
        }
    }
    assert!((2..=20).contains(&sent), "{sent} times in 10 s");
}

/// Guards against removals that are sent for ever once an earlier one was carried out without an answer.
#[test]
fn a_cancellation_that_is_gone_is_not_removed_again() {
    let mut fixture = knowing(true);
    fixture.advance(RETENTION + 2_000);
    let (operation, _) = take_removal(&mut fixture).expect("it is removed");
    let gone = |key: String| Item { key, value: None, revision: 0 };
    let lead = Item { key: keys::LEAD.to_owned(), value: None, revision: TERM };
    let items = vec![lead, gone(keys::cancel("j")), gone(keys::job("j"))];
    fixture.handle(Event::Store(operation, Reply::Refused(items)));
    fixture.advance(20_000);
    assert_eq!(take_removal(&mut fixture), None);
}

/// Guards against many cancellations that are removed in a write with too many rows, or one by one.
#[test]
fn removals_fit_into_the_rows_of_a_write() {
    let named = |id: u32| Item { key: keys::cancel(&id.to_string()), ..cancellation() };
    let mut fixture =
        Fixture::new([fleet(1, &[])].into_iter().chain((0..100).map(named)).collect());
    fixture.advance(RETENTION + 2_000);
    let mut removed = 0;
    for _ in 0..20 {
        let calls = std::mem::take(&mut fixture.calls);
        for (operation, call) in calls {
            let Call::Commit { conditions, puts, removes } = call else { continue };
            let rows = conditions.len() + puts.len() + removes.len();
            assert!((4..=32).contains(&rows), "{rows}");
            removed += removes.len();
            fixture.handle(Event::Store(operation, Reply::Committed(300)));
        }
        fixture.advance(1_000);
    }
    assert_eq!(removed, 100);
}

/// Guards against a start of a job that an entry of an earlier version has stored after its cancellation,
/// which nobody repeats: the planner, or the one before, has read it long ago.
#[test]
fn a_job_that_is_stored_after_its_cancellation_does_not_start() {
    for (waits, by_notice) in [(100, false), (100, true), (RETENTION - 1_000, true)] {
        let mut fixture = knowing(true);
        fixture.join("a", Vec::new(), Vec::new());
        fixture.advance(waits);
        let event = if by_notice {
            let jobs = vec![job("j", TERM, step(1, false))];
            Event::Notice(Notice { jobs, ..Notice::default() })
        } else {
            let reply = Reply::Changes { items: vec![submitted(TERM)], revision: 200 };
            Event::Store(Operation::Intake, reply)
        };
        fixture.handle(event);
        for _ in 0..30 {
            fixture.poll("a", Vec::new(), Vec::new());
            fixture.advance(100);
        }
        assert!(fixture.starts().is_empty(), "after {waits} ms");
    }
}
