//! What must hold, under faults, in virtual time.

mod runs;
