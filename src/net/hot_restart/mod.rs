//! Hot restart: two processes act as one manager while a new version takes over.
//!
//! The running process is the *predecessor*. It listens on a Unix socket in `$TMPDIR` and passes its
//! listening descriptors, and later its client connections, to the process that connects there, its
//! *successor*. [`Predecessor`] and its sessions run in the older process, [`request_transfer`] and
//! [`follow_predecessor`] in the newer one. What the exchange means for the stage, the limits and the
//! connections of each process is decided by [`crate::lifecycle`].
mod descriptors;
mod predecessor;
mod predecessor_session;
mod successor;
mod successor_session;

pub use predecessor::{Predecessor, accept_successors};
pub use predecessor_session::TransferredItem;
pub use successor::{TransferredState, request_transfer};
pub use successor_session::{AdoptConnection, follow_predecessor};

use crate::clock::{MS, Micros};
use std::path::PathBuf;
use std::time::Duration;

/// Time within which the other process has to send what the protocol expects next; after that this
/// process continues without it.
const RESPONSE_TIMEOUT: Micros = 400 * MS;
/// Interval at which a session checks the lifecycle for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The Unix socket at which the processes of a manager meet: in `$TMPDIR`, under the manager's name.
/// `None` without `$TMPDIR`.
pub fn socket_path(name: &str) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    let file_name = format!("yokelift-{}.sock", file_name_component(name));
    Some(PathBuf::from(folder).join(file_name))
}

/// A manager's name with every character replaced that may not be safe within a file name.
pub fn file_name_component(name: &str) -> String {
    let is_safe = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    name.chars()
        .map(|c| if is_safe(c) { c } else { '_' })
        .collect()
}
