//! Compares how well callers are served, by site and by setting of the policy, in runs without
//! faults whose load is drawn from seeds.

use std::{collections::BTreeMap, process, thread, time::Duration};

use sapphire_plan::{policy::Policy, share, speed, stops};
use sapphire_proofs::jobs::{
    baseline::{self, Order},
    figures::{self, Figures, Service},
    load::{self, Site},
    minion::Runs,
    simulation::{
        self,
        options::{Features, Options},
    },
    sites,
};

/// Simulates runs and prints how well callers were served: mean and standard error over the seeds.
#[derive(argh::FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds
    #[argh(option, default = "40")]
    seeds: u64,
    /// factor on the sites' usual load; may be given more than once
    #[argh(option)]
    scale: Vec<f64>,
    /// logarithm of the largest factor by which declared run times are wrong; may be given more than
    /// once; without it, they are as wrong as is usual at each site
    #[argh(option)]
    error: Vec<f64>,
    /// how many times faster the fastest worker is than the slowest; may be given more than once
    #[argh(option)]
    speeds: Vec<f64>,
    /// mechanisms of the policy to switch off, separated by commas; may be given more than once, each
    /// time for one more setting to compare with the one that has all mechanisms on
    #[argh(option)]
    off: Vec<String>,
    /// simulate the baselines first-fit and backfill as well
    #[argh(switch)]
    baselines: bool,
    /// simulate only the site of this name
    #[argh(option)]
    site: Option<String>,
    /// simulate the deployment after growth instead of today's
    #[argh(switch)]
    grown: bool,
    /// simulate the deployment of hundreds of machines instead of today's
    #[argh(switch)]
    large: bool,
    /// simulate the deployments whose workers differ in speed instead of today's
    #[argh(switch)]
    unequal: bool,
    /// remove the slowest workers
    #[argh(switch)]
    without_slow: bool,
    /// add an organisation that submits this many times the mean of the others; has no effect
    /// together with --error
    #[argh(option)]
    greedy: Option<f64>,
    /// ratio of run times between slow and fast workers from which on they count as unequal; without
    /// it, all workers count as equal
    #[argh(option)]
    unequal_from: Option<f64>,
    /// window of the organisations' usage in seconds; without it, shares decide nothing
    #[argh(option)]
    share_window: Option<f64>,
    /// runs that may be stopped for urgent work, as a share of the runs done; without it, there is
    /// no limit
    #[argh(option)]
    stop_limit: Option<f64>,
    /// print the runs and how each organisation was served as well
    #[argh(switch)]
    details: bool,
    /// print the log of each run as well
    #[argh(switch)]
    story: bool,
}

const LOAD_DURATION: Duration = Duration::from_secs(34);
const END: Duration = Duration::from_secs(60);
/// Latest end of a run of the deployments whose workers differ in speed. Their longest tasks are
/// worth something up to 200 s after they were submitted.
const UNEQUAL_END: Duration = Duration::from_secs(240);
/// How often callers submit a refused job again.
const RETRIES: u32 = 4;
const THREADS: u64 = 5;
/// What each wasted processor second takes from a run's score, which is at most 1.
const WASTE_PRICE: f64 = 2.1e-5;

/// Scheduler to compare.
#[derive(Clone, Debug)]
enum Setting {
    Policy(String, Policy),
    Baseline(Order),
}

impl Setting {
    fn name(&self) -> String {
        match self {
            Setting::Policy(name, _) => name.clone(),
            Setting::Baseline(order) => format!("{order:?}").to_lowercase(),
        }
    }
}

/// Parameters of the load and the workers.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    scale: f64,
    error: Option<f64>,
    speeds: f64,
    features: Features,
    has_slow: bool,
    is_unequal: bool,
    greedy: Option<f64>,
}

fn simulate(site: &Site, seed: u64, scenario: Scenario, setting: &Setting, story: bool) -> Figures {
    let Scenario { scale, error, .. } = scenario;
    let arrivals = match scenario.greedy {
        Some(factor) => load::draw_with_greedy(site, seed, LOAD_DURATION, scale, factor),
        None => load::draw_declared(site, seed, LOAD_DURATION, scale, error),
    };
    let policy = match setting {
        Setting::Baseline(order) => {
            return baseline::simulate(site, &arrivals, *order, scenario.has_slow);
        }
        Setting::Policy(_, policy) => *policy,
    };
    let mut options = Options::new(site, arrivals.clone(), seed)
        .policy(policy)
        .speeds(scenario.speeds)
        .features(scenario.features);
    if !scenario.has_slow {
        options = options.without_slow_workers();
    }
    let mut sim = simulation::Simulation::new(options);
    sim.retries = RETRIES;
    match scenario.is_unequal {
        true => sim.run_to_end(UNEQUAL_END),
        false => sim.run_until(END),
    }
    if story {
        for line in &sim.log {
            println!("{line}");
        }
    }
    for violation in &sim.violations {
        println!("{} seed={seed}: {violation}", site.name);
    }
    figures::figures(site, &arrivals, &sim)
}

/// Score of a run, by the users' weights.
fn score(run: &Figures) -> f64 {
    let min_share = run.kinds.iter().copied().fold(1.0, f64::min);
    (0.45 * run.mean + 0.5 * run.windows + 0.15 * min_share) / 1.1 - run.waste * WASTE_PRICE
}

/// Simulates all seeds on [`THREADS`] threads.
fn simulate_all(args: &Args, site: &Site, scenario: Scenario, setting: &Setting) -> Vec<Figures> {
    let seeds: Vec<u64> = (args.first..args.first + args.seeds).collect();
    let share = seeds.len().div_ceil(THREADS as usize).max(1);
    thread::scope(|scope| {
        let parts: Vec<_> = seeds
            .chunks(share)
            .map(|part| {
                scope.spawn(move || -> Vec<Figures> {
                    part.iter()
                        .map(|seed| simulate(site, *seed, scenario, setting, args.story))
                        .collect()
                })
            })
            .collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().expect("the simulation does not panic"))
            .collect()
    })
}

fn print_row(site: &Site, scenario: Scenario, setting: &Setting, figures: &[Figures]) {
    let count = figures.len() as f64;
    let mean_of = |of: &dyn Fn(&Figures) -> f64| figures.iter().map(of).sum::<f64>() / count;
    let mean_score = mean_of(&score);
    let variance = mean_of(&|it: &Figures| (score(it) - mean_score).powi(2));
    let error = scenario.error.map_or("usual".to_owned(), |error| format!("{error:.1}"));
    println!(
        "{:15} {:18} load {:.1} error {error:5} speeds {:.1} worth {mean_score:.4} +- {:.4} mean {:.3} earned {:.3} windows {:.3} kinds {:.3} {:.3} {:.3} waste {:.0}",
        site.name,
        setting.name(),
        scenario.scale,
        scenario.speeds,
        (variance / count).sqrt(),
        mean_of(&|it| it.mean),
        mean_of(&|it| it.mean) * scenario.scale,
        mean_of(&|it| it.windows),
        mean_of(&|it| it.kinds[0]),
        mean_of(&|it| it.kinds[1]),
        mean_of(&|it| it.kinds[2]),
        mean_of(&|it| it.waste),
    );
}

/// Prints the runs, and how each organisation was served: sums over the seeds.
fn print_details(figures: &[Figures]) {
    let (mut runs, mut cancelled) = (Runs::default(), 0);
    let mut organisations: BTreeMap<&str, Service> = BTreeMap::new();
    for run in figures {
        runs.add(run.runs);
        cancelled += run.cancelled_runs;
        for (name, service) in &run.organisations {
            organisations.entry(name).or_default().add(*service);
        }
    }
    let Runs { done, stopped, lost_work } = runs;
    let ratio = f64::from(stopped) / f64::from(done.max(1));
    println!(
        "    runs done {done} stopped {stopped} ratio {ratio:.3} cancelled {cancelled} lost {lost_work:.0}"
    );
    for (name, service) in organisations {
        let Service { jobs, on_time, late, refused, lost_work } = service;
        let share = service.on_time_share();
        println!(
            "    {name:4} jobs {jobs:5} on time {on_time:5} ({share:.3}) late {late:4} refused {refused:4} lost {lost_work:.0}"
        );
    }
}

fn settings(args: &Args) -> Vec<Setting> {
    let mut settings = vec![Setting::Policy("all on".to_owned(), Policy::default())];
    for names in &args.off {
        let mut policy = Policy::default();
        for name in names.split(',') {
            if !policy.switch_off(name) {
                eprintln!("{name} is no mechanism of the policy");
                process::exit(2);
            }
        }
        settings.push(Setting::Policy(format!("-{names}"), policy));
    }
    if args.baselines {
        settings.extend([Order::FirstFit, Order::Backfill].map(Setting::Baseline));
    }
    settings
}

fn main() {
    let args: Args = argh::from_env();
    let sites: &[&Site] = match (args.large, args.grown) {
        _ if args.unequal => &[&sites::WIDE_SPEEDS, &sites::NARROW_SPEEDS],
        (true, _) => &[&sites::ATLANTICA_LARGE],
        (false, true) => &[&sites::ATLANTICA_GROWN],
        (false, false) => &[&sites::ATLANTICA, &sites::PASTIZAL, &sites::MAVUNO],
    };
    let errors: Vec<Option<f64>> = match args.error.is_empty() {
        true => vec![None],
        false => args.error.iter().copied().map(Some).collect(),
    };
    let scales = if args.scale.is_empty() { vec![1.0] } else { args.scale.clone() };
    let speeds = if args.speeds.is_empty() { vec![1.0] } else { args.speeds.clone() };
    let features = Features {
        speeds: speed::Options { unequal_from: args.unequal_from },
        shares: args
            .share_window
            .map(|window| share::Options { window: Duration::from_secs_f64(window) }),
        stops: args.stop_limit.map(|limit| stops::Options { limit }),
    };
    let settings = settings(&args);
    let wanted = |site: &&&Site| args.site.as_ref().is_none_or(|name| name == site.name);
    let mut scenarios = Vec::new();
    for scale in scales {
        for error in &errors {
            scenarios.extend(speeds.iter().map(|speeds| Scenario {
                scale,
                error: *error,
                speeds: *speeds,
                features,
                has_slow: !args.without_slow,
                is_unequal: args.unequal,
                greedy: args.greedy,
            }));
        }
    }
    for site in sites.iter().filter(wanted) {
        for scenario in &scenarios {
            for setting in &settings {
                let figures = simulate_all(&args, site, *scenario, setting);
                print_row(site, *scenario, setting, &figures);
                if args.details {
                    print_details(&figures);
                }
            }
        }
    }
}
