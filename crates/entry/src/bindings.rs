//! Guarantees of a cell, bound to its workers.

use sapphire_plan::{bind, fleet};
use sapphire_rules::rule;
use sapphire_wire::{Applied, Binding, Bound, Cell, Epoch, Slice, id};

use crate::{effect::Output, planner::Surroundings, registry};

/// Part that log lines name.
const PART: &str = "plan";

/// Bindings in force, and for what they were made.
#[derive(Debug, Default)]
pub struct Bindings {
    bindings: Vec<Binding>,
    version: u64,
    short: Vec<bind::Shortfall>,
    made_for: Option<(id::Revision, Vec<id::Worker>)>,
}

impl Bindings {
    /// Bindings as the document held them.
    pub fn adopt(stored: &Cell) -> Self {
        Bindings {
            bindings: stored.bindings.clone(),
            version: stored.bindings_version,
            ..Bindings::default()
        }
    }

    /// One a worker and organisation.
    pub fn all(&self) -> &[Binding] {
        &self.bindings
    }

    /// Grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Guarantees that the workers at hand can't hold.
    pub fn short(&self) -> &[bind::Shortfall] {
        &self.short
    }

    /// Marks what is bound in a fleet.
    pub fn mark(&self, fleet: &mut fleet::Fleet) {
        for binding in &self.bindings {
            if let Some(worker) = fleet.workers.get_mut(&binding.worker) {
                worker.bound.insert(binding.organisation.clone(), binding.accelerators);
            }
        }
    }

    /// Binds anew when the rules or the open workers have changed; returns whether the bindings
    /// did.
    pub fn renew(
        &mut self,
        fleet: &fleet::Fleet,
        region: &str,
        around: &Surroundings<'_>,
        out: &mut Output,
    ) -> bool {
        let open = fleet.workers.iter().filter(|(_, worker)| worker.is_open);
        let made_for = Some((around.revision, open.map(|(name, _)| name.clone()).collect()));
        if self.made_for == made_for {
            return false;
        }
        self.made_for = made_for;
        let is_here = |guarantee: &rule::Guarantee| match &guarantee.place {
            rule::Place::Region(place) => place == region,
            rule::Place::Zone(zone) => fleet.workers.values().any(|worker| worker.zone == *zone),
        };
        let guarantees = around.rules.guarantees().filter(|(_, guarantee)| is_here(guarantee));
        let guarantees = guarantees.collect();
        let outcome = bind::bind(&bind::Options { guarantees, fleet, previous: &self.bindings });
        outcome.shortfalls.iter().for_each(|short| log_short(short, out));
        self.short = outcome.shortfalls;
        let has_changed = outcome.bindings != self.bindings;
        if has_changed {
            self.bindings = outcome.bindings;
            self.version += 1;
            out.log(PART, format!("bound version={}", self.version));
        }
        has_changed
    }

    /// An agent's part of the rules, if it has an older one.
    pub fn slice_for(
        &self,
        agent: &registry::Agent,
        epoch: &Epoch,
        around: &Surroundings<'_>,
    ) -> Option<Slice> {
        let term = epoch.term;
        let applied = Applied { rules: around.revision, bindings: self.version, term };
        let order = |of: &Applied| (of.term, of.rules, of.bindings);
        if order(&agent.applied) >= order(&applied) {
            return None;
        }
        let worker = agent.worker.clone().unwrap_or_default();
        let own = self.bindings.iter().filter(|binding| binding.worker == worker.name);
        let bound = own.map(|binding| Bound {
            organisation: binding.organisation.clone(),
            accelerators: binding.accelerators,
        });
        let reclaim = around.rules.reclaim();
        Some(Slice {
            epoch: Some(epoch.clone()),
            applied: Some(applied),
            bound: bound.collect(),
            draining: around.rules.is_drained(&worker.name, &worker.rack, &agent.zone),
            grace_ms: u64::try_from(reclaim.grace.as_millis()).unwrap_or(u64::MAX),
            smallest_first: reclaim.order == rule::Order::Smallest,
        })
    }
}

fn log_short(short: &bind::Shortfall, out: &mut Output) {
    out.log(
        PART,
        format!(
            "guarantee short organisation={} line={} missing={} shape=\"{}\"",
            short.organisation, short.line, short.missing, short.shape
        ),
    );
}
