//! Checks of a run, which use the records of the clients and the engines, and nothing that the
//! daemon reports about itself. The limits are those of the platform's protocol.
use super::manager::ManagerReport;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use yokelift::testkit::clients::{
    ClientOutcome, ConnectionEnd, SustainedLoadReport, SustainedRequest,
};
use yokelift::testkit::execution_log::{Run, RunOutcome};

/// A response that arrives later than this after the end of the client's wait counts as a lost
/// request.
const LATE_RESPONSE: Duration = Duration::from_millis(500);
/// An attempt may not start later than this after its client has cancelled the request or
/// disconnected.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// How long after a kill its clients may observe the end of their connections.
const KILL_GRACE: Duration = Duration::from_millis(200);
/// The number of requests that a finding lists in full.
const MAX_LISTED: usize = 3;
const LOAD_CLASS: &str = "load";

/// The number of requests by outcome.
pub(crate) type Counts = BTreeMap<&'static str, usize>;

/// The result of checking a manager's records.
pub(crate) struct CheckResult {
    pub(crate) counts: Counts,
    pub(crate) findings: Vec<String>,
}

/// Checks the records of a manager's clients. `runs` returns the runs of a request on the engines;
/// `loads_are_one_shot` is whether a load may not run twice, even with the same key.
pub(crate) fn check(
    manager: usize,
    report: &ManagerReport,
    loads_are_one_shot: bool,
    mut runs: impl FnMut(&str) -> Vec<Run>,
) -> CheckResult {
    let mut result = CheckResult {
        counts: Counts::new(),
        findings: Vec::new(),
    };
    let mut add_finding = |kind: &str, requests: Vec<&SustainedRequest>| {
        if !requests.is_empty() {
            let listed = &requests[..requests.len().min(MAX_LISTED)];
            let count = requests.len();
            let finding = format!("m{manager}: {count} requests {kind}: {listed:?}");
            result.findings.push(finding);
        }
    };
    for load in &report.loads {
        let select = |holds: &dyn Fn(&SustainedRequest) -> bool| {
            load.requests.iter().filter(|it| holds(it)).collect()
        };
        add_finding("lost", select(&|it| is_lost(it, load, report)));
        add_finding(
            "with several responses",
            select(&|it| it.responses.len() > 1),
        );
        add_finding("with a late response", select(&|it| is_late(it, load.lag)));
        add_finding("with wrong rows or none", select(&has_wrong_rows));
        add_finding(
            "with an unreadable response",
            select(&|it| first_outcome(it) == Some(&ClientOutcome::Interrupted)),
        );
        let abandoned: Vec<&SustainedRequest> = select(&|it| stopped_waiting_at(it).is_some());
        let sent_too_late = abandoned.into_iter().filter(|it| {
            let latest =
                stopped_waiting_at(it).map(|at| unix_micros(at + DISCONNECT_GRACE + load.lag));
            runs(&it.key)
                .iter()
                .any(|run| Some(run.started_at) > latest)
        });
        add_finding(
            "sent to an engine after the client stopped waiting",
            sent_too_late.collect(),
        );
        let rejected_loads: Vec<&SustainedRequest> = select(&|it| is_rejected_load(it));
        let wrongly_rejected = rejected_loads
            .into_iter()
            .filter(|_| loads_are_one_shot)
            .filter(|it| runs(&it.key).iter().any(may_have_run));
        add_finding(
            "rejected although they may have run",
            wrongly_rejected.collect(),
        );
    }
    for load in &report.loads {
        if load.unexpected_responses > 0 {
            let count = load.unexpected_responses;
            let finding = format!("m{manager}: {count} responses without a matching request");
            result.findings.push(finding);
        }
        for request in &load.requests {
            *result.counts.entry(outcome_name(request)).or_default() += 1;
        }
    }
    result
}

fn first_outcome(request: &SustainedRequest) -> Option<&ClientOutcome> {
    request.responses.first().map(|(_, outcome)| outcome)
}

/// Whether the request has no response although one was required.
fn is_lost(request: &SustainedRequest, load: &SustainedLoadReport, report: &ManagerReport) -> bool {
    if !request.is_lost(load.lag) {
        return false;
    }
    let Some((ended_at, end)) = request.connection_end else {
        return true;
    };
    let by_kill = report
        .kills
        .iter()
        .any(|killed_at| follows(ended_at, *killed_at, KILL_GRACE + load.lag));
    // While idle clients use up the descriptors, new connections may be closed before they are
    // read.
    let by_idle_clients =
        report.has_idle_clients && request.is_first && end != ConnectionEnd::LoadEnded;
    !by_kill && !by_idle_clients
}

/// When the client stopped waiting: it cancelled the request or disconnected.
fn stopped_waiting_at(request: &SustainedRequest) -> Option<Instant> {
    let disconnected_at = request
        .connection_end
        .filter(|(_, end)| *end == ConnectionEnd::Disconnected)
        .map(|(at, _)| at);
    request
        .cancelled_at
        .into_iter()
        .chain(disconnected_at)
        .min()
}

/// Converts an instant of this process to the time base of the engines' log.
fn unix_micros(at: Instant) -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let age = Instant::now().saturating_duration_since(at);
    (now - age).as_micros() as u64
}

fn follows(at: Instant, earlier: Instant, within: Duration) -> bool {
    at.checked_duration_since(earlier)
        .is_some_and(|after| after <= within)
}

fn is_late(request: &SustainedRequest, lag: Duration) -> bool {
    let due_at = request.sent_at + request.wait + LATE_RESPONSE + lag;
    let response = request.responses.first();
    request.cancelled_at.is_none() && response.is_some_and(|(at, _)| *at > due_at)
}

/// Whether it completed with no rows, or with rows that no engine produced for it.
fn has_wrong_rows(request: &SustainedRequest) -> bool {
    let Some(ClientOutcome::Completed(rows)) = first_outcome(request) else {
        return false;
    };
    rows.is_empty() || rows.lines().any(|row| !row.starts_with(&request.key))
}

fn is_rejected_load(request: &SustainedRequest) -> bool {
    let rejected = matches!(first_outcome(request), Some(ClientOutcome::Rejected(_)));
    request.class == LOAD_CLASS && rejected
}

fn may_have_run(run: &Run) -> bool {
    run.end
        .is_none_or(|end| end.outcome != RunOutcome::Rejected)
}

fn outcome_name(request: &SustainedRequest) -> &'static str {
    match first_outcome(request) {
        Some(ClientOutcome::Completed(_)) => "served",
        Some(ClientOutcome::Rejected(_)) => "rejected",
        Some(ClientOutcome::Deadline) => "deadline",
        Some(ClientOutcome::Failed(_)) => "failed",
        Some(ClientOutcome::Invalid(_)) => "invalid",
        Some(ClientOutcome::Interrupted) => "unreadable",
        None if request.cancelled_at.is_some() => "cancelled",
        None => "connection ended",
    }
}
