//! What must hold, under faults, in virtual time.

mod jobs;
mod late;
mod overload;
mod promises;
mod runs;
mod stories;
