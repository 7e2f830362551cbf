//! Reclaim, estimates and the pass over waiting jobs.

use std::time::Duration;

use assert_matches::assert_matches;
use proptest::{
    prelude::{ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, proptest},
    test_runner::RngSeed,
};
use sapphire_jobs::room::Room;
use sapphire_plan::{
    admit, clear, estimate, evict, fleet, health, pace, pass, reclaim, reserve, seat, wait, waves,
};
use sapphire_rules::file;
use sapphire_wire::{Adjacency, Job, Shape, resource};

fn amount(accelerators: u32) -> resource::Amount {
    resource::Amount { accelerators, ..resource::Amount::default() }
}

fn borrower(attempt: &str, accelerators: u32, seconds: u64, gang: u32) -> reclaim::Borrower {
    let ran = Duration::from_secs(seconds);
    reclaim::Borrower { attempt: attempt.into(), need: amount(accelerators), ran, gang }
}

/// A guaranteed gang needs four accelerators. Two young borrowers of two would do, or an old one
/// of four: the young ones go. By size, the smallest gang goes first. And when all of them
/// together would not be enough, none goes: its work would be lost for nothing.
#[test]
fn the_cheapest_borrowers_are_evicted_and_none_in_vain() {
    let all = || vec![borrower("old", 4, 900, 4), borrower("a", 2, 10, 2), borrower("b", 2, 20, 2)];
    let choose = |order, need| reclaim::choose(all(), order, &amount(0), &amount(need));
    assert_eq!(choose(reclaim::Order::Youngest, 4), ["a", "b"]);
    assert_eq!(choose(reclaim::Order::Smallest, 2), ["a"]);
    assert_eq!(choose(reclaim::Order::Youngest, 9), Vec::<String>::new());
}

#[test]
fn a_borrower_that_is_not_needed_after_all_is_spared() {
    let all = vec![borrower("small", 1, 10, 1), borrower("large", 4, 900, 4)];
    let chosen = reclaim::choose(all, reclaim::Order::Youngest, &amount(0), &amount(4));
    assert_eq!(chosen, ["large"]);
}

fn job(id: usize, organisation: &str, shape: Shape, declared_ms: u64) -> Job {
    Job {
        id: format!("j{id}"),
        organisation: organisation.into(),
        shape: Some(shape),
        declared_ms,
        submitted_unix_ms: id as u64,
        ..Job::default()
    }
}

/// An organisation declares ten times what its jobs take. After some of them its declared times
/// are believed a tenth.
#[test]
fn declared_times_are_corrected_by_what_jobs_showed() {
    let mut estimates = estimate::Estimates::default();
    let shape = Shape { accelerators: 1, tasks: 1, ..Shape::default() };
    let job = |seconds: u64| job(1, "o", shape, seconds * 1_000);
    assert_eq!(estimates.expect(&job(1_000)).as_secs(), 1_000);
    for seconds in [100, 1_000, 300, 600, 2_000, 100, 1_000, 300, 600, 2_000] {
        estimates.observe(&job(seconds), Duration::from_secs(seconds / 10));
    }
    let expected = estimates.expect(&job(1_000)).as_secs();
    assert!((90..200).contains(&expected), "{expected}");
}

/// A worker fails each task that it starts while the others do well. After three jobs it is set
/// aside, and on its return once more, for longer; a success makes it well again.
#[test]
fn a_worker_that_fails_every_task_is_set_aside() {
    let mut health = health::Health::default();
    let good: Vec<String> = vec!["w1".into(), "w2".into()];
    for _ in 0..5 {
        health.succeeded(good.iter());
    }
    let second = Duration::from_secs(1);
    assert_eq!(health.failed(second, "bad", "j1"), None);
    assert_eq!(health.failed(second, "bad", "j1"), None, "one job failing twice is no streak");
    assert_eq!(health.failed(second, "bad", "j2"), None);
    assert_eq!(health.failed(second, "bad", "j3"), Some(second * 60));
    assert_eq!(health.aside(second * 60).collect::<Vec<_>>(), ["bad"]);
    assert_eq!(health.aside(second * 61).count(), 0);
    assert_eq!(health.failed(second * 70, "bad", "j4"), Some(second * 120));
    health.succeeded([String::from("bad")].iter());
    assert_eq!(health.failed(second * 300, "bad", "j5"), None);
}

/// Somebody submits two hundred jobs that all fail. They fail on every worker, and none is set
/// aside: the good jobs behind them need all of them.
#[test]
fn a_wave_of_bad_jobs_sets_no_worker_aside() {
    let mut health = health::Health::default();
    for job in 0..200 {
        let worker = format!("w{}", job % 6);
        health.failed(Duration::from_secs(job), &worker, &format!("j{job}"));
    }
    assert_eq!(health.aside(Duration::from_secs(200)).collect::<Vec<_>>(), Vec::<&String>::new());
}

const RULES: &str = "organisation a weight=2 # x\norganisation b # x\n\
    guarantee a accelerators=8 tasks=2 adjacency=rack zone=z # x\nquota b accelerators=20 # x\n";

fn workers() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::default();
    for index in 0..7 {
        let mut worker = fleet::Worker {
            zone: "z".into(),
            rack: format!("r{}", index / 3),
            capacity: amount(8),
            is_open: true,
            ..fleet::Worker::default()
        };
        if index < 2 {
            worker.bound.insert("a".into(), 8);
        }
        fleet.workers.insert(format!("w{index}"), worker);
    }
    fleet
}

fn shapes() -> impl Strategy<Value = (bool, Shape, u64)> {
    (any::<bool>(), 1..=8_u32, 1..=4_u32, 0..3_i32, 1..100_000_u64).prop_map(
        |(is_a, accelerators, tasks, adjacency, declared)| {
            (is_a, Shape { accelerators, tasks, adjacency, ..Shape::default() }, declared)
        },
    )
}

/// The same cases in every run.
fn fixed() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed())]

    /// Whatever waits: each start is a whole gang within its adjacency, borrowers take only what
    /// is free, and nobody borrows beyond its quota.
    #[test]
    fn a_pass_starts_only_whole_gangs_that_fit(jobs in proptest::collection::vec(shapes(), 0..40)) {
        let rules = file::File::parse(RULES).expect("the rules are good");
        let jobs: Vec<Job> = jobs
            .into_iter()
            .enumerate()
            .map(|(id, (is_a, shape, declared))| job(id, if is_a { "a" } else { "b" }, shape, declared))
            .collect();
        let estimates = estimate::Estimates::default();
        let waiting = jobs.iter().map(|job| pass::Waiting {
            job,
            waited: Duration::from_secs(job.submitted_unix_ms * 100),
            expected: estimates.expect(job),
        });
        let outcome = pass::pass(pass::Options {
            rules: &rules,
            fleet: workers(),
            waiting: waiting.collect(),
            running: &[],
            avoid: &[],
            mechanisms: pass::Mechanisms::default(),
        });
        let mut fleet = workers();
        let mut borrowed = 0;
        for start in &outcome.starts {
            let job = jobs.iter().find(|job| job.id == start.job).expect("it was waiting");
            let shape = job.shape.expect("it has one");
            let tasks: u32 = start.place.seats.iter().map(|seat| seat.tasks).sum();
            prop_assert_eq!(tasks, shape.tasks);
            let rack = |worker: &str| fleet.workers[worker].rack.clone();
            let first = rack(&start.place.seats[0].worker);
            let is_one_rack = start.place.seats.iter().all(|seat| rack(&seat.worker) == first);
            prop_assert!(is_one_rack || shape.adjacency() == Adjacency::Zone);
            prop_assert!(start.place.seats.len() == 1 || shape.adjacency() != Adjacency::Worker);
            for seat in &start.place.seats {
                fleet.take(&seat.worker, &job.organisation, &shape, seat.tasks, start.is_guaranteed);
            }
            if !start.is_guaranteed && job.organisation == "b" {
                borrowed += shape.accelerators * shape.tasks;
            }
        }
        prop_assert!(borrowed <= 20);
        for worker in fleet.workers.values() {
            let guaranteed: u32 = worker.guaranteed.values().sum();
            let borrows = worker.used.accelerators - guaranteed;
            prop_assert!(borrows <= 8 && guaranteed <= worker.bound.values().sum());
        }
        prop_assert_eq!(outcome.starts.len() + outcome.why.len(), jobs.len());
    }
}

/// A burst of urgent jobs meets workers that are all busy. Those that waited as long as their
/// expected run time allows were late half of the time, since run times are known only roughly.
#[test]
fn a_wait_of_the_whole_slack_is_late_half_of_the_time() {
    let job = wait::Job {
        age: Duration::ZERO,
        expected: estimate::Estimate { centre: Duration::from_millis(2_500), spread: 0.5 },
        overhead: Duration::from_millis(300),
        slack: 1.5,
        latency: Duration::from_millis(500),
    };
    let chances: Vec<String> = [0, 500, 800, 1_100, 1_450, 2_000, 2_500]
        .iter()
        .map(|wait| {
            let chance = wait::chance_late(&job, Duration::from_millis(*wait));
            format!("{wait} ms: {chance:.2}")
        })
        .collect();
    insta::assert_snapshot!(chances.join("\n"));
    let late = wait::Job { age: Duration::from_secs(9), ..job };
    assert!(wait::chance_late(&late, Duration::ZERO) > 0.99);
    let no_slack = wait::Job { slack: 1.0, age: Duration::from_secs(1), ..job };
    assert!(wait::chance_late(&no_slack, Duration::ZERO) > 0.99);
}

/// Work that a stop would throw away is waited for when it is much and stopped when it is little;
/// a job that is late in any case stops nothing that it can wait for.
#[test]
fn a_wait_is_weighed_against_what_a_stop_throws_away() {
    let job = wait::Job {
        age: Duration::ZERO,
        expected: estimate::Estimate { centre: Duration::from_millis(2_500), spread: 0.5 },
        overhead: Duration::from_millis(300),
        slack: 1.5,
        latency: Duration::from_millis(500),
    };
    let (short, long) = (Duration::from_millis(500), Duration::from_millis(1_500));
    let prefers_stop = |job: &wait::Job, stopped: f64| {
        wait::cost(job, short, stopped) < wait::cost(job, long, 0.0)
    };
    assert!(prefers_stop(&job, 100.0));
    assert!(!prefers_stop(&job, 1_000.0));
    let late = wait::Job { age: Duration::from_secs(9), ..job };
    assert!(!prefers_stop(&late, 10.0));
}

/// Ten times more batch work than the workers can do comes for minutes. Each job was taken in, and
/// all but the first waited until their callers had no use for them. Replayed second by second:
/// what is taken in can still be of use, the others are told when to come, and urgent jobs are
/// taken in all the time.
#[test]
fn an_overload_of_minutes_turns_away_what_would_come_too_late() {
    let room = Room { millicores: 5_600, memory_mib: 23_000, accelerators: 1 };
    let largest = Room { millicores: 64_000, memory_mib: 262_144, accelerators: 8 };
    let objective = Duration::from_secs(33);
    let batch = admit::Job { rooms: vec![room], priority: 2, objective };
    let urgent = admit::Job { priority: 0, ..batch.clone() };
    let mut drain = Duration::ZERO;
    let mut told = Vec::new();
    for second in 0..120_u64 {
        for _ in 0..10 {
            let supply = admit::Supply { largest, drain };
            match admit::admit(&batch, Some(&supply)) {
                admit::Outcome::Accept => drain += Duration::from_secs(1),
                admit::Outcome::Full { after } => told.push((second, after)),
                admit::Outcome::TooLarge { .. } => panic!("it fits"),
            }
            assert_eq!(admit::admit(&urgent, Some(&supply)), admit::Outcome::Accept);
        }
        assert!(drain <= objective * 3 + Duration::from_secs(1), "{drain:?}");
        drain = drain.saturating_sub(Duration::from_secs(1));
    }
    let (first, after) = told[0];
    assert!((9..=13).contains(&first), "turned away from second {first}");
    assert!(after >= Duration::from_secs(1));
}

/// A job with a task larger than any worker waits for ever. Nothing known of the workers, as after
/// a restart of all, turns nothing away.
#[test]
fn a_job_that_fits_no_worker_is_turned_away() {
    let largest = Room { millicores: 64_000, memory_mib: 262_144, accelerators: 8 };
    let supply = admit::Supply { largest, drain: Duration::ZERO };
    let job = |accelerators| admit::Job {
        rooms: vec![Room { millicores: 1_000, memory_mib: 1_000, accelerators }],
        priority: 0,
        objective: Duration::from_secs(10),
    };
    assert_eq!(admit::admit(&job(8), Some(&supply)), admit::Outcome::Accept);
    assert_matches!(admit::admit(&job(9), Some(&supply)), admit::Outcome::TooLarge { .. });
    assert_eq!(admit::admit(&job(9), None), admit::Outcome::Accept);
}

/// A committee's papers were late by 15 s, though nearly no work was lost: the job saves its
/// progress, so it was the cheapest to stop for three urgent ones in a row, the last time 7 s before
/// its objective. Work that is early by far is stopped first, and work that is late in any case.
#[test]
fn work_that_a_stop_makes_late_is_not_cheap_to_stop() {
    let cost = |priority, slack| wait::stop_lateness(priority, Duration::from_secs(slack));
    assert!(cost(1, 2) > 100.0);
    assert!(cost(1, 20) < 5.0);
    assert!(cost(2, 2) < cost(1, 2));
    assert_eq!(cost(1, 0).to_bits(), 0.0_f64.to_bits());
}

/// A step of fourteen tasks, each as large as one of eleven workers: a quarter of the workers does
/// it in six waves, all of them in two. With nine rounds left until it is late, two at a time are
/// enough; with one, all have to run at once; with less, it is late whatever is done.
#[test]
fn a_wide_step_is_done_in_waves() {
    let width = waves::Width { tasks: 14, fits: 11 };
    assert_eq!((waves::allowed(width), waves::at_best(width)), (6, 2));
    let narrow = waves::Width { tasks: 2, fits: 11 };
    assert_eq!((waves::allowed(narrow), waves::at_best(narrow)), (1, 1));
    let unknown = waves::Width { tasks: 14, fits: 0 };
    assert_eq!(waves::allowed(unknown), 1);
    let each = Duration::from_secs(2);
    let needed = |left| waves::needed(14, each, Duration::from_secs(left));
    assert_eq!([needed(18), needed(3), needed(1)], [Some(2), Some(14), None]);
}

/// Sound work is stopped and thrown away: a job runs eight times longer than declared, as do its
/// eleven siblings, and each looks like a slow worker. Its siblings show that it is just long; one
/// of them that is four times slower than the others is on a slow worker.
#[test]
fn a_long_job_blames_no_worker() {
    let secs = Duration::from_secs_f64;
    let kinds = estimate::Estimates::default();
    let kind = estimate::Kind { name: "q", size: 0 };
    let declared = kinds.estimate_kind(kind, secs(1.0));
    assert_ne!(pace::compare(secs(8.0), &[declared]), pace::Verdict::Slow);
    let seen = estimate::Seen { median: secs(8.0), count: 3 };
    let siblings = estimate::Estimate::of_siblings(seen);
    assert_eq!(pace::compare(secs(8.4), &[declared, siblings]), pace::Verdict::Sound);
    assert_eq!(pace::compare(secs(32.0), &[declared, siblings]), pace::Verdict::Slow);
    let later = declared.with_siblings(Some(seen));
    assert!(later.centre > secs(6.0) && later.spread < declared.spread / 2.0, "{later:?}");
}

/// A worker turns slow while a task runs there, of a kind that nobody has seen before. Its own
/// earlier pace shows it within two seconds, well before anything of its kind has ended.
#[test]
fn a_change_of_pace_shows_a_slow_worker() {
    let ms = Duration::from_millis;
    let mut track = pace::Track::new(ms(0), 1);
    for time in (400..=2_000).step_by(400) {
        track.note(ms(time), 1 + (time / 80) as u32, ms(400));
    }
    let own = estimate::Estimate { centre: track.best().expect("told"), spread: pace::SAME_TASK };
    let verdict = |time, percent| {
        let whole = track.present(ms(time), percent).expect("long enough");
        pace::compare(whole, &[own])
    };
    assert_eq!(verdict(3_200, 40), pace::Verdict::Sound);
    assert_eq!(verdict(3_800, 29), pace::Verdict::Slow, "six times slower");
}

/// Declared times are off by a factor of ten either way at one customer and by a fifth at another.
/// The spread that is learned follows, and with it how sure each decision is.
#[test]
fn the_spread_of_run_times_is_learned() {
    let kind = estimate::Kind { name: "q", size: 0 };
    let learn = |error: f64| {
        let mut kinds = estimate::Estimates::default();
        let mut random = 7_u64;
        for _ in 0..30 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let unit = (random >> 40) as f64 / f64::from(1 << 24) * 2.0 - 1.0;
            let ran = 4.0 * (0.5 * unit).exp();
            let declared = ran * (error * unit).exp();
            kinds.observe_kind(
                kind,
                Duration::from_secs_f64(declared),
                Duration::from_secs_f64(ran),
            );
        }
        kinds.estimate_kind(kind, Duration::from_secs(4)).spread
    };
    let (near, far) = (learn(0.1), learn(-2.0));
    assert!(near < 0.35 && far > near, "{near} {far}");
}

/// A gang of twelve whole workers stands still for five seconds after nine seconds of work, and
/// would have gone on. It was stopped after one, and 10,000 processor seconds were done again. It
/// waits for as long as a restart would repeat; a task that has just begun goes elsewhere at once.
#[test]
fn what_stands_still_waits_as_long_as_a_restart_costs() {
    let secs = Duration::from_secs;
    assert!(!pace::is_worth_restarting(secs(5), secs(9)));
    assert!(pace::is_worth_restarting(secs(9), secs(9)));
    assert!(pace::is_worth_restarting(secs(2), secs(1)));
    let long = pace::still_after(Some(secs(20)), secs(20));
    assert_eq!(long, secs(2), "each per cent of it takes a fifth of a second");
    assert_eq!(pace::still_after(None, secs(20)), secs(5));
    // When it goes on, the time in which it stood still does not make it look slow.
    let ms = Duration::from_millis;
    let mut track = pace::Track::new(ms(0), 1);
    for time in (400..=4_000).step_by(400) {
        track.note(ms(time), 1 + (time / 80) as u32, ms(400));
    }
    track.note(ms(9_400), 52, ms(5_400));
    let whole = track.present(ms(10_400), 64).expect("long enough");
    let own = estimate::Estimate { centre: track.best().expect("told"), spread: pace::SAME_TASK };
    assert_eq!(pace::compare(whole, &[own]), pace::Verdict::Sound);
}

/// Two workers are full: one task ends by itself in a second, the other has run for long. An
/// urgent task that has time waits for the first; one whose time is up stops the cheaper.
#[test]
fn an_urgent_group_waits_or_stops_by_what_each_costs() {
    let room = Room { accelerators: 8, ..Room::default() };
    let place =
        |name: &str| seat::Place { worker: name.into(), capacity: room, ..Default::default() };
    let places = [place("w1"), place("w2")];
    let candidate = |at: usize, remaining: u64, cost: f64| clear::Candidate {
        priority: 1,
        is_guaranteed: false,
        is_stopping: false,
        remaining: Duration::from_millis(remaining),
        victim: evict::Victim { cost, seats: vec![(at, room)] },
    };
    let candidates = [candidate(0, 1_000, 600.0), candidate(1, 9_000, 200.0)];
    let ask = seat::Ask { tasks: 1, room, ..seat::Ask::default() };
    let urgent = clear::Urgent { ask: &ask, reach: seat::Reach::Far, is_guaranteed: false };
    let job = |latency: u64| wait::Job {
        age: Duration::ZERO,
        expected: estimate::Estimate { centre: Duration::from_secs(3), spread: 0.3 },
        overhead: Duration::from_millis(300),
        slack: 1.5,
        latency: Duration::from_millis(latency),
    };
    let (limit, stop) = (clear::LONGEST_WAIT, Duration::from_millis(400));
    let weigh = |job| clear::weigh(&places, &candidates, urgent, &job, limit, stop);
    let patient = weigh(job(2_000)).expect("there is room to be had");
    assert_eq!((patient.stops.as_slice(), patient.cost), (&[][..], 0.0));
    let forced = clear::choose(&places, &candidates, urgent, Duration::ZERO, stop);
    assert_eq!(forced.expect("there is room to be had").stops, [1]);
    let whole = clear::Candidate { priority: 0, ..candidates[0].clone() };
    assert_eq!(clear::choose(&places[..1], &[whole], urgent, Duration::ZERO, stop), None);
}

fn place(worker: &str, rack: &str, capacity: u64, free: u64) -> seat::Place {
    let room = |accelerators| Room { millicores: 1_000, memory_mib: 1_000, accelerators };
    seat::Place {
        worker: worker.into(),
        rack: rack.into(),
        capacity: room(capacity),
        free: if free == 0 { Room::default() } else { room(free) },
        ..seat::Place::default()
    }
}

/// Guards against room that is kept for two groups at once: the second would find it taken, and
/// what comes free elsewhere meanwhile would go to others.
#[test]
fn room_is_kept_for_each_of_several_groups_apart() {
    let whole = Room { millicores: 1_000, memory_mib: 1_000, accelerators: 8 };
    let mut places = vec![place("w1", "r1", 8, 0), place("w2", "r1", 8, 0)];
    let seats = [[(0, whole)], [(1, whole)]];
    let running: Vec<reserve::Running<'_>> = [3, 6]
        .into_iter()
        .zip(&seats)
        .map(|(seconds, seats)| reserve::Running { remaining: Duration::from_secs(seconds), seats })
        .collect();
    let ask = seat::Ask { tasks: 1, room: whole, ..seat::Ask::default() };
    let mut keep = || reserve::Reservation::new(&mut places, &running, &ask, seat::Reach::Far);
    let (first, second, third) = (keep(), keep(), keep());
    assert_eq!(first.wait(), Duration::from_secs(3));
    assert_eq!(second.wait(), Duration::from_secs(6));
    assert_eq!(third, reserve::Reservation::default(), "nothing is left to keep");
}

/// A gang that wants one rack is to stop the cheapest work that makes room in one rack, whatever
/// runs in the others: the racks are searched one by one, and each finds the same as alone.
#[test]
fn a_rack_is_searched_as_if_there_were_no_other() {
    let room = |accelerators| Room { millicores: 0, memory_mib: 0, accelerators };
    let places: Vec<seat::Place> = (0..6)
        .map(|at| seat::Place {
            worker: format!("w{at}").into(),
            rack: format!("r{}", at / 2).into(),
            capacity: room(8),
            ..seat::Place::default()
        })
        .collect();
    let victims: Vec<evict::Victim> = (0..24)
        .map(|at: usize| evict::Victim {
            cost: ((at * 7) % 24) as f64,
            seats: vec![(at % 6, room(2))],
        })
        .collect();
    let ask = seat::Ask { tasks: 2, room: room(6), wants_one_rack: true, ..seat::Ask::default() };
    let offers: Vec<evict::Offer<'_>> =
        victims.iter().map(|victim| victim.at_cost(victim.cost)).collect();
    let all = evict::choose(&places, &offers, &ask, seat::Reach::Near).expect("three racks");
    let alone = (0..3).map(|rack: usize| {
        let is_here = |at: usize| at / 2 == rack;
        let offers: Vec<evict::Offer<'_>> = (victims.iter())
            .filter(|victim| is_here(victim.seats[0].0))
            .map(|victim| victim.at_cost(victim.cost))
            .collect();
        evict::choose(&places, &offers, &ask, seat::Reach::Near).expect("one rack").cost
    });
    let least = alone.fold(f64::MAX, f64::min);
    assert_eq!(all.cost.to_bits(), least.to_bits());
    assert_eq!(all.victims.len(), 6);
}

/// Guards against a member of a gang that goes elsewhere than where an earlier start of it may
/// still be carried out.
#[test]
fn tasks_that_may_go_to_one_worker_only_go_there() {
    let places = [place("w1", "r1", 8, 8), place("w2", "r1", 8, 8), place("w3", "r2", 8, 4)];
    let bound = |pairs: &[(u32, &str)]| seat::Ask {
        tasks: 3,
        room: Room { accelerators: 4, ..Room::default() },
        bound: pairs.iter().map(|(task, worker)| (*task, (*worker).to_owned())).collect(),
        ..seat::Ask::default()
    };
    let seat = |ask: &seat::Ask, reach| {
        let seats = seat::seat(&places, ask, reach)?;
        let named = |seat: &seat::Seat| (places[seat.place].worker.to_string(), seat.tasks);
        Some(seats.iter().map(named).collect::<Vec<_>>())
    };
    let one = bound(&[(2, "w3")]);
    insta::assert_snapshot!(
        format!("{:?}", seat(&one, seat::Reach::Far)),
        @r#"Some([("w3", 1), ("w1", 2)])"#
    );
    let two = bound(&[(0, "w2"), (1, "w1")]);
    let seats = seat(&two, seat::Reach::Far).expect("there is room");
    assert!(
        seats.iter().any(|(name, _)| name == "w1") && seats.iter().any(|(name, _)| name == "w2")
    );
    assert_eq!(seat(&bound(&[(0, "w3"), (1, "w3")]), seat::Reach::Far), None, "one has room there");
    assert_eq!(seat(&bound(&[(0, "w9")]), seat::Reach::Far), None, "it is not there");
    let in_one_rack = seat::Ask { wants_one_rack: true, ..one };
    assert_eq!(seat(&in_one_rack, seat::Reach::Near), None, "its rack has room for one");
}
