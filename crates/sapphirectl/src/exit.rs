//! Exit codes of the command line.

/// The command succeeded.
pub const OK: i32 = 0;
/// No entry could be reached, a file could not be read or written, or the command failed otherwise.
pub const FAILURE: i32 = 1;
/// The file or the request is invalid; the findings are printed.
pub const FINDINGS: i32 = 2;
/// The request was refused, and nothing ran or changed.
pub const REFUSED: i32 = 3;
/// The job ended, but neither done nor cancelled.
pub const NOT_DONE: i32 = 4;
/// It is unknown whether the request took effect.
pub const UNKNOWN: i32 = 5;
