//! The handlers of received messages, one for each kind.
use super::probing::{PendingProbe, ProbeKind};
use super::{Action, DetectionPhase, Dissemination, Membership};
use crate::clock::Micros;
use crate::membership::message::{MemberState, MemberUpdate, Message, MessageBody};
use std::net::SocketAddr;

/// The sequence number of an ack without a ping, which only carries an update.
const UNSOLICITED_ACK: u32 = 0;

impl Membership {
    /// Handles a message received from `from`.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: Message,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        if message.from.name == self.me.name {
            // The datagram was sent by this manager itself, or by another process under its name.
            self.dropped_datagrams += 1;
            return;
        }
        let sender_update = sender_update(from, &message);
        let is_new = self.merge(sender_update, Dissemination::Gossip, now, out);
        if self.is_stale(&message.from, is_new) {
            self.receive_stale(from, message, now, out);
            return;
        }
        self.declare_displaced_dead(from, &message.from.name, now, out);
        let dissemination = match message.body {
            MessageBody::Page { .. } => Dissemination::MergeOnly,
            _ => Dissemination::Gossip,
        };
        for update in message.gossip {
            self.merge(update, dissemination, now, out);
        }
        match message.body {
            MessageBody::Ping(sequence) => self.send(from, MessageBody::Ack(sequence), out),
            MessageBody::Ack(sequence) => {
                self.receive_ack(&message.from.name, sequence, now, out);
            }
            MessageBody::PingReq { sequence, target } => {
                let requester = ProbeKind::Relayed {
                    requester: from,
                    sequence,
                };
                self.receive_ping_request(requester, target, now, out);
            }
            MessageBody::Sync(after) => self.receive_sync(from, after, out),
            MessageBody::Page {
                last_name,
                is_final,
            } => self.receive_page(last_name, is_final),
            MessageBody::Leave => {}
        }
    }

    /// Declares the other members at the address of a datagram's sender dead: its process has the
    /// address now. Otherwise its acks would count for them.
    fn declare_displaced_dead(
        &mut self,
        addr: SocketAddr,
        sender: &str,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        let displaced: Vec<String> = self
            .members
            .values()
            .map(|member| &member.update)
            .filter(|update| update.addr == addr && update.name != sender)
            .filter(|update| !update.state.is_dead_or_left())
            .map(|update| update.name.clone())
            .collect();
        for name in displaced {
            self.set_state(&name, MemberState::Dead, now, out);
            self.cancel_own_probes(&name);
        }
    }

    /// Whether a datagram is from an earlier incarnation of its sender, or from a sender that is
    /// known as dead or departed and has not refuted that. `is_new` is whether the sender's
    /// update was merged.
    fn is_stale(&self, sender: &MemberUpdate, is_new: bool) -> bool {
        self.members.get(&sender.name).is_some_and(|member| {
            let known = &member.update;
            sender.incarnation < known.incarnation || !is_new && known.state.is_dead_or_left()
        })
    }

    /// Drops a stale datagram except for updates about this manager, which it must be able to
    /// refute if both sides have declared each other dead. If the sender is known as dead at its
    /// current incarnation, that state is sent back, so that the sender can refute it as well.
    fn receive_stale(
        &mut self,
        from: SocketAddr,
        message: Message,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        self.dropped_datagrams += 1;
        for update in message.gossip {
            if update.name == self.me.name {
                self.merge(update, Dissemination::Gossip, now, out);
            }
        }
        let known = self
            .members
            .get(&message.from.name)
            .map(|member| &member.update);
        if let Some(known) = known
            && known.state == MemberState::Dead
            && known.incarnation == message.from.incarnation
        {
            let reply = Message {
                from: self.me.clone(),
                body: MessageBody::Ack(UNSOLICITED_ACK),
                gossip: vec![known.clone()],
            };
            out.push(Action::Send {
                to: from,
                message: Box::new(reply),
            });
        }
    }

    /// Completes a probe, and forwards the ack if the probe was on behalf of another member and the
    /// ack is from its target. Acks of this manager's own probes may be forwarded by others. An ack
    /// restarts the suspicion timeout; only a refutation by the member itself ends the suspicion on
    /// all members.
    fn receive_ack(&mut self, sender: &str, sequence: u32, now: Micros, out: &mut Vec<Action>) {
        let Some(probe) = self.probes.remove(&sequence) else {
            return;
        };
        if matches!(probe.kind, ProbeKind::Relayed { .. }) && probe.target != sender {
            return;
        }
        if let Some(member) = self.members.get_mut(&probe.target) {
            member.phase = DetectionPhase::Regular;
            if member.update.state == MemberState::Suspect {
                member.since = now;
            }
        }
        if let ProbeKind::Relayed {
            requester,
            sequence,
        } = probe.kind
        {
            self.send(requester, MessageBody::Ack(sequence), out);
        }
    }

    /// Pings the target of an indirect probe on behalf of the member that requested it.
    fn receive_ping_request(
        &mut self,
        kind: ProbeKind,
        target: SocketAddr,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        let sequence = self.next_sequence();
        let Some(member) = self.member_at(target) else {
            return;
        };
        let probe = PendingProbe {
            target: member.update.name.clone(),
            sent_at: now,
            kind,
        };
        self.probes.insert(sequence, probe);
        self.send(target, MessageBody::Ping(sequence), out);
    }
}

/// The update of a message's sender, with the state that the message implies and the datagram's
/// source address.
fn sender_update(from: SocketAddr, message: &Message) -> MemberUpdate {
    let state = match message.body {
        MessageBody::Leave => MemberState::Left,
        _ => MemberState::Alive,
    };
    MemberUpdate {
        addr: from,
        state,
        ..message.from.clone()
    }
}
