//! The transfer of a client connection to the successor process of a hot restart.
use super::connection::ClientConnection;
use crate::clock;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{Origin, Response};
use crate::frontend::Frontend;
use crate::hot_restart::message::{HotRestartMessage, TransferredConnection};
use crate::net::CountGuard;
use crate::net::dispatcher::DispatcherEvent;
use crate::net::hot_restart::TransferredItem;
use async_channel::{Receiver, RecvError, Sender};
use futures_lite::future::or;
use std::rc::Rc;

/// Why a connection whose socket was transferred to the successor woke up.
enum TransferWakeReason {
    Response(Result<(u64, Response), RecvError>),
    Message(Result<HotRestartMessage, RecvError>),
}

impl<F: Frontend> ClientConnection<'_, F> {
    /// The successor and the protocol state for it, if the connection is to be transferred and can
    /// be transferred now.
    pub(super) fn transfer_target(
        &self,
    ) -> Option<(Sender<TransferredItem>, TransferredConnection)> {
        let may_transfer = self.status.transferring.get()
            && self.frontend.has_valid_message()
            && self.deferred.is_empty();
        if !may_transfer {
            return None;
        }
        let successor = self.shared.successor.borrow().clone();
        successor.zip(self.frontend.transfer_state())
    }

    /// Transfers the socket to the successor, and then the response to each request that is still
    /// open in this process.
    pub(super) async fn transfer(
        self,
        successor: Sender<TransferredItem>,
        mut state: TransferredConnection,
    ) -> Termination {
        let ClientConnection {
            shared,
            dispatcher,
            stream,
            socket_guard,
            id,
            responses,
            frontend,
            output,
            ..
        } = self;
        state.unwritten = output.pending().to_vec();
        // This invalidates the registry's weak reference: this process no longer polls the socket.
        let stream = Rc::try_unwrap(stream).map(|stream| stream.into_inner());
        let Ok(Ok(stream)) = stream else {
            return Termination::Reset;
        };
        let (to_connection, messages) = async_channel::unbounded();
        let output_guard = CountGuard::new(&shared.connections_with_unwritten_output);
        let client = TransferredItem::Connection {
            conn: id,
            socket: stream.into(),
            state,
            messages: to_connection,
            guard: output_guard,
        };
        drop(socket_guard);
        if successor.send(client).await.is_err() {
            return Termination::Dropped;
        }
        let open_requests = OpenRequests {
            id,
            frontend,
            dispatcher,
            output_count: &shared.connections_with_unwritten_output,
        };
        open_requests.finish(&successor, responses, &messages).await
    }
}

/// The open requests of a connection whose socket was transferred to the successor.
struct OpenRequests<'a, F> {
    id: u64,
    frontend: F,
    dispatcher: &'a Sender<DispatcherEvent>,
    /// The number of connections with unwritten output.
    output_count: &'a Rc<std::cell::Cell<usize>>,
}

impl<F: Frontend> OpenRequests<'_, F> {
    /// Forwards each response to the successor, and each cancellation from the successor to the
    /// dispatcher, until no request is open.
    async fn finish(
        mut self,
        successor: &Sender<TransferredItem>,
        responses: &Receiver<(u64, Response)>,
        messages: &Receiver<HotRestartMessage>,
    ) -> Termination {
        while self.frontend.open_requests() > 0 {
            let response = async { TransferWakeReason::Response(responses.recv().await) };
            let message = async { TransferWakeReason::Message(messages.recv().await) };
            match or(response, message).await {
                TransferWakeReason::Response(Ok((tag, response))) => {
                    if self
                        .forward_response(successor, tag, response)
                        .await
                        .is_err()
                    {
                        return Termination::Dropped;
                    }
                }
                TransferWakeReason::Message(Ok(HotRestartMessage::Cancel { tag, .. })) => {
                    self.cancel(tag).await
                }
                TransferWakeReason::Response(Err(_)) | TransferWakeReason::Message(_) => {
                    return Termination::Closed;
                }
            }
        }
        Termination::Done
    }

    async fn forward_response(
        &mut self,
        successor: &Sender<TransferredItem>,
        tag: u64,
        response: Response,
    ) -> Result<(), async_channel::SendError<TransferredItem>> {
        let output_guard = CountGuard::new(self.output_count);
        let (mut events, mut line) = (Vec::new(), Vec::new());
        self.frontend
            .write_response(clock::read(), tag, response, &mut events, &mut line);
        if line.is_empty() {
            return Ok(());
        }
        successor
            .send(TransferredItem::Response {
                conn: self.id,
                tag,
                bytes: line,
                guard: output_guard,
            })
            .await
    }

    async fn cancel(&mut self, tag: u64) {
        self.frontend.remove_cancelled(tag);
        let origin = Origin { conn: self.id, tag };
        // The dispatcher's mailbox is closed only while the process exits.
        let _ = self
            .dispatcher
            .send(DispatcherEvent::CancelRequest(origin))
            .await;
    }
}
