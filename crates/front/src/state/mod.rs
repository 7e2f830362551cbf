//! Parts of an entry's state. The logic that works on them is in the other modules of this crate.

pub(crate) mod freshness;
pub(crate) mod leadership;
pub(crate) mod reads;
pub(crate) mod writes;
