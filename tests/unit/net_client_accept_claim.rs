//! The claims on listeners, and whose they are.
use super::*;
use std::net::TcpListener;

#[test]
fn claims_of_other_processes_on_the_same_listener_are_found() {
    let cases = [
        ("yokelift-accepts/42/7", true),
        ("yokelift-accepts/42/9", false),
        ("yokelift-accepts/421/7", false),
        ("yokelift-claim/42/7", false),
    ];
    for (name, expected) in cases {
        let names = [name.to_owned()];
        assert_eq!(is_claimed_by_another(&names, 42, 9), expected, "{name}");
    }
}

/// Guards the close of a listener against claims of this process itself, and against claims that
/// were withdrawn.
#[test]
fn a_claim_is_listed_until_it_is_withdrawn_and_is_no_claim_of_another_process() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let inode = inode(&listener).expect("its inode");
    let another_process = std::process::id() + 1;
    let is_claimed = || is_claimed_by_another(&claimed_names(), inode, another_process);
    assert!(!is_claimed());

    let claim = AcceptClaim::publish(&listener).expect("a claim");
    assert!(is_claimed() && !is_accepted_elsewhere(&listener));

    drop(claim);
    assert!(!is_claimed());
}
