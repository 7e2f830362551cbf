//! The daemon's processes under crowds of clients that break the limits of its interfaces.
//!
//! Each test starts one process whose settings allow it [`daemon::MEMORY`] and [`daemon::DESCRIPTORS`],
//! and sends what clients outside the limits may send. The process has to live, to stay within both,
//! and to answer an ordinary request while the crowd is still connected. Nothing depends on time.

mod agent;
mod crowd;
mod daemon;
mod entry;
mod interface;
mod store;

mod agent_internal;
mod agent_metrics;
mod callers;
mod http;
mod internal;
mod machines;
mod mesh;
mod metrics;
mod minion;
mod ready;
#[path = "../../src/shares.rs"]
mod shares;
