//! Tests of many orders at once, for a minion that answers late or not at all.

use std::collections::{BTreeMap, BTreeSet};

use sapphire_jobs::Run;
use sapphire_runner::{
    event::{Event, Ticket},
    minion::{Call, Reply},
};

use crate::harness::{Fixture, run};

/// Number of runs that are stopped at once.
const RUNS: u32 = 40;
/// Time after which a call counts as unanswered, in ms.
const TIMEOUT: u64 = 300;
/// Time in ms in which each stop is sent at least once: ten times four calls, and a margin.
const LIMIT: u64 = 3_500;

/// Guards against runs of a cancelled job that go on: the repetitions of stops that had no answer take all
/// calls, so that others are never sent.
#[test]
fn each_stop_is_sent_before_others_are_repeated() {
    let mut fixture = Fixture::fenced();
    let stops: Vec<Run> = (0..RUNS).map(|index| Run { index, ..run(1) }).collect();
    fixture.answer_polls(100, Vec::new(), stops);
    let mut sent = BTreeSet::new();
    let mut pending: BTreeMap<Ticket, u64> = BTreeMap::new();
    let mut now = 100;
    while now < 30_000 && sent.len() < RUNS as usize {
        now += 20;
        fixture.handle(now, Event::Tick);
        for (ticket, call) in std::mem::take(&mut fixture.calls) {
            match call {
                Call::Stop { task, .. } => {
                    sent.insert(task);
                    pending.insert(ticket, now + TIMEOUT);
                }
                _ => fixture.send_list(now, ticket, Vec::new()),
            }
        }
        let is_due = |until: &u64| now >= *until;
        let due: Vec<Ticket> =
            pending.iter().filter(|(_, until)| is_due(until)).map(|(ticket, _)| *ticket).collect();
        for ticket in due {
            pending.remove(&ticket);
            fixture.handle(now, Event::MinionReply(ticket, Reply::Unknown));
        }
        if !fixture.polls.is_empty() {
            fixture.answer_polls(now, Vec::new(), Vec::new());
        }
    }
    let took = now - 100;
    assert!(took < LIMIT, "{} of {RUNS} stops are sent after {took} ms", sent.len());
}
