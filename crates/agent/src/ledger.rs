//! Resources of a worker and the gangs that use them; the only authority over the worker's
//! accelerators.
//!
//! A planner sends a *hold* to reserve resources for the tasks of an attempt on this worker. A
//! granted hold is a reservation, which a lease of the coordinator turns into running tasks.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_plan::reclaim;
use sapphire_wire::{Hold, HoldState, Peer, Shape, Slice, TaskState, id, resource};

use crate::member::{End, Member, Phase};

/// A decision of the ledger, which the state machine turns into effects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Report the state of a hold to the planner.
    Reply(id::Attempt, HoldState, String),
    /// Start the tasks under a lease.
    Start(id::Attempt, Duration),
    /// Extend the tasks' lease.
    Renew(id::Attempt, Duration),
    /// Ask the tasks for a checkpoint and notify the coordinator that the gang is being evicted.
    Evict(id::Attempt, Duration),
    /// Stop the tasks.
    Stop(id::Attempt),
    /// The member has ended; notify the coordinator.
    Ended(id::Attempt),
}

/// Members by attempt, and the rules that apply to them.
#[derive(Debug)]
pub struct Ledger {
    capacity: resource::Amount,
    lease: Duration,
    retention: Duration,
    grace: Duration,
    reclaim_order: reclaim::Order,
    guarantees: BTreeMap<id::Organisation, u32>,
    is_draining: bool,
    members: BTreeMap<id::Attempt, Member>,
    changes: Vec<Change>,
}

impl Ledger {
    /// Creates a ledger without members. `lease` is the duration of the lease that one renewal
    /// grants, `retention` how long ended members are kept.
    pub fn new(capacity: resource::Amount, lease: Duration, retention: Duration) -> Self {
        Ledger {
            capacity,
            lease,
            retention,
            grace: Duration::ZERO,
            reclaim_order: reclaim::Order::default(),
            guarantees: BTreeMap::new(),
            is_draining: false,
            members: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Returns the decisions made since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Members by attempt.
    pub fn members(&self) -> &BTreeMap<id::Attempt, Member> {
        &self.members
    }

    /// One member, for modification.
    pub fn get_mut(&mut self, attempt: &str) -> Option<&mut Member> {
        self.members.get_mut(attempt)
    }

    /// Applies the rules that concern this worker.
    ///
    /// # Errors
    /// When the slice binds more accelerators than the worker has; the previous rules then stay in
    /// force.
    pub fn apply(&mut self, slice: &Slice) -> Result<(), String> {
        let total: u32 = slice.bound.iter().map(|bound| bound.accelerators).sum();
        if total > self.capacity.accelerators {
            return Err(format!("{total} accelerators bound, {} here", self.capacity.accelerators));
        }
        self.grace = Duration::from_millis(slice.grace_ms);
        let smallest = reclaim::Order::Smallest;
        self.reclaim_order = if slice.smallest_first { smallest } else { reclaim::Order::Youngest };
        let bound = slice.bound.iter();
        self.guarantees = bound.map(|b| (b.organisation.clone(), b.accelerators)).collect();
        self.is_draining = slice.draining;
        Ok(())
    }

    /// Refuses all new holds from now on.
    pub fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Whether new holds are refused.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Resources that no member uses or reserves.
    pub fn free(&self) -> resource::Amount {
        let taken = self.members.values().filter(|member| member.uses_resources());
        taken.fold(self.capacity, |free, member| free.minus(&member.need))
    }

    /// Accelerators that stopping all borrowers would free.
    pub fn borrowed(&self) -> u32 {
        let borrowers = self.members.values().filter(|m| m.uses_resources() && !m.is_guaranteed);
        borrowers.map(|member| member.need.accelerators).sum()
    }

    /// Resources that waiting holds need.
    fn claimed(&self) -> resource::Amount {
        let waiting = self.members.values().filter(|m| matches!(m.phase, Phase::Waiting { .. }));
        waiting.fold(resource::Amount::default(), |sum, member| sum.plus(&member.need))
    }

    /// Accelerators that an organisation's guaranteed gangs use or wait for on this worker.
    fn guaranteed_in_use(&self, organisation: &str) -> u32 {
        let own = self.members.values().filter(|member| {
            member.is_guaranteed && !member.is_ended() && member.organisation == organisation
        });
        own.map(|member| member.need.accelerators).sum()
    }

    /// Decides on a hold. A repeated hold gets a reply with its current state.
    pub fn hold(&mut self, now: Duration, hold: &Hold, planner: &Peer) {
        if let Some(member) = self.members.get(&hold.attempt) {
            let (state, reason) = Self::reply_to_repeated(member);
            self.reply(&hold.attempt, state, reason);
            return;
        }
        let shape = hold.shape.unwrap_or_default();
        let need = resource::Amount::of_tasks(&shape, hold.tasks);
        if let Err(reason) = self.admit(hold, &shape, &need) {
            self.reply(&hold.attempt, HoldState::HoldRefused, &reason);
            return;
        }
        let ttl = Duration::from_millis(hold.ttl_ms);
        if self.free().minus(&self.claimed()).holds(&need) {
            let phase = Phase::Held { until: now + ttl };
            let member = Member::new(hold, planner, need, phase);
            self.members.insert(hold.attempt.clone(), member);
            self.reply(&hold.attempt, HoldState::HoldGranted, "");
        } else {
            let until = now + self.grace + ttl;
            let member = Member::new(hold, planner, need, Phase::Waiting { until });
            self.members.insert(hold.attempt.clone(), member);
            self.reply(&hold.attempt, HoldState::HoldEvicting, "");
            self.evict_for_waiting(now);
            self.grant_waiting(now, ttl);
        }
    }

    /// Reply to a hold that was received before.
    fn reply_to_repeated(member: &Member) -> (HoldState, &'static str) {
        match member.phase {
            Phase::Waiting { .. } => (HoldState::HoldEvicting, ""),
            Phase::Held { .. } => (HoldState::HoldGranted, ""),
            _ => (HoldState::HoldRefused, "the attempt has started or ended here"),
        }
    }

    /// Whether the hold may be granted, at once or after eviction; otherwise the reason.
    fn admit(&self, hold: &Hold, shape: &Shape, need: &resource::Amount) -> Result<(), String> {
        if shape.accelerators == 0 || hold.tasks == 0 {
            return Err("the hold asks for nothing".to_owned());
        }
        if !self.capacity.holds(need) {
            return Err("the worker is smaller than that".to_owned());
        }
        if self.is_draining {
            return Err("the worker is draining".to_owned());
        }
        if !hold.guaranteed {
            let available = self.free().minus(&self.claimed());
            return if available.holds(need) { Ok(()) } else { Err("no room".to_owned()) };
        }
        if !self.is_within_share(need) {
            return Err("more processors or memory than go with its accelerators".to_owned());
        }
        let bound = self.guarantees.get(&hold.organisation).copied().unwrap_or(0);
        let used = self.guaranteed_in_use(&hold.organisation);
        if used + need.accelerators > bound {
            return Err(format!("beyond the guarantee: {used} of {bound} accelerators in use"));
        }
        Ok(())
    }

    /// Whether a guaranteed gang uses no more processors and memory than the share of its
    /// accelerators, so that it can't block another organisation's guarantee on the same worker.
    fn is_within_share(&self, need: &resource::Amount) -> bool {
        let all = u64::from(self.capacity.accelerators);
        let own = u64::from(need.accelerators);
        u64::from(need.processors) * all <= u64::from(self.capacity.processors) * own
            && u128::from(need.memory_bytes) * u128::from(all)
                <= u128::from(self.capacity.memory_bytes) * u128::from(own)
    }

    /// Whether the accelerators that are free, about to be freed or reclaimable cover all waiting
    /// holds.
    fn can_reclaim(&self) -> bool {
        let releasing = self.members.values().filter(|member| match member.phase {
            Phase::Evicting { .. } | Phase::Stopping => true,
            Phase::Held { .. } | Phase::Running { .. } => self.is_reclaimable(member),
            Phase::Waiting { .. } | Phase::Ended { .. } => false,
        });
        let available =
            releasing.fold(self.free(), |available, member| available.plus(&member.need));
        available.accelerators >= self.claimed().accelerators
    }

    fn reply(&mut self, attempt: &str, state: HoldState, reason: &str) {
        self.changes.push(Change::Reply(attempt.to_owned(), state, reason.to_owned()));
    }

    /// Whether this member may be evicted by reclaim: it borrows, or its organisation uses more
    /// than its current guarantee on this worker.
    fn is_reclaimable(&self, member: &Member) -> bool {
        let bound = self.guarantees.get(&member.organisation).copied().unwrap_or(0);
        !member.is_guaranteed || self.guaranteed_in_use(&member.organisation) > bound
    }

    /// Evicts enough reclaimable members to free the resources for all waiting holds. The order of
    /// reclaim in the rules determines which are evicted first.
    fn evict_for_waiting(&mut self, now: Duration) {
        let claimed = self.claimed();
        let ending = self
            .members
            .values()
            .filter(|member| matches!(member.phase, Phase::Evicting { .. } | Phase::Stopping));
        let releasing = ending.fold(self.free(), |available, member| available.plus(&member.need));
        let borrowers = self.members.iter().filter(|(_, member)| {
            matches!(member.phase, Phase::Held { .. } | Phase::Running { .. })
                && self.is_reclaimable(member)
        });
        let borrowers = borrowers.map(|(attempt, member)| reclaim::Borrower {
            attempt: attempt.clone(),
            need: member.need,
            ran: run_time(now, member),
            gang: member.gang_accelerators,
        });
        for attempt in
            reclaim::choose(borrowers.collect(), self.reclaim_order, &releasing, &claimed)
        {
            self.evict(now, &attempt);
        }
    }

    /// Begins to evict a member, because its resources are reclaimed here or its coordinator asks
    /// for it.
    pub fn evict(&mut self, now: Duration, attempt: &str) {
        let grace = self.grace;
        let Some(member) = self.members.get_mut(attempt) else { return };
        match member.phase {
            Phase::Held { .. } | Phase::Waiting { .. } => {
                self.end(now, attempt, End::NeverStarted, "its room was reclaimed");
                self.reply(attempt, HoldState::HoldRefused, "its room was reclaimed");
            }
            Phase::Running { until } => {
                let stop_at = now + grace;
                member.phase = Phase::Evicting { stop_at, until: until.min(stop_at) };
                member.reason = "its room was reclaimed".to_owned();
                self.changes.push(Change::Evict(attempt.to_owned(), grace));
            }
            _ => {}
        }
    }

    /// Grants waiting holds that fit now.
    fn grant_waiting(&mut self, now: Duration, ttl: Duration) {
        let waiting: Vec<id::Attempt> = self
            .members
            .iter()
            .filter(|(_, member)| matches!(member.phase, Phase::Waiting { .. }))
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in waiting {
            let free = self.free();
            let Some(member) = self.members.get_mut(&attempt) else { continue };
            if free.holds(&member.need) {
                member.phase = Phase::Held { until: now + ttl };
                self.reply(&attempt, HoldState::HoldGranted, "");
            }
        }
    }

    /// Handles a lease from the coordinator: starts a held member, or extends the lease of a
    /// running one. A member that is being evicted keeps running until the end of its grace period,
    /// so that a slow checkpoint can be completed.
    ///
    /// `heartbeat` is the sequence number of the member heartbeat that the lease answers; 0 starts
    /// the tasks.
    ///
    /// Guards against a delayed lease message. The extension counts from when the answered
    /// heartbeat was sent, by this agent's own clock, so that a late message can't keep a task of a
    /// stopped gang running. A lease never starts a member that was invalidated or whose
    /// reservation has expired.
    pub fn apply_lease(&mut self, now: Duration, attempt: &str, heartbeat: u64) -> TaskState {
        let lease = self.lease;
        let Some(member) = self.members.get_mut(attempt) else { return TaskState::TaskUnknown };
        match member.phase {
            Phase::Held { until } if heartbeat == 0 && now < until => {
                member.phase = Phase::Running { until: now + lease };
                member.started = now;
                self.changes.push(Change::Start(attempt.to_owned(), lease));
            }
            Phase::Running { until } => {
                let renewed =
                    member.heartbeat_time(heartbeat).map_or(until, |at| at + lease).max(until);
                member.phase = Phase::Running { until: renewed };
                let left = renewed.saturating_sub(now);
                self.changes.push(Change::Renew(attempt.to_owned(), left));
            }
            Phase::Evicting { stop_at, until } if now < stop_at => {
                let renewed =
                    member.heartbeat_time(heartbeat).map_or(until, |at| at + lease).max(until);
                let until = renewed.min(stop_at);
                member.phase = Phase::Evicting { stop_at, until };
                let left = until.saturating_sub(now);
                self.changes.push(Change::Renew(attempt.to_owned(), left));
            }
            Phase::Ended { .. } => member.is_acknowledged = true,
            _ => {}
        }
        self.members.get(attempt).map_or(TaskState::TaskUnknown, Member::state)
    }

    /// Invalidates an attempt: it can't start any more and is stopped if it runs. Returns its
    /// state.
    ///
    /// An attempt that has not been seen leaves a tombstone, so that a hold or lease that is still
    /// on its way is refused when it arrives.
    pub fn invalidate(&mut self, now: Duration, attempt: &str, reason: &str) -> TaskState {
        if !self.members.contains_key(attempt) {
            let tombstone = Member::tombstone(now + self.retention);
            self.members.insert(attempt.to_owned(), tombstone);
        }
        self.stop(now, attempt, reason);
        self.members.get(attempt).map_or(TaskState::TaskBarred, Member::state)
    }

    /// Stops an attempt that is known here.
    pub fn stop(&mut self, now: Duration, attempt: &str, reason: &str) {
        let Some(member) = self.members.get_mut(attempt) else { return };
        match member.phase {
            Phase::Waiting { .. } | Phase::Held { .. } => {
                self.end(now, attempt, End::NeverStarted, reason);
            }
            Phase::Running { .. } | Phase::Evicting { .. } => {
                if member.reason.is_empty() {
                    member.reason = reason.to_owned();
                }
                member.phase = Phase::Stopping;
                self.changes.push(Change::Stop(attempt.to_owned()));
            }
            Phase::Stopping => {}
            Phase::Ended { .. } => member.is_acknowledged = true,
        }
    }

    /// Handles the worker's report that a member's tasks have ended.
    pub fn task_ended(&mut self, now: Duration, attempt: &str, exit: Option<i32>, reason: &str) {
        let Some(member) = self.members.get(attempt) else { return };
        if !member.uses_resources() {
            return;
        }
        let end = exit.map_or(End::Stopped, End::Exited);
        self.end(now, attempt, end, reason);
    }

    /// Records the end of a member.
    fn end(&mut self, now: Duration, attempt: &str, end: End, reason: &str) {
        let forget_at = now + self.retention;
        let Some(member) = self.members.get_mut(attempt) else { return };
        member.phase = Phase::Ended { end, forget_at };
        if member.reason.is_empty() {
            member.reason = reason.to_owned();
        }
        self.changes.push(Change::Ended(attempt.to_owned()));
    }

    /// Expires reservations and leases, stops members whose grace period is over, and grants holds
    /// that fit now.
    pub fn tick(&mut self, now: Duration) {
        let attempts: Vec<id::Attempt> = self.members.keys().cloned().collect();
        for attempt in &attempts {
            self.expire(now, attempt);
        }
        self.evict_for_waiting(now);
        self.grant_waiting(now, self.lease);
        self.assert_invariants();
    }

    /// Handles the time limits of one member.
    fn expire(&mut self, now: Duration, attempt: &str) {
        let Some(member) = self.members.get(attempt) else { return };
        match member.phase {
            Phase::Waiting { until } if now >= until => {
                self.end(now, attempt, End::NeverStarted, "no room came free in time");
                self.reply(attempt, HoldState::HoldRefused, "no room came free in time");
            }
            Phase::Held { until } if now >= until => {
                self.end(now, attempt, End::NeverStarted, "the hold lapsed");
            }
            Phase::Running { until } if now >= until => {
                self.stop(now, attempt, "the lease lapsed");
            }
            Phase::Evicting { until, .. } if now >= until => {
                self.stop(now, attempt, "its room was reclaimed");
            }
            Phase::Stopping => self.changes.push(Change::Stop(attempt.to_owned())),
            Phase::Ended { forget_at, .. } if now >= forget_at => {
                self.members.remove(attempt);
            }
            _ => {}
        }
    }

    /// Attempts that have not ended.
    pub fn live_attempts(&self) -> BTreeSet<&id::Attempt> {
        let live = self.members.iter().filter(|(_, member)| !member.is_ended());
        live.map(|(attempt, _)| attempt).collect()
    }

    /// Checks that no more accelerators are used, or bound to guarantees, than the worker has, and
    /// that reclaim can free the accelerators for all waiting holds. The latter is not required
    /// while an organisation uses more than its guarantee, which may have been lowered.
    ///
    /// # Panics
    /// When the state of the ledger is inconsistent; the process must not continue.
    pub fn assert_invariants(&self) {
        let taken: u32 = self
            .members
            .values()
            .filter(|member| member.uses_resources())
            .map(|member| member.need.accelerators)
            .sum();
        assert!(
            taken <= self.capacity.accelerators,
            "{taken} accelerators are in use, more than the worker has"
        );
        let bound: u32 = self.guarantees.values().sum();
        assert!(
            bound <= self.capacity.accelerators,
            "{bound} accelerators are bound to guarantees, more than the worker has"
        );
        let fits_guarantees =
            self.guarantees.iter().all(|(name, bound)| self.guaranteed_in_use(name) <= *bound);
        assert!(
            !fits_guarantees || self.can_reclaim(),
            "a guaranteed gang waits for resources that reclaim can't free"
        );
    }
}

/// How long a member's tasks have been running.
fn run_time(now: Duration, member: &Member) -> Duration {
    match member.phase {
        Phase::Held { .. } => Duration::ZERO,
        _ => now.saturating_sub(member.started),
    }
}
