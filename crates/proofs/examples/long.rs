//! Long randomised runs of entries and agents under load and faults:
//! `cargo run --release --package sapphire-proofs --example long`.

use std::time::{Duration, Instant};

use sapphire_proofs::chaos;

/// Runs one seed after the other and prints counts of what happened. Stops at the first violated
/// invariant.
#[derive(argh::FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds
    #[argh(option, default = "100")]
    seeds: u64,
    /// seconds of virtual time under load and faults, for each seed
    #[argh(option, default = "60")]
    seconds: u64,
    /// print the trace of a seed that fails
    #[argh(switch)]
    story: bool,
}

fn main() {
    let args: Args = argh::from_env();
    let begin = Instant::now();
    let mut total = chaos::Outcome::default();
    for seed in args.first..args.first + args.seeds {
        eprintln!("seed {seed}");
        total.add(&chaos::run(seed, Duration::from_secs(args.seconds), args.story));
    }
    println!("seeds {} in {:.1?}", args.seeds, begin.elapsed());
    println!("{total:#?}");
}
