//! Why placed runs have not begun: the reason of each, and the figures of all.

mod delayed;
mod reason;
mod summary;

pub(crate) use delayed::Delayed;
pub use reason::Reason;
pub use summary::Summary;
