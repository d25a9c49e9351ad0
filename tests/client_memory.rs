//! Guards the memory limit against hundreds of clients that are connected at once: those that write
//! slowly, that stop half way through a large request, and that send very many short fields.
#[path = "common/deployment.rs"]
mod deployment;

use deployment::{Deployment, DeploymentPlan};
use rustix::process::{Resource, getrlimit, setrlimit};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use yokelift::testkit::clients::{STATUS, http_request, rpc_line};
use yokelift::testkit::daemon::DaemonLimits;

/// Half of them are for client connections.
const MAX_SOCKETS: usize = 2_048;
const MEMORY_MB: u64 = 48;
/// How long the clients send. It is longer than the time limit of an incomplete message.
const DURATION: Duration = Duration::from_millis(3_500);
/// The time between two writes of a client.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// The number of writes of a slow client.
const SLOW_WRITES: usize = 40;
/// The length of a large statement, in bytes.
const STATEMENT_BYTES: usize = 180_000;
/// The length of a long head, in bytes, just below the limit.
const HEAD_BYTES: usize = 32_000;
/// The length of the parameters of a JSON-RPC request, in bytes, just below the limit.
const PARAMETER_BYTES: usize = 240_000;
const FIRST_LINE: &str = "POST / HTTP/1.1\r\n";

/// How the inputs are played.
struct Plan {
    /// How many clients are connected to a daemon at once.
    clients: usize,
    /// How many daemons are played at the same time.
    parallel: usize,
}

/// What the clients of one play send on a connection, and at which frontend. After the bytes they
/// send nothing more.
struct Input {
    name: &'static str,
    is_http: bool,
    bytes: Vec<u8>,
    /// The length of each write.
    write_bytes: usize,
}

impl Input {
    /// JSON-RPC, as much at once as the socket takes.
    fn rpc(name: &'static str, bytes: Vec<u8>) -> Input {
        Input {
            name,
            is_http: false,
            write_bytes: bytes.len(),
            bytes,
        }
    }

    /// HTTP, as much at once as the socket takes.
    fn http(name: &'static str, bytes: impl Into<Vec<u8>>) -> Input {
        Input {
            is_http: true,
            ..Input::rpc(name, bytes.into())
        }
    }

    /// The same in pieces.
    fn slowly(self) -> Input {
        Input {
            write_bytes: self.bytes.len() / SLOW_WRITES,
            ..self
        }
    }

    /// The same without its end.
    fn cut(mut self) -> Input {
        self.bytes
            .truncate(self.bytes.len() - self.bytes.len() / 20);
        self
    }
}

fn large_rpc_request() -> Vec<u8> {
    let statement = "x".repeat(STATEMENT_BYTES);
    let id = "00000000000000f1";
    rpc_line(2, "lookup", id, "billing-desk", 5_000, &statement)
}

/// A JSON-RPC request with this parameter many times.
fn rpc_with_many(parameter: &str) -> Vec<u8> {
    let parameters = parameter.repeat(PARAMETER_BYTES / parameter.len());
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"lookup\",\"params\":{{{parameters}\"z\":0}}}}\n"
    )
    .into_bytes()
}

/// A message after one that makes the connection an ordinary one.
fn after_status(message: Vec<u8>) -> Vec<u8> {
    [STATUS, &message].concat()
}

fn long_text_of(part: &str) -> String {
    part.repeat(HEAD_BYTES / part.len())
}

fn large_http_request(head: &str) -> String {
    let statement = "x".repeat(STATEMENT_BYTES);
    format!("{head}Content-Length: {STATEMENT_BYTES}\r\n\r\n{statement}")
}

fn without_body(head: &str) -> String {
    format!("{head}Content-Length: 9\r\n\r\n")
}

/// There are no engines, so that each valid request waits.
fn complete_requests() -> Vec<Input> {
    let statement = "x".repeat(STATEMENT_BYTES);
    vec![
        Input::rpc("a JSON-RPC query", large_rpc_request()),
        Input::rpc("many members", rpc_with_many("\"a\":0,")),
        Input::rpc("many arrays", rpc_with_many("\"a\":[[],[],[],[]],")),
        Input::http(
            "an HTTP query",
            http_request("anna", "secret", "", &statement),
        ),
    ]
}

fn incomplete_requests() -> Vec<Input> {
    let long_field = format!("a: {}\r\n", "x".repeat(330));
    let long_fields = format!("{FIRST_LINE}{}", long_text_of(&long_field));
    let hundred_fields = format!("{FIRST_LINE}{}", "a:\r\n".repeat(90));
    let fields = format!("{FIRST_LINE}{}", long_text_of("a:\r\n"));
    let parameters = format!("POST /?{} HTTP/1.1\r\n", long_text_of("a&"));
    let chunks = "1\r\nx\r\n".repeat(40_000);
    let chunked = format!("{FIRST_LINE}Transfer-Encoding: chunked\r\n\r\n{chunks}");
    let whole = large_http_request(FIRST_LINE);
    let rpc = after_status(large_rpc_request());
    vec![
        Input::rpc("half a JSON-RPC request", rpc.clone()).cut(),
        Input::rpc("a slow JSON-RPC request", rpc).slowly(),
        Input::http("half an HTTP request", whole.clone()).cut(),
        Input::http("a slow HTTP request", whole).slowly(),
        Input::http("small chunks", chunked.clone()),
        Input::http("small chunks, slowly", chunked).slowly(),
        Input::http("many short fields", fields.clone()),
        Input::http("many short fields, slowly", fields).slowly(),
        Input::http(
            "short fields without the body",
            without_body(&hundred_fields),
        ),
        Input::http("long fields without the body", without_body(&long_fields)),
        Input::http(
            "long fields and half a body",
            large_http_request(&long_fields),
        )
        .cut(),
        Input::http(
            "many parameters without the body",
            without_body(&parameters),
        ),
        Input::http("many parameters, slowly", large_http_request(&parameters)).slowly(),
    ]
}

/// A client that connects again when its connection is closed.
struct Client {
    addr: SocketAddr,
    stream: Option<TcpStream>,
    written: usize,
}

impl Client {
    fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            stream: None,
            written: 0,
        }
    }

    fn connect(addr: SocketAddr) -> Option<TcpStream> {
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(stream)
    }

    /// Writes the next piece, and reads what the daemon has sent.
    fn step(&mut self, input: &Input) {
        if self.stream.is_none() {
            self.stream = Client::connect(self.addr);
            self.written = 0;
        }
        let Some(mut stream) = self.stream.as_ref() else {
            return;
        };
        let end = input.bytes.len().min(self.written + input.write_bytes);
        let written = stream.write(&input.bytes[self.written..end]);
        let read = stream.read(&mut [0; 4_096]);
        let has_failed = |result: &std::io::Result<usize>| matches!(result, Err(error) if error.kind() != ErrorKind::WouldBlock);
        let is_closed = matches!(read, Ok(0)) || has_failed(&read) || has_failed(&written);
        self.written += written.unwrap_or(0);
        if is_closed {
            self.stream = None;
        }
    }
}

/// Has the clients send to a daemon of their own, and returns the daemon's highest memory in MB.
fn play(clients: usize, input: &Input) -> u64 {
    let deployment = Deployment::start(DeploymentPlan {
        limits: DaemonLimits {
            sockets: MAX_SOCKETS,
            memory_mb: MEMORY_MB,
        },
        ..DeploymentPlan::default()
    });
    let addr = if input.is_http {
        deployment.http_listen
    } else {
        deployment.daemon.listen
    };
    let mut clients: Vec<Client> = (0..clients).map(|_| Client::new(addr)).collect();
    let ends_at = Instant::now() + DURATION;
    while Instant::now() < ends_at {
        let round_ends_at = Instant::now() + WRITE_INTERVAL;
        for client in &mut clients {
            client.step(input);
        }
        std::thread::sleep(round_ends_at.saturating_duration_since(Instant::now()));
    }
    deployment.highest_memory_mb()
}

/// Plays the inputs, some of them at the same time, and asserts that no daemon exceeds its limit.
fn assert_within_limit(plan: &Plan, inputs: &[Input]) {
    raise_descriptor_limit();
    let mut exceeded = Vec::new();
    for group in inputs.chunks(plan.parallel) {
        let measured: Vec<u64> = std::thread::scope(|scope| {
            let plays: Vec<_> = group
                .iter()
                .map(|input| scope.spawn(|| play(plan.clients, input)))
                .collect();
            let results = plays.into_iter().map(|play| play.join());
            results.map(|result| result.expect("a play ends")).collect()
        });
        for (input, memory_mb) in group.iter().zip(measured) {
            println!("{}: at most {memory_mb} MB", input.name);
            if memory_mb > MEMORY_MB {
                exceeded.push((input.name, memory_mb));
            }
        }
    }
    assert!(exceeded.is_empty(), "above {MEMORY_MB} MB: {exceeded:?}");
}

/// The clients of a test take more descriptors than many systems allow by default.
fn raise_descriptor_limit() {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    setrlimit(Resource::Nofile, limit).expect("the limit is raised");
}

/// Guards against memory that stays with the process after the buffers of large requests are empty.
#[test]
fn buffers_of_complete_requests_stay_within_the_memory_limit() {
    let plan = Plan {
        clients: 480,
        parallel: 1,
    };
    assert_within_limit(&plan, &complete_requests());
}

/// Guards against a client that holds more memory than is counted: that of an incomplete request.
#[test]
fn incomplete_requests_stay_within_the_memory_limit() {
    let plan = Plan {
        clients: 900,
        parallel: 4,
    };
    assert_within_limit(&plan, &incomplete_requests());
}
