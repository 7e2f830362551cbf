//! The minion over HTTP/1.1: one thread a slot.

use std::{io, time::Duration};

use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender, unbounded};
use sapphire_agent::{effect, event};
use sapphire_wire::Header;

use crate::runtime;

/// Largest answer, in bytes.
const MAX_ANSWER: u64 = 8 << 20;
/// Longest idle time of a kept connection; below what minions usually allow.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Takes calls to the minion and answers them as events.
pub struct Minion {
    calls: Sender<effect::Call>,
}

impl Minion {
    /// Starts one thread a slot.
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(address: &str, slots: u32, events: &Sender<event::Event>) -> eyre::Result<Self> {
        let (calls, queue) = unbounded();
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_age(MAX_IDLE)
            .max_idle_connections_per_host(slots as usize)
            .allow_non_standard_methods(true)
            .build();
        let agent: ureq::Agent = config.into();
        for _ in 0..slots {
            let caller = Caller { base: format!("http://{address}"), agent: agent.clone() };
            let (queue, events): (Receiver<effect::Call>, _) = (queue.clone(), events.clone());
            runtime::spawn("minion", move || {
                for call in queue {
                    let attempt = call.attempt.clone();
                    let result = caller.ask(call);
                    let response = effect::Response { attempt, result };
                    if events.send(event::Event::MinionAnswered(response)).is_err() {
                        return;
                    }
                }
            })?;
        }
        Ok(Minion { calls })
    }

    /// Hands a request to the minion.
    pub fn call(&self, call: effect::Call) {
        self.calls.send(call).expect("the threads live as long as the process");
    }
}

struct Caller {
    base: String,
    agent: ureq::Agent,
}

impl Caller {
    fn ask(&self, call: effect::Call) -> Result<effect::Answer, effect::Failure> {
        let is_rejected = |error: &dyn std::fmt::Display| effect::Failure {
            is_undelivered: true,
            reason: format!("the request can't be passed on: {error}"),
        };
        let mut builder = ureq::http::Request::builder()
            .method(call.method.as_str())
            .uri(format!("{}{}", self.base, call.path));
        for header in &call.headers {
            builder = builder.header(header.name.as_str(), header.value.as_str());
        }
        let request = builder.body(call.body.to_vec()).map_err(|error| is_rejected(&error))?;
        let request =
            self.agent.configure_request(request).timeout_global(Some(call.time_left)).build();
        let mut response = self.agent.run(request).map_err(|error| failure(&error))?;
        let status = u32::from(response.status().as_u16());
        let headers = response.headers().iter().map(|(name, value)| Header {
            name: name.to_string(),
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        });
        let headers = headers.collect();
        let body = response.body_mut().with_config().limit(MAX_ANSWER).read_to_vec();
        let body = Bytes::from(body.map_err(|error| failure_after(&error))?);
        Ok(effect::Answer { status, headers, body })
    }
}

/// The minion has not seen a request whose connection was refused; of any other failure it is
/// not known.
fn failure(error: &ureq::Error) -> effect::Failure {
    let is_undelivered = match error {
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        _ => false,
    };
    effect::Failure { is_undelivered, reason: format!("the minion: {error}") }
}

fn failure_after(error: &ureq::Error) -> effect::Failure {
    effect::Failure { is_undelivered: false, reason: format!("the minion's answer: {error}") }
}
