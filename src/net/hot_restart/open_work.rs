//! How much of the work of a process remains after its successor has taken over.
use crate::net::Shared;

/// The open client connections and requests of this process at one time.
#[derive(Clone, Copy)]
pub(super) struct OpenWork {
    client_connections: f64,
    requests: f64,
}

impl OpenWork {
    pub(super) fn now(shared: &Shared) -> OpenWork {
        OpenWork {
            client_connections: shared.client_sockets.get() as f64,
            requests: shared.metrics.borrow().concurrent as f64,
        }
    }

    /// The fraction of the connections at `start`, or of the requests at `start`, that remains: the
    /// larger of the two.
    pub(super) fn fraction_of(self, start: OpenWork) -> f64 {
        let fraction = |now: f64, start: f64| if start > 0.0 { now / start } else { 0.0 };
        let client_connections = fraction(self.client_connections, start.client_connections);
        client_connections.max(fraction(self.requests, start.requests))
    }
}
