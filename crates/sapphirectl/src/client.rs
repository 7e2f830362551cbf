//! HTTP client for the entries.

use std::{net::SocketAddr, time::Duration};

use eyre::{WrapErr as _, bail, ensure};
use serde_json::Value;

/// Time-out of a call to one entry.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Client that tries the entries in order until one answers.
pub struct Client {
    entries: Vec<SocketAddr>,
    agent: ureq::Agent,
}

/// An entry's answer.
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body as JSON; a string if it is not JSON.
    pub body: Value,
}

impl Answer {
    /// Returns whether the status is 2xx.
    pub fn is_ok(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns the reason in the body; empty if there is none.
    pub fn reason(&self) -> &str {
        self.body["reason"].as_str().unwrap_or_default()
    }
}

/// A call to an entry.
#[derive(Default)]
pub struct Call<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query of the URL.
    pub path: &'a str,
    /// Names and values of headers.
    pub headers: &'a [(&'a str, String)],
    /// Body; empty for none.
    pub body: String,
    /// Whether the call may be sent to another entry although the first one may have carried it out
    /// without answering.
    pub is_repeatable: bool,
}

impl Client {
    /// Creates a client for the entries at the given addresses.
    ///
    /// # Errors
    /// If an address is not of the form ip:port.
    pub fn new(entries: &[String]) -> eyre::Result<Self> {
        let parse = |text: &String| {
            text.parse().wrap_err_with(|| format!("--entry {text}: must be an address, ip:port"))
        };
        let entries = entries.iter().map(parse).collect::<eyre::Result<_>>()?;
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .timeout_connect(Some(Duration::from_secs(2)))
            .http_status_as_error(false)
            .build();
        Ok(Client { entries, agent: config.into() })
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// If no entry answers.
    pub fn get(&self, path: &str) -> eyre::Result<Answer> {
        self.call(&Call { method: "GET", path, is_repeatable: true, ..Call::default() })
    }

    /// Sends a call to the first entry that answers.
    ///
    /// # Errors
    /// If no entry answers. For a call that is not repeatable, also if an entry that the call may
    /// have reached does not answer.
    pub fn call(&self, call: &Call<'_>) -> eyre::Result<Answer> {
        ensure!(!self.entries.is_empty(), "no entry is given: pass its address with --entry");
        let mut failures = Vec::new();
        for entry in &self.entries {
            match self.send(entry, call) {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    let is_unsent = is_unsent(&error);
                    failures.push(format!("{entry}: {error}"));
                    if !call.is_repeatable && !is_unsent {
                        bail!("{}; it may or may not have taken effect", failures.join("; "));
                    }
                }
            }
        }
        bail!("no entry answered: {}", failures.join("; "))
    }

    fn send(&self, entry: &SocketAddr, call: &Call<'_>) -> Result<Answer, ureq::Error> {
        let mut request = ureq::http::Request::builder()
            .method(call.method)
            .uri(format!("http://{entry}{}", call.path));
        for (name, value) in call.headers {
            request = request.header(*name, value);
        }
        let mut response = if call.body.is_empty() {
            self.agent.run(request.body(())?)?
        } else {
            self.agent.run(request.body(call.body.clone())?)?
        };
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string()?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok(Answer { status, body })
    }
}

/// Returns whether the entry can't have received the call.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(timeout) => matches!(timeout, ureq::Timeout::Connect),
        _ => false,
    }
}
