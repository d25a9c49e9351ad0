//! How a client's connection is left: passed on, or with a farewell.
use super::connection::{Peer, take_some};
use crate::clock::{self, MS, Micros, SEC};
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{Origin, Response};
use crate::frontend::Front;
use crate::hot_restart::message::{HotRestartMessage, TransferredConnection};
use crate::net::dispatcher::DispatcherEvent;
use crate::net::hot_restart::TransferredItem;
use crate::net::{CountGuard, sleep_until};
use async_channel::{Receiver, Sender};
use futures_lite::AsyncWriteExt;
use futures_lite::future::{or, yield_now};
use std::io;
use std::net::Shutdown;
use std::rc::Rc;

/// At its end a connection takes so long at most to write what is left, and so long and so many
/// bytes to take in what the client still sends.
const LAST_WORDS: Micros = SEC;
const DRAIN: Micros = 300 * MS;
const DRAIN_BYTES: usize = 1 << 20;

impl<F: Front> Peer<'_, F> {
    /// Passes the connection to the process that follows, and what is still answered here after it.
    pub(super) async fn pass(
        self,
        newer: Sender<TransferredItem>,
        mut handed: TransferredConnection,
        mailbox: &Receiver<(u64, Response)>,
    ) -> Termination {
        let Peer {
            shared,
            core,
            stream,
            socket,
            conn,
            mut front,
            unwritten,
            written,
            ..
        } = self;
        handed.unwritten = unwritten[written..].to_vec();
        // From here on nobody here looks at the socket.
        let stream = Rc::try_unwrap(stream).map(|stream| stream.into_inner());
        let Ok(Ok(stream)) = stream else {
            return Termination::Reset;
        };
        let (back, words) = async_channel::unbounded();
        let held = CountGuard::new(&shared.connections_with_unwritten_output);
        let client = TransferredItem::Connection {
            conn,
            socket: stream.into(),
            state: handed,
            messages: back,
            guard: held,
        };
        drop(socket);
        if newer.send(client).await.is_err() {
            return Termination::Dropped;
        }
        let (mut said, mut bytes) = (Vec::new(), Vec::new());
        while front.open() > 0 {
            let answer = async { Ok(mailbox.recv().await) };
            let word = async { Err(words.recv().await) };
            match or(answer, word).await {
                Ok(Ok((tag, answer))) => {
                    let held = CountGuard::new(&shared.connections_with_unwritten_output);
                    front.answer(clock::turn(), tag, answer, &mut said, &mut bytes);
                    let line = std::mem::take(&mut bytes);
                    if !line.is_empty()
                        && newer
                            .send(TransferredItem::Response {
                                conn,
                                tag,
                                bytes: line,
                                guard: held,
                            })
                            .await
                            .is_err()
                    {
                        return Termination::Dropped;
                    }
                }
                Err(Ok(HotRestartMessage::Cancel { tag, .. })) => {
                    front.withdrawn(tag);
                    let _ = core
                        .send(DispatcherEvent::CancelRequest(Origin { conn, tag }))
                        .await;
                }
                Ok(Err(_)) | Err(_) => return Termination::Closed,
            }
        }
        Termination::Done
    }

    /// Writes what is owed, ends this side, and takes in a little of what the client still sends,
    /// none of which is acted on: a client sends what crosses an end again elsewhere. Guards the
    /// last answer or error: a close with unread input resets the connection, and the client loses
    /// both.
    pub(super) async fn farewell(self, end: Termination) -> Termination {
        let busy = CountGuard::new(&self.shared.connections_with_unwritten_output);
        let now = clock::turn();
        let mut writer = &*self.stream;
        let rest = async {
            writer
                .write_all(&self.unwritten[self.written..])
                .await
                .is_ok()
        };
        let late = async {
            sleep_until(Some(now + LAST_WORDS)).await;
            false
        };
        if !or(rest, late).await || self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return end;
        }
        drop(busy);
        let Peer {
            shared,
            stream,
            socket,
            ..
        } = self;
        // One that only waits for its client's end has given its place among the clients back.
        let Some(_place) =
            CountGuard::up_to(&shared.closing_sockets, shared.max_closing_sockets.get())
        else {
            let _ = io::Read::read(&mut stream.get_ref(), &mut shared.buffer.borrow_mut());
            return end;
        };
        drop(socket);
        let drain = async {
            let mut taken = 0;
            while taken < DRAIN_BYTES {
                match take_some(&stream, shared).await {
                    Ok(n) if n > 0 => taken += n,
                    _ => break,
                }
                yield_now().await;
            }
        };
        or(drain, sleep_until(Some(clock::turn() + DRAIN))).await;
        end
    }
}
