//! Guards engines against requests of clients that have left, and clients against a second run of a
//! request whose id comes again.
#[path = "common/deployment.rs"]
mod deployment;

use deployment::{Deployment, DeploymentPlan, StandIns};
use rustix::net::sockopt::set_socket_linger;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use yokelift::clock::{self, MS, Micros};
use yokelift::testkit::clients::{http_request, rpc_line};
use yokelift::testkit::engines::{EngineBehavior, EngineProtocol};

const ENGINES: u32 = 2;
/// How long an engine runs a query.
const RUN_MILLIS: u64 = 40;
/// How long the client writes before it leaves.
const WRITE_DURATION: Duration = Duration::from_millis(60);
/// How long the engines are watched after the client has left.
const WATCH_DURATION: Duration = Duration::from_millis(2_000);
/// An attempt that begins later than this after its client left is one too many.
const GRACE: Micros = 150 * MS;
const WAIT_MS: u64 = 5_000;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// It closes the connection; what it has written still arrives.
    Close,
    /// It ends its sending side only.
    HalfClose,
    Reset,
}

fn start(protocol: EngineProtocol) -> Deployment {
    let deployment = Deployment::start(DeploymentPlan {
        engines: ENGINES,
        protocol,
        ..DeploymentPlan::default()
    });
    deployment.stand_ins.call(|stand_ins: &mut StandIns, _| {
        for _ in 0..20_000 {
            stand_ins.log.push_behavior(EngineBehavior::Complete {
                after_millis: RUN_MILLIS,
                rows: 1,
            });
        }
    });
    deployment
}

fn rpc_queries(count: u64, statement_bytes: usize) -> Vec<u8> {
    let padding = "x".repeat(statement_bytes);
    (1..=count)
        .flat_map(|number| {
            let statement = format!("SELECT '{padding}' /* q{number} */");
            rpc_line(
                number,
                "lookup",
                &format!("{number:016x}"),
                "billing-desk",
                WAIT_MS,
                &statement,
            )
        })
        .collect()
}

fn http_queries(count: u64, statement_bytes: usize) -> Vec<u8> {
    let padding = "x".repeat(statement_bytes);
    (1..=count)
        .flat_map(|number| {
            http_request(
                "anna",
                "secret",
                "",
                &format!("SELECT '{padding}' /* q{number} */"),
            )
        })
        .collect()
}

/// Writes for a while, leaves, and returns the time at which it left, with the number of bytes that
/// were written.
fn write_and_leave(
    addr: SocketAddr,
    bytes: &[u8],
    departure: Departure,
) -> (Micros, usize, Option<TcpStream>) {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.set_nonblocking(true).expect("a non-blocking socket");
    let ends_at = Instant::now() + WRITE_DURATION;
    let mut written = 0;
    while Instant::now() < ends_at {
        written += stream.write(&bytes[written..]).unwrap_or(0);
        std::thread::sleep(Duration::from_millis(1));
    }
    let left_at = clock::read();
    let stream = match departure {
        Departure::Close => None,
        Departure::HalfClose => {
            stream
                .shutdown(Shutdown::Write)
                .expect("a half-closed connection");
            Some(stream)
        }
        Departure::Reset => {
            set_socket_linger(&stream, Some(Duration::ZERO)).expect("the linger time is set");
            None
        }
    };
    (left_at, written, stream)
}

/// Plays one departure, and returns how long after it attempts began that were one too many.
fn late_attempts(
    name: &str,
    protocol: EngineProtocol,
    is_http: bool,
    bytes: &[u8],
    departure: Departure,
) -> Vec<Micros> {
    let deployment = start(protocol);
    let addr = if is_http {
        deployment.http_listen
    } else {
        deployment.daemon.listen
    };
    let (left_at, written, _stream) = write_and_leave(addr, bytes, departure);
    std::thread::sleep(WATCH_DURATION);
    let (total, starts): (usize, Vec<Micros>) =
        deployment
            .stand_ins
            .call(move |stand_ins: &mut StandIns, _| {
                let runs = stand_ins.log.all_runs();
                let starts = runs
                    .iter()
                    .map(|run| run.started_at)
                    .filter(|at| *at > left_at);
                (runs.len(), starts.map(|at| at - left_at).collect())
            });
    let late: Vec<Micros> = starts
        .iter()
        .copied()
        .filter(|after| *after > GRACE)
        .collect();
    println!(
        "{name} {departure:?}: {written} of {} bytes, {total} attempts, {} after the departure, {} late, last {:?}",
        bytes.len(),
        starts.len(),
        late.len(),
        starts.iter().max()
    );
    late
}

#[test]
fn no_attempt_begins_after_its_client_has_left() {
    let mut failures = Vec::new();
    for protocol in [EngineProtocol::Platform, EngineProtocol::ClickHouse] {
        for departure in [Departure::Close, Departure::HalfClose, Departure::Reset] {
            let plays = [
                (
                    "32 large JSON-RPC requests",
                    false,
                    rpc_queries(32, 100_000),
                ),
                ("32 small JSON-RPC requests", false, rpc_queries(32, 10)),
                ("many JSON-RPC requests", false, rpc_queries(20_000, 10)),
                ("large HTTP requests", true, http_queries(32, 100_000)),
                ("many HTTP requests", true, http_queries(10_000, 10)),
            ];
            std::thread::scope(|scope| {
                let plays: Vec<_> = plays
                    .iter()
                    .map(|(name, is_http, bytes)| {
                        scope.spawn(move || {
                            (
                                *name,
                                late_attempts(name, protocol, *is_http, bytes, departure),
                            )
                        })
                    })
                    .collect();
                for play in plays {
                    let (name, late) = play.join().expect("a play ends");
                    if !late.is_empty() {
                        failures.push(format!(
                            "{protocol:?}, {name}, {departure:?}: {} attempts up to {} ms after",
                            late.len(),
                            late.iter().max().unwrap_or(&0) / MS
                        ));
                    }
                }
            });
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
