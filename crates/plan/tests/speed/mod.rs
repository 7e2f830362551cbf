//! Tests of the learning of workers' speeds.

mod world;

use std::thread;

use world::World;

/// Gangs and steps of a day, from a day of gangs alone to a day of steps alone.
const LOADS: [(usize, usize); 5] = [(600, 50), (300, 50), (150, 50), (100, 100), (0, 220)];
/// Periods of slowness in a day.
const EPISODES: usize = 8;

/// Returns workers of which each third one has another slowness.
fn mixed(slow: f64, fast: f64) -> Vec<f64> {
    (0..60).map(|at| if at % 3 == 0 { slow } else { fast }).collect()
}

fn day(seed: u64, slowness: Vec<f64>, load: (usize, usize)) -> World {
    day_of(World::new(seed, slowness), load)
}

fn day_of(mut world: World, (gangs, steps): (usize, usize)) -> World {
    world.add_episodes(EPISODES);
    world.day(gangs, steps);
    world
}

/// Guards against workers of one speed that count as unequal because of long tasks, periods of
/// slowness or wrong declared times, at any time of a day.
#[test]
fn equal_workers_count_as_equal() {
    for unequal_from in [1.15, 1.5] {
        let was_unequal = |seed: &u64| {
            let load = LOADS[*seed as usize % LOADS.len()];
            let world = World::with_bound(*seed, mixed(1.0, 1.0), unequal_from);
            day_of(world, load).was_unequal
        };
        let seeds: Vec<u64> = (0..DAYS).collect();
        let unequal: Vec<u64> = thread::scope(|scope| {
            let count = |part| scope.spawn(move || -> Vec<u64> { filter(part, &was_unequal) });
            let parts: Vec<_> = seeds.chunks(DAYS as usize / THREADS).map(count).collect();
            parts.into_iter().flat_map(|part| part.join().expect("no panic")).collect()
        });
        assert!(unequal.len() as u64 <= DAYS / 1_000, "from={unequal_from} {unequal:?}");
    }
}

fn filter(seeds: &[u64], is_wanted: &impl Fn(&u64) -> bool) -> Vec<u64> {
    seeds.iter().copied().filter(is_wanted).collect()
}

const THREADS: usize = 4;

/// Number of days that are simulated.
const DAYS: u64 = 1_000;

/// Guards against lasting differences that are not learned within a day.
#[test]
fn clear_differences_are_learned_in_a_day() {
    for load in LOADS {
        let (mut known, mut large) = (0, 0.0);
        for seed in 0..10 {
            let world = day(seed, mixed(1.7, 0.7), load);
            known += u32::from(world.speeds.is_unequal());
            large += world.errors().1 / 10.0;
        }
        println!("load={load:?} known={known} large_errors={large:.2}");
        assert!(known >= 9 && large < 0.2, "load={load:?} known={known} large_errors={large:.2}");
    }
}

/// Guards against small differences that are never learned.
#[test]
fn small_differences_are_learned_from_many_runs() {
    let mut known = 0;
    for seed in 0..10 {
        let mut world = World::new(seed, mixed(1.3, 1.0));
        world.day(0, 660);
        println!("ratio={:.1} errors={:?}", world.speeds.log_ratio(), world.errors());
        known += u32::from(world.speeds.is_unequal());
    }
    assert!(known >= 8, "known={known}");
}

/// Guards against evidence that outlives a change of speed, and newcomers that are avoided or
/// preferred.
#[test]
fn a_change_of_speed_is_learned_and_newcomers_are_at_the_mean() {
    let mut world = day(1, mixed(1.7, 0.7), (100, 100));
    let slowness = |world: &World, name: &str| world.speeds.slowness(name).get();
    let newcomer = slowness(&world, "new");
    assert!((0.85..1.2).contains(&newcomer), "newcomer={newcomer}");
    let before = slowness(&world, "w0");
    world.slowness[0] = 0.7;
    world.episodes.clear();
    world.day(100, 100);
    let after = slowness(&world, "w0");
    assert!(before > 1.4 && after < 1.0, "before={before} after={after}");
    let logs = world.names.iter().map(|name| slowness(&world, name).ln());
    let mean = logs.sum::<f64>() / world.names.len() as f64;
    assert!(mean.abs() < 0.02, "mean={mean}");
}

/// Guards against some seconds of slowness that count as lasting once the workers count as unequal.
#[test]
fn some_seconds_of_slowness_do_not_count_as_lasting() {
    let mut world = day(2, mixed(1.7, 0.7), (100, 100));
    world.episodes = vec![(1, 10.0)];
    world.day(100, 100);
    let slowness = world.speeds.slowness("w1").get();
    assert!(slowness < 1.0, "slowness={slowness}");
}

/// Guards against a successor that starts from nothing: the records contain what is needed.
#[test]
fn records_restore_what_is_known() {
    let world = day(3, mixed(1.7, 0.7), (100, 100));
    let mut next = World::new(3, mixed(1.7, 0.7));
    let record = |name: &String| world.speeds.record(name).expect("all workers were observed");
    next.speeds.restore(world.names.iter().map(|name| (name.as_str(), record(name))), true);
    assert!(next.speeds.is_unequal());
    let ((_, before), (_, after)) = (world.errors(), next.errors());
    assert!(after <= before + 0.05, "before={before} after={after}");
}
