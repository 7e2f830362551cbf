//! HTTP/1.1 client of the minion, with one thread for each of the minion's slots.

use std::{io, time::Duration};

use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender, unbounded};
use sapphire_agent::{effect, event};
use sapphire_wire::Header;

use crate::runtime;

/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: u64 = 8 << 20;
/// Time for which an idle connection is kept; less than minions usually keep theirs.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);

/// Queue of calls to the minion; the results are reported as events.
pub struct Minion {
    calls: Sender<effect::Call>,
}

impl Minion {
    /// Starts one thread for each slot.
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(address: &str, slots: u32, events: &Sender<event::Event>) -> eyre::Result<Self> {
        let (calls, queue) = unbounded();
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_age(MAX_IDLE_AGE)
            .max_idle_connections_per_host(slots as usize)
            .allow_non_standard_methods(true)
            .build();
        let agent: ureq::Agent = config.into();
        for _ in 0..slots {
            let client = Client { base: format!("http://{address}"), agent: agent.clone() };
            let (queue, events): (Receiver<effect::Call>, _) = (queue.clone(), events.clone());
            runtime::spawn("minion", move || {
                for call in queue {
                    let attempt = call.attempt.clone();
                    let result = client.send(call);
                    let response = effect::Response { attempt, result };
                    if events.send(event::Event::MinionAnswered(response)).is_err() {
                        return;
                    }
                }
            })?;
        }
        Ok(Minion { calls })
    }

    /// Queues a request for the minion.
    pub fn call(&self, call: effect::Call) {
        self.calls.send(call).expect("the threads live as long as the process");
    }
}

struct Client {
    base: String,
    agent: ureq::Agent,
}

impl Client {
    fn send(&self, call: effect::Call) -> Result<effect::Answer, effect::Failure> {
        let undeliverable = |error: &dyn std::fmt::Display| effect::Failure {
            is_undelivered: true,
            reason: format!("the request can't be passed on: {error}"),
        };
        let mut builder = ureq::http::Request::builder()
            .method(call.method.as_str())
            .uri(format!("{}{}", self.base, call.path));
        for header in &call.headers {
            builder = builder.header(header.name.as_str(), header.value.as_str());
        }
        let request = builder.body(call.body.to_vec()).map_err(|error| undeliverable(&error))?;
        let request =
            self.agent.configure_request(request).timeout_global(Some(call.time_left)).build();
        let mut response = self.agent.run(request).map_err(|error| failure(&error))?;
        let status = u32::from(response.status().as_u16());
        let headers = response.headers().iter().map(|(name, value)| Header {
            name: name.to_string(),
            value: String::from_utf8_lossy(value.as_bytes()).into_owned(),
        });
        let headers = headers.collect();
        let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
        let body = Bytes::from(body.map_err(|error| body_failure(&error))?);
        Ok(effect::Answer { status, headers, body })
    }
}

/// Describes a request that got no answer. The minion certainly did not receive it if no connection
/// was established; after any other error it may have.
fn failure(error: &ureq::Error) -> effect::Failure {
    let is_undelivered = match error {
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        _ => false,
    };
    effect::Failure { is_undelivered, reason: format!("the minion: {error}") }
}

/// Describes an answer whose body could not be read.
fn body_failure(error: &ureq::Error) -> effect::Failure {
    effect::Failure { is_undelivered: false, reason: format!("the minion's answer: {error}") }
}
