//! HTTP interface for callers and operators: parses requests into calls.

use std::time::Duration;

use bytes::Bytes;
use sapphire_settings::section;
use sapphire_wire::{Adjacency, Header, Job, Shape, id};
use serde::Deserialize;

use crate::answer::{Account, Answer};

/// Header with the caller's deadline, a duration such as `5s`.
pub const DEADLINE: &str = "Sapphire-Deadline";
/// Header that states whether a request may run more than once: `true` or `false`.
pub const IDEMPOTENT: &str = "Sapphire-Idempotent";
/// Maximum number of tasks of a gang.
const MAX_TASKS: u32 = 256;
/// Longest time that one call waits for a job to end.
const MAX_WAIT: Duration = Duration::from_secs(300);
/// Longest command in bytes.
const MAX_COMMAND: usize = 4_096;

/// A complete HTTP request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the `?`.
    pub query: String,
    /// Headers.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

impl Request {
    /// Value of a header; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| header.value.as_str())
    }

    /// Value of a query parameter, not decoded.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }
}

/// A parsed call.
#[derive(Clone, Debug)]
pub enum Call {
    /// Check whether the process is alive.
    Health,
    /// Check whether the load balancer may send callers to this entry.
    Ready,
    /// Forward a request to a minion of a service.
    Service(Service),
    /// Submit a job to the cell of a region.
    Submit(String, Box<Job>),
    /// Get one job, waiting for up to this time until it has ended.
    Job(id::Job, Duration),
    /// Get one job with the reason why it waits.
    Explain(id::Job),
    /// Cancel a job.
    Cancel(id::Job),
    /// List the jobs of a region, of one organisation or of all (empty).
    Jobs(String, String),
    /// Get the rules in force.
    Rules,
    /// Check a rule file.
    CheckRules(String),
    /// Put a rule file in force.
    ApplyRules(Apply),
    /// List earlier rule files.
    History,
    /// List the processes by the revision that is in force there.
    Status,
    /// List the known workers.
    Workers,
    /// List the known minions.
    Minions,
    /// List the organisations with their guarantees.
    Organisations,
}

/// A request to a service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Method in upper case.
    pub method: String,
    /// Path and query for the minion.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Time until the caller's deadline; `None` if the caller set none.
    pub deadline: Option<Duration>,
}

/// A rule file to put in force.
#[derive(Clone, Debug)]
pub struct Apply {
    /// Revision that the operator's file was made from.
    pub expected: id::Revision,
    /// Text of the file.
    pub text: String,
    /// Name of the operator who applies it.
    pub author: String,
    /// Whether to accept guarantees that the available workers can't satisfy.
    pub allow_short: bool,
}

/// Creates the answer to a malformed request, with status 400.
fn bad(reason: &str) -> Answer {
    Answer::failure(400, Account::NotRun, reason)
}

/// Parses a request.
///
/// # Errors
/// The answer for the caller: 400 for a malformed request, 404 for an unknown path, 405 for a wrong
/// method, 428 for a rule file without its revision.
pub fn parse(request: &Request, region: &str) -> Result<Call, Answer> {
    let segments: Vec<&str> = request.path.split('/').skip(1).collect();
    let organisation = || request.parameter("organisation").unwrap_or("").to_owned();
    match (request.method.as_str(), segments.as_slice()) {
        ("GET" | "HEAD", ["healthz"]) => Ok(Call::Health),
        ("GET" | "HEAD", ["readyz"]) => Ok(Call::Ready),
        (_, ["v1", "services", name, ..]) => parse_service(request, name).map(Call::Service),
        ("POST", ["v1", "jobs"]) => parse_submission(request, region),
        ("GET", ["v1", "jobs"]) => {
            let region = request.parameter("region").unwrap_or(region).to_owned();
            Ok(Call::Jobs(region, organisation()))
        }
        ("GET", ["v1", "jobs", job]) => Ok(Call::Job((*job).to_owned(), parse_wait(request)?)),
        ("GET", ["v1", "jobs", job, "explain"]) => Ok(Call::Explain((*job).to_owned())),
        ("DELETE", ["v1", "jobs", job]) => Ok(Call::Cancel((*job).to_owned())),
        ("GET", ["v1", "rules"]) => Ok(Call::Rules),
        ("PUT", ["v1", "rules"]) => parse_apply(request).map(Call::ApplyRules),
        ("POST", ["v1", "rules", "check"]) => body_text(request).map(Call::CheckRules),
        ("GET", ["v1", "rules", "history"]) => Ok(Call::History),
        ("GET", ["v1", "rules", "status"]) => Ok(Call::Status),
        ("GET", ["v1", "workers"]) => Ok(Call::Workers),
        ("GET", ["v1", "minions"]) => Ok(Call::Minions),
        ("GET", ["v1", "organisations"]) => Ok(Call::Organisations),
        (_, ["v1", "jobs" | "rules" | "workers" | "minions" | "organisations", ..]) => {
            Err(Answer::failure(405, Account::NotRun, "the method does not fit this path"))
        }
        _ => Err(Answer::failure(404, Account::NotRun, "there is nothing at this path")),
    }
}

fn body_text(request: &Request) -> Result<String, Answer> {
    String::from_utf8(request.body.to_vec()).map_err(|_| bad("the body is not UTF-8 text"))
}

fn parse_duration(name: &str, text: &str) -> Result<Duration, Answer> {
    humantime::parse_duration(text)
        .map_err(|_| bad(&format!("{name} `{text}` must be a duration with its unit, such as 5s")))
}

fn parse_wait(request: &Request) -> Result<Duration, Answer> {
    let Some(text) = request.parameter("wait") else { return Ok(Duration::ZERO) };
    Ok(parse_duration("wait", text)?.min(MAX_WAIT))
}

fn parse_apply(request: &Request) -> Result<Apply, Answer> {
    let expected = request.header("If-Match").and_then(|text| text.trim_matches('"').parse().ok());
    let Some(expected) = expected else {
        return Err(Answer::failure(
            428,
            Account::NotRun,
            "If-Match must name the revision that this file was made from",
        ));
    };
    Ok(Apply {
        expected,
        text: body_text(request)?,
        author: request.header("Sapphire-Author").unwrap_or("unknown").to_owned(),
        allow_short: request.parameter("allow_short") == Some("true"),
    })
}

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "proxy-connection",
    "host",
    "content-length",
    "expect",
];

/// Whether a header is end-to-end, rather than for a single connection.
pub fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

fn parse_service(request: &Request, name: &str) -> Result<Service, Answer> {
    let prefix = format!("/v1/services/{name}");
    let rest = request.path.strip_prefix(&prefix).unwrap_or("");
    let path = if rest.is_empty() { "/" } else { rest };
    let query = if request.query.is_empty() { "" } else { "?" };
    let by_method =
        matches!(request.method.as_str(), "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS");
    let is_idempotent = match request.header(IDEMPOTENT) {
        None => by_method,
        Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(bad("Sapphire-Idempotent must be true or false")),
    };
    let deadline =
        request.header(DEADLINE).map(|text| parse_duration(DEADLINE, text)).transpose()?;
    let headers = request.headers.iter().filter(|header| is_end_to_end(&header.name));
    Ok(Service {
        name: name.to_owned(),
        method: request.method.clone(),
        path: format!("{path}{query}{}", request.query),
        headers: headers.cloned().collect(),
        body: request.body.clone(),
        is_idempotent,
        deadline,
    })
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody {
    organisation: String,
    shape: ShapeBody,
    command: String,
    #[serde(default)]
    region: Option<String>,
    #[serde(default)]
    run_time: Option<String>,
    #[serde(default)]
    deadline: Option<String>,
    #[serde(default)]
    urgent: bool,
    #[serde(default)]
    idempotent: bool,
    #[serde(default)]
    key: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ShapeBody {
    accelerators: u32,
    #[serde(default = "default_tasks")]
    tasks: u32,
    #[serde(default)]
    adjacency: AdjacencyBody,
    #[serde(default)]
    processors: u32,
    #[serde(default)]
    memory: Option<String>,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum AdjacencyBody {
    Worker,
    Rack,
    #[default]
    Zone,
}

fn default_tasks() -> u32 {
    1
}

fn parse_submission(request: &Request, own_region: &str) -> Result<Call, Answer> {
    let body: SubmitBody = serde_json::from_slice(&request.body)
        .map_err(|error| bad(&format!("the body is not a job: {error}")))?;
    let shape = parse_shape(&body.shape)?;
    if body.command.len() > MAX_COMMAND {
        return Err(bad(&format!("command is longer than {MAX_COMMAND} bytes")));
    }
    let millis = |name: &str, text: &Option<String>| -> Result<u64, Answer> {
        let Some(text) = text else { return Ok(0) };
        Ok(u64::try_from(parse_duration(name, text)?.as_millis()).unwrap_or(u64::MAX))
    };
    let region = body.region.unwrap_or_else(|| own_region.to_owned());
    if !section::is_name(&region) {
        return Err(bad("region must be a name"));
    }
    let job = Job {
        organisation: body.organisation,
        shape: Some(shape),
        urgent: body.urgent,
        idempotent: body.idempotent,
        declared_ms: millis("run_time", &body.run_time)?,
        deadline_unix_ms: millis("deadline", &body.deadline)?,
        command: body.command,
        // Holds the caller's key until the state machine replaces it with the job's identifier.
        id: body.key.unwrap_or_default(),
        ..Job::default()
    };
    Ok(Call::Submit(region, Box::new(job)))
}

fn parse_shape(body: &ShapeBody) -> Result<Shape, Answer> {
    if body.accelerators == 0 || body.accelerators > 64 {
        return Err(bad("shape.accelerators must be from 1 to 64"));
    }
    if body.tasks == 0 || body.tasks > MAX_TASKS {
        return Err(bad(&format!("shape.tasks must be from 1 to {MAX_TASKS}")));
    }
    let memory = body.memory.as_deref().map(|text| {
        section::parse_size(text).ok_or_else(|| bad("shape.memory must be a size such as 16GiB"))
    });
    let adjacency = match body.adjacency {
        AdjacencyBody::Worker => Adjacency::Worker,
        AdjacencyBody::Rack => Adjacency::Rack,
        AdjacencyBody::Zone => Adjacency::Zone,
    };
    Ok(Shape {
        accelerators: body.accelerators,
        processors: body.processors,
        memory_bytes: memory.transpose()?.unwrap_or(0),
        tasks: body.tasks,
        adjacency: adjacency as i32,
    })
}
