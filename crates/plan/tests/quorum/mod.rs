//! Tests of the decision whether a planner may start tasks although its lease may have expired.

use std::time::Duration;

use sapphire_plan::quorum::{self, Report, Standing};

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Returns the standing at `now` of a planner whose lease ended at 1,000 ms, given when the other
/// entries polled it and when the store last answered them.
fn standing(now: u64, entries: usize, reports: &[(u64, u64)]) -> Standing {
    let report = |(received, answered): &(u64, u64)| Report {
        received_at: ms(*received),
        store_answered_at: Some(ms(*answered)),
    };
    quorum::standing(ms(now), ms(1_000), entries, reports.iter().map(report))
}

#[test]
fn a_valid_lease_needs_no_evidence() {
    assert_eq!(standing(999, 7, &[]), Standing::Leader);
    assert_eq!(standing(1_000, 7, &[]), Standing::Isolated);
}

/// Guards against a task that runs twice: half of the entries, the planner's included, is no
/// majority, since the other half may have elected another planner.
#[test]
fn more_than_half_of_the_entries_are_needed() {
    for (entries, needed) in [(0, 0), (1, 1), (2, 1), (3, 2), (4, 2), (7, 4), (34, 17)] {
        let reports = vec![(1_900, 800); needed];
        assert_eq!(standing(2_000, entries, &reports), Standing::Outage, "{entries}");
        if needed > 0 {
            assert_eq!(standing(2_000, entries, &reports[1..]), Standing::Isolated, "{entries}");
        }
    }
}

#[test]
fn evidence_is_recent_and_of_entries_without_the_store() {
    assert_eq!(standing(2_000, 1, &[(1_499, 800)]), Standing::Isolated);
    assert_eq!(standing(2_000, 1, &[(1_900, 1_000)]), Standing::Isolated);
    assert_eq!(standing(2_000, 1, &[(1_900, 999)]), Standing::Outage);
    let never = Report { received_at: ms(1_900), store_answered_at: None };
    assert_eq!(quorum::standing(ms(2_000), ms(1_000), 1, [never]), Standing::Outage);
}
