//! Hot restart: two processes run as one manager while a new version takes over.
//!
//! The running process is the *predecessor*. It listens on a Unix socket in `$TMPDIR` and passes
//! its listening descriptors, and later its client connections, to the process that connects there,
//! its *successor*. [`Predecessor`] and its sessions run in the older process,
//! [`request_transfer`] and [`follow_predecessor`] in the newer one. The effects of the exchange on
//! the stage, the limits and the connections of each process are decided by [`crate::lifecycle`].
mod descriptors;
mod endpoint_list_exchange;
mod open_work;
mod predecessor;
mod predecessor_session;
mod request_id_exchange;
mod successor;
mod successor_session;

pub use endpoint_list_exchange::DiscoveryChannels;
pub use predecessor::{Predecessor, accept_successors};
pub use predecessor_session::TransferredItem;
pub use successor::{TransferredState, request_transfer};
pub use successor_session::{AdoptConnection, follow_predecessor};

use crate::clock::{MS, Micros};
use std::path::PathBuf;
use std::time::Duration;

/// The timeout of the messages with which a session begins. After it this process continues without
/// the other one.
const RESPONSE_TIMEOUT: Micros = 400 * MS;
/// Interval at which a session checks the lifecycle for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The path of the Unix socket for the processes of one manager: in `$TMPDIR`, with the manager's
/// name in the file name. `None` if `$TMPDIR` is unset or empty.
pub fn socket_path(name: &str) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    let file_name = format!("yokelift-{}.sock", file_name_component(name));
    Some(PathBuf::from(folder).join(file_name))
}

/// The manager's name for use within a file name: every character but ASCII letters, digits, `-`,
/// `_` and `.` is replaced by `_`.
pub fn file_name_component(name: &str) -> String {
    let is_safe = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    name.chars()
        .map(|c| if is_safe(c) { c } else { '_' })
        .collect()
}
