//! Accounting of the datagrams that the membership actor sends and receives. Tests read the counts,
//! and may block outgoing datagrams to simulate a partition.
use crate::lease::codec as lease_codec;
use serde::Serialize;
use std::cell::{Cell, OnceCell};
use std::net::{SocketAddr, UdpSocket};

/// The bytes of the IPv4 and UDP headers of one datagram.
pub const IP_UDP_HEADER_BYTES: u64 = 28;

/// A number of datagrams and the total size of their payloads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Flow {
    /// The number of datagrams.
    pub datagrams: u64,
    /// The total size of the payloads in bytes.
    pub bytes: u64,
}

impl Flow {
    /// Returns this flow with one more datagram of `bytes` added.
    #[must_use]
    pub fn with_datagram(self, bytes: usize) -> Flow {
        Flow {
            datagrams: self.datagrams + 1,
            bytes: self.bytes + bytes as u64,
        }
    }

    /// The sum of two flows.
    #[must_use]
    pub fn plus(self, other: Flow) -> Flow {
        Flow {
            datagrams: self.datagrams + other.datagrams,
            bytes: self.bytes + other.bytes,
        }
    }

    /// The increase over an earlier reading, at least zero.
    #[must_use]
    pub fn since(self, earlier: Flow) -> Flow {
        Flow {
            datagrams: self.datagrams.saturating_sub(earlier.datagrams),
            bytes: self.bytes.saturating_sub(earlier.bytes),
        }
    }

    /// The size in bytes, including the IP and UDP headers.
    pub fn wire_bytes(self) -> u64 {
        self.bytes + self.datagrams * IP_UDP_HEADER_BYTES
    }
}

/// A reading of the counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounts {
    /// Membership datagrams that were sent or blocked.
    pub membership_sent: Flow,
    /// Received membership datagrams and datagrams of unknown formats.
    pub membership_received: Flow,
    /// Lease datagrams that were sent or blocked.
    #[serde(rename = "duties_sent")]
    pub lease_sent: Flow,
    /// Received lease datagrams.
    #[serde(rename = "duties_received")]
    pub lease_received: Flow,
    /// The sent datagrams that the filter blocked.
    #[serde(rename = "cut")]
    pub blocked: Flow,
    /// Datagrams that the socket did not accept. They are not counted as sent.
    #[serde(rename = "refused")]
    pub send_failed: Flow,
}

impl TrafficCounts {
    /// All sent datagrams, including the blocked ones.
    pub fn sent(&self) -> Flow {
        self.membership_sent.plus(self.lease_sent)
    }

    /// All received datagrams.
    pub fn received(&self) -> Flow {
        self.membership_received.plus(self.lease_received)
    }

    /// The sum of two readings, for example of a manager before and after its restart.
    #[must_use]
    pub fn plus(&self, other: &TrafficCounts) -> TrafficCounts {
        self.combine(other, Flow::plus)
    }

    /// The increase over an earlier reading.
    #[must_use]
    pub fn since(&self, earlier: &TrafficCounts) -> TrafficCounts {
        self.combine(earlier, Flow::since)
    }

    fn combine(
        &self,
        other: &TrafficCounts,
        combine: impl Fn(Flow, Flow) -> Flow,
    ) -> TrafficCounts {
        TrafficCounts {
            membership_sent: combine(self.membership_sent, other.membership_sent),
            membership_received: combine(self.membership_received, other.membership_received),
            lease_sent: combine(self.lease_sent, other.lease_sent),
            lease_received: combine(self.lease_received, other.lease_received),
            blocked: combine(self.blocked, other.blocked),
            send_failed: combine(self.send_failed, other.send_failed),
        }
    }
}

/// A function that returns whether datagrams to an address are blocked.
type BlockFilter = Box<dyn Fn(SocketAddr) -> bool>;

/// The counters of one manager.
#[derive(Default)]
pub struct Traffic {
    counts: Cell<TrafficCounts>,
    block_filter: OnceCell<BlockFilter>,
}

impl Traffic {
    /// Reads the counters.
    pub fn counts(&self) -> TrafficCounts {
        self.counts.get()
    }

    /// Blocks all further datagrams to the addresses for which `is_blocked` returns true. The first
    /// filter can't be replaced.
    pub fn block(&self, is_blocked: impl Fn(SocketAddr) -> bool + 'static) {
        let _ = self.block_filter.set(Box::new(is_blocked));
    }

    /// Sends a datagram and counts it. If the socket buffer is full, the datagram is lost, which
    /// the protocols tolerate like a loss in the network.
    pub fn send(&self, socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
        let is_blocked = self
            .block_filter
            .get()
            .is_some_and(|is_blocked| is_blocked(to));
        let failed = !is_blocked && socket.send_to(bytes, to).is_err();
        let mut counts = self.counts.get();
        if failed {
            counts.send_failed = counts.send_failed.with_datagram(bytes.len());
        } else {
            let sent = if is_lease_datagram(bytes) {
                &mut counts.lease_sent
            } else {
                &mut counts.membership_sent
            };
            *sent = sent.with_datagram(bytes.len());
        }
        if is_blocked {
            counts.blocked = counts.blocked.with_datagram(bytes.len());
        }
        self.counts.set(counts);
    }

    /// Counts a received datagram.
    pub fn count_received(&self, bytes: &[u8]) {
        let mut counts = self.counts.get();
        let received = if is_lease_datagram(bytes) {
            &mut counts.lease_received
        } else {
            &mut counts.membership_received
        };
        *received = received.with_datagram(bytes.len());
        self.counts.set(counts);
    }
}

fn is_lease_datagram(bytes: &[u8]) -> bool {
    bytes.starts_with(&lease_codec::TAG)
}
