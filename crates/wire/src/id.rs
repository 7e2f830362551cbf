//! Type aliases for identifiers, so that signatures show which identifier they expect.

/// Unique name of a job, chosen by the entry that accepted it or derived from the caller's key.
pub type Job = String;
/// Unique name of one attempt to run a job or a request.
pub type Attempt = String;
/// Name of an organisation in the rule file.
pub type Organisation = String;
/// Name of an agent or entry process, as given in its settings.
pub type Process = String;
/// Name of a worker.
pub type Worker = String;
/// Socket address as text, in the form ip:port.
pub type Address = String;
/// Generation of a process: a number that differs for each start of the process.
pub type Generation = u64;
/// Revision number of an accepted rule file.
pub type Revision = u64;
