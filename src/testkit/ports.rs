//! Reserves addresses for the programs under test, which bind them themselves. No address is
//! returned twice, neither in this process nor in another process of a test run.
//!
//! To find a free port and release it would not be enough: a daemon of another test may bind the
//! port first, and with SO_REUSEPORT both daemons would listen on it and share their clients.
//! Therefore each process reserves a separate loopback host for as long as it runs, and numbers the
//! ports on it.
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// The second octets of the hosts, which the test kit and the platform do not use otherwise.
const NETWORKS: std::ops::Range<u8> = 128..192;
/// A listener on this port reserves a host.
const RESERVATION_PORT: u16 = 9_999;
/// The first port that is returned.
const FIRST_PORT: u16 = 10_000;

/// A loopback host that is reserved for this process.
#[derive(Debug)]
pub struct ReservedHost {
    ip: Ipv4Addr,
    /// Bound without SO_REUSEPORT, so that no other process can bind the same address.
    _reservation: TcpListener,
    next_port: AtomicU16,
}

impl ReservedHost {
    /// Reserves a host that no other process has reserved. The search starts at the host with this
    /// number.
    ///
    /// # Panics
    /// No host is free.
    pub fn reserve(number: u32) -> ReservedHost {
        let [_, high, middle, low] = number.to_be_bytes();
        let networks = usize::from(NETWORKS.end - NETWORKS.start);
        (0..networks)
            .map(|offset| {
                let network = (usize::from(high) + offset) % networks;
                Ipv4Addr::new(127, NETWORKS.start + network as u8, middle, low)
            })
            .find_map(|ip| {
                let reservation = TcpListener::bind((ip, RESERVATION_PORT)).ok()?;
                Some(ReservedHost {
                    ip,
                    _reservation: reservation,
                    next_port: AtomicU16::new(FIRST_PORT),
                })
            })
            .expect("a loopback host that no other process has reserved")
    }

    /// The address of the host.
    pub fn ip(&self) -> IpAddr {
        self.ip.into()
    }

    /// Returns an address on the host that was not returned before, neither for TCP nor for UDP.
    ///
    /// # Panics
    /// All ports were returned before.
    pub fn next_addr(&self) -> SocketAddr {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        assert!(
            port >= FIRST_PORT,
            "all ports of {} were returned before",
            self.ip
        );
        (self.ip, port).into()
    }
}

/// Returns an unused address for a program under test, on the host of this process.
pub fn reserve_addr() -> SocketAddr {
    static HOST: OnceLock<ReservedHost> = OnceLock::new();
    HOST.get_or_init(|| ReservedHost::reserve(std::process::id()))
        .next_addr()
}
