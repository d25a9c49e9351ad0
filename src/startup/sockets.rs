//! The sockets that the daemon opens at its start, or adopts from its predecessor.
use super::StartError;
use super::files::ConfigurationFiles;
use super::listen_address::{self, Sharing};
use crate::config::fleet::FleetConfig;
use crate::config::process::Config;
use crate::log;
use crate::net::address_claim::{AddressClaim, ManagerIdentity};
use crate::net::audit;
use crate::net::client;
use crate::net::fleet::membership;
use crate::net::hot_restart::{self, TransferredState};
use async_io::{Async, block_on};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;

/// All sockets.
pub(super) struct Sockets {
    /// The fleet's datagram socket, if there is a fleet file.
    pub(super) fleet: Option<FleetSocket>,
    /// The listener of the platform's clients.
    pub(super) clients: Async<TcpListener>,
    /// The listener of the ClickHouse frontend, if there is one.
    pub(super) clickhouse: Option<Async<TcpListener>>,
    /// The admin endpoint's listener, if there is one.
    pub(super) admin: Option<Async<TcpListener>>,
    pub(super) hot_restart: HotRestartSockets,
    /// The claims on the client addresses. Other managers find them until they are dropped.
    pub(super) claims: Vec<AddressClaim>,
}

/// The fleet's datagram socket.
pub(super) struct FleetSocket {
    pub(super) config: FleetConfig,
    pub(super) address: SocketAddr,
    /// `None` if the predecessor has the address bound: it is the fleet's member until it exits.
    pub(super) socket: Option<Async<UdpSocket>>,
}

/// The sockets and the state for the sessions with the predecessor and with successors.
pub(super) struct HotRestartSockets {
    /// The socket at which successors connect. `None` without an admin endpoint, which a hot
    /// restart requires, or without `$TMPDIR`.
    pub(super) socket_path: Option<PathBuf>,
    /// The listeners and state that the predecessor transferred.
    pub(super) transferred: Option<TransferredState>,
    /// Duplicates of the frontends' listeners, to transfer to successors.
    pub(super) listeners: Vec<(SocketAddr, OwnedFd)>,
}

impl Sockets {
    /// Requests the predecessor's listeners, and opens all sockets that were not transferred.
    pub(super) fn open(files: &ConfigurationFiles) -> Result<Sockets, StartError> {
        let config = &files.config;
        let socket_path = config
            .admin_address
            .and_then(|_| hot_restart::socket_path(&config.name));
        let mut transferred = socket_path
            .as_deref()
            .and_then(|path| block_on(hot_restart::request_transfer(path, &config.name)));
        let fleet = files
            .fleet
            .as_ref()
            .map(|fleet| FleetSocket::open(fleet, config, transferred.is_some()))
            .transpose()?;
        let identity = ManagerIdentity::new(&config.name, audit::folder().ok().as_deref());
        let clickhouse_address = files.clickhouse.as_ref().map(|file| file.config.listen);
        let claims = claim_addresses(&identity, config.listen, clickhouse_address);
        let clients = listen(config, config.listen, &identity, &mut transferred)?;
        let clickhouse = clickhouse_address
            .map(|address| listen(config, address, &identity, &mut transferred))
            .transpose()?;
        let listeners = std::iter::once(&clients)
            .chain(&clickhouse)
            .map(duplicate)
            .collect::<io::Result<_>>()
            .map_err(StartError::DuplicateListener)?;
        let admin = config
            .admin_address
            .map(|address| listen_admin(config, address))
            .transpose()?;
        Ok(Sockets {
            fleet,
            clients,
            clickhouse,
            admin,
            hot_restart: HotRestartSockets {
                socket_path,
                transferred,
                listeners,
            },
            claims,
        })
    }
}

impl FleetSocket {
    fn open(
        fleet: &FleetConfig,
        config: &Config,
        has_predecessor: bool,
    ) -> Result<FleetSocket, StartError> {
        let address = fleet.bind(config.listen);
        let socket = match membership::bind(address) {
            Ok(socket) => Some(socket),
            Err(_) if has_predecessor => None,
            Err(error) => return Err(StartError::Membership(error)),
        };
        Ok(FleetSocket {
            config: fleet.clone(),
            address,
            socket,
        })
    }
}

/// Publishes the claims before the addresses are bound: of two managers that start at once, the one
/// that finds the address in use then also finds the claim of the other.
fn claim_addresses(
    identity: &ManagerIdentity,
    clients: SocketAddr,
    clickhouse: Option<SocketAddr>,
) -> Vec<AddressClaim> {
    let mut claims = Vec::new();
    for address in std::iter::once(clients).chain(clickhouse) {
        match AddressClaim::publish(address, identity) {
            Ok(claim) => claims.push(claim),
            Err(error) => log!(
                "client address {address}: can't publish the claim, other managers may share the address: {error}"
            ),
        }
    }
    claims
}

/// The predecessor's listener at this address, or a new one. With an admin endpoint another process
/// of the same manager may listen at the address too.
fn listen(
    config: &Config,
    address: SocketAddr,
    identity: &ManagerIdentity,
    transferred: &mut Option<TransferredState>,
) -> Result<Async<TcpListener>, StartError> {
    let from_predecessor = transferred
        .as_mut()
        .and_then(|transferred| transferred.listeners.remove(&address));
    let sharing = match config.admin_address {
        Some(_) => Sharing::WithSameManager,
        None => Sharing::Never,
    };
    match from_predecessor {
        Some(listener) => Async::new(listener).map_err(|source| StartError::Listen {
            name: config.name.clone(),
            address,
            source,
        }),
        None => listen_address::bind(address, identity, &config.name, sharing),
    }
}

fn listen_admin(config: &Config, address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    client::bind(address).map_err(|source| StartError::ListenAdmin {
        name: config.name.clone(),
        address,
        source,
    })
}

fn duplicate(listener: &Async<TcpListener>) -> io::Result<(SocketAddr, OwnedFd)> {
    let address = listener.get_ref().local_addr()?;
    Ok((address, listener.as_fd().try_clone_to_owned()?))
}
