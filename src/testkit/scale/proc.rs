//! What the system tells of a process under `/proc`: memory, processor time, context switches,
//! descriptors.
use serde::Serialize;
use std::fs;
use std::io;

/// Clock ticks a second in `/proc/PID/stat`: the same on all machines that Linux runs on today.
pub const TICKS_PER_S: u64 = 100;

/// What a process has used since its start, and what it holds now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Resident memory (VmRSS), in KiB.
    pub rss_kib: u64,
    /// The anonymous part of it (RssAnon), in KiB.
    pub anon_kib: u64,
    /// Processor time in user and system mode, in clock ticks.
    pub cpu_ticks: u64,
    /// Processor time of the threads there are, in nanoseconds.
    pub cpu_ns: u64,
    /// Voluntary context switches of the threads there are.
    pub switches: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// A figure of a file that has one a line, as `name: 12 kB`.
pub fn field(text: &str, name: &str) -> Option<u64> {
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(':'))?;
    line.split_whitespace().next()?.parse().ok()
}

/// The state letter and the processor time in ticks that `/proc/PID/stat` tells. The name in it may
/// hold anything.
pub fn stat(text: &str) -> Option<(char, u64)> {
    let rest: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let time = |at: usize| rest.get(at)?.parse::<u64>().ok();
    Some((rest.first()?.chars().next()?, time(11)? + time(12)?))
}

fn missing(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("no {what} under /proc"))
}

/// Reads what a process uses. One that has ended and was not waited for yet is an error, too.
pub fn usage(pid: u32) -> io::Result<Usage> {
    let file = |name: &str| fs::read_to_string(format!("/proc/{pid}/{name}"));
    let (state, cpu_ticks) = stat(&file("stat")?).ok_or_else(|| missing("stat"))?;
    if matches!(state, 'Z' | 'X') {
        return Err(io::Error::new(
            io::ErrorKind::NotFound,
            "the process has ended",
        ));
    }
    let status = file("status")?;
    let memory = |name| field(&status, name).ok_or_else(|| missing(name));
    let mut usage = Usage {
        rss_kib: memory("VmRSS")?,
        anon_kib: memory("RssAnon")?,
        cpu_ticks,
        ..Usage::default()
    };
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = thread?.path();
        // A thread may end between the two.
        let Ok(times) = fs::read_to_string(path.join("schedstat")) else {
            continue;
        };
        let Ok(status) = fs::read_to_string(path.join("status")) else {
            continue;
        };
        usage.cpu_ns += times
            .split(' ')
            .next()
            .and_then(|t| t.parse::<u64>().ok())
            .unwrap_or(0);
        usage.switches += field(&status, "voluntary_ctxt_switches").unwrap_or(0);
    }
    usage.descriptors = fs::read_dir(format!("/proc/{pid}/fd"))?.count() as u64;
    Ok(usage)
}

/// Whether a process runs: one that has ended and was not waited for yet does not.
pub fn runs(pid: u32) -> bool {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat(&text).is_some_and(|(state, _)| !matches!(state, 'Z' | 'X'))
}

/// Memory that can be had without swapping, in MiB.
pub fn available_mib() -> u64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    field(&text, "MemAvailable").unwrap_or(0) / 1024
}
