//! How a connection passes the events of its frontend to the dispatcher.
use super::connection::ClientConnection;
use crate::clock::{MS, Micros};
use crate::dispatcher::{ClientRequest, Origin, Response};
use crate::frontend::{Frontend, FrontendEvent};
use crate::hot_restart::message::HotRestartMessage;
use crate::net::dispatcher::DispatcherEvent;
use std::collections::VecDeque;

/// The Retry-After of a request that is rejected because its connection is to be closed: by then
/// the client can use another connection, or another gateway.
const DRAIN_RETRY_AFTER: Micros = 50 * MS;

impl<F: Frontend> ClientConnection<'_, F> {
    /// Forwards the collected events to the dispatcher. Waiting for capacity in the dispatcher's
    /// mailbox blocks this client alone.
    pub(super) async fn forward_events(&mut self, now: Micros) {
        let mut events = without_cancelled_requests(std::mem::take(&mut self.events));
        while let Some(event) = events.pop_front() {
            let dispatcher_event = match event {
                // Otherwise a connection that is never quiet would stay open beyond the drain.
                FrontendEvent::Request(request) if self.rejects_new_requests(now) => {
                    let rejected = self.reject_new_request(now, request);
                    events.extend(self.events.drain(..));
                    rejected
                }
                FrontendEvent::Request(request) => DispatcherEvent::Request(request),
                FrontendEvent::RequestRejected { class, response } => {
                    DispatcherEvent::RejectedByFrontend { class, response }
                }
                FrontendEvent::RequestCancelled { tag } => {
                    DispatcherEvent::CancelRequest(Origin { conn: self.id, tag })
                }
                FrontendEvent::TransferredRequestCancelled { tag } => {
                    self.cancel_at_predecessor(tag);
                    continue;
                }
            };
            // The dispatcher's mailbox is closed only while the process exits.
            let _ = self.dispatcher.send(dispatcher_event).await;
        }
    }

    fn rejects_new_requests(&self, now: Micros) -> bool {
        self.rejects_requests || self.shared.lifecycle.borrow().rejects_new_requests(now)
    }

    fn reject_new_request(&mut self, now: Micros, request: ClientRequest) -> DispatcherEvent {
        self.frontend.write_response(
            now,
            request.origin.tag,
            Response::Rejected(Some(DRAIN_RETRY_AFTER)),
            &mut self.events,
            &mut self.output.bytes,
        );
        DispatcherEvent::RejectedByFrontend {
            class: request.class,
            response: Response::Rejected(None),
        }
    }

    fn cancel_at_predecessor(&self, tag: u64) {
        if let Some(predecessor) = &self.predecessor {
            let cancel = HotRestartMessage::Cancel {
                conn: predecessor.connection_number,
                tag,
            };
            // A predecessor that has exited has nothing left to cancel.
            let _ = predecessor.messages.try_send(cancel);
        }
    }
}

/// Drops each request that is followed by its own cancellation, together with that cancellation:
/// no client waits for its response, so neither is forwarded.
fn without_cancelled_requests(events: Vec<FrontendEvent>) -> VecDeque<FrontendEvent> {
    let mut remaining: VecDeque<FrontendEvent> = VecDeque::with_capacity(events.len());
    for event in events {
        let cancelled = match event {
            FrontendEvent::RequestCancelled { tag } => request_position(&remaining, tag),
            _ => None,
        };
        match cancelled {
            Some(position) => drop(remaining.remove(position)),
            None => remaining.push_back(event),
        }
    }
    remaining
}

/// The position of the latest request with this tag.
fn request_position(events: &VecDeque<FrontendEvent>, tag: u64) -> Option<usize> {
    events.iter().rposition(
        |event| matches!(event, FrontendEvent::Request(request) if request.origin.tag == tag),
    )
}
