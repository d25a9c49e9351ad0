//! Rendezvous hashing of resources over members.
use super::simulation::member_name;
use super::*;
use std::collections::BTreeSet;

const MEMBERS: usize = 300;
const RESOURCES: u64 = 80;

/// The preferred owner of each resource among all members except `absent`.
fn owners_without(absent: &str) -> Vec<String> {
    let names: Vec<String> = (0..MEMBERS).map(member_name).collect();
    let present = || {
        names
            .iter()
            .map(String::as_str)
            .filter(|name| *name != absent)
    };
    let owner = |engine| preferred_owner(Resource::Probe(engine), present()).expect("an owner");
    (0..RESOURCES)
        .map(|engine| owner(engine).to_owned())
        .collect()
}

#[test]
fn a_member_that_leaves_moves_only_its_own_resources() {
    let owners = owners_without("");
    let departed = owners[5].clone();

    let owners_after = owners_without(&departed);

    for (before, after) in owners.iter().zip(&owners_after) {
        assert_eq!(before == after, *before != departed);
    }
}

#[test]
fn resources_spread_over_the_members() {
    let owners = owners_without("");

    let distinct: BTreeSet<&String> = owners.iter().collect();

    assert!(
        distinct.len() > 60,
        "{RESOURCES} resources on {} of {MEMBERS} members",
        distinct.len()
    );
}
