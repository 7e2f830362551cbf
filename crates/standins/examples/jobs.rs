//! Submits jobs one by one and then all at once, and prints how long they took; used by
//! `scripts/bench-fleet.sh`.

use std::{
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Measure the time from the submission of a job to its acceptance, its start and its end.
#[derive(argh::FromArgs)]
struct Args {
    /// address of an entry's HTTP interface, as host:port
    #[argh(option)]
    entry: String,
    /// number of jobs to submit one by one, and again at once
    #[argh(option)]
    jobs: usize,
}

fn submit(agent: &ureq::Agent, entry: &str, key: &str) -> Option<Value> {
    let body = json!({
        "organisation": "o",
        "shape": { "accelerators": 8, "tasks": 2, "adjacency": "rack" },
        "command": "sleep 10ms",
        "idempotent": true,
        "key": key,
    });
    let mut response =
        agent.post(format!("http://{entry}/v1/jobs")).send(body.to_string().as_bytes()).ok()?;
    serde_json::from_str(&response.body_mut().read_to_string().ok()?).ok()
}

/// Waits at most 10 s for the end of a job and returns the job.
fn wait(agent: &ureq::Agent, entry: &str, id: &str) -> Option<Value> {
    let url = format!("http://{entry}/v1/jobs/{id}?wait=10s");
    let text = agent.get(url).call().ok()?.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}

fn print(name: &str, times: &Histogram<u64>) {
    let at = |quantile| times.value_at_quantile(quantile);
    println!("  {name}: p50 {} us, p99 {} us", at(0.5), at(0.99));
}

fn main() {
    let args: Args = argh::from_env();
    let config = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(30)));
    let agent: ureq::Agent = config.build().into();
    let histogram =
        || Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are fixed and valid");
    let (mut accepted, mut ended, mut started) = (histogram(), histogram(), histogram());
    for number in 0..args.jobs {
        let begin = Instant::now();
        let job = submit(&agent, &args.entry, &format!("one-{number}"))
            .expect("the entry accepts the job");
        accepted.saturating_record(begin.elapsed().as_micros() as u64);
        let id = job["id"].as_str().expect("an accepted job has an id").to_owned();
        let job = wait(&agent, &args.entry, &id).expect("the entry returns the job");
        assert_eq!(job["state"], "done", "{job}");
        ended.saturating_record(begin.elapsed().as_micros() as u64);
        let millis = |name: &str| job[name].as_u64().unwrap_or(0);
        started
            .saturating_record((millis("started_unix_ms") - millis("submitted_unix_ms")) * 1_000);
    }
    print("submit to accepted", &accepted);
    print("submit to running, as the planner notes it", &started);
    print("submit to done, program of 10 ms", &ended);
    let begin = Instant::now();
    let threads: Vec<_> = (0..args.jobs)
        .map(|number| {
            let (agent, entry) = (agent.clone(), args.entry.clone());
            thread::spawn(move || submit(&agent, &entry, &format!("all-{number}")).is_some())
        })
        .collect();
    let accepted = threads.into_iter().filter_map(|thread| thread.join().ok()).filter(|ok| *ok);
    let count = accepted.count();
    println!("  {count} of {} jobs at once accepted in {:?}", args.jobs, begin.elapsed());
}
