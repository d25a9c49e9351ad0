//! Spooled results, with single cases and with a model under random steps and crashes. Guards
//! against loads that run twice and against sealed results that are lost before they expire.
use super::*;
use crate::clock::SEC;
use crate::policy::api::TenantId;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Whether the query of a submission may run twice.
#[derive(Clone, Copy)]
enum Repeat {
    Allowed,
    Forbidden,
}

fn limits() -> SpoolLimits {
    SpoolLimits {
        total_bytes: 1_000,
        tenant_bytes: 600,
        admission_reserve_bytes: 50,
        max_results: 12,
        retention: 60 * SEC,
        consumed_retention: 5 * SEC,
    }
}

/// A submission of one of several users of two tenants.
fn submission(user: u16, query: u32, statement: u8, repeat: Repeat) -> Submission {
    Submission {
        owner: Owner {
            tenant: TenantId(user % 2),
            user: format!("u{user}").into(),
        },
        query_id: format!("q{query}").into(),
        statement_digest: [statement; 32],
        must_not_repeat: matches!(repeat, Repeat::Forbidden),
    }
}

/// Submits a query and runs it, with pages of these sizes, until its result is sealed.
fn seal_result(spool: &mut Spool, now: Micros, query: &Submission, pages: &[u64]) -> ResultId {
    let mut commands = Vec::new();
    let SubmitOutcome::Admitted(id) = spool.submit(now, query.clone(), &mut commands) else {
        panic!("not admitted")
    };
    spool.intent_stored(id, &mut commands);
    spool.attempt_started(id);
    for bytes in pages {
        assert!(spool.add_page(now, id, *bytes, &mut commands));
    }
    spool.attempt_completed(id, &mut commands);
    spool.seal_stored(now, id);
    assert_eq!(
        commands,
        [
            SpoolCommand::WriteIntent(id),
            SpoolCommand::Run(id),
            SpoolCommand::WriteSeal(id)
        ]
    );
    id
}

#[test]
fn a_retry_gets_the_same_result_and_another_statement_is_a_conflict() {
    let mut spool = Spool::new(limits());
    let mut commands = Vec::new();
    let query = submission(1, 1, 7, Repeat::Allowed);
    let id = seal_result(&mut spool, SEC, &query, &[100, 20]);

    assert_eq!(
        spool.submit(2 * SEC, query, &mut commands),
        SubmitOutcome::Existing(id, ResultStage::Sealed)
    );
    let other_statement = submission(1, 1, 8, Repeat::Allowed);
    assert_eq!(
        spool.submit(2 * SEC, other_statement, &mut commands),
        SubmitOutcome::Conflict
    );
    // The same query id of another user identifies another query.
    let other_user = submission(3, 1, 8, Repeat::Allowed);
    assert!(matches!(
        spool.submit(2 * SEC, other_user, &mut commands),
        SubmitOutcome::Admitted(_)
    ));
}

fn unsealed(id: u64, query: &Submission) -> StoredResult {
    StoredResult {
        id: ResultId(id),
        submission: query.clone(),
        sealed_page_sizes: None,
        acknowledged_pages: BTreeSet::new(),
        expires_at: Micros::MAX,
    }
}

/// A load must not run twice if a crash occurs between its intent and its seal.
#[test]
fn a_load_interrupted_by_a_crash_is_lost_and_not_run_again() {
    let load = submission(1, 1, 7, Repeat::Forbidden);
    let idempotent = submission(1, 2, 7, Repeat::Allowed);
    let stored = vec![unsealed(4, &load), unsealed(5, &idempotent)];
    let mut commands = Vec::new();

    let mut spool = Spool::recover(limits(), SEC, 0, stored, &mut commands);

    assert_eq!(commands, [SpoolCommand::Remove(ResultId(5))]);
    assert_eq!(
        spool.submit(SEC, load.clone(), &mut commands),
        SubmitOutcome::Existing(ResultId(4), ResultStage::Lost)
    );
    assert_eq!(
        spool.begin_read(SEC, ResultId(4), &load.owner, 0, &mut commands),
        Err(AccessError::Lost)
    );
    assert_eq!(
        spool.submit(SEC, idempotent, &mut commands),
        SubmitOutcome::Admitted(ResultId(6))
    );
}

/// A retry of a load may arrive after its pages were read or deleted, and must not run it again.
#[test]
fn the_query_id_of_a_load_outlives_its_pages() {
    let mut spool = Spool::new(limits());
    let mut commands = Vec::new();
    let load = submission(1, 1, 7, Repeat::Forbidden);
    let id = seal_result(&mut spool, SEC, &load, &[100]);

    assert_eq!(spool.acknowledge(SEC, id, &load.owner, 0), Ok(true));
    spool.expire(20 * SEC, &mut commands);
    assert_eq!(
        spool.submit(20 * SEC, load.clone(), &mut commands),
        SubmitOutcome::Existing(id, ResultStage::Consumed)
    );
    assert_eq!(
        spool.delete(21 * SEC, id, &load.owner, &mut commands),
        Ok(())
    );
    assert_eq!(
        spool.submit(22 * SEC, load, &mut commands),
        SubmitOutcome::Existing(id, ResultStage::Consumed)
    );
    assert_eq!(
        (commands, spool.stored_bytes(None)),
        (vec![SpoolCommand::RemovePages(id)], 0)
    );
}

/// The cases are an exhausted quota, an expiry during a read, and a clock that is set back.
#[test]
fn an_unread_result_is_stored_until_it_expires_and_a_read_one_until_the_read_ends() {
    let mut spool = Spool::new(limits());
    let mut commands = Vec::new();
    let first_query = submission(1, 1, 1, Repeat::Allowed);
    let second_query = submission(1, 2, 2, Repeat::Allowed);
    let first = seal_result(&mut spool, SEC, &first_query, &[300, 270]);

    // An unread result uses up the tenant's quota: the rejection of the next query states when that
    // result expires.
    assert_eq!(
        spool.submit(2 * SEC, second_query.clone(), &mut commands),
        SubmitOutcome::NoCapacity {
            earliest_expiry: Some(61 * SEC)
        }
    );
    spool
        .begin_read(60 * SEC, first, &first_query.owner, 0, &mut commands)
        .unwrap();
    spool.expire(100 * SEC, &mut commands);
    spool.expire(10 * SEC, &mut commands);
    assert!(commands.is_empty() && spool.stage(first) == Some(ResultStage::Sealed));
    spool.end_read(10 * SEC, first, &mut commands);
    assert_eq!(commands, [SpoolCommand::Remove(first)]);
    assert!(matches!(
        spool.submit(10 * SEC, second_query, &mut commands),
        SubmitOutcome::Admitted(_)
    ));
}

#[test]
fn results_of_others_unknown_and_expired_results_give_the_same_error() {
    let mut spool = Spool::new(limits());
    let mut commands = Vec::new();
    let query = submission(1, 1, 1, Repeat::Allowed);
    let id = seal_result(&mut spool, SEC, &query, &[10]);
    let other_owner = submission(3, 1, 1, Repeat::Allowed).owner;

    assert_eq!(
        spool.begin_read(SEC, id, &other_owner, 0, &mut commands),
        Err(AccessError::Unknown)
    );
    assert_eq!(
        spool.delete(SEC, id, &other_owner, &mut commands),
        Err(AccessError::Unknown)
    );
    assert_eq!(
        spool.acknowledge(SEC, ResultId(99), &query.owner, 0),
        Err(AccessError::Unknown)
    );
    assert_eq!(
        spool.begin_read(99 * SEC, id, &query.owner, 0, &mut commands),
        Err(AccessError::Unknown)
    );
}

/// A sealed result that has to stay readable until it expires.
struct RetainedResult {
    page_sizes: Vec<u64>,
    expires_at: Micros,
}

/// A spool with its store, under random events of clients and engines and random crashes.
struct SpoolModel {
    spool: Spool,
    rng: Pcg32,
    now: Micros,
    commands: Vec<SpoolCommand>,
    /// The durable state, which survives a crash.
    store: BTreeMap<ResultId, StoredResult>,
    /// Number of runs of each query that must not run twice.
    runs: BTreeMap<QueryKey, u32>,
    retained: BTreeMap<ResultId, RetainedResult>,
}

impl SpoolModel {
    fn new(seed: u64) -> SpoolModel {
        SpoolModel {
            spool: Spool::new(limits()),
            rng: Pcg32::seed_from_u64(seed),
            now: SEC,
            commands: Vec::new(),
            store: BTreeMap::new(),
            runs: BTreeMap::new(),
            retained: BTreeMap::new(),
        }
    }

    /// A random number below `limit`.
    fn draw(&mut self, limit: u32) -> u32 {
        self.rng.next_u32() % limit
    }

    /// Executes the commands, and those that follow from them.
    fn execute_commands(&mut self) {
        while let Some(command) = self.commands.pop() {
            match command {
                SpoolCommand::Remove(id) => drop(self.store.remove(&id)),
                SpoolCommand::RemovePages(id) => {
                    if let Some(stored) = self.store.get_mut(&id) {
                        stored.sealed_page_sizes = Some(Vec::new());
                    }
                }
                SpoolCommand::WriteIntent(id) => {
                    let query = self.spool.results[&id].submission.clone();
                    self.store.insert(id, unsealed(id.0, &query));
                    self.spool.intent_stored(id, &mut self.commands);
                }
                SpoolCommand::Run(id) => self.run(id),
                SpoolCommand::WriteSeal(_) | SpoolCommand::CancelAttempt(_) => {}
            }
        }
    }

    fn run(&mut self, id: ResultId) {
        assert!(
            self.store.contains_key(&id),
            "a query runs before its intent is durable"
        );
        let query = &self.spool.results[&id].submission;
        let key = (query.owner.clone(), query.query_id.clone());
        *self.runs.entry(key).or_default() += u32::from(query.must_not_repeat);
        self.spool.attempt_started(id);
    }

    /// Performs one random event.
    fn step(&mut self) {
        self.now += Micros::from(self.draw(400_000));
        let ids: Vec<ResultId> = self.spool.results.keys().copied().collect();
        let id = ids.get(self.draw(12) as usize).copied().unwrap_or_default();
        match self.draw(12) {
            0..=2 => self.submit(),
            3..=5 => {
                let bytes = u64::from(self.draw(120));
                self.spool.add_page(self.now, id, bytes, &mut self.commands);
            }
            6 => self.complete(id),
            7 => self.fail(id),
            8 => self.read(id),
            9 => self.acknowledge(id),
            10 if self.draw(6) == 0 => self.delete(id),
            11 if self.draw(8) == 0 => self.crash(),
            _ => self.spool.expire(self.now, &mut self.commands),
        }
    }

    fn owner_of(&self, id: ResultId) -> Owner {
        let known = self.spool.results.get(&id);
        known.map_or(submission(0, 0, 0, Repeat::Allowed).owner, |result| {
            result.submission.owner.clone()
        })
    }

    fn submit(&mut self) {
        let query = self.draw(300);
        let repeat = if query.is_multiple_of(3) {
            Repeat::Forbidden
        } else {
            Repeat::Allowed
        };
        let submission = submission((query % 4) as u16, query, 1, repeat);
        self.spool.submit(self.now, submission, &mut self.commands);
    }

    /// Completes a query. In one of four cases its seal does not become durable.
    fn complete(&mut self, id: ResultId) {
        self.spool.attempt_completed(id, &mut self.commands);
        if self.spool.stage(id) != Some(ResultStage::Sealing) || self.draw(4) == 0 {
            return;
        }
        self.spool.seal_stored(self.now, id);
        let result = &self.spool.results[&id];
        let stored = self.store.get_mut(&id).expect("its intent is durable");
        stored.sealed_page_sizes = Some(result.page_sizes.clone());
        stored.expires_at = result.expires_at;
        let retained = RetainedResult {
            page_sizes: result.page_sizes.clone(),
            expires_at: result.expires_at,
        };
        self.retained.insert(id, retained);
    }

    fn fail(&mut self, id: ResultId) {
        let may_have_run = self.draw(2) == 0 || self.spool.stage(id) != Some(ResultStage::Running);
        // An attempt that is reported not to have run does not count as a run.
        if let Some(result) = self.spool.results.get(&id)
            && !may_have_run
            && result.submission.must_not_repeat
        {
            let query = &result.submission;
            let key = (query.owner.clone(), query.query_id.clone());
            self.runs.entry(key).and_modify(|count| *count -= 1);
        }
        self.spool
            .attempt_failed(self.now, id, may_have_run, &mut self.commands);
    }

    fn read(&mut self, id: ResultId) {
        let owner = self.owner_of(id);
        let page = self.draw(3) as usize;
        let read = self
            .spool
            .begin_read(self.now, id, &owner, page, &mut self.commands);
        if read.is_ok() {
            self.spool.end_read(self.now, id, &mut self.commands);
        }
    }

    fn acknowledge(&mut self, id: ResultId) {
        let owner = self.owner_of(id);
        let page = self.draw(3) as usize;
        let Ok(all) = self.spool.acknowledge(self.now, id, &owner, page) else {
            return;
        };
        let stored = self.store.get_mut(&id).expect("a sealed result is durable");
        stored.acknowledged_pages.insert(page);
        if all {
            stored.expires_at = self.spool.results[&id].expires_at;
            self.retained.remove(&id);
        }
    }

    fn delete(&mut self, id: ResultId) {
        let owner = self.owner_of(id);
        let deleted = self.spool.delete(self.now, id, &owner, &mut self.commands);
        if deleted.is_ok() {
            self.retained.remove(&id);
        }
    }

    /// Restarts from the store: commands that were not executed are lost, and the clock is set
    /// back.
    fn crash(&mut self) {
        self.commands.clear();
        let stored = self.store.values().cloned().collect();
        let set_back = self.now - SEC / 2;
        self.spool = Spool::recover(limits(), set_back, self.now, stored, &mut self.commands);
    }

    fn check(&mut self) {
        let now = self.now;
        self.retained
            .retain(|_, retained| retained.expires_at > now);
        for (id, retained) in &self.retained {
            let result = self
                .spool
                .results
                .get(id)
                .expect("a sealed and unread result is stored until it expires");
            let readable = matches!(result.stage, ResultStage::Sealed | ResultStage::Consumed);
            assert_eq!((&result.page_sizes, readable), (&retained.page_sizes, true));
        }
        let first_tenant = Some(TenantId(0));
        assert!(
            self.spool.stored_bytes(None) <= 1_000 && self.spool.stored_bytes(first_tenant) <= 600
        );
        let result_count = self.spool.results.len();
        assert!(result_count <= 12 + 1 && self.spool.ids_by_query.len() == result_count);
        let allowed_runs = (now / (60 * SEC)) as u32 + 1;
        assert!(
            self.runs.values().all(|count| *count <= allowed_runs),
            "a load ran again within its retention: {:?}",
            self.runs
        );
    }
}

/// Under random events and crashes no load may run twice within its retention, no result may be
/// sealed that did not complete, quotas must be kept, and sealed and unread results must be stored
/// until they expire, also after a crash.
#[test]
fn loads_run_once_and_sealed_results_survive_random_steps_and_crashes() {
    for seed in 0..60 {
        let mut model = SpoolModel::new(seed);
        for _ in 0..600 {
            model.step();
            model.execute_commands();
            model.check();
        }
    }
}
