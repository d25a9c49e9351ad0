//! Handles of spooled results: validity for the owner alone, forgeries, and the rotation of keys.
use super::*;
use crate::policy::api::TenantId;

fn owner(tenant: u16, user: &str) -> Owner {
    Owner {
        tenant: TenantId(tenant),
        user: user.into(),
    }
}

#[test]
fn a_handle_is_valid_for_its_owner_alone_and_after_a_restart() {
    let handle = HandleKeys::new(1, [7; 32])
        .issue(ResultId(42), &owner(1, "anna"))
        .unwrap();
    let keys = HandleKeys::new(1, [7; 32]);
    assert_eq!(keys.verify(&handle, &owner(1, "anna")), Some(ResultId(42)));
    for other_owner in [
        owner(2, "anna"),
        owner(1, "ann"),
        owner(1, "anna2"),
        owner(1, ""),
    ] {
        assert_eq!(keys.verify(&handle, &other_owner), None);
    }
    assert_eq!(
        HandleKeys::new(1, [8; 32]).verify(&handle, &owner(1, "anna")),
        None
    );
}

/// Covers handles with any bit changed, truncated handles, extended ones, and other text.
#[test]
fn a_modified_handle_is_invalid() {
    let keys = HandleKeys::new(1, [7; 32]);
    let anna = owner(1, "anna");
    let handle = keys.issue(ResultId(42), &anna).unwrap();
    let bytes = URL_SAFE_NO_PAD.decode(&handle).unwrap();
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut forged = bytes.clone();
            forged[at] ^= 1 << bit;
            assert_eq!(keys.verify(&URL_SAFE_NO_PAD.encode(forged), &anna), None);
        }
    }
    for cut in 0..handle.len() {
        assert_eq!(keys.verify(&handle[..cut], &anna), None);
    }
    for malformed in [
        "",
        "=",
        "\u{e4}",
        &format!("{handle}A"),
        &format!("{handle}AAAA"),
    ] {
        assert_eq!(keys.verify(malformed, &anna), None);
    }
}

#[test]
fn handles_stay_valid_after_a_rotation_until_their_key_is_retired() {
    let mut keys = HandleKeys::new(1, [7; 32]);
    let anna = owner(1, "anna");
    let old = keys.issue(ResultId(1), &anna).unwrap();
    keys.rotate(2, [9; 32]);
    let new = keys.issue(ResultId(2), &anna).unwrap();
    assert_eq!(
        (keys.verify(&old, &anna), keys.verify(&new, &anna)),
        (Some(ResultId(1)), Some(ResultId(2)))
    );
    keys.retire(1);
    keys.retire(2);
    assert_eq!(
        (keys.verify(&old, &anna), keys.verify(&new, &anna)),
        (None, Some(ResultId(2)))
    );
}
