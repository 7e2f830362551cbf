//! Scheduling decisions about jobs: admission, order, placement, reservation, preemption and the
//! detection of failing or slow workers. This crate does no I/O: all decisions are pure functions
//! over plain state.

pub mod admit;
pub mod assignment;
pub mod bind;
pub mod estimate;
pub mod evict;
pub mod fleet;
pub mod headroom;
pub mod health;
pub mod pace;
pub mod pass;
pub mod place;
pub mod policy;
pub mod preempt;
pub mod quorum;
pub mod rank;
pub mod reclaim;
pub mod reserve;
pub mod share;
pub mod size;
pub mod spare;
pub mod speed;
pub mod stops;
pub mod suspect;
pub mod tiers;
pub mod tradeoff;
pub mod wait;
pub mod waves;
