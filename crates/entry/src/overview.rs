//! Answers to callers and operators that need only the state of this process.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_plan::{bind, fleet};
use sapphire_rules::file;
use serde_json::json;

use crate::{
    answer::{Account, Answer},
    api, options, peers, planner, registry, rulebook,
};

/// Read-only view of an entry's state.
pub struct Overview<'a> {
    /// Current time.
    pub now: Duration,
    /// Configuration of this entry.
    pub options: &'a options::Options,
    /// Agents.
    pub registry: &'a registry::Registry,
    /// Other entries.
    pub peers: &'a peers::Peers,
    /// Rules.
    pub rulebook: &'a rulebook::Rulebook,
    /// The planner, while this entry is the planner.
    pub planner: Option<&'a planner::Planner>,
    /// Whether a graceful shutdown has begun.
    pub is_draining: bool,
}

impl Overview<'_> {
    /// Guarantees of a file that the known workers can't satisfy, over all regions.
    fn unmet(&self, file: &file::File) -> Vec<bind::Shortfall> {
        let mut fleet = fleet::Fleet::default();
        let agents = self.registry.agents().values();
        let regions: BTreeSet<&str> = agents.map(|agent| agent.region.as_str()).collect();
        for region in regions {
            let is_drained = |w: &str, r: &str, z: &str| file.is_drained(w, r, z);
            let part = self.registry.fleet(self.now, region, is_drained);
            fleet.workers.extend(part.workers);
        }
        let guarantees = file.guarantees().collect();
        bind::bind(&bind::Options { guarantees, fleet: &fleet, previous: &[] }).shortfalls
    }

    /// Answer to a file with guarantees that the known workers can't satisfy; `None` if there are
    /// none.
    pub fn refuse_unmet(&self, text: &str) -> Option<Answer> {
        let file = file::File::parse(text).ok()?;
        let unmet = self.unmet(&file);
        if unmet.is_empty() {
            return None;
        }
        let findings: Vec<_> = unmet.iter().map(unmet_json).collect();
        let value = json!({
            "account": Account::NotRun.to_string(),
            "reason": "some guarantees can't be held by the workers at hand; the rules are unchanged",
            "findings": findings,
        });
        Some(Answer::json(422, &value))
    }

    /// Answers a call from the state of this process.
    pub fn answer(&self, call: &api::Call) -> Answer {
        match call {
            api::Call::Health => Answer::json(200, &json!({ "alive": true })),
            api::Call::Ready => self.ready(),
            api::Call::Rules => {
                let ruleset = self.rulebook.ruleset();
                Answer::json(
                    200,
                    &json!({
                        "revision": ruleset.revision,
                        "author": ruleset.author,
                        "accepted_unix_ms": ruleset.accepted_unix_ms,
                        "text": ruleset.text,
                    }),
                )
            }
            api::Call::History => self.history(),
            api::Call::CheckRules(text) => match file::File::parse(text) {
                Err(findings) => rulebook::findings_answer(&findings),
                Ok(file) => {
                    let unmet = self.unmet(&file);
                    let unmet: Vec<_> = unmet.iter().map(unmet_json).collect();
                    Answer::json(200, &json!({ "rules": file.entries.len(), "findings": unmet }))
                }
            },
            api::Call::Status => self.status(),
            api::Call::Workers => self.workers(),
            api::Call::Minions => self.minions(),
            api::Call::Organisations => self.organisations(),
            _ => Answer::failure(500, Account::NotRun, "the call has no answer"),
        }
    }

    fn ready(&self) -> Answer {
        let reason = if self.is_draining {
            Some("draining")
        } else if !self.rulebook.is_known() {
            Some("the rules are not known yet")
        } else if !self.registry.is_warmed_up(self.now) {
            Some("agents have not had time to announce themselves")
        } else {
            None
        };
        let status = if reason.is_none() { 200 } else { 503 };
        Answer::json(status, &json!({ "ready": reason.is_none(), "reason": reason }))
    }

    fn history(&self) -> Answer {
        let past = self.rulebook.ruleset().history.iter().map(|past| {
            json!({
                "revision": past.revision,
                "author": past.author,
                "accepted_unix_ms": past.accepted_unix_ms,
                "text": past.text,
            })
        });
        Answer::json(200, &json!({ "history": past.collect::<Vec<_>>() }))
    }

    fn status(&self) -> Answer {
        let mut by_revision: BTreeMap<u64, Vec<String>> = BTreeMap::new();
        let mut add = |revision: u64, name: &str| {
            by_revision.entry(revision).or_default().push(name.to_owned());
        };
        add(self.rulebook.revision(), &self.options.identity.name);
        for entry in self.peers.reachable(self.now) {
            add(entry.heartbeat.rules, &entry.peer.name);
        }
        let agents = self.registry.agents().values();
        for agent in agents.filter(|agent| self.registry.is_reachable(self.now, agent)) {
            add(agent.applied.rules, &agent.peer.name);
        }
        let processes: Vec<_> = by_revision
            .into_iter()
            .map(|(revision, names)| json!({ "revision": revision, "count": names.len(), "processes": names }))
            .collect();
        let unmet = self.planner.map(planner::Planner::unmet).unwrap_or_default();
        let unmet: Vec<_> = unmet.iter().map(unmet_json).collect();
        Answer::json(
            200,
            &json!({
                "revision": self.rulebook.revision(),
                "in_force": processes,
                "short": unmet,
                "planner": self.planner_name(),
            }),
        )
    }

    fn planner_name(&self) -> Option<String> {
        if self.planner.is_some() {
            return Some(self.options.identity.name.clone());
        }
        self.peers.planner(self.now, &self.options.region).map(|(peer, _)| peer.name.clone())
    }

    fn workers(&self) -> Answer {
        let quarantined =
            self.planner.map(|planner| planner.quarantined(self.now)).unwrap_or_default();
        let workers = self.registry.agents().values().filter_map(|agent| {
            let worker = agent.worker.as_ref()?;
            Some(json!({
                "name": worker.name,
                "agent": agent.peer.name,
                "region": agent.region,
                "zone": agent.zone,
                "rack": worker.rack,
                "accelerators": worker.accelerators,
                "free": agent.load.free_accelerators,
                "borrowed": agent.load.borrowed_accelerators,
                "draining": agent.load.draining,
                "heard": self.registry.is_reachable(self.now, agent),
                "set_aside": quarantined.contains(&&worker.name),
                "rules": agent.applied.rules,
            }))
        });
        Answer::json(200, &json!({ "workers": workers.collect::<Vec<_>>() }))
    }

    fn minions(&self) -> Answer {
        let minions = self.registry.agents().values().filter_map(|agent| {
            let minion = agent.minion.as_ref()?;
            Some(json!({
                "name": minion.name,
                "agent": agent.peer.name,
                "service": minion.service,
                "region": agent.region,
                "zone": agent.zone,
                "slots": minion.slots,
                "free": agent.load.free_slots,
                "draining": agent.load.draining,
                "heard": self.registry.is_reachable(self.now, agent),
            }))
        });
        Answer::json(200, &json!({ "minions": minions.collect::<Vec<_>>() }))
    }

    fn organisations(&self) -> Answer {
        let rules = self.rulebook.file();
        let organisations = rules.organisations().map(|organisation| {
            let own = rules.guarantees().filter(|(_, g)| g.organisation == organisation.name);
            let guarantees: Vec<_> = own
                .map(|(line, g)| json!({ "line": line, "count": g.count, "shape": bind::describe(g) }))
                .collect();
            json!({
                "name": organisation.name,
                "weight": organisation.weight,
                "priority": organisation.priority,
                "quota": rules.quota(&organisation.name),
                "queue": rules.queue(&organisation.name),
                "guarantees": guarantees,
            })
        });
        Answer::json(200, &json!({ "organisations": organisations.collect::<Vec<_>>() }))
    }
}
fn unmet_json(unmet: &bind::Shortfall) -> serde_json::Value {
    json!({
        "line": unmet.line,
        "column": 1,
        "organisation": unmet.organisation,
        "missing": unmet.missing,
        "message": format!("{} of {} can't be bound: {}", unmet.missing, unmet.organisation, unmet.shape),
    })
}
