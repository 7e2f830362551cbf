//! Tests of jobs that the planner has no memory for.

use assert_matches::assert_matches;
use sapphire_front::{
    answer::{self, Action, Answer, Submission},
    event::{Event, Operation},
};
use sapphire_jobs::{Feed, JobMemory, Step, footprint};
use sapphire_store::call::{Reply, Value};

use crate::harness::{Fixture, ms};

/// Memory of the planner for jobs that aren't small, in groups, and the bytes of a small one.
const LARGE_GROUPS: u64 = 100;
const SMALL: u64 = 16 << 10;

fn submit(tasks: u32, is_gang: bool) -> Action {
    let steps = vec![Step { tasks, is_gang, ..Step::default() }];
    Action::Submit(Ok(Submission { spec: "s".to_owned(), steps, schedule: None }))
}

/// Returns an entry that has heard this of the planner's memory.
fn entry(memory: JobMemory) -> Fixture {
    let mut fixture = Fixture::configured(1_000);
    let feed = Feed { term: 1, version: 2, memory: Some(memory), ..Feed::default() };
    fixture.handle(1_100, Event::Feed { sent: ms(1_050), feed: Some(Box::new(feed)) });
    fixture
}

fn memory(free: u64) -> JobMemory {
    JobMemory {
        free,
        reserve: SMALL,
        small: SMALL,
        free_large: LARGE_GROUPS * footprint::GROUP,
        free_records: 1 << 20,
    }
}

/// Submits a job; returns whether it is written. A rejection follows a read that doesn't find the job.
fn is_written(fixture: &mut Fixture, path: &str, id: &str, tasks: u32) -> bool {
    let answer = fixture.request(1_200, &format!("{path}{id}"), "k", submit(tasks, false));
    assert_eq!(answer, None);
    match fixture.calls.last() {
        Some(Operation::Submit(ids)) if ids.iter().any(|other| other == id) => true,
        Some(Operation::LookUp(other)) if other == id => {
            let looked_up = Operation::LookUp(id.to_owned());
            fixture.store_reply(1_210, 1_200, looked_up, Reply::Value(Value::default()));
            assert_matches!(
                fixture.last_answer(),
                Some(Answer::NotDone { reason: answer::NO_MEMORY, after }) if after >= ms(1_000)
            );
            false
        }
        other => panic!("{other:?}"),
    }
}

/// Guards against jobs that are accepted without end and that no planner has memory for.
#[test]
fn a_job_that_the_planner_has_no_memory_for_is_refused_at_once() {
    let mut fixture = entry(memory(1 << 20));
    assert!(is_written(&mut fixture, "/later/", "1", 4));
    assert!(!is_written(&mut fixture, "/later/", "2", 200));
    let mut fixture = entry(memory(0));
    assert!(!is_written(&mut fixture, "/later/", "3", 1));
    assert!(is_written(&mut fixture, "/q/", "4", 1), "it is urgent");
    let mut fixture = entry(JobMemory { free_records: 100, ..memory(1 << 20) });
    assert!(!is_written(&mut fixture, "/later/", "5", 1));
}

/// Guards against an entry that accepts more than there is memory for between two feeds.
#[test]
fn jobs_that_the_planner_does_not_list_yet_count() {
    let of_job = 2_048 + 256 + 1 + footprint::GROUP;
    let mut fixture = entry(memory(of_job * 5 / 2));
    for (id, is_accepted) in [("1", true), ("2", true), ("3", false)] {
        assert_eq!(is_written(&mut fixture, "/later/", id, 1), is_accepted, "{id}");
        if is_accepted {
            let submitted = Operation::Submit(vec![id.to_owned()]);
            fixture.store_reply(1_220, 1_200, submitted, Reply::Committed(50));
        }
    }
}

/// Guards against jobs that are refused because of what was known seconds ago, or by a planner of an
/// earlier version, which doesn't tell its memory.
#[test]
fn an_outdated_feed_refuses_no_job_for_memory() {
    let mut fixture = entry(memory(0));
    assert_eq!(fixture.request(4_500, "/later/1", "k", submit(1, false)), None);
    assert_eq!(fixture.calls.last(), Some(&Operation::Submit(vec!["1".to_owned()])));
    let mut fixture = Fixture::configured(1_000);
    assert!(is_written(&mut fixture, "/later/", "1", 1));
}

/// Guards against callers who try again and again to submit a job that can never be held.
#[test]
fn a_job_beyond_the_limits_is_refused_for_good() {
    let mut fixture = Fixture::configured(1_000);
    for (tasks, is_gang, reason) in [
        (20_001, false, "steps: more than 20000 tasks"),
        (2_001, true, "steps[0]: a gang of more than 2000 tasks"),
    ] {
        let answer = fixture.request(1_100, "/q/1", "k", submit(tasks, is_gang));
        assert_eq!(answer, Some(Answer::Malformed(reason.to_owned())));
    }
    assert_eq!(fixture.request(1_200, "/q/2", "k", submit(20_000, false)), None);
}
