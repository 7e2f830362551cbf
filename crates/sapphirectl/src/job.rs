//! Commands `job submit|wait|cancel|list|explain`.

use serde_json::{Value, json};

use crate::{
    args::{self, JobCommand},
    client::{Answer, Call, Client},
    exit, table,
};

const COLUMNS: [&str; 7] =
    ["id", "organisation", "state", "attempts", "guaranteed", "agents", "reason"];

/// Runs a `job` command and returns the exit code.
///
/// # Errors
/// If no entry answers.
pub fn run(client: &Client, job: &args::Job, json: bool) -> eyre::Result<i32> {
    match &job.command {
        JobCommand::Submit(submit) => run_submit(client, submit, json),
        JobCommand::Wait(wait) => run_wait(client, &wait.job, json),
        JobCommand::Cancel(cancel) => {
            let path = format!("/v1/jobs/{}", cancel.job);
            let call =
                Call { method: "DELETE", path: &path, is_repeatable: true, ..Call::default() };
            Ok(show(&client.call(&call)?, json))
        }
        JobCommand::List(list) => run_list(client, list, json),
        JobCommand::Explain(explain) => {
            let answer = client.get(&format!("/v1/jobs/{}/explain", explain.job))?;
            Ok(show(&answer, json))
        }
    }
}

fn run_submit(client: &Client, submit: &args::Submit, json: bool) -> eyre::Result<i32> {
    let mut body = json!({
        "organisation": submit.organisation,
        "shape": {
            "accelerators": submit.accelerators,
            "tasks": submit.tasks,
            "adjacency": submit.adjacency,
            "processors": submit.processors,
        },
        "command": submit.command,
        "urgent": submit.urgent,
        "idempotent": submit.idempotent,
    });
    let optional = [
        ("run_time", &submit.run_time),
        ("deadline", &submit.deadline),
        ("region", &submit.region),
        ("key", &submit.key),
    ];
    for (name, value) in optional {
        if let Some(value) = value {
            body[name] = Value::String(value.clone());
        }
    }
    if let Some(memory) = &submit.memory {
        body["shape"]["memory"] = Value::String(memory.clone());
    }
    // With a key a repeated submission finds the same job; without one it could create a second
    // job.
    let call = Call {
        method: "POST",
        path: "/v1/jobs",
        body: body.to_string(),
        is_repeatable: submit.key.is_some(),
        ..Call::default()
    };
    let answer = client.call(&call)?;
    let id = answer.body["id"].as_str().unwrap_or_default().to_owned();
    if submit.wait && answer.is_ok() {
        eprintln!("accepted as {id}");
        return run_wait(client, &id, json);
    }
    Ok(show(&answer, json))
}

/// Waits until a job has ended, in calls of at most 5 s each, so that the failure of an entry costs
/// at most one of them. Prints the state of the job whenever it changes.
fn run_wait(client: &Client, job: &str, json: bool) -> eyre::Result<i32> {
    let mut last = String::new();
    loop {
        let answer = client.get(&format!("/v1/jobs/{job}?wait=5s"))?;
        let is_over = answer.status != 202 && answer.body["is_ended"] != json!(false);
        if is_over && answer.status != 503 {
            return Ok(show(&answer, json));
        }
        let now = client.get(&format!("/v1/jobs/{job}/explain"))?;
        let state = format!("{} {}", now.body["state"], now.reason());
        if state != last {
            eprintln!("{job}: {state}");
            last = state;
        }
    }
}

fn run_list(client: &Client, list: &args::List, json: bool) -> eyre::Result<i32> {
    let mut path = "/v1/jobs?".to_owned();
    for (name, value) in [("organisation", &list.organisation), ("region", &list.region)] {
        if let Some(value) = value {
            path.push_str(&format!("{name}={value}&"));
        }
    }
    let answer = client.get(&path)?;
    if json {
        println!("{}", answer.body);
    } else {
        let none = Vec::new();
        table::print(&COLUMNS, answer.body["jobs"].as_array().unwrap_or(&none));
    }
    Ok(if answer.is_ok() { exit::OK } else { exit::FAILURE })
}

/// Prints a job, or the reason why the request was refused, and returns the exit code.
fn show(answer: &Answer, json: bool) -> i32 {
    if json {
        println!("{}", answer.body);
    } else if answer.body["id"].is_string() {
        table::print(&COLUMNS, std::slice::from_ref(&answer.body));
    } else {
        println!("{}: {}", answer.body["account"], answer.reason());
    }
    let state = answer.body["state"].as_str().unwrap_or_default();
    let is_ended = answer.body["is_ended"] == json!(true);
    match (answer.body["account"].as_str(), answer.status) {
        (Some("unknown"), _) => exit::UNKNOWN,
        (_, 400..=499) => exit::REFUSED,
        (_, 500..) => exit::REFUSED,
        _ if is_ended && state != "done" && state != "cancelled" => exit::NOT_DONE,
        _ => exit::OK,
    }
}
