//! A loop that serves and calls, against plain sockets.

use std::{
    io::{Read as _, Write as _},
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

/// An address at which nothing listens, on a loopback host that no other test uses: a port of a
/// shared host could be another test's by the time that it is used.
pub(crate) fn free_address() -> SocketAddr {
    static HOSTS: AtomicU8 = AtomicU8::new(1);
    let host = HOSTS.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = process::id().to_be_bytes();
    let listener = TcpListener::bind((Ipv4Addr::new(127, high | 1, low, host), 0));
    listener.and_then(|it| it.local_addr()).expect("loopback has free ports")
}

/// Serves until a caller asks for `/end`; returns how many callers left before their answer.
fn serve(address: SocketAddr, limits: Limits) -> thread::JoinHandle<usize> {
    let mut hub = Hub::new().expect("the system gives an event queue");
    hub.listen(address, limits).expect("the port is free");
    thread::spawn(move || {
        let mut left = 0;
        loop {
            hub.poll(WAIT).expect("the event queue works");
            while let Some(event) = hub.next_event() {
                match event {
                    Event::Request { caller, request, .. } if request.path() == "/end" => {
                        hub.answer(caller, &Response::new(200, "end"));
                        return left;
                    }
                    Event::Request { caller, request, .. } if request.path() != "/never" => {
                        hub.answer(caller, &Response::new(200, request.body));
                    }
                    Event::Left(_) => left += 1,
                    Event::NotAccepted { kind, .. } => panic!("not accepted: {kind}"),
                    _ => {}
                }
            }
        }
    })
}

fn ask(address: SocketAddr, request: &str) -> String {
    let mut socket = TcpStream::connect(address).expect("somebody listens");
    socket.set_read_timeout(Some(WAIT)).expect("a time-out can be set");
    socket.write_all(request.as_bytes()).expect("it takes the request");
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = socket.read(&mut chunk).expect("it answers");
        answer.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&answer).into_owned();
        if count == 0 || text.contains("\r\n\r\n") {
            return text;
        }
    }
}

fn end(address: SocketAddr) {
    ask(address, "GET /end HTTP/1.1\r\nHost: x\r\n\r\n");
}

/// Nobody is served any more. Callers open connections and stop in the middle of a header or a
/// body, as many as there may be; they give way to the ones that come after them.
#[test]
fn connections_that_stall_keep_nobody_out() {
    let address = free_address();
    let limits = Limits { connections: 16, ..Limits::default() };
    let server = serve(address, limits);
    let stalled: Vec<TcpStream> = (0..64)
        .map(|index| {
            let mut socket = TcpStream::connect(address).expect("somebody listens");
            let part = if index % 2 == 0 {
                "GET / HTTP/1.1\r\nHo"
            } else {
                "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab"
            };
            // One that has given way already can't be written to.
            let _ = socket.write_all(part.as_bytes());
            socket
        })
        .collect();
    for _ in 0..8 {
        let answer = ask(address, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    drop(stalled);
    end(address);
    server.join().expect("the server ends");
}

#[test]
fn a_caller_that_leaves_is_noticed() {
    let address = free_address();
    let server = serve(address, Limits::default());
    let mut socket = TcpStream::connect(address).expect("somebody listens");
    socket.write_all(b"GET /never HTTP/1.1\r\nHost: x\r\n\r\n").expect("it takes the request");
    // The request has been read once another one on a later connection is answered.
    ask(address, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    socket.shutdown(Shutdown::Both).expect("it can be closed");
    drop(socket);
    ask(address, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    end(address);
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
        let answer = ask(address, &request);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{request:?}: {answer}");
    }
    let chunked =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
    assert!(ask(address, chunked).contains("Content-Length: 3"));
    end(address);
    server.join().expect("the server ends");
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

/// A connection goes silent without a reset, as behind a partition. Only the call's own time-out
/// shows it; the next call takes a new connection.
#[test]
fn a_silent_server_costs_one_time_out() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    let server = thread::spawn(move || {
        let (_silent, _) = listener.accept().expect("the first call connects");
        let (mut socket, _) = listener.accept().expect("the second call connects anew");
        let mut chunk = [0; 1024];
        let count = socket.read(&mut chunk).expect("it sends its request");
        assert!(count > 0);
        socket
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            .expect("it takes the answer");
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
fn a_port_without_a_listener_refuses() {
    let address = free_address();
    let mut hub = Hub::new().expect("the system gives an event queue");
    hub.call(address, &Request::new("GET", "/", ""), WAIT);
    assert_eq!(outcome(&mut hub), Err(Failure::Refused));
}

/// Bytes of one part of an answer.
const PART_BYTES: usize = 64 << 10;

/// Serves one call with an answer in parts; the closure is called between them.
fn serve_in_parts(
    parts: usize,
    mut between: impl FnMut(usize) + Send + 'static,
) -> (SocketAddr, thread::JoinHandle<()>) {
    static PART: [u8; PART_BYTES] = [b'x'; PART_BYTES];
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    let server = thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("the call connects");
        let mut chunk = [0; 1024];
        assert!(socket.read(&mut chunk).expect("it sends its request") > 0);
        let length = parts * PART.len();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        socket.write_all(head.as_bytes()).expect("it takes the head");
        for part in 0..parts {
            between(part);
            // A caller that has given up can't be written to.
            if socket.write_all(&PART).is_err() {
                return;
            }
        }
    });
    (address, server)
}

/// Guards against a large answer that is thrown away, and asked for again, because a slow link
/// takes longer to carry it than the call may wait for an answer to begin.
#[test]
fn an_answer_that_keeps_arriving_is_not_given_up() {
    const PARTS: usize = 40;
    let time_out = Duration::from_millis(800);
    let (address, server) = serve_in_parts(PARTS, move |_| thread::sleep(time_out / 16));
    let mut hub = Hub::new().expect("the system gives an event queue");
    hub.call(address, &Request::new("GET", "/", ""), time_out);
    let length = outcome(&mut hub).map(|response| response.body.len());
    assert_eq!(length, Ok(PARTS * PART_BYTES));
    server.join().expect("the server ends");
}

/// Guards against a large answer that is cut off because a slow link takes longer to carry it than
/// one request may take.
#[test]
fn an_answer_that_keeps_being_read_is_not_cut_off() {
    const BODY: usize = 16 << 20;
    let address = free_address();
    let limits = Limits {
        body_bytes: 2 * BODY,
        request_time: Duration::from_millis(400),
        ..Limits::default()
    };
    let server = serve(address, limits);
    let mut socket = TcpStream::connect(address).expect("somebody listens");
    let head = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY}\r\n\r\n");
    socket.write_all(head.as_bytes()).expect("it takes the head");
    socket.write_all(&vec![b'x'; BODY]).expect("it takes the body");
    let mut chunk = vec![0; 256 << 10];
    let mut received = 0;
    while received < BODY {
        let count = socket.read(&mut chunk).expect("it goes on");
        assert!(count > 0, "cut off after {received} bytes");
        received += count;
        thread::sleep(Duration::from_millis(20));
    }
    end(address);
    server.join().expect("the server ends");
}

/// Guards against a long poll whose connection goes silent in the middle of the answer and that is
/// waited for to the end of the poll.
#[test]
fn an_answer_that_pauses_too_long_is_given_up_before_the_time_out() {
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
    assert!(begun.elapsed() < WAIT / 2, "after {:?}", begun.elapsed());
    drop(release);
    server.join().expect("the server ends");
}

/// Guards against a server that keeps a call waiting with a byte now and then.
#[test]
fn an_answer_that_trickles_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    let server = thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("the call connects");
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
        socket.write_all(head).expect("it takes the head");
        while socket.write_all(b"x").is_ok() {
            thread::sleep(Duration::from_millis(5));
        }
    });
    let mut hub = Hub::new().expect("the system gives an event queue");
    hub.call(address, &Request::new("GET", "/", ""), Duration::from_millis(100));
    assert_eq!(outcome(&mut hub), Err(Failure::Timeout));
    server.join().expect("the server ends");
}

/// Guards against a call that waits for ever for the rest of an answer.
#[test]
fn an_answer_that_stops_arriving_is_given_up() {
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

/// Guards against a message that is taken for two, or two for one, by what stands before the server.
#[test]
fn a_request_whose_length_is_told_in_two_ways_is_refused() {
    let address = free_address();
    let server = serve(address, Limits::default());
    let status = |framing: &str| {
        let answer = ask(address, &format!("POST / HTTP/1.1\r\nHost: x\r\n{framing}"));
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
    end(address);
    server.join().expect("it ends");
}

/// Guards against a call that is given what its server sent too much in answer to the one before.
#[test]
fn an_answer_that_nobody_asked_for_is_nobodys() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    let serving = thread::spawn(move || {
        let answer = |text| format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{text}");
        for answers in [answer("a") + &answer("b"), answer("c")] {
            let (mut socket, _) = listener.accept().expect("the hub calls");
            let mut head = [0; 1024];
            let _ = socket.read(&mut head);
            socket.write_all(answers.as_bytes()).expect("the hub reads");
            // Until the hub closes.
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
                    return result.expect("it is answered").body;
                }
            }
        }
    };
    assert_eq!((&body()[..], &body()[..]), (&b"a"[..], &b"c"[..]));
    drop(hub);
    serving.join().expect("it has served");
}

/// Processor time of this thread for a body that comes a byte a chunk, each chunk on its own.
fn time_of_small_chunks(count: usize) -> Duration {
    let address = free_address();
    let mut hub = Hub::new().expect("the system gives an event queue");
    let limits = Limits { request_time: Duration::from_secs(60), ..Limits::default() };
    hub.listen(address, limits).expect("the port is free");
    let mut socket = TcpStream::connect(address).expect("the hub listens");
    socket.set_nodelay(true).expect("it is an option of every socket");
    let head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    socket.write_all(head.as_bytes()).expect("it takes the head");
    let now = || clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("Linux has this clock");
    let before = now();
    for _ in 0..count {
        socket.write_all(b"1\r\nx\r\n").expect("it takes a chunk");
        hub.poll(Duration::from_millis(1)).expect("the event queue works");
        assert!(hub.next_event().is_none());
    }
    let time = Duration::from(now()) - Duration::from(before);
    socket.write_all(b"0\r\n\r\n").expect("it takes the end");
    loop {
        hub.poll(WAIT).expect("the event queue works");
        if let Some(Event::Request { request, .. }) = hub.next_event() {
            assert_eq!(request.body.len(), count);
            return time;
        }
    }
}

/// Guards against a caller that keeps the loop busy with a body that is read anew with each part.
#[test]
fn a_body_in_small_chunks_takes_time_in_proportion() {
    let (one, two) = (time_of_small_chunks(8_000), time_of_small_chunks(16_000));
    assert!(two < one * 3, "{one:?} for half of it, {two:?} for all");
}
