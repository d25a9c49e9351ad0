//! What became of each request of a sustained load.
use crate::testkit::clients::ClientOutcome;
use std::time::{Duration, Instant};

/// A request that crosses the close of its connection within this time is to be sent again by the
/// client, as the platform's protocol says.
pub const CLOSE_CROSSING: Duration = Duration::from_millis(50);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The daemon closed its side.
    Closed,
    /// The connection was reset.
    Reset,
    /// The client left.
    Left,
    /// The load's end: the client stopped waiting.
    GivenUp,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct SustainedRequest {
    /// The index of its connection.
    pub connection: usize,
    /// Its class.
    pub class: &'static str,
    /// The client's name for it, which its statement carries too.
    pub key: String,
    /// How long the client waits.
    pub wait: Duration,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// Its final responses, each with its time. There is to be one.
    pub responses: Vec<(Instant, ClientOutcome)>,
    /// Whether it was the first one on its connection.
    pub is_first: bool,
    /// When the client cancelled it. No response is owed from then on.
    pub cancelled_at: Option<Instant>,
    /// How its connection ended without a response, and when the client saw that.
    pub connection_end: Option<(Instant, ConnectionEnd)>,
}

impl SustainedRequest {
    /// Whether it has no response and its connection's end does not excuse that. `lag` is by how
    /// much the client's own clock may be late in seeing that end.
    pub fn is_lost(&self, lag: Duration) -> bool {
        if !self.responses.is_empty() || self.cancelled_at.is_some() {
            return false;
        }
        match self.connection_end {
            Some((at, ConnectionEnd::Closed)) => at - self.sent_at > CLOSE_CROSSING + lag,
            Some((_, ConnectionEnd::Left)) => false,
            _ => true,
        }
    }
}

/// What became of all requests.
#[derive(Clone, Debug, Default)]
pub struct SustainedLoadReport {
    /// In the order in which they were sent.
    pub requests: Vec<SustainedRequest>,
    /// Responses under an id that was never requested on the connection.
    pub unexpected_responses: usize,
    /// The longest time by which the clients' thread was late, from its own timer.
    pub lag: Duration,
}

impl SustainedLoadReport {
    /// The requests that are lost: without a response, and not excused.
    pub fn lost(&self) -> Vec<&SustainedRequest> {
        let requests = self.requests.iter();
        requests.filter(|it| it.is_lost(self.lag)).collect()
    }

    /// The requests with more than one final response.
    pub fn answered_twice(&self) -> Vec<&SustainedRequest> {
        let requests = self.requests.iter();
        requests.filter(|it| it.responses.len() > 1).collect()
    }
}
