//! Puts closed-loop HTTP load on two URLs in turn and prints the ratio of their throughputs.
//!
//! Each connection sends a request, waits for the response and sends the next one, until the round
//! is over.

use std::{
    sync::{Arc, Barrier, Mutex},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

/// Compare the throughput and latency of two URLs, round by round.
#[derive(argh::FromArgs)]
struct Args {
    /// URL of the baseline, which is requested directly
    #[argh(option)]
    straight: String,
    /// URL of the same service, requested through the system
    #[argh(option)]
    through: String,
    /// number of concurrent connections; may be given more than once
    #[argh(option)]
    connections: Vec<usize>,
    /// rounds per URL and number of connections
    #[argh(option, default = "3")]
    rounds: usize,
    /// length of a round in milliseconds
    #[argh(option, default = "2000")]
    millis: u64,
}

struct Round {
    micros: Histogram<u64>,
    failures: u64,
    per_second: f64,
}

/// Sends requests over one connection until the deadline; returns the number of failures.
fn run_connection(url: &str, deadline: Instant, micros: &mut Histogram<u64>) -> u64 {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(10)))
        .http_status_as_error(false)
        .build();
    let agent: ureq::Agent = config.into();
    let mut failures = 0;
    while Instant::now() < deadline {
        let begin = Instant::now();
        let is_ok = agent.get(url).call().is_ok_and(|mut response| {
            response.status().as_u16() == 200 && response.body_mut().read_to_vec().is_ok()
        });
        if is_ok {
            let elapsed = u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX);
            micros.saturating_record(elapsed);
        } else {
            failures += 1;
        }
    }
    failures
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are fixed and valid")
}

fn round(url: &str, connections: usize, length: Duration) -> Round {
    let total = Arc::new(Mutex::new((histogram(), 0)));
    let barrier = Arc::new(Barrier::new(connections));
    let threads: Vec<_> = (0..connections)
        .map(|_| {
            let (url, total, barrier) = (url.to_owned(), total.clone(), barrier.clone());
            thread::spawn(move || {
                let mut micros = histogram();
                barrier.wait();
                let failures = run_connection(&url, Instant::now() + length, &mut micros);
                let mut total = total.lock().expect("no thread panics while holding the lock");
                total.0 += micros;
                total.1 += failures;
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("a connection's loop does not panic");
    }
    let total = total.lock().expect("no thread panics while holding the lock");
    let (micros, failures) = (total.0.clone(), total.1);
    let per_second = micros.len() as f64 / length.as_secs_f64();
    Round { micros, failures, per_second }
}

fn main() {
    let args: Args = argh::from_env();
    let length = Duration::from_millis(args.millis);
    println!("connections  path      p50_us  p99_us  per_second  failures  ratio");
    for connections in &args.connections {
        for _ in 0..args.rounds {
            let straight = round(&args.straight, *connections, length);
            let through = round(&args.through, *connections, length);
            let ratio = through.per_second / straight.per_second;
            for (name, round, ratio) in [("straight", &straight, 1.0), ("through", &through, ratio)]
            {
                println!(
                    "{connections:11}  {name:8}  {:6}  {:6}  {:10.0}  {:8}  {ratio:.2}",
                    round.micros.value_at_quantile(0.5),
                    round.micros.value_at_quantile(0.99),
                    round.per_second,
                    round.failures,
                );
            }
        }
    }
}
