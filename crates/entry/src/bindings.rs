//! Binding of guarantees to the accelerators of a cell's workers.

use sapphire_plan::{bind, fleet};
use sapphire_rules::rule;
use sapphire_wire::{Applied, Binding, Bound, Cell, Epoch, Slice, id};

use crate::{effect::Output, planner::Context, registry};

/// Part of the system that this module's log lines are written for.
const LOG_PART: &str = "plan";

/// Bindings in force, and the rules and workers that they were computed from.
#[derive(Debug, Default)]
pub struct Bindings {
    bindings: Vec<Binding>,
    version: u64,
    unmet: Vec<bind::Shortfall>,
    inputs: Option<(id::Revision, Vec<id::Worker>)>,
}

impl Bindings {
    /// Takes over the bindings of a stored cell.
    pub fn adopt(stored: &Cell) -> Self {
        Bindings {
            bindings: stored.bindings.clone(),
            version: stored.bindings_version,
            ..Bindings::default()
        }
    }

    /// All bindings, one for each pair of worker and organisation.
    pub fn all(&self) -> &[Binding] {
        &self.bindings
    }

    /// Version of the bindings; increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Guarantees that the available workers can't satisfy.
    pub fn unmet(&self) -> &[bind::Shortfall] {
        &self.unmet
    }

    /// Marks the bound accelerators in a fleet.
    pub fn mark_bound(&self, fleet: &mut fleet::Fleet) {
        for binding in &self.bindings {
            if let Some(worker) = fleet.workers.get_mut(&binding.worker) {
                worker.bound.insert(binding.organisation.clone(), binding.accelerators);
            }
        }
    }

    /// Computes the bindings again when the rules or the set of open workers have changed. Returns
    /// whether the bindings changed.
    pub fn update(
        &mut self,
        fleet: &fleet::Fleet,
        region: &str,
        context: &Context<'_>,
        out: &mut Output,
    ) -> bool {
        let open = fleet.workers.iter().filter(|(_, worker)| worker.is_open);
        let inputs = Some((context.revision, open.map(|(name, _)| name.clone()).collect()));
        if self.inputs == inputs {
            return false;
        }
        self.inputs = inputs;
        let is_here = |guarantee: &rule::Guarantee| match &guarantee.place {
            rule::Place::Region(place) => place == region,
            rule::Place::Zone(zone) => fleet.workers.values().any(|worker| worker.zone == *zone),
        };
        let guarantees = context.rules.guarantees().filter(|(_, guarantee)| is_here(guarantee));
        let guarantees = guarantees.collect();
        let outcome = bind::bind(&bind::Options { guarantees, fleet, previous: &self.bindings });
        outcome.shortfalls.iter().for_each(|unmet| log_unmet(unmet, out));
        self.unmet = outcome.shortfalls;
        let has_changed = outcome.bindings != self.bindings;
        if has_changed {
            self.bindings = outcome.bindings;
            self.version += 1;
            out.log(LOG_PART, format!("guarantees bound version={}", self.version));
        }
        has_changed
    }

    /// Rules that concern an agent's worker, if those that it applies are older.
    pub fn slice_for(
        &self,
        agent: &registry::Agent,
        epoch: &Epoch,
        context: &Context<'_>,
    ) -> Option<Slice> {
        let term = epoch.term;
        let applied = Applied { rules: context.revision, bindings: self.version, term };
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
        let reclaim = context.rules.reclaim();
        Some(Slice {
            epoch: Some(epoch.clone()),
            applied: Some(applied),
            bound: bound.collect(),
            draining: context.rules.is_drained(&worker.name, &worker.rack, &agent.zone),
            grace_ms: u64::try_from(reclaim.grace.as_millis()).unwrap_or(u64::MAX),
            smallest_first: reclaim.order == rule::Order::Smallest,
        })
    }
}

/// Logs a guarantee that can't be satisfied.
fn log_unmet(unmet: &bind::Shortfall, out: &mut Output) {
    out.log(
        LOG_PART,
        format!(
            "guarantee can't be satisfied organisation={} line={} missing={} shape=\"{}\"",
            unmet.organisation, unmet.line, unmet.missing, unmet.shape
        ),
    );
}
