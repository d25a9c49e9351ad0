//! The deploy file, with which the operator configures the ClickHouse frontend, such as
//! `deploy/clickhouse.toml`: the listen address, the engines, the users, and the rules that assign
//! statements to classes.
mod class_rules;
mod users;

pub use class_rules::ClassRules;
pub use users::Users;

use crate::config::{FileError, first_duplicate, load};
use crate::policy::api::EngineId;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

/// The deploy file's content.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClickHouseConfig {
    /// The listen address for clients of the ClickHouse HTTP interface.
    pub listen: SocketAddr,
    /// The engines with this interface.
    #[serde(default, rename = "engine")]
    pub engines: Vec<EngineConfig>,
    /// The credentials of this manager at these engines.
    #[serde(default, rename = "login")]
    pub credentials: CredentialsConfig,
    /// The users and their tenants.
    #[serde(default, rename = "user")]
    pub users: Vec<UserConfig>,
    /// The rules that assign statements to classes; the first one that matches applies.
    #[serde(default, rename = "class")]
    pub class_rules: Vec<ClassRuleConfig>,
    /// The class of statements that no rule matches.
    #[serde(rename = "usual_class")]
    pub default_class: String,
    /// The directory with the tenants and further users, if there is one.
    pub directory: Option<DirectoryConfig>,
}

/// An engine. With an address it is always ready; without one it is taken from the coordinator's
/// list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// The id, such as `s-00c41f7a`.
    pub id: String,
    /// The address, if it is not in the coordinator's list.
    pub addr: Option<SocketAddr>,
    /// The name of its zone in the settings.
    #[serde(default)]
    pub zone: String,
    /// The name of its machine type in the settings.
    #[serde(default)]
    pub kind: String,
}

/// The user and key with which the manager authenticates at the engines.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CredentialsConfig {
    /// The user name.
    pub user: String,
    /// The key.
    #[serde(default)]
    pub key: String,
}

/// A user of the frontend.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UserConfig {
    /// The user's name.
    pub name: String,
    /// The user's key; empty if there is none.
    #[serde(default)]
    pub key: String,
    /// The name of the tenant in the settings; without one the user is known, but not authorized.
    pub tenant: Option<String>,
}

/// A rule that assigns statements to a class. A statement has to match each condition that is not
/// empty.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRuleConfig {
    /// The name of the class in the settings.
    pub name: String,
    /// The statement begins with one of these words.
    #[serde(default, rename = "begins")]
    pub first_words: Vec<String>,
    /// The statement contains one of these words, outside strings and comments.
    #[serde(default, rename = "holds")]
    pub words: Vec<String>,
    /// The statement comes from one of these users.
    #[serde(default)]
    pub users: Vec<String>,
}

/// The directory of tenants and users, read over LDAPv3.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectoryConfig {
    /// The directory's address.
    pub addr: SocketAddr,
    /// The DN for the LDAP bind; empty for an anonymous bind.
    #[serde(default)]
    pub bind_dn: String,
    /// The password for the LDAP bind.
    #[serde(default)]
    pub bind_password: String,
    /// The base DN of the users.
    pub users_base: String,
    /// The object class of the users.
    #[serde(default = "DirectoryConfig::users_class")]
    pub users_class: String,
    /// The attribute with the user's name.
    #[serde(default = "DirectoryConfig::name_attribute")]
    pub name_attribute: String,
    /// The attribute with the user's tenant.
    #[serde(default = "DirectoryConfig::tenant_attribute")]
    pub tenant_attribute: String,
    /// The attribute with the user's key for this interface, if the directory holds one.
    #[serde(default)]
    pub key_attribute: String,
    /// The base DN of the tenants.
    pub tenants_base: String,
    /// The object class of the tenants.
    #[serde(default = "DirectoryConfig::tenants_class")]
    pub tenants_class: String,
    /// The attribute with the tenant's name.
    #[serde(default = "DirectoryConfig::tenant_name_attribute")]
    pub tenant_name_attribute: String,
    /// The attribute with the tenant's share, as a number of any scale.
    #[serde(default = "DirectoryConfig::share_attribute")]
    pub share_attribute: String,
    /// The number of entries in one page of a search result.
    #[serde(default = "DirectoryConfig::page")]
    pub page: u32,
    /// The time between two reads of the directory, in seconds.
    #[serde(default = "DirectoryConfig::refresh_s")]
    pub refresh_s: u64,
}

impl DirectoryConfig {
    fn users_class() -> String {
        "inetOrgPerson".into()
    }
    fn name_attribute() -> String {
        "uid".into()
    }
    fn tenant_attribute() -> String {
        "departmentNumber".into()
    }
    fn tenants_class() -> String {
        "organizationalUnit".into()
    }
    fn tenant_name_attribute() -> String {
        "ou".into()
    }
    fn share_attribute() -> String {
        "description".into()
    }
    fn page() -> u32 {
        200
    }
    fn refresh_s() -> u64 {
        300
    }
}

/// Why a deploy file can't be used.
#[derive(Debug, Error)]
pub enum ClickHouseConfigError {
    /// The text is not TOML, a key is unknown or missing, or a value has the wrong type.
    #[error("line {line}: {}", source.message().replace('\n', " "))]
    Toml {
        /// The number of the line, from 1; 0 if the parser gives none.
        line: usize,
        /// The parser's error.
        source: toml::de::Error,
    },
    /// An engine's id is malformed.
    #[error("engine {id:?}: the id has to be s- and 8 hex digits")]
    InvalidEngineId {
        /// The id.
        id: String,
    },
    /// Two engines have the same id.
    #[error("engine {id}: the id is used twice")]
    DuplicateEngine {
        /// The id.
        id: String,
    },
    /// Two users have the same name.
    #[error("user {name}: the name is used twice")]
    DuplicateUser {
        /// The name.
        name: String,
    },
    /// There are neither users nor a directory.
    #[error("user, directory: both are missing, so no client could be authenticated")]
    NoUsers,
    /// The credentials have control characters, which are invalid in the headers of a request.
    #[error("login: user and key must not have control characters")]
    ControlCharacterInCredentials,
    /// The directory's page size is 0.
    #[error("directory: page has to be above 0")]
    DirectoryPageZero,
    /// The interval between reads of the directory is 0.
    #[error("directory: refresh_s has to be above 0")]
    DirectoryRefreshZero,
    /// The settings have no class of this name.
    #[error("class {name:?}: not among settings.classes of the configuration")]
    UnknownClass {
        /// The name.
        name: String,
    },
    /// The settings have no tenant of this name.
    #[error("tenant {name:?}: not among settings.orgs of the configuration")]
    UnknownTenant {
        /// The name.
        name: String,
    },
}

/// Parses and validates the text of a deploy file.
pub fn parse(text: &str) -> Result<ClickHouseConfig, ClickHouseConfigError> {
    let config: ClickHouseConfig =
        toml::from_str(text).map_err(|source| ClickHouseConfigError::Toml {
            line: line_of(&source, text),
            source,
        })?;
    config.validate()?;
    Ok(config)
}

/// The number of the line of an error, from 1; 0 if the parser gives none.
fn line_of(error: &toml::de::Error, text: &str) -> usize {
    error
        .span()
        .map_or(0, |span| text[..span.start].lines().count().max(1))
}

impl ClickHouseConfig {
    fn validate(&self) -> Result<(), ClickHouseConfigError> {
        self.validate_engines()?;
        if let Some(name) = first_duplicate(self.users.iter().map(|user| &user.name)) {
            return Err(ClickHouseConfigError::DuplicateUser { name: name.clone() });
        }
        if self.users.is_empty() && self.directory.is_none() {
            return Err(ClickHouseConfigError::NoUsers);
        }
        let has_control_character = |text: &str| text.chars().any(char::is_control);
        if has_control_character(&self.credentials.user)
            || has_control_character(&self.credentials.key)
        {
            return Err(ClickHouseConfigError::ControlCharacterInCredentials);
        }
        match &self.directory {
            Some(directory) if directory.page == 0 => Err(ClickHouseConfigError::DirectoryPageZero),
            Some(directory) if directory.refresh_s == 0 => {
                Err(ClickHouseConfigError::DirectoryRefreshZero)
            }
            _ => Ok(()),
        }
    }

    fn validate_engines(&self) -> Result<(), ClickHouseConfigError> {
        let mut seen = BTreeSet::new();
        for engine in &self.engines {
            if !seen.insert(engine_id(&engine.id)?) {
                return Err(ClickHouseConfigError::DuplicateEngine {
                    id: engine.id.clone(),
                });
            }
        }
        Ok(())
    }
}

/// Reads, parses and validates a deploy file.
pub fn read(path: &Path) -> Result<ClickHouseConfig, FileError<ClickHouseConfigError>> {
    load(
        path,
        |path| std::fs::read_to_string(path),
        |text| parse(text),
    )
}

/// Parses an engine's id, such as `s-00c41f7a`.
pub fn engine_id(id: &str) -> Result<EngineId, ClickHouseConfigError> {
    id.strip_prefix("s-")
        .filter(|digits| digits.len() == 8)
        .and_then(|digits| u32::from_str_radix(digits, 16).ok())
        .map(|number| EngineId(u64::from(number)))
        .ok_or_else(|| ClickHouseConfigError::InvalidEngineId { id: id.to_owned() })
}
