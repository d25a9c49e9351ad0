//! The name under which a client finds its result again: opaque, bound to its desk and user, and
//! made with a key that outlives a restart. Nothing but the key is needed to tell a forged one, so
//! a forger costs no look-up.
use super::{Owner, ResultId};
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

/// Bytes of the code that proves a handle: 128 bits can't be guessed.
const CODE: usize = 16;
/// Bytes before it: the number of the key and that of the result.
const HEAD: usize = 9;

/// The keys of an installation: the newest makes handles, all of them prove them.
#[derive(Clone)]
pub struct Keys {
    newest: u8,
    keys: BTreeMap<u8, [u8; 32]>,
}

impl Keys {
    /// One key, with its number.
    pub fn new(number: u8, key: [u8; 32]) -> Keys {
        Keys {
            newest: number,
            keys: BTreeMap::from([(number, key)]),
        }
    }

    /// A further key, which makes handles from now on. Those of the others are good until they are
    /// retired.
    pub fn rotate(&mut self, number: u8, key: [u8; 32]) {
        self.newest = number;
        self.keys.insert(number, key);
    }

    /// Forgets a key, and with it all handles that it made; the newest stays.
    pub fn retire(&mut self, number: u8) {
        if number != self.newest {
            self.keys.remove(&number);
        }
    }

    fn code(&self, head: &[u8], owner: &Owner) -> Option<Hmac<Sha256>> {
        let key = self.keys.get(head.first()?)?;
        let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
        mac.update(head);
        // The desk has a fixed length and the user comes last: no two owners give the same bytes.
        mac.update(&owner.desk.0.to_be_bytes());
        mac.update(owner.user.as_bytes());
        Some(mac)
    }

    /// The handle of a result.
    pub fn make(&self, id: ResultId, owner: &Owner) -> Option<String> {
        let mut bytes = vec![self.newest];
        bytes.extend(id.0.to_be_bytes());
        let code = self.code(&bytes, owner)?.finalize().into_bytes();
        bytes.extend_from_slice(&code[..CODE]);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// The result of a handle, if it was made for this owner here. Compared in constant time.
    pub fn open(&self, handle: &str, owner: &Owner) -> Option<ResultId> {
        let bytes = URL_SAFE_NO_PAD
            .decode(handle)
            .ok()
            .filter(|bytes| bytes.len() == HEAD + CODE)?;
        let (head, code) = bytes.split_at(HEAD);
        self.code(head, owner)?.verify_truncated_left(code).ok()?;
        Some(ResultId(u64::from_be_bytes(head[1..].try_into().ok()?)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::policy::api::TenantId;

    fn owner(desk: u16, user: &str) -> Owner {
        Owner {
            desk: TenantId(desk),
            user: user.into(),
        }
    }

    #[test]
    fn a_handle_opens_for_its_owner_alone_and_after_a_restart() {
        let made = Keys::new(1, [7; 32])
            .make(ResultId(42), &owner(1, "anna"))
            .unwrap();
        let keys = Keys::new(1, [7; 32]);
        assert_eq!(keys.open(&made, &owner(1, "anna")), Some(ResultId(42)));
        for stranger in [
            owner(2, "anna"),
            owner(1, "ann"),
            owner(1, "anna2"),
            owner(1, ""),
        ] {
            assert_eq!(keys.open(&made, &stranger), None);
        }
        assert_eq!(Keys::new(1, [8; 32]).open(&made, &owner(1, "anna")), None);
    }

    /// Guards against handles that were changed anywhere, cut, drawn out, or are none at all.
    #[test]
    fn a_forged_handle_opens_nothing() {
        let (keys, anna) = (Keys::new(1, [7; 32]), owner(1, "anna"));
        let made = keys.make(ResultId(42), &anna).unwrap();
        let bytes = URL_SAFE_NO_PAD.decode(&made).unwrap();
        for at in 0..bytes.len() {
            for bit in 0..8 {
                let mut forged = bytes.clone();
                forged[at] ^= 1 << bit;
                assert_eq!(keys.open(&URL_SAFE_NO_PAD.encode(forged), &anna), None);
            }
        }
        for cut in 0..made.len() {
            assert_eq!(keys.open(&made[..cut], &anna), None);
        }
        for none in [
            "",
            "=",
            "\u{e4}",
            &format!("{made}A"),
            &format!("{made}AAAA"),
        ] {
            assert_eq!(keys.open(none, &anna), None);
        }
    }

    #[test]
    fn handles_outlive_a_rotation_until_their_key_is_retired() {
        let (mut keys, anna) = (Keys::new(1, [7; 32]), owner(1, "anna"));
        let old = keys.make(ResultId(1), &anna).unwrap();
        keys.rotate(2, [9; 32]);
        let new = keys.make(ResultId(2), &anna).unwrap();
        assert_eq!(
            (keys.open(&old, &anna), keys.open(&new, &anna)),
            (Some(ResultId(1)), Some(ResultId(2)))
        );
        keys.retire(1);
        keys.retire(2);
        assert_eq!(
            (keys.open(&old, &anna), keys.open(&new, &anna)),
            (None, Some(ResultId(2)))
        );
    }
}
