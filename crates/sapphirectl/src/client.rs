//! HTTP client of the entries.

use std::{net::SocketAddr, time::Duration};

use eyre::{WrapErr as _, bail, ensure};
use serde_json::Value;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Talks to the first entry that answers.
pub struct Client {
    entries: Vec<SocketAddr>,
    agent: ureq::Agent,
}

/// An entry's answer.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Value,
}

impl Answer {
    /// Whether the status says success.
    pub fn is_ok(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Reason in words; empty when there is none.
    pub fn reason(&self) -> &str {
        self.body["reason"].as_str().unwrap_or_default()
    }
}

/// A call to make.
#[derive(Default)]
pub struct Call<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers.
    pub headers: &'a [(&'a str, String)],
    /// Body.
    pub body: String,
    /// Going to a second entry can't do harm when the first did not answer.
    pub is_repeatable: bool,
}

impl Client {
    /// A client of the given entries.
    ///
    /// # Errors
    /// When an address can't be read.
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

    /// Reads something.
    ///
    /// # Errors
    /// When no entry answers.
    pub fn get(&self, path: &str) -> eyre::Result<Answer> {
        self.call(&Call { method: "GET", path, is_repeatable: true, ..Call::default() })
    }

    /// Makes a call.
    ///
    /// # Errors
    /// When no entry answers; for a call that must not be repeated, when the first one reached
    /// did not.
    pub fn call(&self, call: &Call<'_>) -> eyre::Result<Answer> {
        ensure!(!self.entries.is_empty(), "give --entry, the address of an entry");
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

/// Whether the entry can't have seen the call.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(timeout) => matches!(timeout, ureq::Timeout::Connect),
        _ => false,
    }
}
