//! Records as planners of an earlier version write them.

use prost::Message;
use sapphire_planner::keys;

use crate::handover::world::World;

#[derive(Clone, PartialEq, Message)]
struct Member {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(string, tag = "3")]
    minion: String,
}

#[derive(Clone, PartialEq, Message)]
struct Fleet {
    #[prost(uint32, tag = "1")]
    terms: u32,
    #[prost(message, repeated, tag = "2")]
    members: Vec<Member>,
}

#[derive(Clone, PartialEq, Message)]
struct Start {
    #[prost(string, tag = "1")]
    job: String,
    #[prost(uint32, tag = "2")]
    occurrence: u32,
    #[prost(uint32, tag = "3")]
    step: u32,
    #[prost(uint32, tag = "4")]
    index: u32,
    #[prost(uint64, tag = "5")]
    until_ms: u64,
    #[prost(uint64, tag = "6")]
    generation: u64,
    #[prost(uint32, tag = "7")]
    run: u32,
    #[prost(sint64, optional, tag = "8")]
    left_ms: Option<i64>,
}

#[derive(Clone, PartialEq, Message)]
struct Worker {
    #[prost(string, tag = "1")]
    worker: String,
    #[prost(string, tag = "2")]
    minion: String,
    #[prost(message, repeated, tag = "3")]
    tasks: Vec<Start>,
}

#[derive(Clone, PartialEq, Message)]
struct Starts {
    #[prost(message, repeated, tag = "1")]
    workers: Vec<Worker>,
    #[prost(uint32, tag = "2")]
    term: u32,
    #[prost(uint64, tag = "3")]
    write: u64,
    #[prost(bool, tag = "4")]
    is_incomplete: bool,
}

/// Returns whether a planner of an earlier version knows a record.
fn is_known(key: &str) -> bool {
    let prefixes = [keys::INTAKE, "s/out/", keys::SPEEDS];
    let is_slot = (0..keys::SLOTS).any(|slot| keys::unanswered(slot) == key);
    let is_single = [keys::FLEET, keys::SHARES].contains(&key);
    is_slot || is_single || prefixes.iter().any(|prefix| key.starts_with(prefix))
}

/// Returns a record without the fields that a message of an earlier version lacks. One that can't be
/// decoded stays as it is.
fn reduced<M: Message + Default>(value: &[u8]) -> Vec<u8> {
    M::decode(value).map_or_else(|_| value.to_vec(), |message| message.encode_to_vec())
}

/// Returns a handover record without the tasks that an earlier version doesn't list: those without a
/// time.
fn reduced_starts(value: &[u8]) -> Vec<u8> {
    let Ok(mut starts) = Starts::decode(value) else { return value.to_vec() };
    for worker in &mut starts.workers {
        worker.tasks.retain(|task| task.left_ms.is_some());
    }
    starts.workers.retain(|worker| !worker.tasks.is_empty());
    starts.encode_to_vec()
}

/// Reduces all records to what a planner of an earlier version writes.
pub(super) fn rewrite(world: &mut World) {
    world.items.retain(|key, _| is_known(key));
    for (key, item) in &mut world.items {
        let Some(value) = &item.value else { continue };
        let reduced = match key.as_str() {
            keys::FLEET => reduced::<Fleet>(value),
            key if key.starts_with(keys::UNANSWERED) => reduced_starts(value),
            _ => continue,
        };
        item.value = Some(reduced.into());
    }
}
