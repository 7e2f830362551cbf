//! Calls between the system's own processes: HTTP requests with encoded messages of the schema as
//! bodies.
//!
//! | call | from | to | request, response |
//! |---|---|---|---|
//! | `POST /poll` | agent | planner | `Poll`, `Orders`; answered when there are orders |
//! | `POST /feed` | entry | planner | `FeedPoll`, `Feed`; answered when there are changes |
//! | `POST /notice` | entry | planner | `Notice`, empty |
//! | `GET /lead` | any | entry | empty, `Lead` |
//! | `POST /lead` | planner | agent | `Lead`, empty |
//! | `POST /relay` | entry | entry | `Relay`, `Relayed` |
//!
//! Status 409 means that the receiving process is not the planner.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::{Buf as _, Bytes};
use prost::{
    DecodeError, Message,
    encoding::{self, DecodeContext, WireType},
};
use sapphire_net::{
    hub::{CallId, Failure, Hub},
    message::{Request, Response},
};

/// Path of an agent's poll for orders, sent to the planner.
pub const POLL: &str = "/poll";
/// Path of an entry's poll for changes of jobs, sent to the planner.
pub const FEED: &str = "/feed";
/// Path on which an entry notifies the planner of submissions and cancellations.
pub const NOTICE: &str = "/notice";
/// Path for the identity of the leader, which any process may query at an entry and the planner
/// announces to agents.
pub const LEADER: &str = "/lead";
/// Path of a call to the store that another entry makes on behalf of the sender.
pub const RELAY: &str = "/relay";

/// Status of a declined request: the receiving process is not the planner, or the request is out of
/// date.
pub const DECLINED: u16 = 409;

/// Most entries of a message, over all of its lists. An entry takes at least two bytes encoded, and a hundred
/// and more in memory.
const MAX_ENTRIES: usize = 65_536;

/// Reason why a message was rejected.
#[derive(Debug)]
pub enum Rejected {
    /// It can't be decoded.
    Malformed(DecodeError),
    /// It has more entries than any process sends.
    TooManyEntries,
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejected::Malformed(error) => error.fmt(f),
            Rejected::TooManyEntries => write!(f, "more than {MAX_ENTRIES} entries"),
        }
    }
}

/// Decodes the body of a request. `nested` is the number of a field with a message that has lists of its
/// own.
///
/// Guards against a body within the limit whose lists exhaust the memory of the process once they are
/// decoded.
///
/// # Errors
/// If the body can't be decoded or has too many entries.
pub fn decode<M: Message + Default>(body: &Bytes, nested: Option<u32>) -> Result<M, Rejected> {
    let entries = count_entries(body.clone(), nested).map_err(Rejected::Malformed)?;
    if entries > MAX_ENTRIES {
        return Err(Rejected::TooManyEntries);
    }
    M::decode(body.clone()).map_err(Rejected::Malformed)
}

/// Number of the fields of an encoded message, and of those of its nested ones.
fn count_entries(mut body: Bytes, nested: Option<u32>) -> Result<usize, DecodeError> {
    let mut entries = 0;
    while body.has_remaining() {
        let (field, wire_type) = encoding::decode_key(&mut body)?;
        entries += 1;
        if Some(field) == nested && wire_type == WireType::LengthDelimited {
            let mut inner = Bytes::new();
            encoding::bytes::merge(wire_type, &mut inner, &mut body, DecodeContext::default())?;
            entries += count_entries(inner, None)?;
        } else {
            encoding::skip_field(wire_type, field, &mut body, DecodeContext::default())?;
        }
        if entries > MAX_ENTRIES {
            break;
        }
    }
    Ok(entries)
}

/// Sends a call to a process; returns none if the address is invalid.
pub fn call(
    hub: &mut Hub,
    address: &str,
    method: &str,
    path: &str,
    message: &impl Message,
    timeout: Duration,
) -> Option<CallId> {
    let target: SocketAddr = match address.parse() {
        Ok(target) => target,
        Err(error) => {
            log::warn!(target: "sapphire", "inner: address={address} is invalid: {error}");
            return None;
        }
    };
    let request = Request::new(method, path, message.encode_to_vec());
    Some(hub.call(target, &request, timeout))
}

/// Decodes the answer to a call; returns none if the call failed, the status is not 200 or the body
/// can't be decoded.
pub fn answer<M: Message + Default>(result: Result<Response, Failure>) -> Option<M> {
    let response = result.ok().filter(|response| response.status == 200)?;
    M::decode(response.body).ok()
}

/// Encodes an answer with status 200.
pub fn response(message: &impl Message) -> Response {
    Response::new(200, message.encode_to_vec())
}
