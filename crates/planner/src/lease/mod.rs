//! Leases that are withheld from workers whose agents poll: why, since when, and the figures of all.

mod obstacle;
mod summary;
mod withheld;

pub use obstacle::Obstacle;
pub use summary::Summary;
pub use withheld::Withheld;
