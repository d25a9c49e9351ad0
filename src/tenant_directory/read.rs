//! One read of the directory, as a state machine without a socket.
use super::codec::{encode, next_page_cookie, page_request};
use super::{DirectorySnapshot, DirectoryTenant, DirectoryUser, ReadError, take_message};
use crate::config::clickhouse::DirectoryConfig;
use rasn::prelude::*;
use rasn_ldap::{
    AttributeValueAssertion, AuthenticationChoice, BindRequest, Filter, LdapMessage,
    PartialAttribute, ProtocolOp, ResultCode, SearchRequest, SearchRequestDerefAliases,
    SearchRequestScope, UnbindRequest,
};

/// Limit on the number of entries; a read with more fails.
const MAX_ENTRIES: usize = 100_000;
/// The version of LDAP.
const LDAP_VERSION: u8 = 3;
/// The id of the first message.
const BIND_MESSAGE_ID: u32 = 1;
/// Value of the size and time limits of a search: only the limits of the directory apply.
const NO_LIMIT: u32 = 0;

/// The entries that a search requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchStep {
    Tenants,
    Users,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadStep {
    /// Waiting for the response to the bind.
    Bind,
    /// Waiting for the final response of a search.
    Search(SearchStep),
}

/// Result of processing one input.
#[derive(Default)]
pub struct ReadProgress {
    /// Bytes to send to the directory.
    pub output: Vec<u8>,
    /// The snapshot, once the read is complete.
    pub snapshot: Option<DirectorySnapshot>,
}

/// One read: a bind, the searches page by page, and the unbind.
pub struct DirectoryRead {
    config: DirectoryConfig,
    step: ReadStep,
    message_id: u32,
    input: Vec<u8>,
    snapshot: DirectorySnapshot,
}

impl DirectoryRead {
    /// Creates a read. Returns it with the first bytes to send to the directory.
    pub fn new(config: DirectoryConfig) -> (DirectoryRead, Vec<u8>) {
        let password = OctetString::from(config.bind_password.clone().into_bytes());
        let bind = BindRequest::new(
            LDAP_VERSION,
            config.bind_dn.as_str().into(),
            AuthenticationChoice::Simple(password),
        );
        let message = LdapMessage::new(BIND_MESSAGE_ID, ProtocolOp::BindRequest(bind));
        let read = DirectoryRead {
            config,
            step: ReadStep::Bind,
            message_id: BIND_MESSAGE_ID,
            input: Vec::new(),
            snapshot: DirectorySnapshot::default(),
        };
        (read, encode(&message))
    }

    /// Processes bytes received from the directory.
    ///
    /// # Errors
    /// The directory rejected a request, or the input is invalid, is not a response to the open
    /// request, or exceeds the limit on entries. The read cannot continue.
    pub fn feed(&mut self, input: &[u8]) -> Result<ReadProgress, ReadError> {
        self.input.extend_from_slice(input);
        let mut progress = ReadProgress::default();
        while let Some(message) = take_message(&mut self.input)? {
            self.handle_message(message, &mut progress)?;
            if progress.snapshot.is_some() {
                break;
            }
        }
        Ok(progress)
    }

    fn handle_message(
        &mut self,
        message: LdapMessage,
        progress: &mut ReadProgress,
    ) -> Result<(), ReadError> {
        if message.message_id != self.message_id {
            return Err(ReadError::WrongMessageId {
                expected: self.message_id,
                found: message.message_id,
            });
        }
        match (message.protocol_op, self.step) {
            (ProtocolOp::BindResponse(response), ReadStep::Bind) => {
                check_result(response.result_code, &response.diagnostic_message.0)?;
                progress
                    .output
                    .extend(self.start_search(SearchStep::Tenants));
                Ok(())
            }
            (ProtocolOp::SearchResEntry(entry), ReadStep::Search(step)) => {
                self.add_entry(step, &entry.attributes)
            }
            // References to other directories are not followed.
            (ProtocolOp::SearchResRef(_), ReadStep::Search(_)) => Ok(()),
            (ProtocolOp::SearchResDone(done), ReadStep::Search(step)) => {
                check_result(done.0.result_code, &done.0.diagnostic_message.0)?;
                let cookie = next_page_cookie(message.controls.as_deref())?;
                self.finish_page(step, cookie, progress);
                Ok(())
            }
            _ => Err(ReadError::UnexpectedMessage),
        }
    }

    /// Requests the next page, or else starts the next search. Completes the read after the
    /// last page of the last search.
    fn finish_page(&mut self, step: SearchStep, cookie: OctetString, progress: &mut ReadProgress) {
        let output = if !cookie.is_empty() {
            self.search_page(step, cookie)
        } else if step == SearchStep::Tenants {
            self.start_search(SearchStep::Users)
        } else {
            progress.snapshot = Some(std::mem::take(&mut self.snapshot));
            let unbind = ProtocolOp::UnbindRequest(UnbindRequest);
            encode(&LdapMessage::new(self.message_id + 1, unbind))
        };
        progress.output.extend(output);
    }

    fn start_search(&mut self, step: SearchStep) -> Vec<u8> {
        self.step = ReadStep::Search(step);
        self.search_page(step, OctetString::from(Vec::new()))
    }

    /// Encodes the request for the page of a search that `cookie` refers to.
    fn search_page(&mut self, step: SearchStep, cookie: OctetString) -> Vec<u8> {
        let request = self.search_request(step);
        self.message_id += 1;
        let mut message = LdapMessage::new(self.message_id, ProtocolOp::SearchRequest(request));
        message.controls = Some(vec![page_request(self.config.page, cookie)]);
        encode(&message)
    }

    fn search_request(&self, step: SearchStep) -> SearchRequest {
        let config = &self.config;
        let (base, object_class) = match step {
            SearchStep::Tenants => (&config.tenants_base, &config.tenants_class),
            SearchStep::Users => (&config.users_base, &config.users_class),
        };
        let filter = Filter::EqualityMatch(AttributeValueAssertion::new(
            "objectClass".into(),
            object_class.clone().into_bytes().into(),
        ));
        SearchRequest::new(
            base.as_str().into(),
            SearchRequestScope::WholeSubtree,
            SearchRequestDerefAliases::NeverDerefAliases,
            NO_LIMIT,
            NO_LIMIT,
            false,
            filter,
            self.requested_attributes(step)
                .into_iter()
                .filter(|name| !name.is_empty())
                .map(|name| name.as_str().into())
                .collect(),
        )
    }

    fn requested_attributes(&self, step: SearchStep) -> Vec<&String> {
        let config = &self.config;
        match step {
            SearchStep::Tenants => vec![&config.tenant_name_attribute, &config.share_attribute],
            SearchStep::Users => vec![
                &config.name_attribute,
                &config.tenant_attribute,
                &config.key_attribute,
            ],
        }
    }

    /// Adds an entry of a search. An entry without its required attributes is skipped.
    fn add_entry(
        &mut self,
        step: SearchStep,
        attributes: &[PartialAttribute],
    ) -> Result<(), ReadError> {
        match step {
            SearchStep::Tenants => self.snapshot.tenants.extend(self.tenant(attributes)),
            SearchStep::Users => self.snapshot.users.extend(self.user(attributes)),
        }
        if self.snapshot.len() > MAX_ENTRIES {
            return Err(ReadError::TooManyEntries { limit: MAX_ENTRIES });
        }
        Ok(())
    }

    fn tenant(&self, attributes: &[PartialAttribute]) -> Option<DirectoryTenant> {
        let name = value(attributes, &self.config.tenant_name_attribute)?;
        let share: f64 = value(attributes, &self.config.share_attribute)?
            .trim()
            .parse()
            .ok()?;
        (share.is_finite() && share >= 0.0).then_some(DirectoryTenant { name, share })
    }

    fn user(&self, attributes: &[PartialAttribute]) -> Option<DirectoryUser> {
        Some(DirectoryUser {
            name: value(attributes, &self.config.name_attribute)?,
            key: value(attributes, &self.config.key_attribute).unwrap_or_default(),
            tenant: value(attributes, &self.config.tenant_attribute),
        })
    }
}

/// The first value of an attribute, if it is UTF-8 text.
fn value(attributes: &[PartialAttribute], name: &str) -> Option<String> {
    let attribute = attributes
        .iter()
        .find(|attribute| attribute.r#type.0.eq_ignore_ascii_case(name))?;
    let values = attribute.vals.to_vec();
    String::from_utf8(values.first()?.to_vec()).ok()
}

fn check_result(code: ResultCode, diagnostic: &str) -> Result<(), ReadError> {
    match code {
        ResultCode::Success => Ok(()),
        code => Err(ReadError::Denied {
            code,
            diagnostic: diagnostic.to_owned(),
        }),
    }
}
