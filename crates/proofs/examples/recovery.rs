//! Recovery times in virtual time by kind of fault, and bytes between regions:
//! `cargo run --release --package sapphire-proofs --example recovery`.

use std::time::Duration;

use sapphire_proofs::{chaos, world::World};
use serde_json::json;

const SECOND: Duration = Duration::from_secs(1);
/// Longest recovery looked for.
const MOST: Duration = Duration::from_secs(60);
const SEEDS: u64 = 20;

/// A fault and what puts it right, if it does not stay.
struct Fault {
    name: &'static str,
    strike: fn(&mut World),
    lasts: Duration,
    mend: fn(&mut World),
}

fn nothing(_: &mut World) {}

fn lose(world: &mut World, names: &[&str]) {
    names.iter().for_each(|name| world.kill_vm(name));
}

fn mend_network(world: &mut World) {
    world.network = Default::default();
}

const FAULTS: [Fault; 7] = [
    Fault {
        name: "planning entry lost",
        strike: |world| {
            let planner = world.planner("norte").expect("settled");
            world.kill_entry(&planner);
        },
        lasts: Duration::ZERO,
        mend: nothing,
    },
    Fault {
        name: "agent process lost",
        strike: |world| world.kill_agent("a4"),
        lasts: Duration::ZERO,
        mend: |world| world.start_agent("a4"),
    },
    Fault {
        name: "VM lost",
        strike: |world| lose(world, &["a4"]),
        lasts: Duration::ZERO,
        mend: nothing,
    },
    Fault {
        name: "rack lost",
        strike: |world| lose(world, &["a4", "a5", "a6"]),
        lasts: Duration::ZERO,
        mend: nothing,
    },
    Fault {
        name: "zone lost",
        strike: |world| {
            lose(world, &["a4", "a5", "a6"]);
            world.kill_entry("e2");
        },
        lasts: Duration::ZERO,
        mend: nothing,
    },
    Fault {
        name: "store out for an hour",
        strike: |world| world.store_faults.is_down = true,
        lasts: Duration::from_secs(3_600),
        mend: |world| world.store_faults = Default::default(),
    },
    Fault {
        name: "regions cut for an hour",
        strike: |world| {
            world.network.cuts.push(("norte".into(), "centro".into()));
            world.network.cuts.push(("norte".into(), "lisboa".into()));
            world.network.cuts.push(("centro".into(), "lisboa".into()));
        },
        lasts: Duration::from_secs(3_600),
        mend: mend_network,
    },
];

fn job(key: &str, command: &str) -> serde_json::Value {
    json!({
        "organisation": "archive",
        "shape": { "accelerators": 8, "tasks": 2, "adjacency": "rack" },
        "command": command,
        "idempotent": true,
        "key": key,
    })
}

/// An entry of the first region that lives.
fn entry(world: &World) -> &'static str {
    if world.entries["e1"].machine.is_some() { "e1" } else { "e2" }
}

/// Time until a job that is submitted again and again with one key is accepted at an
/// entry that lives.
fn until_accepted(world: &mut World, key: &str) -> Duration {
    let begin = world.now;
    while world.now < begin + MOST {
        let at = entry(world);
        let caller = world.submit(at, &job(key, "sleep 100ms"));
        world.run_until_answer(caller, SECOND * 10);
        if world.answer(caller).is_some_and(|(status, _)| status == 201) {
            break;
        }
        world.run(SECOND / 10);
    }
    world.now - begin
}

/// Time until a request made again and again is answered.
fn until_served(world: &mut World, seed: u64) -> Duration {
    let begin = world.now;
    for number in 0.. {
        let at = entry(world);
        let caller = world.request(at, &format!("after-{seed}-{number}"), true);
        world.run_until_answer(caller, SECOND * 30);
        let is_served = world.answers.get(&caller).is_some_and(|(_, answer)| answer.status == 200);
        if is_served || world.now >= begin + MOST {
            break;
        }
        world.run(SECOND / 10);
    }
    world.now - begin
}

/// Time until the gang that ran when the fault struck is whole again: never lost, or running in
/// a later attempt.
fn until_whole(world: &mut World, killed_at: Duration) -> Duration {
    while world.now < killed_at + MOST {
        let running = world.agents.values().flat_map(|guarded| {
            let tasks = guarded.worker.tasks.iter();
            tasks.filter(|(id, task)| id.contains("long") && task.ended.is_none()).map(|(id, _)| id)
        });
        if running.count() == 2 {
            break;
        }
        world.run(SECOND / 100);
    }
    world.now - killed_at
}

fn row(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let (p50, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{name:45} p50 {:6.2}s  worst {:6.2}s", p50.as_secs_f64(), worst.as_secs_f64());
}

fn strike(world: &mut World, fault: &Fault) {
    (fault.strike)(world);
    world.run(fault.lasts);
    (fault.mend)(world);
}

fn settled(seed: u64) -> World {
    let mut world = World::three_regions(seed);
    world.settle(chaos::RULES);
    world.submit("e2", &job("long", "sleep 9000000ms"));
    let offset = Duration::from_millis(3_000 + seed * 37);
    world.run(offset);
    world
}

fn main() {
    for fault in &FAULTS {
        let (mut whole, mut accepted, mut served) = (Vec::new(), Vec::new(), Vec::new());
        let seeds = if fault.lasts.is_zero() { SEEDS } else { 3 };
        for seed in 1..=seeds {
            let mut world = settled(seed);
            strike(&mut world, fault);
            let now = world.now;
            whole.push(until_whole(&mut world, now));
            let mut world = settled(seed);
            strike(&mut world, fault);
            accepted.push(until_accepted(&mut world, "after"));
            let mut world = settled(seed);
            strike(&mut world, fault);
            served.push(until_served(&mut world, seed));
        }
        row(&format!("{}: running gang whole", fault.name), whole);
        row(&format!("{}: next job accepted", fault.name), accepted);
        row(&format!("{}: next request served", fault.name), served);
    }
    traffic();
}

/// Bytes between regions, in all and by cause.
fn traffic() {
    let mut world = settled(1);
    let mut measure = |what: &str, per: u64, act: &mut dyn FnMut(&mut World)| {
        let idle = {
            let before = (world.bytes, world.far_bytes);
            world.run(SECOND * 60);
            (world.bytes - before.0, world.far_bytes - before.1)
        };
        let before = (world.bytes, world.far_bytes);
        act(&mut world);
        world.run(SECOND * 60);
        let all = (world.bytes - before.0).saturating_sub(idle.0) / per;
        let far = (world.far_bytes - before.1).saturating_sub(idle.1) / per;
        println!("{what:45} all {all} bytes, between regions {far} bytes");
    };
    measure("one request of 9 bytes", 100, &mut |world| {
        for number in 0..100 {
            world.request("e2", &format!("bytes-{number:03}"), false);
        }
    });
    measure("one job of two tasks", 20, &mut |world| {
        for number in 0..20 {
            world.submit("e2", &job(&format!("bytes-{number}"), "sleep 100ms"));
        }
    });
    measure("one rule change", 1, &mut |world| {
        world.apply("e1", 1, chaos::RULES);
    });
    let before = (world.bytes, world.far_bytes);
    world.run(SECOND * 60);
    let (all, far) = (world.bytes - before.0, world.far_bytes - before.1);
    println!(
        "{:45} all {all} bytes, between regions {far} bytes",
        "an idle minute, 4 entries and 12 agents"
    );
    println!("store calls so far: {:?}", world.store.counts);
}
