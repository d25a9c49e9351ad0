//! The command line, the environment, and the files whose paths they give.
use super::StartError;
use crate::config::clickhouse::{self, ClickHouseConfig};
use crate::config::fleet::FleetConfig;
use crate::config::process::{self, Config};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The command line and the environment of the daemon.
pub struct Options {
    /// `PROXY_CONFIG`: the configuration file.
    config: Option<OsString>,
    /// `PROXY_FLEET`: the fleet file.
    fleet: Option<OsString>,
    /// `PROXY_CONSOLE`: the admin endpoint's address. It overrides the one in the configuration
    /// file.
    admin_address: Option<OsString>,
    /// The arguments: the path of the deploy file, if there is one.
    arguments: Vec<OsString>,
}

impl Options {
    /// The options of this process.
    pub fn from_environment() -> Options {
        let non_empty = |name: &str| std::env::var_os(name).filter(|value| !value.is_empty());
        Options {
            config: std::env::var_os("PROXY_CONFIG"),
            fleet: non_empty("PROXY_FLEET"),
            admin_address: non_empty("PROXY_CONSOLE"),
            arguments: std::env::args_os().skip(1).collect(),
        }
    }
}

/// The content of all files.
pub(super) struct ConfigurationFiles {
    /// The path of the configuration file, for reloads.
    pub(super) config_path: PathBuf,
    pub(super) config: Config,
    pub(super) clickhouse: Option<ClickHouseFile>,
    pub(super) fleet: Option<FleetConfig>,
}

/// The deploy file, which configures the ClickHouse frontend.
pub(super) struct ClickHouseFile {
    /// The path, for reloads.
    pub(super) path: PathBuf,
    pub(super) config: ClickHouseConfig,
}

impl ConfigurationFiles {
    /// Reads, parses and validates all files.
    pub(super) fn read(options: &Options) -> Result<ConfigurationFiles, StartError> {
        let config_path = options.config.as_ref().ok_or(StartError::ConfigNotSet)?;
        let clickhouse = options
            .arguments
            .first()
            .map(|path| ClickHouseFile::read(PathBuf::from(path)))
            .transpose()?;
        if options.arguments.len() > 1 {
            return Err(StartError::Usage);
        }
        let fleet = options
            .fleet
            .as_ref()
            .map(|path| read_fleet(Path::new(path)))
            .transpose()?;
        let config_path = PathBuf::from(config_path);
        let mut config = process::read(&config_path)?;
        if let Some(address) = &options.admin_address {
            config.admin_address = Some(parse_admin_address(address)?);
        }
        Ok(ConfigurationFiles {
            config_path,
            config,
            clickhouse,
            fleet,
        })
    }
}

impl ClickHouseFile {
    fn read(path: PathBuf) -> Result<ClickHouseFile, StartError> {
        let config = clickhouse::read(&path)?;
        Ok(ClickHouseFile { path, config })
    }
}

fn read_fleet(path: &Path) -> Result<FleetConfig, StartError> {
    let text = std::fs::read_to_string(path).map_err(|source| StartError::ReadFleetFile {
        path: path.to_owned(),
        source,
    })?;
    Ok(FleetConfig::parse(&text)?)
}

fn parse_admin_address(address: &OsString) -> Result<SocketAddr, StartError> {
    address
        .to_str()
        .and_then(|address| address.parse().ok())
        .ok_or(StartError::InvalidAdminAddress)
}
