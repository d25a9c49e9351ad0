//! The listener of a front and the actor of each client connection.
use super::core::Input;
use super::handover::Passed;
use super::{Bytes, Held, Shared, until};
use crate::clock::{self, MS, Micros, SEC};
use crate::front::{Cut, Front, Said};
use crate::lifecycle::words::{Handed, Word};
use crate::log;
use crate::manager::ends::End;
use crate::manager::{Answer, Origin};
use async_channel::{Receiver, Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use futures_lite::{AsyncWriteExt, StreamExt};
use rustix::net::SocketFlags;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Answers that wait for a client's connection: more than a front lets be open on it.
const MAILBOX: usize = 64;
/// Connections that may wait to be accepted; the system has its own limit.
const LINE: i32 = 4_096;
/// With so many bytes unwritten, nothing more is read from the client.
const MOST_UNWRITTEN: usize = 256 * 1024;
/// What an idle connection keeps of its buffers.
const SMALL: usize = 4 * 1024;
/// A client with nothing open is cut off when silent for so long: usual ones close their side after 4 s.
const IDLE: Micros = 10 * SEC;
/// A client owes its first usable message, and the rest of one that it began, within this time. Guards against
/// hundreds that connect and say nothing, or half of something, and keep others out.
const OWED: Micros = 2_500 * MS;
/// However many come, one that just came or was just answered has this long to ask.
const GRACE: Micros = 100 * MS;
/// One that does not read its answers is cut off after this time.
const WRITE_STALL: Micros = 10 * SEC;
/// At its end a connection takes so long at most to write what is left, and so long and so many bytes to take in
/// what the client still sends.
const LAST_WORDS: Micros = SEC;
const DRAIN: Micros = 300 * MS;
const DRAIN_BYTES: usize = 1 << 20;
/// A client that is turned away again and again is read from more slowly: so many times at once are free, and
/// each one more costs this pause. Guards the others' share of the processor.
const FREE_STRIKES: u64 = 64;
const STRIKE: Micros = 20 * MS;

/// What the listeners know of a connection: whether it may be shed when there are too many.
pub struct Standing {
    /// It has said something usable.
    useful: Cell<bool>,
    /// Nothing is open on it and nothing is to be written, since then.
    idle_since: Cell<Option<Micros>>,
    /// To be let go at the next moment that it is quiet, so that no request is lost.
    leaving: Cell<bool>,
    /// To be passed to the process that follows this one.
    passes: Cell<bool>,
    /// Closed to shed it; a word on it says to look whether it is to leave.
    shed: Sender<()>,
}

/// Sheds the connection that is missed least: one that never said anything usable, and among those, or else among
/// all with nothing open, the one idle for longest. Guards the usual clients against being kept out.
fn shed(shared: &Shared) -> bool {
    let clients = shared.clients.borrow();
    // With the grace first: to wait for a newcomer's would leave one place a tenth of a second to all others.
    let stays = clock::turn().saturating_sub(GRACE);
    let idle = |s: &&Rc<Standing>| s.idle_since.get().is_some_and(|since| since <= stays);
    let all = clients.values().filter(idle).filter(|s| !s.shed.is_closed());
    all.min_by_key(|s| (s.useful.get(), s.idle_since.get())).is_some_and(|s| s.shed.close())
}

/// Between looks at which kept connections are to be let go.
const LOOK: Duration = Duration::from_millis(20);
/// When to come back, through another manager, from one that has to let the connection go.
const ELSEWHERE_AFTER: Micros = 50 * MS;

/// Lets kept connections go when the lifecycle says so: each closes itself at its next quiet moment.
pub async fn let_go(shared: Rc<Shared>) {
    loop {
        Timer::after(LOOK).await;
        let (now, life) = (clock::turn(), shared.life.borrow());
        if life.handed_over() {
            shared.accepting.0.close();
        }
        for (conn, standing) in shared.clients.borrow().iter() {
            let leaving = life.lets_go_at(*conn).is_some_and(|at| at <= now);
            let passes = life.handed_over();
            if standing.leaving.replace(leaving) != leaving || standing.passes.replace(passes) != passes {
                let _ = standing.shed.try_send(());
            }
        }
    }
}

/// Listens there. Guards against a crowd that fills the usual short line: what does not fit into it believes to be
/// connected, and is heard only seconds later.
pub fn bind(addr: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(addr)?;
    rustix::net::listen(&listener, LINE)?;
    Ok(listener)
}

/// The same at an address that a process of a newer version may share.
pub fn bind_shared(addr: SocketAddr) -> io::Result<Async<TcpListener>> {
    use rustix::net::{AddressFamily, SocketType, sockopt};
    let family = if addr.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &addr)?;
    let listener = Async::new(TcpListener::from(socket))?;
    rustix::net::listen(&listener, LINE)?;
    Ok(listener)
}

/// Accepts connections; `front` makes the protocol of each.
pub async fn listen<F: Front + 'static>(
    shared: Rc<Shared>,
    core: Sender<Input>,
    listener: Async<TcpListener>,
    front: impl Fn(u64) -> F,
) {
    let mut incoming = Box::pin(listener.incoming());
    let closed = shared.accepting.1.clone();
    loop {
        let none = async {
            let _ = closed.recv().await;
            None
        };
        let Some(stream) = or(incoming.next(), none).await else { break };
        match stream {
            Ok(stream) => {
                let conn = shared.next_conn.get();
                shared.next_conn.set(conn + 1);
                start(&shared, core.clone(), stream, conn, front(conn), None);
            }
            Err(e) => {
                log!("accepting a client: {e}");
                Timer::after(Duration::from_millis(10)).await;
            }
        }
        // Guards the limit on sockets: connections that wait in the listener's line come without a pause.
        yield_now().await;
        while shared.client_sockets.get() >= shared.most_client_sockets.get() {
            if !shed(&shared) {
                Timer::after(Duration::from_millis(10)).await;
            }
            yield_now().await;
        }
    }
}

enum Turn {
    Answer(Option<(u64, Answer)>),
    Shed,
    Read(io::Result<usize>),
    Wrote(io::Result<usize>),
    Due,
}

/// A connection that another process passed on: its number there, and where to say what is meant for it.
pub struct Adopted {
    /// The number.
    pub number: u64,
    /// What was read there and not used, and not written yet.
    pub handed: Handed,
    /// To the other process.
    pub older: Sender<Word>,
}

/// Both ends of a connection's mailbox, with the mark of the request that each answer is for.
type Mailbox = (Sender<(u64, Answer)>, Receiver<(u64, Answer)>);

/// Starts the actor of a connection, and gives its mailbox.
pub fn start<F: Front + 'static>(
    shared: &Rc<Shared>,
    core: Sender<Input>,
    stream: Async<TcpStream>,
    conn: u64,
    front: F,
    adopted: Option<Adopted>,
) -> Sender<(u64, Answer)> {
    let (answers, mailbox) = bounded(MAILBOX);
    let (all, mine, socket) = (shared.clone(), answers.clone(), Held::new(&shared.client_sockets));
    shared.spawn(async move {
        actor(&all, core, (stream, socket, conn), front, adopted, (mine, mailbox)).await;
    });
    answers
}

async fn actor(
    shared: &Shared,
    core: Sender<Input>,
    (stream, socket, conn): (Async<TcpStream>, Held, u64),
    front: impl Front,
    adopted: Option<Adopted>,
    (answers, mailbox): Mailbox,
) {
    let (shed, shedding) = bounded(1);
    let (useful, idle_since) = (Cell::new(false), Cell::new(Some(clock::turn())));
    let (leaving, passes) = (Cell::new(false), Cell::new(false));
    let standing = Rc::new(Standing { useful, idle_since, leaving, passes, shed });
    shared.clients.borrow_mut().insert(conn, standing.clone());
    let _ = core.send(Input::Opened(conn, answers)).await;
    let (held, unread) = (Bytes::new(&shared.unwritten_bytes), Bytes::new(&shared.unread_bytes));
    let (mut unwritten, said) = (Vec::new(), Vec::new());
    let older = adopted.map(|adopted| {
        unwritten = adopted.handed.unwritten;
        (adopted.number, adopted.older)
    });
    let (core, written) = (&core, 0);
    let peer =
        Peer { shared, core, stream, socket, conn, front, unwritten, written, held, unread, said, older };
    let passed_by = peer.older.clone();
    let end = peer.serve(&standing, &mailbox, &shedding).await;
    if let Some((number, older)) = passed_by {
        let _ = older.try_send(Word::Gone(number));
    }
    shared.clients.borrow_mut().remove(&conn);
    if !matches!(end, End::Closed | End::Idle | End::Done | End::Overflow) {
        log!("a client's connection ended: {end:?}");
    }
    let _ = core.send(Input::HungUp(conn)).await;
}

struct Peer<'a, F> {
    shared: &'a Shared,
    core: &'a Sender<Input>,
    stream: Async<TcpStream>,
    /// Its place among the descriptors of clients.
    socket: Held,
    conn: u64,
    front: F,
    unwritten: Vec<u8>,
    written: usize,
    /// Guards the limit on memory against many clients that do not read: all together are counted.
    held: Bytes<'a>,
    /// The same against many that send long messages.
    unread: Bytes<'a>,
    said: Vec<Said>,
    /// The process that passed it on, and its number there.
    older: Option<(u64, Sender<Word>)>,
}

impl<F: Front> Peer<'_, F> {
    /// Waiting for room in the module's mailbox holds back this client alone.
    async fn pass_on(&mut self, now: Micros) {
        let mut all: VecDeque<Said> = std::mem::take(&mut self.said).into();
        while let Some(said) = all.pop_front() {
            let input = match said {
                // Guards against a connection that is never quiet and would be held through a drain.
                Said::Ask(ask) if self.shared.life.borrow().closes(now) => {
                    let answer = Answer::Refused(Some(ELSEWHERE_AFTER));
                    self.front.answer(now, ask.origin.tag, answer, &mut self.said, &mut self.unwritten);
                    all.extend(self.said.drain(..));
                    Input::TurnedAway(ask.class, Answer::Refused(None))
                }
                Said::Ask(ask) => Input::Ask(ask),
                Said::TurnedAway(class, answer) => Input::TurnedAway(class, answer),
                Said::Withdraw(tag) => Input::Withdraw(Origin { conn: self.conn, tag }),
                Said::WithdrawElsewhere(tag) => {
                    if let Some((number, older)) = &self.older {
                        let _ = older.try_send(Word::Withdraw(*number, tag));
                    }
                    continue;
                }
            };
            let _ = self.core.send(input).await;
        }
    }

    /// Reads into the buffer that all share, so that an idle connection costs none.
    async fn read(&self) -> io::Result<usize> {
        self.stream
            .read_with(|stream| io::Read::read(&mut &*stream, &mut self.shared.buffer.borrow_mut()))
            .await
    }

    async fn serve(
        mut self,
        standing: &Standing,
        mailbox: &Receiver<(u64, Answer)>,
        shedding: &Receiver<()>,
    ) -> End {
        let _ = self.stream.get_ref().set_nodelay(true);
        let came_at = clock::turn();
        let (mut active_at, mut strikes) = (came_at, Strikes::default());
        let mut busy = None;
        // Something waits to be read on it: it is not quiet.
        let mut unread = false;
        loop {
            let writing = self.written < self.unwritten.len();
            if !writing && self.front.last() {
                return self.farewell(End::Done).await;
            }
            // The program does not end while this one has something to write.
            busy = if writing { busy.or_else(|| Some(Held::new(&self.shared.unwritten))) } else { None };
            if standing.passes.get() && self.front.useful() {
                let newer = self.shared.newer.borrow().clone();
                if let Some((newer, handed)) = newer.zip(self.front.hand_over()) {
                    return self.pass(newer, handed, mailbox).await;
                }
            }
            let waits = self.unwritten.len() - self.written;
            self.held.set(waits);
            let full = waits > MOST_UNWRITTEN
                || self.shared.unwritten_bytes.get() > self.shared.most_unwritten_bytes.get();
            let idle = !writing && self.front.open() == 0;
            let useful = self.front.useful();
            standing.useful.set(useful);
            standing.idle_since.set(idle.then_some(active_at));
            let owed = self.front.began().into_iter().chain((!useful).then_some(came_at)).min();
            let owed = owed.map(|since| since + OWED);
            let silent = match (writing, idle) {
                (true, _) => Some(active_at + WRITE_STALL),
                (false, true) => Some(active_at + IDLE),
                (false, false) => None,
            };
            let paused = strikes.pause(clock::now());
            let due = silent.into_iter().chain(owed).chain(paused).min();
            let mut writer = &self.stream;
            let answer = async { Turn::Answer(mailbox.recv().await.ok()) };
            // One that has something open by now stays.
            let quiet = self.front.began().is_none() && self.front.held() == 0 && !unread;
            let now = clock::now();
            let rests = quiet && standing.leaving.get();
            let rests_until =
                rests.then(|| active_at + self.shared.life.borrow().rest(self.conn, now, useful));
            let due = due.into_iter().chain(rests_until.filter(|at| idle && *at > now)).min();
            let shed = async {
                match (idle, rests_until.is_some_and(|at| at <= now)) {
                    (true, true) => {}
                    (true, _) => drop(shedding.recv().await),
                    (false, _) => std::future::pending().await,
                }
                Turn::Shed
            };
            let write = async {
                match writing {
                    true => Turn::Wrote(writer.write(&self.unwritten[self.written..]).await),
                    false => std::future::pending().await,
                }
            };
            let read = async {
                match full || paused.is_some() {
                    true => std::future::pending().await,
                    false => Turn::Read(self.read().await),
                }
            };
            let timer = async {
                until(due).await;
                Turn::Due
            };
            let turn = or(answer, or(shed, or(write, or(read, timer)))).await;
            let now = clock::turn();
            let by = |at: Option<Micros>| at.is_some_and(|at| at <= now);
            match turn {
                Turn::Answer(Some((tag, answer))) => {
                    active_at = if writing { active_at } else { now };
                    busy = busy.or_else(|| Some(Held::new(&self.shared.unwritten)));
                    strikes.add(now, u64::from(matches!(answer, Answer::Refused(_))));
                    self.front.answer(now, tag, answer, &mut self.said, &mut self.unwritten);
                    self.pass_on(now).await;
                }
                Turn::Shed if shedding.is_closed() => return End::Overflow,
                // Guards a request that has come and is not read yet: a close would reset it.
                Turn::Shed if rests_until.is_some_and(|at| at <= now) => {
                    match self.stream.get_ref().peek(&mut [0]) {
                        Ok(n) if n > 0 => unread = true,
                        _ => return End::Idle,
                    }
                }
                Turn::Shed => {}
                Turn::Answer(None) => return End::Overflow,
                Turn::Wrote(Ok(n)) => {
                    self.written += n;
                    active_at = now;
                    if self.written == self.unwritten.len() {
                        self.unwritten.clear();
                        self.unwritten.shrink_to(SMALL);
                        self.written = 0;
                    }
                }
                Turn::Read(Ok(0)) => return End::Closed,
                Turn::Read(Ok(n)) => {
                    active_at = if writing { active_at } else { now };
                    unread = false;
                    let before = self.front.strikes();
                    let fed = {
                        let buffer = self.shared.buffer.borrow();
                        self.front.feed(now, &buffer[..n], &mut self.said, &mut self.unwritten)
                    };
                    strikes.add(now, self.front.strikes() - before);
                    self.unread.set(self.front.held());
                    self.pass_on(now).await;
                    if let Err(end) = fed {
                        return self.farewell(end).await;
                    }
                    let crowded = self.shared.unread_bytes.get() > self.shared.most_unread_bytes.get();
                    if crowded && self.front.held() > SMALL {
                        self.front.cut_off(Cut::Room, &mut self.unwritten);
                    }
                    // Guards the other connections: one that sends without a pause can always be read.
                    yield_now().await;
                }
                Turn::Read(Err(_)) | Turn::Wrote(Err(_)) => return End::Reset,
                Turn::Due if writing && by(silent) => return End::Silent,
                // What is open on it is answered all the same.
                Turn::Due if by(owed) && self.front.began().is_some() => {
                    self.front.cut_off(Cut::Late, &mut self.unwritten);
                }
                Turn::Due if by(owed) || by(silent) => return End::Idle,
                Turn::Due => {}
            }
        }
    }

    /// Passes the connection to the process that follows, and what is still answered here after it.
    async fn pass(self, newer: Sender<Passed>, mut handed: Handed, mailbox: &Receiver<(u64, Answer)>) -> End {
        let Peer { shared, core, stream, socket, conn, mut front, unwritten, written, .. } = self;
        handed.unwritten = unwritten[written..].to_vec();
        let Ok(stream) = stream.into_inner() else { return End::Reset };
        let (back, words) = async_channel::unbounded();
        let held = Held::new(&shared.unwritten);
        let client = Passed::Client(conn, stream.into(), handed, back, held);
        drop(socket);
        if newer.send(client).await.is_err() {
            return End::Dropped;
        }
        let (mut said, mut bytes) = (Vec::new(), Vec::new());
        while front.open() > 0 {
            let answer = async { Ok(mailbox.recv().await) };
            let word = async { Err(words.recv().await) };
            match or(answer, word).await {
                Ok(Ok((tag, answer))) => {
                    let held = Held::new(&shared.unwritten);
                    front.answer(clock::turn(), tag, answer, &mut said, &mut bytes);
                    let line = std::mem::take(&mut bytes);
                    if !line.is_empty() && newer.send(Passed::Answer(conn, tag, line, held)).await.is_err() {
                        return End::Dropped;
                    }
                }
                Err(Ok(Word::Withdraw(_, tag))) => {
                    front.withdrawn(tag);
                    let _ = core.send(Input::Withdraw(Origin { conn, tag })).await;
                }
                Ok(Err(_)) | Err(_) => return End::Closed,
            }
        }
        End::Done
    }

    /// Writes what is left, ends this side, and takes in a little of what the peer still sends. Guards the last
    /// answer or error: a close with unread input resets the connection, and the peer loses both.
    async fn farewell(mut self, end: End) -> End {
        let _busy = Held::new(&self.shared.unwritten);
        let now = clock::turn();
        let mut writer = &self.stream;
        let rest = async { writer.write_all(&self.unwritten[self.written..]).await.is_ok() };
        let late = async {
            until(Some(now + LAST_WORDS)).await;
            false
        };
        if !or(rest, late).await || self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return end;
        }
        self.unwritten = Vec::new();
        let drain = async {
            let mut taken = 0;
            while taken < DRAIN_BYTES {
                match self.read().await {
                    Ok(n) if n > 0 => taken += n,
                    _ => break,
                }
                yield_now().await;
            }
        };
        or(drain, until(Some(clock::turn() + DRAIN))).await;
        end
    }
}

/// How often a client was turned away of late, as the time by which it will all be made up for.
#[derive(Default)]
struct Strikes(Micros);

impl Strikes {
    fn add(&mut self, now: Micros, count: u64) {
        self.0 = self.0.max(now) + count * STRIKE;
    }

    /// Until when nothing more is read, if so.
    fn pause(&self, now: Micros) -> Option<Micros> {
        let until = self.0.saturating_sub(FREE_STRIKES * STRIKE);
        (until > now).then_some(until)
    }
}
