//! Sends one HTTP request and checks the response; used by the scripts of the demo and benchmarks.

use std::{
    process,
    time::{Duration, Instant},
};

/// Send a request once, or again until the response is as expected, and print the last response.
#[derive(argh::FromArgs)]
struct Args {
    /// HTTP method; GET by default
    #[argh(option, default = "String::from(\"GET\")")]
    method: String,
    /// body of the request
    #[argh(option, default = "String::new()")]
    body: String,
    /// header of the request, as name=value; may be given more than once
    #[argh(option)]
    header: Vec<String>,
    /// status that the response must have
    #[argh(option, default = "200")]
    status: u16,
    /// text that the body of the response must contain
    #[argh(option, default = "String::new()")]
    holds: String,
    /// send the request again until the response is as expected, for at most this many seconds
    #[argh(option, default = "0")]
    within: u64,
    /// URL of the request
    #[argh(positional)]
    url: String,
}

fn send(args: &Args) -> Result<(u16, String), ureq::Error> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(20)))
        .http_status_as_error(false)
        .build();
    let agent: ureq::Agent = config.into();
    let mut request = ureq::http::Request::builder().method(args.method.as_str()).uri(&args.url);
    for header in &args.header {
        let (name, value) = header.split_once('=').unwrap_or((header, ""));
        request = request.header(name, value);
    }
    let mut response = if args.body.is_empty() {
        agent.run(request.body(())?)?
    } else {
        agent.run(request.body(args.body.clone())?)?
    };
    let status = response.status().as_u16();
    Ok((status, response.body_mut().read_to_string()?))
}

fn main() {
    let args: Args = argh::from_env();
    let deadline = Instant::now() + Duration::from_secs(args.within);
    loop {
        let response = send(&args);
        let is_expected = response
            .as_ref()
            .is_ok_and(|(status, body)| *status == args.status && body.contains(&args.holds));
        if is_expected || Instant::now() >= deadline {
            println!("{} {} -> {response:?}", args.method, args.url);
            process::exit(i32::from(!is_expected));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}
