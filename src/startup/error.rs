//! Why the daemon does not start.
use crate::config::FileError;
use crate::config::clickhouse::ClickHouseConfigError;
use crate::config::fleet::FleetConfigError;
use crate::config::process::ProcessConfigError;
use crate::net::audit::AuditStartError;
use crate::net::discovery::known_events::KnownEventsError;
use crate::net::fleet::membership::BindError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the daemon does not start. The text is the operator's line.
#[derive(Debug, Error)]
pub enum StartError {
    /// `PROXY_CONFIG` is not set.
    #[error("PROXY_CONFIG names no configuration file")]
    ConfigNotNamed,
    /// There is more than one argument.
    #[error("use: yokelift [DEPLOY-FILE]")]
    Usage,
    /// `PROXY_CONSOLE` is not an address with a port.
    #[error("PROXY_CONSOLE is no address")]
    InvalidAdminAddress,
    /// The configuration file can't be read or is invalid.
    #[error("{0}")]
    Config(#[from] FileError<ProcessConfigError>),
    /// The file of the ClickHouse frontend can't be read or is invalid.
    #[error("{0}")]
    ClickHouseFile(#[from] FileError<ClickHouseConfigError>),
    /// The file of the ClickHouse frontend does not fit the settings.
    #[error("{0}")]
    ClickHouseNames(#[from] ClickHouseConfigError),
    /// The fleet file can't be read.
    #[error("{}: {source}", path.display())]
    ReadFleetFile {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The fleet file is invalid.
    #[error("{0}")]
    FleetFile(#[from] FleetConfigError),
    /// The audit's files can't be opened.
    #[error("{0}")]
    Audit(#[from] AuditStartError),
    /// The fleet's datagram socket can't be bound.
    #[error("{0}")]
    Membership(#[from] BindError),
    /// The coordinator's events in the configuration are invalid.
    #[error("{0}")]
    KnownEvents(#[from] KnownEventsError),
    /// A frontend's address can't be bound.
    #[error("{name}: can't listen on {address}: {source}")]
    Listen {
        /// The manager's name.
        name: String,
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// Another manager listens at a frontend's address.
    #[error(
        "{name}: {address} is the address of another manager, {holder} (process {process}): a copied configuration?"
    )]
    AddressHeld {
        /// The manager's name.
        name: String,
        /// The address.
        address: SocketAddr,
        /// The other manager's name, shortened.
        holder: String,
        /// Its process.
        process: u32,
    },
    /// The admin endpoint's address can't be bound.
    #[error("{name}: can't listen on the console {address}: {source}")]
    ListenAdmin {
        /// The manager's name.
        name: String,
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The listeners can't be duplicated for a successor.
    #[error("the listeners: {0}")]
    DuplicateListener(#[source] io::Error),
    /// The handlers of signals can't be installed.
    #[error("can't wait for signals: {0}")]
    Signals(#[source] io::Error),
}
