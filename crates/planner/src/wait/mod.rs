//! Why groups that are due wait: the reason of each, its record, and the figures of all.

mod finding;
mod reason;
mod record;
mod summary;
mod unplaced;
mod untried;

pub(crate) use finding::Finding;
pub use reason::Reason;
pub use record::Record;
pub use summary::Summary;
pub(crate) use unplaced::Unplaced;
pub(crate) use untried::Untried;
