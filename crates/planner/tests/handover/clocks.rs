//! Tests of the time for which recorded starts count over changes of planners whose steady clocks differ.

use prost::Message as _;
use sapphire_jobs::{
    Poll, Unanswered, UnansweredOn, UnansweredStarts, UnansweredTask, remote_clock::RemoteClock,
};
use sapphire_planner::keys;
use sapphire_store::call::{Item, Reply};

use crate::harness::{Fixture, fleet, item, job, merge, minion, ms, run, step};

/// Time for which the start may be carried out from when the first planner is lost, and the longest
/// lease of its run.
const LEFT: u64 = 9_000;
const LEASE: u64 = 10_500;
/// Time for which each planner serves, and then nobody.
const SERVED: u64 = 1_900;
const VACANT: u64 = 600;
/// Time that a feed takes.
const LATENCY: u64 = 20;
const PLANNERS: u64 = 10;

/// Returns the handover record of a planner whose clock shows `clock`, with a start of one task.
/// `is_final` says that its agent doesn't go on sending it.
fn record(clock: u64, is_final: bool) -> Item {
    let task = UnansweredTask {
        job: "j".to_owned(),
        run: 1,
        generation: 1,
        left_ms: Some(LEFT as i64),
        until_clock_ms: is_final.then_some(clock + LEFT),
        ..UnansweredTask::default()
    };
    let on = UnansweredOn {
        worker: "gone".to_owned(),
        minion: minion("gone").id,
        tasks: vec![task],
        ..UnansweredOn::default()
    };
    let record = UnansweredStarts {
        workers: vec![on],
        term: 1,
        write: 1,
        lead_term: 50,
        ..UnansweredStarts::default()
    };
    item(keys::UNANSWERED.to_owned(), record.encode_to_vec())
}

/// The steady clock of the planner of a term at a time of the test.
fn clock(term: u64, time: u64) -> u64 {
    100_000 + time + (term - 50) * 37_000 % 91_000
}

/// Plays planners in succession. Returns the time from the loss of the first one until the start counts
/// no more. `hears` says whether each has heard of the clock of the one before.
fn counted(hears: bool, is_final: bool) -> u64 {
    let mut items = vec![
        fleet(1, &["gone"]),
        record(clock(50, 0), is_final),
        item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()),
    ];
    let mut time = VACANT;
    for term in 51..51 + PLANNERS {
        let mut fixture = Fixture::term(term, clock(term, time), 0);
        (fixture.answers_records, fixture.answers_intake) = (true, true);
        let heard_at = time - VACANT;
        let heard =
            RemoteClock::new(ms(clock(term - 1, heard_at)), ms(clock(term, heard_at + LATENCY)));
        fixture.planner.expect_clocks(hears.then_some((term - 1, heard)));
        fixture.reply(Reply::Items { items: items.clone(), has_more: false, revision: 40 });
        merge(&mut items, &fixture);
        fixture.reply(Reply::Committed(60));
        let begun = fixture.now;
        let is_last = term == 50 + PLANNERS;
        let served = if is_last { 60_000 } else { SERVED };
        while fixture.now < begun + served {
            fixture.advance(50);
            if fixture.planner.unanswered_starts().count() == 0 {
                return time + (fixture.now - begun);
            }
        }
        merge(&mut items, &fixture);
        time += SERVED + VACANT;
    }
    panic!("the start counts for ever");
}

/// Guards against a start that counts for longer with each change of planners, by the age of the record
/// and the time without a planner.
#[test]
fn ten_planners_do_not_prolong_the_wait_for_a_start() {
    let counted = counted(true, true);
    let bound = LEFT + LEASE;
    assert!(counted >= bound && counted <= bound + PLANNERS * LATENCY + 100, "{counted} ms");
}

/// Guards against a task that runs twice: its agent may have sent the start again after the record was
/// written, and counts from when the first planner was lost.
#[test]
fn a_start_that_may_be_sent_again_counts_from_the_loss_of_its_planner() {
    let counted = counted(true, false);
    let bound = LEFT + LEASE + VACANT;
    // The end may be at a time without a planner.
    assert!(
        counted >= bound && counted <= bound + PLANNERS * LATENCY + VACANT + 100,
        "{counted} ms"
    );
}

/// Guards against a task that runs twice: nothing is known of the clocks of the earlier planners.
#[test]
fn a_start_of_a_planner_of_which_nothing_was_heard_counts_from_its_loss() {
    let counted = counted(false, true);
    assert!(counted >= LEFT + LEASE + VACANT, "{counted} ms");
}

/// Guards against a start that counts by the record of a lost planner although its agent, which lives on
/// without a minion, knows when it was last sent.
#[test]
fn an_agent_without_a_minion_knows_when_its_starts_were_sent() {
    let mut items = vec![fleet(1, &["gone"]), record(0, false)];
    items.push(item(keys::job("j"), job("j", 10, step(1, false)).encode_to_vec()));
    let mut fixture = Fixture::term(51, clock(51, 0), 0);
    (fixture.answers_records, fixture.answers_intake) = (true, true);
    fixture.reply(Reply::Items { items, has_more: false, revision: 40 });
    fixture.reply(Reply::Committed(60));
    // The record has 9 s left, but the start was sent 10 s ago.
    let begun = fixture.now;
    let sent_ago = 10_000;
    while fixture.planner.unanswered_starts().count() > 0 {
        let age_ms = sent_ago + fixture.now - begun;
        let row = Unanswered { run: Some(run("j", 0, 1)), age_ms, born_ms: 0 };
        let unanswered = if age_ms < 12_000 { vec![row] } else { Vec::new() };
        let report = Poll { is_minion_gone: true, unanswered, ..Poll::default() };
        fixture.report_without_minion("gone", report);
        fixture.advance(450);
        assert!(fixture.now < begun + 60_000);
    }
    let counted = fixture.now - begun;
    let bound = 12_300 - sent_ago + LEASE;
    assert!(counted >= bound && counted <= bound + 900, "{counted} ms");
}
