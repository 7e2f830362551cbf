//! What must hold, under faults, in virtual time.

mod jobs;
mod promises;
mod runs;
mod stories;
