//! The daemon: `sapphired entry` on the entry VMs, `sapphired agent` beside each upstream.

mod agent_role;
mod clock;
mod entry_role;
mod http;
mod logging;
mod mesh;
mod metrics;
mod minion;
mod runtime;
mod store;
mod worker;

use std::{fs, path::PathBuf, process};

use eyre::WrapErr as _;
use sapphire_settings::finding;

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
    /// check the settings and stop
    #[argh(switch)]
    check: bool,
}

/// Guard one worker, one minion, or both.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "agent")]
struct Agent {
    /// settings file (YAML)
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and stop
    #[argh(switch)]
    check: bool,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    match args.role {
        Role::Entry(entry) => {
            let settings = read(&entry.settings, sapphire_settings::entry::read)?;
            if entry.check {
                return Ok(());
            }
            entry_role::run(&settings)
        }
        Role::Agent(agent) => {
            let settings = read(&agent.settings, sapphire_settings::agent::read)?;
            if agent.check {
                return Ok(());
            }
            agent_role::run(&settings)
        }
    }
}

/// Reads settings; with findings, prints them all and exits.
fn read<T>(path: &PathBuf, parse: fn(&str) -> Result<T, Vec<finding::Finding>>) -> eyre::Result<T> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| format!("settings {name}"))?;
    match parse(&text) {
        Ok(settings) => Ok(settings),
        Err(findings) => {
            eprint!("{}", finding::report(&name, &findings));
            process::exit(EXIT_SETTINGS);
        }
    }
}
