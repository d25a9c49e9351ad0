//! Case 2: an engine of the ClickHouse interface hangs for a while; its answer to a health check is
//! delivered to a client as the result of a query.
//!
//! `case engine ADDR LOG` is a stand-in engine; `case FOLDER_OF_THE_CASE` plays the case.
#[path = "../common.rs"]
mod common;

use common::*;
use std::fs::{self, OpenOptions};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const ENGINES: usize = 4;
/// Each engine's work on a statement.
const LOOKUP_WORK: Duration = Duration::from_millis(60);
const REPORT_WORK: Duration = Duration::from_millis(100);
const LOAD_WORK: Duration = Duration::from_millis(140);
/// For how long two engines of four hang at once, in milliseconds, and how often each of these.
const HANGS: [u64; 4] = [600, 800, 1000, 1500];
const ROUNDS: usize = 5;
const BETWEEN_HANGS: Duration = Duration::from_millis(1000);
const PAUSE_BETWEEN_STATEMENTS: Duration = Duration::from_millis(25);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match &arguments[..] {
        [command, addr, log] if command == "engine" => engine(addr, log),
        [folder] => std::process::exit(play(Path::new(folder))),
        _ => broken("usage: case FOLDER | case engine ADDR LOG"),
    }
}

/// The rows of a statement: its name, which stands in a comment, in each row.
fn rows(statement: &str, engine: &str) -> String {
    let name = statement
        .split("/*")
        .nth(1)
        .and_then(|rest| rest.split("*/").next())
        .unwrap_or("none");
    (0..3)
        .map(|row| format!("{name}\t{engine}\t{row}\n"))
        .collect()
}

/// A stand-in engine: HTTP/1.1 with keep-alive; the requests of a connection are answered in order.
fn engine(addr: &str, log: &str) {
    let listener =
        TcpListener::bind(addr).unwrap_or_else(|e| broken(&format!("engine {addr}: {e}")));
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .unwrap_or_else(|e| broken(&e.to_string()));
    let log = Arc::new(Mutex::new(log));
    for (connection, stream) in listener.incoming().flatten().enumerate() {
        let (log, name) = (log.clone(), format!("{addr} connection {connection}"));
        std::thread::spawn(move || serve(stream, &name, &log));
    }
}

fn serve(stream: TcpStream, name: &str, log: &Mutex<fs::File>) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    let note = |text: &str| {
        let millis = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let _ = writeln!(log.lock().unwrap(), "engine {name} at {millis} ms {text}");
    };
    while let Some((first, _, body)) = read_message(&mut reader) {
        let answer = if first.starts_with("GET /ping") {
            note("answers a ping");
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nOk.\n".to_owned()
        } else {
            let statement = String::from_utf8_lossy(&body).into_owned();
            note(&format!("runs {statement}"));
            sleep(match statement.split_once(' ') {
                Some(("INSERT", _)) => LOAD_WORK,
                _ if statement.contains("GROUP") => REPORT_WORK,
                _ => LOOKUP_WORK,
            });
            let rows = rows(&statement, name.split(' ').next().unwrap());
            let query_id = first
                .split("query_id=")
                .nth(1)
                .and_then(|rest| rest.split(['&', ' ']).next());
            format!(
                "HTTP/1.1 200 OK\r\nX-ClickHouse-Query-Id: {}\r\nX-ClickHouse-Format: TabSeparated\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{rows}\r\n0\r\n\r\n",
                query_id.unwrap_or_default(),
                rows.len()
            )
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            break;
        }
    }
}

/// Sends one statement on a connection of its own and returns the status line and the body.
fn ask(listen: SocketAddr, statement: &str) -> Option<(String, String)> {
    let mut stream = TcpStream::connect(listen).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(27)));
    let head = format!(
        "POST / HTTP/1.1\r\nHost: m\r\nX-ClickHouse-User: area-cable\r\nX-ClickHouse-Key: change-me\r\nContent-Length: {}\r\n\r\n",
        statement.len()
    );
    stream
        .write_all(format!("{head}{statement}").as_bytes())
        .ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    Some((first, String::from_utf8_lossy(&body).into_owned()))
}

fn play(case: &Path) -> i32 {
    limit_duration();
    let record = Record::create(&case.join("record.txt"));
    let folder = Folder::new("2");
    let program = std::env::current_exe().unwrap();
    let log = folder.0.join("engines");
    let mut engines = Vec::new();
    let mut deploy = String::new();
    let listen = free_address();
    let clickhouse = free_address();
    deploy += &format!("listen = \"{clickhouse}\"\nusual_class = \"lookup\"\n");
    for number in 1..=ENGINES {
        let addr = free_address();
        let mut command = Command::new(&program);
        command.arg("engine").arg(addr.to_string()).arg(&log);
        engines.push(Process::start(&format!("engine {addr}"), &mut command));
        deploy += &format!(
            "[[engine]]\nid = \"s-{number:08x}\"\naddr = \"{addr}\"\nzone = \"ground-floor\"\nkind = \"std-4core\"\n"
        );
    }
    deploy += "[[class]]\nname = \"load\"\nbegins = [\"insert\"]\n[[class]]\nname = \"report\"\nholds = [\"group\"]\n";
    deploy += "[[user]]\nname = \"area-cable\"\nkey = \"change-me\"\ntenant = \"channel-desk\"\n";
    let deploy = folder.put("clickhouse.toml", &deploy);
    let config = folder.put(
        "config.json",
        &configuration(listen, start_coordinator(), &[]),
    );
    let mut command = daemon_command(&[&deploy], &folder, "log");
    command
        .env("PROXY_CONFIG", &config)
        .env("PROXY_NAME", "n0")
        .env("PROXY_LISTEN", listen.to_string());
    let mut daemon = Process::start("daemon", &mut command);
    wait_until_green(listen, &mut daemon, &folder);
    record.line(&format!(
        "{ENGINES} engines, manager at {listen}, ClickHouse frontend at {clickhouse}"
    ));

    let wrong = Arc::new(Mutex::new(Vec::new()));
    let counts = Arc::new(Mutex::new([0u32; 2]));
    let stop = Arc::new(Mutex::new(false));
    let window_slot = Arc::new(Mutex::new(None::<u32>));
    let sender = {
        let (record, wrong, counts) = (record.clone(), wrong.clone(), counts.clone());
        let (stop, window_slot) = (stop.clone(), window_slot.clone());
        std::thread::spawn(move || {
            let mut clients = Vec::new();
            for number in 0u32.. {
                if *stop.lock().unwrap() {
                    break;
                }
                let name = format!("q{number}");
                let table = format!("sales_{}.orders", number % 7);
                // In a window in which engines may hang, one report makes the manager ask an engine for
                // its load; then INSERTs follow.
                let slot = window_slot.lock().unwrap().as_mut().map(|slot| {
                    *slot += 1;
                    *slot
                });
                let statement = match (slot, number % 4) {
                    (Some(1), _) => format!("SELECT a, b FROM {table} GROUP BY a, b /*{name}*/"),
                    (Some(5..), 0 | 2) | (None, 0) => {
                        format!("INSERT INTO {table} SELECT 1 /*{name}*/")
                    }
                    (None, _) => format!("SELECT a FROM {table} /*{name}*/"),
                    _ => {
                        sleep(PAUSE_BETWEEN_STATEMENTS);
                        continue;
                    }
                };
                let (record, wrong, counts) = (record.clone(), wrong.clone(), counts.clone());
                clients.push(std::thread::spawn(move || {
                    record.line(&format!("sent {statement}"));
                    let answer = ask(clickhouse, &statement);
                    record.line(&format!("answer to {name}: {answer:?}"));
                    let Some((status, body)) = answer else { return };
                    let served = status.contains(" 200 ");
                    counts.lock().unwrap()[usize::from(!served)] += 1;
                    let own = !body.is_empty()
                        && body
                            .lines()
                            .all(|row| row.starts_with(&format!("{name}\t")));
                    if served && !own {
                        wrong
                            .lock()
                            .unwrap()
                            .push(format!("{statement} was answered with {body:?}"));
                    }
                }));
                sleep(PAUSE_BETWEEN_STATEMENTS);
            }
            clients
        })
    };
    sleep(Duration::from_secs(3));
    for hang in 0..ROUNDS * HANGS.len() {
        let hanging = [&engines[hang % ENGINES], &engines[(hang + 1) % ENGINES]];
        for engine in hanging.iter().filter(|_| has_trouble()) {
            record.line(&format!("{} stops", engine.name));
            engine.signal("STOP");
        }
        *window_slot.lock().unwrap() = Some(0);
        sleep(Duration::from_millis(HANGS[hang % HANGS.len()]));
        for engine in hanging.iter().filter(|_| has_trouble()) {
            engine.signal("CONT");
            record.line(&format!("{} goes on", engine.name));
        }
        *window_slot.lock().unwrap() = None;
        sleep(BETWEEN_HANGS);
    }
    *stop.lock().unwrap() = true;
    for client in sender.join().unwrap() {
        let _ = client.join();
    }
    let died = daemon.has_exited();
    drop((daemon, engines));
    let log = fs::read_to_string(&log).unwrap_or_default();
    for line in log.lines() {
        record.line(line);
    }
    let [served, other] = *counts.lock().unwrap();
    let wrong = wrong.lock().unwrap();
    for line in wrong.iter() {
        record.line(&format!("BROKEN: {line}"));
    }
    let verdict = format!(
        "{served} served, {other} not served, {} served with what no engine made for them",
        wrong.len()
    );
    record.line(&verdict);
    println!("{verdict}");
    if died || served < 100 {
        broken("the daemon ended, or too few statements were served");
    }
    i32::from(!wrong.is_empty())
}
