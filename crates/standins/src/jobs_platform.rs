//! The jobs platform's side of its HTTP protocol: parses calls to the store and orders to minions,
//! and writes the responses.

use std::{collections::BTreeMap, time::Duration};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use bytes::Bytes;
use sapphire_jobs::{Incarnation, Rejection, Start, resources::Resources, task::Task};
use sapphire_net::message::{Request, Response};
use sapphire_proofs::{
    jobs::minion::{Minion, Truth},
    store::Store,
};
use sapphire_runner::minion::{Call as Order, Reply as MinionReply};
use sapphire_store::call::{Call, Condition, Item, Put, Reply};
use serde_json::{Value, json};

/// Resources of each stand-in minion.
pub const CAPACITY: Resources = Resources { millicores: 8_000, memory_mib: 8_000, accelerators: 4 };

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn query(request: &Request, name: &str) -> String {
    let pairs = request.target.split_once('?').map_or("", |(_, query)| query).split('&');
    let found = pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
    found.map_or_else(String::new, |(_, value)| value.to_owned())
}

/// Parses a call to the store; `None` if the path is unknown or a number is missing or invalid.
pub fn store_call(request: &Request) -> Option<Call> {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    let path = request.path();
    let number = |name: &str| query(request, name).parse().unwrap_or(0);
    if let Some(lease) = path.strip_prefix("/kv-keep/") {
        return Some(Call::Keep { lease: lease.parse().ok()? });
    }
    if let Some(lease) = path.strip_prefix("/kv-lease-end/") {
        return Some(Call::Revoke { lease: lease.parse().ok()? });
    }
    Some(match path {
        "/kv-key" => Call::Get { key: query(request, "key") },
        "/kv-range" => Call::Scan {
            prefix: query(request, "prefix"),
            after: query(request, "after"),
            may_be_stale: false,
        },
        "/kv-watch" => Call::WatchPrefix {
            prefix: query(request, "prefix"),
            after: number("after"),
            wait: Duration::from_millis(number("wait_ms")),
        },
        "/kv-lease" => Call::Grant { ttl: Duration::from_millis(body["ttl_ms"].as_u64()?) },
        "/kv-txn" => transaction(&body),
        _ => return None,
    })
}

fn transaction(body: &Value) -> Call {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let condition = |row: &Value| Condition {
        key: text(&row["key"]),
        revision: row["revision"].as_u64().unwrap_or(0),
    };
    let put = |row: &Value| Put {
        key: text(&row["key"]),
        value: Bytes::from(BASE64_STANDARD.decode(text(&row["value"])).unwrap_or_default()),
        lease: row["lease"].as_u64(),
    };
    Call::Commit {
        conditions: rows("expected_rev").iter().map(condition).collect(),
        puts: rows("puts").iter().map(put).collect(),
        removes: rows("remove").iter().map(text).collect(),
    }
}

fn item(item: &Item) -> Value {
    match &item.value {
        Some(value) => json!({
            "key": item.key,
            "value": BASE64_STANDARD.encode(value),
            "revision": item.revision,
        }),
        None => json!({ "key": item.key, "revision": item.revision, "deleted": true }),
    }
}

/// HTTP response that carries a reply of the store.
pub fn store_response(call: &Call, reply: &Reply) -> Response {
    let items = |items: &[Item]| items.iter().map(item).collect::<Vec<_>>();
    let (status, body) = match reply {
        Reply::Value(value) if value.revision == 0 => (404, json!({})),
        Reply::Value(value) => {
            let bytes = BASE64_STANDARD.encode(&value.bytes);
            let key = if let Call::Get { key } = call { key.as_str() } else { "" };
            (200, json!({ "key": key, "value": bytes, "revision": value.revision }))
        }
        Reply::Items { items: found, has_more, revision } => {
            let body = json!({
                "items": items(found), "has_more": has_more, "store_revision": revision,
            });
            (200, body)
        }
        Reply::Changes { items: found, revision } => {
            (200, json!({ "events": items(found), "store_revision": revision }))
        }
        Reply::HistoryGone => (410, json!({})),
        Reply::Committed(revision) => (200, json!({ "revision": revision })),
        Reply::Refused(found) => (412, json!({ "items": items(found) })),
        Reply::Leased(lease) => (200, json!({ "lease": lease, "ttl_ms": 1_300 })),
        Reply::Lapsed => (404, json!({})),
        _ => (503, json!({})),
    };
    Response::new(status, body.to_string())
}

/// Adds rows of another writer to each list of a response: one that is no JSON, one that is nested
/// deeply around a number that is too large, and one without fields.
pub fn with_odd_rows(response: &Response) -> Response {
    let deep = format!("{}1e400{}", "[".repeat(2_000), "]".repeat(2_000));
    let mut text = String::from_utf8_lossy(&response.body).into_owned();
    // Changes without a row stay empty: a watch is answered with none when its time is up.
    for list in ["machines", "running", "finished", "items", "events"] {
        let (begin, empty) = (format!("\"{list}\":["), format!("\"{list}\":[]"));
        let rows = format!("{begin}NaN,{deep},null");
        if !text.contains(&empty) {
            text = text.replace(&begin, &format!("{rows},"));
        } else if list != "events" {
            text = text.replace(&empty, &format!("{rows}]"));
        }
    }
    Response::new(response.status, text)
}

/// Number of failed runs of a task after which its job fails.
pub const MAX_ATTEMPTS: u32 = 3;

/// Stores the platform's configuration: the queue `q`, which gets the jobs, `idle_routes` queues
/// that get none, and one organisation.
pub fn configure(store: &mut Store, now: Duration, idle_routes: usize) {
    configure_version(store, now, idle_routes, 1);
}

/// Returns the inventory of VMs: their names, and the identifiers of their minions, which are empty
/// for those without one.
pub fn inventory(vms: impl Iterator<Item = (String, String)>) -> Response {
    let row = |(name, id): (String, String)| {
        let state = if id.is_empty() { "down" } else { "up" };
        json!({ "machine": name, "pool": "desk", "state": state, "id": id })
    };
    let machines: Vec<Value> = vms.map(row).collect();
    Response::new(200, json!({ "machines": machines, "next_token": null }).to_string())
}

/// Replaces the configuration by a version of it.
pub fn configure_version(store: &mut Store, now: Duration, idle_routes: usize, version: u64) {
    let route = |name: &str| {
        json!({
            "name": name, "host": "soak.example", "prefix": format!("/{name}/"), "service": "desk",
            "priority": 1, "max_attempts": MAX_ATTEMPTS, "slack_factor": 3.0, "target_latency_ms": 500,
        })
    };
    let idle = (0..idle_routes).map(|index| route(&format!("idle-{index}")));
    let config = json!({
        "version": version,
        "routes": idle.chain([route("q")]).collect::<Vec<_>>(),
        "services": [{ "name": "desk" }],
        "tenants": [{ "name": "o", "api_keys": ["k"], "guaranteed": { "gpu": 4 } }],
    });
    let value = Bytes::from(config.to_string());
    let put = Put { key: "op/config".to_owned(), value, lease: None };
    store.call(now, &Call::Commit { conditions: Vec::new(), puts: vec![put], removes: Vec::new() });
}

/// The incarnation of an agent's minion that started at `born_ms`, in milliseconds.
pub fn incarnation(agent: u8, born_ms: u64) -> Incarnation {
    Incarnation {
        id: format!("m{agent}"),
        born_ms,
        service: "desk".to_owned(),
        labels: vec!["a".to_owned(), "r1".to_owned()],
        rack: "r1".to_owned(),
        capacity: Some(CAPACITY.message()),
        zone: zone(agent),
        ..Incarnation::default()
    }
}

/// Availability zone of an agent's minion, one of [`ZONES`].
pub fn zone(agent: u8) -> String {
    format!("z{}", agent % ZONES)
}

/// Number of availability zones of minions, `z0` and so on.
pub const ZONES: u8 = 2;

/// Cordons a zone, or lifts its cordon, as an operator does.
pub fn set_cordoned(store: &mut Store, now: Duration, zone: &str, is_cordoned: bool) {
    let key = format!("op/evacuate/{zone}");
    let (mut puts, mut removes) = (Vec::new(), Vec::new());
    if is_cordoned {
        puts.push(Put { key, value: Bytes::from_static(b"{}"), lease: None });
    } else {
        removes.push(key);
    }
    store.call(now, &Call::Commit { conditions: Vec::new(), puts, removes });
}

/// Heartbeat that a minion sends to its agent; `address` is where the minion takes orders, and
/// `sequence` increases from one heartbeat to the next.
pub fn heartbeat(minion: &Minion, address: &str, sequence: u64) -> Request {
    let Incarnation { is_draining, remaining_ms, .. } = minion.incarnation;
    let mut body = json!({
        "service": "desk", "address": address, "zone": minion.incarnation.zone, "version": "v1", "slots": 8,
        "state": if is_draining { "draining" } else { "ready" },
        "labels": minion.incarnation.labels, "call_seq": sequence,
        "born": minion.incarnation.born_ms,
        "capacity": {
            "cpu": CAPACITY.millicores, "mem_mb": CAPACITY.memory_mib,
            "gpu": CAPACITY.accelerators,
        },
    });
    if is_draining {
        body["remaining_ms"] = remaining_ms.into();
    }
    Request::new("PUT", &format!("/instances/{}", minion.incarnation.id), body.to_string())
}

/// Deregistration that a minion sends to its agent before it ends.
pub fn deregistration(minion: &Minion) -> Request {
    Request::new("DELETE", &format!("/instances/{}", minion.incarnation.id), "")
}

fn parse_task(name: &str) -> Option<Task> {
    let parts: Vec<&str> = name.split('.').collect();
    let [job, occurrence, step, index] = parts[..] else { return None };
    Some(Task {
        job: job.to_owned(),
        occurrence: occurrence.parse().ok()?,
        step: step.parse().ok()?,
        index: index.parse().ok()?,
    })
}

/// Identifier that the minion must have to accept the request; empty if any minion may.
pub fn minion_id(request: &Request) -> String {
    request.header("X-Expect-Instance").unwrap_or_default().to_owned()
}

/// Parses an order to a minion; `None` if it is malformed.
pub fn order(request: &Request) -> Option<Order> {
    let body: Value = serde_json::from_slice(&request.body).ok()?;
    let number = |name: &str| body[name].as_u64();
    let token = number("fencing_token").unwrap_or(0);
    let millis = |name: &str| number(name).map(Duration::from_millis);
    Some(match request.path() {
        "/hold" => Order::LongPoll {
            deadline: millis("deadline_ms"),
            token,
            acknowledged: number("last_seen")?,
            wait: millis("wait_ms").unwrap_or_default(),
        },
        "/run-start" => {
            let run = parse_task(&text(&body["task"]))?.run(u32::try_from(number("run_id")?).ok()?);
            let start = Start {
                run: Some(run),
                spec: text(&body["spec"]),
                checkpoint: text(&body["checkpoint"]),
                ticket: String::new(),
            };
            Order::Start { start: Box::new(start), deadline: millis("deadline_ms")?, token }
        }
        "/run-stop" => Order::Stop {
            task: parse_task(&text(&body["task"]))?,
            number: u32::try_from(number("run_id")?).ok()?,
            token,
        },
        _ => return None,
    })
}

/// Applies an order to a minion. Returns the response, and whether a start or stop was carried out.
pub fn execute(
    minion: &mut Minion,
    now: Duration,
    order: &Order,
    truth: &BTreeMap<(String, u32), Truth>,
) -> (Response, bool) {
    let reply = minion.call(now, order, truth);
    let clock = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    let is_done = reply == MinionReply::Done;
    let response = match reply {
        MinionReply::Listed { running, ended, .. } => {
            let running: Vec<Value> = (running.iter())
                .filter_map(|it| Some((Task::read(it.run.as_ref()?), it)))
                .map(|(task, it)| {
                    json!([task_name(&task), it.run.as_ref().map(|run| run.run), "", it.percent])
                })
                .collect();
            let ended: Vec<Value> = (ended.iter())
                .filter_map(|it| Some((Task::read(it.run.as_ref()?), it)))
                .map(|(task, it)| {
                    let ending = match it.ending().as_str_name() {
                        "DONE" => "done",
                        "FAULTY" => "failed",
                        "STOPPED" => "stopped",
                        "LAPSED" => "lapsed",
                        "BROKEN" => "broken",
                        _ => "alone",
                    };
                    let run = it.run.as_ref().map(|run| run.run);
                    json!([it.number, task_name(&task), run, ending, it.checkpoint])
                })
                .collect();
            let body = json!({
                "clock_ms": clock, "born": minion.incarnation.born_ms,
                "running": running, "finished": ended,
            });
            Response::new(200, body.to_string())
        }
        MinionReply::Done => Response::new(200, json!({ "clock_ms": clock }).to_string()),
        MinionReply::Refused(rejection) => {
            let reason = match rejection {
                Rejection::Fenced => "fence",
                Rejection::Late => "late",
                _ => "old",
            };
            Response::new(409, json!({ "clock_ms": clock, "reason": reason }).to_string())
        }
        _ => Response::new(500, ""),
    };
    (response, is_done)
}

fn task_name(task: &Task) -> String {
    format!("{}.{}.{}.{}", task.job, task.occurrence, task.step, task.index)
}
