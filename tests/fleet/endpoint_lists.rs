//! Inconsistent endpoint lists from a faulty coordinator, for a large fleet.
use crate::builders::*;
use crate::common::*;
use std::collections::{BTreeMap, BTreeSet};
use yokelift::policy::api::*;

/// Number of endpoint lists that the gateway receives.
const ROUNDS: u64 = 60;
/// Number of engines of the fleet.
const ENGINES: u64 = 60;
/// Requests submitted after each list.
const REQUESTS_PER_ROUND: u32 = 5;
/// Minimum number of steps after each list; more follow until no attempt is started.
const MIN_STEPS: u64 = 10;

fn draining(endpoint: Endpoint) -> Endpoint {
    Endpoint {
        readiness: Readiness::Draining,
        ..endpoint
    }
}

/// A list that is stale, complete, duplicated, contradictory, incomplete or empty.
fn inconsistent_list(round: u64) -> Vec<Endpoint> {
    let all = || warm_endpoints(1..=ENGINES);
    match round % 6 {
        0 => warm_endpoints(1 + round..=ENGINES + round),
        1 => all(),
        2 => [all(), all()].concat(),
        3 => {
            let half = warm_endpoints(1..=30).into_iter().map(draining);
            all().into_iter().chain(half).collect()
        }
        4 => warm_endpoints(30..=36),
        _ => vec![],
    }
}

/// The engines that are ready in a list; if an engine has several entries, the last one counts.
fn ready_engines(entries: &[Endpoint]) -> BTreeSet<EngineId> {
    let last_entries: BTreeMap<EngineId, Readiness> = entries
        .iter()
        .map(|entry| (entry.id, entry.readiness))
        .collect();
    last_entries
        .into_iter()
        .filter(|(_, readiness)| *readiness == Readiness::Ready)
        .map(|(engine, _)| engine)
        .collect()
}

/// A gateway with a faulty coordinator, whose engines refuse every other connection.
struct FaultyCoordinatorModel {
    gateway: GatewayHarness,
    ready: BTreeSet<EngineId>,
    attempt_counts: BTreeMap<u32, u16>,
    /// Number of times that each request ended.
    end_counts: BTreeMap<u32, usize>,
    next_request: u32,
}

impl FaultyCoordinatorModel {
    fn new() -> FaultyCoordinatorModel {
        let mut settings = expensive_probe_settings(100);
        settings.progress_period = 0;
        settings.invariants.retry_budget = None;
        FaultyCoordinatorModel {
            gateway: gateway_at(42, settings, vec![]),
            ready: BTreeSet::new(),
            attempt_counts: BTreeMap::new(),
            end_counts: BTreeMap::new(),
            next_request: 0,
        }
    }

    fn run_round(&mut self, round: u64) {
        let entries = inconsistent_list(round);
        self.ready = ready_engines(&entries);
        let mut actions = self
            .gateway
            .update_endpoints(EndpointListKind::Full, entries);
        for _ in 0..REQUESTS_PER_ROUND {
            let id = self.next_request;
            self.next_request += 1;
            actions.extend(
                self.gateway
                    .submit(id, SHORT, 4 * SECOND, 200 * MILLISECOND),
            );
        }
        for step in 0.. {
            self.count_final_responses(&actions);
            let started = attempts_started(&actions);
            if step >= MIN_STEPS && started.is_empty() {
                break;
            }
            actions = Vec::new();
            for (id, engine) in started {
                let refused = (round + step + u64::from(id)).is_multiple_of(2);
                assert!(
                    self.ready.contains(&engine),
                    "round {round}: {engine:?} is not ready"
                );
                actions.extend(self.end_attempt(id, engine, refused));
            }
            actions.extend(self.gateway.advance(TICK_INTERVAL));
        }
    }

    fn end_attempt(&mut self, id: u32, engine: EngineId, refused: bool) -> Vec<Action> {
        let count = self.attempt_counts.entry(id).or_default();
        let attempt = *count;
        *count += 1;
        let kind = if refused {
            OutcomeKind::ConnectFailed
        } else {
            OutcomeKind::Ok
        };
        *self.end_counts.entry(id).or_default() += usize::from(!refused);
        self.gateway
            .end_attempt(id, attempt, engine, kind, 100 * MILLISECOND)
    }

    fn count_final_responses(&mut self, actions: &[Action]) {
        for (id, _) in final_responses(actions) {
            *self.end_counts.entry(id).or_default() += 1;
        }
    }
}

/// Attempts go only to engines that are ready in the last list, every request ends exactly once
/// after at most three attempts, and queued requests cause no retry storm.
#[test]
fn inconsistent_endpoint_lists_violate_no_invariant_and_cause_no_retry_storm() {
    let mut model = FaultyCoordinatorModel::new();

    for round in 0..ROUNDS {
        model.run_round(round);
    }
    let remaining = model.gateway.advance(6 * SECOND);
    model.count_final_responses(&remaining);

    let end_counts = &model.end_counts;
    assert!(
        (0..model.next_request).all(|id| end_counts.get(&id) == Some(&1)),
        "{end_counts:?}"
    );
    let attempt_counts = &model.attempt_counts;
    assert!(
        attempt_counts.values().all(|count| *count <= 3),
        "{attempt_counts:?}"
    );
    assert!(model.ready.is_empty());
}
