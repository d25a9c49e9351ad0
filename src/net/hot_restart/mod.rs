//! Two processes as one manager while a new version takes over: the socket in `$TMPDIR` over which
//! the older one passes its listening descriptors, and the actors at both ends. What it means is
//! the lifecycle's to say.
use crate::clock::{self, MS, Micros};
use crate::dispatcher::{Failure, Response};
use crate::hot_restart::message::{HotRestartMessage, MessageReader, TransferredConnection};
use crate::lifecycle::SuccessorState;
use crate::log;
use crate::net::client::AdoptedConnection;
use crate::net::{CountGuard, Shared, sleep_until};
use async_channel::{Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// A peer that has not said what is due by then is left aside.
const PATIENCE: Micros = 400 * MS;
/// Between looks at what has changed.
const LOOK: Duration = Duration::from_millis(25);
/// Listening descriptors that pass at most: one for each front.
const MOST_LISTENERS: usize = 4;
/// Processes that may wait to follow at once.
const MOST_FOLLOWERS: usize = 4;

/// What passes to the process that follows, and is held to be unwritten until then.
pub enum TransferredItem {
    /// A client's connection: its number here, the descriptor, its state, and where words about it
    /// go.
    Client(
        u64,
        OwnedFd,
        TransferredConnection,
        Sender<HotRestartMessage>,
        CountGuard,
    ),
    /// An answer to one of the requests that are open here: the connection's number, the mark, and
    /// its bytes.
    Answer(u64, u64, Vec<u8>, CountGuard),
}

/// Messages that wait for the process that follows.
const MAILBOX: usize = 256;

/// Takes a client's connection over, and gives where answers for it go.
pub type Adopt = Box<dyn Fn(TcpStream, AdoptedConnection) -> Sender<(u64, Response)>>;

/// Where the processes of a manager meet: in `$TMPDIR`, under the manager's name.
pub fn place(name: &str) -> Option<PathBuf> {
    let folder = PathBuf::from(std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?);
    Some(folder.join(format!("yokelift-{}.sock", plain(name))))
}

/// A manager's name as a part of a file's.
pub fn plain(name: &str) -> String {
    let plain = |c: char| {
        if c.is_ascii_alphanumeric() || "-_.".contains(c) {
            c
        } else {
            '_'
        }
    };
    name.chars().map(plain).collect()
}

/// What the process that runs has handed over.
pub struct TransferredState {
    /// Its listeners, by the addresses where they listen.
    pub listeners: BTreeMap<SocketAddr, TcpListener>,
    /// Operators sent its clients away.
    pub drained: bool,
    /// What is left to it and those before it.
    pub leave: f64,
    peer: Async<UnixStream>,
    reader: MessageReader,
}

/// Asks the process that runs, if there is one. Guards the start: whatever is wrong there, it goes
/// on without.
pub async fn ask(place: &Path, name: &str) -> Option<TransferredState> {
    let asked = async {
        let mut peer = match Async::<UnixStream>::connect(place).await {
            Ok(peer) => peer,
            // Nobody is there, or a dead process left its socket behind.
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused
                ) =>
            {
                return Ok(None);
            }
            Err(e) => return Err(e.to_string()),
        };
        peer.write_all(&HotRestartMessage::Hello(name.to_owned()).bytes())
            .await
            .map_err(|e| e.to_string())?;
        hear(peer).await.map(Some)
    };
    let late_at = clock::turn() + PATIENCE;
    let late = async {
        sleep_until(Some(late_at)).await;
        Err("it does not answer".to_owned())
    };
    or(asked, late).await.unwrap_or_else(|why| {
        log!("the process before this one is left aside: {why}");
        None
    })
}

/// Reads what is there, and takes the descriptors that came beside it.
async fn receive(
    peer: &Async<UnixStream>,
    piece: &mut [u8],
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let read = |stream: &UnixStream| {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_LISTENERS))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut into = [IoSliceMut::new(piece)];
        let read = rustix::net::recvmsg(stream, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC)?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(passed) = message {
                descriptors.extend(passed);
            }
        }
        Ok(read.bytes)
    };
    peer.read_with(read).await
}

/// Reads up to the first word on parts, which comes last.
async fn hear(peer: Async<UnixStream>) -> Result<TransferredState, String> {
    let (mut reader, mut descriptors) = (MessageReader::default(), VecDeque::new());
    let (mut addrs, mut drained) = (Vec::new(), false);
    loop {
        let mut piece = [0; 1024];
        let n = receive(&peer, &mut piece, &mut descriptors)
            .await
            .map_err(|e| e.to_string())?;
        if n == 0 {
            return Err("it closed the connection".into());
        }
        for word in reader
            .feed(&piece[..n])
            .map_err(|_| "it speaks another protocol")?
        {
            match word {
                HotRestartMessage::Listeners(listed) => addrs = listed,
                HotRestartMessage::Draining => drained = true,
                HotRestartMessage::ReservedShare(leave)
                    if addrs.len() == descriptors.len() && !addrs.is_empty() =>
                {
                    // What the descriptor says counts, not what was told of it.
                    let listeners = descriptors.into_iter().map(TcpListener::from);
                    let listeners = listeners
                        .filter_map(|l| Some((l.local_addr().ok()?, l)))
                        .collect();
                    return Ok(TransferredState {
                        listeners,
                        drained,
                        leave,
                        peer,
                        reader,
                    });
                }
                HotRestartMessage::ReservedShare(_) => {
                    return Err("it passed no descriptors".into());
                }
                _ => return Err("it speaks out of turn".into()),
            }
        }
    }
}

/// A connection that was passed on: where answers for it go, and the marks that wait for them.
struct Client {
    answers: Sender<(u64, Response)>,
    open: BTreeSet<u64>,
}

/// The end of the newer process: says when it serves, hears what it has to leave to those before
/// it, and takes their clients over.
pub async fn follow(
    shared: Rc<Shared>,
    taken: TransferredState,
    adopt: Adopt,
    serves: impl FnOnce(),
) {
    let TransferredState {
        mut peer,
        mut reader,
        ..
    } = taken;
    let (words, orders) = async_channel::unbounded();
    let mut clients = BTreeMap::new();
    let mut descriptors = VecDeque::new();
    let mut serves = Some(serves);
    let mut piece = vec![0; 16 * 1024];
    loop {
        let starting = serves.is_some();
        let read = async { Some(Ok(receive(&peer, &mut piece, &mut descriptors).await)) };
        let order = async { orders.recv().await.ok().map(Err) };
        let look = async {
            match starting {
                true => drop(Timer::after(LOOK).await),
                false => std::future::pending().await,
            }
            None
        };
        match or(read, or(order, look)).await {
            None if shared.lifecycle.borrow().can_serve() => {
                if let Some(serves) = serves.take() {
                    serves();
                    let _ = peer.write_all(&HotRestartMessage::Ready.bytes()).await;
                }
            }
            None => {}
            Some(Err(word)) => {
                if let HotRestartMessage::ClientGone(number) = word {
                    clients.remove(&number);
                }
                // If it can't be told any more it is gone, and the next read says so.
                let _ = peer.write_all(&word.bytes()).await;
            }
            Some(Ok(Ok(n))) if n > 0 => {
                let Ok(heard) = reader.feed(&piece[..n]) else {
                    break;
                };
                for word in heard {
                    hear_of_clients(
                        &shared,
                        word,
                        &mut clients,
                        &mut descriptors,
                        &adopt,
                        &words,
                    );
                }
            }
            Some(Ok(_)) => break,
        }
    }
    log!("the process before this one has gone");
    shared.lifecycle.borrow_mut().set_predecessor_share(0.0);
    // What it had open there and did not answer is lost with it; its client hears so at once.
    for Client { answers, open } in clients.into_values() {
        for mark in open {
            let _ = answers.try_send((mark, Response::Failed(Failure::NotSent)));
        }
    }
    if let Some(serves) = serves.take() {
        while !shared.lifecycle.borrow().can_serve() {
            Timer::after(LOOK).await;
        }
        serves();
    }
}

fn hear_of_clients(
    shared: &Shared,
    word: HotRestartMessage,
    clients: &mut BTreeMap<u64, Client>,
    descriptors: &mut VecDeque<OwnedFd>,
    adopt: &Adopt,
    words: &Sender<HotRestartMessage>,
) {
    match word {
        HotRestartMessage::ReservedShare(part) => {
            shared.lifecycle.borrow_mut().set_predecessor_share(part)
        }
        HotRestartMessage::Connection(number, handed) => {
            let Some(socket) = descriptors.pop_front() else {
                return;
            };
            let open = handed.open.iter().copied().collect();
            let adopted = AdoptedConnection {
                number,
                state: handed,
                predecessor: words.clone(),
            };
            clients.insert(
                number,
                Client {
                    answers: adopt(TcpStream::from(socket), adopted),
                    open,
                },
            );
        }
        HotRestartMessage::Response(number, mark, bytes) => {
            if let Some(client) = clients.get_mut(&number) {
                client.open.remove(&mark);
                let _ = client
                    .answers
                    .try_send((mark, Response::Preformatted(bytes)));
            }
        }
        _ => {}
    }
}

/// The end of the older process: what it passes to those that follow.
pub struct Predecessor {
    /// Where they find it.
    pub place: PathBuf,
    /// The manager's name.
    pub name: String,
    /// The listeners, in order.
    pub listeners: Vec<(SocketAddr, OwnedFd)>,
}

/// Takes the place, also from an older process or from what a dead one left behind.
fn bind(place: &Path) -> io::Result<Async<UnixListener>> {
    let mut mine = place.as_os_str().to_owned();
    mine.push(format!(".{}", std::process::id()));
    let mine = PathBuf::from(mine);
    let _ = std::fs::remove_file(&mine);
    let listener = Async::<UnixListener>::bind(&mine)?;
    std::fs::rename(&mine, place)?;
    Ok(listener)
}

/// Waits for processes that follow, one after the other as they come.
pub async fn listen(shared: Rc<Shared>, older: Predecessor) {
    let older = Rc::new(older);
    let followers: Rc<RefCell<BTreeMap<u64, SuccessorState>>> = Rc::default();
    let (lost, losses) = async_channel::bounded::<()>(1);
    let mut number = 0;
    loop {
        let listener = match bind(&older.place) {
            Ok(listener) => listener,
            Err(e) => {
                log!(
                    "no process can follow this one, {}: {e}",
                    older.place.display()
                );
                return;
            }
        };
        loop {
            let came = async { Some(listener.accept().await) };
            let gone = async {
                let _ = losses.recv().await;
                None
            };
            match or(came, gone).await {
                Some(Ok((peer, _))) if followers.borrow().len() < MOST_FOLLOWERS => {
                    number += 1;
                    let (shared, older, all) = (shared.clone(), older.clone(), followers.clone());
                    let (mine, lost) = (number, lost.clone());
                    shared.clone().spawn(async move {
                        followers_end(&shared, &older, peer, mine, &all).await;
                        let was = all.borrow_mut().remove(&mine);
                        settle(&shared, &all);
                        if was == Some(SuccessorState::Ready)
                            && !shared.lifecycle.borrow().is_stopping()
                        {
                            let _ = lost.try_send(());
                        }
                    });
                }
                Some(Ok(_)) => {}
                Some(Err(_)) => drop(Timer::after(LOOK).await),
                // One that had taken the place is gone: it is this process's again.
                None => break,
            }
        }
    }
}

fn settle(shared: &Shared, followers: &RefCell<BTreeMap<u64, SuccessorState>>) {
    let all = followers.borrow();
    let ready = all.values().any(|next| *next == SuccessorState::Ready);
    let next = if ready {
        SuccessorState::Ready
    } else {
        all.values().next().copied().unwrap_or_default()
    };
    shared.lifecycle.borrow_mut().set_successor(next);
    if !ready {
        *shared.successor.borrow_mut() = None;
    }
}

async fn followers_end(
    shared: &Shared,
    older: &Predecessor,
    peer: Async<UnixStream>,
    mine: u64,
    followers: &RefCell<BTreeMap<u64, SuccessorState>>,
) {
    let (mut reader, mut piece) = (MessageReader::default(), [0; 256]);
    let late_at = clock::turn() + PATIENCE;
    let hello = async {
        loop {
            let n = super::read_some(&peer, &mut piece)
                .await
                .ok()
                .filter(|n| *n > 0)?;
            if let Some(word) = reader.feed(&piece[..n]).ok()?.pop() {
                return Some(word);
            }
        }
    };
    let late = async {
        sleep_until(Some(late_at)).await;
        None
    };
    let hello = or(hello, late).await;
    if hello != Some(HotRestartMessage::Hello(older.name.clone())) {
        return log!(
            "a process that wants to follow is left aside: it is of another version or name"
        );
    }
    followers.borrow_mut().insert(mine, SuccessorState::Coming);
    settle(shared, followers);
    let mut leaves = shared.lifecycle.borrow().share_reserved_for_predecessors();
    if pass(shared, older, &peer, leaves).await.is_err() {
        return;
    }
    log!("a process follows: the listeners are passed to it");
    let mut start = None;
    let (newer, passing) = bounded(MAILBOX);
    let mut clients: BTreeMap<u64, Sender<HotRestartMessage>> = BTreeMap::new();
    loop {
        let read = async { Some(Ok(super::read_some(&peer, &mut piece).await)) };
        let pass = async { passing.recv().await.ok().map(Err) };
        let look = async {
            Timer::after(LOOK).await;
            None
        };
        match or(read, or(pass, look)).await {
            Some(Ok(Ok(n))) if n > 0 => {
                let Ok(words) = reader.feed(&piece[..n]) else {
                    return;
                };
                for word in words {
                    match word {
                        HotRestartMessage::Ready => {
                            log!("the process that follows serves");
                            followers.borrow_mut().insert(mine, SuccessorState::Ready);
                            settle(shared, followers);
                            *shared.successor.borrow_mut() = Some(newer.clone());
                        }
                        HotRestartMessage::Cancel(number, _) => {
                            clients.get(&number).map(|client| client.try_send(word));
                        }
                        // With its mailbox closed what it has open here is given up.
                        HotRestartMessage::ClientGone(number) => drop(clients.remove(&number)),
                        _ => {}
                    }
                }
            }
            Some(Ok(_)) => return log!("the process that followed has gone"),
            Some(Err(TransferredItem::Client(number, socket, handed, back, held))) => {
                clients.insert(number, back);
                let word = HotRestartMessage::Connection(number, handed);
                if send(&peer, &word.bytes(), &[socket.as_fd()]).await.is_err() {
                    return;
                }
                drop((socket, held));
            }
            Some(Err(TransferredItem::Answer(number, mark, bytes, held))) => {
                if (&peer)
                    .write_all(&HotRestartMessage::Response(number, mark, bytes).bytes())
                    .await
                    .is_err()
                {
                    return;
                }
                drop(held);
            }
            None => {}
        }
        fade(shared, &mut start);
        let now = shared.lifecycle.borrow().share_reserved_for_predecessors();
        if (now - leaves).abs() > 0.01 {
            leaves = now;
            if (&peer)
                .write_all(&HotRestartMessage::ReservedShare(now).bytes())
                .await
                .is_err()
            {
                return;
            }
        }
    }
}

/// As its clients and their requests go, so does this process's part.
fn fade(shared: &Shared, start: &mut Option<(f64, f64)>) {
    if !shared.lifecycle.borrow().successor_took_over() {
        return;
    }
    let now = (
        shared.client_sockets.get() as f64,
        shared.metrics.borrow().concurrent as f64,
    );
    let (clients, open) = *start.get_or_insert(now);
    let part = |now: f64, start: f64| if start > 0.0 { now / start } else { 0.0 };
    shared
        .lifecycle
        .borrow_mut()
        .set_remaining_work(part(now.0, clients).max(part(now.1, open)));
}

async fn pass(
    shared: &Shared,
    older: &Predecessor,
    peer: &Async<UnixStream>,
    leaves: f64,
) -> io::Result<()> {
    let addrs = older.listeners.iter().map(|(addr, _)| *addr).collect();
    let mut text = HotRestartMessage::Listeners(addrs).bytes();
    if shared.lifecycle.borrow().is_draining() {
        text.extend(HotRestartMessage::Draining.bytes());
    }
    text.extend(HotRestartMessage::ReservedShare(leaves).bytes());
    let descriptors: Vec<_> = older.listeners.iter().map(|(_, fd)| fd.as_fd()).collect();
    send(peer, &text, &descriptors).await
}

/// Writes all of it, with descriptors beside its first byte.
async fn send(
    mut peer: &Async<UnixStream>,
    bytes: &[u8],
    descriptors: &[BorrowedFd<'_>],
) -> io::Result<()> {
    let first = |stream: &UnixStream| {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_LISTENERS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(descriptors));
        let sent = rustix::net::sendmsg(
            stream,
            &[IoSlice::new(bytes)],
            &mut control,
            SendFlags::NOSIGNAL,
        );
        Ok(sent?)
    };
    let sent = peer.write_with(first).await?;
    peer.write_all(&bytes[sent..]).await
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testkit::daemon::Folder;
    use async_io::block_on;
    use std::io::{Read, Write};

    /// Guards the start of the daemon: what a dead process left behind, and peers of another
    /// version, that speak garbage, pass nothing, go away or hang, are left aside.
    #[test]
    fn a_start_goes_on_without_a_peer_that_is_none() {
        let folder = Folder::new().expect("a folder");
        let place = folder.path("yokelift-n0.sock");
        let asks = || block_on(ask(&place, "n0")).is_none();
        assert!(asks(), "nobody there");
        drop(UnixListener::bind(&place).expect("a socket"));
        assert!(place.exists() && asks(), "a dead one's socket");
        for said in [
            "yokelift-handover 2 n0\n",
            "\u{1}\u{2}garbage\n",
            "take 127.0.0.1:1\nleave 0.5\n",
            "",
            "-",
        ] {
            let _ = std::fs::remove_file(&place);
            let listener = UnixListener::bind(&place).expect("a socket");
            let peer = std::thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("a caller");
                let mut hello = [0; 64];
                let n = stream.read(&mut hello).expect("a hello");
                assert_eq!(&hello[..n], b"yokelift-handover 1 n0\n");
                match said {
                    "" => {}
                    // Says nothing until the caller gives up.
                    "-" => drop(stream.read(&mut hello)),
                    said => drop(stream.write_all(said.as_bytes())),
                }
            });
            assert!(asks(), "{said:?}");
            peer.join().expect("the peer's checks");
        }
    }
}
