//! What callers observe when a process is killed, paused or shut down.

use std::{thread, time::Duration};

use serde_json::{Value, json};

use crate::fleet::Fleet;

const RULES: &str = "organisation review # Ines\norganisation archive # Rui\n\
    guarantee review accelerators=8 tasks=2 adjacency=rack zone=norte-a # Ines\n\
    reclaim grace=1s # Rui\n";

fn job(key: &str, command: &str) -> String {
    json!({
        "organisation": "review",
        "shape": { "accelerators": 8, "tasks": 2, "adjacency": "rack" },
        "command": command,
        "key": key,
    })
    .to_string()
}

/// Starts a fleet with three agents and waits until the rules are in force on all processes.
fn start_with_rules(name: &str) -> Fleet {
    let fleet = Fleet::start(name, 3);
    let (status, body) = fleet.request(0, "PUT", "/v1/rules", RULES);
    assert_eq!((status, body["revision"].clone()), (200, json!(1)), "{body}");
    let is_everywhere = |body: &Value| {
        body["in_force"].as_array().is_some_and(|all| all.len() == 1 && all[0]["revision"] == 1)
    };
    fleet.wait_until(0, "/v1/rules/status", is_everywhere);
    fleet
}

fn state(body: &Value) -> &str {
    body["state"].as_str().unwrap_or_default()
}

/// The entry that plans is killed (SIGKILL) while a gang runs. The other entry takes over, and a
/// caller learns there that the job, which must not be repeated, was done in its first attempt.
#[test]
fn a_killed_planner_loses_no_job() {
    let fleet = start_with_rules("killed");
    let planner = fleet.planner();
    let (status, body) = fleet.request(planner, "POST", "/v1/jobs", &job("k", "sleep 5000ms"));
    assert_eq!(status, 201, "{body}");
    fleet.wait_until(planner, "/v1/jobs/norte.review.k", |body| state(body) == "running");
    fleet.signal(planner, "-KILL");
    let body =
        fleet.wait_until(1 - planner, "/v1/jobs/norte.review.k", |body| state(body) == "done");
    assert_eq!(body["attempts"], 1);
}

/// The planner is paused (SIGSTOP) until its lease has expired and resumed (SIGCONT) when the other
/// entry plans. It steps down; a job submitted through it runs once.
#[test]
fn a_paused_planner_steps_down() {
    let fleet = start_with_rules("paused");
    let planner = fleet.planner();
    let other = 1 - planner;
    fleet.signal(planner, "-STOP");
    let name = format!("e{}", other + 1);
    fleet.wait_until(other, "/v1/rules/status", |body| body["planner"] == name.as_str());
    fleet.signal(planner, "-CONT");
    fleet.wait_until(planner, "/v1/rules/status", |body| body["planner"] == name.as_str());
    let (status, body) = fleet.request(planner, "POST", "/v1/jobs", &job("k", "sleep 100ms"));
    assert_eq!(status, 201, "{body}");
    let body = fleet.wait_until(planner, "/v1/jobs/norte.review.k", |body| state(body) == "done");
    assert_eq!(body["attempts"], 1);
}

/// Guards against a gang that is interrupted although its workers extend its lease: one long poll, which
/// has waited for longer than the lease, fails.
#[test]
fn a_gang_goes_on_while_one_poll_of_its_workers_fails() {
    let fleet = start_with_rules("failed-poll");
    let (status, body) = fleet.request(0, "POST", "/v1/jobs", &job("k", "sleep 7000ms"));
    assert_eq!(status, 201, "{body}");
    fleet.wait_until(0, "/v1/jobs/norte.review.k", |body| state(body) == "running");
    // The lease of the workers is 3 s, and nothing has changed there meanwhile.
    thread::sleep(Duration::from_secs(4));
    for worker in &fleet.workers {
        let reply = fleet.request_url(&format!("http://{worker}/fail-poll"), "POST", "{}");
        assert_eq!(reply.map(|(status, _)| status), Some(200));
    }
    let body =
        fleet.wait_until(0, "/v1/jobs/norte.review.k", |body| !["running"].contains(&state(body)));
    assert_eq!((state(&body), &body["attempts"]), ("done", &json!(1)), "{body}");
}

/// An agent is shut down gracefully (SIGTERM) while a gang runs on it. The gang is not interrupted,
/// and the agent exits with code 0 once the gang has ended.
#[test]
fn a_drained_agent_finishes_its_gang() {
    let mut fleet = start_with_rules("drained");
    let (status, body) = fleet.request(0, "POST", "/v1/jobs", &job("k", "sleep 1500ms"));
    assert_eq!(status, 201, "{body}");
    let body = fleet.wait_until(0, "/v1/jobs/norte.review.k", |body| state(body) == "running");
    let agent = body["agents"][0].as_str().expect("a running job has agents").to_owned();
    let index: usize = agent[1..].parse().expect("agents are numbered");
    fleet.signal(1 + index, "-TERM");
    let body = fleet.wait_until(0, "/v1/jobs/norte.review.k", |body| state(body) == "done");
    assert_eq!(body["attempts"], 1);
    assert!(fleet.wait_for_exit(1 + index), "the agent exited with a failure");
}

/// Malformed calls of all kinds arrive. Each is rejected with a clear reason, and a later caller is
/// served.
#[test]
fn bad_calls_are_refused_and_harm_no_one() {
    let fleet = start_with_rules("bad");
    let long = "x".repeat(2 << 20);
    let calls = [
        ("POST", "/v1/jobs", "{"),
        ("POST", "/v1/jobs", "{\"organisation\":\"review\"}"),
        ("POST", "/v1/jobs", long.as_str()),
        ("PUT", "/v1/rules", "promise everything"),
        ("GET", "/v1/jobs/norte.none", ""),
        ("DELETE", "/v1/rules", ""),
        ("GET", "/v1/services/nothing/x", ""),
        ("GET", "/nowhere", ""),
        ("GET", "/v1/jobs/norte.none?wait=5", ""),
    ];
    let answers: Vec<String> = calls
        .iter()
        .map(|(method, path, body)| {
            let (status, body) = fleet.request(0, method, path, body);
            format!("{method} {path}: {status} {}", body["reason"].as_str().unwrap_or_default())
        })
        .collect();
    insta::assert_snapshot!(answers.join("\n"));
    let (status, body) = fleet.request(0, "POST", "/v1/services/review/check", "chapter");
    assert_eq!((status, body), (200, json!("chapter")));
}

/// The store becomes unavailable. Requests are still served and a new job is rejected as not run;
/// once the store is available again, the same job is accepted.
#[test]
fn a_store_outage_is_reported_and_survived() {
    let fleet = start_with_rules("outage");
    let faults = format!("http://{}/faults", fleet.store);
    fleet.request_url(&faults, "PUT", "{\"down\":true}").expect("the stand-in answers");
    // The outage may begin between the first job's acceptance and its record; its account is then
    // `unknown`.
    let (status, body) = fleet.request(0, "POST", "/v1/jobs", &job("first", "sleep 10ms"));
    assert!(status == 504 && body["account"] == "unknown" || status == 503, "{status} {body}");
    let (status, body) = fleet.request(0, "POST", "/v1/jobs", &job("second", "sleep 10ms"));
    assert_eq!((status, body["account"].clone()), (503, json!("not-run")), "{body}");
    let (status, _) = fleet.request(0, "POST", "/v1/services/review/check", "chapter");
    assert_eq!(status, 200);
    fleet.request_url(&faults, "PUT", "{}").expect("the stand-in answers");
    let is_accepted =
        || fleet.request(0, "POST", "/v1/jobs", &job("second", "sleep 10ms")).0 == 201;
    while !is_accepted() {}
    fleet.wait_until(0, "/v1/jobs/norte.review.second", |body| state(body) == "done");
}
