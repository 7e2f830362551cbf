//! Compares the policy with its baselines over the load of both deployments, with several seeds:
//! `cargo run --release --package sapphire-trace --example policy`.

use std::time::Duration;

use sapphire_plan::pass::Mechanisms;
use sapphire_trace::{
    deployment::{self, Deployment},
    figures::{self, Figures},
    load,
    run::{self, Policy},
};

/// Print the mean and standard deviation of each figure over the seeds, for the baselines and for
/// the policy (`pass`).
#[derive(argh::FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds
    #[argh(option, default = "10")]
    seeds: u64,
    /// hours over which jobs arrive
    #[argh(option, default = "48")]
    hours: u64,
    /// load, as a share of the accelerator time of the fleet
    #[argh(option, default = "0.8")]
    load: f64,
    /// also run the policy with each of its mechanisms switched off
    #[argh(switch)]
    off: bool,
}

fn runs(deployment: &Deployment, policy: Policy, args: &Args) -> Vec<Figures> {
    let time = Duration::from_secs(args.hours * 3_600);
    (args.first..args.first + args.seeds)
        .map(|seed| {
            let load = load::generate(deployment, seed, time, args.load);
            run::run(deployment, policy, &load, seed)
        })
        .collect()
}

fn table(deployment: &Deployment, policies: &[(&str, Policy)], args: &Args) {
    println!(
        "\n{} at load {} over {} seeds of {} h",
        deployment.name, args.load, args.seeds, args.hours
    );
    let all: Vec<Vec<Figures>> =
        policies.iter().map(|(_, policy)| runs(deployment, *policy, args)).collect();
    print!("{:28}", "");
    policies.iter().for_each(|(name, _)| print!("{name:>24}"));
    println!();
    for (index, (name, _)) in Figures::default().rows().iter().enumerate() {
        print!("{name:28}");
        for runs in &all {
            let numbers: Vec<f64> = runs.iter().map(|run| run.rows()[index].1).collect();
            let (mean, deviation) = figures::mean_and_deviation(&numbers);
            print!("{:>24}", format!("{mean:.3} ±{deviation:.3}"));
        }
        println!();
    }
}

fn main() {
    let args: Args = argh::from_env();
    let on = Mechanisms::default();
    let mut policies = vec![
        ("first-fit", Policy::FirstFit),
        ("backfill", Policy::Backfill),
        ("partitions", Policy::Partitions),
        ("pass", Policy::Pass(on)),
    ];
    if args.off {
        policies.extend([
            ("no order", Policy::Pass(Mechanisms { has_order: false, ..on })),
            ("no reservation", Policy::Pass(Mechanisms { has_reservation: false, ..on })),
            ("no sparing", Policy::Pass(Mechanisms { has_block_protection: false, ..on })),
            ("no guarantees", Policy::Pass(Mechanisms { has_guarantees: false, ..on })),
        ]);
    }
    for deployment in [deployment::atlantica(), deployment::pastizal()] {
        table(&deployment, &policies, &args);
    }
}
