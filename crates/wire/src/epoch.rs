//! Order of a cell's planners.

use std::cmp;

use sapphire_schema::wire::Epoch;

/// Compares two epochs: term, then take-over, then holder.
pub fn compare(left: &Epoch, right: &Epoch) -> cmp::Ordering {
    (left.term, left.takeover, &left.holder).cmp(&(right.term, right.takeover, &right.holder))
}

/// Whether `candidate` is strictly above `current`; everything is above none.
pub fn is_above(candidate: &Epoch, current: Option<&Epoch>) -> bool {
    current.is_none_or(|current| compare(candidate, current).is_gt())
}

/// Text for logs: `term.takeover/holder`.
pub fn text(epoch: &Epoch) -> String {
    format!("{}.{}/{}", epoch.term, epoch.takeover, epoch.holder)
}
