//! A gang as its lead sees it.
//!
//! The lead's memory of the planner's decision is the commit point: no task starts before it.
//! Members run under leases that the lead renews only while every member reports in.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::{Beat, GangState, Peer, Report, TaskState, id};

/// Leases after which a silent member's tasks have surely been stopped: its own agent stops
/// them after one, or the worker does if the agent is gone.
const SURELY_STOPPED_LEASES: u32 = 2;

/// One member, as last heard.
#[derive(Clone, Debug)]
struct Seen {
    peer: Peer,
    heard: Duration,
    state: TaskState,
}

/// Why a gang is being stopped.
#[derive(Clone, Debug, Default)]
pub struct Cause {
    /// Reason in words.
    pub reason: String,
    /// Room was reclaimed.
    pub is_evicted: bool,
    /// Exit code of the task that failed, if one did.
    pub exit_code: i32,
    /// Agent whose task failed or was lost first.
    pub culprit: id::Process,
}

/// Messages that the lead wants sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Send {
    /// Start, or go on until a lease after this beat.
    Lease(Peer, u64),
    /// Checkpoint: the gang's room is reclaimed.
    Evict(Peer),
    /// Stop, and never start.
    Stop(Peer, String),
}

/// One gang.
#[derive(Clone, Debug)]
pub struct Gang {
    members: BTreeMap<id::Process, Seen>,
    cause: Option<Cause>,
    is_evicting: bool,
}

impl Gang {
    /// Records the decision. The lease of each member counts from now.
    pub fn decide(now: Duration, members: &[Peer]) -> (Self, Vec<Send>) {
        let seen =
            |peer: &Peer| Seen { peer: peer.clone(), heard: now, state: TaskState::TaskHeld };
        let all = members.iter().map(|peer| (peer.name.clone(), seen(peer))).collect();
        let sends = members.iter().map(|peer| Send::Lease(peer.clone(), 0)).collect();
        (Gang { members: all, cause: None, is_evicting: false }, sends)
    }

    /// Takes a member's beat.
    pub fn beat(&mut self, now: Duration, lease: Duration, from: &Peer, beat: &Beat) -> Vec<Send> {
        let Some(seen) = self.members.get_mut(&from.name) else { return Vec::new() };
        let is_same_life = seen.peer.generation == from.generation;
        if is_same_life && !is_final(seen.state) {
            seen.heard = now;
            seen.state = beat.state();
        }
        if !is_same_life {
            seen.state = TaskState::TaskUnknown;
        }
        let state = seen.state;
        match state {
            TaskState::TaskExited if beat.exit_code == 0 => {}
            TaskState::TaskRunning | TaskState::TaskHeld => {}
            _ => self.stop(from, beat, state),
        }
        if let Some(cause) = &self.cause {
            let mut sends = self.stop_others();
            if is_final(state) {
                sends.push(Send::Stop(from.clone(), cause.reason.clone()));
            }
            return sends;
        }
        if self.has_silent_member(now, lease) {
            return Vec::new();
        }
        vec![Send::Lease(from.clone(), beat.sequence)]
    }

    fn stop(&mut self, from: &Peer, beat: &Beat, state: TaskState) {
        if self.cause.is_some() {
            return;
        }
        let failed = state == TaskState::TaskExited;
        let reason = match state {
            TaskState::TaskExited => {
                format!("a task on {} exited with {}", from.name, beat.exit_code)
            }
            TaskState::TaskUnknown => format!("{} restarted", from.name),
            _ => format!("{}: {}", from.name, beat.reason),
        };
        self.cause = Some(Cause {
            reason,
            is_evicted: self.is_evicting,
            exit_code: if failed { beat.exit_code } else { 0 },
            culprit: from.name.clone(),
        });
    }

    /// Stops the gang for a reason from outside: cancelled, barred, drained.
    pub fn stop_all(&mut self, reason: &str) -> Vec<Send> {
        if self.cause.is_none() {
            self.cause = Some(Cause { reason: reason.to_owned(), ..Cause::default() });
        }
        self.stop_others()
    }

    /// A member's room is reclaimed: every member checkpoints, since the gang ends whole.
    pub fn evict(&mut self) -> Vec<Send> {
        if self.is_evicting || self.cause.is_some() {
            return Vec::new();
        }
        self.is_evicting = true;
        self.members.values().map(|seen| Send::Evict(seen.peer.clone())).collect()
    }

    fn stop_others(&self) -> Vec<Send> {
        let reason = self.cause.as_ref().map(|cause| cause.reason.clone()).unwrap_or_default();
        let live = self.members.values().filter(|seen| !is_final(seen.state));
        live.map(|seen| Send::Stop(seen.peer.clone(), reason.clone())).collect()
    }

    fn has_silent_member(&self, now: Duration, lease: Duration) -> bool {
        let is_silent = |seen: &Seen| now.saturating_sub(seen.heard) >= lease;
        self.members.values().any(|seen| !is_final(seen.state) && is_silent(seen))
    }

    /// Repeats what was not answered, and stops the gang when a member has been silent.
    pub fn tick(&mut self, now: Duration, lease: Duration) -> Vec<Send> {
        if self.cause.is_none() {
            let is_lost =
                |seen: &&Seen| !is_final(seen.state) && now.saturating_sub(seen.heard) >= lease;
            let lost = self.members.values().find(is_lost).map(|seen| seen.peer.name.clone());
            if let Some(name) = lost {
                let reason = format!("{name} has been silent for a lease");
                let culprit = name;
                self.cause = Some(Cause { reason, culprit, ..Cause::default() });
            }
        }
        if self.cause.is_some() {
            return self.stop_others();
        }
        let held = self.members.values().filter(|seen| seen.state == TaskState::TaskHeld);
        held.map(|seen| Send::Lease(seen.peer.clone(), 0)).collect()
    }

    /// Whether every member has started.
    pub fn has_started(&self) -> bool {
        self.members.values().all(|seen| seen.state != TaskState::TaskHeld)
    }

    /// Whether nothing of the gang runs any more. A silent member counts once its lease, and
    /// the worker's own behind it, must have lapsed.
    pub fn is_over(&self, now: Duration, lease: Duration) -> bool {
        let silent = lease * SURELY_STOPPED_LEASES;
        self.members
            .values()
            .all(|seen| is_final(seen.state) || now.saturating_sub(seen.heard) >= silent)
    }

    /// What the planner is told.
    pub fn report(&self, now: Duration, lease: Duration, attempt: &str) -> Report {
        let mut report = Report { attempt: attempt.to_owned(), ..Report::default() };
        let Some(cause) = &self.cause else {
            let is_done = self.members.values().all(|seen| seen.state == TaskState::TaskExited);
            let state = if is_done { GangState::GangDone } else { GangState::GangRunning };
            report.set_state(state);
            return report;
        };
        report.reason = cause.reason.clone();
        report.evicted = cause.is_evicted;
        report.exit_code = cause.exit_code;
        report.culprit = cause.culprit.clone();
        report.set_state(if !self.is_over(now, lease) {
            GangState::GangRunning
        } else if cause.exit_code != 0 {
            GangState::GangFailed
        } else {
            GangState::GangStopped
        });
        report
    }
}

fn is_final(state: TaskState) -> bool {
    !matches!(state, TaskState::TaskHeld | TaskState::TaskRunning)
}
