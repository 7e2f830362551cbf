//! Tests of the writer and the lease: lost answers, conflicts and expired leases.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use sapphire_store::{
    call::{Call, Reply, Value},
    lease, writer,
};

const SECOND: Duration = Duration::from_secs(1);

fn write_of(value: &Value) -> String {
    String::from_utf8_lossy(&value.bytes).into_owned()
}

fn encode(write: &str) -> Bytes {
    Bytes::copy_from_slice(write.as_bytes())
}

fn no_answer() -> Reply {
    Reply::Unavailable("no answer".into())
}

/// Guards against a job that is stored twice or taken for lost: the store accepts the write, but
/// its answer is lost. The writer retries and meets a conflict with its own value, so the change
/// counts as stored, once.
#[test]
fn a_write_whose_answer_is_lost_is_resolved_by_its_identifier() {
    let mut writer = writer::Writer::new("cell", "e1-7", 4);
    let put = writer.poll(SECOND, 1, encode);
    assert_matches!(&put, Some(Call::Put { expected: 4, value, .. }) if value == "e1-7-1");
    assert_eq!(writer.reply(SECOND, no_answer(), write_of), writer::Outcome::Retry);
    assert_eq!(writer.poll(SECOND, 1, encode), None, "waits before the retry");
    assert_matches!(writer.poll(SECOND * 2, 2, encode), Some(Call::Put { expected: 4, .. }));
    let own = Reply::Conflict(Value { revision: 5, bytes: Bytes::from_static(b"e1-7-1") });
    assert_eq!(writer.reply(SECOND * 2, own, write_of), writer::Outcome::Written(1));
    assert_matches!(writer.poll(SECOND * 2, 2, encode), Some(Call::Put { expected: 5, .. }));
}

/// Guards against two planners that overwrite each other's cell: the one whose lease has expired
/// meets a value that is not its own and must stop instead of overwriting it.
#[test]
fn a_conflict_with_another_writer_loses_the_key() {
    let mut writer = writer::Writer::new("cell", "e1-7", 4);
    writer.poll(SECOND, 1, encode);
    let value = Value { revision: 6, bytes: Bytes::from_static(b"e2-9-1") };
    let outcome = writer.reply(SECOND, Reply::Conflict(value.clone()), write_of);
    assert_eq!(outcome, writer::Outcome::Lost(value));
}

#[test]
fn changes_made_during_a_write_go_into_the_next_one() {
    let mut writer = writer::Writer::new("cell", "e1-7", 0);
    assert_matches!(writer.poll(SECOND, 1, encode), Some(_));
    assert_eq!(writer.poll(SECOND, 9, encode), None);
    let outcome = writer.reply(SECOND, Reply::Written(1), write_of);
    assert_eq!(outcome, writer::Outcome::Written(1));
    assert_matches!(writer.poll(SECOND, 9, encode), Some(Call::Put { expected: 1, .. }));
    assert_eq!(writer.reply(SECOND, Reply::Written(2), write_of), writer::Outcome::Written(9));
    assert_eq!(writer.poll(SECOND, 9, encode), None);
}

fn holder_with_key() -> lease::Holder {
    let mut holder = lease::Holder::new("planner", Bytes::from_static(b"e1-7"), SECOND * 3);
    assert_matches!(holder.poll(SECOND, true), Some(Call::Grant { .. }));
    holder.reply(SECOND, SECOND, Reply::Leased(8));
    assert_matches!(holder.poll(SECOND, true), Some(Call::Put { lease: Some(8), .. }));
    assert_eq!(holder.reply(SECOND, SECOND, Reply::Written(40)), lease::Outcome::Acquired(40));
    holder
}

/// Guards against a planner that was paused for longer than its lease and goes on planning: the
/// lease has expired by its own clock, before the store reports so.
#[test]
fn a_paused_holder_knows_that_its_lease_has_expired() {
    let mut holder = holder_with_key();
    assert_eq!(holder.term(SECOND * 3), Some(40));
    assert_eq!(holder.term(SECOND * 4), None);
    assert_matches!(holder.poll(SECOND * 4, true), Some(Call::Keep { lease: 8 }));
    assert_eq!(holder.reply(SECOND * 4, SECOND * 4, Reply::Lapsed), lease::Outcome::Lapsed);
    assert_eq!(holder.last_term(), None);
}

#[test]
fn a_lease_counts_from_when_the_keep_alive_was_sent() {
    let mut holder = holder_with_key();
    assert_matches!(holder.poll(SECOND * 3, true), Some(Call::Keep { .. }));
    holder.reply(SECOND * 5, SECOND * 3, Reply::Leased(8));
    assert_eq!(holder.term(SECOND * 5), Some(40));
    assert_eq!(holder.term(SECOND * 6), None);
}

/// Guards against a process that waits for its own lease to expire: the store writes the key but
/// the answer is lost. The process reads the key back, finds its own value and so holds the key.
#[test]
fn an_acquisition_whose_answer_is_lost_is_resolved_by_reading() {
    let mut holder = lease::Holder::new("planner", Bytes::from_static(b"e1-7"), SECOND * 3);
    holder.poll(SECOND, true);
    holder.reply(SECOND, SECOND, Reply::Leased(8));
    holder.poll(SECOND, true);
    holder.reply(SECOND, SECOND, no_answer());
    assert_matches!(holder.poll(SECOND, true), Some(Call::Get { .. }));
    let own = Value { revision: 41, bytes: Bytes::from_static(b"e1-7") };
    let outcome = holder.reply(SECOND, SECOND, Reply::Value(own));
    assert_eq!(outcome, lease::Outcome::Acquired(41));
}
