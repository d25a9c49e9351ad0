//! What the cases share: the daemon's processes, its configuration, a quiet coordinator, a log.
#![allow(dead_code)]
use std::fs::{self, File};
use std::io::{BufRead, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record of a run. Lines start with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| broken(&format!("record: {error}")));
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// The processes that were started and have not been waited for, and the folders to remove.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends the process with 2, and all processes that it started: the case could not run.
pub fn broken(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    for pid in CHILDREN.lock().unwrap().iter() {
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -KILL {pid}")])
            .status();
    }
    for folder in FOLDERS.lock().unwrap().iter() {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(2)
}

/// Ends a run that takes too long.
pub fn limit_duration() {
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(115));
        broken("it took too long")
    });
}

/// Whether the run has the disruption: all but those with TROUBLE=0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A loopback address that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener =
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|e| broken(&e.to_string()));
    listener.local_addr().unwrap()
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("yokelift-review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|e| broken(&e.to_string()));
        FOLDERS.lock().unwrap().push(path.clone());
        Folder(path)
    }

    pub fn put(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap_or_else(|e| broken(&e.to_string()));
        path
    }
}

impl Folder {
    /// Prints the logs in it, for a case that could not run.
    pub fn print_logs(&self) {
        for entry in fs::read_dir(&self.0).into_iter().flatten().flatten() {
            let name = entry.file_name().into_string().unwrap_or_default();
            if name.starts_with("log") {
                eprintln!(
                    "{name}: {}",
                    fs::read_to_string(entry.path()).unwrap_or_default()
                );
            }
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A child process, which is killed when this is dropped.
pub struct Process {
    pub child: Child,
    pub name: String,
}

impl Process {
    pub fn start(name: &str, command: &mut Command) -> Process {
        let child = command.stdin(Stdio::null()).spawn();
        let child = child.unwrap_or_else(|error| broken(&format!("{name}: {error}")));
        CHILDREN.lock().unwrap().push(child.id());
        Process {
            child,
            name: name.to_owned(),
        }
    }

    /// Sends a signal by its name, for example `STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{signal} {pid}")])
            .status();
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN
            .lock()
            .unwrap()
            .retain(|pid| *pid != self.child.id());
    }
}

/// Builds the command of the deploy file's `run`, from the root of the repository. The shell is
/// replaced by the program (`exec`), so a signal to the child reaches the daemon.
pub fn daemon_command(arguments: &[&Path], folder: &Folder, log: &str) -> Command {
    let deploy =
        fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| broken(&e.to_string()));
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    let run = run.unwrap_or_else(|| broken("deploy/balancer.toml has no run"));
    let mut shell = run.to_owned();
    for argument in arguments {
        shell += &format!(" '{}'", argument.display());
    }
    let log = File::create(folder.0.join(log)).unwrap_or_else(|e| broken(&e.to_string()));
    let mut command = Command::new("/bin/sh");
    command
        .arg("-c")
        .arg(shell)
        .env("TMPDIR", &folder.0)
        .stdout(Stdio::null())
        .stderr(log);
    command
}

/// The settings: like those of `gulberg-main`, with engines of four cores.
pub const SETTINGS: &str = r#"{
"me":0,"peers_total":3,"az":0,"zones":["ground-floor"],"quantum_ns":5000000,"kinds":["std-4core"],
"layer":0,"layers":["query-fleet"],"workload":"queries","value_by":"request","weights":"silent","discovery":"push",
"classes":[
{"name":"lookup","promise_ns":1200000000,"aim_stretch":1.5,"semantics":"pure","dedup_scope":"all","window_ns":5000000000,"deadline_ns":6000000000,"worth":1.0,"late_worth":0.1,"stream":false},
{"name":"report","promise_ns":2000000000,"aim_stretch":2.5,"semantics":"pure","dedup_scope":"all","window_ns":5000000000,"deadline_ns":15000000000,"worth":2.5,"late_worth":0.3,"stream":false},
{"name":"load","promise_ns":4000000000,"aim_stretch":2.5,"semantics":"side_effect","dedup_scope":"all","window_ns":5000000000,"deadline_ns":25000000000,"worth":6.0,"late_worth":0.5,"stream":false}],
"orgs":[{"name":"billing-desk","quota_rps":630.0,"share":0.62},{"name":"channel-desk","quota_rps":390.0,"share":0.38}],
"over_share_worth":0.05,"client_habits":{"marks_retry":false},
"load_info":{"fields":["backlog","utilization"],"how":"pull"},
"extra":{"class_threads":[1,3,2],"cores_by_kind":[4],"loads":[false,false,true],"blocked_by_loads":[true,false,false],
"takes_grants":true,"most_grant":0.4,"out_of_memory":"wait","ram_of_kind_mb":[8192.0],"note_period_ns":0,"ranks_heeded":false,"says_cost":false},
"goal":{"whole":0.35,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.35},
"invariants":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"drain_grace_ns":250000000,"cold_from":0.32,"warm_within_ns":15000000000,"fall_multiple":3.0,"fall_ns":2000000000},
"limits":{"send_cap":3,"may_cancel":true,"probing":true,"peers":false,"retry_after":false,"max_retry_after_ns":2000000000,"second_copies":false,
"connect_timeout_ns":250000000,"keepalive_ns":15000000000,"max_streams":32,"max_open":20000,"cpu_us_per_request":0.0,"cpu_us_per_s":500000},
"prices":{"connection":0.0,"cross_zone":0.01,"discovery":0.0,"handshake":0.0,"late_fail":0.11,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0097,"waste":0.08}}"#;

/// The configuration file. `servers` are engines of the platform's protocol, ids from 1.
pub fn configuration(
    listen: SocketAddr,
    coordinator: SocketAddr,
    servers: &[SocketAddr],
) -> String {
    let servers: Vec<String> = (1..).zip(servers).map(|(id, addr)| format!(
        r#"{{"id":"s-{id:08x}","addr":"{addr}","zone":"ground-floor","kind":"std-4core","cell":0,"state":"in_service","weight":1,"started_ms":0}}"#
    )).collect();
    let servers = servers.join(",");
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"coordinator":"{coordinator}","known":{{"index":1,"updates":[{{"index":1,"endpoints":{{"version":1,"full":true,"servers":[{servers}]}}}}]}},
"settings":{SETTINGS}}}"#
    )
}

/// A coordinator without news: an empty frame each second.
pub fn start_coordinator() -> SocketAddr {
    let listener =
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|e| broken(&e.to_string()));
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut stream: TcpStream = stream;
                let mut last = [0; 8];
                if stream.read_exact(&mut last).is_err() {
                    return;
                }
                loop {
                    let mut frame = vec![0, 0, 0, 9];
                    frame.extend_from_slice(&last);
                    frame.push(0);
                    if stream.write_all(&frame).is_err() {
                        return;
                    }
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
    });
    addr
}

/// Waits until `status` on the platform's frontend answers with `"green":true`.
pub fn wait_until_green(listen: SocketAddr, process: &mut Process, folder: &Folder) {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end && !process.has_exited() {
        if let Ok(mut stream) = TcpStream::connect(listen) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n");
            let mut answer = [0; 512];
            let count = stream.read(&mut answer).unwrap_or(0);
            if String::from_utf8_lossy(&answer[..count]).contains("\"green\":true") {
                return;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    folder.print_logs();
    broken("the daemon did not become ready");
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(BASE64[(word >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Waits until `GET /ready` at this address answers with 200.
pub fn wait_until_ready(console: SocketAddr, process: &mut Process) {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end && !process.has_exited() {
        if let Ok(mut stream) = TcpStream::connect(console) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: m\r\n\r\n");
            let mut answer = String::new();
            let _ = stream.read_to_string(&mut answer);
            if answer.starts_with("HTTP/1.1 200") {
                return;
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    broken(&format!("{} did not become ready", process.name));
}

/// How long a stand-in engine works on a statement: that of the class in `works`.
pub type Works = &'static [(&'static str, Duration)];

/// A stand-in engine of the platform's protocol, on threads of this process.
pub fn start_platform_engine(record: &Record, works: Works) -> SocketAddr {
    let listener =
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|e| broken(&e.to_string()));
    let addr = listener.local_addr().unwrap();
    let record = record.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || serve_platform(stream, addr, &record, works));
        }
    });
    addr
}

fn serve_platform(
    stream: TcpStream,
    addr: SocketAddr,
    record: &Record,
    works: Works,
) -> Option<()> {
    use std::collections::BTreeSet;
    use std::io::BufReader;
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let output = Arc::new(Mutex::new(stream));
    let open = Arc::new(Mutex::new(BTreeSet::new()));
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            for id in std::mem::take(&mut *open.lock().unwrap()) {
                record.line(&format!(
                    "engine {addr}: the connection ended, {id} is given up"
                ));
            }
            return None;
        }
        let words: Vec<String> = line.trim_end().split(' ').map(str::to_owned).collect();
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        match words[..] {
            ["do", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                reader.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
                let statement = String::from_utf8_lossy(&body).into_owned();
                record.line(&format!("engine {addr} runs {id} {fields}: {statement}"));
                let class = fields
                    .split(',')
                    .find_map(|field| field.strip_prefix("cls="))
                    .unwrap_or_default();
                let work = works
                    .iter()
                    .find(|(name, _)| *name == class)
                    .map_or(Duration::ZERO, |(_, work)| *work);
                open.lock().unwrap().insert(id.to_owned());
                let (id, open, output, record) =
                    (id.to_owned(), open.clone(), output.clone(), record.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(work);
                    if open.lock().unwrap().remove(&id) {
                        let page = format!("{id}\t{addr}\t0\n");
                        record.line(&format!("engine {addr} has done {id}"));
                        let answer = format!("{id} DONE sheets=1 {}\r\n{page}\r\n", page.len());
                        let _ = output.lock().unwrap().write_all(answer.as_bytes());
                    }
                });
            }
            ["undo", id] => {
                if open.lock().unwrap().remove(id) {
                    record.line(&format!("engine {addr}: {id} is given up"));
                }
            }
            ["ping" | "top", tag] => {
                let answer = format!("{tag} FIT meter=queue:0;util:0.1 0\r\n\r\n");
                let _ = output.lock().unwrap().write_all(answer.as_bytes());
            }
            ["page", id, _] => {
                let answer = format!("{id} BROKE - 0\r\n\r\n");
                let _ = output.lock().unwrap().write_all(answer.as_bytes());
            }
            ["bump", ..] | ["forget", ..] => {}
            _ => return None,
        }
    }
}

/// One request of the platform's client protocol, as a line.
pub fn request(
    tag: u64,
    class: &str,
    id: &str,
    wait_ms: u64,
    cost: u32,
    statement: &str,
) -> String {
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{tag},\"method\":\"{class}\",\"params\":{{\"id\":\"{id}\",\"wait\":{wait_ms},\"tenant\":\"billing-desk\",\"cost\":{cost},\"kb\":64,\"arg\":\"{}\"}}}}\n",
        base64(statement.as_bytes())
    )
}

/// Reads one HTTP message: its head in lower case, the first line as sent, and its body.
pub fn read_message(reader: &mut impl BufRead) -> Option<(String, String, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head += &line.to_ascii_lowercase();
    }
    let mut body = Vec::new();
    if head.contains("transfer-encoding: chunked") {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
    {
        body = vec![0; length.trim().parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    }
    Some((first.trim().to_owned(), head, body))
}
