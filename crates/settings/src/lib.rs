//! Settings in YAML, checked whole: every finding is reported with its place.

pub mod agent;
pub mod entry;
pub mod finding;
pub mod jobs;
pub mod section;
mod shared;

pub use sapphire_schema::settings::*;
