//! Final answers: one each, and what is forgotten with them.
use super::*;

impl Dispatcher {
    pub(super) fn refuse(&mut self, id: RequestId, after: Micros, orders: &mut Vec<Command>) {
        let Some(open) = self.open.get(&id).filter(|open| !open.closed) else {
            return;
        };
        // Guards rule 2: a refusal promises that trying again is harmless.
        if !open.may_refuse() {
            self.counters.stopped += 1;
            return self.fail(id, Failure::NotSent, orders);
        }
        self.close(
            id,
            Response::Rejected(Some(after).filter(|t| *t > 0)),
            orders,
        );
    }

    pub(super) fn fail(&mut self, id: RequestId, why: Failure, orders: &mut Vec<Command>) {
        if self.open.get(&id).is_some_and(|open| !open.closed) {
            self.close(id, Response::Failed(why), orders);
        }
    }

    pub(super) fn close(&mut self, id: RequestId, answer: Response, orders: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.closed = true;
        let (origin, class, at) = (open.ask.origin, open.ask.class, open.ask.deadline + GUARD);
        let key = open.ask.client_request_id.clone();
        self.count(class, &answer);
        self.note_answer(class, &key, &answer);
        self.origins.remove(&origin);
        self.deadlines.remove(&(at, id));
        orders.push(Command::Respond(origin, answer));
        self.stop_all(id, Termination::Cancelled, orders);
        self.forget(id);
    }

    /// Drops a request that is over and has nothing out.
    pub(super) fn forget(&mut self, id: RequestId) {
        if !self
            .open
            .get(&id)
            .is_some_and(|open| open.closed && open.outs.is_empty())
        {
            return;
        }
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.generations.closed(open.ask.class);
        self.statements -= open.ask.statement.len();
        self.past_keys.push_back(open.ask.client_request_id);
        if self.past_keys.len() > MOST_PAST_KEYS {
            self.past_keys.pop_front().map(|key| self.keys.remove(&key));
        }
    }
}
