//! What has to hold after a run, by the clients' and the engines' records, never by the daemon's word.
//! The bounds are those of the platform's protocol.
use super::manager::ManagerReport;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use yokelift::testkit::clients::{
    ClientOutcome, ConnectionEnd, SustainedLoadReport, SustainedRequest,
};
use yokelift::testkit::execution_log::{Run, RunOutcome};

/// A response that comes later than this after its time is a lost request.
const LATE_RESPONSE: Duration = Duration::from_millis(500);
/// An attempt that begins later than this after its client is gone breaks a rule.
const GONE_NOTICE: Duration = Duration::from_millis(100);
/// How long after a kill its clients may see the end of their connections.
const KILL_NOTICE: Duration = Duration::from_millis(200);
/// The findings of one kind that are told in full.
const MAX_TOLD: usize = 3;
const LOAD_CLASS: &str = "load";

/// How many requests ended how.
pub(crate) type Counts = BTreeMap<&'static str, usize>;

/// What a run's records show.
pub(crate) struct Checked {
    pub(crate) counts: Counts,
    pub(crate) findings: Vec<String>,
}

/// Checks the record of a manager's clients. `runs` tells what the engines did with a request;
/// `loads_are_one_shot` is whether a load may not run twice, whatever its key.
pub(crate) fn check(
    manager: usize,
    report: &ManagerReport,
    loads_are_one_shot: bool,
    mut runs: impl FnMut(&str) -> Vec<Run>,
) -> Checked {
    let mut checked = Checked {
        counts: Counts::new(),
        findings: Vec::new(),
    };
    let mut tell = |kind: &str, requests: Vec<&SustainedRequest>| {
        if !requests.is_empty() {
            let told = &requests[..requests.len().min(MAX_TOLD)];
            let count = requests.len();
            let finding = format!("m{manager}: {count} requests {kind}: {told:?}");
            checked.findings.push(finding);
        }
    };
    for load in &report.loads {
        let select = |holds: &dyn Fn(&SustainedRequest) -> bool| {
            load.requests.iter().filter(|it| holds(it)).collect()
        };
        tell("lost", select(&|it| is_lost(it, load, report)));
        tell("answered twice", select(&|it| it.responses.len() > 1));
        tell("answered late", select(&|it| is_late(it, load.lag)));
        tell("answered with other rows", select(&has_other_rows));
        tell(
            "answered with what can't be read",
            select(&|it| first_outcome(it) == Some(&ClientOutcome::Interrupted)),
        );
        let gone: Vec<&SustainedRequest> = select(&|it| gone_at(it).is_some());
        let sent_for_nobody = gone.into_iter().filter(|it| {
            let latest = gone_at(it).map(|at| unix_micros(at + GONE_NOTICE + load.lag));
            runs(&it.key)
                .iter()
                .any(|run| Some(run.started_at) > latest)
        });
        tell("sent for a client that was gone", sent_for_nobody.collect());
        let rejected_loads: Vec<&SustainedRequest> = select(&|it| is_rejected_load(it));
        let dishonest = rejected_loads
            .into_iter()
            .filter(|_| loads_are_one_shot)
            .filter(|it| runs(&it.key).iter().any(may_have_run));
        tell("rejected though they may have run", dishonest.collect());
    }
    for load in &report.loads {
        if load.unexpected_responses > 0 {
            let count = load.unexpected_responses;
            let finding = format!("m{manager}: {count} responses to nobody's request");
            checked.findings.push(finding);
        }
        for request in &load.requests {
            *checked.counts.entry(outcome_name(request)).or_default() += 1;
        }
    }
    checked
}

fn first_outcome(request: &SustainedRequest) -> Option<&ClientOutcome> {
    request.responses.first().map(|(_, outcome)| outcome)
}

/// Whether the request is without a response that it is owed.
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
        .any(|killed_at| follows(ended_at, *killed_at, KILL_NOTICE + load.lag));
    // Where idle clients fill the descriptors, new connections may be closed unread.
    let by_crowd = report.has_crowd && request.is_first && end != ConnectionEnd::LoadEnded;
    !by_kill && !by_crowd
}

/// When the client stopped waiting: it cancelled the request, or left.
fn gone_at(request: &SustainedRequest) -> Option<Instant> {
    let left_at = request
        .connection_end
        .filter(|(_, end)| *end == ConnectionEnd::Disconnected)
        .map(|(at, _)| at);
    request.cancelled_at.into_iter().chain(left_at).min()
}

/// A moment of this process's clock as the engines' log has it.
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

/// Whether it was served with rows that no engine made for it.
fn has_other_rows(request: &SustainedRequest) -> bool {
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
