//! Handles: opaque tokens by which clients name their results.
//!
//! A handle is the number of its key and of its result with a code over these, the tenant and the
//! user: HMAC-SHA-256, truncated to 128 bits. It is bound to its owner and valid after a restart.
//! A forged one is recognised with the key alone, without a look-up.

use super::{Owner, ResultId};
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

/// Bytes of the code; 128 bits can't be guessed.
const CODE_BYTES: usize = 16;

/// Bytes before the code: the number of the key and that of the result.
const HEAD_BYTES: usize = 9;

/// A secret key.
pub type Key = [u8; 32];

/// The keys of an installation: the newest issues handles, all of them verify handles.
#[derive(Clone)]
pub struct HandleKeys {
    newest: u8,
    keys: BTreeMap<u8, Key>,
}

impl HandleKeys {
    /// A single key, with its number.
    pub fn new(number: u8, key: Key) -> HandleKeys {
        HandleKeys {
            newest: number,
            keys: BTreeMap::from([(number, key)]),
        }
    }

    /// Adds a key that issues handles from now on. Handles of the other keys are valid until those
    /// are retired.
    pub fn rotate(&mut self, number: u8, key: Key) {
        self.newest = number;
        self.keys.insert(number, key);
    }

    /// Removes a key, which makes its handles invalid. The newest key stays.
    pub fn retire(&mut self, number: u8) {
        if number != self.newest {
            self.keys.remove(&number);
        }
    }

    /// The code over the head of a handle and its owner. The key is named by the first byte of the
    /// head; `None` if there is no such key.
    fn code(&self, head: &[u8], owner: &Owner) -> Option<Hmac<Sha256>> {
        let key = self.keys.get(head.first()?)?;
        let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
        mac.update(head);
        // The tenant has a fixed length and the user comes last, so no two owners give the same
        // bytes.
        mac.update(&owner.tenant.0.to_be_bytes());
        mac.update(owner.user.as_bytes());
        Some(mac)
    }

    /// The handle of a result for its owner. `None` can't occur as long as the newest key is known.
    pub fn issue(&self, id: ResultId, owner: &Owner) -> Option<String> {
        let mut bytes = vec![self.newest];
        bytes.extend(id.0.to_be_bytes());
        let code = self.code(&bytes, owner)?.finalize().into_bytes();
        bytes.extend_from_slice(&code[..CODE_BYTES]);
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// The result of a handle that was issued for this owner; `None` for any other handle. The code
    /// is compared in constant time.
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
