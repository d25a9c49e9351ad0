//! The predecessor's side: accepts successors on the manager's Unix socket.
use super::POLL_INTERVAL;
use super::endpoint_list_exchange::DiscoveryChannels;
use super::predecessor_session::{self, TransferredItem};
use crate::lifecycle::SuccessorState;
use crate::log;
use crate::net::Shared;
use crate::net::dispatcher::DispatcherEvent;
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

/// The maximum number of successors that are connected at the same time.
const MAX_SUCCESSORS: usize = 4;

/// The listeners that this process transfers to its successors, and where these connect.
pub struct Predecessor {
    /// The Unix socket at which they connect.
    pub socket_path: PathBuf,
    /// The manager's name.
    pub name: String,
    /// The listeners to transfer, in this order.
    pub listeners: Vec<(SocketAddr, OwnedFd)>,
    /// The dispatcher, whose request ids the successors must not admit again.
    pub dispatcher: Sender<DispatcherEvent>,
    /// The actors of discovery, whose endpoint list the successors receive.
    pub discovery: DiscoveryChannels,
}

/// A connected successor.
struct Successor {
    state: SuccessorState,
    /// The channel of the items that its session transfers to it.
    items: Sender<TransferredItem>,
}

/// The connected successors. Their states determine the lifecycle's successor state, and which
/// successor receives this process's client connections.
#[derive(Default)]
pub(super) struct SuccessorTable {
    successors: RefCell<BTreeMap<u64, Successor>>,
}

impl SuccessorTable {
    fn len(&self) -> usize {
        self.successors.borrow().len()
    }

    /// Records the state of a successor, and the channel of the items for it.
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

    /// Records that a successor was asked to stop. One that did not serve yet stays as it is until
    /// it exits.
    pub(super) fn set_stopping(&self, shared: &Shared, id: u64) {
        if let Some(successor) = self.successors.borrow_mut().get_mut(&id)
            && successor.state == SuccessorState::Ready
        {
            successor.state = SuccessorState::Stopping;
        }
        self.update_lifecycle(shared);
    }

    /// Removes a successor whose session has ended, and returns its last state.
    fn remove(&self, shared: &Shared, id: u64) -> Option<SuccessorState> {
        let successor = self.successors.borrow_mut().remove(&id);
        self.update_lifecycle(shared);
        successor.map(|successor| successor.state)
    }

    /// Sets the lifecycle's successor state to that of the newest ready successor if there is one,
    /// otherwise to that of one that starts, otherwise to that of one that stops. Client connections
    /// are transferred only to that ready one.
    fn update_lifecycle(&self, shared: &Shared) {
        let successors = self.successors.borrow();
        let newest_in = |state: SuccessorState| {
            let mut newest_first = successors.values().rev();
            newest_first.find(|successor| successor.state == state)
        };
        let ready = newest_in(SuccessorState::Ready);
        let state = ready
            .or_else(|| newest_in(SuccessorState::Starting))
            .or_else(|| newest_in(SuccessorState::Stopping))
            .map(|successor| successor.state);
        let mut lifecycle = shared.lifecycle.borrow_mut();
        lifecycle.set_successor(state.unwrap_or_default());
        *shared.successor.borrow_mut() = ready.map(|successor| successor.items.clone());
    }
}

/// Accepts successors for as long as the process runs. A successor that serves binds its own socket
/// at the same path, so this process binds the path again if such a successor ends and this process
/// is not shutting down.
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
                log!("hot restart: can't bind {path}, no successor can take over: {error}");
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

/// Runs the session with one successor, then removes it, and has the socket bound again if needed.
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
    let served = matches!(
        last_state,
        Some(SuccessorState::Ready | SuccessorState::Stopping)
    );
    if served && !shared.lifecycle.borrow().is_stopping() {
        let _ = socket_lost.try_send(());
    }
}

/// Binds the socket at a path with this process's id and renames it to `path`. This atomically
/// replaces the socket of an older process, or the stale one of a process that has exited.
fn bind(path: &Path) -> io::Result<Async<UnixListener>> {
    let mut process_path = path.as_os_str().to_owned();
    process_path.push(format!(".{}", std::process::id()));
    let process_path = PathBuf::from(process_path);
    let _ = std::fs::remove_file(&process_path);
    let listener = Async::<UnixListener>::bind(&process_path)?;
    std::fs::rename(&process_path, path)?;
    Ok(listener)
}

#[cfg(test)]
#[path = "../../../tests/unit/net_hot_restart_predecessor.rs"]
mod tests;
