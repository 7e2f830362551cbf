//! Calls between the system's own processes: HTTP with messages of the schema as bodies.
//!
//! | path | from | to | body and answer |
//! |---|---|---|---|
//! | `POST /poll` | agent | planner | `Poll`, `Orders`; held until there are orders |
//! | `POST /feed` | entry | planner | `FeedPoll`, `Feed`; held until there is news |
//! | `POST /notice` | entry | planner | `Notice`, nothing |
//! | `GET /lead` | any | entry | nothing, `Lead` |
//! | `POST /lead` | planner | agent | `Lead`, nothing |
//! | `POST /relay` | entry | entry | `Relay`, `Relayed` |
//!
//! 409 says that the process asked does not plan.

use std::{net::SocketAddr, time::Duration};

use prost::Message;
use sapphire_net::{
    hub::{CallId, Failure, Hub},
    message::{Request, Response},
};

/// Agent to planner.
pub const POLL: &str = "/poll";
/// Entry to planner.
pub const FEED: &str = "/feed";
/// Entry to planner.
pub const NOTICE: &str = "/notice";
/// Who plans.
pub const LEAD: &str = "/lead";
/// Entry to entry.
pub const RELAY: &str = "/relay";

/// The process asked does not plan, or the question is out of date.
pub const DECLINED: u16 = 409;

/// Calls a process; none when the address can't be read.
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
            log::warn!(target: "sapphire", "inner: address={address} can't be read: {error}");
            return None;
        }
    };
    let request = Request::new(method, path, message.encode_to_vec());
    Some(hub.call(target, &request, timeout))
}

/// Reads the answer to a call; none when there is none that can be read.
pub fn answer<M: Message + Default>(result: Result<Response, Failure>) -> Option<M> {
    let response = result.ok().filter(|response| response.status == 200)?;
    M::decode(response.body).ok()
}

/// Writes an answer.
pub fn response(message: &impl Message) -> Response {
    Response::new(200, message.encode_to_vec())
}
