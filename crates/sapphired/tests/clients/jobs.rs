//! Jobs that are far larger than the memory of the entry that plans them.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::entry::{self, Entry};

/// Time for which an entry plans while it is measured.
const PLANNED: Duration = Duration::from_secs(8);
/// Time in which an entry has to serve callers.
const START: Duration = Duration::from_secs(20);

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// Makes a request; returns the status and the body, or 0 without an answer.
fn request(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: soak.example\r\nX-Key: k\r\nConnection: close\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(head.as_bytes())?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    let text = exchange().unwrap_or_default();
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    (status, text.rsplit("\r\n\r\n").next().unwrap_or_default().to_owned())
}

fn submit(entry: &Entry, id: u64, body: &str) -> u16 {
    request(entry.callers, "POST", &format!("/q/{id:016x}"), body).0
}

/// Waits until an entry takes jobs, and submits one.
fn submit_first(entry: &Entry, id: u64, body: &str) {
    let until = Instant::now() + START;
    while submit(entry, id, body) != 200 {
        assert!(Instant::now() < until, "the entry takes no job");
        thread::sleep(Duration::from_millis(100));
    }
}

/// Has an entry plan for a while, in which it stays within its memory.
fn plan(entry: &mut Entry, after: &str) {
    let until = Instant::now() + PLANNED;
    while Instant::now() < until {
        entry.daemon.check(after);
        thread::sleep(Duration::from_millis(50));
    }
}

/// Checks that callers of ordinary jobs are served, and that a job can be cancelled.
fn check_callers(entry: &Entry, id: u64, large: u64) {
    let ordinary = r#"{"spec":"s","steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":500}]}"#;
    assert_eq!(submit(entry, id, ordinary), 200, "an ordinary job");
    let path = format!("/q/{large:016x}");
    assert_eq!(request(entry.callers, "DELETE", &path, "").0, 200, "a cancellation");
    assert_eq!(request(entry.callers, "GET", &path, "").1, r#"{"state":"cancelled"}"#);
}

/// Guards against entries that end one after the other, since each job that was ever accepted is kept with
/// all tasks that are due, and each planner begins with all of them.
#[test]
fn accepted_jobs_leave_planners_within_their_memory() {
    let store = entry::start_store();
    let mut entry = entry::start_on(store);
    let repeated = || {
        format!(
            r#"{{"spec":"s","steps":[{{"count":200,"cpu":1000,"estimate_ms":500}}],
            "start_at_ms":{},"interval_ms":10,"repeat_count":1000000}}"#,
            unix_ms()
        )
    };
    submit_first(&entry, 1, &repeated());
    plan(&mut entry, "a job that repeats");
    let step = r#"{"count":1000,"cpu":1000,"requirements":"nowhere","estimate_ms":500}"#;
    let large = format!(r#"{{"spec":"s","steps":[{step}]}}"#);
    let answers: Vec<u16> = (10..110).map(|id| submit(&entry, id, &large)).collect();
    assert!(answers.iter().all(|status| matches!(status, 200 | 503)), "{answers:?}");
    assert!(answers.contains(&200) && answers.contains(&503), "{answers:?}");
    plan(&mut entry, "large jobs");
    check_callers(&entry, 200, 1);
    drop(entry);
    // The next planner begins with what is in the store.
    let mut entry = entry::start_on(store);
    submit_first(&entry, 300, &repeated());
    plan(&mut entry, "a start");
    check_callers(&entry, 301, 300);
    entry.daemon.check("callers");
}
