//! Reads the resource use of processes under `/proc`: memory, processor time, context switches,
//! descriptors, and datagrams dropped by sockets.
use serde::Serialize;
use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Indices of the user and system time, in clock ticks, among the fields of `/proc/PID/stat` that
/// follow the process's name.
const STAT_TIME_FIELDS: [usize; 2] = [11, 12];

/// The resources that a process has used since its start and those that it holds now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Resident memory (VmRSS), in KiB.
    pub rss_kib: u64,
    /// Anonymous part of the resident memory (RssAnon), in KiB.
    pub anon_kib: u64,
    /// Processor time in user and system mode, in clock ticks.
    pub cpu_ticks: u64,
    /// Processor time of the threads that exist now, in nanoseconds.
    pub cpu_ns: u64,
    /// Voluntary context switches of the threads that exist now.
    pub switches: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Returns the number in a line such as `name: 12 kB`.
pub fn field(text: &str, name: &str) -> Option<u64> {
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    value.split_whitespace().next()?.parse().ok()
}

/// Returns the state letter and the processor time in clock ticks from the text of
/// `/proc/PID/stat`. The process's name in that text may contain any characters.
pub fn stat(text: &str) -> Option<(char, u64)> {
    let after_name: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let state = after_name.first()?.chars().next()?;
    let [user, system] = STAT_TIME_FIELDS;
    let ticks = |field: usize| after_name.get(field)?.parse::<u64>().ok();
    Some((state, ticks(user)? + ticks(system)?))
}

/// Returns whether a process in this state has ended: it is a zombie or dead.
fn has_ended(state: char) -> bool {
    matches!(state, 'Z' | 'X')
}

fn missing(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("no {what} under /proc"))
}

/// Reads the resource use of a process. Returns an error if the process has ended, even if its
/// parent has not waited for it yet.
pub fn usage(pid: u32) -> io::Result<Usage> {
    let read = |name: &str| fs::read_to_string(format!("/proc/{pid}/{name}"));
    let (state, cpu_ticks) = stat(&read("stat")?).ok_or_else(|| missing("stat"))?;
    if has_ended(state) {
        return Err(io::Error::new(
            io::ErrorKind::NotFound,
            "the process has ended",
        ));
    }
    let status = read("status")?;
    let memory_kib = |name| field(&status, name).ok_or_else(|| missing(name));
    let mut usage = Usage {
        rss_kib: memory_kib("VmRSS")?,
        anon_kib: memory_kib("RssAnon")?,
        cpu_ticks,
        ..Usage::default()
    };
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = thread?.path();
        // A thread may end between the two reads.
        let Ok(schedstat) = fs::read_to_string(path.join("schedstat")) else {
            continue;
        };
        let Ok(status) = fs::read_to_string(path.join("status")) else {
            continue;
        };
        usage.cpu_ns += processor_ns(&schedstat).unwrap_or(0);
        usage.switches += field(&status, "voluntary_ctxt_switches").unwrap_or(0);
    }
    usage.descriptors = fs::read_dir(format!("/proc/{pid}/fd"))?.count() as u64;
    Ok(usage)
}

/// Returns the processor time from a thread's `schedstat`, in nanoseconds.
fn processor_ns(schedstat: &str) -> Option<u64> {
    schedstat.split_whitespace().next()?.parse().ok()
}

/// Returns whether a process is running. A zombie is not running.
pub fn is_running(pid: u32) -> bool {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat(&text).is_some_and(|(state, _)| !has_ended(state))
}

/// Returns the memory that is available without swapping, in MiB.
pub fn available_memory_mib() -> u64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    field(&text, "MemAvailable").unwrap_or(0) / 1024
}

/// Returns the soft limit on open descriptors of this process.
pub fn descriptor_limit() -> u64 {
    rustix::process::getrlimit(rustix::process::Resource::Nofile)
        .current
        .unwrap_or(u64::MAX)
}

/// Returns the resident memory of this process, in KiB.
pub fn own_resident_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    field(&text, "VmRSS").unwrap_or(0)
}

/// Returns the processor time of all threads that this process has now.
pub fn own_processor_time() -> Duration {
    let threads = fs::read_dir("/proc/self/task");
    let times_ns = threads
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|thread| {
            let schedstat = fs::read_to_string(thread.path().join("schedstat")).ok()?;
            processor_ns(&schedstat)
        });
    Duration::from_nanos(times_ns.sum())
}

/// Returns the number of datagrams that the sockets at these IPv4 addresses dropped because their
/// receive buffers were full.
pub fn dropped_datagrams(addresses: &[SocketAddr]) -> u64 {
    let text = fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let addresses: BTreeSet<String> = addresses.iter().filter_map(udp_table_address).collect();
    let drops = text.lines().skip(1).filter_map(|line| {
        let mut columns = line.split_whitespace();
        let local_address = columns.nth(1)?;
        if !addresses.contains(local_address) {
            return None;
        }
        columns.last()?.parse::<u64>().ok()
    });
    drops.sum()
}

/// Formats an address as `/proc/net/udp` does.
fn udp_table_address(address: &SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
