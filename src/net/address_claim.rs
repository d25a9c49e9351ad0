//! Claims: which manager listens at a client address, for other processes on this machine.
//!
//! SO_REUSEPORT lets the next version of a manager listen beside the present one; it lets in any other
//! process of the same user too. So each process publishes a claim before it binds: an abstract Unix
//! socket whose name holds the address, the process and the manager. The system removes the name with
//! the process, however that ends, and lists all names in `/proc/net/unix`: a claim can be read while its
//! holder is stopped. Nobody connects to the socket.
use super::hot_restart::file_name_component;
use rustix::net::{AddressFamily, SocketAddrUnix, SocketFlags, SocketType};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use xxhash_rust::xxh3::xxh3_64;

/// Lists the names of all Unix sockets of this network namespace; abstract ones begin with `@`.
const NAMES_FILE: &str = "/proc/net/unix";
/// The first part of the name of each claim.
const PREFIX: &str = "yokelift-claim";
/// Separates the parts of a name; occurs in none of them.
const SEPARATOR: char = '/';
/// Stands for a manager without a state folder.
const NO_FOLDER: &str = "-";
/// Bytes of the manager's name that are shown; the whole name is compared by its hash.
const MAX_SHOWN_NAME_BYTES: usize = 24;

/// What tells managers apart: processes of one manager have the same name and state folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManagerIdentity {
    name: String,
    name_hash: u64,
    /// A hash that identifies the state folder; `None` without a usable one.
    folder: Option<u64>,
}

impl ManagerIdentity {
    /// The identity of the manager of that name with that state folder.
    pub fn new(name: &str, state_folder: Option<&Path>) -> ManagerIdentity {
        let folder = state_folder.and_then(|folder| std::fs::metadata(folder).ok());
        let folder = folder.filter(std::fs::Metadata::is_dir);
        let mut shown = file_name_component(name);
        shown.truncate(MAX_SHOWN_NAME_BYTES);
        ManagerIdentity {
            name: shown,
            name_hash: xxh3_64(name.as_bytes()),
            folder: folder
                .map(|folder| xxh3_64(format!("{}:{}", folder.dev(), folder.ino()).as_bytes())),
        }
    }

    /// Whether both may be processes of one manager: by their names, and by their state folders where
    /// both have one.
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

    /// The claimant of this address, if this is the name of such a socket.
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

/// A published claim. It ends when this is dropped.
#[derive(Debug)]
pub struct AddressClaim {
    _socket: OwnedFd,
}

impl AddressClaim {
    /// Publishes that this process of that manager listens at the address, or is about to.
    ///
    /// # Errors
    /// Those of the system.
    pub fn publish(
        address: SocketAddr,
        manager: &ManagerIdentity,
    ) -> rustix::io::Result<AddressClaim> {
        let claimant = Claimant {
            process: std::process::id(),
            manager: manager.clone(),
        };
        let name = SocketAddrUnix::new_abstract_name(claimant.socket_name(address).as_bytes())?;
        let socket = rustix::net::socket_with(
            AddressFamily::UNIX,
            SocketType::DGRAM,
            SocketFlags::CLOEXEC,
            None,
        )?;
        rustix::net::bind(&socket, &name)?;
        Ok(AddressClaim { _socket: socket })
    }
}

/// Who holds an address that is in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AddressHolder {
    /// A process of the same manager, as far as can be told.
    SameManager {
        /// The process.
        process: u32,
    },
    /// A process of another manager.
    OtherManager {
        /// The process.
        process: u32,
        /// The manager's name, shortened.
        name: String,
    },
    /// A process without a claim: an older build, or another program.
    Unknown,
}

/// Who holds this address besides this process; another manager comes first.
pub fn address_holder(address: SocketAddr, manager: &ManagerIdentity) -> AddressHolder {
    let names = std::fs::read_to_string(NAMES_FILE).unwrap_or_default();
    holder_among(&names, address, manager, std::process::id())
}

/// The holder by the lines of [`NAMES_FILE`].
fn holder_among(
    names: &str,
    address: SocketAddr,
    manager: &ManagerIdentity,
    own_process: u32,
) -> AddressHolder {
    let claimants = names
        .lines()
        .filter_map(|line| line.split_ascii_whitespace().last()?.strip_prefix('@'))
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
