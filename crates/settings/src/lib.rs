//! Reader of settings files in YAML. A file is checked completely, and all findings are reported
//! together, with their lines.

pub mod agent;
pub mod entry;
pub mod finding;
pub mod jobs;
pub mod section;
mod shared;

pub use sapphire_schema::settings::*;
