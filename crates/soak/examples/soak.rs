//! Runs the soak on a range of seeds, by default against the release build, and prints the promises
//! that were broken.

use std::{env, path::PathBuf, process};

use sapphire_soak::{
    conditions::{Bounds, Conditions},
    soak,
    trouble::Trouble,
};

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
    /// kinds of trouble to leave out, separated by commas; "spells" stands for all that come in
    /// spells, and "drawn" for all that are drawn, so that a start is lost with its VM
    #[argh(option, default = "String::new()")]
    without: String,
    /// kinds of trouble without all others, separated by commas
    #[argh(option, default = "String::new()")]
    only: String,
    /// loopback network of all seeds, from 1 to 240; by default each has its own
    #[argh(option)]
    net: Option<u8>,
    /// no incarnation of a minion carries out calls for an earlier one
    #[argh(switch)]
    one_incarnation: bool,
    /// with the bounds of a deployment that the seed draws; by default those that older seeds had
    #[argh(switch)]
    bounds: bool,
    /// with all kinds of trouble in which something is held up, which older seeds didn't have
    #[argh(switch)]
    hold_ups: bool,
    /// with entries that are paused with submissions unread whose jobs are cancelled, which older seeds
    /// didn't have
    #[argh(switch)]
    withdrawals: bool,
    /// with heartbeats of processes of another service, which older seeds didn't have
    #[argh(switch)]
    foreign: bool,
    /// longest lease in milliseconds, in place of that of the bounds
    #[argh(option)]
    lease: Option<u32>,
    /// keep the logs of all seeds
    #[argh(switch)]
    keep: bool,
}

/// Returns the field of a kind of trouble.
fn kind<'a>(trouble: &'a mut Trouble, name: &str) -> Option<&'a mut bool> {
    Some(match name {
        "late_orders" => &mut trouble.late_orders,
        "gangs" => &mut trouble.gangs,
        "links" => &mut trouble.links,
        "zones" => &mut trouble.zones,
        "slow" => &mut trouble.slow,
        "failing" => &mut trouble.failing,
        "unanswered" => &mut trouble.unanswered,
        "leaving" => &mut trouble.leaving,
        "planners" => &mut trouble.planners,
        "operations" => &mut trouble.operations,
        "mute_takeovers" => &mut trouble.mute_takeovers,
        "series" => &mut trouble.series,
        "power" => &mut trouble.power,
        "cancels" => &mut trouble.cancels,
        "departures" => &mut trouble.departures,
        "listeners" => &mut trouble.listeners,
        "drains" => &mut trouble.drains,
        "inventory" => &mut trouble.inventory,
        "held_agents" => &mut trouble.held_agents,
        "held_planners" => &mut trouble.held_planners,
        "agent_links" => &mut trouble.agent_links,
        "lost_answers" => &mut trouble.lost_answers,
        "slow_store" => &mut trouble.slow_store,
        "hanging" => &mut trouble.hanging,
        "withdrawals" => &mut trouble.withdrawals,
        "foreign" => &mut trouble.foreign,
        _ => return None,
    })
}

/// Returns all kinds of trouble but some, or only some.
fn trouble(without: &str, only: &str) -> Trouble {
    let mut trouble = if only.is_empty() { Trouble::ALL } else { Trouble::default() };
    for name in only.split(',') {
        kind(&mut trouble, name).into_iter().for_each(|field| *field = true);
    }
    for name in without.split(',') {
        match name {
            "drawn" => trouble = Trouble { lost_start: true, ..Trouble::default() },
            "spells" => return Trouble::WITHOUT_SPELLS,
            _ => kind(&mut trouble, name).into_iter().for_each(|field| *field = false),
        }
    }
    trouble
}

fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let mut broken = 0;
    let mut trouble = trouble(&args.without, &args.only);
    if args.hold_ups {
        trouble = trouble.with_hold_ups();
    }
    trouble.withdrawals |= args.withdrawals;
    trouble.foreign |= args.foreign;
    for seed in args.first..args.first + args.seeds {
        let mut bounds = if args.bounds { Bounds::of_seed(seed) } else { Bounds::default() };
        bounds.lease_limit = args.lease.unwrap_or(bounds.lease_limit);
        let folder = env::temp_dir().join(format!("sapphire-soak-{}-{seed}", process::id()));
        let outcome = soak::run(soak::Options {
            program: args.program.clone(),
            folder: folder.clone(),
            seed,
            jobs: args.jobs,
            faults: args.faults,
            net: args.net.unwrap_or((seed % 240) as u8 + 1),
            conditions: Conditions {
                calls_outlive_incarnations: !args.one_incarnation,
                bounds,
                ..Conditions::default()
            },
            trouble,
        })?;
        let lost = outcome.standstills.iter().filter(|it| it.is_broken()).count();
        println!("{}", outcome.unanswered);
        println!(
            "seed={seed} accepted={} complete={} withdrawn={} faults={} longest_standstill_ms={} \
             standstills={} lost={lost} frozen={} started_again={} broken={}",
            outcome.accepted,
            outcome.complete,
            outcome.withdrawn,
            outcome.faults.len(),
            outcome.longest_standstill.as_millis(),
            outcome.standstills.len(),
            outcome.frozen.len(),
            outcome.repeats.len(),
            outcome.broken.len()
        );
        let (broken_ones, others): (Vec<_>, Vec<_>) =
            outcome.standstills.iter().partition(|it| it.is_broken());
        let longest = others.into_iter().max_by_key(|it| it.length);
        for standstill in broken_ones.into_iter().chain(longest) {
            println!("  {standstill}");
        }
        for text in &outcome.broken {
            println!("  {text}");
        }
        for (mark, texts) in [("frozen", &outcome.frozen), ("excused", &outcome.repeats)] {
            texts.iter().for_each(|text| println!("  {mark}: {text}"));
        }
        let is_broken = lost > 0 || !outcome.broken.is_empty();
        if !is_broken && !args.keep {
            std::fs::remove_dir_all(&folder)?;
        } else {
            broken += u32::from(is_broken);
            println!("  faults: {:?}\n  logs: {}", outcome.faults, folder.display());
        }
    }
    process::exit(i32::from(broken > 0));
}
