//! The running process: accepts successors on the manager's Unix socket.
use super::POLL_INTERVAL;
use super::predecessor_session::{self, TransferredItem};
use crate::lifecycle::SuccessorState;
use crate::log;
use crate::net::Shared;
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::future::or;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Upper bound on the successors that are connected at once.
const MAX_SUCCESSORS: usize = 4;

/// What this process offers to its successors.
pub struct Predecessor {
    /// The Unix socket at which they connect.
    pub socket_path: PathBuf,
    /// The manager's name.
    pub name: String,
    /// The listeners that are passed, in this order.
    pub listeners: Vec<(SocketAddr, OwnedFd)>,
}

/// A connected successor.
struct Successor {
    state: SuccessorState,
    /// What is passed to it.
    items: Sender<TransferredItem>,
}

/// The connected successors, and what follows from all of them for this process.
#[derive(Default)]
pub(super) struct SuccessorTable {
    successors: RefCell<BTreeMap<u64, Successor>>,
}

impl SuccessorTable {
    fn len(&self) -> usize {
        self.successors.borrow().len()
    }

    /// Records the state of a successor, and where what is passed to it is sent.
    pub(super) fn set(
        &self,
        shared: &Shared,
        id: u64,
        state: SuccessorState,
        items: &Sender<TransferredItem>,
    ) {
        let items = items.clone();
        let successor = Successor { state, items };
        self.successors.borrow_mut().insert(id, successor);
        self.update_lifecycle(shared);
    }

    /// Removes a successor that has ended, and returns its last state.
    fn remove(&self, shared: &Shared, id: u64) -> Option<SuccessorState> {
        let successor = self.successors.borrow_mut().remove(&id);
        self.update_lifecycle(shared);
        successor.map(|successor| successor.state)
    }

    /// The lifecycle sees one successor: the newest ready one if there is any, otherwise the oldest.
    /// Connections pass to the ready one.
    fn update_lifecycle(&self, shared: &Shared) {
        let successors = self.successors.borrow();
        let is_ready = |successor: &&Successor| successor.state == SuccessorState::Ready;
        let ready = successors.values().rev().find(is_ready);
        let oldest = successors.values().next();
        let state = ready.or(oldest).map(|successor| successor.state);
        let mut lifecycle = shared.lifecycle.borrow_mut();
        lifecycle.set_successor(state.unwrap_or_default());
        *shared.successor.borrow_mut() = ready.map(|successor| successor.items.clone());
    }
}

/// Accepts successors for as long as the process runs. Whenever one that served ends while this
/// process goes on, the socket is bound again: the path was the successor's by then.
pub async fn accept_successors(shared: Rc<Shared>, predecessor: Predecessor) {
    let predecessor = Rc::new(predecessor);
    let successors = Rc::new(SuccessorTable::default());
    let (socket_lost, rebind) = async_channel::bounded::<()>(1);
    let mut next_id = 0;
    loop {
        let listener = match bind(&predecessor.socket_path) {
            Ok(listener) => listener,
            Err(error) => {
                let path = predecessor.socket_path.display();
                log!("no process can follow this one, {path}: {error}");
                return;
            }
        };
        loop {
            let accepted = async { Some(listener.accept().await) };
            let rebind = async {
                let _ = rebind.recv().await;
                None
            };
            match or(accepted, rebind).await {
                Some(Ok((peer, _))) if successors.len() < MAX_SUCCESSORS => {
                    next_id += 1;
                    shared.spawn(serve_successor(
                        shared.clone(),
                        predecessor.clone(),
                        successors.clone(),
                        SuccessorConnection { id: next_id, peer },
                        socket_lost.clone(),
                    ));
                }
                Some(Ok(_)) => {}
                Some(Err(_)) => drop(Timer::after(POLL_INTERVAL).await),
                None => break,
            }
        }
    }
}

/// An accepted connection.
pub(super) struct SuccessorConnection {
    pub(super) id: u64,
    pub(super) peer: Async<UnixStream>,
}

/// Runs the session with one successor, and cleans up after it.
async fn serve_successor(
    shared: Rc<Shared>,
    predecessor: Rc<Predecessor>,
    successors: Rc<SuccessorTable>,
    connection: SuccessorConnection,
    socket_lost: Sender<()>,
) {
    let id = connection.id;
    predecessor_session::run(&shared, &predecessor, &successors, connection).await;
    let last_state = successors.remove(&shared, id);
    let served = last_state == Some(SuccessorState::Ready);
    if served && !shared.lifecycle.borrow().is_stopping() {
        let _ = socket_lost.try_send(());
    }
}

/// Binds the socket under a name of its own and renames it to `path`, which atomically replaces the
/// socket of an older process or one that a dead process left behind.
fn bind(path: &Path) -> io::Result<Async<UnixListener>> {
    let mut own_path = path.as_os_str().to_owned();
    own_path.push(format!(".{}", std::process::id()));
    let own_path = PathBuf::from(own_path);
    let _ = std::fs::remove_file(&own_path);
    let listener = Async::<UnixListener>::bind(&own_path)?;
    std::fs::rename(&own_path, path)?;
    Ok(listener)
}

#[cfg(test)]
#[path = "../../../tests/unit/net_hot_restart_predecessor.rs"]
mod tests;
