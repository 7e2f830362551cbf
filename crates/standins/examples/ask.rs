//! Asks one thing over HTTP and checks the answer; for the demo.

use std::{
    process,
    time::{Duration, Instant},
};

/// Ask once, or until the answer is as expected, and print it.
#[derive(argh::FromArgs)]
struct Args {
    /// method; GET by default
    #[argh(option, default = "String::from(\"GET\")")]
    method: String,
    /// body
    #[argh(option, default = "String::new()")]
    body: String,
    /// header, as name=value; may be given more than once
    #[argh(option)]
    header: Vec<String>,
    /// status that the answer must have
    #[argh(option, default = "200")]
    status: u16,
    /// text that the answer's body must hold
    #[argh(option, default = "String::new()")]
    holds: String,
    /// ask again until the answer is as expected, at most this many seconds
    #[argh(option, default = "0")]
    within: u64,
    /// address
    #[argh(positional)]
    url: String,
}

fn ask(args: &Args) -> Result<(u16, String), ureq::Error> {
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
    let until = Instant::now() + Duration::from_secs(args.within);
    loop {
        let answer = ask(&args);
        let is_expected = answer
            .as_ref()
            .is_ok_and(|(status, body)| *status == args.status && body.contains(&args.holds));
        if is_expected || Instant::now() >= until {
            println!("{} {} -> {answer:?}", args.method, args.url);
            process::exit(i32::from(!is_expected));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}
