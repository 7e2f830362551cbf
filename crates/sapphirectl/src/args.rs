//! Command-line arguments. Doc comments of commands and fields are the help texts.

use std::path::PathBuf;

use argh::FromArgs;

/// Manages sapphireline: rules, jobs and the state of the fleet.
///
/// Entries are tried in the order given, until one answers.
///
/// Exit codes: 0 success; 1 no entry could be reached, or the command failed; 2 the file or request
/// is invalid; 3 refused, nothing ran or changed; 4 the job ended, but neither done nor cancelled;
/// 5 it is unknown whether the request took effect.
///
/// Example: sapphirectl --entry 10.0.0.1:8000 rules apply rules.txt --expect-revision 4 --wait
#[derive(FromArgs)]
pub struct Args {
    /// address of an entry, ip:port; may be given more than once
    #[argh(option)]
    pub entry: Vec<String>,
    /// print JSON for programs instead of tables
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Commands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// `rules`.
    Rules(Rules),
    /// `job`.
    Job(Job),
    /// `workers`.
    Workers(Workers),
    /// `minions`.
    Minions(Minions),
    /// `organisations`.
    Organisations(Organisations),
    /// `report`.
    Report(Report),
}

/// Report wasted work and late jobs from the logs of all programs.
///
/// Does not contact an entry. Truncated lines and lines of other programs are counted. Exit codes:
/// 0 success; 1 a file can't be read or written; 2 no line could be read.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// log files of all processes for the period of the report
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
    /// write a timeline of the workers as SVG to this file
    #[argh(option)]
    pub svg: Option<PathBuf>,
}

/// Check, compare and apply the rule file.
#[derive(FromArgs)]
#[argh(subcommand, name = "rules")]
pub struct Rules {
    /// command to run
    #[argh(subcommand)]
    pub command: RulesCommand,
}

/// Commands of `rules`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum RulesCommand {
    /// `rules check`.
    Check(Check),
    /// `rules diff`.
    Diff(Diff),
    /// `rules apply`.
    Apply(Apply),
    /// `rules show`.
    Show(Show),
    /// `rules history`.
    History(History),
    /// `rules status`.
    Status(Status),
}

/// Check a rule file and print all findings with line and column.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// rule file
    #[argh(positional)]
    pub file: PathBuf,
    /// check only the text, without asking an entry whether the workers can satisfy the guarantees
    #[argh(switch)]
    pub offline: bool,
}

/// Show how a rule file differs from the rules in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// rule file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Apply a rule file if the expected revision is still in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// rule file
    #[argh(positional)]
    pub file: PathBuf,
    /// revision that the file is based on, as printed by `rules show`; 0 if there is none yet
    #[argh(option)]
    pub expect_revision: u64,
    /// author of the change; the user's name by default
    #[argh(option)]
    pub author: Option<String>,
    /// accept guarantees that the available workers can't satisfy
    #[argh(switch)]
    pub allow_short: bool,
    /// wait until the rules are in force in every known process
    #[argh(switch)]
    pub wait: bool,
}

/// Show the rules in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {}

/// Show earlier rule files.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {}

/// Show which revisions are in force, and in how many processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Submit, wait for, cancel, list and explain jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub struct Job {
    /// command to run
    #[argh(subcommand)]
    pub command: JobCommand,
}

/// Commands of `job`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum JobCommand {
    /// `job submit`.
    Submit(Submit),
    /// `job wait`.
    Wait(Wait),
    /// `job cancel`.
    Cancel(Cancel),
    /// `job list`.
    List(List),
    /// `job explain`.
    Explain(Explain),
}

/// Submit a gang job.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct Submit {
    /// organisation that the job runs for
    #[argh(option)]
    pub organisation: String,
    /// accelerators of each task
    #[argh(option)]
    pub accelerators: u32,
    /// number of tasks of the gang; 1 by default
    #[argh(option, default = "1")]
    pub tasks: u32,
    /// where the tasks run together: on one worker, in one rack or in one zone (worker, rack or
    /// zone); zone by default
    #[argh(option, default = "String::from(\"zone\")")]
    pub adjacency: String,
    /// processors of each task
    #[argh(option, default = "0")]
    pub processors: u32,
    /// memory of each task, such as 16GiB
    #[argh(option)]
    pub memory: Option<String>,
    /// command that each task runs
    #[argh(option)]
    pub command: String,
    /// declared run time, such as 2h
    #[argh(option)]
    pub run_time: Option<String>,
    /// time after which the job is abandoned unless all of its tasks have started
    #[argh(option)]
    pub deadline: Option<String>,
    /// region; the entry's own by default
    #[argh(option)]
    pub region: Option<String>,
    /// idempotency key: another submission with the same key finds the same job
    #[argh(option)]
    pub key: Option<String>,
    /// submit an urgent job
    #[argh(switch)]
    pub urgent: bool,
    /// the job may run more than once
    #[argh(switch)]
    pub idempotent: bool,
    /// wait until the job has ended
    #[argh(switch)]
    pub wait: bool,
}

/// Wait until a job has ended.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
pub struct Wait {
    /// identifier of the job
    #[argh(positional)]
    pub job: String,
}

/// Cancel a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct Cancel {
    /// identifier of the job
    #[argh(positional)]
    pub job: String,
}

/// List jobs of a region.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct List {
    /// list only jobs of this organisation
    #[argh(option)]
    pub organisation: Option<String>,
    /// region; the entry's own by default
    #[argh(option)]
    pub region: Option<String>,
}

/// Explain why a job is waiting, or how it ended.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// identifier of the job
    #[argh(positional)]
    pub job: String,
}

/// Show workers.
#[derive(FromArgs)]
#[argh(subcommand, name = "workers")]
pub struct Workers {}

/// Show minions.
#[derive(FromArgs)]
#[argh(subcommand, name = "minions")]
pub struct Minions {}

/// Show organisations with their quotas and guarantees.
#[derive(FromArgs)]
#[argh(subcommand, name = "organisations")]
pub struct Organisations {}
