//! Slots of the minion, the short queue in front of them, and the request attempts that have been
//! seen.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use sapphire_wire::{Peer, Request, TaskState, id};

/// What to do with a request that has arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Forward it to the minion; a slot has been assigned to it.
    Forward(Request),
    /// Send no reply now: it waits for a slot, or it is a repeated message.
    NoReply,
    /// It has not run and will not run, for this reason.
    Refused(String),
}

/// Largest number of ended attempts that are remembered; about 2 MB.
///
/// They guard against a request that arrives twice, or after it was invalidated. Messages of one
/// entry arrive in order over one connection, so only the most recent attempts can matter.
const MAX_ENDED: usize = 16_384;

#[derive(Clone, Debug, PartialEq)]
enum State {
    Waiting { caller: Peer, until: Duration },
    Running { caller: Peer },
}

/// An attempt that no longer waits or runs.
#[derive(Clone, Debug, PartialEq)]
struct Ended {
    attempt: id::Attempt,
    forget_at: Duration,
}

/// Slots of one minion and as many queue places: a slot that is released is reused at once, without
/// a round trip to an entry.
#[derive(Debug)]
pub struct Slots {
    total: u32,
    retention: Duration,
    is_draining: bool,
    live: BTreeMap<id::Attempt, State>,
    /// Whether each ended attempt was invalidated before it ran.
    ended: BTreeMap<id::Attempt, bool>,
    removals: VecDeque<Ended>,
    queue: VecDeque<Request>,
    running: u32,
}

impl Slots {
    /// Creates slots that are all free.
    pub fn new(total: u32, retention: Duration) -> Self {
        Slots {
            total,
            retention,
            is_draining: false,
            live: BTreeMap::new(),
            ended: BTreeMap::new(),
            removals: VecDeque::new(),
            queue: VecDeque::new(),
            running: 0,
        }
    }

    /// Decides on a request. A refusal also invalidates the attempt, so that the answer "not run"
    /// stays true even if the same message arrives once more.
    pub fn admit(&mut self, now: Duration, request: Request, caller: &Peer) -> Decision {
        match self.ended.get(&request.attempt) {
            Some(true) => return Decision::Refused("the attempt was barred".to_owned()),
            Some(false) => return Decision::NoReply,
            None if self.live.contains_key(&request.attempt) => return Decision::NoReply,
            None => {}
        }
        let refusal = if self.is_draining {
            Some("the minion is draining")
        } else if self.free() == 0 {
            Some("all slots are taken")
        } else {
            None
        };
        if let Some(reason) = refusal {
            self.invalidate(now, &request.attempt);
            return Decision::Refused(reason.to_owned());
        }
        let caller = caller.clone();
        let attempt = request.attempt.clone();
        if self.running < self.total {
            self.running += 1;
            self.live.insert(attempt, State::Running { caller });
            return Decision::Forward(request);
        }
        let until = now + Duration::from_millis(request.left_ms);
        self.live.insert(attempt, State::Waiting { caller, until });
        self.queue.push_back(request);
        Decision::NoReply
    }

    /// Releases the slot of an attempt and returns the entry that waits for its answer.
    pub fn release(&mut self, now: Duration, attempt: &str) -> Option<Peer> {
        let State::Running { caller } = self.live.get(attempt)? else { return None };
        let caller = caller.clone();
        self.running -= 1;
        self.end(now, attempt, false);
        Some(caller)
    }

    fn end(&mut self, now: Duration, attempt: &str, is_invalidated: bool) {
        self.live.remove(attempt);
        if self.ended.insert(attempt.to_owned(), is_invalidated).is_none() {
            let forget_at = now + self.retention;
            self.removals.push_back(Ended { attempt: attempt.to_owned(), forget_at });
        }
    }

    /// Assigns a free slot to the next waiting request and returns it. A request whose deadline has
    /// passed is invalidated instead.
    pub fn next_request(&mut self, now: Duration) -> Option<Request> {
        while self.running < self.total {
            let mut request = self.queue.pop_front()?;
            let state = self.live.get(&request.attempt).cloned();
            let Some(State::Waiting { caller, until }) = state else { continue };
            if now >= until {
                self.end(now, &request.attempt, true);
                continue;
            }
            self.live.insert(request.attempt.clone(), State::Running { caller });
            self.running += 1;
            request.left_ms = u64::try_from((until - now).as_millis()).unwrap_or(u64::MAX);
            return Some(request);
        }
        None
    }

    /// Invalidates an attempt, so that it can't run later, and returns its state. Has no effect on
    /// an attempt that runs or has run.
    pub fn invalidate(&mut self, now: Duration, attempt: &str) -> TaskState {
        if matches!(self.live.get(attempt), Some(State::Running { .. })) {
            return TaskState::TaskRunning;
        }
        if self.ended.get(attempt) == Some(&false) {
            return TaskState::TaskExited;
        }
        self.queue.retain(|request| request.attempt != attempt);
        self.end(now, attempt, true);
        TaskState::TaskBarred
    }

    /// Refuses all new requests; those that wait are still served.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Number of free slots and free queue places.
    pub fn free(&self) -> u32 {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        (self.total * 2).saturating_sub(self.running).saturating_sub(waiting)
    }

    /// Number of requests that the minion is serving or that wait for a slot.
    pub fn in_progress(&self) -> usize {
        self.running as usize + self.queue.len()
    }

    /// Removes attempts that ended long ago, and the oldest when there are too many.
    pub fn tick(&mut self, now: Duration) {
        while self.removals.len() > MAX_ENDED
            || self.removals.front().is_some_and(|ended| now >= ended.forget_at)
        {
            let Some(oldest) = self.removals.pop_front() else { break };
            self.ended.remove(&oldest.attempt);
        }
        let is_running = |state: &&State| matches!(state, State::Running { .. });
        let running = self.live.values().filter(is_running).count();
        assert_eq!(
            running, self.running as usize,
            "the number of running requests differs from the used slots"
        );
        assert!(self.running <= self.total, "more requests run than there are slots");
    }
}
