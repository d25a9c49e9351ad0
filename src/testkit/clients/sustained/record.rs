//! The record of the requests of a sustained load.
use crate::testkit::clients::ClientOutcome;
use std::time::{Duration, Instant};

/// A request sent at most this long before its connection is closed may have crossed the close: by
/// the platform's protocol the client retries it.
pub const CLOSE_CROSSING: Duration = Duration::from_millis(50);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The daemon closed its side.
    Closed,
    /// The connection was reset.
    Reset,
    /// The client disconnected.
    Disconnected,
    /// The load ended, and the client stopped waiting.
    LoadEnded,
}

/// The record of one request.
#[derive(Clone, Debug)]
pub struct SustainedRequest {
    /// The index of its connection.
    pub connection: usize,
    /// The name of its class.
    pub class: &'static str,
    /// The client's identifier for it, which its statement contains as well.
    pub key: String,
    /// How long the client waits for a response.
    pub wait: Duration,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// Its final responses with the times of their arrival. More than one is an error.
    pub responses: Vec<(Instant, ClientOutcome)>,
    /// Whether it was the first request on its connection.
    pub is_first: bool,
    /// When the client cancelled it. From then on no response is required.
    pub cancelled_at: Option<Instant>,
    /// How its connection ended without a response, and when the client observed that.
    pub connection_end: Option<(Instant, ConnectionEnd)>,
}

impl SustainedRequest {
    /// Whether it has no response although one was required, given how its connection ended. `lag`
    /// is by how much the client may be late in observing that end.
    pub fn is_lost(&self, lag: Duration) -> bool {
        if !self.responses.is_empty() || self.cancelled_at.is_some() {
            return false;
        }
        match self.connection_end {
            Some((at, ConnectionEnd::Closed)) => at - self.sent_at > CLOSE_CROSSING + lag,
            Some((_, ConnectionEnd::Disconnected)) => false,
            _ => true,
        }
    }
}

/// The record of all requests.
#[derive(Clone, Debug, Default)]
pub struct SustainedLoadReport {
    /// The requests, in the order in which they were sent.
    pub requests: Vec<SustainedRequest>,
    /// The number of responses with an id that was never sent on the connection.
    pub unexpected_responses: usize,
    /// The largest delay of the clients' thread, measured with its own timer.
    pub lag: Duration,
}

impl SustainedLoadReport {
    /// The requests that are lost: without a response although one was required.
    pub fn lost(&self) -> Vec<&SustainedRequest> {
        let requests = self.requests.iter();
        requests.filter(|it| it.is_lost(self.lag)).collect()
    }

    /// The requests with more than one final response.
    pub fn with_duplicate_responses(&self) -> Vec<&SustainedRequest> {
        let requests = self.requests.iter();
        requests.filter(|it| it.responses.len() > 1).collect()
    }
}
