//! Cordons: the operators' requests that nothing be started in an availability zone.

use bytes::Bytes;

/// Name of an availability zone.
pub type Zone = String;

/// A cordon as its record in the store states it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The cordoned zone; `None` if the key names none, so that nothing is cordoned.
    pub zone: Option<Zone>,
    /// What is wrong with the record, if anything. A record that names a zone is in force
    /// regardless.
    pub fault: Option<String>,
}

/// Decodes the key and the value of a record.
pub type Read = fn(&str, &Bytes) -> Record;
