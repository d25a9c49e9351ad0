//! Invariant 2: when a request may be repeated, and when it may be rejected, which promises that a
//! retry is harmless.
use crate::policy::api::{DeduplicationScope, Endpoint, Idempotency, Nanos};

/// The endpoint where a request may have been executed, and the one where a repeat would run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RepeatTargets {
    /// Endpoint of the first attempt that may have been executed.
    pub(crate) first: Endpoint,
    /// Endpoint of the next attempt.
    pub(crate) next: Endpoint,
}

/// Whether a request that was sent at `sent` and may have been executed may be sent again. A
/// request with an idempotency key may be sent only to engines that discard its duplicates, within
/// the window in which they keep the key. `targets` is `None` if either endpoint is unknown or not
/// yet chosen; then only the window is checked.
pub(crate) fn may_repeat(
    idempotency: Idempotency,
    sent: Nanos,
    targets: Option<RepeatTargets>,
    now: Nanos,
) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::WithKey { scope, window } => {
            let in_scope = targets.is_none_or(|targets| targets.share_scope(scope));
            in_scope && now < sent.saturating_add(window)
        }
    }
}

impl RepeatTargets {
    /// Whether both endpoints recognize duplicates of each other's requests.
    fn share_scope(&self, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.first.zone == self.next.zone,
            DeduplicationScope::Cell => self.first.cell == self.next.cell,
        }
    }
}

/// Whether a request may be rejected, which promises that a retry is harmless. One that may have
/// been executed may be rejected only if it may be repeated on any engine.
pub(crate) fn may_reject(idempotency: Idempotency, may_have_run: bool) -> bool {
    let repeatable_anywhere = match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey { scope, .. } => scope == DeduplicationScope::All,
        Idempotency::NonIdempotent => false,
    };
    !may_have_run || repeatable_anywhere
}

#[cfg(test)]
#[path = "../../../tests/unit/idempotency.rs"]
mod tests;
