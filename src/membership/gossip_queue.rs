//! The queue of member updates to piggyback on outgoing datagrams.
use super::codec;
use super::message::MemberUpdate;
use std::collections::VecDeque;

struct PendingUpdate {
    member: String,
    transmissions_left: u64,
}

/// The members whose updates are disseminated, each for a limited number of transmissions. The
/// queue holds only the names; an update is looked up when it is sent, so that the latest one is
/// sent.
#[derive(Default)]
pub(super) struct GossipQueue {
    pending: VecDeque<PendingUpdate>,
}

impl GossipQueue {
    /// Queues the member's update for `transmissions` datagrams and replaces its earlier entry.
    pub(super) fn enqueue(&mut self, member: &str, transmissions: u64) {
        self.pending.retain(|pending| pending.member != member);
        self.pending.push_front(PendingUpdate {
            member: member.to_owned(),
            transmissions_left: transmissions,
        });
    }

    /// Takes the updates that fit into `free_bytes`, those with the fewest transmissions first.
    /// Members for which `find_update` returns `None` are removed from the queue.
    pub(super) fn take_fitting<'a>(
        &mut self,
        mut free_bytes: usize,
        find_update: impl Fn(&str) -> Option<&'a MemberUpdate>,
    ) -> Vec<MemberUpdate> {
        let mut taken = Vec::new();
        let mut remaining = VecDeque::with_capacity(self.pending.len());
        while let Some(mut pending) = self.pending.pop_front() {
            let Some(update) = find_update(&pending.member) else {
                continue;
            };
            let size = codec::update_size(update);
            if size > free_bytes || pending.transmissions_left == 0 {
                remaining.push_front(pending);
                continue;
            }
            free_bytes -= size;
            taken.push(update.clone());
            pending.transmissions_left -= 1;
            if pending.transmissions_left > 0 {
                remaining.push_back(pending);
            }
        }
        self.pending = remaining;
        taken
    }
}

#[cfg(test)]
#[path = "../../tests/unit/gossip_queue.rs"]
mod tests;
