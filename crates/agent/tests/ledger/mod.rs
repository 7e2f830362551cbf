//! Tests of how a worker's accelerators are reserved, and when reservations and leases expire.

use std::time::Duration;

use assert_matches::assert_matches;
use sapphire_agent::{
    ledger::{Change, Ledger},
    member::Phase,
};
use sapphire_wire::{Bound, Hold, HoldState, Peer, Shape, Slice, TaskState, peer, resource};

const SECOND: Duration = Duration::from_secs(1);

fn ledger() -> Ledger {
    let capacity = resource::Amount { accelerators: 8, processors: 64, memory_bytes: 256 << 30 };
    let mut ledger = Ledger::new(capacity, SECOND, SECOND * 600);
    let bound = vec![Bound { organisation: "review".into(), accelerators: 8 }];
    let slice = Slice { bound, grace_ms: 1_000, ..Slice::default() };
    ledger.apply(&slice).expect("it fits");
    ledger
}

fn planner() -> Peer {
    peer::new("e1", "e1", 1)
}

fn hold(attempt: &str, organisation: &str, accelerators: u32, guaranteed: bool) -> Hold {
    Hold {
        attempt: attempt.into(),
        organisation: organisation.into(),
        shape: Some(Shape { accelerators, tasks: 1, ..Shape::default() }),
        tasks: 1,
        guaranteed,
        lead: Some(peer::new("a1", "a1", 1)),
        ttl_ms: 3_000,
        command: "run".into(),
        ..Hold::default()
    }
}

fn replies(ledger: &mut Ledger) -> Vec<(HoldState, String)> {
    let changes = ledger.take_changes().into_iter();
    let replies = changes.filter_map(|change| match change {
        Change::Reply(_, state, reason) => Some((state, reason)),
        _ => None,
    });
    replies.collect()
}

/// A lease renewal is delayed in the network until its coordinator has long stopped the gang. It
/// counts from the heartbeat that it answers, so it extends nothing, and the task stops.
#[test]
fn a_late_renewal_extends_nothing() {
    let mut ledger = ledger();
    ledger.hold(SECOND, &hold("j/1", "archive", 4, false), &planner());
    ledger.apply_lease(SECOND, "j/1", 0);
    let heartbeat = ledger.get_mut("j/1").expect("held").next_heartbeat(SECOND);
    ledger.apply_lease(SECOND + SECOND * 9 / 10, "j/1", heartbeat);
    assert_matches!(ledger.members()["j/1"].phase, Phase::Running { until } if until == SECOND * 2);
    ledger.tick(SECOND * 2);
    assert_eq!(ledger.members()["j/1"].phase, Phase::Stopping);
}

/// The planner invalidates an attempt whose hold is still on its way. Since the caller is answered
/// "not run", the hold is refused when it arrives, and so is a lease.
#[test]
fn a_hold_that_arrives_after_its_invalidation_is_refused() {
    let mut ledger = ledger();
    assert_eq!(ledger.invalidate(SECOND, "j/1", "resolving"), TaskState::TaskBarred);
    ledger.hold(SECOND, &hold("j/1", "archive", 4, false), &planner());
    assert_matches!(replies(&mut ledger).as_slice(), [(HoldState::HoldRefused, _)]);
    assert_eq!(ledger.apply_lease(SECOND, "j/1", 0), TaskState::TaskBarred);
    assert_eq!(ledger.free().accelerators, 8);
}

/// An agent shuts down gracefully while a planner that does not know it yet still sends a hold. The
/// hold is refused even for a guaranteed gang, and running tasks continue.
#[test]
fn a_draining_agent_refuses_holds_and_stops_nothing() {
    let mut ledger = ledger();
    ledger.hold(SECOND, &hold("b/1", "archive", 4, false), &planner());
    ledger.apply_lease(SECOND, "b/1", 0);
    ledger.drain();
    ledger.take_changes();
    ledger.hold(SECOND, &hold("g/1", "review", 8, true), &planner());
    let refused = replies(&mut ledger);
    assert_matches!(refused.as_slice(), [(HoldState::HoldRefused, reason)] if reason.contains("draining"));
    assert_matches!(ledger.members()["b/1"].phase, Phase::Running { .. });
}

/// A borrower's checkpoint takes longer than a lease. Renewals keep the tasks running until the end
/// of the grace period and no longer.
#[test]
fn a_slow_checkpoint_has_the_whole_grace_period() {
    let mut ledger = ledger();
    let slow = Slice {
        bound: vec![Bound { organisation: "review".into(), accelerators: 8 }],
        grace_ms: 5_000,
        ..Slice::default()
    };
    ledger.apply(&slow).expect("it fits");
    ledger.hold(SECOND, &hold("b/1", "archive", 8, false), &planner());
    ledger.apply_lease(SECOND, "b/1", 0);
    ledger.hold(SECOND, &hold("g/1", "review", 8, true), &planner());
    for tenth in 10..80 {
        let now = SECOND * tenth / 10;
        if let Some(member) = ledger.get_mut("b/1") {
            let heartbeat = member.next_heartbeat(now);
            ledger.apply_lease(now, "b/1", heartbeat);
        }
        let is_renewed =
            ledger.take_changes().iter().any(|change| matches!(change, Change::Renew(..)));
        assert_eq!(is_renewed, now < SECOND * 6, "at {now:?}");
        ledger.tick(now);
        let is_evicting = matches!(ledger.members()["b/1"].phase, Phase::Evicting { .. });
        assert_eq!(is_evicting, now < SECOND * 6, "at {now:?}");
    }
}

#[test]
fn a_guarantee_is_reclaimed_from_borrowers_and_no_further() {
    let mut ledger = ledger();
    ledger.hold(SECOND, &hold("b/1", "archive", 8, false), &planner());
    ledger.apply_lease(SECOND, "b/1", 0);
    ledger.take_changes();
    ledger.hold(SECOND * 2, &hold("g/1", "review", 8, true), &planner());
    assert_matches!(
        ledger.take_changes().as_slice(),
        [Change::Reply(_, HoldState::HoldEvicting, _), Change::Evict(evicted, _)] if evicted == "b/1"
    );
    ledger.task_ended(SECOND * 2, "b/1", None, "checkpointed");
    ledger.tick(SECOND * 2);
    let granted = (HoldState::HoldGranted, String::new());
    assert!(replies(&mut ledger).contains(&granted));
    ledger.hold(SECOND * 2, &hold("g/2", "review", 1, true), &planner());
    let refused = replies(&mut ledger);
    assert_matches!(refused.as_slice(), [(HoldState::HoldRefused, reason)] if reason.contains("8 of 8"));
}

/// A gang requests one guaranteed accelerator and more than its share of the processors. Granting
/// it would make the other guarantees on the worker impossible to honour.
#[test]
fn a_guaranteed_gang_takes_no_more_than_its_share_of_processors() {
    let mut ledger = ledger();
    let mut greedy = hold("g/1", "review", 1, true);
    greedy.shape = Some(Shape { processors: 9, ..greedy.shape.expect("set above") });
    ledger.hold(SECOND, &greedy, &planner());
    assert_matches!(replies(&mut ledger).as_slice(), [(HoldState::HoldRefused, _)]);
}

#[test]
fn a_slice_that_binds_more_than_there_is_changes_nothing() {
    let mut ledger = ledger();
    let bound = vec![Bound { organisation: "archive".into(), accelerators: 9 }];
    assert!(ledger.apply(&Slice { bound, ..Slice::default() }).is_err());
    ledger.hold(SECOND, &hold("g/1", "review", 8, true), &planner());
    assert_matches!(replies(&mut ledger).as_slice(), [(HoldState::HoldGranted, _)]);
}
