//! Failure detection: direct and indirect probes, suspicion, and the final probe before a member is
//! declared dead.
use super::{Action, DetectionPhase, Membership};
use crate::clock::Micros;
use crate::membership::message::{MemberState, MessageBody};
use crate::membership::timing::Timing;
use std::net::SocketAddr;

/// The purpose of a ping, which determines what happens if it is not acked.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeKind {
    /// This period's direct ping.
    Direct,
    /// This period's probe after the direct ping timed out: other members ping the target as well.
    Indirect,
    /// The last probe, direct and indirect at the same time, before a suspect is declared dead.
    Final,
    /// A ping on behalf of another member.
    Relayed {
        /// The address of the member that requested it.
        requester: SocketAddr,
        /// The sequence number of that member's probe.
        sequence: u32,
    },
}

/// A ping that waits for its ack.
pub(super) struct PendingProbe {
    pub(super) target: String,
    pub(super) sent_at: Micros,
    pub(super) kind: ProbeKind,
}

impl PendingProbe {
    pub(super) fn next_timeout(&self, timing: &Timing) -> Micros {
        match self.kind {
            ProbeKind::Direct => self.sent_at + timing.probe_timeout(),
            _ => self.sent_at + timing.period(),
        }
    }
}

/// The probes that reached a timeout, each list in the order of sequence numbers.
#[derive(Default)]
struct TimedOutProbes {
    /// Direct pings to continue as indirect probes.
    direct: Vec<UnackedPing>,
    /// The members that failed a complete round of probes.
    failed_round: Vec<String>,
    /// The members that failed their final probe.
    failed_final: Vec<String>,
}

struct UnackedPing {
    sequence: u32,
    target: String,
}

struct ProbeTarget {
    name: String,
    addr: SocketAddr,
}

impl Membership {
    /// Runs one protocol period: a sync request, a ping to one unknown seed and to one dead member,
    /// and the probe of the next member.
    pub(super) fn run_period(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.periods += 1;
        self.request_sync(out);
        self.ping_random(&self.unknown_seeds.clone(), out);
        // A running member that was declared dead receives its state in this ping and refutes it;
        // its reply does the same for this manager. This reconnects the two sides of a partition
        // that declared each other dead.
        self.ping_random(&self.dead_addresses(), out);
        let Some(target) = self.next_probe_target() else {
            return;
        };
        let sequence = self.next_sequence();
        let probe = PendingProbe {
            target: target.name,
            sent_at: now,
            kind: ProbeKind::Direct,
        };
        self.probes.insert(sequence, probe);
        self.send(target.addr, MessageBody::Ping(sequence), out);
    }

    /// Pings a random one of the addresses without tracking the ack.
    fn ping_random(&mut self, addresses: &[SocketAddr], out: &mut Vec<Action>) {
        if addresses.is_empty() {
            return;
        }
        let receiver = addresses[self.random_index(addresses.len())];
        let sequence = self.next_sequence();
        self.send(receiver, MessageBody::Ping(sequence), out);
    }

    fn dead_addresses(&self) -> Vec<SocketAddr> {
        self.members
            .values()
            .filter(|member| member.update.state == MemberState::Dead)
            .map(|member| member.update.addr)
            .collect()
    }

    /// The next member of the round that is neither dead nor departed. A new round starts after the
    /// last member.
    fn next_probe_target(&mut self) -> Option<ProbeTarget> {
        loop {
            let Some(name) = self.probe_round.pop() else {
                self.probe_round = self.shuffled_round();
                if self.probe_round.is_empty() {
                    return None;
                }
                continue;
            };
            if let Some(member) = self.members.get(&name)
                && !member.update.state.is_dead_or_left()
            {
                return Some(ProbeTarget {
                    name,
                    addr: member.update.addr,
                });
            }
        }
    }

    /// All members that are neither dead nor departed, in random order (Fisher and Yates).
    fn shuffled_round(&mut self) -> Vec<String> {
        let mut round: Vec<String> = self
            .members
            .values()
            .filter(|member| !member.update.state.is_dead_or_left())
            .map(|member| member.update.name.clone())
            .collect();
        for last in (1..round.len()).rev() {
            round.swap(last, self.random_index(last + 1));
        }
        round
    }

    /// Requests random members to ping the target: the indirect probe.
    fn request_indirect_probes(&mut self, sequence: u32, target: &str, out: &mut Vec<Action>) {
        let Some(target_addr) = self.members.get(target).map(|member| member.update.addr) else {
            return;
        };
        let mut helpers: Vec<SocketAddr> = self
            .alive()
            .filter(|member| member.update.name != target)
            .map(|member| member.update.addr)
            .collect();
        let count = helpers.len().min(self.timing.indirect_probes);
        for chosen in 0..count {
            let other = chosen + self.random_index(helpers.len() - chosen);
            helpers.swap(chosen, other);
        }
        for helper in helpers.into_iter().take(count) {
            let request = MessageBody::PingReq {
                sequence,
                target: target_addr,
            };
            self.send(helper, request, out);
        }
    }

    /// Handles the probes that reached a timeout.
    pub(super) fn time_out_probes(&mut self, now: Micros, out: &mut Vec<Action>) {
        let timed_out = self.take_timed_out_probes(now);
        for ping in timed_out.direct {
            // The direct ping is repeated, in case the first one was lost.
            if let Some(member) = self.members.get(&ping.target) {
                self.send(member.update.addr, MessageBody::Ping(ping.sequence), out);
            }
            self.request_indirect_probes(ping.sequence, &ping.target, out);
        }
        for target in timed_out.failed_round {
            self.record_failed_round(target, now, out);
        }
        for target in timed_out.failed_final {
            self.record_failed_final_probe(&target, now, out);
        }
    }

    /// Removes the probes whose period has ended, and changes direct probes that timed out to
    /// indirect ones.
    fn take_timed_out_probes(&mut self, now: Micros) -> TimedOutProbes {
        let mut timed_out = TimedOutProbes::default();
        let timing = &self.timing;
        self.probes.retain(|sequence, probe| {
            if now >= probe.sent_at + timing.period() {
                let target = std::mem::take(&mut probe.target);
                match probe.kind {
                    ProbeKind::Direct | ProbeKind::Indirect => timed_out.failed_round.push(target),
                    ProbeKind::Final => timed_out.failed_final.push(target),
                    ProbeKind::Relayed { .. } => {}
                }
                return false;
            }
            if probe.kind == ProbeKind::Direct && now >= probe.next_timeout(timing) {
                probe.kind = ProbeKind::Indirect;
                timed_out.direct.push(UnackedPing {
                    sequence: *sequence,
                    target: probe.target.clone(),
                });
            }
            true
        });
        timed_out
    }

    /// A member that failed two rounds of probes in a row becomes a suspect; after the first one it
    /// is probed again in the next period.
    ///
    /// With a fifth of all datagrams lost, one round in thirteen fails. If one failure were
    /// sufficient, a fleet of 300 would suspect twenty members per period, more than gossip can
    /// disseminate refutations for.
    fn record_failed_round(&mut self, target: String, now: Micros, out: &mut Vec<Action>) {
        let Some(member) = self.members.get_mut(&target) else {
            return;
        };
        if member.update.state != MemberState::Alive {
            return;
        }
        if member.phase == DetectionPhase::FailedOnce {
            self.set_state(&target, MemberState::Suspect, now, out);
        } else {
            member.phase = DetectionPhase::FailedOnce;
            self.probe_round.push(target);
        }
    }

    /// Declares a suspect dead, unless an ack of another probe has ended the final phase.
    fn record_failed_final_probe(&mut self, target: &str, now: Micros, out: &mut Vec<Action>) {
        let is_final = self.members.get(target).is_some_and(|member| {
            member.update.state == MemberState::Suspect
                && member.phase == DetectionPhase::FinalProbe
        });
        if is_final {
            self.set_state(target, MemberState::Dead, now, out);
        }
    }

    /// Starts the final probe of each suspect whose suspicion has timed out.
    pub(super) fn time_out_suspicions(&mut self, now: Micros, out: &mut Vec<Action>) {
        let timeout = self.suspicion_timeout();
        let timed_out: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| member.has_running_suspicion() && now >= member.since + timeout)
            .map(|(name, _)| name.clone())
            .collect();
        for name in timed_out {
            self.send_final_probe(&name, now, out);
        }
    }

    /// Pings a suspect once more, directly and through others at the same time, before it is
    /// declared dead. This compensates for lost refutations: with a fifth of all datagrams lost,
    /// about one suspicion in a few hundred times out without a refutation.
    fn send_final_probe(&mut self, name: &str, now: Micros, out: &mut Vec<Action>) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.phase = DetectionPhase::FinalProbe;
        let addr = member.update.addr;
        let sequence = self.next_sequence();
        let probe = PendingProbe {
            target: name.to_owned(),
            sent_at: now,
            kind: ProbeKind::Final,
        };
        self.probes.insert(sequence, probe);
        self.send(addr, MessageBody::Ping(sequence), out);
        self.request_indirect_probes(sequence, name, out);
    }

    /// Cancels this manager's own probes of a member; those on behalf of others continue.
    pub(super) fn cancel_own_probes(&mut self, name: &str) {
        self.probes.retain(|_, probe| {
            probe.target != name || matches!(probe.kind, ProbeKind::Relayed { .. })
        });
    }
}
