//! Epochs, which order the successive planners of a cell.

use std::cmp;

use sapphire_schema::wire::Epoch;

/// Compares two epochs by term, then by holder.
pub fn compare(left: &Epoch, right: &Epoch) -> cmp::Ordering {
    (left.term, &left.holder).cmp(&(right.term, &right.holder))
}

/// Whether `candidate` is later than `current`; every epoch is later than none.
pub fn is_above(candidate: &Epoch, current: Option<&Epoch>) -> bool {
    current.is_none_or(|current| compare(candidate, current).is_gt())
}

/// Formats an epoch for logs, as `term/holder`.
pub fn text(epoch: &Epoch) -> String {
    format!("{}/{}", epoch.term, epoch.holder)
}
