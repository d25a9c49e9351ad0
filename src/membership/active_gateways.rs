//! Counts the managers among which the capacity of the engines is divided.
use super::message::{MemberState, MemberUpdate};
use super::version::SHUT_OUT;
use crate::clock::Micros;

/// The number of managers that share the engines, as one manager counts them.
///
/// Members that are dead, departed or shut out take no share, provided that the active members are
/// more than half of all known members; otherwise every configured manager counts. A smaller count
/// is adopted only after it has been valid for the grace period, a larger one immediately.
///
/// This protects the engines during a network partition: at most one side has a majority and takes
/// over the other side's share, and neither side does so while it is still detecting which members
/// it lost.
#[derive(Clone, Debug)]
pub struct ActiveGatewayCount {
    configured: u32,
    count: u32,
    /// The time since which a smaller count than `count` has been valid.
    smaller_since: Option<Micros>,
}

/// The numbers of members of the fleet, by whether they take a share.
#[derive(Default)]
struct MemberCounts {
    known: u32,
    active: u32,
    /// Dead, departed or shut out. A suspect is neither active nor inactive.
    inactive: u32,
}

impl MemberCounts {
    fn add(&mut self, member: &MemberUpdate) {
        let shut_out = member.versions.stage == SHUT_OUT;
        self.known += 1;
        self.inactive += u32::from(member.state.is_dead_or_left() || shut_out);
        self.active += u32::from(member.state == MemberState::Alive && !shut_out);
    }

    fn has_active_majority(&self) -> bool {
        2 * self.active > self.known
    }
}

impl ActiveGatewayCount {
    /// Starts with the number of managers in the settings, at least one.
    pub fn new(configured: u32) -> ActiveGatewayCount {
        let configured = configured.max(1);
        ActiveGatewayCount {
            configured,
            count: configured,
            smaller_since: None,
        }
    }

    /// Updates the count at `now` and returns the number of managers that share the engines.
    pub fn count<'a>(
        &mut self,
        me: &'a MemberUpdate,
        others: impl Iterator<Item = &'a MemberUpdate>,
        grace: Micros,
        now: Micros,
    ) -> u32 {
        let mut members = MemberCounts::default();
        others.chain([me]).for_each(|member| members.add(member));
        let current = if members.has_active_majority() {
            self.configured.saturating_sub(members.inactive).max(1)
        } else {
            self.configured
        };
        if current >= self.count || self.smaller_count_lasted(grace, now) {
            self.count = current;
            self.smaller_since = None;
        }
        self.count
    }

    /// Whether a smaller count has been valid for the grace period, which starts at `now` unless it
    /// has started before.
    fn smaller_count_lasted(&mut self, grace: Micros, now: Micros) -> bool {
        now >= *self.smaller_since.get_or_insert(now) + grace
    }
}
