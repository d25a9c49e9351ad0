//! The users of the ClickHouse frontend, from the deploy file and from the directory.
use super::{ClickHouseConfig, ClickHouseConfigError};
use crate::config::process::Names;
use crate::policy::api::TenantId;
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq)]
struct User {
    key: String,
    tenant: Option<TenantId>,
}

/// The users of the frontend and their tenants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Users {
    by_name: BTreeMap<String, User>,
}

impl Users {
    /// Creates the users of a deploy file.
    ///
    /// # Errors
    ///
    /// Fails if a tenant is not among `names`.
    pub fn new(config: &ClickHouseConfig, names: &Names) -> Result<Users, ClickHouseConfigError> {
        let mut users = Users::default();
        for user in &config.users {
            let tenant = user
                .tenant
                .as_deref()
                .map(|tenant| tenant_id(names, tenant))
                .transpose()?;
            users.add(&user.name, &user.key, tenant);
        }
        Ok(users)
    }

    /// Adds a user, or replaces the one with the same name.
    pub fn add(&mut self, name: &str, key: &str, tenant: Option<TenantId>) {
        let user = User {
            key: key.to_owned(),
            tenant,
        };
        self.by_name.insert(name.to_owned(), user);
    }

    /// Adds the users in `others`, and replaces those with the same names.
    pub fn extend(&mut self, others: &Users) {
        self.by_name.extend(others.by_name.clone());
    }

    /// The tenant of the user with this name and key: `None` for an unknown user or a wrong key,
    /// `Some(None)` for a user without a tenant.
    pub fn find(&self, name: &str, key: &str) -> Option<Option<TenantId>> {
        let user = self.by_name.get(name)?;
        keys_equal(&user.key, key).then_some(user.tenant)
    }
}

/// Compares keys. It always compares all bytes of the shorter one, so that the time does not reveal
/// how many leading bytes of a guess are right.
fn keys_equal(expected: &str, given: &str) -> bool {
    let difference = expected
        .bytes()
        .zip(given.bytes())
        .fold(0, |difference, (a, b)| difference | (a ^ b));
    difference == 0 && expected.len() == given.len()
}

fn tenant_id(names: &Names, name: &str) -> Result<TenantId, ClickHouseConfigError> {
    names
        .tenant(name)
        .ok_or_else(|| ClickHouseConfigError::UnknownTenant {
            name: name.to_owned(),
        })
}
