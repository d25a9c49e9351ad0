//! Tenants and users from a directory service over LDAPv3 (RFC 4511): the searches, and the
//! interpretation of the entries. The socket is in `src/net/tenant_directory.rs`.
//!
//! A read binds, searches the tenants and then the users page by page, and unbinds. The result is a
//! complete snapshot or an error. After an error the caller keeps the last good snapshot.
mod codec;
mod error;
mod read;

pub use codec::{PAGED_RESULTS_CONTROL, PagedResultsValue, message_length, take_message};
pub use error::ReadError;
pub use read::{DirectoryRead, ReadProgress};

use crate::config::clickhouse::Users;
use crate::config::process::Names;
use crate::policy::api::{TenantId, TenantSpec};

/// A tenant as the directory lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryTenant {
    /// The tenant's name.
    pub name: String,
    /// The tenant's share, relative to those of the other tenants.
    pub share: f64,
}

/// A user as the directory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryUser {
    /// The user's name.
    pub name: String,
    /// The key with which the user authenticates; empty if the directory holds none.
    pub key: String,
    /// The name of the user's tenant, if there is one.
    pub tenant: Option<String>,
}

/// The content of a directory at the time of one read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectorySnapshot {
    /// The tenants, in the directory's order.
    pub tenants: Vec<DirectoryTenant>,
    /// The users, in the directory's order.
    pub users: Vec<DirectoryUser>,
}

impl DirectorySnapshot {
    /// Applies the snapshot: divides the total quota of the tenants in proportion to the shares of
    /// the tenants in the directory, and adds the users. Tenants that are not known yet are
    /// appended.
    pub fn apply(&self, tenants: &mut Tenants, users: &mut Users) {
        let total_quota_per_s: f64 = tenants.specs.iter().map(|spec| spec.quota_per_s).sum();
        let total_share: f64 = self.tenants.iter().map(|tenant| tenant.share).sum();
        for tenant in &self.tenants {
            let share = if total_share > 0.0 {
                tenant.share / total_share
            } else {
                0.0
            };
            *tenants.spec_mut(&tenant.name) = TenantSpec {
                quota_per_s: total_quota_per_s * share,
                share,
            };
        }
        for user in &self.users {
            let tenant = user.tenant.as_ref().and_then(|name| tenants.id(name));
            users.add(&user.name, &user.key, tenant);
        }
    }

    /// The number of entries: tenants and users.
    fn len(&self) -> usize {
        self.tenants.len() + self.users.len()
    }
}

/// The tenants as the decision module uses them: those of the settings, updated by the last
/// snapshot of the directory.
pub struct Tenants {
    /// Names, indexed by tenant id.
    pub names: Vec<String>,
    /// Quotas and shares, in the same order.
    pub specs: Vec<TenantSpec>,
}

impl Tenants {
    /// Creates the tenants of the settings.
    pub fn new(names: &Names, specs: Vec<TenantSpec>) -> Tenants {
        Tenants {
            names: names.tenants.clone(),
            specs,
        }
    }

    /// The id of the tenant with that name.
    fn id(&self, name: &str) -> Option<TenantId> {
        let index = self.names.iter().position(|known| known == name)?;
        Some(TenantId(index as u16))
    }

    /// The quota and share of the tenant with that name. An unknown tenant is appended.
    fn spec_mut(&mut self, name: &str) -> &mut TenantSpec {
        let known = self.names.iter().position(|known| known == name);
        let index = known.unwrap_or_else(|| {
            self.names.push(name.to_owned());
            self.names.len() - 1
        });
        let unset = TenantSpec {
            quota_per_s: 0.0,
            share: 0.0,
        };
        self.specs
            .resize(self.specs.len().max(self.names.len()), unset);
        &mut self.specs[index]
    }
}

#[cfg(test)]
#[path = "../../tests/unit/tenant_directory.rs"]
mod tests;
