//! The actor of one client connection: reads requests, writes answers, and decides when to leave.
use super::ConnectionStatus;
use super::rejection_penalty::Strikes;
use crate::clock::{self, MS, Micros, SEC};
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{Origin, Response};
use crate::frontend::{DisconnectReason, Front, FrontendEvent};
use crate::hot_restart::message::HotRestartMessage;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::{ByteQuota, CountGuard, Shared, sleep_until};
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use futures_lite::future::{or, yield_now};
use std::collections::VecDeque;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

/// With so many bytes unwritten, nothing more is read from the client.
const MOST_UNWRITTEN: usize = 256 * 1024;
/// What an idle connection keeps of its buffers.
const SMALL: usize = 4 * 1024;
/// A client with nothing open is cut off when silent for so long: usual ones close their side after
/// 4 s.
const IDLE: Micros = 10 * SEC;
/// A client owes its first usable message, and the rest of one that it began, within this time.
/// Guards against hundreds that connect and say nothing, or half of something, and keep others out.
const OWED: Micros = 2_500 * MS;
/// So much of what comes on a connection that is read slowly is kept for later; with more, nothing
/// is read, and the client's end is looked for this often.
const MOST_WAITING: usize = 64 * 1024;
const LOOK: Micros = 20 * MS;
/// So much of that is read at a time.
const PIECE: usize = 16 * 1024;
/// One that does not read its answers is cut off after this time.
const WRITE_STALL: Micros = 10 * SEC;
/// When to come back, through another manager, from one that has to let the connection go.
const ELSEWHERE_AFTER: Micros = 50 * MS;

/// What came from the client: just now, into the buffer that all share, or a while ago.
enum Received<'a> {
    Read(usize),
    Waited(&'a [u8]),
}

enum WakeReason {
    Answer(Option<(u64, Response)>),
    Shed,
    Read(io::Result<usize>),
    Wrote(io::Result<usize>),
    Due,
}

/// Reads into the buffer that all share, so that an idle connection costs none.
pub(super) async fn take_some(stream: &Async<TcpStream>, shared: &Shared) -> io::Result<usize> {
    stream
        .read_with(|stream| io::Read::read(&mut &*stream, &mut shared.buffer.borrow_mut()))
        .await
}

/// A connection with its front.
pub(super) struct Peer<'a, F> {
    pub(super) shared: &'a Shared,
    pub(super) core: &'a Sender<DispatcherEvent>,
    pub(super) stream: Rc<Async<TcpStream>>,
    /// Its place among the descriptors of clients.
    pub(super) socket: CountGuard,
    pub(super) conn: u64,
    pub(super) front: F,
    pub(super) unwritten: Vec<u8>,
    pub(super) written: usize,
    /// Guards the limit on memory against many clients that do not read: all together are counted.
    pub(super) held: ByteQuota<'a>,
    /// The same against many that send long messages.
    pub(super) unread: ByteQuota<'a>,
    pub(super) said: Vec<FrontendEvent>,
    /// What came while it is read slowly, or while it does not take its answers: the front reads it
    /// later, but withdrawals in it, and the client's end behind it, count at once.
    pub(super) waiting: Vec<u8>,
    /// So much of that was looked through for withdrawals.
    pub(super) skimmed: usize,
    /// The process that passed it on, and its number there.
    pub(super) older: Option<(u64, Sender<HotRestartMessage>)>,
}

impl<F: Front> Peer<'_, F> {
    /// Waiting for room in the module's mailbox holds back this client alone.
    async fn pass_on(&mut self, now: Micros) {
        let mut all = without_withdrawn(std::mem::take(&mut self.said));
        while let Some(said) = all.pop_front() {
            let input = match said {
                // Guards against a connection that is never quiet and would be held through a
                // drain.
                FrontendEvent::Ask(ask)
                    if self.shared.lifecycle.borrow().rejects_new_requests(now) =>
                {
                    let answer = Response::Rejected(Some(ELSEWHERE_AFTER));
                    self.front.answer(
                        now,
                        ask.origin.tag,
                        answer,
                        &mut self.said,
                        &mut self.unwritten,
                    );
                    all.extend(self.said.drain(..));
                    DispatcherEvent::RejectedByFrontend {
                        class: ask.class,
                        response: Response::Rejected(None),
                    }
                }
                FrontendEvent::Ask(ask) => DispatcherEvent::Request(ask),
                FrontendEvent::TurnedAway(class, answer) => DispatcherEvent::RejectedByFrontend {
                    class,
                    response: answer,
                },
                FrontendEvent::Withdraw(tag) => DispatcherEvent::CancelRequest(Origin {
                    conn: self.conn,
                    tag,
                }),
                FrontendEvent::WithdrawElsewhere(tag) => {
                    if let Some((number, older)) = &self.older {
                        let _ = older.try_send(HotRestartMessage::Cancel(*number, tag));
                    }
                    continue;
                }
            };
            let _ = self.core.send(input).await;
        }
    }

    /// The front reads what came.
    async fn take_in(
        &mut self,
        now: Micros,
        came: Received<'_>,
        strikes: &mut Strikes,
    ) -> Result<(), Termination> {
        let before = self.front.strikes();
        let fed = match came {
            Received::Read(n) => {
                let buffer = self.shared.buffer.borrow();
                self.front
                    .feed(now, &buffer[..n], &mut self.said, &mut self.unwritten)
            }
            Received::Waited(bytes) => {
                self.front
                    .feed(now, bytes, &mut self.said, &mut self.unwritten)
            }
        };
        strikes.add(now, self.front.strikes() - before);
        // A withdrawal of what was just asked may stand in what still waits.
        self.skimmed = self.front.skim(&self.waiting, 0, &mut self.said);
        self.unread.set(self.front.held() + self.waiting.len());
        self.pass_on(now).await;
        fed
    }

    /// Keeps what came for later, but for the withdrawals in it.
    async fn put_off(&mut self, now: Micros, n: usize) {
        self.waiting
            .extend_from_slice(&self.shared.buffer.borrow()[..n]);
        self.skimmed = self.front.skim(&self.waiting, self.skimmed, &mut self.said);
        self.unread.set(self.front.held() + self.waiting.len());
        self.pass_on(now).await;
    }

    /// Whether something waits to be read: a close now would reset the connection, and lose it.
    fn has_unread(&self) -> bool {
        matches!(self.stream.get_ref().peek(&mut [0]), Ok(n) if n > 0)
    }

    pub(super) async fn serve(
        mut self,
        standing: &ConnectionStatus,
        mailbox: &Receiver<(u64, Response)>,
        shedding: &Receiver<()>,
    ) -> Termination {
        let _ = self.stream.get_ref().set_nodelay(true);
        let came_at = clock::turn();
        let (mut active_at, mut strikes) = (came_at, Strikes::default());
        let mut busy = None;
        // Something waits to be read on it: it is not quiet.
        let mut unread = false;
        loop {
            let writing = self.written < self.unwritten.len();
            if !writing && self.front.last() {
                return self.farewell(Termination::Done).await;
            }
            // The program does not end while this one has something to write.
            busy = if writing {
                busy.or_else(|| {
                    Some(CountGuard::new(
                        &self.shared.connections_with_unwritten_output,
                    ))
                })
            } else {
                None
            };
            if standing.passes.get() && self.front.useful() && self.waiting.is_empty() {
                let newer = self.shared.successor.borrow().clone();
                if let Some((newer, handed)) = newer.zip(self.front.hand_over()) {
                    return self.pass(newer, handed, mailbox).await;
                }
            }
            let waits = self.unwritten.len() - self.written;
            self.held.set(waits);
            let full = waits > MOST_UNWRITTEN
                || self.shared.unwritten_bytes.get() > self.shared.max_unwritten_bytes.get();
            let (now, ending) = (clock::now(), self.shared.lifecycle.borrow().is_closing());
            let paused = strikes.pause(now).filter(|_| !ending);
            let slowly = full || paused.is_some();
            if !slowly && !self.waiting.is_empty() {
                let rest = self.waiting.split_off(self.waiting.len().min(PIECE));
                let piece = std::mem::replace(&mut self.waiting, rest);
                if let Err(end) = self
                    .take_in(now, Received::Waited(&piece), &mut strikes)
                    .await
                {
                    return self.farewell(end).await;
                }
                // Guards the others: what waited long is many messages.
                yield_now().await;
                continue;
            }
            let idle = !writing && self.front.open() == 0 && self.waiting.is_empty();
            let useful = self.front.useful();
            standing.useful.set(useful);
            standing.idle_since.set(idle.then_some(active_at));
            let owed = self
                .front
                .began()
                .into_iter()
                .chain((!useful).then_some(came_at))
                .min();
            let owed = owed.map(|since| since + OWED);
            let silent = match (writing, idle) {
                (true, _) => Some(active_at + WRITE_STALL),
                (false, true) => Some(active_at + IDLE),
                (false, false) => None,
            };
            // With no room for more that waits, a client's end shows in another way.
            let blind = slowly && self.waiting.len() >= MOST_WAITING;
            let look = (blind && self.front.open() > 0).then_some(now + LOOK);
            let due = silent
                .into_iter()
                .chain(owed)
                .chain(paused)
                .chain(look)
                .min();
            let mut writer = &*self.stream;
            let answer = async { WakeReason::Answer(mailbox.recv().await.ok()) };
            // One that has something open by now stays. At the very end half a message asks for
            // nothing.
            let quiet =
                (ending || (self.front.began().is_none() && self.front.held() == 0)) && !unread;
            let rests = quiet && (ending || standing.leaving.get());
            let rests_until = rests.then(|| {
                active_at
                    + self
                        .shared
                        .lifecycle
                        .borrow()
                        .required_quiet_time(self.conn, now, useful)
            });
            let due = due
                .into_iter()
                .chain(rests_until.filter(|at| idle && *at > now))
                .min();
            let shed = async {
                match (idle, rests_until.is_some_and(|at| at <= now)) {
                    (true, true) => {}
                    // What waits to be read comes first.
                    (true, _) if !unread => drop(shedding.recv().await),
                    _ => std::future::pending().await,
                }
                WakeReason::Shed
            };
            let write = async {
                match writing {
                    true => WakeReason::Wrote(writer.write(&self.unwritten[self.written..]).await),
                    false => std::future::pending().await,
                }
            };
            let read = async {
                match blind {
                    true => std::future::pending().await,
                    false => WakeReason::Read(take_some(&self.stream, self.shared).await),
                }
            };
            let timer = async {
                sleep_until(due).await;
                WakeReason::Due
            };
            let turn = or(answer, or(shed, or(write, or(read, timer)))).await;
            let now = clock::turn();
            let by = |at: Option<Micros>| at.is_some_and(|at| at <= now);
            match turn {
                WakeReason::Answer(Some((tag, answer))) => {
                    active_at = if writing { active_at } else { now };
                    busy = busy.or_else(|| {
                        Some(CountGuard::new(
                            &self.shared.connections_with_unwritten_output,
                        ))
                    });
                    strikes.add(now, u64::from(matches!(answer, Response::Rejected(_))));
                    self.front
                        .answer(now, tag, answer, &mut self.said, &mut self.unwritten);
                    self.pass_on(now).await;
                }
                // Guards a request that has come and is not read yet.
                WakeReason::Shed
                    if shedding.is_closed() || rests_until.is_some_and(|at| at <= now) =>
                {
                    unread = self.has_unread();
                    if !unread {
                        let shed = shedding.is_closed();
                        return self
                            .farewell(if shed {
                                Termination::LocalLimit
                            } else {
                                Termination::Idle
                            })
                            .await;
                    }
                }
                WakeReason::Shed => {}
                WakeReason::Answer(None) => return Termination::LocalLimit,
                WakeReason::Wrote(Ok(n)) => {
                    self.written += n;
                    active_at = now;
                    if self.written == self.unwritten.len() {
                        self.unwritten.clear();
                        self.unwritten.shrink_to(SMALL);
                        self.written = 0;
                    }
                }
                WakeReason::Read(Ok(0)) => return Termination::Closed,
                WakeReason::Read(Ok(n)) => {
                    active_at = if writing { active_at } else { now };
                    unread = false;
                    if slowly {
                        self.put_off(now, n).await;
                    } else if let Err(end) =
                        self.take_in(now, Received::Read(n), &mut strikes).await
                    {
                        return self.farewell(end).await;
                    }
                    let crowded =
                        self.shared.unread_bytes.get() > self.shared.max_unread_bytes.get();
                    if crowded && self.front.held() + self.waiting.len() > SMALL {
                        self.waiting = Vec::new();
                        self.front
                            .cut_off(DisconnectReason::Room, &mut self.unwritten);
                    }
                    // Guards the other connections: one that sends without a pause can always be
                    // read.
                    yield_now().await;
                }
                WakeReason::Read(Err(_)) | WakeReason::Wrote(Err(_)) => return Termination::Reset,
                WakeReason::Due if writing && by(silent) => return Termination::Unresponsive,
                // What is open on it is answered all the same.
                WakeReason::Due if by(owed) && self.front.began().is_some() => {
                    self.front
                        .cut_off(DisconnectReason::Late, &mut self.unwritten);
                }
                WakeReason::Due if by(owed) || by(silent) => {
                    // One that sent more than is kept, and nothing usable, is not waited for.
                    unread = self.has_unread() && !blind;
                    if !unread {
                        return self.farewell(Termination::Idle).await;
                    }
                }
                WakeReason::Due if blind && standing.gone() => return Termination::Closed,
                WakeReason::Due => {}
            }
        }
    }
}

/// Leaves out what was asked and withdrawn after it in one breath: nobody waits for it, and nothing
/// of it is to be sent on.
fn without_withdrawn(all: Vec<FrontendEvent>) -> VecDeque<FrontendEvent> {
    let mut kept: VecDeque<FrontendEvent> = VecDeque::with_capacity(all.len());
    for said in all {
        let asked = match said {
            FrontendEvent::Withdraw(tag) => kept
                .iter()
                .rposition(|s| matches!(s, FrontendEvent::Ask(ask) if ask.origin.tag == tag)),
            _ => None,
        };
        match asked {
            Some(at) => drop(kept.remove(at)),
            None => kept.push_back(said),
        }
    }
    kept
}
