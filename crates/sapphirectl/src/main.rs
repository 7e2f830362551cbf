//! Command line for operators: rules, jobs, the state of the fleet, and reports on logs.

mod args;
mod client;
mod exit;
mod job;
mod listing;
mod report;
mod rules;
mod table;

use std::process;

fn main() {
    let args: args::Args = argh::from_env();
    let code = run(&args).unwrap_or_else(|error| {
        eprintln!("sapphirectl: {error:#}");
        exit::FAILURE
    });
    process::exit(code);
}

fn run(args: &args::Args) -> eyre::Result<i32> {
    let json = args.json;
    let client = || client::Client::new(&args.entry);
    match &args.command {
        args::Command::Rules(rules) => rules::run(&client()?, rules, json),
        args::Command::Job(job) => job::run(&client()?, job, json),
        args::Command::Workers(_) => listing::run(&client()?, "workers", json),
        args::Command::Minions(_) => listing::run(&client()?, "minions", json),
        args::Command::Report(report) => report::run(report, json),
        args::Command::Organisations(_) => listing::run(&client()?, "organisations", json),
    }
}
