//! What must hold, under faults, in virtual time.

mod jobs;
mod late;
mod promises;
mod runs;
mod stories;
