//! Sections that settings files of entries and agents have in common.

use std::time::Duration;

use sapphire_schema::settings::{Logging, Metrics, ProcessLimits, Timing};

use crate::section::Section;

const MILLISECOND: Duration = Duration::from_millis(1);

/// Reads the section `timing`; every value has a default.
pub(crate) fn timing(section: &mut Section<'_>) -> Timing {
    section.optional_section("timing", read_timing).unwrap_or_else(default_timing)
}

fn read_timing(section: &mut Section<'_>) -> Timing {
    let mut duration = |name, default: u64, min: u64, max: u64| {
        section.duration(name, MILLISECOND * default as u32, range(min, max))
    };
    Timing {
        heartbeat_ms: duration("heartbeat", 500, 50, 10_000),
        silence_ms: duration("silence", 2_000, 200, 60_000),
        lease_ms: duration("lease", 3_000, 300, 60_000),
        hold_ms: duration("hold", 3_000, 300, 60_000),
        request_ms: duration("request", 30_000, 100, 3_600_000),
        shutdown_ms: duration("shutdown", 30_000, 100, 86_400_000),
    }
}

fn range(min: u64, max: u64) -> std::ops::RangeInclusive<Duration> {
    Duration::from_millis(min)..=Duration::from_millis(max)
}

/// Timing of a file without the section `timing`.
pub(crate) fn default_timing() -> Timing {
    Timing {
        heartbeat_ms: 500,
        silence_ms: 2_000,
        lease_ms: 3_000,
        hold_ms: 3_000,
        request_ms: 30_000,
        shutdown_ms: 30_000,
    }
}

/// Log levels, from none to all messages.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
const DEFAULT_LEVEL: &str = "info";

/// Reads the section `logging`: the level of all parts of the program, and levels of single parts.
pub(crate) fn logging(section: &mut Section<'_>) -> Logging {
    section.optional_section("logging", read_logging).unwrap_or_else(|| same_level(DEFAULT_LEVEL))
}

fn read_logging(section: &mut Section<'_>) -> Logging {
    let level = section.word("level", DEFAULT_LEVEL, &LEVELS);
    let mut part = |name| section.word(name, &level, &LEVELS);
    Logging {
        route: part("route"),
        plan: part("plan"),
        rules: part("rules"),
        member: part("member"),
        agent: part("agent"),
        edge: part("edge"),
        level,
    }
}

fn same_level(level: &str) -> Logging {
    let level = || level.to_owned();
    Logging {
        level: level(),
        route: level(),
        plan: level(),
        rules: level(),
        member: level(),
        agent: level(),
        edge: level(),
    }
}

/// Reads the section `metrics`.
pub(crate) fn metrics(section: &mut Section<'_>) -> Metrics {
    let read = |inner: &mut Section<'_>| Metrics { address: inner.optional_address("address") };
    section.optional_section("metrics", read).unwrap_or_default()
}

/// Default memory of a process, in bytes.
const DEFAULT_MEMORY: u64 = 128 << 20;
/// Default number of descriptors of a process.
const DEFAULT_DESCRIPTORS: u32 = 4_096;

/// Reads what a process may use of its machine; every value has a default.
pub(crate) fn process_limits(section: &mut Section<'_>) -> ProcessLimits {
    ProcessLimits {
        memory_bytes: section.size("memory", Some(DEFAULT_MEMORY), 16 << 20..=1 << 40),
        descriptors: section.count("descriptors", Some(DEFAULT_DESCRIPTORS), 64..=1 << 20),
    }
}

/// What a process may use of its machine if its settings don't say so.
pub(crate) fn default_process_limits() -> ProcessLimits {
    ProcessLimits { memory_bytes: DEFAULT_MEMORY, descriptors: DEFAULT_DESCRIPTORS }
}
