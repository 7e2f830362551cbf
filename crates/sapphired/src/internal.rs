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

use std::{net::SocketAddr, time::Duration};

use prost::Message;
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
