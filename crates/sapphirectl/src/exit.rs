//! Exit codes.

/// It was done.
pub const OK: i32 = 0;
/// No entry could be reached, or it failed.
pub const FAILURE: i32 = 1;
/// The file or the call has faults, listed on standard output.
pub const FINDINGS: i32 = 2;
/// It was refused and nothing ran or changed.
pub const REFUSED: i32 = 3;
/// The job ended, but not done.
pub const NOT_DONE: i32 = 4;
/// It is not known whether it took effect.
pub const UNKNOWN: i32 = 5;
