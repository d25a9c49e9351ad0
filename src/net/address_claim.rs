//! Address claims: publish to other processes on this machine which manager listens at a client
//! address.
//!
//! SO_REUSEPORT lets the successor of a manager listen beside its predecessor, but it also admits
//! any other process of the same user. Each process therefore publishes a claim before it binds: an
//! abstract Unix socket whose name contains the address, the process id and the manager. The system
//! removes the name when the process ends, in whichever way, and lists all names in
//! `/proc/net/unix`, so a claim can be read even while its holder is stopped. Nothing connects to
//! the socket.
use super::hot_restart::file_name_component;
use rustix::net::{AddressFamily, SocketAddrUnix, SocketFlags, SocketType};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// Lists the names of all Unix sockets of this network namespace; abstract ones begin with `@`.
const UNIX_SOCKETS_FILE: &str = "/proc/net/unix";
/// The first part of the name of each claim.
const PREFIX: &str = "yokelift-claim";
/// Separates the parts of a name; occurs in none of them.
const SEPARATOR: char = '/';
/// Placeholder in the name of a claim for the state folder of a manager without one.
const NO_FOLDER: &str = "-";
/// Length, in bytes, to which a claim shortens the manager's name. Names are compared by the hash
/// of the whole name.
const MAX_SHOWN_NAME_BYTES: usize = 24;

/// Identifies a manager: all its processes have the same name and state folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManagerIdentity {
    name: String,
    name_hash: u64,
    /// Hash of the state folder's device and inode; `None` if there is no such folder.
    folder: Option<u64>,
}

impl ManagerIdentity {
    /// The identity of the manager of that name with that state folder.
    pub fn new(name: &str, state_folder: Option<&Path>) -> ManagerIdentity {
        let folder = state_folder.and_then(|folder| std::fs::metadata(folder).ok());
        let folder = folder.filter(std::fs::Metadata::is_dir);
        let mut short_name = file_name_component(name);
        short_name.truncate(MAX_SHOWN_NAME_BYTES);
        ManagerIdentity {
            name: short_name,
            name_hash: xxh3_64(name.as_bytes()),
            folder: folder
                .map(|folder| xxh3_64(format!("{}:{}", folder.dev(), folder.ino()).as_bytes())),
        }
    }

    /// Whether both may identify the same manager: their names are equal, and so are their state
    /// folders if both have one.
    fn may_be_same(&self, other: &ManagerIdentity) -> bool {
        let same_folder = match (self.folder, other.folder) {
            (Some(one), Some(other)) => one == other,
            _ => true,
        };
        self.name_hash == other.name_hash && same_folder
    }
}

/// A process that claims an address.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Claimant {
    process: u32,
    manager: ManagerIdentity,
}

impl Claimant {
    fn socket_name(&self, address: SocketAddr) -> String {
        let folder = self.manager.folder.map(|hash| format!("{hash:016x}"));
        let process = self.process.to_string();
        let hash = format!("{:016x}", self.manager.name_hash);
        [
            PREFIX,
            &address.to_string(),
            &process,
            folder.as_deref().unwrap_or(NO_FOLDER),
            &hash,
            &self.manager.name,
        ]
        .join(&SEPARATOR.to_string())
    }

    /// Parses the name of a socket; `None` if it is not a claim of this address.
    fn parse(socket_name: &str, address: SocketAddr) -> Option<Claimant> {
        let mut parts = socket_name.split(SEPARATOR);
        let is_claim = parts.next()? == PREFIX && parts.next()? == address.to_string();
        if !is_claim {
            return None;
        }
        let process = parts.next()?.parse().ok()?;
        let folder = match parts.next()? {
            NO_FOLDER => None,
            hash => Some(u64::from_str_radix(hash, 16).ok()?),
        };
        let name_hash = u64::from_str_radix(parts.next()?, 16).ok()?;
        let manager = ManagerIdentity {
            name: parts.next()?.to_owned(),
            name_hash,
            folder,
        };
        Some(Claimant { process, manager })
    }
}

/// A published claim, which is withdrawn on drop.
#[derive(Debug)]
pub struct AddressClaim {
    _socket: OwnedFd,
}

impl AddressClaim {
    /// Publishes that this process, which belongs to `manager`, listens at the address or is about
    /// to.
    ///
    /// # Errors
    /// Errors of the system calls.
    pub fn publish(
        address: SocketAddr,
        manager: &ManagerIdentity,
    ) -> rustix::io::Result<AddressClaim> {
        let claimant = Claimant {
            process: std::process::id(),
            manager: manager.clone(),
        };
        let socket = bind_abstract_name(&claimant.socket_name(address))?;
        Ok(AddressClaim { _socket: socket })
    }
}

/// Binds an abstract Unix socket, whose name [`claimed_names`] lists until the socket is closed.
///
/// # Errors
/// Errors of the system calls.
pub(super) fn bind_abstract_name(name: &str) -> rustix::io::Result<OwnedFd> {
    let name = SocketAddrUnix::new_abstract_name(name.as_bytes())?;
    let socket = rustix::net::socket_with(
        AddressFamily::UNIX,
        SocketType::DGRAM,
        SocketFlags::CLOEXEC,
        None,
    )?;
    rustix::net::bind(&socket, &name)?;
    Ok(socket)
}

/// The names of all abstract Unix sockets of this network namespace; none if they can't be read.
pub(super) fn claimed_names() -> Vec<String> {
    let unix_sockets = std::fs::read_to_string(UNIX_SOCKETS_FILE).unwrap_or_default();
    abstract_names(&unix_sockets).map(str::to_owned).collect()
}

/// The names of abstract sockets in the lines of [`UNIX_SOCKETS_FILE`].
fn abstract_names(unix_sockets: &str) -> impl Iterator<Item = &str> {
    unix_sockets
        .lines()
        .filter_map(|line| line.split_ascii_whitespace().last()?.strip_prefix('@'))
}

/// The process that holds an address that is in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AddressHolder {
    /// A process of the same manager, judged by name and state folder.
    SameManager {
        /// The process id.
        process: u32,
    },
    /// A process of another manager.
    OtherManager {
        /// The process id.
        process: u32,
        /// The manager's name, shortened.
        name: String,
    },
    /// A process without a claim: an older build, or another program.
    Unknown,
}

/// Returns which other process holds this address. A process of another manager takes precedence
/// over one of the same manager.
pub fn address_holder(address: SocketAddr, manager: &ManagerIdentity) -> AddressHolder {
    let unix_sockets = std::fs::read_to_string(UNIX_SOCKETS_FILE).unwrap_or_default();
    holder_among(&unix_sockets, address, manager, std::process::id())
}

/// Finds the holder in the lines of [`UNIX_SOCKETS_FILE`].
fn holder_among(
    unix_sockets: &str,
    address: SocketAddr,
    manager: &ManagerIdentity,
    own_process: u32,
) -> AddressHolder {
    let claimants = abstract_names(unix_sockets)
        .filter_map(|name| Claimant::parse(name, address))
        .filter(|claimant| claimant.process != own_process);
    let mut holder = AddressHolder::Unknown;
    for Claimant {
        process,
        manager: claimed_by,
    } in claimants
    {
        if !claimed_by.may_be_same(manager) {
            return AddressHolder::OtherManager {
                process,
                name: claimed_by.name,
            };
        }
        holder = AddressHolder::SameManager { process };
    }
    holder
}

#[cfg(test)]
#[path = "../../tests/unit/net_address_claim.rs"]
mod tests;
