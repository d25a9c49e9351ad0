//! A deploy file of ours, as `deploy/clickhouse.toml`: the second front, its engines, and who may
//! use it.
use crate::config::process::Names;
use crate::policy::api::{ClassId, EngineId, TenantId};
use crate::statement;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

/// The file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClickHouseConfig {
    /// Where clients of the ClickHouse HTTP interface connect.
    pub listen: SocketAddr,
    /// Engines that speak it.
    #[serde(default, rename = "engine")]
    pub engines: Vec<EngineConfig>,
    /// Who the manager is to these engines.
    #[serde(default)]
    pub login: CredentialsConfig,
    /// Users and their tenants.
    #[serde(default, rename = "user")]
    pub users: Vec<UserConfig>,
    /// Which statements belong to which class; the first rule that fits counts.
    #[serde(default, rename = "class")]
    pub classes: Vec<ClassRuleConfig>,
    /// The class of all other statements.
    pub usual_class: String,
    /// A directory of tenants.
    pub directory: Option<DirectoryConfig>,
}

/// An engine: one of the coordinator's list, or with an address one that is always in service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// Its id, as `s-00c41f7a`.
    pub id: String,
    /// Where it listens, if it is not of the coordinator's list.
    pub addr: Option<SocketAddr>,
    /// Its zone, as named in the settings.
    #[serde(default)]
    pub zone: String,
    /// Its kind, as named in the settings.
    #[serde(default)]
    pub kind: String,
}

/// User and key for engines.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CredentialsConfig {
    /// The user.
    pub user: String,
    /// The key.
    #[serde(default)]
    pub key: String,
}

/// A user.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UserConfig {
    /// The name.
    pub name: String,
    /// The key; empty if there is none.
    #[serde(default)]
    pub key: String,
    /// The tenant, as named in the settings; without one the user is known and let in nowhere.
    pub tenant: Option<String>,
}

/// A rule for a class: all that is given must fit.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassRuleConfig {
    /// The class, as named in the settings.
    pub name: String,
    /// The statement begins with one of these words.
    #[serde(default)]
    pub begins: Vec<String>,
    /// The statement holds one of these words, outside strings and comments.
    #[serde(default)]
    pub holds: Vec<String>,
    /// It comes from one of these users.
    #[serde(default)]
    pub users: Vec<String>,
}

/// A directory of tenants, read over LDAPv3.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectoryConfig {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Who to bind as; empty for an anonymous bind.
    #[serde(default)]
    pub bind_dn: String,
    /// The password for that.
    #[serde(default)]
    pub bind_password: String,
    /// Where the users are.
    pub users_base: String,
    /// Their object class.
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
    /// Where the tenants are.
    pub tenants_base: String,
    /// Their object class.
    #[serde(default = "DirectoryConfig::tenants_class")]
    pub tenants_class: String,
    /// The attribute with the tenant's name.
    #[serde(default = "DirectoryConfig::tenant_name_attribute")]
    pub tenant_name_attribute: String,
    /// The attribute with the tenant's share, as a number of any scale.
    #[serde(default = "DirectoryConfig::share_attribute")]
    pub share_attribute: String,
    /// Entries asked for at once.
    #[serde(default = "DirectoryConfig::page")]
    pub page: u32,
    /// Seconds between two readings.
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

/// Reads a deploy file from its text.
pub fn parse(text: &str) -> Result<ClickHouseConfig, String> {
    let deploy: ClickHouseConfig = toml::from_str(text).map_err(|e| {
        let line = e
            .span()
            .map_or(0, |span| text[..span.start].lines().count().max(1));
        format!("line {line}: {}", e.message().replace('\n', " "))
    })?;
    let mut seen = BTreeSet::new();
    for engine in &deploy.engines {
        if !seen.insert(engine_id(&engine.id)?) {
            return Err(format!("engine {} is there twice", engine.id));
        }
    }
    let mut seen = BTreeSet::new();
    if let Some(twice) = deploy.users.iter().find(|u| !seen.insert(&u.name)) {
        return Err(format!("user {} is there twice", twice.name));
    }
    if deploy.users.is_empty() && deploy.directory.is_none() {
        return Err("neither users nor a directory: nobody could connect".into());
    }
    let breaks = |s: &String| s.chars().any(char::is_control);
    if breaks(&deploy.login.user) || breaks(&deploy.login.key) {
        return Err("login: control characters are not allowed".into());
    }
    match &deploy.directory {
        Some(d) if d.page == 0 => Err("directory: page must be above 0".into()),
        Some(d) if d.refresh_s == 0 => Err("directory: refresh_s must be above 0".into()),
        _ => Ok(deploy),
    }
}

/// Reads a deploy file.
pub fn read(path: &Path) -> Result<ClickHouseConfig, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// The number of an engine's id.
pub fn engine_id(id: &str) -> Result<EngineId, String> {
    let number = id
        .strip_prefix("s-")
        .filter(|hex| hex.len() == 8)
        .and_then(|hex| u32::from_str_radix(hex, 16).ok());
    number
        .map(|n| EngineId(u64::from(n)))
        .ok_or_else(|| format!("engine {id:?}: an id is s- and 8 hex digits"))
}

fn place(list: &[String], name: &str, what: &str) -> Result<u16, String> {
    let at = list
        .iter()
        .position(|n| n == name)
        .ok_or_else(|| format!("the settings name no {what} {name:?}"))?;
    Ok(at as u16)
}

/// Which statements belong to which class.
pub struct ClassRules {
    rules: Vec<(ClassRuleConfig, ClassId)>,
    usual: ClassId,
}

impl ClassRules {
    /// The rules of a file, with the names of the settings.
    pub fn new(deploy: &ClickHouseConfig, names: &Names) -> Result<ClassRules, String> {
        let class = |name: &str| {
            names
                .class(name)
                .ok_or_else(|| format!("the settings name no class {name:?}"))
        };
        let rules = deploy
            .classes
            .iter()
            .map(|line| Ok((line.clone(), class(&line.name)?)));
        let rules = rules.collect::<Result<_, String>>()?;
        Ok(ClassRules {
            rules,
            usual: class(&deploy.usual_class)?,
        })
    }

    /// The class of a statement.
    pub fn class(&self, user: &str, text: &[u8]) -> ClassId {
        let words = statement::words(text);
        let is = |word: &[u8], list: &[String]| {
            list.iter().any(|w| word.eq_ignore_ascii_case(w.as_bytes()))
        };
        let fits = |line: &ClassRuleConfig| {
            (line.begins.is_empty() || words.first().is_some_and(|w| is(w, &line.begins)))
                && (line.holds.is_empty() || words.iter().any(|w| is(w, &line.holds)))
                && (line.users.is_empty() || line.users.iter().any(|u| u == user))
        };
        self.rules
            .iter()
            .find(|(line, _)| fits(line))
            .map_or(self.usual, |(_, class)| *class)
    }
}

/// Who may use the front, and as whose tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Users {
    users: BTreeMap<String, (String, Option<TenantId>)>,
}

impl Users {
    /// The users of a file.
    pub fn new(deploy: &ClickHouseConfig, names: &Names) -> Result<Users, String> {
        let mut users = Users::default();
        for line in &deploy.users {
            let tenant = line
                .tenant
                .as_deref()
                .map(|t| place(&names.tenants, t, "tenant"))
                .transpose()?;
            users.add(&line.name, &line.key, tenant.map(TenantId));
        }
        Ok(users)
    }

    /// Adds a user.
    pub fn add(&mut self, name: &str, key: &str, tenant: Option<TenantId>) {
        self.users.insert(name.to_owned(), (key.to_owned(), tenant));
    }

    /// Adds all others; they take the place of those of the same name.
    pub fn extend(&mut self, others: &Users) {
        self.users.extend(others.users.clone());
    }

    /// The tenant of a user with that key: `None` for one who is unknown, `Some(None)` for one
    /// without a tenant.
    pub fn find(&self, name: &str, key: &str) -> Option<Option<TenantId>> {
        let (right, tenant) = self.users.get(name)?;
        // Every byte is looked at, so that the time taken does not tell how much of a key was
        // right.
        let differ = right
            .bytes()
            .zip(key.bytes())
            .fold(0, |all, (a, b)| all | (a ^ b));
        (differ == 0 && right.len() == key.len()).then_some(*tenant)
    }
}
