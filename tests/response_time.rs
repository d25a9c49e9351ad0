//! Guards against late responses: whatever else a connection carries, each request on it gets its
//! response by its own deadline. See docs/incidents/late-responses.md.
#[path = "common/deployment.rs"]
mod deployment;

use deployment::{Deployment, DeploymentPlan};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use yokelift::testkit::clients::{
    ClientOutcome, PING, STATUS, SustainedClass, SustainedLoad, SustainedLoadPlan,
    SustainedLoadReport, SustainedProtocol, http_request, rpc_line,
};
/// A request whose response arrives later than this after the client's deadline is lost by the
/// platform's rules.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// How long the clients send requests.
const LOAD_DURATION: Duration = Duration::from_secs(3);

/// The load of one connection that never has more than the permitted number of requests open. The
/// daemon has no engines, so that each request waits for its deadline.
fn plan(interval: Duration, wait_ms: u64, cancelled_percent: u64) -> SustainedLoadPlan {
    SustainedLoadPlan {
        connections: 1,
        interval,
        protocol: SustainedProtocol::JsonRpc,
        classes: vec![SustainedClass {
            name: "lookup",
            statement: "SELECT 1",
            is_keyed: false,
        }],
        tenant: "billing-desk",
        wait_ms: wait_ms..=wait_ms,
        cancelled_percent,
        disconnected_percent: 0,
        seed: 41,
    }
}

fn run(plan: SustainedLoadPlan) -> SustainedLoadReport {
    let deployment = Deployment::start(DeploymentPlan::default());
    let load = SustainedLoad::start(deployment.daemon.listen, plan);
    std::thread::sleep(LOAD_DURATION);
    load.finish()
}

/// Asserts that each request that was not cancelled got its response within `LOST_AFTER` of its
/// client's deadline.
fn assert_responses_in_time(report: &SustainedLoadReport) {
    let not_cancelled = report
        .requests
        .iter()
        .filter(|it| it.cancelled_at.is_none());
    let mut latencies: Vec<Duration> = Vec::new();
    let mut late = 0;
    for request in not_cancelled {
        let Some((at, _)) = request.responses.first() else {
            late += 1;
            continue;
        };
        let latency = *at - request.sent_at;
        late += usize::from(latency > request.wait + LOST_AFTER + report.lag);
        latencies.push(latency);
    }
    latencies.sort();
    println!(
        "{} requests, {} with a response, median {:?}, longest {:?}, lag {:?}",
        report.requests.len(),
        latencies.len(),
        latencies.get(latencies.len() / 2),
        latencies.last(),
        report.lag
    );
    assert!(!latencies.is_empty(), "the load has sent requests");
    assert_eq!(late, 0, "requests without a response in time");
}

#[test]
fn rejections_do_not_delay_the_requests_after_them() {
    assert_responses_in_time(&run(plan(Duration::from_micros(3_300), 40, 0)));
}

#[test]
fn rejections_do_not_delay_requests_with_a_later_deadline() {
    assert_responses_in_time(&run(plan(Duration::from_micros(4_500), 100, 0)));
}

#[test]
fn cancellations_do_not_delay_the_requests_after_them() {
    assert_responses_in_time(&run(plan(Duration::from_millis(5), 100, 75)));
}

/// What a client sends continuously.
#[derive(Clone, Copy, Debug)]
enum Flood {
    Nothing,
    CancelledRequests,
    UnknownClass,
    Status,
    Rejections,
    Pings,
    UnknownUser,
}

/// How long each flood lasts.
const FLOOD_DURATION: Duration = Duration::from_secs(4);
/// How long a write waits for the daemon to read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(20);
const ENGINES: u32 = 4;

impl Flood {
    /// The bytes that are sent repeatedly, with the number of their messages.
    fn bytes(self) -> (Vec<u8>, usize) {
        const REPEATS: usize = 16;
        let message = match self {
            Flood::Nothing => return (Vec::new(), 0),
            Flood::CancelledRequests => {
                let request = rpc_line(
                    1,
                    "lookup",
                    "00000000000000f1",
                    "billing-desk",
                    900,
                    "SELECT 1",
                );
                let cancellation =
                    b"{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{\"id\":1}}\n";
                [&request[..], cancellation].concat()
            }
            Flood::UnknownClass => rpc_line(1, "none", "00000000000000f1", "billing-desk", 900, ""),
            Flood::Status => STATUS.to_vec(),
            // Its deadline has passed as soon as it is read.
            Flood::Rejections => rpc_line(
                1,
                "lookup",
                "00000000000000f1",
                "billing-desk",
                1,
                "SELECT 1",
            ),
            Flood::Pings => PING.to_vec(),
            Flood::UnknownUser => http_request("nobody", "none", "", "SELECT 1"),
        };
        (message.repeat(REPEATS), REPEATS)
    }

    fn is_http(self) -> bool {
        matches!(self, Flood::Pings | Flood::UnknownUser)
    }
}

/// Sends continuously for `FLOOD_DURATION` on one connection, and reads the responses. Returns the
/// number of messages that were written.
fn send_continuously(addr: SocketAddr, flood: Flood) -> usize {
    let (bytes, messages) = flood.bytes();
    if messages == 0 {
        std::thread::sleep(FLOOD_DURATION);
        return 0;
    }
    let stream = TcpStream::connect(addr).expect("a connection");
    let mut reader = stream.try_clone().expect("a second descriptor");
    std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
    stream
        .set_write_timeout(Some(WRITE_TIMEOUT))
        .expect("the timeout is set");
    let (mut sent, mut offset) = (0, 0);
    let ends_at = Instant::now() + FLOOD_DURATION;
    while Instant::now() < ends_at {
        match (&stream).write(&bytes[offset..]) {
            Ok(count) => offset += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
        if offset == bytes.len() {
            sent += messages;
            offset = 0;
        }
    }
    sent
}

/// The processor time that a process has used.
fn processor_time(pid: u32) -> Duration {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let after_name = stat.rsplit_once(')').expect("a name").1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks: f64 = fields[11..13]
        .iter()
        .filter_map(|it| it.parse::<f64>().ok())
        .sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

/// Measures the processor time that the daemon uses for one client that sends continuously, besides
/// 12 connections of 300 requests a second each, and the latencies of those. Started by hand: it
/// prints a line for each kind of messages.
#[test]
#[ignore = "measures processor time on a quiet machine: started by hand"]
fn processor_time_of_a_client_that_sends_continuously() {
    for flood in [
        Flood::Nothing,
        Flood::CancelledRequests,
        Flood::UnknownClass,
        Flood::Status,
        Flood::Rejections,
        Flood::Pings,
        Flood::UnknownUser,
        Flood::Nothing,
    ] {
        let deployment = Deployment::start(DeploymentPlan {
            engines: ENGINES,
            ..DeploymentPlan::default()
        });
        let daemon = &deployment.daemon;
        let background_load = SustainedLoadPlan {
            connections: 12,
            ..plan(Duration::from_micros(3_333), 1_000, 0)
        };
        let load = SustainedLoad::start(daemon.listen, background_load);
        std::thread::sleep(Duration::from_millis(500));
        let before = processor_time(daemon.pid());
        let addr = if flood.is_http() {
            deployment.http_listen
        } else {
            daemon.listen
        };
        let sent = send_continuously(addr, flood);
        let used = processor_time(daemon.pid()) - before;
        let report = load.finish();
        let served: Vec<Duration> = report
            .requests
            .iter()
            .filter_map(|it| match it.responses.first() {
                Some((at, ClientOutcome::Completed(_))) => Some(*at - it.sent_at),
                _ => None,
            })
            .collect();
        let mut latencies = served.clone();
        latencies.sort();
        println!(
            "{flood:?}: {sent} messages sent, {used:?} of processor time in {FLOOD_DURATION:?}; others: {} of {} served, \
             median {:?}, 99 of 100 within {:?}",
            served.len(),
            report.requests.len(),
            latencies[latencies.len() / 2],
            latencies[latencies.len() * 99 / 100],
        );
    }
}
