//! Tests of the shares of organisations: usage, order and admission.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_jobs::resources::Resources;
use sapphire_plan::{admit, rank, share};

const OPTIONS: share::Options = share::Options { window: Duration::from_secs(30) };

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Lets organisations use shares of the workers for some seconds.
fn use_for(usages: &mut share::Usages, seconds: u64, shares: &[(&str, f64)]) {
    let shares: BTreeMap<String, f64> =
        shares.iter().map(|(name, share)| ((*name).to_owned(), *share)).collect();
    for _ in 0..seconds * 2 {
        usages.advance(Duration::from_millis(500), OPTIONS, &shares);
    }
}

/// One organisation takes ten times as much as each of three others. It is above its share after a
/// few seconds, stays so while it takes the rest, and is below one and a half windows after it has stopped.
/// Alone, it is not above.
#[test]
fn an_organisation_that_takes_ten_times_the_others_usage_is_above() {
    let all = names(&["big", "a", "b", "c"]);
    let none = BTreeSet::new();
    let mut usages = share::Usages::default();
    let load = [("big", 0.75), ("a", 0.08), ("b", 0.08), ("c", 0.08)];
    use_for(&mut usages, 5, &load);
    assert_eq!(usages.above(&all, &none, OPTIONS), names(&["big"]));
    assert_eq!(usages.above(&names(&["big"]), &none, OPTIONS), none, "nobody else has work");
    use_for(&mut usages, 60, &load);
    assert!(usages.served_share("big", &all) > 0.7, "it is served at what the others leave");
    use_for(&mut usages, 45, &[("a", 0.3), ("b", 0.3), ("c", 0.3)]);
    let above = usages.above(&all, &names(&["big"]), OPTIONS);
    assert!(!above.contains("big"), "{usages:?}");
    use_for(&mut usages, 600, &[]);
    assert_eq!(usages, share::Usages::default(), "old usage is forgotten");
}

/// Four equal organisations with bursts of their own. Guards against an order that changes with the
/// first gang after a start, or with small differences between equal organisations.
#[test]
fn equal_organisations_with_small_differences_are_not_above() {
    let all = names(&["a", "b", "c", "d"]);
    let mut usages = share::Usages::default();
    use_for(&mut usages, 5, &[("a", 0.3)]);
    assert_eq!(usages.above(&all, &BTreeSet::new(), OPTIONS), BTreeSet::new());
    use_for(&mut usages, 60, &[("a", 0.28), ("b", 0.24), ("c", 0.24), ("d", 0.22)]);
    assert_eq!(usages.above(&all, &BTreeSet::new(), OPTIONS), BTreeSet::new());
}

/// Work of an organisation above its share goes after others' work of the same priority and
/// feasibility, and before all else. Guaranteed work is not put back.
#[test]
fn work_above_the_share_goes_last_within_its_priority_and_feasibility() {
    let secs = Duration::from_secs;
    let job = |priority, age, is_above_share| rank::Job {
        priority,
        is_guaranteed: false,
        age: secs(age),
        objective: secs(10),
        remaining: secs(2),
        work: 1.0,
        escalates: false,
        is_above_share,
    };
    let rank = |priority, age, is_above| rank::rank(&job(priority, age, is_above));
    assert!(rank(1, 0, false) < rank(1, 4, true), "same priority, both on time");
    assert!(rank(1, 4, true) < rank(1, 9, false), "the other is late already");
    assert!(rank(1, 4, true) < rank(2, 0, false));
    assert!(rank(1, 0, false) < rank(0, 0, true), "urgent work beyond the guarantee");
    assert!(rank(0, 0, false) < rank(1, 0, false));
    let guaranteed =
        |is_above| rank::rank(&rank::Job { is_guaranteed: true, ..job(0, 1, is_above) });
    assert_eq!(guaranteed(true), guaranteed(false));
}

/// An organisation submits ten times its share for minutes. Its jobs are rejected once its own
/// backlog makes them useless, with the time after which the backlog has shrunk. Urgent jobs are
/// rejected only beyond the guarantee and if all workers together would be too late.
#[test]
fn jobs_above_the_share_are_rejected_if_their_own_backlog_makes_them_useless() {
    let secs = Duration::from_secs;
    let largest = Resources { millicores: 8_000, memory_mib: 8_000, accelerators: 8 };
    let job = |priority| admit::Job {
        task_resources: vec![Resources { accelerators: 1, ..Resources::default() }],
        priority,
        objective: secs(10),
        accelerators: 8,
    };
    let admit = |priority, own, guarantee_left| {
        let above = admit::AboveShare { drain: secs(own), share: 0.25, guarantee_left };
        let supply = admit::Supply { largest, drain: secs(own), above_share: Some(above) };
        admit::admit(&job(priority), Some(&supply))
    };
    let rejected = |after| admit::Outcome::AboveShare { after: secs(after) };
    assert_eq!(admit(1, 7, 0), admit::Outcome::Accept);
    assert_eq!(admit(1, 10, 0), rejected(10));
    assert_eq!(admit(0, 29, 0), admit::Outcome::Accept);
    assert_eq!(admit(0, 45, 0), rejected(15));
    assert_eq!(admit(0, 45, 8), admit::Outcome::Accept, "within the guarantee");
}
