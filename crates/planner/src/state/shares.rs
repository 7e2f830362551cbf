//! State of the shares of organisations.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sapphire_plan::share;
use sapphire_store::call::Revision;

/// State of the shares of organisations.
#[derive(Default)]
pub(crate) struct Shares {
    pub(crate) usages: share::Usages,
    /// Time up to which the usage is known; `None` before the first update.
    pub(crate) updated_at: Option<Duration>,
    /// Shares of the workers that organisations have used since then.
    pub(crate) current: BTreeMap<String, f64>,
    /// Organisations that have open work.
    pub(crate) demanding: BTreeSet<String>,
    /// Organisations above their share.
    pub(crate) above: BTreeSet<String>,
    /// Revision of the record in the store.
    pub(crate) revision: Revision,
    /// Organisations have used workers since the latest write.
    pub(crate) is_changed: bool,
    pub(crate) is_writing: bool,
    /// Time of the latest write.
    pub(crate) written_at: Duration,
}
