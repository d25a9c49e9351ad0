//! Claims on listening sockets: publish to the other processes of a hot restart that this process
//! accepts from a listener that several of them hold.
//!
//! A process is connected only to its predecessor and its successors. In a chain of three whose middle
//! process has ended, the outer two do not know of each other, but they still share the listeners. A
//! claim is an abstract Unix socket whose name contains the listener's inode, which is the same in all
//! processes that were passed its descriptor, and the process id. The system removes the name when the
//! process ends, and lists all names in `/proc/net/unix`. Nothing connects to the socket.
use crate::net::address_claim::{bind_abstract_name, claimed_names};
use rustix::fd::OwnedFd;
use std::io;
use std::os::fd::AsFd;

/// The first part of the name of each claim.
const PREFIX: &str = "yokelift-accepts";

/// A published claim, which is withdrawn on drop.
#[derive(Debug)]
pub(super) struct AcceptClaim {
    _socket: OwnedFd,
}

impl AcceptClaim {
    /// Publishes that this process accepts from the listener.
    ///
    /// # Errors
    /// Errors of the system calls.
    pub(super) fn publish(listener: impl AsFd) -> io::Result<AcceptClaim> {
        let name = claim_name(inode(listener)?, std::process::id());
        let socket = bind_abstract_name(&name)?;
        Ok(AcceptClaim { _socket: socket })
    }
}

/// Whether another process claims that it accepts from the listener.
pub(super) fn is_accepted_elsewhere(listener: impl AsFd) -> bool {
    let Ok(inode) = inode(listener) else {
        return false;
    };
    is_claimed_by_another(&claimed_names(), inode, std::process::id())
}

/// Whether one of the names is a claim of another process on the listener with this inode.
fn is_claimed_by_another(names: &[String], inode: u64, own_process: u32) -> bool {
    let own_name = claim_name(inode, own_process);
    let prefix = format!("{PREFIX}/{inode}/");
    names
        .iter()
        .any(|name| name.starts_with(&prefix) && *name != own_name)
}

fn claim_name(inode: u64, process: u32) -> String {
    format!("{PREFIX}/{inode}/{process}")
}

fn inode(listener: impl AsFd) -> io::Result<u64> {
    Ok(rustix::fs::fstat(listener)?.st_ino)
}

#[cfg(test)]
#[path = "../../../tests/unit/net_client_accept_claim.rs"]
mod tests;
