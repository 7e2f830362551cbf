//! Tests of which requests reach the minion.

use std::time::Duration;

use assert_matches::assert_matches;
use sapphire_agent::slots::{Decision, Slots};
use sapphire_wire::{Peer, Request, TaskState};

const SECOND: Duration = Duration::from_secs(1);

fn request(attempt: &str) -> Request {
    Request { attempt: attempt.into(), left_ms: 5_000, ..Request::default() }
}

fn admit(slots: &mut Slots, attempt: &str) -> Decision {
    slots.admit(SECOND, request(attempt), &Peer::default())
}

/// The network delivers a request twice, once while it is being served and once after. It is served
/// once.
#[test]
fn a_repeated_request_is_served_once() {
    let mut slots = Slots::new(1, SECOND * 60);
    assert_matches!(admit(&mut slots, "bill"), Decision::Forward(_));
    assert_eq!(admit(&mut slots, "bill"), Decision::NoReply);
    assert!(slots.release(SECOND, "bill").is_some());
    assert_eq!(admit(&mut slots, "bill"), Decision::NoReply);
    assert_eq!(slots.invalidate(SECOND, "bill"), TaskState::TaskExited);
}

/// The entry invalidates a request that seems lost and answers "not run" to its caller; then the
/// request arrives after all. It is refused.
#[test]
fn a_request_that_arrives_after_its_invalidation_is_refused() {
    let mut slots = Slots::new(1, SECOND * 60);
    assert_eq!(slots.invalidate(SECOND, "late"), TaskState::TaskBarred);
    assert_matches!(admit(&mut slots, "late"), Decision::Refused(_));
}

#[test]
fn as_many_wait_as_there_are_slots_and_the_next_is_refused() {
    let mut slots = Slots::new(1, SECOND * 60);
    assert_matches!(admit(&mut slots, "served"), Decision::Forward(_));
    assert_eq!(admit(&mut slots, "waits"), Decision::NoReply);
    assert_matches!(admit(&mut slots, "refused"), Decision::Refused(_));
    slots.release(SECOND, "served");
    assert_matches!(slots.next_request(SECOND), Some(next) if next.attempt == "waits");
}

/// A request waits for a slot until its caller's deadline has passed. It is not served then, since
/// nobody waits for the answer.
#[test]
fn a_request_past_its_deadline_is_not_served() {
    let mut slots = Slots::new(1, SECOND * 60);
    admit(&mut slots, "served");
    admit(&mut slots, "waits");
    slots.release(SECOND * 7, "served");
    assert_eq!(slots.next_request(SECOND * 7), None);
    assert_eq!(slots.invalidate(SECOND * 7, "waits"), TaskState::TaskBarred);
}
