//! A directory of tenants over LDAPv3: what is asked, and what the answers mean. The socket is in
//! `src/net`.
//!
//! One reading binds, searches the tenants and then the users page by page, and unbinds. It gives a
//! whole list or none: whoever reads keeps the last good one.
use crate::config::clickhouse::{DirectoryConfig, Users};
use crate::config::process::Names;
use crate::policy::api::{TenantId, TenantSpec};
use rasn::prelude::*;
use rasn_ldap::{
    AuthenticationChoice, BindRequest, Control, Filter, LdapMessage, PartialAttribute, ProtocolOp,
    ResultCode, SearchRequest, SearchRequestDerefAliases, SearchRequestScope, UnbindRequest,
};

/// A longer message is not believed.
const MOST_MESSAGE: usize = 256 * 1024;
/// More entries than this are not read.
const MOST_ENTRIES: usize = 100_000;
/// The control of simple paged results (RFC 2696).
pub const PAGED: &[u8] = b"1.2.840.113556.1.4.319";

/// The value of that control.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
pub struct PagedValue {
    /// Entries wanted, or an estimate of all.
    pub size: u32,
    /// Where the next page goes on; empty for the first, and after the last.
    pub cookie: OctetString,
}

/// What a directory says, once read whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectorySnapshot {
    /// Tenants and their shares.
    pub tenants: Vec<(String, f64)>,
    /// Users: name, key, tenant.
    pub users: Vec<(String, String, Option<String>)>,
}

impl DirectorySnapshot {
    /// What the module and the fronts need of it: shares of the same whole rate as in the settings,
    /// and users. `names` grows by the tenants that the settings do not know.
    pub fn apply(&self, names: &mut Vec<String>, specs: &mut Vec<TenantSpec>, users: &mut Users) {
        let whole: f64 = specs.iter().map(|t| t.quota_per_s).sum();
        let all: f64 = self.tenants.iter().map(|(_, share)| share).sum();
        for (name, share) in &self.tenants {
            let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
                names.push(name.clone());
                names.len() - 1
            });
            specs.resize(
                specs.len().max(names.len()),
                TenantSpec {
                    quota_per_s: 0.0,
                    share: 0.0,
                },
            );
            let share = if all > 0.0 { share / all } else { 0.0 };
            specs[at] = TenantSpec {
                quota_per_s: whole * share,
                share,
            };
        }
        for (name, key, tenant) in &self.users {
            let at = tenant
                .as_ref()
                .and_then(|t| names.iter().position(|n| n == t));
            users.add(name, key, at.map(|at| TenantId(at as u16)));
        }
    }
}

/// Why a reading failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection could not be made, broke, or was silent.
    Connection,
    /// What came is not LDAP, or not what was asked for.
    Garbled,
    /// The directory said no.
    Denied(String),
    /// There are too many entries.
    TooMany,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchStep {
    Bind,
    Tenants,
    Users,
}

/// One reading.
pub struct DirectoryRead {
    line: DirectoryConfig,
    step: SearchStep,
    message_id: u32,
    input: Vec<u8>,
    found: DirectorySnapshot,
}

fn encode(message: &LdapMessage) -> Vec<u8> {
    // These types have no value that BER can't say.
    rasn::ber::encode(message).unwrap_or_default()
}

/// The length of the first message, if its head is there.
pub fn message_length(input: &[u8]) -> Result<Option<usize>, ReadError> {
    let (Some(tag), Some(first)) = (input.first(), input.get(1)) else {
        return Ok(None);
    };
    if *tag != 0x30 {
        return Err(ReadError::Garbled);
    }
    let length = match usize::from(*first) {
        short @ 0..=0x7f => 2 + short,
        long @ 0x81..=0x84 => {
            let Some(bytes) = input.get(2..2 + (long - 0x80)) else {
                return Ok(None);
            };
            2 + bytes.len() + bytes.iter().fold(0, |n, b| n << 8 | usize::from(*b))
        }
        _ => return Err(ReadError::Garbled),
    };
    if length > MOST_MESSAGE {
        Err(ReadError::Garbled)
    } else {
        Ok(Some(length))
    }
}

/// Takes the first whole message off the input.
pub fn take_message(input: &mut Vec<u8>) -> Result<Option<LdapMessage>, ReadError> {
    let Some(length) = message_length(input)?.filter(|n| *n <= input.len()) else {
        return Ok(None);
    };
    let bytes: Vec<u8> = input.drain(..length).collect();
    rasn::ber::decode(&bytes)
        .map(Some)
        .map_err(|_| ReadError::Garbled)
}

impl DirectoryRead {
    /// A new reading and its first message.
    pub fn new(line: DirectoryConfig) -> (DirectoryRead, Vec<u8>) {
        let password = OctetString::from(line.bind_password.clone().into_bytes());
        let bind = BindRequest::new(
            3,
            line.bind_dn.as_str().into(),
            AuthenticationChoice::Simple(password),
        );
        let message = LdapMessage::new(1, ProtocolOp::BindRequest(bind));
        let (step, found) = (SearchStep::Bind, DirectorySnapshot::default());
        (
            DirectoryRead {
                line,
                step,
                message_id: 1,
                input: Vec::new(),
                found,
            },
            encode(&message),
        )
    }

    fn search(&mut self, cookie: OctetString) -> Vec<u8> {
        let line = &self.line;
        let (base, class, wanted) = match self.step {
            SearchStep::Users => {
                let wanted = [
                    &line.name_attribute,
                    &line.tenant_attribute,
                    &line.key_attribute,
                ];
                (&line.users_base, &line.users_class, wanted.to_vec())
            }
            SearchStep::Bind | SearchStep::Tenants => {
                let wanted = [&line.tenant_name_attribute, &line.share_attribute];
                (&line.tenants_base, &line.tenants_class, wanted.to_vec())
            }
        };
        let filter = Filter::EqualityMatch(rasn_ldap::AttributeValueAssertion::new(
            "objectClass".into(),
            class.clone().into_bytes().into(),
        ));
        let wanted = wanted.into_iter().filter(|name| !name.is_empty());
        let request = SearchRequest::new(
            base.as_str().into(),
            SearchRequestScope::WholeSubtree,
            SearchRequestDerefAliases::NeverDerefAliases,
            0,
            0,
            false,
            filter,
            wanted.map(|name| name.as_str().into()).collect(),
        );
        let page = PagedValue {
            size: line.page,
            cookie,
        };
        let page = rasn::ber::encode(&page).unwrap_or_default();
        self.message_id += 1;
        let mut message = LdapMessage::new(self.message_id, ProtocolOp::SearchRequest(request));
        message.controls = Some(vec![Control::new(PAGED.into(), true, Some(page.into()))]);
        encode(&message)
    }

    fn entry(&mut self, attributes: &[PartialAttribute]) {
        let line = &self.line;
        let value = |name: &str| -> Option<String> {
            let found = attributes
                .iter()
                .find(|a| a.r#type.0.eq_ignore_ascii_case(name))?;
            first(&found.vals).and_then(|v| String::from_utf8(v).ok())
        };
        match self.step {
            SearchStep::Users => {
                if let Some(name) = value(&line.name_attribute) {
                    let key = value(&line.key_attribute).unwrap_or_default();
                    self.found
                        .users
                        .push((name, key, value(&line.tenant_attribute)));
                }
            }
            SearchStep::Bind | SearchStep::Tenants => {
                let share = value(&line.share_attribute).and_then(|s| s.trim().parse::<f64>().ok());
                let share = share.filter(|s| s.is_finite() && *s >= 0.0);
                if let Some((name, share)) = value(&line.tenant_name_attribute).zip(share) {
                    self.found.tenants.push((name, share));
                }
            }
        }
    }

    /// Reads what came. Gives what to write next, and the listing once it is whole.
    pub fn feed(
        &mut self,
        input: &[u8],
    ) -> Result<(Vec<u8>, Option<DirectorySnapshot>), ReadError> {
        self.input.extend_from_slice(input);
        let mut out = Vec::new();
        while let Some(message) = take_message(&mut self.input)? {
            if message.message_id != self.message_id {
                return Err(ReadError::Garbled);
            }
            match (message.protocol_op, self.step) {
                (ProtocolOp::BindResponse(r), SearchStep::Bind) => {
                    check(r.result_code, &r.diagnostic_message.0)?;
                    self.step = SearchStep::Tenants;
                    out.extend(self.search(OctetString::from(Vec::new())));
                }
                (ProtocolOp::SearchResEntry(entry), SearchStep::Tenants | SearchStep::Users) => {
                    self.entry(&entry.attributes);
                    if self.found.users.len() + self.found.tenants.len() > MOST_ENTRIES {
                        return Err(ReadError::TooMany);
                    }
                }
                (ProtocolOp::SearchResRef(_), SearchStep::Tenants | SearchStep::Users) => {}
                (ProtocolOp::SearchResDone(done), SearchStep::Tenants | SearchStep::Users) => {
                    check(done.0.result_code, &done.0.diagnostic_message.0)?;
                    let control = message
                        .controls
                        .iter()
                        .flatten()
                        .find(|c| *c.control_type == *PAGED);
                    let value = control.and_then(|c| c.control_value.as_ref());
                    let cookie = match value {
                        Some(value) => {
                            rasn::ber::decode::<PagedValue>(value)
                                .map_err(|_| ReadError::Garbled)?
                                .cookie
                        }
                        None => OctetString::from(Vec::new()),
                    };
                    if !cookie.is_empty() {
                        out.extend(self.search(cookie));
                    } else if self.step == SearchStep::Tenants {
                        self.step = SearchStep::Users;
                        out.extend(self.search(cookie));
                    } else {
                        let unbind = ProtocolOp::UnbindRequest(UnbindRequest);
                        out.extend(encode(&LdapMessage::new(self.message_id + 1, unbind)));
                        return Ok((out, Some(std::mem::take(&mut self.found))));
                    }
                }
                _ => return Err(ReadError::Garbled),
            }
        }
        Ok((out, None))
    }
}

fn first(values: &SetOf<OctetString>) -> Option<Vec<u8>> {
    values.to_vec().first().map(|v| v.to_vec())
}

fn check(code: ResultCode, text: &str) -> Result<(), ReadError> {
    match code {
        ResultCode::Success => Ok(()),
        code => Err(ReadError::Denied(format!("{code:?} {text}"))),
    }
}

/// The names of the tenants, the module's view of them, and the users: as the settings and the file
/// have them, and as the directory last said.
pub struct Tenants {
    /// Names, in the order of the module's tenants.
    pub names: Vec<String>,
    /// What the module is told.
    pub specs: Vec<TenantSpec>,
}

impl Tenants {
    /// As the settings have them.
    pub fn new(names: &Names, specs: Vec<TenantSpec>) -> Tenants {
        Tenants {
            names: names.tenants.clone(),
            specs,
        }
    }
}
