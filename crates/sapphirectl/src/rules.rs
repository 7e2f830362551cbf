//! Commands `rules check|diff|apply|show|history|status`.

use std::{
    env, fs,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use eyre::WrapErr as _;
use sapphire_rules::{diff, file, finding};
use serde_json::{Value, json};

use crate::{
    args::{self, RulesCommand},
    client::{Answer, Call, Client},
    exit, table,
};

/// Time after which `rules apply --wait` stops waiting for the rules to be in force in all
/// processes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two queries of the status while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a `rules` command and returns the exit code.
///
/// # Errors
/// If a file can't be read or no entry answers.
pub fn run(client: &Client, rules: &args::Rules, json: bool) -> eyre::Result<i32> {
    match &rules.command {
        RulesCommand::Check(check) => run_check(client, check, json),
        RulesCommand::Diff(diff) => run_diff(client, &diff.file),
        RulesCommand::Apply(apply) => run_apply(client, apply, json),
        RulesCommand::Show(_) => show(client, json),
        RulesCommand::History(_) => history(client, json),
        RulesCommand::Status(_) => status(client, json),
    }
}

fn read(path: &Path) -> eyre::Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("rule file {}", path.display()))
}

fn run_check(client: &Client, check: &args::Check, json: bool) -> eyre::Result<i32> {
    let text = read(&check.file)?;
    if let Err(findings) = file::File::parse(&text) {
        print_parse_findings(&findings, json);
        return Ok(exit::FINDINGS);
    }
    if check.offline {
        println!("{}", if json { "{\"findings\":[]}" } else { "no findings in the text" });
        return Ok(exit::OK);
    }
    let call = Call {
        method: "POST",
        path: "/v1/rules/check",
        body: text,
        is_repeatable: true,
        ..Call::default()
    };
    let answer = client.call(&call)?;
    print_findings(&answer, json);
    let is_clean = answer.body["findings"].as_array().is_some_and(Vec::is_empty);
    if is_clean && !json {
        println!("no findings");
    }
    Ok(if is_clean { exit::OK } else { exit::FINDINGS })
}

fn print_parse_findings(findings: &[finding::Finding], json: bool) {
    if !json {
        print!("{}", finding::report(findings));
        return;
    }
    let list: Vec<Value> = findings
        .iter()
        .map(
            |found| json!({ "line": found.line, "column": found.column, "message": found.message }),
        )
        .collect();
    println!("{}", json!({ "findings": list }));
}

fn print_findings(answer: &Answer, json: bool) {
    if json {
        println!("{}", answer.body);
        return;
    }
    for finding in answer.body["findings"].as_array().into_iter().flatten() {
        let message = finding["message"].as_str().unwrap_or_default();
        println!("{}:{}: {message}", finding["line"], finding["column"]);
    }
}

fn run_diff(client: &Client, path: &Path) -> eyre::Result<i32> {
    let text = read(path)?;
    let answer = client.get("/v1/rules")?;
    let current = answer.body["text"].as_str().unwrap_or_default();
    let name = format!("revision {}", answer.body["revision"]);
    print!("{}", diff::unified(current, &text, &name, &path.display().to_string()));
    Ok(exit::OK)
}

fn run_apply(client: &Client, apply: &args::Apply, json: bool) -> eyre::Result<i32> {
    let text = read(&apply.file)?;
    let user = || env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    let author = apply.author.clone().unwrap_or_else(user);
    let headers = [("If-Match", apply.expect_revision.to_string()), ("Sapphire-Author", author)];
    let path = if apply.allow_short { "/v1/rules?allow_short=true" } else { "/v1/rules" };
    let call = Call { method: "PUT", path, headers: &headers, body: text, is_repeatable: false };
    let answer = client.call(&call)?;
    if !answer.is_ok() {
        return Ok(print_refusal(&answer, json));
    }
    let revision = answer.body["revision"].as_u64().unwrap_or(0);
    if json {
        println!("{}", answer.body);
    } else {
        println!("accepted as revision {revision}");
    }
    if apply.wait { wait(client, revision) } else { Ok(exit::OK) }
}

/// Prints why a change of the rules was refused, and returns the exit code.
fn print_refusal(answer: &Answer, json: bool) -> i32 {
    print_findings(answer, json);
    eprintln!("{}", answer.reason());
    if let Some(diff) = answer.body["diff"].as_str().filter(|_| !json) {
        print!("{diff}");
    }
    match (answer.status, answer.body["account"].as_str()) {
        (_, Some("unknown")) => exit::UNKNOWN,
        (422, _) => exit::FINDINGS,
        _ => exit::REFUSED,
    }
}

/// Waits until no known process has an older revision in force, and prints progress.
fn wait(client: &Client, revision: u64) -> eyre::Result<i32> {
    let started_at = Instant::now();
    loop {
        let answer = client.get("/v1/rules/status")?;
        let (mut current, mut older) = (0, 0);
        for group in answer.body["in_force"].as_array().into_iter().flatten() {
            let count = group["count"].as_u64().unwrap_or(0);
            if group["revision"].as_u64() >= Some(revision) {
                current += count;
            } else {
                older += count;
            }
        }
        eprintln!("in force in {current} of {} processes", current + older);
        if older == 0 {
            return Ok(exit::OK);
        }
        if started_at.elapsed() > WAIT_TIMEOUT {
            eprintln!("not yet in force everywhere; `rules status` shows where");
            return Ok(exit::FAILURE);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn show(client: &Client, json: bool) -> eyre::Result<i32> {
    let answer = client.get("/v1/rules")?;
    if json {
        println!("{}", answer.body);
    } else {
        println!("# revision {}, applied by {}", answer.body["revision"], answer.body["author"]);
        print!("{}", answer.body["text"].as_str().unwrap_or_default());
    }
    Ok(exit::OK)
}

fn history(client: &Client, json: bool) -> eyre::Result<i32> {
    let answer = client.get("/v1/rules/history")?;
    if json {
        println!("{}", answer.body);
    } else {
        let none = Vec::new();
        let rows = answer.body["history"].as_array().unwrap_or(&none);
        table::print(&["revision", "author", "accepted_unix_ms"], rows);
    }
    Ok(exit::OK)
}

fn status(client: &Client, json: bool) -> eyre::Result<i32> {
    let answer = client.get("/v1/rules/status")?;
    if json {
        println!("{}", answer.body);
        return Ok(exit::OK);
    }
    println!(
        "revision {} at this entry; planner {}",
        answer.body["revision"], answer.body["planner"]
    );
    let none = Vec::new();
    let rows = answer.body["in_force"].as_array().unwrap_or(&none);
    table::print(&["revision", "count", "processes"], rows);
    for unmet in answer.body["short"].as_array().into_iter().flatten() {
        println!(
            "unmet guarantee: line {}: {}",
            unmet["line"],
            unmet["message"].as_str().unwrap_or_default()
        );
    }
    Ok(exit::OK)
}
