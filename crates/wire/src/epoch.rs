//! Order of a cell's planners.

use std::cmp;

use sapphire_schema::wire::Epoch;

/// Compares two epochs: term, then holder.
pub fn compare(left: &Epoch, right: &Epoch) -> cmp::Ordering {
    (left.term, &left.holder).cmp(&(right.term, &right.holder))
}

/// Whether `candidate` is strictly above `current`; everything is above none.
pub fn is_above(candidate: &Epoch, current: Option<&Epoch>) -> bool {
    current.is_none_or(|current| compare(candidate, current).is_gt())
}

/// Text for logs: `term/holder`.
pub fn text(epoch: &Epoch) -> String {
    format!("{}/{}", epoch.term, epoch.holder)
}
