//! Parser of a rule file, with the checks that concern several lines.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_wire::{Adjacency, id};

use crate::{
    finding, line,
    rule::{self, Rule},
};

/// Kinds of rules, as a finding lists them.
const KINDS: &str = "organisation, guarantee, quota, admission, reclaim, balance, drain, retries";
/// Largest quota of accelerators.
const MAX_ACCELERATORS: u32 = 1_000_000;
/// Largest number of tasks in the gang of a guarantee.
const MAX_TASKS: u32 = 256;
/// Longest grace period before a borrower is stopped.
const MAX_GRACE: Duration = Duration::from_secs(3_600);

/// Most findings that are reported. Each takes many times the memory of the shortest faulty line.
const MAX_FINDINGS: usize = 1_000;

/// Grace period if no rule sets one.
pub const DEFAULT_GRACE: Duration = Duration::from_secs(30);
/// Limit of an organisation's waiting jobs if no rule sets one.
pub const DEFAULT_QUEUE: u32 = 200;
/// Limit of attempts of a job if no rule sets one.
pub const DEFAULT_ATTEMPTS: u32 = 3;

/// Line of a file with its rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Line of the file, counted from 1.
    pub line: usize,
    /// Rule of the line.
    pub rule: Rule,
    /// Comment of the line, which names the person who requested the rule.
    pub asked_by: String,
}

/// Parsed rule file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct File {
    /// Lines with rules, in the order of the file.
    pub entries: Vec<Entry>,
}

impl File {
    /// Parses a file and checks its lines against each other.
    ///
    /// # Errors
    /// All findings, in the order of the file; the first ones if there are very many.
    pub fn parse(text: &str) -> Result<Self, Vec<finding::Finding>> {
        let mut findings = Vec::new();
        let mut entries = Vec::new();
        for (index, text) in text.lines().enumerate() {
            if text.trim().is_empty() || text.trim_start().starts_with('#') {
                continue;
            }
            let (entry, faults) = parse_line(index + 1, text);
            entries.extend(entry);
            findings.extend(faults);
            if findings.len() >= MAX_FINDINGS {
                findings.push(unchecked_rest(index + 2));
                return Err(findings);
            }
        }
        let file = File { entries };
        findings.extend(file.check());
        findings.sort();
        if findings.is_empty() { Ok(file) } else { Err(findings) }
    }

    /// Returns the faults that concern several lines: undeclared organisations, and repeated rules
    /// that may be given only once.
    fn check(&self) -> Vec<finding::Finding> {
        let mut findings = Vec::new();
        let mut seen: BTreeMap<String, usize> = BTreeMap::new();
        let declared: BTreeSet<&str> =
            self.organisations().map(|organisation| organisation.name.as_str()).collect();
        for entry in &self.entries {
            if findings.len() >= MAX_FINDINGS {
                findings.push(unchecked_rest(entry.line));
                break;
            }
            let mut fault = |message| {
                findings.push(finding::Finding { line: entry.line, column: 1, message });
            };
            if let Some(name) = organisation_of(&entry.rule)
                && !name.is_empty()
                && !declared.contains(name.as_str())
            {
                fault(format!("organisation `{name}` is not declared in this file"));
            }
            let Some(key) = unique_key(&entry.rule) else { continue };
            if let Some(first) = seen.get(&key) {
                fault(format!("{key} is already given on line {first}"));
            } else {
                seen.insert(key, entry.line);
            }
        }
        findings
    }

    /// Returns the organisations, in the order of the file.
    pub fn organisations(&self) -> impl Iterator<Item = &rule::Organisation> {
        self.entries.iter().filter_map(|entry| match &entry.rule {
            Rule::Organisation(organisation) => Some(organisation),
            _ => None,
        })
    }

    /// Returns the organisation with a name.
    pub fn organisation(&self, name: &str) -> Option<&rule::Organisation> {
        self.organisations().find(|organisation| organisation.name == name)
    }

    /// Returns the guarantees with their line numbers, in the order of the file.
    pub fn guarantees(&self) -> impl Iterator<Item = (usize, &rule::Guarantee)> {
        self.entries.iter().filter_map(|entry| match &entry.rule {
            Rule::Guarantee(guarantee) => Some((entry.line, guarantee)),
            _ => None,
        })
    }

    /// Returns the number of accelerators that an organisation may borrow in a region; none if
    /// there is no limit.
    pub fn quota(&self, organisation: &str) -> Option<u32> {
        self.entries.iter().find_map(|entry| match &entry.rule {
            Rule::Quota(quota) if quota.organisation == organisation => Some(quota.accelerators),
            _ => None,
        })
    }

    /// Returns the number of waiting jobs that an organisation may have in a region.
    pub fn queue(&self, organisation: &str) -> u32 {
        let limit = self.entries.iter().find_map(|entry| match &entry.rule {
            Rule::Admission(admission) if admission.organisation == organisation => {
                Some(admission.queue)
            }
            _ => None,
        });
        limit.unwrap_or(DEFAULT_QUEUE)
    }

    /// Returns the number of attempts that each job of an organisation may have.
    pub fn attempts(&self, organisation: &str) -> u32 {
        let limit = self.entries.iter().find_map(|entry| match &entry.rule {
            Rule::Retries(retries) if retries.organisation == organisation => {
                Some(retries.attempts)
            }
            _ => None,
        });
        limit.unwrap_or(DEFAULT_ATTEMPTS)
    }

    /// Returns how reclaim stops borrowers.
    pub fn reclaim(&self) -> rule::Reclaim {
        let reclaim = self.entries.iter().find_map(|entry| match &entry.rule {
            Rule::Reclaim(reclaim) => Some(reclaim.clone()),
            _ => None,
        });
        reclaim.unwrap_or(rule::Reclaim { grace: DEFAULT_GRACE, order: rule::Order::Youngest })
    }

    /// Returns the weights of the goals of placement.
    pub fn balance(&self) -> rule::Balance {
        let balance = self.entries.iter().find_map(|entry| match &entry.rule {
            Rule::Balance(balance) => Some(balance.clone()),
            _ => None,
        });
        balance.unwrap_or(rule::Balance { completion: 50, fragmentation: 50 })
    }

    /// Whether a worker, its rack or its zone is drained, so that the worker gets no new work.
    pub fn is_drained(&self, worker: &str, rack: &str, zone: &str) -> bool {
        self.entries.iter().any(|entry| match &entry.rule {
            Rule::Drain(rule::Drain::Worker(name)) => name == worker,
            Rule::Drain(rule::Drain::Rack(name)) => name == rack,
            Rule::Drain(rule::Drain::Zone(name)) => name == zone,
            _ => false,
        })
    }
}

/// Returns the organisation that a rule refers to but does not declare.
fn organisation_of(rule: &Rule) -> Option<&id::Organisation> {
    match rule {
        Rule::Guarantee(guarantee) => Some(&guarantee.organisation),
        Rule::Quota(quota) => Some(&quota.organisation),
        Rule::Admission(admission) => Some(&admission.organisation),
        Rule::Retries(retries) => Some(&retries.organisation),
        _ => None,
    }
}

/// Returns the text that identifies a rule which may be given only once.
fn unique_key(rule: &Rule) -> Option<String> {
    match rule {
        Rule::Organisation(organisation) => Some(format!("organisation `{}`", organisation.name)),
        Rule::Quota(quota) => Some(format!("quota of `{}`", quota.organisation)),
        Rule::Admission(admission) => Some(format!("admission of `{}`", admission.organisation)),
        Rule::Retries(retries) => Some(format!("retries of `{}`", retries.organisation)),
        Rule::Reclaim(_) => Some("reclaim".to_owned()),
        Rule::Balance(_) => Some("balance".to_owned()),
        Rule::Guarantee(_) | Rule::Drain(_) => None,
    }
}

/// Finding that ends a list of very many.
fn unchecked_rest(line: usize) -> finding::Finding {
    let message = format!("there are {MAX_FINDINGS} findings or more; the rest was not checked");
    finding::Finding { line, column: 1, message }
}

fn parse_line(number: usize, text: &str) -> (Option<Entry>, Vec<finding::Finding>) {
    let (code, comment) = match text.split_once('#') {
        Some((code, comment)) => (code, comment.trim()),
        None => (text, ""),
    };
    let mut line = line::Line::new(number, code);
    if comment.is_empty() {
        let message = "the line has no comment that names who asked for it".to_owned();
        line.fault(line.end(), message);
    }
    let rule = parse_rule(&mut line);
    // The words after an unknown kind of rule can't be checked.
    let findings = if rule.is_some() { line.finish() } else { line.findings };
    let asked_by = comment.to_owned();
    let entry = rule.map(|rule| Entry { line: number, rule, asked_by });
    (entry, findings)
}

fn parse_rule(line: &mut line::Line<'_>) -> Option<Rule> {
    let (column, kind) = line.word("the kind of rule")?;
    let rule = match kind {
        "organisation" => Rule::Organisation(rule::Organisation {
            name: line.name("the organisation's name"),
            weight: line.count("weight", Some(1), 1, 1_000),
            priority: line.count("priority", Some(0), 0, 100),
        }),
        "guarantee" => Rule::Guarantee(parse_guarantee(line)),
        "quota" => Rule::Quota(rule::Quota {
            organisation: line.name("the organisation's name"),
            accelerators: line.count("accelerators", None, 0, MAX_ACCELERATORS),
        }),
        "admission" => Rule::Admission(rule::Admission {
            organisation: line.name("the organisation's name"),
            queue: line.count("queue", None, 1, 4_000),
        }),
        "reclaim" => Rule::Reclaim(rule::Reclaim {
            grace: line.duration("grace", MAX_GRACE),
            order: line.choice(
                "order",
                Some(rule::Order::Youngest),
                &ORDERS,
                rule::Order::Youngest,
            ),
        }),
        "balance" => Rule::Balance(rule::Balance {
            completion: line.count("completion", None, 0, 100),
            fragmentation: line.count("fragmentation", None, 0, 100),
        }),
        "drain" => Rule::Drain(parse_drain(line)?),
        "retries" => Rule::Retries(rule::Retries {
            organisation: line.name("the organisation's name"),
            attempts: line.count("attempts", None, 1, 100),
        }),
        _ => {
            line.fault(column, format!("`{kind}` is not a kind of rule; known: {KINDS}"));
            return None;
        }
    };
    Some(rule)
}

/// Words for the order in which reclaim stops borrowers.
const ORDERS: [(&str, rule::Order); 2] =
    [("youngest", rule::Order::Youngest), ("smallest", rule::Order::Smallest)];

/// Words for the adjacency of a guarantee's tasks.
const ADJACENCIES: [(&str, Adjacency); 3] =
    [("worker", Adjacency::Worker), ("rack", Adjacency::Rack), ("zone", Adjacency::Zone)];

fn parse_guarantee(line: &mut line::Line<'_>) -> rule::Guarantee {
    let organisation = line.name("the organisation's name");
    let accelerators = line.count("accelerators", None, 1, 64);
    let tasks = line.count("tasks", Some(1), 1, MAX_TASKS);
    let adjacency = line.choice("adjacency", None, &ADJACENCIES, Adjacency::Zone);
    let count = line.count("count", Some(1), 1, 1_000);
    let place = match (line.named("zone"), line.named("region")) {
        (Some(zone), None) => rule::Place::Zone(zone),
        (None, Some(region)) => rule::Place::Region(region),
        _ => {
            line.fault(line.end(), "give either `zone=` or `region=`".to_owned());
            rule::Place::Region(String::new())
        }
    };
    rule::Guarantee { organisation, accelerators, tasks, adjacency, count, place }
}

fn parse_drain(line: &mut line::Line<'_>) -> Option<rule::Drain> {
    match (line.named("worker"), line.named("rack"), line.named("zone")) {
        (Some(worker), None, None) => Some(rule::Drain::Worker(worker)),
        (None, Some(rack), None) => Some(rule::Drain::Rack(rack)),
        (None, None, Some(zone)) => Some(rule::Drain::Zone(zone)),
        _ => {
            line.fault(line.end(), "give one of `worker=`, `rack=` or `zone=`".to_owned());
            None
        }
    }
}
