//! Measures recovery times in virtual time by kind of fault, and the traffic between regions:
//! `cargo run --release --package sapphire-proofs --example recovery`.

use std::time::Duration;

use sapphire_proofs::{chaos, simulation::Simulation};
use serde_json::json;

const SECOND: Duration = Duration::from_secs(1);
/// Longest time to wait for a recovery.
const MAX_RECOVERY: Duration = Duration::from_secs(60);
const SEEDS: u64 = 20;

/// Fault, how long it lasts before it is repaired, and the repair.
struct Fault {
    name: &'static str,
    inject: fn(&mut Simulation),
    duration: Duration,
    repair: fn(&mut Simulation),
}

fn no_repair(_: &mut Simulation) {}

fn kill_vms(sim: &mut Simulation, names: &[&str]) {
    names.iter().for_each(|name| sim.kill_vm(name));
}

fn repair_network(sim: &mut Simulation) {
    sim.network = Default::default();
}

const FAULTS: [Fault; 7] = [
    Fault {
        name: "planning entry lost",
        inject: |sim| {
            let planner = sim.planner("norte").expect("an entry plans");
            sim.kill_entry(&planner);
        },
        duration: Duration::ZERO,
        repair: no_repair,
    },
    Fault {
        name: "agent process lost",
        inject: |sim| sim.kill_agent("a4"),
        duration: Duration::ZERO,
        repair: |sim| sim.start_agent("a4"),
    },
    Fault {
        name: "VM lost",
        inject: |sim| kill_vms(sim, &["a4"]),
        duration: Duration::ZERO,
        repair: no_repair,
    },
    Fault {
        name: "rack lost",
        inject: |sim| kill_vms(sim, &["a4", "a5", "a6"]),
        duration: Duration::ZERO,
        repair: no_repair,
    },
    Fault {
        name: "zone lost",
        inject: |sim| {
            kill_vms(sim, &["a4", "a5", "a6"]);
            sim.kill_entry("e2");
        },
        duration: Duration::ZERO,
        repair: no_repair,
    },
    Fault {
        name: "store out for an hour",
        inject: |sim| sim.store_faults.is_down = true,
        duration: Duration::from_secs(3_600),
        repair: |sim| sim.store_faults = Default::default(),
    },
    Fault {
        name: "regions cut for an hour",
        inject: |sim| {
            sim.network.partitions.push(("norte".into(), "centro".into()));
            sim.network.partitions.push(("norte".into(), "lisboa".into()));
            sim.network.partitions.push(("centro".into(), "lisboa".into()));
        },
        duration: Duration::from_secs(3_600),
        repair: repair_network,
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

/// A running entry of the first region.
fn entry(sim: &Simulation) -> &'static str {
    if sim.entries["e1"].machine.is_some() { "e1" } else { "e2" }
}

/// Time until a job that is submitted repeatedly with one key is accepted by a running entry.
fn until_accepted(sim: &mut Simulation, key: &str) -> Duration {
    let begin = sim.now;
    while sim.now < begin + MAX_RECOVERY {
        let at = entry(sim);
        let caller = sim.submit(at, &job(key, "sleep 100ms"));
        sim.run_until_answer(caller, SECOND * 10);
        if sim.answer(caller).is_some_and(|(status, _)| status == 201) {
            break;
        }
        sim.run(SECOND / 10);
    }
    sim.now - begin
}

/// Time until a repeated service request is answered.
fn until_served(sim: &mut Simulation, seed: u64) -> Duration {
    let begin = sim.now;
    for number in 0.. {
        let at = entry(sim);
        let caller = sim.request(at, &format!("after-{seed}-{number}"), true);
        sim.run_until_answer(caller, SECOND * 30);
        let is_served = sim.answers.get(&caller).is_some_and(|(_, answer)| answer.status == 200);
        if is_served || sim.now >= begin + MAX_RECOVERY {
            break;
        }
        sim.run(SECOND / 10);
    }
    sim.now - begin
}

/// Time until all tasks of the gang that ran before the fault are running: not lost at all, or
/// started in a later attempt.
fn until_complete(sim: &mut Simulation, fault_at: Duration) -> Duration {
    while sim.now < fault_at + MAX_RECOVERY {
        let running = sim.agents.values().flat_map(|host| {
            let tasks = host.worker.tasks.iter();
            tasks.filter(|(id, task)| id.contains("long") && task.ended.is_none()).map(|(id, _)| id)
        });
        if running.count() == 2 {
            break;
        }
        sim.run(SECOND / 100);
    }
    sim.now - fault_at
}

fn row(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let (p50, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{name:45} p50 {:6.2}s  worst {:6.2}s", p50.as_secs_f64(), worst.as_secs_f64());
}

fn inject(sim: &mut Simulation, fault: &Fault) {
    (fault.inject)(sim);
    sim.run(fault.duration);
    (fault.repair)(sim);
}

fn bootstrapped(seed: u64) -> Simulation {
    let mut sim = Simulation::three_regions(seed);
    sim.bootstrap(chaos::RULES);
    sim.submit("e2", &job("long", "sleep 9000000ms"));
    let offset = Duration::from_millis(3_000 + seed * 37);
    sim.run(offset);
    sim
}

fn main() {
    for fault in &FAULTS {
        let (mut complete, mut accepted, mut served) = (Vec::new(), Vec::new(), Vec::new());
        let seeds = if fault.duration.is_zero() { SEEDS } else { 3 };
        for seed in 1..=seeds {
            let mut sim = bootstrapped(seed);
            inject(&mut sim, fault);
            let now = sim.now;
            complete.push(until_complete(&mut sim, now));
            let mut sim = bootstrapped(seed);
            inject(&mut sim, fault);
            accepted.push(until_accepted(&mut sim, "after"));
            let mut sim = bootstrapped(seed);
            inject(&mut sim, fault);
            served.push(until_served(&mut sim, seed));
        }
        row(&format!("{}: running gang whole", fault.name), complete);
        row(&format!("{}: next job accepted", fault.name), accepted);
        row(&format!("{}: next request served", fault.name), served);
    }
    traffic();
}

/// Measures the bytes that are sent, in total and between regions, by cause.
fn traffic() {
    let mut sim = bootstrapped(1);
    let mut measure = |cause: &str, per: u64, act: &mut dyn FnMut(&mut Simulation)| {
        let idle = {
            let before = (sim.bytes, sim.cross_region_bytes);
            sim.run(SECOND * 60);
            (sim.bytes - before.0, sim.cross_region_bytes - before.1)
        };
        let before = (sim.bytes, sim.cross_region_bytes);
        act(&mut sim);
        sim.run(SECOND * 60);
        let all = (sim.bytes - before.0).saturating_sub(idle.0) / per;
        let cross_region = (sim.cross_region_bytes - before.1).saturating_sub(idle.1) / per;
        println!("{cause:45} all {all} bytes, between regions {cross_region} bytes");
    };
    measure("one request of 9 bytes", 100, &mut |sim| {
        for number in 0..100 {
            sim.request("e2", &format!("bytes-{number:03}"), false);
        }
    });
    measure("one job of two tasks", 20, &mut |sim| {
        for number in 0..20 {
            sim.submit("e2", &job(&format!("bytes-{number}"), "sleep 100ms"));
        }
    });
    measure("one rule change", 1, &mut |sim| {
        sim.apply("e1", 1, chaos::RULES);
    });
    let before = (sim.bytes, sim.cross_region_bytes);
    sim.run(SECOND * 60);
    let (all, cross_region) = (sim.bytes - before.0, sim.cross_region_bytes - before.1);
    println!(
        "{:45} all {all} bytes, between regions {cross_region} bytes",
        "an idle minute, 4 entries and 12 agents"
    );
    println!("store calls so far: {:?}", sim.store.counts);
}
