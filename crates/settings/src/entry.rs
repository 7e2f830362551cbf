//! Settings of `sapphired entry`.

use sapphire_schema::settings::{Entry, Limits};

use crate::{finding, section, shared};

const DEFAULT_BODY: u64 = 1 << 20;
const MAX_BODY: u64 = 8 << 20;
const DEFAULT_REQUESTS: u32 = 1_000;
const DEFAULT_JOBS: u32 = 2_000;

/// Reads and checks the settings of an entry.
///
/// # Errors
/// All findings of the file.
pub fn read(text: &str) -> Result<Entry, Vec<finding::Finding>> {
    section::read_file(text, |file| Entry {
        name: file.name("name"),
        region: file.region("region"),
        zone: file.name("zone"),
        address: file.address("address"),
        http: file.address("http"),
        store: file.address("store"),
        peers: file.addresses("peers", 0),
        limits: Some(file.optional_section("limits", limits).unwrap_or(default_limits())),
        timing: Some(shared::timing(file)),
        logging: Some(shared::logging(file)),
        metrics: Some(shared::metrics(file)),
    })
}

fn limits(section: &mut section::Section<'_>) -> Limits {
    Limits {
        body_bytes: section.size("body", Some(DEFAULT_BODY), 1024..=MAX_BODY),
        requests: section.count("requests", Some(DEFAULT_REQUESTS), 1..=100_000),
        jobs: section.count("jobs", Some(DEFAULT_JOBS), 1..=4_000),
    }
}

fn default_limits() -> Limits {
    Limits { body_bytes: DEFAULT_BODY, requests: DEFAULT_REQUESTS, jobs: DEFAULT_JOBS }
}
