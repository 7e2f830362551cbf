//! Settings of `sapphired agent`.

use sapphire_schema::settings::{Agent, AgentMinion, AgentWorker};

use crate::{finding, section, shared};

/// Largest memory of a worker, in bytes.
const MAX_MEMORY_BYTES: u64 = 64 << 40;

/// Parses and checks the settings file of an agent.
///
/// # Errors
/// All findings of the file. An agent with neither a worker nor a minion is a finding.
pub fn read(text: &str) -> Result<Agent, Vec<finding::Finding>> {
    let agent = section::read_file(text, |file| Agent {
        name: file.name("name"),
        region: file.region("region"),
        zone: file.name("zone"),
        address: file.address("address"),
        entries: file.addresses("entries", 1),
        worker: file.optional_section("worker", worker),
        minion: file.optional_section("minion", minion),
        timing: Some(shared::timing(file)),
        logging: Some(shared::logging(file)),
        metrics: Some(shared::metrics(file)),
    })?;
    if agent.worker.is_none() && agent.minion.is_none() {
        let message = "is missing; an agent needs a worker, a minion or both".to_owned();
        return Err(vec![finding::Finding { line: 1, key: "worker".to_owned(), message }]);
    }
    Ok(agent)
}

fn worker(section: &mut section::Section<'_>) -> AgentWorker {
    AgentWorker {
        name: section.name("name"),
        rack: section.name("rack"),
        address: section.address("address"),
        accelerators: section.count("accelerators", None, 1..=64),
        processors: section.count("processors", None, 1..=4_096),
        memory_bytes: section.size("memory", None, (1 << 20)..=MAX_MEMORY_BYTES),
    }
}

fn minion(section: &mut section::Section<'_>) -> AgentMinion {
    AgentMinion {
        name: section.name("name"),
        service: section.name("service"),
        address: section.address("address"),
        slots: section.count("slots", Some(8), 1..=1_024),
        connections: section.count("connections", Some(64), 1..=65_536),
    }
}
