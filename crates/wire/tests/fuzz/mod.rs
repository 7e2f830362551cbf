//! Property tests of messages between processes and of records in the store: valid, mutated and
//! arbitrary bytes.

use std::env;

use bytes::Bytes;
use proptest::{
    collection,
    prelude::{ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest},
    sample,
    test_runner::{FileFailurePersistence, RngSeed, TestCaseError},
};
use prost::Message;
use sapphire_schema::jobs;
use sapphire_wire::{Beat, Epoch, envelope::Envelope, epoch, frame, peer};

/// Runs the same cases each time, or as many random ones as `PROPTEST_CASES` says.
fn cases(count: u32) -> ProptestConfig {
    let persistence = FileFailurePersistence::WithSource("proptest-regressions");
    let random = ProptestConfig {
        failure_persistence: Some(Box::new(persistence)),
        ..ProptestConfig::default()
    };
    if env::var_os("PROPTEST_CASES").is_some() {
        return random;
    }
    ProptestConfig { cases: count, rng_seed: RngSeed::Fixed(1), ..random }
}

type Checked = Result<(), TestCaseError>;

/// Upper bound of the length of an error text, in bytes.
const MAX_ERROR: usize = 400;

fn step() -> impl Strategy<Value = jobs::Step> {
    (any::<[u32; 4]>(), any::<u64>(), collection::vec(any::<u32>(), 0..4), ".{0,8}", any::<bool>())
        .prop_map(
            |([tasks, millicores, accelerators, per_worker], estimate_ms, after, text, gang)| {
                let room = jobs::Room { millicores, memory_mib: estimate_ms, accelerators };
                jobs::Step {
                    tasks,
                    room: Some(room),
                    estimate_ms,
                    after,
                    per_worker,
                    label: text.clone(),
                    near_rack: text,
                    is_gang: gang,
                    ..jobs::Step::default()
                }
            },
        )
}

fn job() -> impl Strategy<Value = jobs::Job> {
    (".{0,8}", collection::vec(step(), 0..4), any::<[u64; 3]>(), any::<u32>()).prop_map(
        |(id, steps, [first_ms, interval_ms, term], times)| jobs::Job {
            id,
            steps,
            schedule: Some(jobs::Schedule { first_ms, interval_ms, times }),
            term,
            ..jobs::Job::default()
        },
    )
}

fn run() -> impl Strategy<Value = jobs::Run> {
    (".{0,8}", any::<[u32; 4]>()).prop_map(|(job, [occurrence, step, index, run])| jobs::Run {
        job,
        occurrence,
        step,
        index,
        run,
    })
}

fn poll() -> impl Strategy<Value = jobs::Poll> {
    (".{0,8}", any::<[u64; 3]>(), collection::vec(run(), 0..4), any::<i32>()).prop_map(
        |(agent, [generation, sequence, number], runs, word)| {
            let ended = |run: &jobs::Run| jobs::Ended {
                number,
                run: Some(run.clone()),
                ending: word,
                checkpoint: agent.clone(),
            };
            jobs::Poll {
                ended: runs.iter().map(ended).collect(),
                pending: runs,
                agent,
                generation,
                sequence,
                ..jobs::Poll::default()
            }
        },
    )
}

fn envelope() -> impl Strategy<Value = Envelope> {
    (".{0,8}", any::<[u64; 3]>()).prop_map(|(name, [generation, to_generation, sequence])| {
        Envelope {
            from: peer::new(&name, "127.0.0.1:1", generation),
            to_generation,
            body: frame::Body::Beat(Beat { attempt: name, sequence, ..Beat::default() }),
        }
    })
}

/// Bytes of a valid message with one mutation, or arbitrary bytes.
fn bytes(valid: impl Strategy<Value = Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let mutated =
        (valid, any::<sample::Index>(), any::<u8>(), 0..6).prop_map(|(mut bytes, at, new, how)| {
            if bytes.is_empty() {
                return bytes;
            }
            let at = at.index(bytes.len());
            match how {
                0 => bytes.truncate(at),
                1 => bytes[at] = new,
                2 => bytes.insert(at, new),
                3 => drop(bytes.remove(at)),
                4 => bytes.extend(bytes.clone()),
                // A length far beyond the end of the bytes.
                _ => drop(bytes.splice(at.., [new | 2, 0xff, 0xff, 0xff, 0xff, 0x0f])),
            }
            bytes
        });
    prop_oneof![1 => collection::vec(any::<u8>(), 0..200), 3 => mutated]
}

/// Checks that the bytes are refused with a reason, or decoded to a message that is not much larger
/// than the bytes and that survives encoding and decoding.
fn check<M: Message + Default + PartialEq + std::fmt::Debug>(bytes: &[u8]) -> Checked {
    match M::decode(bytes) {
        Ok(message) => {
            let again = message.encode_to_vec();
            // A list whose numbers were sent one by one is encoded as one packed field.
            prop_assert!(again.len() <= 2 * bytes.len());
            prop_assert_eq!(M::decode(&again[..]), Ok(message));
        }
        Err(error) => prop_assert!((1..MAX_ERROR).contains(&error.to_string().len())),
    }
    Ok(())
}

/// Guards against messages whose deep nesting overflows the stack and crashes the process.
#[test]
fn groups_of_deep_nesting_are_refused() {
    let bytes = vec![0x0b; 100_000];
    assert!(jobs::Poll::decode(&bytes[..]).is_err());
    assert!(Envelope::decode(Bytes::from(bytes)).is_err());
}

proptest! {
    #![proptest_config(cases(2_048))]

    #[test]
    fn any_frame_is_read_or_refused_with_a_reason(
        bytes in bytes(envelope().prop_map(Envelope::encode)),
    ) {
        match Envelope::decode(Bytes::from(bytes)) {
            Ok(envelope) => {
                let again = Bytes::from(envelope.clone().encode());
                prop_assert_eq!(Envelope::decode(again), Ok(envelope));
            }
            Err(error) => prop_assert!((1..MAX_ERROR).contains(&error.to_string().len())),
        }
    }

    #[test]
    fn any_message_about_jobs_is_read_or_refused_with_a_reason(
        bytes in bytes(prop_oneof![
            job().prop_map(|job| job.encode_to_vec()),
            poll().prop_map(|poll| poll.encode_to_vec()),
        ]),
    ) {
        let checks = [
            check::<jobs::Job>,
            check::<jobs::Progress>,
            check::<jobs::Fleet>,
            check::<jobs::Lead>,
            check::<jobs::Poll>,
            check::<jobs::Orders>,
            check::<jobs::FeedPoll>,
            check::<jobs::Feed>,
            check::<jobs::Notice>,
            check::<jobs::Relay>,
            check::<jobs::Relayed>,
        ];
        for check in checks {
            check(&bytes)?;
        }
    }

    #[test]
    fn messages_survive_encoding(envelope in envelope(), job in job(), poll in poll()) {
        prop_assert_eq!(Envelope::decode(Bytes::from(envelope.clone().encode())), Ok(envelope));
        prop_assert_eq!(jobs::Job::decode(&job.encode_to_vec()[..]), Ok(job));
        prop_assert_eq!(jobs::Poll::decode(&poll.encode_to_vec()[..]), Ok(poll));
    }

    #[test]
    fn epochs_have_one_order(terms in any::<[u64; 2]>(), holders in any::<[String; 2]>()) {
        let [left, right] = [0, 1].map(|at| Epoch { term: terms[at], holder: holders[at].clone() });
        prop_assert_eq!(epoch::compare(&left, &right), epoch::compare(&right, &left).reverse());
    }
}
