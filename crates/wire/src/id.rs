//! Aliases for identifiers, so that signatures say which one they take.

/// Unique name of a job, chosen by the entry that accepted it or derived from the caller's key.
pub type Job = String;
/// Unique name of one try to run a job or a request.
pub type Attempt = String;
/// Name of an organisation in the rule file.
pub type Organisation = String;
/// Name of an agent or entry process, from its settings.
pub type Process = String;
/// Name of a worker.
pub type Worker = String;
/// Socket address as text, ip:port.
pub type Address = String;
/// A process's life: changes at each start.
pub type Generation = u64;
/// Number of an accepted rule file.
pub type Revision = u64;
