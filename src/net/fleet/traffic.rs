//! What the fleet's actor sends and receives, counted always: two cells a datagram. The scale rig
//! reads the counts, and may have datagrams lost on their way out.
use crate::lease::codec as letters;
use serde::Serialize;
use std::cell::{Cell, OnceCell};
use std::net::{SocketAddr, UdpSocket};

/// Bytes that IP and UDP put before each payload.
pub const HEADERS: u64 = 28;

/// Datagrams one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Flow {
    /// How many.
    pub datagrams: u64,
    /// Their payloads together, in bytes.
    pub bytes: u64,
}

impl Flow {
    /// One more, of so many bytes.
    #[must_use]
    pub fn and(self, bytes: usize) -> Flow {
        Flow {
            datagrams: self.datagrams + 1,
            bytes: self.bytes + bytes as u64,
        }
    }

    /// Both together.
    #[must_use]
    pub fn plus(self, other: Flow) -> Flow {
        Flow {
            datagrams: self.datagrams + other.datagrams,
            bytes: self.bytes + other.bytes,
        }
    }

    /// What came since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: Flow) -> Flow {
        Flow {
            datagrams: self.datagrams.saturating_sub(earlier.datagrams),
            bytes: self.bytes.saturating_sub(earlier.bytes),
        }
    }

    /// Bytes with the headers of IP and UDP.
    pub fn on_wire(self) -> u64 {
        self.bytes + self.datagrams * HEADERS
    }
}

/// One reading of the counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// The membership's datagrams that the socket took, or that a cut lost.
    pub membership_sent: Flow,
    /// The membership's that came, and what came that can't be read.
    pub membership_received: Flow,
    /// The duties' datagrams that the socket took, or that a cut lost.
    pub duties_sent: Flow,
    /// The duties' that came.
    pub duties_received: Flow,
    /// Of those sent, what a cut lost.
    pub cut: Flow,
    /// Not sent: the socket did not take them.
    pub refused: Flow,
}

impl Counts {
    /// All that was sent, what a cut lost among it.
    pub fn sent(&self) -> Flow {
        self.membership_sent.plus(self.duties_sent)
    }

    /// All that came.
    pub fn received(&self) -> Flow {
        self.membership_received.plus(self.duties_received)
    }

    /// Both together, as those of two lives of one manager.
    #[must_use]
    pub fn plus(&self, other: &Counts) -> Counts {
        self.with(other, Flow::plus)
    }

    /// What came since an earlier reading.
    #[must_use]
    pub fn since(&self, earlier: &Counts) -> Counts {
        self.with(earlier, Flow::since)
    }

    fn with(&self, other: &Counts, both: impl Fn(Flow, Flow) -> Flow) -> Counts {
        Counts {
            membership_sent: both(self.membership_sent, other.membership_sent),
            membership_received: both(self.membership_received, other.membership_received),
            duties_sent: both(self.duties_sent, other.duties_sent),
            duties_received: both(self.duties_received, other.duties_received),
            cut: both(self.cut, other.cut),
            refused: both(self.refused, other.refused),
        }
    }
}

type Cut = Box<dyn Fn(SocketAddr) -> bool>;

/// The counts of one process, or of one hollow manager.
#[derive(Default)]
pub struct Traffic {
    counts: Cell<Counts>,
    cut: OnceCell<Cut>,
}

impl Traffic {
    /// What was counted so far.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// From now on what goes to an address for which this holds is lost. Only the first one counts.
    pub fn lose(&self, cut: impl Fn(SocketAddr) -> bool + 'static) {
        let _ = self.cut.set(Box::new(cut));
    }

    /// Sends a datagram and counts it. A full socket buffer loses it, as the network may: the
    /// protocols bear it.
    pub fn send(&self, socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
        let mut counts = self.counts.get();
        let lost = self.cut.get().is_some_and(|cut| cut(to));
        if !lost && socket.send_to(bytes, to).is_err() {
            counts.refused = counts.refused.and(bytes.len());
        } else {
            let sent = match bytes.starts_with(&letters::TAG) {
                true => &mut counts.duties_sent,
                false => &mut counts.membership_sent,
            };
            *sent = sent.and(bytes.len());
            counts.cut = if lost {
                counts.cut.and(bytes.len())
            } else {
                counts.cut
            };
        }
        self.counts.set(counts);
    }

    /// A datagram came.
    pub fn received(&self, bytes: &[u8]) {
        let mut counts = self.counts.get();
        let received = match bytes.starts_with(&letters::TAG) {
            true => &mut counts.duties_received,
            false => &mut counts.membership_received,
        };
        *received = received.and(bytes.len());
        self.counts.set(counts);
    }
}
