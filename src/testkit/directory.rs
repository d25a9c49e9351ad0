//! A stand-in directory: binds, and searches in pages, as far as a list of tenants and users needs
//! it.
use super::{Executor, listener};
use crate::tenant_directory::{PAGED, PagedValue, take_message};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use rasn::types::SetOf;
use rasn_ldap::{
    AuthenticationChoice, BindResponse, Control, Filter, LdapMessage, LdapResult, PartialAttribute,
    ProtocolOp, ResultCode, SearchResultDone, SearchResultEntry,
};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// An entry: its class, and its attributes.
pub type Entry = (String, Vec<(String, String)>);

/// What it holds, and who may read it.
#[derive(Default)]
pub struct Content {
    /// The entries.
    pub entries: RefCell<Vec<Entry>>,
    /// The password of the one who may bind.
    pub password: RefCell<String>,
    /// Pages given so far.
    pub pages: Cell<usize>,
    /// Answers searches with 'busy'.
    pub busy: Cell<bool>,
}

/// The stand-in.
pub struct Directory {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it holds.
    pub content: Rc<Content>,
}

impl Directory {
    /// Starts one.
    pub fn start(executor: &Executor) -> Directory {
        let (listener, addr) = listener();
        let content: Rc<Content> = Rc::default();
        let (all, spawner) = (content.clone(), executor.clone());
        let serve = async move {
            let mut incoming = Box::pin(listener.incoming());
            while let Some(Ok(stream)) = incoming.next().await {
                let content = all.clone();
                spawner
                    .spawn(async move { drop(answer(stream, &content).await) })
                    .detach();
            }
        };
        executor.spawn(serve).detach();
        Directory { addr, content }
    }

    /// Adds a tenant.
    pub fn tenant(&self, name: &str, share: &str) {
        let attributes =
            [("ou", name), ("description", share)].map(|(n, v)| (n.to_owned(), v.to_owned()));
        self.content
            .entries
            .borrow_mut()
            .push(("organizationalUnit".into(), attributes.into()));
    }

    /// Adds a user; without a tenant if that is empty.
    pub fn user(&self, name: &str, key: &str, tenant: &str) {
        let all = [
            ("uid", name),
            ("employeeNumber", key),
            ("departmentNumber", tenant),
        ];
        let told = all
            .iter()
            .filter(|(_, v)| !v.is_empty())
            .map(|(n, v)| ((*n).to_owned(), (*v).to_owned()));
        self.content
            .entries
            .borrow_mut()
            .push(("inetOrgPerson".into(), told.collect()));
    }
}

async fn answer(mut stream: Async<TcpStream>, content: &Content) -> std::io::Result<()> {
    let (mut input, mut buffer, mut bound) = (Vec::new(), vec![0; 8192], false);
    loop {
        while let Ok(Some(message)) = take_message(&mut input) {
            let id = message.message_id;
            let mut say = Vec::new();
            match message.protocol_op {
                ProtocolOp::BindRequest(bind) => {
                    let AuthenticationChoice::Simple(password) = &bind.authentication else {
                        return Ok(());
                    };
                    bound = password[..] == *content.password.borrow().as_bytes();
                    let code = if bound {
                        ResultCode::Success
                    } else {
                        ResultCode::InvalidCredentials
                    };
                    let response = BindResponse::new(code, "".into(), "".into(), None, None);
                    say.push(LdapMessage::new(id, ProtocolOp::BindResponse(response)));
                }
                ProtocolOp::SearchRequest(search) => {
                    let Filter::EqualityMatch(class) = &search.filter else {
                        return Ok(());
                    };
                    let entries = content.entries.borrow();
                    let is = |e: &&Entry| e.0.as_bytes() == &class.assertion_value[..];
                    let controls = message.controls.iter().flatten();
                    let paged = controls
                        .filter(|c| *c.control_type == *PAGED)
                        .find_map(|c| c.control_value.clone());
                    let Some(Ok(page)) = paged.map(|v| rasn::ber::decode::<PagedValue>(&v)) else {
                        return Ok(());
                    };
                    let from = std::str::from_utf8(&page.cookie)
                        .ok()
                        .and_then(|c| c.parse().ok())
                        .unwrap_or(0);
                    let found: Vec<&Entry> = entries.iter().filter(is).collect();
                    let to = (from + page.size as usize).min(found.len());
                    for (_, attributes) in &found[from.min(to)..to] {
                        let wanted = |name: &str| {
                            search
                                .attributes
                                .iter()
                                .any(|a| a.0.eq_ignore_ascii_case(name))
                        };
                        let attribute = |(name, value): &(String, String)| {
                            let values = SetOf::from(vec![value.clone().into_bytes().into()]);
                            PartialAttribute::new(name.as_str().into(), values)
                        };
                        let told = attributes
                            .iter()
                            .filter(|(n, _)| wanted(n))
                            .map(attribute)
                            .collect();
                        let entry = SearchResultEntry::new("cn=entry".into(), told);
                        say.push(LdapMessage::new(id, ProtocolOp::SearchResEntry(entry)));
                    }
                    content.pages.set(content.pages.get() + 1);
                    let cookie = if to < found.len() {
                        to.to_string()
                    } else {
                        String::new()
                    };
                    let value = PagedValue {
                        size: found.len() as u32,
                        cookie: cookie.into_bytes().into(),
                    };
                    let code = match (bound, content.busy.get()) {
                        (true, false) => ResultCode::Success,
                        (true, true) => ResultCode::Busy,
                        (false, _) => ResultCode::InsufficientAccessRights,
                    };
                    let done = SearchResultDone(LdapResult::new(code, "".into(), "".into()));
                    let mut done = LdapMessage::new(id, ProtocolOp::SearchResDone(done));
                    let value = rasn::ber::encode(&value).unwrap_or_default();
                    done.controls =
                        Some(vec![Control::new(PAGED.into(), false, Some(value.into()))]);
                    say.push(done);
                }
                _ => return Ok(()),
            }
            for message in say {
                let bytes = rasn::ber::encode(&message).unwrap_or_default();
                stream.write_all(&bytes).await?;
            }
        }
        match stream.read(&mut buffer).await? {
            0 => return Ok(()),
            n => input.extend_from_slice(&buffer[..n]),
        }
    }
}
