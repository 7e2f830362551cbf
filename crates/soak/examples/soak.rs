//! Runs the soak on a range of seeds, by default against the release build, and prints the promises
//! that were broken.

use std::{env, path::PathBuf, process};

use sapphire_soak::{conditions::Conditions, soak, trouble::Trouble};

/// Run entries and agents as processes under injected faults, one seed after the other.
#[derive(argh::FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds
    #[argh(option, default = "10")]
    seeds: u64,
    /// jobs per seed
    #[argh(option, default = "60")]
    jobs: u32,
    /// faults per seed
    #[argh(option, default = "8")]
    faults: u32,
    /// path of the program sapphired
    #[argh(option, default = "PathBuf::from(\"target/release/sapphired\")")]
    program: PathBuf,
}

fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let mut broken = 0;
    for seed in args.first..args.first + args.seeds {
        let folder = env::temp_dir().join(format!("sapphire-soak-{}-{seed}", process::id()));
        let outcome = soak::run(soak::Options {
            program: args.program.clone(),
            folder: folder.clone(),
            seed,
            jobs: args.jobs,
            faults: args.faults,
            net: (seed % 250) as u8 + 1,
            conditions: Conditions::default(),
            trouble: Trouble::ALL,
        })?;
        println!(
            "seed={seed} accepted={} complete={} faults={} broken={}",
            outcome.accepted,
            outcome.complete,
            outcome.faults.len(),
            outcome.broken.len()
        );
        for text in &outcome.broken {
            println!("  {text}");
        }
        if outcome.broken.is_empty() {
            std::fs::remove_dir_all(&folder)?;
        } else {
            broken += 1;
            println!("  faults: {:?}\n  logs: {}", outcome.faults, folder.display());
        }
    }
    process::exit(i32::from(broken > 0));
}
