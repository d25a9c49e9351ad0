//! What the cases of the second review share: the record, the processes under test, and stand-ins
//! for clients, engines and the coordinator. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The case ends by itself after this time, with the status for a case that could not run.
const WATCHDOG: Duration = Duration::from_secs(110);

/// The status of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

struct Case {
    started: Instant,
    record: Mutex<File>,
    folder: PathBuf,
    host: String,
    processes: Mutex<Vec<Child>>,
    logs: Mutex<Vec<PathBuf>>,
    trouble: bool,
}

static CASE: OnceLock<Case> = OnceLock::new();

fn case() -> &'static Case {
    CASE.get().expect("the case was begun")
}

/// Begins the case: opens `record.txt` in the case's folder, and a temporary folder.
pub fn begin(name: &str) {
    let unique = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |now| now.as_nanos() as u64)
        ^ (u64::from(std::process::id()) << 20);
    let folder = std::env::temp_dir().join(format!("yokelift-{name}-{}", std::process::id()));
    let record = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a temporary folder");
    let host = format!(
        "127.{}.{}.{}",
        64 + unique % 128,
        (unique >> 8) % 254,
        1 + (unique >> 16) % 250
    );
    let begun = Case {
        started: Instant::now(),
        record: Mutex::new(File::create(record).expect("the record")),
        folder,
        host,
        processes: Mutex::default(),
        logs: Mutex::default(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    assert!(CASE.set(begun).is_ok());
    std::panic::set_hook(Box::new(|info| {
        note(&format!("the case could not run: {info}"));
        eprintln!("the case could not run: {info}");
        end(COULD_NOT_RUN);
    }));
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        note("the case could not run: it took too long");
        end(COULD_NOT_RUN);
    });
    note(&format!(
        "{name}, {} the disruption",
        if trouble() { "with" } else { "without" }
    ));
}

/// Whether the disruption is to happen.
pub fn trouble() -> bool {
    case().trouble
}

/// Milliseconds since the begin of the case.
pub fn at_ms() -> u64 {
    case().started.elapsed().as_millis() as u64
}

/// Writes a line to the record.
pub fn note(text: &str) {
    let case = case();
    let seconds = case.started.elapsed().as_secs_f64();
    if let Ok(mut record) = case.record.lock() {
        let _ = writeln!(record, "{seconds:8.3} {text}");
    }
}

/// Ends all processes of the case, adds their logs to the record, and exits.
pub fn end(status: i32) -> ! {
    let case = case();
    if let Ok(mut processes) = case.processes.lock() {
        for process in processes.iter_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
    if let Ok(logs) = case.logs.lock() {
        for log in logs.iter() {
            let name = log.file_name().unwrap_or_default().to_string_lossy();
            let text = fs::read(log).unwrap_or_default();
            for line in String::from_utf8_lossy(&text).lines().take(200) {
                note(&format!("log of {name}: {line}"));
            }
        }
    }
    note(&format!("exit status {status}"));
    let _ = fs::remove_dir_all(&case.folder);
    std::process::exit(status)
}

/// Ends the case with the verdict: 1 if a rule was broken.
pub fn verdict(broken: &[String]) -> ! {
    for line in broken {
        note(&format!("BROKEN: {line}"));
        println!("broken: {line}");
    }
    if broken.is_empty() {
        note("the rule held");
        println!("the rule held");
    }
    end(i32::from(!broken.is_empty()))
}

/// The temporary folder of the case.
pub fn folder() -> &'static Path {
    &case().folder
}

pub fn pause(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

/// Waits until the condition holds; whether it did in time.
pub fn wait_until(milliseconds: u64, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(milliseconds);
    while Instant::now() < end {
        if condition() {
            return true;
        }
        pause(5);
    }
    condition()
}

/// A loopback address with a free port.
pub fn free_address() -> SocketAddr {
    let host = case().host.as_str();
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

pub fn listen() -> TcpListener {
    TcpListener::bind((case().host.as_str(), 0)).expect("a free port")
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = word >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let value = |byte: u8| match byte {
        b'A'..=b'Z' => Some(byte - b'A'),
        b'a'..=b'z' => Some(byte - b'a' + 26),
        b'0'..=b'9' => Some(byte - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for digit in text.bytes().filter_map(value) {
        word = word << 6 | u32::from(digit);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}

/// The text between two marks in a line of JSON.
pub fn between<'a>(text: &'a str, before: &str, after: &str) -> Option<&'a str> {
    let start = text.find(before)? + before.len();
    let length = text[start..].find(after)?;
    Some(&text[start..start + length])
}

// ---------------------------------------------------------------- the workload manager

/// The settings of a small deployment, with the semantics of the class `load`. `limits` and
/// `load_info` are added as they are.
pub fn settings(load_semantics: &str, peers: bool, me: u32, managers: u32) -> String {
    let class = |name: &str, semantics: &str, promise_ms: u64, deadline_s: u64| {
        format!(
            r#"{{"name":"{name}","promise_ns":{promise_ms}000000,"aim_stretch":2.0,"semantics":"{semantics}","dedup_scope":"all","window_ns":20000000000,"stream":false,"deadline_ns":{deadline_s}000000000,"worth":1.0,"late_worth":0.3}}"#
        )
    };
    let classes = [
        class("lookup", "pure", 1200, 6),
        class("report", "pure", 2000, 15),
        class("load", load_semantics, 4000, 25),
    ];
    format!(
        r#"{{"me":{me},"peers_total":{managers},"az":0,"zones":["ground-floor"],"quantum_ns":5000000,"kinds":["std-8core"],"classes":[{}],"orgs":[{{"name":"billing-desk","quota_rps":63.0,"share":0.62}},{{"name":"channel-desk","quota_rps":39.0,"share":0.38}}],"over_share_worth":0.05,"discovery":"push","workload":"queries","load_info":{{"fields":["backlog","utilization"],"how":"pull"}},"extra":{{"class_threads":[1,3,2],"cores_by_kind":[8],"loads":[false,false,true],"blocked_by_loads":[true,false,false],"takes_grants":true,"most_grant":0.4,"out_of_memory":"wait","ram_of_kind_mb":[16384.0],"ranks_heeded":false,"says_cost":false,"note_period_ns":0}},"invariants":{{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"drain_grace_ns":250000000,"cold_from":0.32,"warm_within_ns":15000000000,"fall_multiple":3.0,"fall_ns":2000000000}},"limits":{{"send_cap":3,"may_cancel":true,"probing":true,"peers":{peers},"retry_after":true,"max_retry_after_ns":2000000000,"second_copies":false,"connect_timeout_ns":250000000,"keepalive_ns":15000000000,"max_streams":32,"max_open":20000}},"prices":{{"cross_zone":0.01,"probe":0.0097}},"value_by":"request","weights":"silent"}}"#,
        classes.join(",")
    )
}

/// One entry of the list of engines.
pub struct Listed {
    pub id: u32,
    pub addr: SocketAddr,
    pub state: &'static str,
    pub started_ms: u64,
}

fn listed_json(engines: &[Listed]) -> String {
    let rows: Vec<String> = engines
        .iter()
        .map(|engine| {
            format!(
                r#"{{"id":"s-{:08x}","addr":"{}","zone":"ground-floor","kind":"std-8core","cell":0,"state":"{}","weight":1,"started_ms":{}}}"#,
                engine.id, engine.addr, engine.state, engine.started_ms
            )
        })
        .collect();
    rows.join(",")
}

/// The events known at the start: one, with the whole list.
pub fn known(engines: &[Listed]) -> String {
    format!(
        r#"{{"index":1,"updates":[{{"index":1,"endpoints":{{"version":1,"full":true,"servers":[{}]}}}}]}}"#,
        listed_json(engines)
    )
}

/// The configuration of one workload manager.
pub fn config(
    name: &str,
    listen: SocketAddr,
    coordinator: SocketAddr,
    known: &str,
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"coordinator":"{coordinator}","known":{known},"settings":{settings}}}"#
    )
}

/// Writes a file into the temporary folder.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let path = folder().join(name);
    fs::write(&path, text).expect("a file in the temporary folder");
    path
}

/// A process of the workload manager.
pub struct Manager {
    pub label: String,
    pub pid: u32,
}

/// The command of the deploy file that starts a workload manager.
fn run_command() -> String {
    let deploy = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = deploy
        .lines()
        .find(|line| line.starts_with("run = "))
        .expect("the command `run`");
    between(line, "\"", "\"").expect("its text").to_owned()
}

/// Starts a workload manager with the deploy file's command. `state` is its `TMPDIR`.
pub fn start_manager(
    label: &str,
    config: &Path,
    state: &str,
    console: Option<SocketAddr>,
    variables: &[(&str, &str)],
    arguments: &str,
) -> Manager {
    let state = folder().join(state);
    fs::create_dir_all(&state).expect("the folder TMPDIR");
    let log = folder().join(format!("{label}.log"));
    let output = File::create(&log).expect("the log");
    let errors = output.try_clone().expect("the log");
    let mut command = Command::new("/bin/sh");
    command
        .arg("-c")
        .arg(format!("{} {arguments}", run_command()))
        .env("PROXY_CONFIG", config)
        .env("TMPDIR", &state)
        .env_remove("PROXY_FLEET")
        .env_remove("PROXY_CONSOLE")
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors);
    if let Some(console) = console {
        command.env("PROXY_CONSOLE", console.to_string());
    }
    for (name, value) in variables {
        command.env(name, value);
    }
    let process = command.spawn().expect("the workload manager");
    let pid = process.id();
    case()
        .processes
        .lock()
        .expect("the processes")
        .push(process);
    case().logs.lock().expect("the logs").push(log);
    note(&format!("{label}: started as process {pid}"));
    Manager {
        label: label.to_owned(),
        pid,
    }
}

impl Manager {
    /// Sends a signal by its name, such as TERM.
    pub fn signal(&self, signal: &str) {
        note(&format!("{}: SIG{signal}", self.label));
        let status = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{signal} {}", self.pid))
            .stderr(Stdio::null())
            .status();
        assert!(status.is_ok_and(|status| status.success()), "kill failed");
    }

    /// The exit status if the process has ended.
    pub fn ended(&self) -> Option<String> {
        let mut processes = case().processes.lock().expect("the processes");
        let process = processes
            .iter_mut()
            .find(|process| process.id() == self.pid)?;
        let status = process.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Notes the end of the process in the record when it comes.
    pub fn note_end(&self) {
        let (label, pid) = (self.label.clone(), self.pid);
        thread::spawn(move || {
            let manager = Manager { label, pid };
            loop {
                if let Some(status) = manager.ended() {
                    return note(&format!("{}: ended, {status}", manager.label));
                }
                pause(5);
            }
        });
    }
}

// ---------------------------------------------------------------- HTTP

/// The response to an HTTP request.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Sends a request on a new connection, and reads the response until `timeout_ms` have passed.
/// `None` if there is no whole response by then; the connection is closed.
pub fn http(address: SocketAddr, request: &str, timeout_ms: u64) -> Option<HttpResponse> {
    let end = Instant::now() + Duration::from_millis(timeout_ms);
    let mut stream =
        TcpStream::connect_timeout(&address, Duration::from_millis(timeout_ms)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_response(&mut stream, end)
}

/// Reads a whole response from a connection.
pub fn read_response(stream: &mut TcpStream, end: Instant) -> Option<HttpResponse> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16384];
    loop {
        if let Some(response) = parse_response(&bytes, false) {
            return Some(response);
        }
        let left = end.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        match stream.read(&mut buffer) {
            Ok(0) => return parse_response(&bytes, true),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(_) => return None,
        }
    }
}

fn parse_response(bytes: &[u8], ended: bool) -> Option<HttpResponse> {
    let head_end = bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let lower = head.to_ascii_lowercase();
    let rest = &bytes[head_end..];
    let body = if let Some(length) = between(&lower, "content-length: ", "\r\n") {
        let length: usize = length.trim().parse().ok()?;
        rest.get(..length)?.to_vec()
    } else if lower.contains("transfer-encoding: chunked") {
        dechunk(rest)?
    } else if ended {
        rest.to_vec()
    } else {
        return None;
    };
    Some(HttpResponse {
        status,
        head,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

fn dechunk(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|bytes| bytes == b"\r\n")?;
        let size =
            usize::from_str_radix(std::str::from_utf8(&rest[..end]).ok()?.trim(), 16).ok()?;
        let data = rest.get(end + 2..)?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(data.get(..size)?);
        rest = data.get(size + 2..)?;
    }
}

/// Whether a manager's second address says that the manager is ready.
pub fn is_ready(console: SocketAddr) -> bool {
    http(
        console,
        "GET /ready HTTP/1.1\r\nHost: manager\r\n\r\n",
        1000,
    )
    .is_some_and(|response| response.status == 200)
}

/// Waits until the manager says that it is ready.
pub fn await_ready(console: SocketAddr) {
    assert!(
        wait_until(8000, || is_ready(console)),
        "the manager did not become ready"
    );
    note(&format!("GET /ready at {console}: 200"));
}

// ---------------------------------------------------------------- a client of the platform

/// What a client received.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    Line(String),
    /// The connection ended.
    Closed,
    /// Nothing in time.
    Nothing,
}

/// A client's connection.
pub struct Rpc {
    pub label: String,
    stream: TcpStream,
    input: Vec<u8>,
}

static LAST_REQUEST: AtomicU64 = AtomicU64::new(0);

/// A new request id: 16 hex digits.
pub fn request_id() -> String {
    let number = LAST_REQUEST.fetch_add(1, Ordering::SeqCst) + 1;
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |now| now.as_nanos() as u64);
    format!(
        "{:016x}",
        (time ^ number << 48).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    )
}

impl Rpc {
    pub fn connect(label: &str, address: SocketAddr) -> Rpc {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))
            .expect("a connection to the manager");
        stream.set_nodelay(true).expect("TCP_NODELAY");
        Rpc {
            label: label.to_owned(),
            stream,
            input: Vec::new(),
        }
    }

    pub fn send(&mut self, number: u64, class: &str, wait_ms: u64, statement: &str) -> String {
        let id = request_id();
        let line = format!(
            r#"{{"jsonrpc":"2.0","id":{number},"method":"{class}","params":{{"id":"{id}","wait":{wait_ms},"tenant":"billing-desk","cost":200.0,"kb":16,"arg":"{}"}}}}"#,
            base64(statement.as_bytes())
        );
        note(&format!(
            "{}: sends request {number}, {class} {id}, wait {wait_ms} ms: {statement}",
            self.label
        ));
        self.stream
            .write_all(format!("{line}\n").as_bytes())
            .expect("a request is written");
        id
    }

    /// The next line that the manager sends.
    pub fn receive(&mut self, timeout_ms: u64) -> Received {
        let end = Instant::now() + Duration::from_millis(timeout_ms);
        let mut buffer = [0; 16384];
        loop {
            if let Some(length) = self.input.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.input.drain(..=length).collect();
                let line = String::from_utf8_lossy(&line).trim_end().to_owned();
                note(&format!("{}: receives {}", self.label, shortened(&line)));
                return Received::Line(line);
            }
            let Some(left) = end.checked_duration_since(Instant::now()) else {
                return Received::Nothing;
            };
            let left = left.max(Duration::from_millis(1));
            self.stream.set_read_timeout(Some(left)).expect("a timeout");
            match self.stream.read(&mut buffer) {
                Ok(0) => {
                    note(&format!("{}: the connection was closed", self.label));
                    return Received::Closed;
                }
                Ok(count) => self.input.extend_from_slice(&buffer[..count]),
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(error) => {
                    note(&format!("{}: the connection broke: {error}", self.label));
                    return Received::Closed;
                }
            }
        }
    }
}

pub fn shortened(line: &str) -> String {
    if line.len() > 240 {
        let end = (0..=240).rev().find(|end| line.is_char_boundary(*end));
        format!("{}...", &line[..end.unwrap_or(0)])
    } else {
        line.to_owned()
    }
}

/// The rows of a result, if the line is one.
pub fn result_rows(line: &str) -> Option<String> {
    let rows = between(line, "\"result\":{\"arg\":\"", "\"")?;
    Some(String::from_utf8_lossy(&unbase64(rows)).into_owned())
}

// ---------------------------------------------------------------- an engine of the platform

/// A request as an engine received it.
#[derive(Clone, Debug)]
pub struct Do {
    pub engine: String,
    pub connection: u64,
    pub id: String,
    pub fields: String,
    pub statement: String,
    /// Which request of the engine it is, from 1.
    pub number: u64,
    /// When it had come whole, in milliseconds since the begin of the case.
    pub came_ms: u64,
}

/// What an engine does with a request.
#[derive(Clone, Debug)]
pub enum Plan {
    /// It runs for this time, and answers with these rows.
    Rows { after_ms: u64, rows: Vec<String> },
    /// It is full: it answers at once, and writes the same answer again after each of these times.
    Full { copies_after_ms: Vec<u64> },
    /// It runs for this time, then answers with an error.
    Broke { after_ms: u64 },
}

/// A stand-in engine of the platform's protocol.
pub struct Engine {
    pub name: String,
    pub addr: SocketAddr,
    inner: Arc<EngineInner>,
}

type Planner = Box<dyn Fn(&Do) -> Plan + Send + Sync>;

struct EngineInner {
    name: String,
    plan: Planner,
    received: Mutex<Vec<Do>>,
    /// The numbers of the requests that began to run.
    ran: Mutex<Vec<u64>>,
    /// Ids that have run to their end, with their statements.
    completed: Mutex<Vec<(String, String)>>,
    /// The pages of each result, by the request's id.
    pages: Mutex<BTreeMap<String, Vec<String>>>,
    connections: AtomicU64,
    /// How long it takes to read a further page, in milliseconds.
    page_ms: AtomicU64,
    /// The engine's process has ended.
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

/// The most rows on a page.
const PAGE_ROWS: usize = 20;

impl Engine {
    pub fn start(name: &str, plan: impl Fn(&Do) -> Plan + Send + Sync + 'static) -> Engine {
        let listener = listen();
        let addr = listener.local_addr().expect("the engine's address");
        let inner = Arc::new(EngineInner {
            name: name.to_owned(),
            plan: Box::new(plan),
            received: Mutex::default(),
            ran: Mutex::default(),
            completed: Mutex::default(),
            pages: Mutex::default(),
            connections: AtomicU64::new(0),
            page_ms: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let accepting = inner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(stream) = stream.try_clone() {
                    accepting
                        .streams
                        .lock()
                        .expect("the connections")
                        .push(stream);
                }
                let inner = accepting.clone();
                thread::spawn(move || inner.serve(stream));
            }
        });
        Engine {
            name: name.to_owned(),
            addr,
            inner,
        }
    }

    /// Sets how long it takes to read a further page.
    pub fn set_page_time(&self, milliseconds: u64) {
        self.inner.page_ms.store(milliseconds, Ordering::SeqCst);
    }

    /// Ends the engine's process: its connections end, and new ones are closed.
    pub fn stop(&self) {
        note(&format!("{}: its process ends", self.name));
        self.inner.ended.store(true, Ordering::SeqCst);
        for stream in self.inner.streams.lock().expect("the connections").iter() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    pub fn received(&self) -> Vec<Do> {
        self.inner.received.lock().expect("the requests").clone()
    }

    /// Whether the engine began to run the request.
    pub fn ran(&self, request: &Do) -> bool {
        let ran = self.inner.ran.lock().expect("the runs");
        ran.contains(&request.number)
    }

    pub fn completed(&self) -> Vec<(String, String)> {
        self.inner.completed.lock().expect("the runs").clone()
    }
}

struct EngineConnection {
    number: u64,
    writer: Mutex<TcpStream>,
    /// Whether each request on the connection was given up, by its id.
    open: Mutex<BTreeMap<String, Arc<AtomicBool>>>,
    closed: AtomicBool,
}

impl EngineConnection {
    fn write(&self, message: &str) {
        if let Ok(mut writer) = self.writer.lock() {
            let _ = writer.write_all(message.as_bytes());
        }
    }
}

impl EngineInner {
    fn serve(self: Arc<EngineInner>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let number = self.connections.fetch_add(1, Ordering::SeqCst) + 1;
        let connection = Arc::new(EngineConnection {
            number,
            writer: Mutex::new(writer),
            open: Mutex::default(),
            closed: AtomicBool::new(false),
        });
        let mut stream = stream;
        let mut input = Vec::new();
        while let Some(line) = read_line(&mut stream, &mut input) {
            let words: Vec<&str> = line.split(' ').collect();
            match words[..] {
                ["do", id, fields, length] => {
                    let length: usize = length.parse().unwrap_or(0);
                    let Some(body) = read_body(&mut stream, &mut input, length) else {
                        break;
                    };
                    self.clone()
                        .start(&connection, id, fields, &String::from_utf8_lossy(&body));
                }
                ["undo", id] => {
                    note(&format!("{} conn {number}: undo {id}", self.name));
                    if let Some(given_up) = connection.open.lock().expect("the requests").get(id) {
                        given_up.store(true, Ordering::SeqCst);
                    }
                }
                ["page", id, page] => {
                    let page: usize = page.parse().unwrap_or(usize::MAX);
                    pause(self.page_ms.load(Ordering::SeqCst));
                    let pages = self.pages.lock().expect("the pages");
                    let text = pages.get(id).and_then(|pages| pages.get(page)).cloned();
                    drop(pages);
                    match text {
                        Some(text) => connection.write(&format!(
                            "{id} MORE sheet={page} {}\r\n{text}\r\n",
                            text.len()
                        )),
                        None => {
                            note(&format!(
                                "{} conn {number}: page {id} {page} is not known",
                                self.name
                            ));
                            connection.write(&format!("{id} BROKE - 0\r\n\r\n"));
                        }
                    }
                }
                ["forget", id] => {
                    self.pages.lock().expect("the pages").remove(id);
                }
                ["bump", ..] => {}
                ["ping" | "top", tag] => {
                    connection.write(&format!("{tag} FIT meter=queue:0;util:0.2 0\r\n\r\n"))
                }
                _ => {
                    note(&format!("{} conn {number}: can't read {line:?}", self.name));
                    break;
                }
            }
        }
        connection.closed.store(true, Ordering::SeqCst);
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }

    fn start(
        self: Arc<EngineInner>,
        connection: &Arc<EngineConnection>,
        id: &str,
        fields: &str,
        statement: &str,
    ) {
        let mut received = self.received.lock().expect("the requests");
        let request = Do {
            engine: self.name.clone(),
            connection: connection.number,
            id: id.to_owned(),
            fields: fields.to_owned(),
            statement: statement.to_owned(),
            number: received.len() as u64 + 1,
            came_ms: at_ms(),
        };
        received.push(request.clone());
        drop(received);
        let name = format!("{} conn {}", self.name, connection.number);
        let plan = (self.plan)(&request);
        note(&format!(
            "{name}: do {id} {fields}: {statement}: {}",
            match &plan {
                Plan::Rows { after_ms, rows } => format!("runs {after_ms} ms, {} rows", rows.len()),
                Plan::Full { .. } => "full, does not run".to_owned(),
                Plan::Broke { after_ms } => format!("runs {after_ms} ms, then an error"),
            }
        ));
        if !matches!(plan, Plan::Full { .. }) {
            self.ran.lock().expect("the runs").push(request.number);
        }
        let given_up = Arc::new(AtomicBool::new(false));
        connection
            .open
            .lock()
            .expect("the requests")
            .insert(id.to_owned(), given_up.clone());
        let connection = connection.clone();
        thread::spawn(move || self.carry_out(&connection, &request, plan, &given_up));
    }

    fn carry_out(
        &self,
        connection: &EngineConnection,
        request: &Do,
        plan: Plan,
        given_up: &AtomicBool,
    ) {
        let id = &request.id;
        let name = format!("{} conn {}", self.name, connection.number);
        match plan {
            Plan::Rows { after_ms, rows } => {
                if !self.work(connection, after_ms, given_up) {
                    return note(&format!("{name}: {id} was given up"));
                }
                let mut completed = self.completed.lock().expect("the runs");
                completed.push((id.clone(), request.statement.clone()));
                drop(completed);
                let mut pages: Vec<String> =
                    rows.chunks(PAGE_ROWS).map(<[String]>::concat).collect();
                if pages.is_empty() {
                    pages.push(String::new());
                }
                note(&format!(
                    "{name}: {id} has run, DONE with {} pages",
                    pages.len()
                ));
                let first = pages[0].clone();
                let count = pages.len();
                self.pages
                    .lock()
                    .expect("the pages")
                    .insert(id.clone(), pages);
                connection.write(&format!(
                    "{id} DONE sheets={count} {}\r\n{first}\r\n",
                    first.len()
                ));
            }
            Plan::Full { copies_after_ms } => {
                connection.write(&format!("{id} WAIT - 0\r\n\r\n"));
                note(&format!("{name}: {id} WAIT"));
                for after_ms in copies_after_ms {
                    pause(after_ms);
                    note(&format!("{name}: {id} WAIT, the same answer again"));
                    connection.write(&format!("{id} WAIT - 0\r\n\r\n"));
                }
            }
            Plan::Broke { after_ms } => {
                if self.work(connection, after_ms, given_up) {
                    let mut completed = self.completed.lock().expect("the runs");
                    completed.push((id.clone(), request.statement.clone()));
                    drop(completed);
                    note(&format!("{name}: {id} has run, BROKE"));
                    connection.write(&format!("{id} BROKE - 0\r\n\r\n"));
                }
            }
        }
    }

    /// Works for this time; whether the request was not given up meanwhile.
    fn work(&self, connection: &EngineConnection, after_ms: u64, given_up: &AtomicBool) -> bool {
        let end = Instant::now() + Duration::from_millis(after_ms);
        loop {
            if given_up.load(Ordering::SeqCst) || connection.closed.load(Ordering::SeqCst) {
                return false;
            }
            let now = Instant::now();
            if now >= end {
                return true;
            }
            thread::sleep((end - now).min(Duration::from_millis(2)));
        }
    }
}

fn read_more(stream: &mut TcpStream, input: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 16384];
    match stream.read(&mut buffer) {
        Ok(count) if count > 0 => {
            input.extend_from_slice(&buffer[..count]);
            true
        }
        _ => false,
    }
}

fn read_line(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = input.windows(2).position(|bytes| bytes == b"\r\n") {
            let line = String::from_utf8_lossy(&input[..end]).into_owned();
            input.drain(..end + 2);
            return Some(line);
        }
        if !read_more(stream, input) {
            return None;
        }
    }
}

fn read_body(stream: &mut TcpStream, input: &mut Vec<u8>, length: usize) -> Option<Vec<u8>> {
    while input.len() < length + 2 {
        if !read_more(stream, input) {
            return None;
        }
    }
    let mut body: Vec<u8> = input.drain(..length + 2).collect();
    body.truncate(length);
    Some(body)
}

/// Rows of three text columns that name their statement.
pub fn rows_of(statement: &str, count: usize) -> Vec<String> {
    let clean: String = statement
        .chars()
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect();
    (0..count)
        .map(|row| format!("{row}\t{clean}\tend\n"))
        .collect()
}

// ---------------------------------------------------------------- the coordinator

/// An event after those known at the start: its entries.
pub struct Change {
    pub entries: Vec<Listed>,
}

/// A stand-in coordinator. It counts its events on from the first one, which holds the list known
/// at the start.
pub struct Coordinator {
    pub addr: SocketAddr,
    inner: Arc<CoordinatorInner>,
}

struct CoordinatorInner {
    /// The frames of the events from number 2 on.
    frames: Mutex<Vec<Vec<u8>>>,
    /// Open connections are kept, and nothing is said on them or on new ones.
    silent: AtomicBool,
}

impl Coordinator {
    pub fn start() -> Coordinator {
        let listener = listen();
        let addr = listener.local_addr().expect("the coordinator's address");
        let inner = Arc::new(CoordinatorInner {
            frames: Mutex::default(),
            silent: AtomicBool::new(false),
        });
        let accepting = inner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let inner = accepting.clone();
                thread::spawn(move || inner.serve(stream));
            }
        });
        Coordinator { addr, inner }
    }

    /// Adds an event with changes.
    pub fn tell(&self, entries: &[Listed]) {
        let mut frames = self.inner.frames.lock().expect("the events");
        let number = frames.len() as u64 + 2;
        let mut frame = Vec::new();
        frame.extend_from_slice(&(9 + 27 * entries.len() as u32).to_be_bytes());
        frame.extend_from_slice(&number.to_be_bytes());
        frame.push(2);
        for entry in entries {
            let SocketAddr::V4(addr) = entry.addr else {
                continue;
            };
            let state = match entry.state {
                "in_service" => 0,
                "terminating" => 1,
                _ => 2,
            };
            frame.extend_from_slice(&entry.id.to_be_bytes());
            frame.extend_from_slice(&addr.ip().octets());
            frame.extend_from_slice(&addr.port().to_be_bytes());
            frame.extend_from_slice(&[state, 0, 0, 0, 0]);
            frame.extend_from_slice(&1000u32.to_be_bytes());
            frame.extend_from_slice(&entry.started_ms.to_be_bytes());
            note(&format!(
                "coordinator: event {number}: s-{:08x} {} {}",
                entry.id, entry.addr, entry.state
            ));
        }
        frames.push(frame);
    }

    /// Says nothing more, or speaks again.
    pub fn set_silent(&self, silent: bool) {
        note(&format!(
            "coordinator: {}",
            if silent {
                "falls silent"
            } else {
                "speaks again"
            }
        ));
        self.inner.silent.store(silent, Ordering::SeqCst);
    }
}

impl CoordinatorInner {
    fn serve(&self, mut stream: TcpStream) {
        let mut number = [0; 8];
        if stream.read_exact(&mut number).is_err() {
            return;
        }
        let mut last = u64::from_be_bytes(number);
        note(&format!("coordinator: a watch after event {last}"));
        let mut next_empty = Instant::now();
        loop {
            if self.silent.load(Ordering::SeqCst) {
                pause(10);
                continue;
            }
            let frames = self.frames.lock().expect("the events").clone();
            for frame in frames.iter().skip(last.saturating_sub(1) as usize) {
                if stream.write_all(frame).is_err() {
                    return;
                }
                last += 1;
            }
            if Instant::now() >= next_empty {
                next_empty = Instant::now() + Duration::from_secs(1);
                let mut empty = vec![0, 0, 0, 9];
                empty.extend_from_slice(&last.to_be_bytes());
                empty.push(0);
                if stream.write_all(&empty).is_err() {
                    return;
                }
            }
            pause(10);
        }
    }
}

// ---------------------------------------------------------------- an engine of the ClickHouse interface

/// What an engine of the ClickHouse interface does with a statement.
#[derive(Clone, Debug)]
pub enum HttpPlan {
    /// It runs for this time, and answers with these rows.
    Rows { after_ms: u64, rows: String },
    /// It starts to run, and after this time answers with an error that is no refusal.
    Error { after_ms: u64 },
}

/// A stand-in engine of the ClickHouse HTTP interface. It notes each statement that it starts.
pub struct HttpEngine {
    pub name: String,
    pub addr: SocketAddr,
    started: Arc<Mutex<Vec<String>>>,
}

impl HttpEngine {
    /// `plan` gets the statement, and how many the engine has started before.
    pub fn start(
        name: &str,
        plan: impl Fn(&str, usize) -> HttpPlan + Send + Sync + 'static,
    ) -> HttpEngine {
        let listener = listen();
        let addr = listener.local_addr().expect("the engine's address");
        let started: Arc<Mutex<Vec<String>>> = Arc::default();
        let (accepting, plan) = (started.clone(), Arc::new(plan));
        let label = name.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (started, plan, label) = (accepting.clone(), plan.clone(), label.clone());
                thread::spawn(move || serve_http(stream, &label, &started, &*plan));
            }
        });
        HttpEngine {
            name: name.to_owned(),
            addr,
            started,
        }
    }

    /// The statements that it started, in order.
    pub fn started(&self) -> Vec<String> {
        self.started.lock().expect("the statements").clone()
    }
}

fn serve_http(
    mut stream: TcpStream,
    name: &str,
    started: &Mutex<Vec<String>>,
    plan: &dyn Fn(&str, usize) -> HttpPlan,
) {
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    loop {
        let head_end = loop {
            if let Some(end) = input.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end + 4;
            }
            if !read_more(&mut stream, &mut input) {
                return;
            }
        };
        let head = String::from_utf8_lossy(&input[..head_end]).into_owned();
        input.drain(..head_end);
        let length: usize = between(&head.to_ascii_lowercase(), "content-length: ", "\r\n")
            .and_then(|length| length.trim().parse().ok())
            .unwrap_or(0);
        while input.len() < length {
            if !read_more(&mut stream, &mut input) {
                return;
            }
        }
        let body: Vec<u8> = input.drain(..length).collect();
        let statement = String::from_utf8_lossy(&body).into_owned();
        let response = if head.starts_with("GET /ping") {
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nOk.\n".to_owned()
        } else {
            let mut list = started.lock().expect("the statements");
            let before = list.len();
            list.push(statement.clone());
            drop(list);
            note(&format!("{name}: starts {statement:?}"));
            match plan(&statement, before) {
                HttpPlan::Rows { after_ms, rows } => {
                    pause(after_ms);
                    note(&format!("{name}: has run it, answers 200"));
                    format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/tab-separated-values\r\nContent-Length: {}\r\n\r\n{rows}",
                        rows.len()
                    )
                }
                HttpPlan::Error { after_ms } => {
                    pause(after_ms);
                    let text = "Code: 159. DB::Exception: Timeout exceeded. (TIMEOUT_EXCEEDED)\n";
                    note(&format!("{name}: answers 500 after the start"));
                    format!(
                        "HTTP/1.1 500 Internal Server Error\r\nX-ClickHouse-Exception-Code: 159\r\nContent-Length: {}\r\n\r\n{text}",
                        text.len()
                    )
                }
            }
        };
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// The operators' file of the ClickHouse frontend, with the class rules of `deploy/clickhouse.toml`.
pub fn clickhouse_file(listen: SocketAddr, engines: &[(u32, SocketAddr)], rest: &str) -> String {
    let engines: String = engines
        .iter()
        .map(|(id, addr)| {
            format!(
                "[[engine]]\nid = \"s-{id:08x}\"\naddr = \"{addr}\"\nzone = \"ground-floor\"\nkind = \"std-8core\"\n"
            )
        })
        .collect();
    format!(
        "listen = \"{listen}\"\nusual_class = \"lookup\"\n{engines}\
         [[class]]\nname = \"load\"\nbegins = [\"insert\", \"create\", \"alter\", \"drop\", \"truncate\", \"optimize\", \"delete\", \"update\"]\n\
         [[class]]\nname = \"report\"\nholds = [\"join\", \"group\", \"window\"]\n\
         [[user]]\nname = \"area-cable\"\nkey = \"change-me\"\ntenant = \"channel-desk\"\n{rest}"
    )
}

/// A statement as a client of the ClickHouse interface sends it.
pub fn http_query(parameters: &str, statement: &str) -> String {
    format!(
        "POST /?{parameters} HTTP/1.1\r\nHost: manager\r\nX-ClickHouse-User: area-cable\r\nX-ClickHouse-Key: change-me\r\nContent-Length: {}\r\n\r\n{statement}",
        statement.len()
    )
}
