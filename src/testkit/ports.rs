//! Addresses for the programs under test, which bind them by themselves. No other process of a test
//! run is given the same one, and none is given out twice.
//!
//! A port that was free a moment ago is nobody's: a daemon of another test may bind it first. With
//! SO_REUSEPORT both would have it and share their clients. So each process has a loopback host of its
//! own, which it holds for as long as it runs, and counts the ports on it.
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// The second octets of the hosts: none of those that the test kit or the platform uses otherwise.
const NETWORKS: std::ops::Range<u8> = 128..192;
/// A listener on this port of a host holds the host.
const HOLDER_PORT: u16 = 9_999;
/// The first port that is given out.
const FIRST_PORT: u16 = 10_000;

/// A loopback host that this process holds.
#[derive(Debug)]
pub struct ReservedHost {
    ip: Ipv4Addr,
    /// Bound without SO_REUSEPORT, so that no other process can bind the same.
    _holder: TcpListener,
    next_port: AtomicU16,
}

impl ReservedHost {
    /// Holds a host that no other process holds, beginning the search at the one of this number.
    ///
    /// # Panics
    /// All are held.
    pub fn reserve(number: u32) -> ReservedHost {
        let [_, high, middle, low] = number.to_be_bytes();
        let networks = usize::from(NETWORKS.end - NETWORKS.start);
        (0..networks)
            .map(|offset| {
                let network = (usize::from(high) + offset) % networks;
                Ipv4Addr::new(127, NETWORKS.start + network as u8, middle, low)
            })
            .find_map(|ip| {
                let holder = TcpListener::bind((ip, HOLDER_PORT)).ok()?;
                Some(ReservedHost {
                    ip,
                    _holder: holder,
                    next_port: AtomicU16::new(FIRST_PORT),
                })
            })
            .expect("a loopback host that no other process holds")
    }

    /// The host.
    pub fn ip(&self) -> IpAddr {
        self.ip.into()
    }

    /// An address on it that was not given out before, neither for TCP nor for UDP.
    ///
    /// # Panics
    /// All ports were given out.
    pub fn next_addr(&self) -> SocketAddr {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        assert!(port >= FIRST_PORT, "the ports of {} are used up", self.ip);
        (self.ip, port).into()
    }
}

/// An address for a program under test, on this process's own host.
pub fn reserve_addr() -> SocketAddr {
    static HOST: OnceLock<ReservedHost> = OnceLock::new();
    HOST.get_or_init(|| ReservedHost::reserve(std::process::id()))
        .next_addr()
}
