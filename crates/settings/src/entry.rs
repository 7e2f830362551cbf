//! Settings of `sapphired entry`.

use sapphire_schema::settings::{Entry, Limits};

use crate::{finding, section, shared};

/// Default limit of the body of a request or response, in bytes.
const DEFAULT_BODY_BYTES: u64 = 1 << 20;
/// Largest limit of the body of a request or response that can be set, in bytes.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// Default limit of callers' requests that an entry has outstanding.
const DEFAULT_REQUESTS: u32 = 1_000;
/// Default limit of jobs in a cell that have not ended.
const DEFAULT_JOBS: u32 = 2_000;

/// Parses and checks the settings file of an entry.
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
        body_bytes: section.size("body", Some(DEFAULT_BODY_BYTES), 1024..=MAX_BODY_BYTES),
        requests: section.count("requests", Some(DEFAULT_REQUESTS), 1..=100_000),
        jobs: section.count("jobs", Some(DEFAULT_JOBS), 1..=4_000),
        process: Some(shared::process_limits(section)),
    }
}

fn default_limits() -> Limits {
    Limits {
        body_bytes: DEFAULT_BODY_BYTES,
        requests: DEFAULT_REQUESTS,
        jobs: DEFAULT_JOBS,
        process: Some(shared::default_process_limits()),
    }
}
