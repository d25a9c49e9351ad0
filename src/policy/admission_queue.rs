//! Held queries: their order, when they leave, and when they are refused.
use super::*;

// Held queries tried at one outcome: its cost must not grow with the queue.
const PUMP_MOST: usize = 32;

impl Gateway {
    /// Whether it may be in time. Most queries are smaller than the mean, and so are the aims to be
    /// missed.
    pub(super) fn in_aim(&self, now: Nanos, r: &PendingRequest) -> bool {
        let small = DOUBT * self.work(r);
        let runs = small / self.threads(r) * self.fleet.median_stretch.max(1.0);
        now + nanos(runs) <= r.arrived_at + nanos(aim(self.class(r), small))
    }

    /// Worth per second of work, less where late or beyond the tenant's share.
    fn rank(&self, now: Nanos, r: &PendingRequest) -> f64 {
        let c = self.class(r);
        let share = if r.over_quota {
            self.settings.over_quota_weight
        } else {
            1.0
        };
        let late = if self.in_aim(now, r) && !r.request.is_retry {
            1.0
        } else {
            c.late_priority_weight.max(0.01)
        };
        c.priority_weight.max(1e-6) * share * late / self.work(r).max(1e-3)
    }

    pub(super) fn hold(&mut self, now: Nanos, id: RequestId) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        self.held.push((self.rank(now, r), id, r.request.class));
    }

    /// Sends held queries that have room, best rank first. Where a fresh query of a class found no
    /// room, so will the next one; those in order or tried before say nothing of others.
    pub(super) fn pump(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        let mut no_room = vec![false; self.settings.classes.len()];
        let (mut at, mut tries) = (0, 0);
        while at < self.held.len() && tries < PUMP_MOST && no_room.contains(&false) {
            let (_, id, class) = self.held[at];
            let full = &mut no_room[usize::from(class.0)];
            let Some(r) = self
                .requests
                .get(&id)
                .filter(|r| !r.finished && r.attempts.is_empty())
            else {
                self.held.remove(at);
                continue;
            };
            let plain = r.attempts_started == 0 && !self.class(r).serial_per_key;
            tries += usize::from(!(plain && *full));
            match if plain && *full {
                None
            } else {
                self.choose(now, id)
            } {
                Some(engine) => {
                    self.held.remove(at);
                    self.send(now, id, engine, acts);
                }
                None => {
                    *full |= plain;
                    at += 1;
                }
            }
        }
    }

    /// Orders the held queries and refuses at once those that the work ahead of them leaves no
    /// time.
    pub(super) fn review(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        let held = std::mem::take(&mut self.held);
        held.iter().for_each(|(_, id, _)| self.hold(now, *id));
        self.held
            .sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let rate = self.fleet.cores * USUAL_BUSY / self.active_gateways;
        let margin = 2 * SWEEP_EVERY.max(self.settings.batch_interval);
        let mut ahead = 0.0;
        for entry in std::mem::take(&mut self.held) {
            let id = entry.1;
            let Some(r) = self
                .requests
                .get(&id)
                .filter(|r| !r.finished && r.attempts.is_empty())
            else {
                continue;
            };
            let wait = if rate > 0.0 { ahead / rate } else { 0.0 };
            let late = rate > 0.0 && now + nanos(wait + self.alone(r)) > self.useful_end(r);
            if late
                || now + margin >= r.request.deadline
                || r.attempts_started >= r.max_attempts.max(1)
            {
                self.give_up(id, nanos(wait.max(0.1)), acts);
            } else {
                ahead += self.work(r);
                self.held.push(entry);
            }
        }
        self.fleet.backlog = if rate > 0.0 { ahead / rate } else { 0.0 };
    }
}
