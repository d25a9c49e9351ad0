//! The listener of a front and the actor of each client connection.
use super::core::Input;
use super::{Held, Shared, until};
use crate::clock::{self, Micros, SEC};
use crate::front::{Front, Said};
use crate::log;
use crate::manager::Origin;
use crate::manager::ends::End;
use async_channel::{Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use std::cell::Cell;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Answers that wait for a client's connection: more than a front lets be open on it.
const MAILBOX: usize = 64;
/// With so many bytes unwritten, nothing more is read from the client.
const MOST_UNWRITTEN: usize = 256 * 1024;
/// A client with nothing open is cut off when silent for so long, and one that does not read its answers.
const IDLE: Micros = 60 * SEC;
const WRITE_STALL: Micros = 10 * SEC;

/// Accepts connections; `front` makes the protocol of each.
pub async fn listen<F: Front + 'static>(
    shared: Rc<Shared>,
    core: Sender<Input>,
    listener: Async<TcpListener>,
    front: impl Fn(u64) -> F,
) {
    let mut incoming = Box::pin(listener.incoming());
    while let Some(stream) = incoming.next().await {
        match stream {
            Ok(stream) => {
                let conn = shared.next_conn.get();
                shared.next_conn.set(conn + 1);
                let (all, core) = (shared.clone(), core.clone());
                let front = front(conn);
                shared.spawn(async move { actor(all, core, stream, conn, front).await });
                // Guards the limit on sockets: further clients wait in the listener's line.
                while shared.client_sockets.get() >= shared.most_client_sockets.get() {
                    Timer::after(Duration::from_millis(10)).await;
                }
            }
            Err(e) => {
                log!("accepting a client: {e}");
                Timer::after(Duration::from_millis(10)).await;
            }
        }
    }
}

enum Turn {
    Answer(Option<(u64, crate::manager::Answer)>),
    Read(io::Result<usize>),
    Wrote(io::Result<usize>),
    Due,
}

async fn actor(
    shared: Rc<Shared>,
    core: Sender<Input>,
    stream: Async<TcpStream>,
    conn: u64,
    front: impl Front,
) {
    let Some(_held) = Held::new(&shared.client_sockets, usize::MAX) else { return };
    let (answers, mailbox) = bounded(MAILBOX);
    let _ = core.send(Input::Opened(conn, answers)).await;
    let end = serve(&shared, &core, &stream, conn, front, mailbox).await;
    if !matches!(end, End::Closed | End::Idle | End::Done) {
        log!("a client's connection ended: {end:?}");
    }
    let _ = core.send(Input::HungUp(conn)).await;
}

/// The part of one connection in a count over all.
struct Bytes<'a> {
    all: &'a Cell<usize>,
    mine: usize,
}

impl Bytes<'_> {
    fn set(&mut self, mine: usize) {
        self.all.set(self.all.get() - self.mine + mine);
        self.mine = mine;
    }
}

impl Drop for Bytes<'_> {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Waiting for room in the module's mailbox holds back this client alone.
async fn pass_on(core: &Sender<Input>, conn: u64, said: &mut Vec<Said>) {
    for said in said.drain(..) {
        let input = match said {
            Said::Ask(ask) => Input::Ask(ask),
            Said::Withdraw(tag) => Input::Withdraw(Origin { conn, tag }),
        };
        let _ = core.send(input).await;
    }
}

async fn serve(
    shared: &Shared,
    core: &Sender<Input>,
    stream: &Async<TcpStream>,
    conn: u64,
    mut front: impl Front,
    mailbox: async_channel::Receiver<(u64, crate::manager::Answer)>,
) -> End {
    let _ = stream.get_ref().set_nodelay(true);
    let (mut buffer, mut unwritten, mut written) = (vec![0; 16 * 1024], Vec::new(), 0);
    let (mut said, mut active_at) = (Vec::new(), clock::turn());
    // Guards the limit on memory against many clients that do not read: all together are counted.
    let mut busy = None;
    let mut held = Bytes { all: &shared.unwritten_bytes, mine: 0 };
    loop {
        let writing = written < unwritten.len();
        if !writing && front.last() {
            return End::Done;
        }
        // The program does not end while this one has something to write.
        busy = if writing { busy.or_else(|| Held::new(&shared.unwritten, usize::MAX)) } else { None };
        let waits = unwritten.len() - written;
        held.set(waits);
        let full = waits > MOST_UNWRITTEN || shared.unwritten_bytes.get() > shared.most_unwritten_bytes.get();
        let due = match (writing, front.open()) {
            (true, _) => Some(active_at + WRITE_STALL),
            (false, 0) => Some(active_at + IDLE),
            (false, _) => None,
        };
        let (mut reader, mut writer) = (stream, stream);
        let answer = async { Turn::Answer(mailbox.recv().await.ok()) };
        let write = async {
            match writing {
                true => Turn::Wrote(writer.write(&unwritten[written..]).await),
                false => std::future::pending().await,
            }
        };
        let read = async {
            match full {
                true => std::future::pending().await,
                false => Turn::Read(reader.read(&mut buffer).await),
            }
        };
        let timer = async {
            until(due).await;
            Turn::Due
        };
        let turn = or(answer, or(write, or(read, timer))).await;
        let now = clock::turn();
        match turn {
            Turn::Answer(Some((tag, answer))) => {
                active_at = if writing { active_at } else { now };
                busy = busy.or_else(|| Held::new(&shared.unwritten, usize::MAX));
                front.answer(now, tag, answer, &mut said, &mut unwritten);
                pass_on(core, conn, &mut said).await;
            }
            Turn::Answer(None) => return End::Overflow,
            Turn::Wrote(Ok(n)) => {
                written += n;
                active_at = now;
                if written == unwritten.len() {
                    unwritten.clear();
                    unwritten.shrink_to(64 * 1024);
                    written = 0;
                }
            }
            Turn::Read(Ok(0)) => return End::Closed,
            Turn::Read(Ok(n)) => {
                active_at = if writing { active_at } else { now };
                if let Err(end) = front.feed(now, &buffer[..n], &mut said, &mut unwritten) {
                    return end;
                }
                pass_on(core, conn, &mut said).await;
            }
            Turn::Read(Err(_)) | Turn::Wrote(Err(_)) => return End::Reset,
            Turn::Due if writing => return End::Silent,
            Turn::Due => return End::Idle,
        }
    }
}
