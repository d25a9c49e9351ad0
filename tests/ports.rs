//! The addresses that the test kit reserves: no two reservations may return the same one, in one
//! process or in several.
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::process::Command;
use yokelift::testkit::ports::{ReservedHost, reserve_addr};

/// The environment variable with which this test program prints its host address instead of
/// testing.
const PRINT_ADDRESS: &str = "YOKELIFT_TEST_PRINT_ADDRESS";

#[test]
fn no_address_is_reserved_twice() {
    let threads: Vec<_> = (0..8)
        .map(|_| std::thread::spawn(|| (0..500).map(|_| reserve_addr()).collect::<Vec<_>>()))
        .collect();
    let addrs = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("the thread does not panic"));
    assert_eq!(addrs.collect::<BTreeSet<SocketAddr>>().len(), 8 * 500);
}

/// Two reservations with the same number get different hosts, and a released host can be reserved
/// again.
#[test]
fn a_host_is_reserved_once_until_it_is_released() {
    let number = 0x00ff_fe01;
    let first = ReservedHost::reserve(number);
    let second = ReservedHost::reserve(number);
    assert_ne!(first.ip(), second.ip());
    let released = first.ip();
    drop(first);
    assert_eq!(ReservedHost::reserve(number).ip(), released);
}

#[test]
fn another_process_reserves_another_host() {
    if std::env::var_os(PRINT_ADDRESS).is_some() {
        println!("host={}", reserve_addr().ip());
        return;
    }
    let own_host = reserve_addr().ip();
    let other_host = || {
        let output = Command::new(std::env::current_exe().expect("the path of this program"))
            .args([
                "--exact",
                "another_process_reserves_another_host",
                "--nocapture",
            ])
            .env(PRINT_ADDRESS, "1")
            .output()
            .expect("this program can be started");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let mut words = text.split(|letter: char| letter.is_whitespace());
        let host = words.find_map(|word| word.strip_prefix("host="));
        host.and_then(|host| host.parse::<IpAddr>().ok())
            .unwrap_or_else(|| panic!("no host in {text}"))
    };
    assert_ne!(other_host(), own_host);
}
