//! Results that outlive their query: who may have one run, kept and read, and for how long.
//!
//! A pure state machine, as the decision module is: events in, steps out, no I/O, no clock of its
//! own, whole microseconds. The store writes what it orders and says when that is durable; only
//! then does the next step follow. `docs/SPOOL.md` has the states and why they are so.
pub mod handle;

use crate::clock::Micros;
use crate::policy::api::TenantId;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A result; never used twice by one store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResultId(pub u64);

/// Whose it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Owner {
    /// The desk.
    pub desk: TenantId,
    /// The user.
    pub user: Rc<str>,
}

/// What a client asks to have spooled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Whose the result will be.
    pub owner: Owner,
    /// The client's name for the query: a retry has the same.
    pub query_id: Rc<str>,
    /// A digest of the statement and all that changes its meaning.
    pub statement: [u8; 32],
    /// It must never run twice.
    pub once: bool,
}

/// Limits of a spool.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of all results together.
    pub total: u64,
    /// Bytes of one desk's results.
    pub desk: u64,
    /// Bytes that have to be free, in total and for the desk, before a query is admitted.
    pub reserve: u64,
    /// Results at once, whatever their size.
    pub results: usize,
    /// How long a sealed result is kept, and a lost one told of.
    pub keep: Micros,
    /// How long pages are kept once all were acknowledged, for a client whose acknowledgement got
    /// lost.
    pub keep_consumed: Micros,
}

/// Where a result stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Let in; the intent to run it is being made durable.
    Admitted,
    /// The intent is durable: from here on it may run.
    Intended,
    /// An engine works on it, and pages come.
    Running,
    /// The engine has ended well; the seal is being made durable.
    Sealing,
    /// Whole, durable, and readable until its time is over.
    Sealed,
    /// All pages were acknowledged.
    Consumed,
    /// Whether it ran is unknown: it is neither run again nor refused as harmless.
    Lost,
}

/// What is durable of a result when a store is opened.
#[derive(Clone, Debug)]
pub struct Record {
    /// Which.
    pub id: ResultId,
    /// What was asked.
    pub submission: Submission,
    /// The sizes of its pages, if it was sealed.
    pub sealed: Option<Vec<u64>>,
    /// Pages acknowledged.
    pub acknowledged: BTreeSet<usize>,
    /// When its time is over.
    pub until: Micros,
}

/// What a submission leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A new query: its intent is to be made durable first.
    New(ResultId),
    /// The same query again: it has this result, which stands there.
    Joined(ResultId, Stage),
    /// Another statement under the name of one that is known.
    Conflict,
    /// No room; the earliest time at which some may come free, if it is known.
    NoRoom(Option<Micros>),
}

/// What the store and the engines' side have to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Make the intent durable.
    WriteIntent(ResultId),
    /// Run it: the intent is durable.
    Run(ResultId),
    /// Give up the attempt that is out.
    Stop(ResultId),
    /// Make the seal durable.
    WriteSeal(ResultId),
    /// Remove all that is kept of it.
    Remove(ResultId),
    /// Remove its pages, but not its name: it must never run twice.
    Strip(ResultId),
}

/// Why a page or a deletion is not to be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No such result, no longer, or another's: these look alike from outside.
    Unknown,
    /// It is not sealed yet.
    NotYet,
    /// It is known to be lost.
    Lost,
    /// It has no such page.
    NoPage,
}

struct Entry {
    submission: Submission,
    stage: Stage,
    pages: Vec<u64>,
    acknowledged: BTreeSet<usize>,
    readers: u32,
    until: Micros,
}

impl Entry {
    fn bytes(&self) -> u64 {
        self.pages.iter().sum()
    }

    fn evictable(&self) -> bool {
        self.stage == Stage::Consumed && self.readers == 0 && !self.submission.once
    }
}

/// The states of all results.
pub struct Spool {
    limits: Limits,
    now: Micros,
    next: u64,
    entries: BTreeMap<ResultId, Entry>,
    names: BTreeMap<(Owner, Rc<str>), ResultId>,
}

impl Spool {
    /// An empty spool.
    pub fn new(limits: Limits) -> Spool {
        Spool {
            limits,
            now: 0,
            next: 1,
            entries: BTreeMap::new(),
            names: BTreeMap::new(),
        }
    }

    /// A spool from what a store held. `latest` is the latest time that it noted: a clock that was
    /// set back across the restart counts from there. What was not sealed is gone, and what must
    /// never run twice is lost.
    pub fn recover(
        limits: Limits,
        now: Micros,
        latest: Micros,
        records: Vec<Record>,
        steps: &mut Vec<Step>,
    ) -> Spool {
        let mut spool = Spool::new(limits);
        spool.now = now.max(latest);
        for Record {
            id,
            submission,
            sealed,
            acknowledged,
            until,
        } in records
        {
            spool.next = spool.next.max(id.0 + 1);
            let stage = match &sealed {
                Some(pages) if !pages.is_empty() && acknowledged.len() == pages.len() => {
                    Stage::Consumed
                }
                Some(_) => Stage::Sealed,
                None if submission.once => Stage::Lost,
                None => {
                    steps.push(Step::Remove(id));
                    continue;
                }
            };
            spool
                .names
                .insert((submission.owner.clone(), submission.query_id.clone()), id);
            let pages = sealed.unwrap_or_default();
            let until = if stage == Stage::Lost {
                spool.now + spool.limits.keep
            } else {
                until
            };
            spool.entries.insert(
                id,
                Entry {
                    submission,
                    stage,
                    pages,
                    acknowledged,
                    readers: 0,
                    until,
                },
            );
        }
        spool.tick(now, steps);
        spool
    }

    /// Bytes kept, in all or for one desk.
    pub fn bytes(&self, desk: Option<TenantId>) -> u64 {
        let mine = |e: &&Entry| desk.is_none_or(|desk| e.submission.owner.desk == desk);
        self.entries.values().filter(mine).map(Entry::bytes).sum()
    }

    /// Where a result stands.
    pub fn stage(&self, id: ResultId) -> Option<Stage> {
        self.entries.get(&id).map(|e| e.stage)
    }

    /// A client hands in a query, or hands it in again.
    pub fn submit(&mut self, now: Micros, asked: Submission, steps: &mut Vec<Step>) -> Verdict {
        self.tick(now, steps);
        let name = (asked.owner.clone(), asked.query_id.clone());
        if let Some((id, e)) = self
            .names
            .get(&name)
            .and_then(|id| Some((*id, self.entries.get(id)?)))
        {
            let same = e.submission.statement == asked.statement && e.submission.once == asked.once;
            return if same {
                Verdict::Joined(id, e.stage)
            } else {
                Verdict::Conflict
            };
        }
        if !self.make_room(asked.owner.desk, self.limits.reserve, steps) || !self.place_free(steps)
        {
            let free = self
                .entries
                .values()
                .filter(|e| ends_by_itself(e.stage))
                .map(|e| e.until)
                .min();
            return Verdict::NoRoom(free);
        }
        let id = ResultId(self.next);
        self.next += 1;
        self.names.insert(name, id);
        let (pages, acknowledged, until) = (Vec::new(), BTreeSet::new(), Micros::MAX);
        let entry = Entry {
            submission: asked,
            stage: Stage::Admitted,
            pages,
            acknowledged,
            readers: 0,
            until,
        };
        self.entries.insert(id, entry);
        steps.push(Step::WriteIntent(id));
        Verdict::New(id)
    }

    /// The intent is durable.
    pub fn intended(&mut self, id: ResultId, steps: &mut Vec<Step>) {
        if self.move_on(id, Stage::Admitted, Stage::Intended) {
            steps.push(Step::Run(id));
        }
    }

    /// An engine may have begun.
    pub fn started(&mut self, id: ResultId) {
        self.move_on(id, Stage::Intended, Stage::Running);
    }

    /// A page came. False: it finds no room, and the query is given up.
    pub fn page(&mut self, now: Micros, id: ResultId, bytes: u64, steps: &mut Vec<Step>) -> bool {
        let Some(e) = self.entries.get(&id).filter(|e| e.stage == Stage::Running) else {
            return false;
        };
        let desk = e.submission.owner.desk;
        if !self.make_room(desk, bytes, steps) {
            steps.push(Step::Stop(id));
            self.failed(now, id, true, steps);
            return false;
        }
        if let Some(e) = self.entries.get_mut(&id) {
            e.pages.push(bytes);
        }
        true
    }

    /// The engine has ended well, with all pages told.
    pub fn done(&mut self, id: ResultId, steps: &mut Vec<Step>) {
        if self.move_on(id, Stage::Running, Stage::Sealing) {
            steps.push(Step::WriteSeal(id));
        }
    }

    /// The seal is durable.
    pub fn sealed(&mut self, now: Micros, id: ResultId) {
        self.now = self.now.max(now);
        if self.move_on(id, Stage::Sealing, Stage::Sealed) {
            let until = self.now + self.limits.keep;
            if let Some(e) = self.entries.get_mut(&id) {
                e.until = until;
            }
        }
    }

    /// The attempt or the store failed before the seal was durable. What must never run twice and
    /// may have run is lost from now on; all else is forgotten, and may be handed in again.
    pub fn failed(&mut self, now: Micros, id: ResultId, may_have_run: bool, steps: &mut Vec<Step>) {
        self.now = self.now.max(now);
        let until = self.now + self.limits.keep;
        let Some(e) = self.entries.get_mut(&id) else {
            return;
        };
        if matches!(e.stage, Stage::Sealed | Stage::Consumed | Stage::Lost) {
            return;
        }
        if e.submission.once && may_have_run {
            (e.stage, e.until) = (Stage::Lost, until);
            e.pages.clear();
        } else {
            self.remove(id, steps);
        }
    }

    fn mine(&mut self, id: ResultId, owner: &Owner) -> Result<&mut Entry, Denied> {
        let e = self
            .entries
            .get_mut(&id)
            .filter(|e| e.submission.owner == *owner)
            .ok_or(Denied::Unknown)?;
        match e.stage {
            Stage::Sealed | Stage::Consumed => Ok(e),
            Stage::Lost => Err(Denied::Lost),
            Stage::Admitted | Stage::Intended | Stage::Running | Stage::Sealing => {
                Err(Denied::NotYet)
            }
        }
    }

    /// A client begins to read a page. The result stays at least until [`Spool::left`].
    pub fn read(
        &mut self,
        now: Micros,
        id: ResultId,
        owner: &Owner,
        page: usize,
        steps: &mut Vec<Step>,
    ) -> Result<(), Denied> {
        self.tick(now, steps);
        let e = self.mine(id, owner)?;
        if page >= e.pages.len() {
            return Err(Denied::NoPage);
        }
        e.readers += 1;
        Ok(())
    }

    /// That reading is over, to its end or not.
    pub fn left(&mut self, now: Micros, id: ResultId, steps: &mut Vec<Step>) {
        if let Some(e) = self.entries.get_mut(&id) {
            e.readers = e.readers.saturating_sub(1);
        }
        self.tick(now, steps);
    }

    /// The client has a page safely. True once it has them all.
    pub fn acknowledge(
        &mut self,
        now: Micros,
        id: ResultId,
        owner: &Owner,
        page: usize,
    ) -> Result<bool, Denied> {
        self.now = self.now.max(now);
        let until = self.now + self.limits.keep_consumed;
        let e = self.mine(id, owner)?;
        if page >= e.pages.len() {
            return Err(Denied::NoPage);
        }
        e.acknowledged.insert(page);
        if e.stage == Stage::Sealed && e.acknowledged.len() == e.pages.len() {
            let until = if e.submission.once {
                e.until
            } else {
                e.until.min(until)
            };
            (e.stage, e.until) = (Stage::Consumed, until);
        }
        Ok(e.stage == Stage::Consumed)
    }

    /// The owner needs it no more. One that is being read goes once that is over; of what must
    /// never run twice the name stays for its time, lest a retry that crosses the deletion runs it
    /// again.
    pub fn delete(
        &mut self,
        now: Micros,
        id: ResultId,
        owner: &Owner,
        steps: &mut Vec<Step>,
    ) -> Result<(), Denied> {
        let e = self.mine(id, owner)?;
        if e.submission.once {
            (e.stage, e.pages) = (Stage::Consumed, Vec::new());
            steps.push(Step::Strip(id));
        } else {
            e.until = 0;
        }
        self.tick(now, steps);
        Ok(())
    }

    /// Time passes; a clock that is set back stands still.
    pub fn tick(&mut self, now: Micros, steps: &mut Vec<Step>) {
        self.now = self.now.max(now);
        let over = |e: &Entry| ends_by_itself(e.stage) && e.readers == 0 && e.until <= self.now;
        let over: Vec<ResultId> = self
            .entries
            .iter()
            .filter(|(_, e)| over(e))
            .map(|(id, _)| *id)
            .collect();
        over.into_iter().for_each(|id| self.remove(id, steps));
    }

    fn move_on(&mut self, id: ResultId, from: Stage, to: Stage) -> bool {
        let Some(e) = self.entries.get_mut(&id).filter(|e| e.stage == from) else {
            return false;
        };
        e.stage = to;
        true
    }

    fn remove(&mut self, id: ResultId, steps: &mut Vec<Step>) {
        if let Some(Entry { submission, .. }) = self.entries.remove(&id) {
            self.names.remove(&(submission.owner, submission.query_id));
            steps.push(Step::Remove(id));
        }
    }

    /// Evicts what its client has whole, the oldest first, until so many bytes fit. What nobody has
    /// read is never evicted before its time: it was promised. Nor is what must never run twice:
    /// its name has to be known.
    fn make_room(&mut self, desk: TenantId, bytes: u64, steps: &mut Vec<Step>) -> bool {
        loop {
            let of_desk = self.bytes(Some(desk)) + bytes > self.limits.desk;
            if !of_desk && self.bytes(None) + bytes <= self.limits.total {
                return true;
            }
            let helps =
                |e: &Entry| !e.pages.is_empty() && (!of_desk || e.submission.owner.desk == desk);
            let Some(id) = self
                .entries
                .iter()
                .find(|(_, e)| e.evictable() && helps(e))
                .map(|(id, _)| *id)
            else {
                return false;
            };
            self.remove(id, steps);
        }
    }

    fn place_free(&mut self, steps: &mut Vec<Step>) -> bool {
        if self.entries.len() < self.limits.results {
            return true;
        }
        let idle = self.entries.iter().find(|(_, e)| e.evictable());
        let Some(id) = idle.map(|(id, _)| *id) else {
            return false;
        };
        self.remove(id, steps);
        true
    }
}

fn ends_by_itself(stage: Stage) -> bool {
    matches!(stage, Stage::Sealed | Stage::Consumed | Stage::Lost)
}

#[cfg(test)]
#[path = "../../tests/unit/spool.rs"]
mod model;
