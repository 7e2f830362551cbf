//! HTTP/1.1 client of the key-value service.
//!
//! | call | request |
//! |---|---|
//! | get | `GET /kv/KEY` |
//! | watch | `GET /kv/KEY?above=REVISION`, answered at a later revision or when the wait ends |
//! | put | `PUT /kv/KEY` with `If-Match: REVISION` and, for a lease, `X-Lease` |
//! | grant, keep, revoke | `POST /leases?ttl_ms=N`, `PUT /leases/ID`, `DELETE /leases/ID` |
//!
//! Every answer about a key carries its revision in `X-Revision`. Status 409 is a conflict; its
//! body is the current value. Status 404 on a lease means that the lease has expired.

use std::time::Duration;

use bytes::Bytes;

use crate::call::{Call, Reply, Revision, Value};

/// Timeout of every call except a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a watch; longer than the service keeps one open.
const WATCH_TIMEOUT: Duration = Duration::from_secs(40);

/// Blocking client; each thread uses its own.
pub struct Client {
    base: String,
    calls: ureq::Agent,
    watches: ureq::Agent,
}

fn agent_with_timeout(timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .build();
    config.into()
}

impl Client {
    /// Creates a client of the service at an address, ip:port.
    pub fn new(address: &str) -> Self {
        Client {
            base: format!("http://{address}"),
            calls: agent_with_timeout(CALL_TIMEOUT),
            watches: agent_with_timeout(WATCH_TIMEOUT),
        }
    }

    /// Makes one call and waits for the reply.
    pub fn call(&self, call: &Call) -> Reply {
        let answer = self.send(call);
        answer.unwrap_or_else(|error| Reply::Unavailable(error.to_string()))
    }

    fn send(&self, call: &Call) -> Result<Reply, ureq::Error> {
        let base = &self.base;
        match call {
            Call::Get { key } => {
                let response = self.calls.get(format!("{base}/kv/{key}")).call()?;
                read_value(response).map(Reply::Value)
            }
            Call::Watch { key, above } => {
                let url = format!("{base}/kv/{key}?above={above}");
                read_value(self.watches.get(url).call()?).map(Reply::Value)
            }
            Call::Put { key, expected, value, lease } => {
                let mut request = self
                    .calls
                    .put(format!("{base}/kv/{key}"))
                    .header("If-Match", expected.to_string());
                if let Some(lease) = lease {
                    request = request.header("X-Lease", lease.to_string());
                }
                let response = request.send(&value[..])?;
                let is_written = response.status().is_success();
                let value = read_value(response)?;
                Ok(if is_written { Reply::Written(value.revision) } else { Reply::Conflict(value) })
            }
            Call::Scan { .. } | Call::WatchPrefix { .. } | Call::Commit { .. } => {
                Ok(Reply::NotDone(
                    "this key-value service supports only calls on a single key".to_owned(),
                ))
            }
            Call::Grant { ttl } => {
                let url = format!("{base}/leases?ttl_ms={}", ttl.as_millis());
                read_lease(self.calls.post(url).send_empty()?)
            }
            Call::Keep { lease } => {
                read_lease(self.calls.put(format!("{base}/leases/{lease}")).send_empty()?)
            }
            Call::Revoke { lease } => {
                read_lease(self.calls.delete(format!("{base}/leases/{lease}")).call()?)
            }
        }
    }
}

type Response = ureq::http::Response<ureq::Body>;

/// Reads a value. An answer without a revision, such as an error page or a truncated answer, is an
/// error.
fn read_value(mut response: Response) -> Result<Value, ureq::Error> {
    let status = response.status().as_u16();
    let revision = response.headers().get("X-Revision");
    let revision = revision.and_then(|text| text.to_str().ok()?.parse::<Revision>().ok());
    let Some(revision) = revision else { return Err(ureq::Error::StatusCode(status)) };
    let bytes = Bytes::from(response.body_mut().read_to_vec()?);
    Ok(Value { revision, bytes })
}

fn read_lease(mut response: Response) -> Result<Reply, ureq::Error> {
    let status = response.status().as_u16();
    if status == 404 {
        return Ok(Reply::Lapsed);
    }
    let text = response.body_mut().read_to_string()?;
    let lease = text.trim().parse().map_err(|_| ureq::Error::StatusCode(status))?;
    Ok(Reply::Leased(lease))
}
