//! What must hold, under faults, in virtual time.

mod promises;
mod runs;
mod stories;
