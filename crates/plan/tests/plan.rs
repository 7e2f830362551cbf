//! Tests of the placement of gangs and of the binding of guarantees.

use sapphire_plan::{bind, fleet, place};
use sapphire_rules::file;
use sapphire_wire::{Adjacency, Shape, resource};

/// Workers of 8 accelerators, three to a rack, all in one zone and free to be given work.
fn workers(count: usize) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::default();
    for index in 0..count {
        let worker = fleet::Worker {
            region: "norte".into(),
            zone: "norte-a".into(),
            rack: format!("r{}", index / 3),
            capacity: resource::Amount { accelerators: 8, processors: 64, memory_bytes: 256 << 30 },
            is_open: true,
            ..fleet::Worker::default()
        };
        fleet.workers.insert(format!("w{index}"), worker);
    }
    fleet
}

fn shape(accelerators: u32, tasks: u32, adjacency: Adjacency) -> Shape {
    Shape { accelerators, tasks, adjacency: adjacency as i32, ..Shape::default() }
}

#[test]
fn a_gang_is_placed_completely_or_not_at_all() {
    let fleet = workers(4);
    let fits = shape(8, 3, Adjacency::Rack);
    let outcome = place::place(&fleet, &place::Options::borrowing("o", &fits));
    assert_eq!(outcome.expect("one rack is free").group, "norte-a/r0");
    let too_wide = shape(8, 4, Adjacency::Rack);
    assert_eq!(place::place(&fleet, &place::Options::borrowing("o", &too_wide)), None);
    let zone = shape(8, 4, Adjacency::Zone);
    assert!(place::place(&fleet, &place::Options::borrowing("o", &zone)).is_some());
}

#[test]
fn a_small_job_is_placed_on_the_worker_with_the_least_left_free() {
    let mut fleet = workers(2);
    fleet.allocate("w1", "o", &shape(6, 1, Adjacency::Worker), 1, false);
    let small = shape(2, 1, Adjacency::Worker);
    let outcome = place::place(&fleet, &place::Options::borrowing("o", &small));
    assert_eq!(outcome.expect("it fits").group, "w1");
}

#[test]
fn a_borrower_avoids_accelerators_bound_to_others() {
    let mut fleet = workers(2);
    let bound = fleet.workers.get_mut("w0").expect("made above");
    bound.bound.insert("other".into(), 8);
    let gang = shape(8, 1, Adjacency::Worker);
    let outcome = place::place(&fleet, &place::Options::borrowing("o", &gang));
    assert_eq!(outcome.expect("it fits").group, "w1");
}

#[test]
fn guarantees_are_bound_and_shortfalls_are_reported() {
    let text = "organisation a # x\norganisation b # x\n\
                guarantee a accelerators=8 tasks=2 adjacency=rack count=2 zone=norte-a # x\n\
                guarantee b accelerators=8 tasks=3 adjacency=rack zone=norte-a # x\n";
    let rules = file::File::parse(text).expect("the rules are valid");
    let fleet = workers(6);
    let guarantees: Vec<_> = rules.guarantees().collect();
    let options = bind::Options { guarantees, fleet: &fleet, previous: &[] };
    insta::assert_debug_snapshot!(bind::bind(&options));
}

#[test]
fn the_loss_of_a_worker_moves_only_its_own_binding() {
    let text = "organisation a # x\n\
                guarantee a accelerators=8 tasks=1 adjacency=worker count=3 zone=norte-a # x\n";
    let rules = file::File::parse(text).expect("the rules are valid");
    let mut fleet = workers(6);
    let bind = |fleet: &fleet::Fleet, previous: &[sapphire_wire::Binding]| {
        let guarantees = rules.guarantees().collect();
        bind::bind(&bind::Options { guarantees, fleet, previous }).bindings
    };
    let before = bind(&fleet, &[]);
    let lost = before[1].worker.clone();
    fleet.workers.get_mut(&lost).expect("bound to it").is_open = false;
    let after = bind(&fleet, &before);
    let kept = after.iter().filter(|binding| before.contains(binding)).count();
    assert_eq!((after.len(), kept), (3, 2));
}

mod decisions;
mod quorum;
mod shares;
mod speed;
mod stops;
mod tiers;
