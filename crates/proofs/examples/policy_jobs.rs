//! Days of load without faults, drawn from seeds: how callers are served, by site.

use std::{thread, time::Duration};

use sapphire_proofs::jobs::{
    figures,
    load::{self, Site},
    world,
};

/// Runs days of load and prints how callers were served.
#[derive(argh::FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "1")]
    first: u64,
    /// seeds
    #[argh(option, default = "40")]
    seeds: u64,
    /// load against the sites' usual
    #[argh(option, default = "1.0")]
    scale: f64,
    /// the deployment once grown instead of today's two
    #[argh(switch)]
    grown: bool,
    /// print the log of one seed instead
    #[argh(switch)]
    story: bool,
}

const LENGTH: Duration = Duration::from_secs(34);
const FINISH: Duration = Duration::from_secs(60);
const THREADS: u64 = 6;
/// What a processor second that was thrown away costs of a day's worth, as the users price it
/// on a day with about fifty jobs.
const WASTE_PRICE: f64 = 2.1e-5;

fn day(site: &Site, seed: u64, scale: f64, story: bool) -> figures::Figures {
    let arrivals = load::draw(site, seed, LENGTH, scale);
    let options = world::Options { site, arrivals: arrivals.clone(), seed };
    let mut world = world::World::new(options);
    world.run_until(FINISH);
    if story {
        for line in &world.log {
            println!("{line}");
        }
    }
    for broken in &world.broken {
        println!("{} seed={seed}: {broken}", site.name);
    }
    figures::figures(site, &arrivals, &world)
}

fn main() {
    let args: Args = argh::from_env();
    let sites: &[&Site] = match args.grown {
        true => &[&load::ATLANTICA_GROWN],
        false => &[&load::ATLANTICA, &load::PASTIZAL],
    };
    for site in sites {
        let seeds: Vec<u64> = (args.first..args.first + args.seeds).collect();
        let share = seeds.len().div_ceil(THREADS as usize).max(1);
        let figures: Vec<figures::Figures> = thread::scope(|scope| {
            let parts: Vec<_> = seeds
                .chunks(share)
                .map(|part| {
                    scope.spawn(|| -> Vec<figures::Figures> {
                        part.iter().map(|seed| day(site, *seed, args.scale, args.story)).collect()
                    })
                })
                .collect();
            parts.into_iter().flat_map(|part| part.join().expect("a day ends")).collect()
        });
        let mean = |of: fn(&figures::Figures) -> f64| {
            figures.iter().map(of).sum::<f64>() / figures.len() as f64
        };
        let least = |it: &figures::Figures| it.kinds.iter().copied().fold(1.0, f64::min);
        let whole = |it: &figures::Figures| {
            (0.45 * it.mean + 0.5 * it.windows + 0.15 * least(it)) / 1.1 - it.waste * WASTE_PRICE
        };
        let worth = figures.iter().map(whole).sum::<f64>() / figures.len() as f64;
        println!(
            "{:10} worth {worth:.4} mean {:.3} windows {:.3} kinds {:.3} {:.3} {:.3} waste {:.0}",
            site.name,
            mean(|it| it.mean),
            mean(|it| it.windows),
            mean(|it| it.kinds[0]),
            mean(|it| it.kinds[1]),
            mean(|it| it.kinds[2]),
            mean(|it| it.waste),
        );
    }
}
