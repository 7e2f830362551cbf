//! A gang as seen by its coordinator, the agent of one of its members.
//!
//! The record of the planner's decision in the coordinator's memory is the commit point: no task
//! starts before it. Members run under leases that the coordinator renews only while every member
//! sends heartbeats.

use std::{collections::BTreeMap, time::Duration};

use sapphire_wire::{Beat, GangState, Peer, Report, TaskState, id};

/// Number of leases after which the tasks of a silent member have certainly been stopped: its own
/// agent stops them after one, or the worker does after another if the agent has failed.
const STOPPED_AFTER_LEASES: u32 = 2;

/// A member according to its last heartbeat.
#[derive(Clone, Debug)]
struct Status {
    peer: Peer,
    last_contact: Duration,
    state: TaskState,
}

/// Why a gang is being stopped.
#[derive(Clone, Debug, Default)]
pub struct Cause {
    /// Reason as text.
    pub reason: String,
    /// Whether its resources were reclaimed.
    pub is_evicted: bool,
    /// Exit code of the task that failed, if any.
    pub exit_code: i32,
    /// Agent whose task failed or was lost first; empty if there is none.
    pub culprit: id::Process,
}

/// Message that the coordinator is to send to a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Starts the member (0), or extends its lease, counted from when the heartbeat of this
    /// sequence number was sent.
    Lease(Peer, u64),
    /// Asks for a checkpoint, since the gang's resources are reclaimed.
    Evict(Peer),
    /// Stops the member and prevents a later start, for this reason.
    Stop(Peer, String),
}

/// A gang's members and, once it is being stopped, the cause.
#[derive(Clone, Debug)]
pub struct Gang {
    members: BTreeMap<id::Process, Status>,
    cause: Option<Cause>,
    is_evicting: bool,
}

impl Gang {
    /// Records the decision to start a gang. The lease of each member counts from now.
    pub fn start(now: Duration, members: &[Peer]) -> (Self, Vec<Message>) {
        let status = |peer: &Peer| Status {
            peer: peer.clone(),
            last_contact: now,
            state: TaskState::TaskHeld,
        };
        let all = members.iter().map(|peer| (peer.name.clone(), status(peer))).collect();
        let messages = members.iter().map(|peer| Message::Lease(peer.clone(), 0)).collect();
        (Gang { members: all, cause: None, is_evicting: false }, messages)
    }

    /// Handles a member's heartbeat and returns the replies. `lease` is the silence after which a
    /// member is declared lost.
    pub fn record_heartbeat(
        &mut self,
        now: Duration,
        lease: Duration,
        from: &Peer,
        heartbeat: &Beat,
    ) -> Vec<Message> {
        let Some(status) = self.members.get_mut(&from.name) else { return Vec::new() };
        let is_same_process = status.peer.generation == from.generation;
        if is_same_process && !is_final(status.state) {
            status.last_contact = now;
            status.state = heartbeat.state();
        }
        if !is_same_process {
            status.state = TaskState::TaskUnknown;
        }
        let state = status.state;
        match state {
            TaskState::TaskExited if heartbeat.exit_code == 0 => {}
            TaskState::TaskRunning | TaskState::TaskHeld => {}
            _ => self.record_cause(from, heartbeat, state),
        }
        if let Some(cause) = &self.cause {
            let mut messages = self.stop_live();
            if is_final(state) {
                messages.push(Message::Stop(from.clone(), cause.reason.clone()));
            }
            return messages;
        }
        if self.has_silent_member(now, lease) {
            return Vec::new();
        }
        vec![Message::Lease(from.clone(), heartbeat.sequence)]
    }

    /// Records why the gang is being stopped, unless a cause is known already.
    fn record_cause(&mut self, from: &Peer, heartbeat: &Beat, state: TaskState) {
        if self.cause.is_some() {
            return;
        }
        let failed = state == TaskState::TaskExited;
        let reason = match state {
            TaskState::TaskExited => {
                format!("a task on {} exited with {}", from.name, heartbeat.exit_code)
            }
            TaskState::TaskUnknown => format!("{} restarted", from.name),
            _ => format!("{}: {}", from.name, heartbeat.reason),
        };
        self.cause = Some(Cause {
            reason,
            is_evicted: self.is_evicting,
            exit_code: if failed { heartbeat.exit_code } else { 0 },
            culprit: from.name.clone(),
        });
    }

    /// Stops the gang for an external reason, such as a cancellation.
    pub fn stop_all(&mut self, reason: &str) -> Vec<Message> {
        if self.cause.is_none() {
            self.cause = Some(Cause { reason: reason.to_owned(), ..Cause::default() });
        }
        self.stop_live()
    }

    /// Handles that a member's resources are reclaimed: all members write a checkpoint, since a
    /// gang only ends as a whole.
    pub fn evict(&mut self) -> Vec<Message> {
        if self.is_evicting || self.cause.is_some() {
            return Vec::new();
        }
        self.is_evicting = true;
        self.members.values().map(|status| Message::Evict(status.peer.clone())).collect()
    }

    /// Stop messages to all members that have not ended.
    fn stop_live(&self) -> Vec<Message> {
        let reason = self.cause.as_ref().map(|cause| cause.reason.clone()).unwrap_or_default();
        let live = self.members.values().filter(|status| !is_final(status.state));
        live.map(|status| Message::Stop(status.peer.clone(), reason.clone())).collect()
    }

    fn has_silent_member(&self, now: Duration, lease: Duration) -> bool {
        let is_silent = |status: &Status| now.saturating_sub(status.last_contact) >= lease;
        self.members.values().any(|status| !is_final(status.state) && is_silent(status))
    }

    /// Repeats unanswered messages, and stops the gang when a member has been silent for a lease.
    pub fn tick(&mut self, now: Duration, lease: Duration) -> Vec<Message> {
        if self.cause.is_none() {
            let is_lost =
                |m: &&Status| !is_final(m.state) && now.saturating_sub(m.last_contact) >= lease;
            let lost = self.members.values().find(is_lost).map(|status| status.peer.name.clone());
            if let Some(name) = lost {
                let reason = format!("{name} has been silent for a lease");
                let culprit = name;
                self.cause = Some(Cause { reason, culprit, ..Cause::default() });
            }
        }
        if self.cause.is_some() {
            return self.stop_live();
        }
        let held = self.members.values().filter(|status| status.state == TaskState::TaskHeld);
        held.map(|status| Message::Lease(status.peer.clone(), 0)).collect()
    }

    /// Whether every member has started.
    pub fn has_started(&self) -> bool {
        self.members.values().all(|status| status.state != TaskState::TaskHeld)
    }

    /// Whether no task of the gang runs any more. A silent member counts as stopped once its own
    /// lease and the worker's lease after it must have expired.
    pub fn has_stopped(&self, now: Duration, lease: Duration) -> bool {
        let silent = lease * STOPPED_AFTER_LEASES;
        self.members
            .values()
            .all(|m| is_final(m.state) || now.saturating_sub(m.last_contact) >= silent)
    }

    /// Report on the gang for the planner.
    pub fn report(&self, now: Duration, lease: Duration, attempt: &str) -> Report {
        let mut report = Report { attempt: attempt.to_owned(), ..Report::default() };
        let Some(cause) = &self.cause else {
            let is_done = self.members.values().all(|status| status.state == TaskState::TaskExited);
            let state = if is_done { GangState::GangDone } else { GangState::GangRunning };
            report.set_state(state);
            return report;
        };
        report.reason = cause.reason.clone();
        report.evicted = cause.is_evicted;
        report.exit_code = cause.exit_code;
        report.culprit = cause.culprit.clone();
        report.set_state(if !self.has_stopped(now, lease) {
            GangState::GangRunning
        } else if cause.exit_code != 0 {
            GangState::GangFailed
        } else {
            GangState::GangStopped
        });
        report
    }
}

/// Whether a task in this state no longer runs and can't be started.
fn is_final(state: TaskState) -> bool {
    !matches!(state, TaskState::TaskHeld | TaskState::TaskRunning)
}
