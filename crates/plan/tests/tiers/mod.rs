//! Tests of the decisions that use the lasting speed of workers.

use std::time::Duration;

use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use sapphire_jobs::resources::Resources;
use sapphire_plan::{
    assignment::{self, Assignment, Demand, Place, Reach},
    estimate::Estimate,
    evict, preempt,
    speed::Slowness,
    tiers::{self, Need},
    tradeoff::{self, Limits},
    wait,
};

const FAST: f64 = 0.75;
const SLOW: f64 = 1.8;

fn accelerators(accelerators: u64) -> Resources {
    Resources { accelerators, ..Resources::default() }
}

fn place(at: usize, rack: &str, free: u64, slowness: f64) -> Place {
    Place {
        worker: format!("w{at}").into(),
        rack: rack.into(),
        capacity: accelerators(8),
        free: accelerators(free),
        slowness: Slowness::new(slowness),
        ..Place::default()
    }
}

/// A gang of whole workers.
fn gang(tasks: u32, limit: Option<f64>, prefers_slow: bool) -> Demand {
    let limit = limit.map(Slowness::new);
    let speed = Need { limit, prefers_slow, remote_factor: 3 };
    Demand { tasks, resources: accelerators(8), speed, ..Demand::default() }
}

fn assign(places: &[Place], demand: &Demand) -> Option<Vec<usize>> {
    let assignments = assignment::assign(places, demand, Reach::Remote)?;
    Some(assignments.into_iter().map(|assignment| assignment.place).collect())
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against decisions that change where all workers have the same speed, and against
    /// callers that are served worse because there are slow workers in addition.
    #[test]
    fn equal_speeds_change_nothing_and_slow_workers_harm_nobody(
        pool in proptest::collection::vec((0_usize..3, 0_u64..9, 0_u32..3, any::<bool>()), 1..24),
        (tasks, each, one_rack, near, prefers_slow) in (1_u32..7, 1_u64..9, any::<bool>(), any::<bool>(), any::<bool>()),
    ) {
        let with = |slowness: &dyn Fn(bool) -> f64| -> Vec<Place> {
            let place = |(at, (rack, free, suspicion, is_slow)): (usize, &(usize, u64, u32, bool))| Place {
                suspicion: *suspicion,
                ..place(at, ["a", "b", "c"][*rack], *free, slowness(*is_slow))
            };
            pool.iter().enumerate().map(place).collect()
        };
        let near_rack = if near { "a" } else { "" }.to_owned();
        let before = Demand { tasks, resources: accelerators(each), wants_one_rack: one_rack, near_rack, ..Demand::default() };
        let after = Demand { speed: Need { limit: Some(Slowness::new(9.0)), prefers_slow, remote_factor: 3 }, ..before.clone() };
        for reach in [Reach::Near, Reach::Remote] {
            let expected = assignment::assign(&with(&|_| 1.0), &before, reach);
            prop_assert_eq!(&expected, &assignment::assign(&with(&|_| 1.7), &before, reach));
            if !near {
                prop_assert_eq!(&expected, &assignment::assign(&with(&|_| 1.0), &after, reach));
            }
            let all = with(&|is_slow| if is_slow { SLOW } else { FAST });
            let fast: Vec<Place> = all.iter().filter(|place| place.slowness.get() < 1.0).cloned().collect();
            let urgent = Demand { speed: Need { limit: Some(Slowness::new(1.2)), ..after.speed }, ..after.clone() };
            prop_assert_eq!(
                assignment::assign(&all, &urgent, reach).is_some(),
                assignment::assign(&fast, &urgent, reach).is_some()
            );
            let assigned = assignment::assign(&all, &after, reach);
            prop_assert_eq!(assigned.is_some(), expected.is_some());
            let total: u32 = assigned.iter().flatten().map(|assignment| assignment.tasks).sum();
            prop_assert!(assigned.is_none() || total == tasks);
        }
    }
}

/// Guards against a gang whose members wait for the slowest of them, although as many workers of
/// like speed are free.
#[test]
fn members_of_a_gang_run_on_workers_of_like_speed() {
    let slowness = [FAST, SLOW, FAST, SLOW, 0.77];
    let mut places: Vec<Place> = (0..5).map(|at| place(at, "a", 8, slowness[at])).collect();
    assert_eq!(assign(&places, &gang(3, None, false)), Some(vec![0, 4, 2]));
    assert_eq!(assign(&places, &gang(2, Some(3.0), true)), Some(vec![1, 3]));
    assert_eq!(assign(&places, &gang(3, Some(3.0), true)), Some(vec![0, 4, 2]));
    places[0].free = accelerators(0);
    assert_eq!(assign(&places, &gang(3, Some(1.4), false)), None, "it would be late");
    assert_eq!(assign(&places, &gang(3, None, false)).map(|all| all.len()), Some(3));
}

/// Guards against fast workers that are taken by work with time, against such work that is late on
/// slow workers, and against work that waits although fast workers are free.
#[test]
fn work_that_has_time_leaves_fast_workers_free() {
    let mut places = [place(0, "a", 8, FAST), place(1, "a", 8, SLOW)];
    assert_eq!(assign(&places, &gang(1, Some(2.5), true)), Some(vec![1]));
    assert_eq!(assign(&places, &gang(1, Some(1.4), true)), Some(vec![0]));
    let unreserved = assignment::without_reserved(&places, 1);
    assert_eq!(unreserved[1].free, accelerators(8), "the fast one is reserved for urgent work");
    places[1].free = accelerators(0);
    assert_eq!(assign(&places, &gang(1, Some(2.5), true)), Some(vec![0]));
}

/// Guards against a gang on several racks, which makes it three times slower, where one rack with a
/// slow worker would do, and against the reverse.
#[test]
fn one_rack_with_a_slow_worker_is_better_than_several_racks() {
    let gang = Demand { wants_one_rack: true, ..gang(2, None, false) };
    let places = |slow| [place(0, "a", 8, FAST), place(1, "b", 8, FAST), place(2, "b", 8, slow)];
    assert_eq!(assign(&places(SLOW), &gang), Some(vec![1, 2]));
    let mut scattered = assign(&places(2.9), &gang).expect("all are free");
    scattered.sort_unstable();
    assert_eq!(scattered, [0, 1]);
}

/// Guards against a group that waits for ever for workers on which it would be in time.
#[test]
fn a_limit_that_no_free_fleet_could_meet_is_noticed() {
    let places = [place(0, "a", 0, FAST), place(1, "a", 0, SLOW)];
    assert!(tiers::can_fit(&places, &gang(1, Some(1.4), false), Reach::Remote));
    assert!(!tiers::can_fit(&places, &gang(2, Some(1.4), false), Reach::Remote));
    assert!(tiers::can_fit(&places, &gang(2, Some(1.9), false), Reach::Remote));
}

fn urgent_job(age: u64) -> wait::Job {
    wait::Job {
        age: Duration::from_secs(age),
        expected: Estimate { centre: Duration::from_secs(4), spread: 0.3 },
        overhead: Duration::from_millis(300),
        slack: 1.5,
        latency: Duration::from_millis(500),
    }
}

/// Guards against an urgent job that counts as on time on a worker that is slower than its objective
/// allows: it is late there unless its run is so short that the fixed part of the objective covers
/// the difference.
#[test]
fn a_slow_worker_makes_an_urgent_job_late() {
    let late = |slowness| {
        wait::chance_late_at(&urgent_job(0), Duration::from_millis(100), Slowness::new(slowness))
    };
    assert!(late(FAST) < 0.01 && late(1.3) < 0.1, "{} {}", late(FAST), late(1.3));
    assert!(late(1.6) > 0.9 && late(SLOW) > 0.99, "{} {}", late(1.6), late(SLOW));
}

/// Guards against an urgent group that starts where it is late although little work is in its way
/// on fast workers, and against work that is stopped for nothing: where the stop loses more than the
/// lateness costs, or where the job is late whatever is decided.
#[test]
fn slow_workers_at_once_are_weighed_against_stops_on_fast_ones() {
    let places = [place(0, "a", 0, FAST), place(1, "a", 8, SLOW), place(2, "a", 0, FAST)];
    let candidate = |at: usize, remaining: u64, cost: f64| preempt::Candidate {
        priority: 1,
        is_guaranteed: false,
        is_stopping: false,
        remaining: Duration::from_millis(remaining),
        victim: evict::Victim { cost, released: vec![(at, accelerators(8))] },
    };
    let demand = gang(1, Some(1.4), false);
    let urgent = preempt::Urgent { demand: &demand, reach: Reach::Remote, is_guaranteed: false };
    let at_once = [Assignment { place: 1, tasks: 1 }];
    let limits = Limits { wait: preempt::LONGEST_WAIT, stop: Duration::from_millis(400) };
    let starts = |age, cost: f64, remaining| {
        let candidates = [candidate(0, remaining, cost), candidate(2, 60_000, 900.0)];
        let job = urgent_job(age);
        let starts = tradeoff::starts_at_once(&places, &candidates, urgent, &job, limits, &at_once);
        let choice = tradeoff::weigh(&places, &candidates, urgent, &job, limits);
        (starts, choice.expect("it fits after a stop").stops.len())
    };
    assert_eq!(starts(0, 20.0, 60_000), (false, 1), "a cheap stop makes it on time");
    assert!(starts(0, 900.0, 60_000).0, "the stop costs more than the lateness");
    assert!(starts(9, 20.0, 60_000).0, "it is late anyway");
    assert_eq!(starts(9, 20.0, 1_000), (false, 0), "waiting for the fast worker ends sooner");
}
