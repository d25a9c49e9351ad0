//! The states of spooled results against random steps and kills at every point: a plain model
//! remembers what was promised.
use super::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const SEC: Micros = 1_000_000;

fn limits() -> Limits {
    Limits {
        total: 1_000,
        desk: 600,
        reserve: 50,
        results: 12,
        keep: 60 * SEC,
        keep_consumed: 5 * SEC,
    }
}

fn asked(user: u16, query: u32, statement: u8, once: bool) -> Submission {
    let owner = Owner {
        desk: TenantId(user % 2),
        user: format!("u{user}").into(),
    };
    Submission {
        owner,
        query_id: format!("q{query}").into(),
        statement: [statement; 32],
        once,
    }
}

/// Brings a query to its seal with pages of these sizes.
fn sealed(spool: &mut Spool, now: Micros, what: &Submission, pages: &[u64]) -> ResultId {
    let mut steps = Vec::new();
    let Verdict::New(id) = spool.submit(now, what.clone(), &mut steps) else {
        panic!("not new")
    };
    spool.intended(id, &mut steps);
    spool.started(id);
    pages
        .iter()
        .for_each(|bytes| assert!(spool.page(now, id, *bytes, &mut steps)));
    spool.done(id, &mut steps);
    spool.sealed(now, id);
    assert_eq!(
        steps,
        [Step::WriteIntent(id), Step::Run(id), Step::WriteSeal(id)]
    );
    id
}

#[test]
fn a_retry_gets_the_same_result_and_another_statement_is_refused() {
    let (mut spool, mut steps) = (Spool::new(limits()), Vec::new());
    let what = asked(1, 1, 7, false);
    let id = sealed(&mut spool, SEC, &what, &[100, 20]);
    assert_eq!(
        spool.submit(2 * SEC, what.clone(), &mut steps),
        Verdict::Joined(id, Stage::Sealed)
    );
    let other = asked(1, 1, 8, false);
    assert_eq!(spool.submit(2 * SEC, other, &mut steps), Verdict::Conflict);
    // The same name of another user is another query.
    assert!(matches!(
        spool.submit(2 * SEC, asked(3, 1, 8, false), &mut steps),
        Verdict::New(_)
    ));
}

/// Guards the rule that no load runs twice, over a crash between its intent and its seal.
#[test]
fn a_load_cut_off_by_a_crash_is_told_lost_and_not_run_again() {
    let (load, plain) = (asked(1, 1, 7, true), asked(1, 2, 7, false));
    let record = |id, submission: &Submission| Record {
        id: ResultId(id),
        submission: submission.clone(),
        sealed: None,
        acknowledged: BTreeSet::new(),
        until: Micros::MAX,
    };
    let mut steps = Vec::new();
    let records = vec![record(4, &load), record(5, &plain)];
    let mut spool = Spool::recover(limits(), SEC, 0, records, &mut steps);
    assert_eq!(steps, [Step::Remove(ResultId(5))]);
    assert_eq!(
        spool.submit(SEC, load.clone(), &mut steps),
        Verdict::Joined(ResultId(4), Stage::Lost)
    );
    assert_eq!(
        spool.read(SEC, ResultId(4), &load.owner, 0, &mut steps),
        Err(Denied::Lost)
    );
    assert_eq!(
        spool.submit(SEC, plain, &mut steps),
        Verdict::New(ResultId(6))
    );
}

/// Guards a load against a retry that crosses its deletion or comes after its pages were read.
#[test]
fn the_name_of_a_load_outlives_its_pages() {
    let (mut spool, mut steps) = (Spool::new(limits()), Vec::new());
    let what = asked(1, 1, 7, true);
    let id = sealed(&mut spool, SEC, &what, &[100]);
    assert_eq!(spool.acknowledge(SEC, id, &what.owner, 0), Ok(true));
    spool.tick(20 * SEC, &mut steps);
    assert_eq!(
        spool.submit(20 * SEC, what.clone(), &mut steps),
        Verdict::Joined(id, Stage::Consumed)
    );
    assert_eq!(spool.delete(21 * SEC, id, &what.owner, &mut steps), Ok(()));
    assert_eq!(
        spool.submit(22 * SEC, what, &mut steps),
        Verdict::Joined(id, Stage::Consumed)
    );
    assert_eq!((steps, spool.bytes(None)), (vec![Step::Strip(id)], 0));
}

/// Guards what was promised: quota reached, expiry during a read, and a clock that is set back.
#[test]
fn what_nobody_has_read_stays_for_its_time_and_what_is_read_until_it_is_left() {
    let (mut spool, mut steps) = (Spool::new(limits()), Vec::new());
    let (one, two) = (asked(1, 1, 1, false), asked(1, 2, 2, false));
    let first = sealed(&mut spool, SEC, &one, &[300, 270]);
    // The desk is full of what nobody has read: the next one is told when that ends.
    assert_eq!(
        spool.submit(2 * SEC, two.clone(), &mut steps),
        Verdict::NoRoom(Some(61 * SEC))
    );
    spool
        .read(60 * SEC, first, &one.owner, 0, &mut steps)
        .unwrap();
    spool.tick(100 * SEC, &mut steps);
    spool.tick(10 * SEC, &mut steps);
    assert!(steps.is_empty() && spool.stage(first) == Some(Stage::Sealed));
    spool.left(10 * SEC, first, &mut steps);
    assert_eq!(steps, [Step::Remove(first)]);
    assert!(matches!(
        spool.submit(10 * SEC, two, &mut steps),
        Verdict::New(_)
    ));
}

/// Another's handle, a forged one and one whose time is over look alike.
#[test]
fn a_stranger_learns_nothing() {
    let (mut spool, mut steps) = (Spool::new(limits()), Vec::new());
    let what = asked(1, 1, 1, false);
    let id = sealed(&mut spool, SEC, &what, &[10]);
    let stranger = asked(3, 1, 1, false).owner;
    assert_eq!(
        spool.read(SEC, id, &stranger, 0, &mut steps),
        Err(Denied::Unknown)
    );
    assert_eq!(
        spool.delete(SEC, id, &stranger, &mut steps),
        Err(Denied::Unknown)
    );
    assert_eq!(
        spool.acknowledge(SEC, ResultId(99), &what.owner, 0),
        Err(Denied::Unknown)
    );
    assert_eq!(
        spool.read(99 * SEC, id, &what.owner, 0, &mut steps),
        Err(Denied::Unknown)
    );
}

/// What a store would hold: kept beside the machine, and all that is left of it after a kill.
#[derive(Default)]
struct Disk(BTreeMap<ResultId, Record>);

impl Disk {
    fn carry_out(
        &mut self,
        steps: &mut Vec<Step>,
        runs: &mut BTreeMap<Name, u32>,
        spool: &mut Spool,
    ) {
        while let Some(step) = steps.pop() {
            match step {
                Step::Remove(id) => drop(self.0.remove(&id)),
                Step::Strip(id) => {
                    if let Some(record) = self.0.get_mut(&id) {
                        record.sealed = Some(Vec::new());
                    }
                }
                Step::WriteIntent(id) => {
                    let submission = spool.entries[&id].submission.clone();
                    let (sealed, acknowledged, until) = (None, BTreeSet::new(), Micros::MAX);
                    self.0.insert(
                        id,
                        Record {
                            id,
                            submission,
                            sealed,
                            acknowledged,
                            until,
                        },
                    );
                    let mut more = Vec::new();
                    spool.intended(id, &mut more);
                    steps.extend(more);
                }
                Step::Run(id) => {
                    assert!(
                        self.0.contains_key(&id),
                        "it runs before its intent is durable"
                    );
                    let s = &spool.entries[&id].submission;
                    *runs
                        .entry((s.owner.clone(), s.query_id.clone()))
                        .or_default() += u32::from(s.once);
                    spool.started(id);
                }
                Step::WriteSeal(_) | Step::Stop(_) => {}
            }
        }
    }
}

type Name = (Owner, Rc<str>);

/// Random clients, engines and kills: no load runs twice within its time, nothing is sealed that
/// did not end well, quotas hold, and what is sealed and unread is there until its time, after
/// every kill too.
#[test]
fn random_steps_and_kills_keep_what_was_promised() {
    for seed in 0..60 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut draw = move |n: u32| rng.next_u32() % n;
        let (mut spool, mut disk, mut steps) = (Spool::new(limits()), Disk::default(), Vec::new());
        let (mut runs, mut now) = (BTreeMap::new(), SEC);
        let mut promised: BTreeMap<ResultId, (Vec<u64>, Micros)> = BTreeMap::new();
        for _ in 0..600 {
            now += Micros::from(draw(400_000));
            let ids: Vec<ResultId> = spool.entries.keys().copied().collect();
            let id = ids.get(draw(12) as usize).copied().unwrap_or_default();
            let owner = spool
                .entries
                .get(&id)
                .map_or(asked(0, 0, 0, false).owner, |e| e.submission.owner.clone());
            match draw(12) {
                0..=2 => {
                    let query = draw(300);
                    let what = asked((query % 4) as u16, query, 1, query.is_multiple_of(3));
                    spool.submit(now, what, &mut steps);
                }
                3..=5 => drop(spool.page(now, id, u64::from(draw(120)), &mut steps)),
                6 => {
                    spool.done(id, &mut steps);
                    if spool.stage(id) == Some(Stage::Sealing) && draw(4) > 0 {
                        spool.sealed(now, id);
                        let e = &spool.entries[&id];
                        let record = disk.0.get_mut(&id).expect("its intent is durable");
                        (record.sealed, record.until) = (Some(e.pages.clone()), e.until);
                        promised.insert(id, (e.pages.clone(), e.until));
                    }
                }
                7 => {
                    // What is said never to have run does not count as a run.
                    let may = draw(2) == 0 || spool.stage(id) != Some(Stage::Running);
                    if let Some(e) = spool.entries.get(&id).filter(|e| !may && e.submission.once) {
                        let name = (e.submission.owner.clone(), e.submission.query_id.clone());
                        runs.entry(name).and_modify(|n| *n -= 1);
                    }
                    spool.failed(now, id, may, &mut steps);
                }
                8 => {
                    if spool
                        .read(now, id, &owner, draw(3) as usize, &mut steps)
                        .is_ok()
                    {
                        spool.left(now, id, &mut steps);
                    }
                }
                9 => {
                    let page = draw(3) as usize;
                    if let Ok(whole) = spool.acknowledge(now, id, &owner, page) {
                        let record = disk.0.get_mut(&id).expect("sealed is durable");
                        record.acknowledged.insert(page);
                        if whole {
                            record.until = spool.entries[&id].until;
                            promised.remove(&id);
                        }
                    }
                }
                10 if draw(6) == 0 => {
                    if spool.delete(now, id, &owner, &mut steps).is_ok() {
                        promised.remove(&id);
                    }
                }
                11 if draw(8) == 0 => {
                    // Killed: orders that were not carried out are gone, and the clock may have
                    // been set back.
                    steps.clear();
                    let records = disk.0.values().cloned().collect();
                    spool = Spool::recover(limits(), now - SEC / 2, now, records, &mut steps);
                }
                _ => spool.tick(now, &mut steps),
            }
            disk.carry_out(&mut steps, &mut runs, &mut spool);
            promised.retain(|_, (_, until)| *until > now);
            for (id, (pages, _)) in &promised {
                let e = spool
                    .entries
                    .get(id)
                    .expect("sealed and unread is kept for its time");
                assert_eq!(
                    (&e.pages, matches!(e.stage, Stage::Sealed | Stage::Consumed)),
                    (pages, true)
                );
            }
            assert!(spool.bytes(None) <= 1_000 && spool.bytes(Some(TenantId(0))) <= 600);
            assert!(spool.entries.len() <= 12 + 1 && spool.names.len() == spool.entries.len());
            let times = (now / (60 * SEC)) as u32 + 1;
            assert!(
                runs.values().all(|n| *n <= times),
                "a load ran again within its time: {runs:?}"
            );
        }
    }
}
