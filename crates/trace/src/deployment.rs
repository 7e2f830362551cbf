//! The deployments of both members, Atlântica and Pastizal, as one cell each.

use sapphire_plan::fleet::{Fleet, Worker};
use sapphire_rules::file::File;
use sapphire_wire::{Adjacency, Shape, resource};

/// A cell with its rules, its workers and the organisations that use it.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Rules in force.
    pub rules: File,
    /// Workers, all idle.
    pub fleet: Fleet,
    /// Largest guaranteed shape.
    pub largest: Shape,
    /// Organisations, each with its share of the load and the factor between its actual and its
    /// declared run times.
    pub organisations: [(&'static str, f64, f64); 4],
}

const ATLANTICA: &str = "\
organisation supervisors weight=3 priority=2 # Ines\n\
organisation graduate-offices weight=2 priority=1 # Ines\n\
organisation candidates weight=1 # Rui\n\
organisation archive weight=1 # Rui\n\
guarantee supervisors accelerators=8 tasks=2 adjacency=rack zone=z # Ines\n\
guarantee graduate-offices accelerators=4 tasks=2 adjacency=worker zone=z # Ines\n\
reclaim grace=10s # Ines\n\
balance completion=70 fragmentation=30 # Ines\n";

const PASTIZAL: &str = "\
organisation consortium weight=4 priority=2 # Catalina\n\
organisation agronomists weight=2 priority=1 # Catalina\n\
organisation herd-managers weight=2 # Tomas\n\
organisation lenders weight=1 # Tomas\n\
guarantee consortium accelerators=8 tasks=3 adjacency=rack zone=z # Catalina\n\
guarantee agronomists accelerators=2 tasks=4 adjacency=worker zone=z # Catalina\n\
reclaim grace=10s # Catalina\n\
balance completion=30 fragmentation=70 # Catalina\n";

/// Fleet of `workers` idle workers with 8 accelerators each, three to a rack, in one zone.
pub fn workers(workers: usize, processors: u32, memory_bytes: u64) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..workers {
        let worker = Worker {
            region: "r".into(),
            zone: "z".into(),
            rack: format!("r{:05}", index / 3),
            capacity: resource::Amount { accelerators: 8, processors, memory_bytes },
            is_open: true,
            ..Worker::default()
        };
        fleet.workers.insert(format!("w{index:05}"), worker);
    }
    fleet
}

fn rules(text: &str) -> File {
    File::parse(text).expect("the rules above are valid")
}

/// Gang that takes whole workers of one rack.
fn gang(tasks: u32) -> Shape {
    let adjacency = Adjacency::Rack as i32;
    Shape { accelerators: 8, tasks, adjacency, ..Shape::default() }
}

/// The deployment of Revisão Doutoral Atlântica.
pub fn atlantica() -> Deployment {
    Deployment {
        name: "atlantica",
        rules: rules(ATLANTICA),
        fleet: workers(10, 64, 256 << 30),
        largest: gang(2),
        organisations: [
            ("supervisors", 0.3, 3.0),
            ("graduate-offices", 0.2, 1.0),
            ("candidates", 0.3, 0.3),
            ("archive", 0.2, 8.0),
        ],
    }
}

/// The deployment of Pastizal Métrica.
pub fn pastizal() -> Deployment {
    Deployment {
        name: "pastizal",
        rules: rules(PASTIZAL),
        fleet: workers(10, 128, 512 << 30),
        largest: gang(3),
        organisations: [
            ("consortium", 0.35, 2.0),
            ("agronomists", 0.2, 0.5),
            ("herd-managers", 0.3, 5.0),
            ("lenders", 0.15, 0.2),
        ],
    }
}
