//! Invariant 2: when a request may be repeated, and when it may be rejected, which promises that a
//! retry is harmless.
use crate::policy::api::{DeduplicationScope, Endpoint, Idempotency, Nanos};

/// The endpoint where a request may have been executed, and the one where a repeat would run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RepeatTargets {
    /// Endpoint of the first attempt that may have been executed.
    pub(crate) first: Endpoint,
    /// Endpoint of the next attempt; `None` if it is not yet chosen.
    pub(crate) next: Option<Endpoint>,
}

/// Whether a request that was sent at `sent` and may have been executed may be sent again. A
/// request with an idempotency key may be sent only to engines that discard its duplicates, within
/// the window in which they keep the key. `targets` is `None` if the first endpoint is unknown; then
/// only the window is checked.
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
        !self.first.ignores_idempotency_keys
            && self
                .next
                .is_none_or(|next| shares_scope(scope, &self.first, &next))
    }
}

fn shares_scope(scope: DeduplicationScope, first: &Endpoint, next: &Endpoint) -> bool {
    let in_scope = match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.zone == next.zone,
        DeduplicationScope::Cell => first.cell == next.cell,
    };
    in_scope && !next.ignores_idempotency_keys
}

/// Whether a request may be rejected, which promises that a retry is harmless. One that may have
/// been executed may be rejected only if it may be repeated on any engine. With an idempotency key
/// this needs engines that all use keys, see [`use_idempotency_keys`].
pub(crate) fn may_reject(
    idempotency: Idempotency,
    may_have_run: bool,
    engines_use_keys: bool,
) -> bool {
    let repeatable_anywhere = match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey { scope, .. } => scope == DeduplicationScope::All && engines_use_keys,
        Idempotency::NonIdempotent => false,
    };
    !may_have_run || repeatable_anywhere
}

/// Whether all of these engines are sent idempotency keys and discard duplicates by them.
pub(crate) fn use_idempotency_keys(endpoints: &[Endpoint]) -> bool {
    endpoints
        .iter()
        .all(|endpoint| !endpoint.ignores_idempotency_keys)
}

#[cfg(test)]
#[path = "../../../tests/unit/idempotency.rs"]
mod tests;
