//! A store of revisions that carries out reads and transactions.

use std::collections::BTreeMap;

use bytes::Bytes;
use sapphire_store::call::{Call, Item, Reply, Revision, Value};

#[derive(Default)]
pub(super) struct Store {
    revision: Revision,
    keys: BTreeMap<String, Revision>,
}

impl Store {
    pub(super) fn contains(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    /// Number of keys that begin with a prefix.
    pub(super) fn count(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|key| key.starts_with(prefix)).count()
    }

    fn revision_of(&self, key: &str) -> Revision {
        self.keys.get(key).copied().unwrap_or(0)
    }

    pub(super) fn call(&mut self, call: &Call) -> Reply {
        match call {
            Call::Get { key } => {
                Reply::Value(Value { revision: self.revision_of(key), bytes: Bytes::new() })
            }
            Call::Commit { conditions, puts, removes } => {
                if conditions.iter().any(|it| self.revision_of(&it.key) != it.revision) {
                    let item = |key: &str| Item {
                        key: key.to_owned(),
                        value: self.contains(key).then(Bytes::new),
                        revision: self.revision_of(key),
                    };
                    return Reply::Refused(conditions.iter().map(|it| item(&it.key)).collect());
                }
                self.revision += 1;
                self.keys.extend(puts.iter().map(|put| (put.key.clone(), self.revision)));
                self.keys.retain(|key, _| !removes.contains(key));
                Reply::Committed(self.revision)
            }
            _ => Reply::NotDone("the call is not offered".to_owned()),
        }
    }
}
