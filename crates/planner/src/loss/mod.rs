//! Runs that count as ended although their minions have not listed their ends: what shows it, and the
//! figures of all.

mod evidence;
mod summary;

pub use evidence::Evidence;
pub use summary::Summary;
