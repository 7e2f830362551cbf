//! Settings of entries and agents that schedule jobs on the users' platform.

use std::time::Duration;

use sapphire_jobs::footprint::Budget;
use sapphire_schema::settings::{
    Bounds, JobAgent, JobEntry, Policy, ProcessLimits, Shares, Speeds, Stops,
};

use crate::{finding, section, shared};

/// Whether a settings file is for a process on the users' platform, as its key `platform` shows.
pub fn is_platform_file(text: &str) -> bool {
    text.lines().any(|line| line.starts_with("platform:"))
}

/// Parses and checks the settings file of an entry.
///
/// # Errors
/// All findings of the file.
pub fn read_entry(text: &str) -> Result<JobEntry, Vec<finding::Finding>> {
    section::read_file(text, |file| {
        file.word("platform", PLATFORMS[0], &PLATFORMS);
        let EntryLimits { process, max_tombstones, job_memory, job_tasks } = entry_limits(file);
        JobEntry {
            name: file.name("name"),
            region: file.name("region"),
            zone: file.name("zone"),
            address: file.address("address"),
            callers: file.address("callers"),
            ready: file.address("ready"),
            store: file.address("store"),
            entries: file.addresses("entries", 0),
            metrics: file.optional_address("metrics"),
            inventory: file.optional_address("inventory"),
            calls_outlive_incarnations: file.switch("calls_outlive_incarnations", false),
            bounds: Some(bounds(file)),
            policy: Some(policy(file)),
            speeds: file.optional_section("speeds", read_speeds),
            shares: file.optional_section("shares", read_shares),
            stops: file.optional_section("stops", read_stops),
            logging: Some(shared::logging(file)),
            limits: Some(process),
            max_tombstones,
            job_memory,
            job_tasks,
        }
    })
}

/// Parses and checks the settings file of an agent.
///
/// # Errors
/// All findings of the file.
pub fn read_agent(text: &str) -> Result<JobAgent, Vec<finding::Finding>> {
    section::read_file(text, |file| {
        file.word("platform", PLATFORMS[0], &PLATFORMS);
        JobAgent {
            name: file.name("name"),
            region: file.name("region"),
            zone: file.name("zone"),
            address: file.address("address"),
            minion: file.address("minion"),
            tasks: file.optional_address("tasks"),
            entries: file.addresses("entries", 0),
            metrics: file.optional_address("metrics"),
            bounds: Some(bounds(file)),
            logging: Some(shared::logging(file)),
            limits: Some(limits(file)),
        }
    })
}

/// Platforms for which there is an adapter.
const PLATFORMS: [&str; 1] = ["kv"];

fn limits(file: &mut section::Section<'_>) -> ProcessLimits {
    file.optional_section("limits", shared::process_limits)
        .unwrap_or_else(shared::default_process_limits)
}

/// Limits of an entry.
#[derive(Default)]
struct EntryLimits {
    process: ProcessLimits,
    /// Maximum number of cancellations of jobs that don't exist.
    max_tombstones: u32,
    /// Memory in bytes for accepted jobs.
    job_memory: u64,
    /// Most tasks of a job, in one repetition.
    job_tasks: u32,
}

fn entry_limits(file: &mut section::Section<'_>) -> EntryLimits {
    let read = |section: &mut section::Section<'_>| {
        let max_tombstones =
            section.count("cancellations", Some(DEFAULT_MAX_TOMBSTONES), 1..=100_000);
        let process = shared::process_limits(section);
        let most = process.memory_bytes / MEMORY_PER_JOB_MEMORY;
        let default = default_job_memory(process.memory_bytes);
        let job_memory = section.size("jobs", Some(default), MIN_JOB_MEMORY..=most);
        let fitting = fitting_tasks(job_memory);
        let default = DEFAULT_JOB_TASKS.min(fitting);
        let job_tasks = section.count("job_tasks", Some(default), 1..=fitting);
        EntryLimits { process, max_tombstones, job_memory, job_tasks }
    };
    file.optional_section("limits", read).unwrap_or_else(|| {
        let process = shared::default_process_limits();
        let job_memory = default_job_memory(process.memory_bytes);
        let job_tasks = DEFAULT_JOB_TASKS.min(fitting_tasks(job_memory));
        EntryLimits { process, max_tombstones: DEFAULT_MAX_TOMBSTONES, job_memory, job_tasks }
    })
}

/// Default maximum number of cancellations of jobs that don't exist.
const DEFAULT_MAX_TOMBSTONES: u32 = 1_000;
/// Default of the most tasks of a job.
const DEFAULT_JOB_TASKS: u32 = 20_000;
/// The interfaces of a process leave this part of its memory, of which the program takes some itself.
const MEMORY_PER_JOB_MEMORY: u64 = 8;
/// Memory in bytes that the program takes beside its interfaces and the jobs.
const PROGRAM_MEMORY: u64 = 4 << 20;
/// Least memory in bytes for accepted jobs.
const MIN_JOB_MEMORY: u64 = 1 << 20;

fn default_job_memory(memory_bytes: u64) -> u64 {
    let part = memory_bytes / MEMORY_PER_JOB_MEMORY;
    part.saturating_sub(PROGRAM_MEMORY).max(MIN_JOB_MEMORY)
}

/// Returns the most tasks of a job that the planner has memory for.
fn fitting_tasks(job_memory: u64) -> u32 {
    let tasks = Budget::new(job_memory).largest_tasks();
    u32::try_from(tasks).unwrap_or(u32::MAX).clamp(1, MAX_JOB_TASKS)
}

/// Most tasks that a job may be allowed.
const MAX_JOB_TASKS: u32 = 100_000;

fn bounds(file: &mut section::Section<'_>) -> Bounds {
    file.optional_section("bounds", read_bounds).unwrap_or_else(default_bounds)
}

fn read_bounds(section: &mut section::Section<'_>) -> Bounds {
    let default = default_bounds();
    let mut millis = |name, default: u64| {
        let range = Duration::from_millis(1)..=Duration::from_secs(86_400);
        section.duration(name, Duration::from_millis(default), range)
    };
    Bounds {
        revocation_ms: millis("revocation", default.revocation_ms),
        lease_limit_ms: millis("lease_limit", default.lease_limit_ms),
        stop_ms: millis("stop", default.stop_ms),
        status_ms: millis("status", default.status_ms),
        reclaim_ms: millis("reclaim", default.reclaim_ms),
        checkpoint_ms: millis("checkpoint", default.checkpoint_ms),
        store_lease_ms: millis("store_lease", default.store_lease_ms),
        cordon_ms: millis("cordon", default.cordon_ms),
        cancel_ms: millis("cancel", default.cancel_ms),
        remote_factor: section.count("remote_factor", Some(default.remote_factor), 1..=1_000),
    }
}

/// Default bounds, which hold on the known deployments.
fn default_bounds() -> Bounds {
    Bounds {
        revocation_ms: 5_000,
        lease_limit_ms: 10_000,
        stop_ms: 400,
        status_ms: 120_000,
        reclaim_ms: 2_900,
        remote_factor: 3,
        checkpoint_ms: 2_000,
        store_lease_ms: 1_000,
        cordon_ms: 5_000,
        cancel_ms: 3_000,
    }
}

fn policy(file: &mut section::Section<'_>) -> Policy {
    file.optional_section("policy", read_policy).unwrap_or_else(default_policy)
}

fn read_policy(section: &mut section::Section<'_>) -> Policy {
    let mut switch = |name| section.switch(name, true);
    Policy {
        learn_times: switch("learn_times"),
        learn_siblings: switch("learn_siblings"),
        keep_checkpoints: switch("keep_checkpoints"),
        keep_times: switch("keep_times"),
        reserve_room: switch("reserve_room"),
        count_waves: switch("count_waves"),
        limit_urgent: switch("limit_urgent"),
        weigh_waits: switch("weigh_waits"),
        weigh_lateness: switch("weigh_lateness"),
        spare_workers: switch("spare_workers"),
        wait_for_rack: switch("wait_for_rack"),
        prefer_pressing: switch("prefer_pressing"),
        move_slow: switch("move_slow"),
        move_still: switch("move_still"),
        doubt_workers: switch("doubt_workers"),
    }
}

/// Default policy: every mechanism is on.
fn default_policy() -> Policy {
    Policy {
        learn_times: true,
        learn_siblings: true,
        keep_checkpoints: true,
        keep_times: true,
        reserve_room: true,
        count_waves: true,
        limit_urgent: true,
        weigh_waits: true,
        weigh_lateness: true,
        spare_workers: true,
        wait_for_rack: true,
        prefer_pressing: true,
        move_slow: true,
        move_still: true,
        doubt_workers: true,
    }
}

fn read_speeds(section: &mut section::Section<'_>) -> Speeds {
    Speeds { unequal_from_milli: section.ratio("unequal_from", 1_050..=10_000) }
}

fn read_shares(section: &mut section::Section<'_>) -> Shares {
    let range = Duration::from_secs(1)..=Duration::from_secs(3_600);
    Shares { window_ms: section.duration("window", DEFAULT_SHARE_WINDOW, range) }
}

fn read_stops(section: &mut section::Section<'_>) -> Stops {
    Stops { limit_milli: section.ratio("limit", 10..=1_000) }
}

/// Default time in which the usage of an organisation loses most of its weight: longer than most
/// jobs, so that a gang fits into the share of a small organisation.
const DEFAULT_SHARE_WINDOW: Duration = Duration::from_secs(30);
