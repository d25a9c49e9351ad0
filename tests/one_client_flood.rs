//! Guards other clients, and the memory limit, against one client that sends small or invalid
//! requests on one connection as fast as it can, also under ever new names.
#[path = "common/deployment.rs"]
mod deployment;

use deployment::{Deployment, DeploymentPlan};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use yokelift::testkit::clients::{
    ClientOutcome, SustainedClass, SustainedLoad, SustainedLoadPlan, SustainedLoadReport,
    SustainedProtocol, http_request, rpc_line,
};
use yokelift::testkit::daemon::DaemonLimits;

const MEMORY_MB: u64 = 48;
const MAX_SOCKETS: usize = 256;
const ENGINES: u32 = 4;
/// How long the flood lasts.
const FLOOD_DURATION: Duration = Duration::from_secs(3);
/// How long a write waits for the daemon to read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(20);
/// How long the other clients wait for a response.
const WAIT_MS: u64 = 1_000;
/// A request whose response arrives later than this after the client's deadline is lost by the
/// platform's rules.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// The messages that are written at once.
const BATCH: u64 = 64;
/// How many floods are played at the same time.
const PARALLEL_FLOODS: usize = 2;

/// What one client sends.
#[derive(Clone, Copy)]
struct Flood {
    name: &'static str,
    is_http: bool,
    /// Whether the client reads the responses.
    reads: bool,
    /// The message with this number.
    message: fn(u64) -> Vec<u8>,
}

fn rpc_query(number: u64, class: &str, tenant: &str, statement: &str) -> Vec<u8> {
    let id = format!("{number:016x}");
    rpc_line(number, class, &id, tenant, WAIT_MS, statement)
}

fn rpc_text(number: u64, text: &str) -> Vec<u8> {
    text.replace('#', &number.to_string()).into_bytes()
}

const TENANT: &str = "channel-desk";

const FLOODS: [Flood; 19] = [
    Flood {
        name: "queries",
        is_http: false,
        reads: true,
        message: |n| rpc_query(n, "lookup", TENANT, "SELECT 1"),
    },
    Flood {
        name: "queries of new tables",
        is_http: false,
        reads: true,
        message: |n| {
            rpc_query(
                n,
                "lookup",
                TENANT,
                &format!("SELECT 1 FROM sales_{n}.orders"),
            )
        },
    },
    Flood {
        name: "loads of new tables",
        is_http: false,
        reads: true,
        message: |n| {
            rpc_query(
                n,
                "load",
                TENANT,
                &format!("INSERT INTO sales_{n}.orders SELECT 1"),
            )
        },
    },
    Flood {
        name: "new classes",
        is_http: false,
        reads: true,
        message: |n| rpc_query(n, &format!("class{n}"), TENANT, "SELECT 1"),
    },
    Flood {
        name: "new tenants",
        is_http: false,
        reads: true,
        message: |n| rpc_query(n, "lookup", &format!("desk{n}"), "SELECT 1"),
    },
    Flood {
        name: "new keys",
        is_http: false,
        reads: true,
        message: |n| {
            rpc_text(
                n,
                "{\"jsonrpc\":\"2.0\",\"id\":#,\"method\":\"lookup\",\"params\":{\"id\":\"00000000000000f1\",\"wait\":900,\"once\":\"#\",\"tenant\":\"channel-desk\",\"arg\":\"\"}}\n",
            )
        },
    },
    Flood {
        name: "passed deadlines",
        is_http: false,
        reads: true,
        message: |n| rpc_line(n, "lookup", &format!("{n:016x}"), TENANT, 1, "SELECT 1"),
    },
    Flood {
        name: "requests and cancellations",
        is_http: false,
        reads: true,
        message: |n| {
            [
                rpc_query(n, "lookup", TENANT, "SELECT 1"),
                rpc_text(
                    n,
                    "{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{\"id\":#}}\n",
                ),
            ]
            .concat()
        },
    },
    Flood {
        name: "cancellations",
        is_http: false,
        reads: true,
        message: |n| {
            rpc_text(
                n,
                "{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{\"id\":#}}\n",
            )
        },
    },
    Flood {
        name: "status",
        is_http: false,
        reads: true,
        message: |n| rpc_text(n, "{\"jsonrpc\":\"2.0\",\"id\":#,\"method\":\"status\"}\n"),
    },
    Flood {
        name: "blank lines",
        is_http: false,
        reads: true,
        message: |_| {
            b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n\n \n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n".to_vec()
        },
    },
    Flood {
        name: "many arrays",
        is_http: false,
        reads: true,
        message: |n| {
            rpc_text(
                n,
                &format!(
                    "{{\"jsonrpc\":\"2.0\",\"id\":#,\"method\":\"lookup\",\"params\":[{}[]]}}\n",
                    "[],".repeat(70_000)
                ),
            )
        },
    },
    Flood {
        name: "HTTP queries",
        is_http: true,
        reads: true,
        message: |n| {
            http_request(
                "anna",
                "secret",
                &format!("query_id=q{n}"),
                &format!("SELECT 1 FROM sales_{n}.orders"),
            )
        },
    },
    Flood {
        name: "new users",
        is_http: true,
        reads: true,
        message: |n| http_request(&format!("user{n}"), "none", "", "SELECT 1"),
    },
    Flood {
        name: "pings",
        is_http: true,
        reads: true,
        message: |_| b"GET /ping HTTP/1.1\r\n\r\n".to_vec(),
    },
    Flood {
        name: "new paths",
        is_http: true,
        reads: true,
        message: |n| rpc_text(n, "GET /path# HTTP/1.1\r\n\r\n"),
    },
    Flood {
        name: "new databases and formats",
        is_http: true,
        reads: true,
        message: |n| {
            http_request(
                "anna",
                "secret",
                &format!("database=db{n}&default_format=F{n}"),
                "SELECT 1",
            )
        },
    },
    Flood {
        name: "status, unread",
        is_http: false,
        reads: false,
        message: |n| rpc_text(n, "{\"jsonrpc\":\"2.0\",\"id\":#,\"method\":\"status\"}\n"),
    },
    Flood {
        name: "pings, unread",
        is_http: true,
        reads: false,
        message: |_| b"GET /ping HTTP/1.1\r\n\r\n".to_vec(),
    },
];

/// Sends continuously for [`FLOOD_DURATION`] on one connection, which is opened again if the daemon
/// closes it. Returns the number of messages that were written.
fn send_continuously(addr: SocketAddr, flood: &Flood) -> u64 {
    let ends_at = Instant::now() + FLOOD_DURATION;
    let mut number = 1 << 32;
    let first = number;
    while Instant::now() < ends_at {
        let Ok(stream) = TcpStream::connect(addr) else {
            continue;
        };
        if flood.reads {
            let mut reader = stream.try_clone().expect("a second descriptor");
            std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
        }
        let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
        while Instant::now() < ends_at {
            let batch: Vec<u8> = (number..number + BATCH).flat_map(flood.message).collect();
            if write_until(&stream, &batch, ends_at).is_err() {
                break;
            }
            number += BATCH;
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    number - first
}

fn write_until(mut stream: &TcpStream, mut bytes: &[u8], ends_at: Instant) -> std::io::Result<()> {
    while !bytes.is_empty() && Instant::now() < ends_at {
        match stream.write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn others(protocol: SustainedProtocol, seed: u64) -> SustainedLoadPlan {
    SustainedLoadPlan {
        connections: 6,
        interval: Duration::from_millis(20),
        protocol,
        classes: vec![SustainedClass {
            name: "lookup",
            statement: "SELECT 1",
            is_keyed: false,
        }],
        tenant: "billing-desk",
        wait_ms: WAIT_MS..=WAIT_MS,
        cancelled_percent: 0,
        disconnected_percent: 0,
        seed,
    }
}

/// What one client did to the others.
#[derive(Debug, Default)]
struct Effect {
    requests: usize,
    served: usize,
    late: usize,
    longest: Duration,
}

impl Effect {
    fn of(reports: &[SustainedLoadReport]) -> Effect {
        let mut effect = Effect::default();
        for (report, request) in reports
            .iter()
            .flat_map(|report| report.requests.iter().map(move |request| (report, request)))
        {
            effect.requests += 1;
            let Some((at, outcome)) = request.responses.first() else {
                effect.late += 1;
                continue;
            };
            let latency = *at - request.sent_at;
            effect.longest = effect.longest.max(latency);
            effect.served += usize::from(matches!(outcome, ClientOutcome::Completed(_)));
            effect.late += usize::from(latency > request.wait + LOST_AFTER + report.lag);
        }
        effect
    }
}

/// Plays a flood beside clients of both frontends. Returns what failed.
fn play(flood: &Flood) -> Option<String> {
    let deployment = Deployment::start(DeploymentPlan {
        engines: ENGINES,
        limits: DaemonLimits {
            sockets: MAX_SOCKETS,
            memory_mb: MEMORY_MB,
        },
        ..DeploymentPlan::default()
    });
    let daemon = &deployment.daemon;
    let user = SustainedProtocol::ClickHouse {
        user: "anna",
        key: "secret",
    };
    let loads = [
        SustainedLoad::start(daemon.listen, others(SustainedProtocol::JsonRpc, 1)),
        SustainedLoad::start(deployment.http_listen, others(user, 2)),
    ];
    let addr = if flood.is_http {
        deployment.http_listen
    } else {
        daemon.listen
    };
    let sent = send_continuously(addr, flood);
    let effect = Effect::of(&loads.map(SustainedLoad::finish));
    let memory = deployment.highest_memory_mb();
    println!("{}: {sent} sent, {effect:?}, {memory} MB", flood.name);
    let failed = effect.late > 0 || effect.served == 0 || memory > MEMORY_MB;
    failed.then(|| format!("{}: {effect:?}, {memory} MB", flood.name))
}

#[test]
fn one_client_at_full_speed_delays_no_other_client() {
    let mut failures = Vec::new();
    for group in FLOODS.chunks(PARALLEL_FLOODS) {
        std::thread::scope(|scope| {
            let plays: Vec<_> = group
                .iter()
                .map(|flood| scope.spawn(|| play(flood)))
                .collect();
            for play in plays {
                failures.extend(play.join().expect("a play ends"));
            }
        });
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
