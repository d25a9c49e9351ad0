//! A stand-in for a directory service, with the part of LDAPv3 that is needed to read tenants and
//! users, including paged searches.
use super::{Executor, listener};
use crate::tenant_directory::{PAGED_RESULTS_CONTROL, PagedResultsValue, take_message};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use rasn::types::SetOf;
use rasn_ldap::{
    AuthenticationChoice, BindRequest, BindResponse, Control, Filter, LdapMessage, LdapResult,
    PartialAttribute, ProtocolOp, ResultCode, SearchRequest, SearchResultDone, SearchResultEntry,
};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// The size of a read from a socket, in bytes.
const READ_BYTES: usize = 8192;

/// An attribute of an entry.
struct Attribute {
    name: String,
    value: String,
}

impl Attribute {
    fn new(name: &str, value: &str) -> Attribute {
        Attribute {
            name: name.to_owned(),
            value: value.to_owned(),
        }
    }

    fn encode(&self) -> PartialAttribute {
        let values = SetOf::from(vec![self.value.clone().into_bytes().into()]);
        PartialAttribute::new(self.name.as_str().into(), values)
    }
}

/// An entry of the directory.
struct Entry {
    object_class: &'static str,
    attributes: Vec<Attribute>,
}

/// The entries of the directory, and how it responds.
#[derive(Default)]
pub struct Content {
    entries: RefCell<Vec<Entry>>,
    /// The password that a bind has to give.
    pub password: RefCell<String>,
    /// The number of pages returned so far.
    pub pages: Cell<usize>,
    /// Whether searches end with the result `busy`.
    pub busy: Cell<bool>,
}

/// A stand-in directory service.
pub struct Directory {
    /// The address of its listener.
    pub addr: SocketAddr,
    /// Its entries and behavior.
    pub content: Rc<Content>,
}

impl Directory {
    /// Starts an empty directory.
    pub fn start(executor: &Executor) -> Directory {
        let (listener, addr) = listener();
        let content: Rc<Content> = Rc::default();
        let served_content = Rc::clone(&content);
        let spawner = executor.clone();
        let accept = async move {
            let mut incoming = Box::pin(listener.incoming());
            while let Some(Ok(stream)) = incoming.next().await {
                let connection = Connection {
                    stream,
                    content: Rc::clone(&served_content),
                    bound: false,
                };
                // A failed connection ends in the same way as one that its client closes.
                spawner
                    .spawn(async move { drop(connection.serve().await) })
                    .detach();
            }
        };
        executor.spawn(accept).detach();
        Directory { addr, content }
    }

    /// Adds a tenant.
    pub fn add_tenant(&self, name: &str, share: &str) {
        self.content.entries.borrow_mut().push(Entry {
            object_class: "organizationalUnit",
            attributes: vec![
                Attribute::new("ou", name),
                Attribute::new("description", share),
            ],
        });
    }

    /// Adds a user. Attributes with an empty value are omitted.
    pub fn add_user(&self, name: &str, key: &str, tenant: &str) {
        let attributes = [
            ("uid", name),
            ("employeeNumber", key),
            ("departmentNumber", tenant),
        ];
        self.content.entries.borrow_mut().push(Entry {
            object_class: "inetOrgPerson",
            attributes: attributes
                .into_iter()
                .filter(|(_, value)| !value.is_empty())
                .map(|(name, value)| Attribute::new(name, value))
                .collect(),
        });
    }
}

/// A connection of a client.
struct Connection {
    stream: Async<TcpStream>,
    content: Rc<Content>,
    /// Whether the last bind succeeded.
    bound: bool,
}

impl Connection {
    /// Responds to requests until the client closes the connection or sends an unsupported request.
    async fn serve(mut self) -> std::io::Result<()> {
        let mut input = Vec::new();
        let mut buffer = vec![0; READ_BYTES];
        loop {
            while let Ok(Some(request)) = take_message(&mut input) {
                let Some(responses) = self.respond(request) else {
                    return Ok(());
                };
                for response in responses {
                    let bytes = rasn::ber::encode(&response).unwrap_or_default();
                    self.stream.write_all(&bytes).await?;
                }
            }
            match self.stream.read(&mut buffer).await? {
                0 => return Ok(()),
                count => input.extend_from_slice(&buffer[..count]),
            }
        }
    }

    /// Returns the responses to a request, or `None` if the connection is to be closed.
    fn respond(&mut self, request: LdapMessage) -> Option<Vec<LdapMessage>> {
        let id = request.message_id;
        match request.protocol_op {
            ProtocolOp::BindRequest(bind) => Some(vec![self.bind(id, &bind)?]),
            ProtocolOp::SearchRequest(search) => {
                let page = requested_page(request.controls.as_deref())?;
                self.search(id, &search, &page)
            }
            _ => None,
        }
    }

    fn bind(&mut self, id: u32, bind: &BindRequest) -> Option<LdapMessage> {
        let AuthenticationChoice::Simple(password) = &bind.authentication else {
            return None;
        };
        self.bound = password[..] == *self.content.password.borrow().as_bytes();
        let code = if self.bound {
            ResultCode::Success
        } else {
            ResultCode::InvalidCredentials
        };
        let response = BindResponse::new(code, "".into(), "".into(), None, None);
        Some(LdapMessage::new(id, ProtocolOp::BindResponse(response)))
    }

    /// Returns one page of the entries of an object class, and the result with the cookie for the
    /// next page.
    fn search(
        &self,
        id: u32,
        search: &SearchRequest,
        page: &PagedResultsValue,
    ) -> Option<Vec<LdapMessage>> {
        let Filter::EqualityMatch(object_class) = &search.filter else {
            return None;
        };
        let entries = self.content.entries.borrow();
        let found: Vec<&Entry> = entries
            .iter()
            .filter(|entry| entry.object_class.as_bytes() == &object_class.assertion_value[..])
            .collect();
        let start = page_start(page);
        let end = (start + page.size as usize).min(found.len());
        let mut responses: Vec<LdapMessage> = found[start.min(end)..end]
            .iter()
            .map(|entry| entry_response(id, search, entry))
            .collect();
        self.content.pages.set(self.content.pages.get() + 1);
        let cookie = if end < found.len() {
            end.to_string()
        } else {
            String::new()
        };
        responses.push(self.search_result(id, found.len() as u32, cookie));
        Some(responses)
    }

    fn search_result(&self, id: u32, size: u32, cookie: String) -> LdapMessage {
        let code = match (self.bound, self.content.busy.get()) {
            (true, false) => ResultCode::Success,
            (true, true) => ResultCode::Busy,
            (false, _) => ResultCode::InsufficientAccessRights,
        };
        let value = PagedResultsValue {
            size,
            cookie: cookie.into_bytes().into(),
        };
        let value = rasn::ber::encode(&value).unwrap_or_default();
        let control = Control::new(PAGED_RESULTS_CONTROL.into(), false, Some(value.into()));
        let done = SearchResultDone(LdapResult::new(code, "".into(), "".into()));
        let mut message = LdapMessage::new(id, ProtocolOp::SearchResDone(done));
        message.controls = Some(vec![control]);
        message
    }
}

/// The page that a search requests; `None` if it requests none.
fn requested_page(controls: Option<&[Control]>) -> Option<PagedResultsValue> {
    let value = controls?
        .iter()
        .filter(|control| *control.control_type == *PAGED_RESULTS_CONTROL)
        .find_map(|control| control.control_value.as_ref())?;
    rasn::ber::decode(value).ok()
}

/// The index of the first entry of a page, which is the cookie that the previous page returned.
fn page_start(page: &PagedResultsValue) -> usize {
    std::str::from_utf8(&page.cookie)
        .ok()
        .and_then(|cookie| cookie.parse().ok())
        .unwrap_or(0)
}

/// Encodes an entry with the attributes that the search requests.
fn entry_response(id: u32, search: &SearchRequest, entry: &Entry) -> LdapMessage {
    let is_requested = |attribute: &&Attribute| {
        search
            .attributes
            .iter()
            .any(|requested| requested.0.eq_ignore_ascii_case(&attribute.name))
    };
    let attributes = entry
        .attributes
        .iter()
        .filter(is_requested)
        .map(Attribute::encode)
        .collect();
    let response = SearchResultEntry::new("cn=entry".into(), attributes);
    LdapMessage::new(id, ProtocolOp::SearchResEntry(response))
}
