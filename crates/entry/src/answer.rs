//! Answers to callers. Each states in its account whether the request or job ran.

use std::{fmt, time::Duration};

use bytes::Bytes;
use sapphire_wire::Header;
use serde_json::json;

/// Outcome of a caller's request or job, as stated to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Account {
    /// It ran, and this is its complete answer.
    Done,
    /// It did not run and will not run.
    NotRun,
    /// It ran in part, or its answer was cut off.
    Interrupted,
    /// It may or may not have run.
    Unknown,
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Account::Done => "done",
            Account::NotRun => "not-run",
            Account::Interrupted => "interrupted",
            Account::Unknown => "unknown",
        })
    }
}

/// Header that carries the account.
pub const ACCOUNT: &str = "Sapphire-Account";
/// Header that carries the identifier of the attempt.
pub const ATTEMPT: &str = "Sapphire-Attempt";

/// An HTTP answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers, except Content-Length.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

fn header(name: &str, value: impl Into<String>) -> Header {
    Header { name: name.to_owned(), value: value.into() }
}

impl Answer {
    /// Creates a JSON answer.
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        let body = Bytes::from(format!("{value}\n"));
        let headers = vec![header("Content-Type", "application/json")];
        Answer { status, headers, body }
    }

    /// Creates an answer for a refusal or failure, with its reason and account.
    pub fn failure(status: u16, account: Account, reason: &str) -> Self {
        let value = json!({ "account": account.to_string(), "reason": reason });
        Answer::json(status, &value).with(ACCOUNT, account.to_string())
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push(header(name, value));
        self
    }

    /// Adds a Retry-After header, in whole seconds rounded up.
    pub fn retry_after(self, wait: Duration) -> Self {
        let seconds = wait.as_millis().div_ceil(1_000).max(1);
        self.with("Retry-After", seconds.to_string())
    }
}
