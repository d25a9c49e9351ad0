//! The sockets that the daemon opens at its start. Those that a predecessor transfers are adopted.
use super::StartError;
use super::files::ConfigurationFiles;
use crate::config::fleet::FleetConfig;
use crate::config::process::Config;
use crate::net::client;
use crate::net::fleet::membership;
use crate::net::hot_restart::{self, TransferredState};
use async_io::{Async, block_on};
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;

/// All of them.
pub(super) struct Sockets {
    /// The fleet's, if there is a fleet file.
    pub(super) fleet: Option<FleetSocket>,
    /// The listener of the platform's clients.
    pub(super) clients: Async<TcpListener>,
    /// The listener of the ClickHouse frontend, if there is one.
    pub(super) clickhouse: Option<Async<TcpListener>>,
    /// The admin endpoint's listener, if there is one.
    pub(super) admin: Option<Async<TcpListener>>,
    pub(super) hot_restart: HotRestartSockets,
}

/// The fleet's datagram socket.
pub(super) struct FleetSocket {
    pub(super) config: FleetConfig,
    pub(super) address: SocketAddr,
    /// `None` while the predecessor holds the address: it is the fleet's member until it ends.
    pub(super) socket: Option<Async<UdpSocket>>,
}

/// What the hot restart needs, from the predecessor and for a successor.
pub(super) struct HotRestartSockets {
    /// Where a successor connects. `None` without an admin endpoint, which a hot restart requires.
    pub(super) socket_path: Option<PathBuf>,
    /// What the predecessor transferred.
    pub(super) transferred: Option<TransferredState>,
    /// Duplicates of the frontends' listeners, to pass to a successor.
    pub(super) listeners: Vec<(SocketAddr, OwnedFd)>,
}

impl Sockets {
    /// Asks a predecessor for its listeners, and opens all sockets that it did not transfer.
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
        let clients = listen(config, config.listen, &mut transferred)?;
        let clickhouse = files
            .clickhouse
            .as_ref()
            .map(|file| listen(config, file.config.listen, &mut transferred))
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

/// The predecessor's listener at this address, or a new one. With an admin endpoint a successor may
/// bind the address too.
fn listen(
    config: &Config,
    address: SocketAddr,
    transferred: &mut Option<TransferredState>,
) -> Result<Async<TcpListener>, StartError> {
    let from_predecessor = transferred
        .as_mut()
        .and_then(|transferred| transferred.listeners.remove(&address));
    let listener = match from_predecessor {
        Some(listener) => Async::new(listener),
        None if config.admin_address.is_some() => client::bind_shared(address),
        None => client::bind(address),
    };
    listener.map_err(|source| StartError::Listen {
        name: config.name.clone(),
        address,
        source,
    })
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
