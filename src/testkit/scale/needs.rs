//! What a run needs of the machine, and what the machine gives: asked up front, and read from
//! `/proc` while it runs.
use super::fleet::Plan;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Descriptors of the process itself: its reactor, its output, what the folder takes for moments.
const OWN_SOCKETS: u64 = 64;
/// A run takes this much memory at most, whatever there is, in megabytes.
const MOST_MB: u64 = 12 * 1024;
/// What a manager takes by itself and for each other manager that it knows, in kilobytes.
const MANAGER_KB: u64 = 400;
/// That.
const MEMBER_KB: u64 = 2;

/// What a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Needs {
    /// Descriptors: two a manager, as its socket is held over its lives.
    pub descriptors: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
}

impl Needs {
    /// Of a plan.
    pub fn of(plan: &Plan) -> Needs {
        let managers = plan.managers as u64;
        let memory_kb = managers * (MANAGER_KB + managers * MEMBER_KB);
        Needs {
            descriptors: 2 * managers + OWN_SOCKETS,
            memory_mb: 32 + memory_kb / 1024,
        }
    }

    /// Whether there is so much: the refusal, if not.
    pub fn check(&self, descriptors: u64, available_mb: u64) -> Result<(), String> {
        if self.descriptors > descriptors {
            return Err(format!(
                "needs {} descriptors, and there are {descriptors} (RLIMIT_NOFILE)",
                self.descriptors
            ));
        }
        let memory_mb = available_mb.min(MOST_MB);
        if self.memory_mb > memory_mb {
            return Err(format!(
                "needs {} MB of memory, and there are {memory_mb} MB (MemAvailable, {MOST_MB} MB at most)",
                self.memory_mb
            ));
        }
        Ok(())
    }
}

/// Descriptors that this process may have.
pub fn descriptors() -> u64 {
    rustix::process::getrlimit(rustix::process::Resource::Nofile)
        .current
        .unwrap_or(u64::MAX)
}

/// A line of a file of `/proc` that gives kilobytes; 0 if there is none.
fn kilobytes(file: &str, name: &str) -> u64 {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Memory that is free to be used, in megabytes.
pub fn available_mb() -> u64 {
    kilobytes("/proc/meminfo", "MemAvailable:") / 1024
}

/// Memory that this process has, in kilobytes.
pub fn resident_kb() -> u64 {
    kilobytes("/proc/self/status", "VmRSS:")
}

/// Processor time of all threads that this process has now.
pub fn processor() -> Duration {
    let tasks = std::fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let time = tasks.filter_map(|task| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(time.sum())
}

/// Datagrams that the sockets at these addresses lost for want of room.
pub fn lost(homes: &[SocketAddr]) -> u64 {
    let text = std::fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let homes: BTreeSet<String> = homes.iter().filter_map(listed).collect();
    let drops = text.lines().skip(1).filter_map(|line| {
        let mut words = line.split_whitespace();
        homes.contains(words.nth(1)?).then_some(())?;
        words.last()?.parse::<u64>().ok()
    });
    drops.sum()
}

/// An address as that file has it.
fn listed(at: &SocketAddr) -> Option<String> {
    let SocketAddr::V4(at) = at else { return None };
    Some(format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(at.ip().octets()),
        at.port()
    ))
}
