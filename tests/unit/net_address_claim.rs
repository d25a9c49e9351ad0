//! The names of claims, and which process holds an address according to them.
use super::*;

const ADDRESS: &str = "127.8.0.1:4010";

fn address() -> SocketAddr {
    ADDRESS.parse().expect("an address")
}

fn manager(name: &str, folder: Option<u64>) -> ManagerIdentity {
    ManagerIdentity {
        folder,
        ..ManagerIdentity::new(name, None)
    }
}

/// The line of a claim in the system's list of Unix sockets.
fn line(process: u32, manager: &ManagerIdentity, address: SocketAddr) -> String {
    let claimant = Claimant {
        process,
        manager: manager.clone(),
    };
    let name = claimant.socket_name(address);
    format!("0000000000000000: 00000002 00000000 00000000 0002 01 4242 @{name}\n")
}

#[test]
fn the_holder_is_identified_by_name_and_state_folder() {
    let own = manager("east", Some(1));
    let cases = [
        (manager("east", Some(1)), true),
        (manager("east", None), true),
        (manager("east", Some(2)), false),
        (manager("west", Some(1)), false),
        (manager("west", None), false),
    ];
    for (holder, is_same) in cases {
        let names = line(7, &holder, address());
        let expected = if is_same {
            AddressHolder::SameManager { process: 7 }
        } else {
            AddressHolder::OtherManager {
                process: 7,
                name: holder.name,
            }
        };
        assert_eq!(holder_among(&names, address(), &own, 9), expected);
    }
}

#[test]
fn own_claims_and_claims_of_other_addresses_are_ignored() {
    let own = manager("east", Some(1));
    let other = manager("west", Some(1));
    let names = line(9, &other, address())
        + &line(7, &other, "127.8.0.1:401".parse().expect("an address"))
        + "0000000000000000: 00000002 00000000 00010000 0001 01 17 /run/socket\n"
        + "0000000000000000: 00000002 00000000 00010000 0001 01 18\n"
        + "0000000000000000: 00000002 00000000 00000000 0002 01 19 @yokelift-claim/127.8.0.1:4010/x/y\n";
    assert_eq!(
        holder_among(&names, address(), &own, 9),
        AddressHolder::Unknown
    );
}

#[test]
fn another_manager_takes_precedence_over_the_same_manager() {
    let own = manager("east", Some(1));
    let names = line(7, &own, address()) + &line(8, &manager("west", Some(1)), address());
    assert!(matches!(
        holder_among(&names, address(), &own, 9),
        AddressHolder::OtherManager { process: 8, .. }
    ));
}

/// Guards against long names: the claim must fit into the name of a socket, and managers whose
/// names differ only at the end must be distinguished.
#[test]
fn claims_of_long_names_are_published_and_distinguished() {
    let long = "n".repeat(300);
    let one = ManagerIdentity::new(&long, None);
    let other = ManagerIdentity::new(&format!("{long}2"), None);
    let longest = "255.255.255.255:65535".parse().expect("an address");
    let _claim = AddressClaim::publish(longest, &one).expect("a claim");
    let name = Claimant {
        process: u32::MAX,
        manager: one.clone(),
    }
    .socket_name(longest);
    assert!(name.len() < 108, "{name}");
    assert!(!one.may_be_same(&other));
    assert_ne!(one, other);
}
