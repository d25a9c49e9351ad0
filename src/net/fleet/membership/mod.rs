//! The membership actor: it owns the UDP socket for datagrams between managers and runs the
//! membership protocol of [`crate::membership`] and, if configured, the leases of [`crate::lease`].
//! It runs only with a fleet file.
mod actor;
mod gateway_count;
mod version_guard;
mod view;

use crate::clock::{self, MS, Micros};
use crate::config::fleet::FleetConfig;
use crate::lifecycle::Stage;
use crate::net::discovery::coordinator::WatchCommand;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::{Shared, sleep_until};
use actor::MembershipActor;
use async_channel::Sender;
use async_io::Async;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
pub use view::{FleetView, MemberRow};

/// The interval between attempts to bind an address that the predecessor still uses.
const BIND_RETRY_INTERVAL: Micros = 100 * MS;

/// The address can't be bound.
#[derive(Debug, thiserror::Error)]
#[error("fleet: failed to bind the UDP socket for datagrams at {address}: {source}")]
pub struct BindError {
    /// The local address.
    pub address: SocketAddr,
    /// The cause.
    pub source: io::Error,
}

/// Binds the socket for datagrams between managers.
///
/// # Errors
/// The address is in use, or not one of this host.
pub fn bind(address: SocketAddr) -> Result<Async<UdpSocket>, BindError> {
    UdpSocket::bind(address)
        .and_then(Async::new)
        .map_err(|source| BindError { address, source })
}

/// Replaces what is common to a whole process, for a manager that shares its process with other
/// managers: a hollow node of the test kit, which has neither engines nor clients.
pub struct ProcessOverrides {
    /// The folder for the files that the manager reads after a restart, in place of `$TMPDIR`.
    pub state_folder: PathBuf,
    /// The number of reloads that were requested. They are counted here in place of a SIGHUP, which
    /// would reach all managers of the process.
    pub requested_reloads: Cell<u64>,
}

/// The parameters of the membership actor.
pub struct MembershipService {
    /// The manager's name.
    pub name: String,
    /// The incarnation with which the manager joins: the start time of its process, which exceeds
    /// every earlier incarnation under the same name.
    pub incarnation: Micros,
    /// The fleet file.
    pub config: FleetConfig,
    /// The number of managers in the settings.
    pub configured_gateways: u32,
    /// The dispatcher, which is notified of the number of active gateways and of leases.
    pub dispatcher: Sender<DispatcherEvent>,
    /// The mailbox of the coordinator's actor, which has to reconnect and read the endpoint list
    /// again when this manager is behind the majority.
    pub coordinator: Sender<WatchCommand>,
}

impl MembershipService {
    /// Runs until the process stops. Without a socket it first retries until it can bind
    /// `bind_address`, which the predecessor uses until it exits.
    pub async fn run(
        self,
        shared: Rc<Shared>,
        mut socket: Option<Async<UdpSocket>>,
        bind_address: SocketAddr,
    ) {
        while socket.is_none() && shared.lifecycle.borrow().stage() != Stage::Stopping {
            sleep_until(Some(clock::read() + BIND_RETRY_INTERVAL)).await;
            socket = bind(bind_address).ok();
        }
        if let Some(socket) = socket {
            MembershipActor::new(self, shared, socket).run().await;
        }
    }
}
