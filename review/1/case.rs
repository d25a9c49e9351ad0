//! Case 1: an answer of an engine of the ClickHouse interface is lost; a statement with an idempotency
//! key is then sent to a second engine without the key, and runs twice.
#[path = "../common.rs"]
mod common;

use common::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const ENGINES: usize = 6;
const STATEMENTS: usize = 60;
const WORK: Duration = Duration::from_millis(100);
const PAUSE_BETWEEN_STATEMENTS: Duration = Duration::from_millis(50);
/// With the disruption, the answer to one statement in this number is lost.
const ANSWER_LOST_EVERY: usize = 10;

/// The settings of `perth-parcel-map`, as far as they differ from those that the cases share.
const PERTH: &[(&str, &str)] = &[
    ("\"peers_total\":3", "\"peers_total\":1"),
    ("\"lookup\"", "\"parcel-lookup\""),
    ("\"report\"", "\"history-report\""),
    ("\"load\"", "\"plan-load\""),
    ("\"deadline_ns\":6000000000", "\"deadline_ns\":3000000000"),
    ("\"deadline_ns\":15000000000", "\"deadline_ns\":20000000000"),
    ("\"deadline_ns\":25000000000", "\"deadline_ns\":20000000000"),
    ("\"window_ns\":5000000000", "\"window_ns\":20000000000"),
    ("side_effect", "token"),
    ("billing-desk", "swan-survey"),
    ("channel-desk", "goldfields-title"),
    ("std-4core", "engine-12c"),
    ("\"cores_by_kind\":[4]", "\"cores_by_kind\":[12]"),
    ("\"send_cap\":3", "\"send_cap\":5"),
    ("\"second_copies\":false", "\"second_copies\":true"),
    ("\"retry_after\":false", "\"retry_after\":true"),
    ("\"ranks_heeded\":false", "\"ranks_heeded\":true"),
    ("\"says_cost\":false", "\"says_cost\":true"),
    (
        "[\"backlog\",\"utilization\"],\"how\":\"pull\"",
        "[],\"how\":\"silent\"",
    ),
];

fn perth(text: String) -> String {
    PERTH
        .iter()
        .fold(text, |text, (from, to)| text.replace(from, to))
}

fn main() {
    let case = std::env::args()
        .nth(1)
        .unwrap_or_else(|| broken("usage: case FOLDER"));
    std::process::exit(play(Path::new(&case)));
}

/// What the engines have run. As the site says, all of them drop a repeat of a key: they look for it
/// anywhere in the head of a request.
struct Runs {
    keys: Mutex<BTreeSet<String>>,
    /// The engines that ran a statement, by the statement.
    by_statement: Mutex<BTreeMap<String, Vec<SocketAddr>>>,
    finished: AtomicUsize,
}

/// A stand-in engine of the ClickHouse interface: it runs each statement that it receives whole.
fn start_engine(record: &Record, runs: &Arc<Runs>) -> SocketAddr {
    let listener =
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|e| broken(&e.to_string()));
    let addr = listener.local_addr().unwrap();
    let (record, runs) = (record.clone(), runs.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs) = (record.clone(), runs.clone());
            std::thread::spawn(move || serve(stream, addr, &record, &runs));
        }
    });
    addr
}

fn serve(mut stream: TcpStream, addr: SocketAddr, record: &Record, runs: &Runs) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some((first, head, body)) = read_message(&mut reader) {
        if first.starts_with("GET /ping") {
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nOk.\n")
                .ok()?;
            continue;
        }
        let statement = String::from_utf8_lossy(&body).into_owned();
        record.line(&format!(
            "engine {addr} runs {statement} ({first}; {})",
            head.trim_end().replace("\r\n", "; ")
        ));
        let key = format!("{first} {head}")
            .split("key0")
            .nth(1)
            .and_then(|rest| rest.get(..28))
            .map(str::to_owned);
        let is_repeat = key.is_some_and(|key| !runs.keys.lock().unwrap().insert(key));
        if is_repeat {
            record.line(&format!("engine {addr} drops the repeat of {statement}"));
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .ok()?;
            continue;
        }
        sleep(WORK);
        runs.by_statement
            .lock()
            .unwrap()
            .entry(statement.clone())
            .or_default()
            .push(addr);
        let number = runs.finished.fetch_add(1, Ordering::SeqCst) + 1;
        if has_trouble() && number % ANSWER_LOST_EVERY == 0 {
            record.line(&format!(
                "engine {addr} has run {statement}; its answer is lost with the connection"
            ));
            return None;
        }
        record.line(&format!("engine {addr} has run {statement}"));
        let rows = format!("{addr}\tdone\t1\n");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-ClickHouse-Format: TabSeparated\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{rows}\r\n0\r\n\r\n",
            rows.len()
        );
        stream.write_all(answer.as_bytes()).ok()?;
    }
    None
}

fn play(case: &Path) -> i32 {
    limit_duration();
    let record = Record::create(&case.join("record.txt"));
    let folder = Folder::new("1");
    let runs = Arc::new(Runs {
        keys: Mutex::default(),
        by_statement: Mutex::default(),
        finished: AtomicUsize::new(0),
    });
    let (listen, clickhouse) = (free_address(), free_address());
    let mut deploy = format!("listen = \"{clickhouse}\"\nusual_class = \"parcel-lookup\"\n");
    for number in 1..=ENGINES {
        let addr = start_engine(&record, &runs);
        deploy += &format!(
            "[[engine]]\nid = \"s-{number:08x}\"\naddr = \"{addr}\"\nzone = \"ground-floor\"\nkind = \"engine-12c\"\n"
        );
    }
    deploy +=
        "[[user]]\nname = \"area-cable\"\nkey = \"change-me\"\ntenant = \"goldfields-title\"\n";
    let deploy = folder.put("clickhouse.toml", &deploy);
    let config = folder.put(
        "config.json",
        &perth(configuration(listen, start_coordinator(), &[])),
    );
    let mut command = daemon_command(&[&deploy], &folder, "log");
    command
        .env("PROXY_CONFIG", &config)
        .env("PROXY_NAME", "n0")
        .env("PROXY_LISTEN", listen.to_string());
    let mut daemon = Process::start("daemon", &mut command);
    wait_until_green(listen, &mut daemon, &folder);

    let mut stream = TcpStream::connect(listen).unwrap_or_else(|e| broken(&e.to_string()));
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let answers = {
        let record = record.clone();
        std::thread::spawn(move || {
            let mut served = 0;
            for _ in 0..STATEMENTS {
                let mut line = String::new();
                if reader.read_line(&mut line).unwrap_or(0) == 0 {
                    break;
                }
                record.line(&format!("answer {}", line.trim_end()));
                served += usize::from(line.contains("\"result\""));
            }
            served
        })
    };
    for number in 1..=STATEMENTS {
        let id = format!("{number:016x}");
        let key = format!("key{number:029x}");
        let statement = format!("INSERT INTO sales_{}.orders SELECT {number}", number % 9);
        let line = request(number as u64, "plan-load", &id, 20_000, 200, &statement);
        let line = line
            .replace("billing-desk", "swan-survey")
            .replace("\"params\":{", &format!("\"params\":{{\"once\":\"{key}\","));
        record.line(&format!("sent {id} once={key}: {statement}"));
        if stream.write_all(line.as_bytes()).is_err() {
            broken("a request could not be written");
        }
        sleep(PAUSE_BETWEEN_STATEMENTS);
    }
    let served = answers.join().unwrap();
    let died = daemon.has_exited();
    drop(daemon);
    let by_statement = runs.by_statement.lock().unwrap();
    let mut twice = 0;
    for (statement, engines) in by_statement.iter().filter(|(_, engines)| engines.len() > 1) {
        twice += 1;
        record.line(&format!(
            "BROKEN: {statement} was sent once and ran {} times, on {engines:?}",
            engines.len()
        ));
    }
    let verdict = format!(
        "{STATEMENTS} keyed statements sent once each, {served} served, {} ran, {twice} ran more than once",
        by_statement.len()
    );
    record.line(&verdict);
    println!("{verdict}");
    if died || by_statement.len() < STATEMENTS / 2 {
        broken("the daemon ended, or too few statements ran");
    }
    i32::from(twice > 0)
}
