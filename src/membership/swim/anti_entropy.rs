//! Anti-entropy: a manager reads the member lists of others page by page. This delivers updates
//! that gossip did not, for example to a manager that joins or returns after a long time.
use super::{Action, Membership};
use crate::membership::codec;
use crate::membership::message::{MemberUpdate, Message, MessageBody};
use std::net::SocketAddr;
use std::ops::Bound;

/// The interval between sync requests, in periods, once a complete sync found no new member.
const IDLE_SYNC_PERIODS: u64 = 8;

/// The number of bytes, besides the length of the last name, by which the header of a page may be
/// longer than a header with the requested name: the length prefix and the flag.
const PAGE_HEADER_SLACK_BYTES: usize = 2;

/// The progress of reading the member lists of others.
#[derive(Default)]
pub(super) struct SyncProgress {
    /// The last name read, empty at the start of a sync.
    last_name: String,
    /// Whether the last complete sync found no new member.
    converged: bool,
    /// Whether a new member was found since the current sync began.
    pub(super) found_member: bool,
}

impl SyncProgress {
    /// Records a received page.
    fn advance(&mut self, last_name: String, is_final: bool) {
        if !is_final {
            self.last_name = last_name;
            return;
        }
        self.last_name.clear();
        // A sync that found members does not count as converged: when the whole fleet starts at the
        // same time, the first members that respond have only discovered a few others.
        self.converged = !std::mem::take(&mut self.found_member);
    }
}

impl Membership {
    /// Requests the next page from a random member: in each period until a sync finds no new
    /// member, then every [`IDLE_SYNC_PERIODS`].
    pub(super) fn request_sync(&mut self, out: &mut Vec<Action>) {
        if self.sync.converged && !self.periods.is_multiple_of(IDLE_SYNC_PERIODS) {
            return;
        }
        let alive: Vec<SocketAddr> = self.alive().map(|member| member.update.addr).collect();
        if alive.is_empty() {
            return;
        }
        let receiver = alive[self.random_index(alive.len())];
        let after = self.sync.last_name.clone();
        self.send(receiver, MessageBody::Sync(after), out);
    }

    /// Responds to a sync request with a page.
    pub(super) fn receive_sync(&self, from: SocketAddr, after: String, out: &mut Vec<Action>) {
        let message = Box::new(self.page(after));
        out.push(Action::Send { to: from, message });
    }

    /// Records the position reached by another member's page, whose updates have already been
    /// merged.
    pub(super) fn receive_page(&mut self, last_name: String, is_final: bool) {
        self.sync.advance(last_name, is_final);
    }

    /// The page with the members whose names sort after `after`, as many as fit.
    fn page(&self, after: String) -> Message {
        let mut free_bytes = self.free_page_bytes(&after);
        let mut gossip: Vec<MemberUpdate> = Vec::new();
        let mut next_page_after = None;
        let following = (Bound::Excluded(after.as_str()), Bound::Unbounded);
        for (name, member) in self.members.range::<str, _>(following) {
            let size = codec::update_size(&member.update);
            if size > free_bytes {
                // An update too large for any page is skipped: the next page continues after it.
                let last_name = gossip.last().map_or(name, |last| &last.name);
                next_page_after = Some(last_name.clone());
                break;
            }
            free_bytes -= size;
            gossip.push(member.update.clone());
        }
        let is_final = next_page_after.is_none();
        Message {
            from: self.me.clone(),
            body: MessageBody::Page {
                last_name: next_page_after.unwrap_or(after),
                is_final,
            },
            gossip,
        }
    }

    /// The number of bytes available for updates on a page, whose header may have to contain the
    /// longest known name.
    fn free_page_bytes(&self, after: &str) -> usize {
        let header = Message {
            from: self.me.clone(),
            body: MessageBody::Page {
                last_name: after.to_owned(),
                is_final: true,
            },
            gossip: Vec::new(),
        };
        let longest_name = self.members.keys().map(String::len).max().unwrap_or(0);
        self.timing
            .max_datagram_bytes
            .saturating_sub(codec::size(&header) + longest_name + PAGE_HEADER_SLACK_BYTES)
    }
}
