//! Handles: opaque tokens by which clients refer to their results.
//!
//! A handle consists of the number of its key, the number of its result, and an authentication code
//! over these, the tenant and the user: HMAC-SHA-256, truncated to 128 bits. A handle is bound to
//! its owner and stays valid after a restart. A forged handle is detected with the key alone,
//! without a lookup.

use super::{Owner, ResultId};
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

/// Size of the authentication code in bytes; 128 bits can't be guessed.
const CODE_BYTES: usize = 16;

/// Size of the head in bytes: the number of the key and the number of the result.
const HEAD_BYTES: usize = 9;

/// A secret key.
pub type Key = [u8; 32];

/// The keys of an installation: handles are issued with the newest key and verified with all keys.
#[derive(Clone)]
pub struct HandleKeys {
    newest: u8,
    keys: BTreeMap<u8, Key>,
}

impl HandleKeys {
    /// Creates the keys of an installation with a single key and its number.
    pub fn new(number: u8, key: Key) -> HandleKeys {
        HandleKeys {
            newest: number,
            keys: BTreeMap::from([(number, key)]),
        }
    }

    /// Adds a key, with which handles are issued from now on. Handles of the other keys are valid
    /// until those keys are retired.
    pub fn rotate(&mut self, number: u8, key: Key) {
        self.newest = number;
        self.keys.insert(number, key);
    }

    /// Removes a key, which makes its handles invalid. The newest key is never removed.
    pub fn retire(&mut self, number: u8) {
        if number != self.newest {
            self.keys.remove(&number);
        }
    }

    /// Computes the authentication code over the head of a handle and its owner. The first byte of
    /// the head is the number of the key; `None` if there is no such key.
    fn code(&self, head: &[u8], owner: &Owner) -> Option<Hmac<Sha256>> {
        let key = self.keys.get(head.first()?)?;
        let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
        mac.update(head);
        // The tenant has a fixed length and the user comes last, so different owners have different
        // bytes.
        mac.update(&owner.tenant.0.to_be_bytes());
        mac.update(owner.user.as_bytes());
        Some(mac)
    }

    /// Issues the handle of a result for its owner. Never `None`, as the newest key is always
    /// known.
    pub fn issue(&self, id: ResultId, owner: &Owner) -> Option<String> {
        let mut bytes = vec![self.newest];
        bytes.extend(id.0.to_be_bytes());
        let code = self.code(&bytes, owner)?.finalize().into_bytes();
        bytes.extend_from_slice(&code[..CODE_BYTES]);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Returns the result of a handle that was issued for this owner; `None` for any other handle.
    /// The code is compared in constant time.
    pub fn verify(&self, handle: &str, owner: &Owner) -> Option<ResultId> {
        let bytes = URL_SAFE_NO_PAD.decode(handle).ok()?;
        if bytes.len() != HEAD_BYTES + CODE_BYTES {
            return None;
        }
        let (head, code) = bytes.split_at(HEAD_BYTES);
        self.code(head, owner)?.verify_truncated_left(code).ok()?;
        let id = head[1..].try_into().ok()?;
        Some(ResultId(u64::from_be_bytes(id)))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/spool_handle.rs"]
mod tests;
