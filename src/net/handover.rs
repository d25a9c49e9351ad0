//! Two processes as one manager while a new version takes over: the socket in `$TMPDIR` over which the older one
//! passes its listening descriptors, and the actors at both ends. What it means is the lifecycle's to say.
use super::core::Input;
use super::{Shared, until};
use crate::clock::{self, MS, Micros};
use crate::lifecycle::Next;
use crate::lifecycle::words::{Reader, Word};
use crate::log;
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
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

/// Where the processes of a manager meet: in `$TMPDIR`, under the manager's name.
pub fn place(name: &str) -> Option<PathBuf> {
    let folder = PathBuf::from(std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?);
    let plain = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '_' };
    Some(folder.join(format!("yokelift-{}.sock", name.chars().map(plain).collect::<String>())))
}

/// What the process that runs has handed over.
pub struct Taken {
    /// Its listeners, by the addresses where they listen.
    pub listeners: BTreeMap<SocketAddr, TcpListener>,
    /// Operators sent its clients away.
    pub drained: bool,
    /// What is left to it and those before it.
    pub leave: f64,
    peer: Async<UnixStream>,
    reader: Reader,
}

/// Asks the process that runs, if there is one. Guards the start: whatever is wrong there, it goes on without.
pub async fn ask(place: &Path, name: &str) -> Option<Taken> {
    let asked = async {
        let mut peer = match Async::<UnixStream>::connect(place).await {
            Ok(peer) => peer,
            // Nobody is there, or a dead process left its socket behind.
            Err(e) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
                return Ok(None);
            }
            Err(e) => return Err(e.to_string()),
        };
        peer.write_all(Word::Hello(name.to_owned()).line().as_bytes()).await.map_err(|e| e.to_string())?;
        hear(peer).await.map(Some)
    };
    let late_at = clock::turn() + PATIENCE;
    let late = async {
        until(Some(late_at)).await;
        Err("it does not answer".to_owned())
    };
    or(asked, late).await.unwrap_or_else(|why| {
        log!("the process before this one is left aside: {why}");
        None
    })
}

/// Reads up to the first word on parts, which comes last.
async fn hear(peer: Async<UnixStream>) -> Result<Taken, String> {
    let (mut reader, mut descriptors): (Reader, Vec<OwnedFd>) = (Reader::default(), Vec::new());
    let (mut addrs, mut drained) = (Vec::new(), false);
    loop {
        let mut piece = [0; 1024];
        let read = |stream: &UnixStream| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_LISTENERS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut into = [IoSliceMut::new(&mut piece)];
            let read = rustix::net::recvmsg(stream, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(passed) = message {
                    descriptors.extend(passed);
                }
            }
            Ok(read.bytes)
        };
        let n = peer.read_with(read).await.map_err(|e| e.to_string())?;
        if n == 0 {
            return Err("it closed the connection".into());
        }
        for word in reader.feed(&piece[..n]).map_err(|()| "it speaks another protocol")? {
            match word {
                Word::Take(listed) => addrs = listed,
                Word::Drained => drained = true,
                Word::Leave(leave) if addrs.len() == descriptors.len() && !addrs.is_empty() => {
                    // What the descriptor says counts, not what was told of it.
                    let listeners = descriptors.into_iter().map(TcpListener::from);
                    let listeners = listeners.filter_map(|l| Some((l.local_addr().ok()?, l))).collect();
                    return Ok(Taken { listeners, drained, leave, peer, reader });
                }
                Word::Leave(_) => return Err("it passed no descriptors".into()),
                Word::Hello(_) | Word::Ready => return Err("it speaks out of turn".into()),
            }
        }
    }
}

/// The end of the newer process: says when it serves, and hears what it has to leave to those before it.
pub async fn follow(shared: Rc<Shared>, taken: Taken, serves: impl FnOnce()) {
    let Taken { mut peer, mut reader, .. } = taken;
    let mut serves = Some(serves);
    let mut piece = [0; 256];
    loop {
        let starting = serves.is_some();
        let read = async { Some(super::read_some(&peer, &mut piece).await) };
        let look = async {
            match starting {
                true => drop(Timer::after(LOOK).await),
                false => std::future::pending().await,
            }
            None
        };
        match or(read, look).await {
            None if shared.life.borrow().serves() => {
                if let Some(serves) = serves.take() {
                    serves();
                    let _ = peer.write_all(Word::Ready.line().as_bytes()).await;
                }
            }
            None => {}
            Some(Ok(n)) if n > 0 => match reader.feed(&piece[..n]) {
                Ok(words) => {
                    for word in words {
                        if let Word::Leave(part) = word {
                            shared.life.borrow_mut().follows(part);
                        }
                    }
                }
                Err(()) => break,
            },
            Some(_) => break,
        }
    }
    log!("the process before this one has gone");
    shared.life.borrow_mut().follows(0.0);
    if let Some(serves) = serves.take() {
        while !shared.life.borrow().serves() {
            Timer::after(LOOK).await;
        }
        serves();
    }
}

/// The end of the older process: what it passes to those that follow.
pub struct Older {
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
pub async fn listen(shared: Rc<Shared>, older: Older) {
    let older = Rc::new(older);
    let followers: Rc<RefCell<BTreeMap<u64, Next>>> = Rc::default();
    let (lost, losses) = async_channel::bounded::<()>(1);
    let mut number = 0;
    loop {
        let listener = match bind(&older.place) {
            Ok(listener) => listener,
            Err(e) => {
                log!("no process can follow this one, {}: {e}", older.place.display());
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
                        if was == Some(Next::Ready) && !shared.life.borrow().stopping() {
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

fn settle(shared: &Shared, followers: &RefCell<BTreeMap<u64, Next>>) {
    let all = followers.borrow();
    let ready = all.values().any(|next| *next == Next::Ready);
    let next = if ready { Next::Ready } else { all.values().next().copied().unwrap_or_default() };
    shared.life.borrow_mut().followed(next);
}

async fn followers_end(
    shared: &Shared,
    older: &Older,
    peer: Async<UnixStream>,
    mine: u64,
    followers: &RefCell<BTreeMap<u64, Next>>,
) {
    let (mut reader, mut piece) = (Reader::default(), [0; 256]);
    let late_at = clock::turn() + PATIENCE;
    let hello = async {
        loop {
            let n = super::read_some(&peer, &mut piece).await.ok().filter(|n| *n > 0)?;
            if let Some(word) = reader.feed(&piece[..n]).ok()?.pop() {
                return Some(word);
            }
        }
    };
    let late = async {
        until(Some(late_at)).await;
        None
    };
    let hello = or(hello, late).await;
    if hello != Some(Word::Hello(older.name.clone())) {
        return log!("a process that wants to follow is left aside: it is of another version or name");
    }
    followers.borrow_mut().insert(mine, Next::Coming);
    settle(shared, followers);
    let mut leaves = shared.life.borrow().leaves();
    if pass(shared, older, &peer, leaves).await.is_err() {
        return;
    }
    log!("a process follows: the listeners are passed to it");
    let mut start = None;
    loop {
        let read = async { Some(super::read_some(&peer, &mut piece).await) };
        let look = async {
            Timer::after(LOOK).await;
            None
        };
        match or(read, look).await {
            Some(Ok(n)) if n > 0 => match reader.feed(&piece[..n]) {
                Ok(words) if words.contains(&Word::Ready) => {
                    log!("the process that follows serves");
                    followers.borrow_mut().insert(mine, Next::Ready);
                    settle(shared, followers);
                }
                Ok(_) => {}
                Err(()) => return,
            },
            Some(_) => return log!("the process that followed has gone"),
            None => {}
        }
        fade(shared, &mut start);
        let now = shared.life.borrow().leaves();
        if (now - leaves).abs() > 0.01 {
            leaves = now;
            if (&peer).write_all(Word::Leave(now).line().as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// As its clients and their requests go, so does this process's part.
fn fade(shared: &Shared, start: &mut Option<(f64, f64)>) {
    if !shared.life.borrow().handed_over() {
        return;
    }
    let now = (shared.client_sockets.get() as f64, shared.figures.borrow().concurrent as f64);
    let (clients, open) = *start.get_or_insert(now);
    let part = |now: f64, start: f64| if start > 0.0 { now / start } else { 0.0 };
    shared.life.borrow_mut().fades(part(now.0, clients).max(part(now.1, open)));
}

async fn pass(shared: &Shared, older: &Older, peer: &Async<UnixStream>, leaves: f64) -> io::Result<()> {
    let addrs = older.listeners.iter().map(|(addr, _)| *addr).collect();
    let mut text = Word::Take(addrs).line();
    if shared.life.borrow().drained() {
        text += &Word::Drained.line();
    }
    text += &Word::Leave(leaves).line();
    let send = |stream: &UnixStream| {
        let descriptors: Vec<_> = older.listeners.iter().map(|(_, fd)| fd.as_fd()).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_LISTENERS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
        let sent =
            rustix::net::sendmsg(stream, &[IoSlice::new(text.as_bytes())], &mut control, SendFlags::NOSIGNAL);
        Ok(sent?)
    };
    let sent = peer.write_with(send).await?;
    let mut peer = peer;
    peer.write_all(&text.as_bytes()[sent..]).await
}

/// Splits what belongs to the whole manager by the part that is this process's.
pub async fn split(shared: Rc<Shared>, core: Sender<Input>) {
    let mut was = 1.0;
    loop {
        let part = shared.life.borrow().part();
        if (part - was).abs() > 0.01 || (part != was && (part == 1.0 || part == 0.0)) {
            was = part;
            shared.split();
            let _ = core.send(Input::Part(part)).await;
        }
        Timer::after(LOOK).await;
    }
}
