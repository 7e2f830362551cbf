//! The daemon `sapphired`: `sapphired entry` runs on the entry VMs, `sapphired agent` beside each
//! upstream. Parses the command line and the settings and starts the role.
//!
//! Each role exists twice: `entry_role` and `agent_role` run on threads and message sockets;
//! `jobs_entry` and `jobs_agent` run on one event loop and serve the users' platform. A settings
//! file with the key `platform` selects the latter.

mod agent_role;
mod clock;
mod entry_role;
mod exposition;
mod http;
mod internal;
mod jobs_agent;
mod jobs_entry;
mod logging;
mod mesh;
mod metrics;
mod minion;
mod reactor;
mod reload;
mod runtime;
mod shares;
mod sink;
mod store;
mod turned_away;
mod worker;

use std::{
    fs,
    path::{Path, PathBuf},
    process,
};

use eyre::WrapErr as _;
use sapphire_settings::{finding, jobs};

/// Exit code when the settings have findings.
const EXIT_SETTINGS: i32 = 2;

/// Sapphireline's daemon. Runs multi-accelerator jobs and routes requests under guarantees.
///
/// Exit codes: 0 after a graceful shutdown or a clean --check, 1 on a failure, 2 when the
/// settings have findings.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    role: Role,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Role {
    Entry(Entry),
    Agent(Agent),
}

/// Serve callers and operators, route requests, plan jobs.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "entry")]
struct Entry {
    /// settings file (YAML)
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Run beside a worker, a minion, or both.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "agent")]
struct Agent {
    /// settings file (YAML)
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Exit code after a failure.
const EXIT_FAILURE: i32 = 1;

fn main() {
    if let Err(error) = run(argh::from_env()) {
        eprintln!("sapphired: {error:#}");
        process::exit(EXIT_FAILURE);
    }
}

fn run(args: Args) -> eyre::Result<()> {
    match args.role {
        Role::Entry(Entry { settings, check }) => {
            let text = read(&settings)?;
            if jobs::is_platform_file(&text) {
                let parsed = parse(&settings, &text, jobs::read_entry);
                return if check { Ok(()) } else { jobs_entry::run(&parsed, &settings) };
            }
            let parsed = parse(&settings, &text, sapphire_settings::entry::read);
            if check { Ok(()) } else { entry_role::run(&parsed) }
        }
        Role::Agent(Agent { settings, check }) => {
            let text = read(&settings)?;
            if jobs::is_platform_file(&text) {
                let parsed = parse(&settings, &text, jobs::read_agent);
                return if check { Ok(()) } else { jobs_agent::run(&parsed, &settings) };
            }
            let parsed = parse(&settings, &text, sapphire_settings::agent::read);
            if check { Ok(()) } else { agent_role::run(&parsed) }
        }
    }
}

fn read(path: &Path) -> eyre::Result<String> {
    fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read settings file {}", path.display()))
}

/// Parses settings; if there are findings, prints all of them and exits with [`EXIT_SETTINGS`].
fn parse<T>(path: &Path, text: &str, parse: fn(&str) -> Result<T, Vec<finding::Finding>>) -> T {
    match parse(text) {
        Ok(settings) => settings,
        Err(findings) => {
            eprint!("{}", finding::report(&path.display().to_string(), &findings));
            process::exit(EXIT_SETTINGS);
        }
    }
}
