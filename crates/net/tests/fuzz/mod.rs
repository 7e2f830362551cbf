//! Property tests of the hub over loopback: valid, mutated and arbitrary HTTP messages.

use std::{
    env,
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::OnceLock,
    thread,
    time::Duration,
};

use bytes::Bytes;
use proptest::{
    collection,
    prelude::{
        Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest,
    },
    sample,
    test_runner::{FileFailurePersistence, RngSeed},
};
use sapphire_net::{
    hub::{Event, Failure, Hub},
    message::{Header, Limits, Request, Response},
};

use crate::hub::free_address;

/// Runs the same cases each time, or as many random ones as `PROPTEST_CASES` says.
fn cases(count: u32) -> ProptestConfig {
    let persistence = FileFailurePersistence::WithSource("proptest-regressions");
    let random = ProptestConfig {
        failure_persistence: Some(Box::new(persistence)),
        ..ProptestConfig::default()
    };
    if env::var_os("PROPTEST_CASES").is_some() {
        return random;
    }
    ProptestConfig { cases: count, rng_seed: RngSeed::Fixed(1), ..random }
}

const WAIT: Duration = Duration::from_secs(10);
/// Largest body that the servers of these tests accept, in bytes.
const BODY: usize = 4 << 10;

fn limits() -> Limits {
    Limits { body_bytes: BODY, ..Limits::default() }
}

/// Address of a server that echoes the body of every request; it runs until the process ends.
fn server() -> SocketAddr {
    static ADDRESS: OnceLock<SocketAddr> = OnceLock::new();
    *ADDRESS.get_or_init(|| {
        let address = free_address();
        let mut hub = Hub::new().expect("the system gives an event queue");
        hub.listen(address, limits()).expect("the port is free");
        thread::spawn(move || {
            loop {
                hub.poll(WAIT).expect("the event queue works");
                while let Some(event) = hub.next_event() {
                    if let Event::Request { caller, request, .. } = event {
                        assert!(request.body.len() <= BODY);
                        hub.answer(caller, &Response::new(200, request.body));
                    }
                }
            }
        });
        address
    })
}

/// Sends bytes in two parts and returns the response, up to the end of the connection.
fn send(parts: [&[u8]; 2], then_shuts_down: bool) -> String {
    let mut socket = TcpStream::connect(server()).expect("the server listens");
    socket.set_nodelay(true).expect("every socket has this option");
    socket.set_read_timeout(Some(WAIT)).expect("a timeout can be set");
    // Fails if the server has closed the connection after the first part.
    let _ = socket.write_all(parts[0]).and_then(|()| socket.write_all(parts[1]));
    if then_shuts_down {
        let _ = socket.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn send_text(request: &str) -> String {
    send([request.as_bytes(), b""], false)
}

/// A valid message with one part mutated, or arbitrary bytes.
fn bytes(valid: &'static [&'static str]) -> impl Strategy<Value = Vec<u8>> {
    let part = prop_oneof![
        sample::select(vec![
            "\r\n",
            "\r\n\r\n",
            "\n",
            " ",
            ":",
            ",",
            "HTTP/1.1",
            "HTTP/9.9",
            "Content-Length: 9",
            "Content-Length: -1\r\n",
            "Content-Length: 18446744073709551616\r\n",
            "fffffffffffffff\r\n",
            "Transfer-Encoding: chunked\r\n",
            "Connection: close\r\n",
            "\0",
            "\u{ff}",
            "0\r\n\r\n",
        ])
        .prop_map(|text| text.as_bytes().to_vec()),
        collection::vec(any::<u8>(), 0..6),
        Just(vec![b'a'; 20_000]),
        Just("X: y\r\n".repeat(100).into_bytes()),
    ];
    let mutated = (sample::select(valid), any::<[sample::Index; 2]>(), part, any::<bool>())
        .prop_map(|(valid, [at, length], part, replaces)| {
            let mut bytes = valid.as_bytes().to_vec();
            let at = at.index(bytes.len());
            let removed = if replaces { length.index(8.min(bytes.len() - at) + 1) } else { 0 };
            bytes.splice(at..at + removed, part);
            bytes
        });
    prop_oneof![1 => collection::vec(any::<u8>(), 0..100), 5 => mutated]
}

const REQUESTS: &[&str] = &[
    "GET /p HTTP/1.1\r\nHost: x\r\n\r\n",
    "POST /p?a=b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
    "PUT /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: t\r\n\r\n",
    "DELETE /p HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /q HTTP/1.1\r\n\r\n",
];

const RESPONSES: &[&str] = &[
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "HTTP/1.0 404 None\r\n\r\nuntil the end",
    "HTTP/1.1 204 None\r\nX: y\r\n\r\n",
];

/// Makes one call to a server that responds with the given bytes and closes the connection.
fn call(hub: &mut Hub, answer: Vec<u8>) -> Result<Response, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    let serving = thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("the hub calls");
        let mut head = [0; 1024];
        let _ = socket.read(&mut head);
        let _ = socket.write_all(&answer);
    });
    let result = outcome(hub, address, &Request::new("GET", "/", ""));
    serving.join().expect("the server ends");
    result
}

fn outcome(hub: &mut Hub, address: SocketAddr, request: &Request) -> Result<Response, Failure> {
    let id = hub.call(address, request, WAIT);
    loop {
        hub.poll(WAIT).expect("the event queue works");
        while let Some(event) = hub.next_event() {
            match event {
                Event::Answer { call, result } if call == id => return result,
                _ => {}
            }
        }
    }
}

fn headers() -> impl Strategy<Value = Vec<Header>> {
    let header = ("X-[A-Za-z0-9-]{1,10}", "[!-~]{1,5}( [!-~é]{0,9}[!-~])?");
    collection::vec(header.prop_map(|(name, value)| Header { name, value }), 0..8)
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn any_request_is_answered_or_closed(bytes in bytes(REQUESTS), at in any::<sample::Index>()) {
        let at = at.index(bytes.len() + 1);
        let answer = send([&bytes[..at], &bytes[at..]], true);
        prop_assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 "), "{}", answer);
        let after = send_text("POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 1\r\n\r\nz");
        prop_assert!(after.ends_with("\r\n\r\nz"), "{}", after);
    }

    #[test]
    fn any_response_is_accepted_or_fails(bytes in bytes(RESPONSES)) {
        let mut hub = Hub::new().expect("the system gives an event queue");
        match call(&mut hub, bytes.clone()) {
            Ok(response) => {
                prop_assert!(response.body.len() <= bytes.len());
                prop_assert!((100..1_000).contains(&response.status));
            }
            Err(failure) => prop_assert!(matches!(failure, Failure::Closed | Failure::Malformed)),
        }
    }

    #[test]
    fn messages_survive_the_transfer(
        method in sample::select(vec!["GET", "POST", "PUT", "DELETE"]),
        target in "/[a-z0-9/?=&_.-]{0,40}",
        request_headers in headers(),
        response_headers in headers(),
        status in (200..600_u16).prop_filter("allows a body", |code| ![204, 304].contains(code)),
        bodies in any::<[Vec<u8>; 2]>(),
    ) {
        let [request_body, response_body] = bodies.map(Bytes::from);
        let mut request = Request::new(method, &target, request_body);
        request.headers = request_headers;
        let mut response = Response::new(status, response_body);
        response.headers = response_headers;
        let address = free_address();
        let mut hub = Hub::new().expect("the system gives an event queue");
        hub.listen(address, limits()).expect("the port is free");
        let _ = hub.call(address, &request, WAIT);
        let mut answer = None;
        while answer.is_none() {
            hub.poll(WAIT).expect("the event queue works");
            while let Some(event) = hub.next_event() {
                match event {
                    Event::Request { caller, request: mut read, .. } => {
                        read.headers.retain(|header| header.name != "Host");
                        prop_assert_eq!(&read, &request);
                        hub.answer(caller, &response);
                    }
                    Event::Answer { result, .. } => answer = Some(result),
                    _ => {}
                }
            }
        }
        prop_assert_eq!(answer, Some(Ok(response)));
    }
}
