//! Tests of the hub as server and client against plain sockets.

use std::{
    io::{ErrorKind, Read as _, Write as _},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    process,
    sync::atomic::{AtomicU8, Ordering},
    thread,
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};
use sapphire_net::{
    hub::{Event, Failure, Hub},
    message::{Limits, Request, Response},
};

const WAIT: Duration = Duration::from_secs(10);

/// Returns an address at which nothing listens, on a loopback host that no other test uses. On a
/// shared host another test could take the port before it is used.
pub(crate) fn free_address() -> SocketAddr {
    static HOSTS: AtomicU8 = AtomicU8::new(1);
    let host = HOSTS.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = process::id().to_be_bytes();
    let listener = TcpListener::bind((Ipv4Addr::new(127, high | 1, low, host), 0));
    listener.and_then(|it| it.local_addr()).expect("loopback has free ports")
}

/// Serves until a caller requests `/end`; returns how many callers disconnected before their
/// response.
fn serve(address: SocketAddr, limits: Limits) -> thread::JoinHandle<usize> {
    let mut hub = Hub::new().expect("the system gives an event queue");
    hub.listen(address, limits).expect("the port is free");
    thread::spawn(move || {
        let mut disconnected = 0;
        loop {
            hub.poll(WAIT).expect("the event queue works");
            while let Some(event) = hub.next_event() {
                match event {
                    Event::Request { caller, request, .. } if request.path() == "/end" => {
                        hub.answer(caller, &Response::new(200, "end"));
                        return disconnected;
                    }
                    Event::Request { caller, request, .. } if request.path() != "/never" => {
                        hub.answer(caller, &Response::new(200, request.body));
                    }
                    Event::Disconnected(_) => disconnected += 1,
                    Event::NotAccepted { kind, .. } => panic!("not accepted: {kind}"),
                    _ => {}
                }
            }
        }
    })
}

fn send(address: SocketAddr, request: &str) -> String {
    let mut socket = TcpStream::connect(address).expect("the server listens");
    socket.set_read_timeout(Some(WAIT)).expect("a timeout can be set");
    socket.write_all(request.as_bytes()).expect("the request can be sent");
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = socket.read(&mut chunk).expect("the server responds");
        answer.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&answer).into_owned();
        if count == 0 || text.contains("\r\n\r\n") {
            return text;
        }
    }
}

fn stop(address: SocketAddr) {
    send(address, "GET /end HTTP/1.1\r\nHost: x\r\n\r\n");
}

/// Guards against callers that block a server by opening as many connections as the limit allows
/// and stalling in the middle of a header or body: their connections are closed for new ones.
#[test]
fn stalled_connections_block_no_other_caller() {
    let address = free_address();
    let limits = Limits { connections: 16, ..Limits::default() };
    let server = serve(address, limits);
    let stalled: Vec<TcpStream> = (0..64)
        .map(|index| {
            let mut socket = TcpStream::connect(address).expect("the server listens");
            let part = if index % 2 == 0 {
                "GET / HTTP/1.1\r\nHo"
            } else {
                "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab"
            };
            // Fails if the server has closed the connection already.
            let _ = socket.write_all(part.as_bytes());
            socket
        })
        .collect();
    for _ in 0..8 {
        let answer = send(address, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    drop(stalled);
    stop(address);
    server.join().expect("the server ends");
}

/// Guards against connections without limit whose requests are being served: a further one is refused,
/// and told that it may come back.
#[test]
fn a_connection_beyond_those_that_are_served_is_refused() {
    let address = free_address();
    let server = serve(address, Limits { connections: 4, ..Limits::default() });
    let mut served: Vec<TcpStream> = (0..4)
        .map(|_| {
            let mut socket = TcpStream::connect(address).expect("the server listens");
            socket.write_all(b"GET /never HTTP/1.1\r\nHost: x\r\n\r\n").expect("can be sent");
            socket
        })
        .collect();
    // Which connections are accepted before the others' requests are read depends on the system.
    let refusal = (0..100).find_map(|_| {
        let mut socket = TcpStream::connect(address).expect("the server listens");
        let mut answer = String::new();
        socket.write_all(b"GET /never HTTP/1.1\r\nHost: x\r\n\r\n").expect("can be sent");
        socket.set_read_timeout(Some(Duration::from_millis(100))).expect("a timeout can be set");
        let _ = socket.read_to_string(&mut answer);
        served.push(socket);
        answer.contains("\r\n\r\n").then_some(answer)
    });
    let refusal = refusal.expect("a further connection is refused");
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("Retry-After: 1\r\n"), "{refusal}");
    drop(served);
    // A further connection is refused until those of the others have been closed.
    while !server.is_finished() {
        let Ok(mut socket) = TcpStream::connect(address) else { break };
        let _ = socket.write_all(b"GET /end HTTP/1.1\r\nHost: x\r\n\r\n");
        let _ = socket.read(&mut [0; 64]);
    }
    server.join().expect("the server ends");
}

#[test]
fn a_disconnected_caller_is_reported() {
    let address = free_address();
    let server = serve(address, Limits::default());
    let mut socket = TcpStream::connect(address).expect("the server listens");
    socket.write_all(b"GET /never HTTP/1.1\r\nHost: x\r\n\r\n").expect("the request can be sent");
    // Once a request on a later connection is answered, the server has read the first one.
    send(address, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    socket.shutdown(Shutdown::Both).expect("the socket can be shut down");
    drop(socket);
    send(address, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stop(address);
    assert_eq!(server.join().expect("the server ends"), 1);
}

#[test]
fn requests_that_cannot_be_read_are_refused() {
    let address = free_address();
    let limits = Limits { head_bytes: 256, body_bytes: 64, ..Limits::default() };
    let server = serve(address, limits);
    let long = "x".repeat(400);
    for (request, status) in [
        ("BAD\r\n\r\n".to_owned(), "400"),
        (format!("GET / HTTP/1.1\r\nX-Long: {long}\r\n\r\n"), "431"),
        ("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n".to_owned(), "413"),
        ("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n".to_owned(), "400"),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n".to_owned(), "413"),
    ] {
        let answer = send(address, &request);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{request:?}: {answer}");
    }
    let chunked =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
    assert!(send(address, chunked).contains("Content-Length: 3"));
    stop(address);
    server.join().expect("the server ends");
}

/// Guards against a request within the limits that is never answered, since its body arrives in small
/// chunks: their sizes and line breaks counted as parts of the body.
#[test]
fn a_body_in_small_chunks_is_read() {
    let address = free_address();
    let limits = Limits { head_bytes: 256, body_bytes: 8 << 10, ..Limits::default() };
    let server = serve(address, limits);
    for size in [1, 7] {
        let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
        let chunks = chunk.repeat(limits.body_bytes / size);
        let head = "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
        let answer = send(address, &format!("{head}{chunks}0\r\n\r\n"));
        let length = limits.body_bytes / size * size;
        assert!(answer.contains(&format!("Content-Length: {length}\r\n")), "{size}: {answer}");
    }
    stop(address);
    server.join().expect("the server ends");
}

/// Guards against a refusal that its caller never sees: the connection is closed while the rest of the
/// request is on its way, and the reset overtakes the response.
#[test]
fn a_refusal_is_read_by_a_caller_that_sends_its_whole_body() {
    let address = free_address();
    let limits = Limits::default();
    let server = serve(address, limits);
    let body = "x".repeat(limits.body_bytes + 1);
    for _ in 0..5 {
        let head = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
        let answer = send(address, &(head + &body));
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    }
    stop(address);
    server.join().expect("the server ends");
}

/// Guards against callers that wait for permission to send their bodies, and get none.
#[test]
fn a_caller_that_waits_for_permission_may_send_its_body() {
    let address = free_address();
    let server = serve(address, Limits::default());
    let mut socket = TcpStream::connect(address).expect("the server listens");
    socket.set_read_timeout(Some(WAIT)).expect("a timeout can be set");
    let head = "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n";
    socket.write_all(head.as_bytes()).expect("the head can be sent");
    let mut permission = [0; 25];
    socket.read_exact(&mut permission).expect("the server responds");
    assert_eq!(&permission, b"HTTP/1.1 100 Continue\r\n\r\n");
    socket.write_all(b"abc").expect("the body can be sent");
    let mut answer = [0; 15];
    socket.read_exact(&mut answer).expect("the server responds");
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
    stop(address);
    server.join().expect("the server ends");
}

/// Guards against a process that reads from no other connection while a caller has sent many requests at
/// once: one request of each connection is served in a turn.
#[test]
fn requests_in_a_row_keep_no_other_connection_waiting() {
    let address = free_address();
    let mut hub = Hub::new().expect("the system gives an event queue");
    hub.listen(address, Limits::default()).expect("the port is free");
    let request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut sockets = [(); 2].map(|()| TcpStream::connect(address).expect("the server listens"));
    for socket in &mut sockets {
        socket.write_all(request.repeat(100).as_bytes()).expect("the requests can be sent");
    }
    let mut served = 0;
    while served < 200 {
        hub.poll(WAIT).expect("the event queue works");
        let mut in_turn = 0;
        while let Some(event) = hub.next_event() {
            if let Event::Request { caller, .. } = event {
                hub.answer(caller, &Response::new(200, ""));
                in_turn += 1;
            }
        }
        assert!(in_turn <= sockets.len(), "{in_turn} requests in one turn");
        served += in_turn;
    }
}

/// Guards against a limit of bodies that holds only for connections that are opened after its change.
#[test]
fn a_changed_limit_of_bodies_holds_for_open_connections() {
    let address = free_address();
    let mut hub = Hub::new().expect("the system gives an event queue");
    let listener = hub.listen(address, Limits::default()).expect("the port is free");
    let server = thread::spawn(move || {
        for limit in [8, 4] {
            let caller = loop {
                hub.poll(WAIT).expect("the event queue works");
                if let Some(Event::Request { caller, .. }) = hub.next_event() {
                    break caller;
                }
            };
            hub.set_body_limit(listener, limit);
            hub.answer(caller, &Response::new(200, ""));
        }
        while hub.take_turned_away().too_large == 0 {
            hub.poll(WAIT).expect("the event queue works");
        }
        hub.next_event()
    });
    let mut socket = TcpStream::connect(address).expect("the server listens");
    socket.set_read_timeout(Some(WAIT)).expect("a timeout can be set");
    for (length, status) in [(16, "200"), (8, "200"), (8, "413")] {
        let body = "x".repeat(length);
        let request = format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
        socket.write_all(request.as_bytes()).expect("the request can be sent");
        let mut answer = [0; 128];
        let count = socket.read(&mut answer).expect("the server responds");
        let answer = String::from_utf8_lossy(&answer[..count]);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{length}: {answer}");
    }
    assert!(server.join().expect("the server ends").is_none());
}

fn outcome(hub: &mut Hub) -> Result<Response, Failure> {
    loop {
        hub.poll(WAIT).expect("the event queue works");
        while let Some(event) = hub.next_event() {
            if let Event::Answer { result, .. } = event {
                return result;
            }
        }
    }
}

/// Guards against a call that waits for ever on a connection that stops without a reset, as in a
/// network partition: the call times out and the next call opens a new connection.
#[test]
fn a_silent_server_costs_one_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    let server = thread::spawn(move || {
        let (_silent, _) = listener.accept().expect("the first call connects");
        let (mut socket, _) = listener.accept().expect("the second call opens a new connection");
        let mut chunk = [0; 1024];
        let count = socket.read(&mut chunk).expect("the client sends its request");
        assert!(count > 0);
        socket
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            .expect("the response can be sent");
    });
    let mut hub = Hub::new().expect("the system gives an event queue");
    let request = Request::new("GET", "/", "");
    hub.call(address, &request, Duration::from_millis(50));
    assert_eq!(outcome(&mut hub), Err(Failure::Timeout));
    hub.call(address, &request, WAIT);
    assert_eq!(outcome(&mut hub).map(|response| response.body), Ok("ok".into()));
    server.join().expect("the server ends");
}

#[test]
fn a_call_to_a_port_without_listener_is_refused() {
    let address = free_address();
    let mut hub = Hub::new().expect("the system gives an event queue");
    hub.call(address, &Request::new("GET", "/", ""), WAIT);
    assert_eq!(outcome(&mut hub), Err(Failure::Refused));
}

/// Size of one part of a response, in bytes.
const PART_BYTES: usize = 64 << 10;

/// Serves one call with a response that is sent in parts; `between` is called before each part.
fn serve_in_parts(
    parts: usize,
    mut between: impl FnMut(usize) + Send + 'static,
) -> (SocketAddr, thread::JoinHandle<()>) {
    static PART: [u8; PART_BYTES] = [b'x'; PART_BYTES];
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    let server = thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("the call connects");
        let mut chunk = [0; 1024];
        assert!(socket.read(&mut chunk).expect("the client sends its request") > 0);
        let length = parts * PART.len();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        socket.write_all(head.as_bytes()).expect("the head can be sent");
        for part in 0..parts {
            between(part);
            // Fails once the caller has timed out.
            if socket.write_all(&PART).is_err() {
                return;
            }
        }
    });
    (address, server)
}

/// Guards against a large response that is discarded and requested again, because a slow link takes
/// longer to transfer it than the timeout of the call.
#[test]
fn a_response_that_keeps_arriving_does_not_time_out() {
    const PARTS: usize = 40;
    let timeout = Duration::from_millis(800);
    let (address, server) = serve_in_parts(PARTS, move |_| thread::sleep(timeout / 16));
    let mut hub = Hub::new().expect("the system gives an event queue");
    hub.call(address, &Request::new("GET", "/", ""), timeout);
    let length = outcome(&mut hub).map(|response| response.body.len());
    assert_eq!(length, Ok(PARTS * PART_BYTES));
    server.join().expect("the server ends");
}

/// Guards against a large response that is truncated because a slow link takes longer to transfer
/// it than the timeout of a request.
#[test]
fn a_response_that_keeps_being_read_is_not_truncated() {
    const BODY: usize = 16 << 20;
    let address = free_address();
    let limits = Limits {
        body_bytes: 2 * BODY,
        request_timeout: Duration::from_millis(400),
        ..Limits::default()
    };
    let server = serve(address, limits);
    let mut socket = TcpStream::connect(address).expect("the server listens");
    let head = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY}\r\n\r\n");
    socket.write_all(head.as_bytes()).expect("the head can be sent");
    socket.write_all(&vec![b'x'; BODY]).expect("the body can be sent");
    let mut chunk = vec![0; 256 << 10];
    let mut received = 0;
    while received < BODY {
        let count = socket.read(&mut chunk).expect("the response goes on");
        assert!(count > 0, "response truncated after {received} of {BODY} bytes");
        received += count;
        thread::sleep(Duration::from_millis(20));
    }
    stop(address);
    server.join().expect("the server ends");
}

/// Guards against a long poll that waits for its whole timeout, although the connection has stopped
/// in the middle of the response.
#[test]
fn a_response_with_a_long_gap_fails_before_the_timeout() {
    let (release, wait) = std::sync::mpsc::channel::<()>();
    let (address, server) = serve_in_parts(2, move |part| {
        if part == 1 {
            // Fails once the test is over.
            let _ = wait.recv();
        }
    });
    let mut hub = Hub::new().expect("the system gives an event queue");
    let begun = std::time::Instant::now();
    hub.call(address, &Request::new("GET", "/", ""), WAIT);
    assert_eq!(outcome(&mut hub), Err(Failure::Timeout));
    assert!(begun.elapsed() < WAIT / 2, "failed after {:?} only", begun.elapsed());
    drop(release);
    server.join().expect("the server ends");
}

/// Guards against a server that prolongs a call without end by sending single bytes.
#[test]
fn a_response_below_the_least_rate_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    let server = thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("the call connects");
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
        socket.write_all(head).expect("the head can be sent");
        while socket.write_all(b"x").is_ok() {
            thread::sleep(Duration::from_millis(5));
        }
    });
    let mut hub = Hub::new().expect("the system gives an event queue");
    hub.call(address, &Request::new("GET", "/", ""), Duration::from_millis(100));
    assert_eq!(outcome(&mut hub), Err(Failure::Timeout));
    server.join().expect("the server ends");
}

/// Guards against a call that waits for ever for the rest of a response.
#[test]
fn a_response_that_stops_arriving_times_out() {
    let (release, wait) = std::sync::mpsc::channel::<()>();
    let (address, server) = serve_in_parts(2, move |part| {
        if part == 1 {
            // Fails once the test is over.
            let _ = wait.recv();
        }
    });
    let mut hub = Hub::new().expect("the system gives an event queue");
    hub.call(address, &Request::new("GET", "/", ""), Duration::from_millis(50));
    assert_eq!(outcome(&mut hub), Err(Failure::Timeout));
    drop(release);
    server.join().expect("the server ends");
}

/// Guards against request smuggling: an intermediary and the server that disagree on where a
/// request ends.
#[test]
fn a_request_with_ambiguous_length_is_refused() {
    let address = free_address();
    let server = serve(address, Limits::default());
    let status = |framing: &str| {
        let answer = send(address, &format!("POST / HTTP/1.1\r\nHost: x\r\n{framing}"));
        answer.split(' ').nth(1).unwrap_or_default().to_owned()
    };
    for framing in [
        "Content-Length: 3\r\nContent-Length: 2\r\n\r\nabc",
        "Content-Length: +3\r\n\r\nabc",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabcde0\r\n\r\n",
    ] {
        assert_eq!(status(framing), "400", "{framing}");
    }
    assert_eq!(status("Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"), "200");
    stop(address);
    server.join().expect("the server ends");
}

/// Guards against a call that receives surplus bytes of the previous response on its connection.
#[test]
fn surplus_bytes_after_a_response_are_discarded() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    let serving = thread::spawn(move || {
        let response = |text| format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{text}");
        for responses in [response("a") + &response("b"), response("c")] {
            let (mut socket, _) = listener.accept().expect("the hub calls");
            let mut head = [0; 1024];
            let _ = socket.read(&mut head);
            socket.write_all(responses.as_bytes()).expect("the hub reads");
            // Returns when the hub closes the connection.
            let _ = socket.read(&mut head);
        }
    });
    let mut hub = Hub::new().expect("the system gives an event queue");
    let mut body = || {
        let id = hub.call(address, &Request::new("GET", "/", ""), WAIT);
        loop {
            hub.poll(WAIT).expect("the event queue works");
            while let Some(event) = hub.next_event() {
                if let Event::Answer { call, result } = event
                    && call == id
                {
                    return result.expect("the call succeeds").body;
                }
            }
        }
    };
    assert_eq!((&body()[..], &body()[..]), (&b"a"[..], &b"c"[..]));
    drop(hub);
    serving.join().expect("the server ends");
}

/// Caller that sends a body in chunks of one byte, one by one.
struct ChunkSender {
    socket: TcpStream,
    count: usize,
}

impl ChunkSender {
    fn new(address: SocketAddr) -> Self {
        let mut socket = TcpStream::connect(address).expect("the hub listens");
        socket.set_nodelay(true).expect("every socket has this option");
        let head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
        socket.write_all(head.as_bytes()).expect("the head can be sent");
        ChunkSender { socket, count: 0 }
    }

    /// Sends one chunk; returns the processor time that this thread takes to receive it.
    fn send(&mut self, hub: &mut Hub) -> Duration {
        let now = || clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("Linux has this clock");
        self.socket.write_all(b"1\r\nx\r\n").expect("a chunk can be sent");
        self.count += 1;
        let before = now();
        hub.poll(Duration::from_millis(1)).expect("the event queue works");
        let time = Duration::from(now()) - Duration::from(before);
        assert!(hub.next_event().is_none());
        time
    }

    /// Ends the body and checks that the hub has received all of it.
    fn end(mut self, hub: &mut Hub) {
        self.socket.write_all(b"0\r\n\r\n").expect("the last chunk can be sent");
        loop {
            hub.poll(WAIT).expect("the event queue works");
            if let Some(Event::Request { request, .. }) = hub.next_event() {
                assert_eq!(request.body.len(), self.count);
                return;
            }
        }
    }
}

/// Guards against a caller that keeps the event loop busy with a chunked body: if all chunks were
/// parsed again for each new one, the time would grow with the square of their number.
#[test]
fn the_time_for_a_chunked_body_is_linear() {
    const LONG_BODY_CHUNKS: usize = 16_000;
    const ROUNDS: usize = 21;
    const CHUNKS_PER_ROUND: usize = 100;
    /// Time for a chunk of the long body, in times of one for a chunk of the short body.
    const MAX_RATIO: f64 = 3.0;
    let address = free_address();
    let mut hub = Hub::new().expect("the system gives an event queue");
    let limits = Limits { request_timeout: Duration::from_secs(60), ..Limits::default() };
    hub.listen(address, limits).expect("the port is free");
    let mut long = ChunkSender::new(address);
    for _ in 0..LONG_BODY_CHUNKS {
        long.send(&mut hub);
    }
    let mut short = ChunkSender::new(address);
    // The processor may slow down for a while. The bodies take turns, so that this slows both.
    let mut ratios = Vec::new();
    for _ in 0..ROUNDS {
        let (mut short_time, mut long_time) = (Duration::ZERO, Duration::ZERO);
        for _ in 0..CHUNKS_PER_ROUND {
            short_time += short.send(&mut hub);
            long_time += long.send(&mut hub);
        }
        ratios.push(long_time.as_secs_f64() / short_time.as_secs_f64());
    }
    long.end(&mut hub);
    short.end(&mut hub);
    ratios.sort_by(f64::total_cmp);
    let ratio = ratios[ROUNDS / 2];
    assert!(ratio < MAX_RATIO, "a chunk of the long body takes {ratio:.2} times as long");
}

/// Guards against a closed listener that still accepts callers, or whose callers wait for a response.
#[test]
fn a_closed_listener_refuses_and_resets_callers() {
    let address = free_address();
    let mut hub = Hub::new().expect("the system gives an event queue");
    let listener = hub.listen(address, Limits::default()).expect("the port is free");
    let mut socket = TcpStream::connect(address).expect("the hub listens");
    socket.set_read_timeout(Some(WAIT)).expect("a timeout can be set");
    socket.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").expect("the request can be sent");
    let mut received = None;
    while received.is_none() {
        hub.poll(WAIT).expect("the event queue works");
        while let Some(event) = hub.next_event() {
            if let Event::Request { caller, .. } = event {
                received = Some(caller);
            }
        }
    }
    hub.close_listener(listener);
    assert!(
        matches!(hub.next_event(), Some(Event::Disconnected(caller)) if Some(caller) == received)
    );
    let read = socket.read(&mut [0; 1]).map_err(|error| error.kind());
    assert_eq!(read, Err(ErrorKind::ConnectionReset));
    let connected = TcpStream::connect(address).map_err(|error| error.kind());
    assert_eq!(connected.err(), Some(ErrorKind::ConnectionRefused));
    hub.listen(address, Limits::default()).expect("the port is free again");
}
