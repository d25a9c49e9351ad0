//! The errors that prevent the daemon's start.
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

/// Why the daemon does not start. `Display` gives the line for the operator.
#[derive(Debug, Error)]
pub enum StartError {
    /// `PROXY_CONFIG` is not set.
    #[error("PROXY_CONFIG is not set; it has to be the path of the configuration file")]
    ConfigNotSet,
    /// There is more than one argument.
    #[error("too many arguments; usage: yokelift [DEPLOY-FILE]")]
    Usage,
    /// `PROXY_CONSOLE` is not an IP address with a port.
    #[error("PROXY_CONSOLE: not an IP address with a port")]
    InvalidAdminAddress,
    /// The configuration file can't be read or is invalid.
    #[error("{0}")]
    Config(#[from] FileError<ProcessConfigError>),
    /// The deploy file can't be read or is invalid.
    #[error("{0}")]
    ClickHouseFile(#[from] FileError<ClickHouseConfigError>),
    /// The deploy file has names that the settings lack, or an invalid engine id.
    #[error("{0}")]
    ClickHouseNames(#[from] ClickHouseConfigError),
    /// The fleet file can't be read.
    #[error("{}: {source}", path.display())]
    ReadFleetFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The fleet file is invalid.
    #[error("{0}")]
    FleetFile(#[from] FleetConfigError),
    /// The audit can't be started.
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
        /// The cause.
        source: io::Error,
    },
    /// Another manager has claimed a frontend's address, which is in use.
    #[error(
        "{name}: can't listen on {address}: it is claimed by another manager, {holder} (process \
         {process}); check for a copied configuration"
    )]
    AddressHeld {
        /// The manager's name.
        name: String,
        /// The address.
        address: SocketAddr,
        /// The other manager's name, as shortened in its claim.
        holder: String,
        /// The id of its process.
        process: u32,
    },
    /// The admin endpoint's address can't be bound.
    #[error("{name}: can't listen on the admin address (console) {address}: {source}")]
    ListenAdmin {
        /// The manager's name.
        name: String,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The listeners can't be duplicated for a successor.
    #[error("can't duplicate the listeners for a hot restart: {0}")]
    DuplicateListener(#[source] io::Error),
    /// The signal handlers can't be installed.
    #[error("can't install the signal handlers: {0}")]
    Signals(#[source] io::Error),
}
