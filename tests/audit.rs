//! The audit of a fleet of real daemons on loopback, as `yokelift-testkit audit` and `GET /audit`
//! report it. Guards against decisions that are lost or reported under a wrong configuration, and
//! against missing or disagreeing managers that go unreported: through new settings, an endpoint
//! list that one manager does not receive, a partition, SIGKILL and SIGSTOP.
use rustix::process::Signal;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;
use yokelift::policy::api::Readiness;
use yokelift::testkit::clients::ClientOutcome;
use yokelift::testkit::fault_proxy::Faults;
use yokelift::testkit::fleet::{Fleet, MEMBERS, Reload, SHARES, TenantShares, wait_until};

const ALL: [usize; MEMBERS] = [0, 1, 2, 3, 4];

fn start(name_prefix: &str, seed: u64) -> Fleet {
    let fleet = Fleet::start(Path::new(env!("CARGO_BIN_EXE_yokelift")), name_prefix, seed);
    assert!(wait_until(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    fleet
}

/// The output of `yokelift-testkit audit`, and whether it exited with 0.
struct AuditRun {
    output: String,
    is_success: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Format {
    Text,
    Json,
}

fn run_audit(fleet: &Fleet, format: Format) -> AuditRun {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"));
    command
        .arg("audit")
        .args(fleet.admin_addrs.iter().map(ToString::to_string));
    if format == Format::Json {
        command.arg("--json");
    }
    let output = command.output().expect("the test kit");
    AuditRun {
        output: String::from_utf8_lossy(&output.stdout).into_owned(),
        is_success: output.status.success(),
    }
}

fn report(fleet: &Fleet) -> Value {
    serde_json::from_str(&run_audit(fleet, Format::Json).output).expect("a report")
}

/// The activity intervals of the member with that name, the latest last.
fn activity(report: &Value, name: &str) -> Vec<Value> {
    let rows = report["acted"].as_array().expect("rows").iter();
    rows.filter(|row| row["member"] == json!(name))
        .cloned()
        .collect()
}

/// The number of attempts dispatched in those intervals.
fn dispatched<'a>(rows: impl IntoIterator<Item = &'a Value>) -> u64 {
    rows.into_iter()
        .map(|row| row["dispatched"].as_u64().expect("a count"))
        .sum()
}

/// The versions that a member reports for itself.
fn versions(fleet: &Fleet, member: usize) -> Value {
    let view = fleet.view(member).unwrap_or_default();
    view.into_iter()
        .find(|row| row["self"] == json!(true))
        .map(|row| row["versions"].clone())
        .unwrap_or_default()
}

/// Whether all these members report that version of the endpoint list for themselves.
fn all_report_list(fleet: &Fleet, mut members: impl Iterator<Item = usize>, list: u64) -> bool {
    members.all(|member| versions(fleet, member)["list"] == json!(list))
}

/// The members by the value that they reported, if the report has a disagreement on it.
fn disagreement(report: &Value, about: &str) -> Option<Value> {
    report["disagreements"]
        .as_array()?
        .iter()
        .find(|row| row["about"] == json!(about))
        .map(|row| row["held"].clone())
}

/// The row on the propagation of the change whose name begins with `change`.
fn propagation(report: &Value, change: &str) -> Value {
    let is_change = |row: &&Value| {
        let name = row["change"].as_str();
        name.is_some_and(|name| name.starts_with(change))
    };
    let mut rows = report["spreads"].as_array().expect("rows").iter();
    rows.find(is_change).expect("a change").clone()
}

/// The lines of a member's `GET /audit`, the end of the page last.
fn audit_lines(fleet: &Fleet, member: usize) -> Vec<Value> {
    let (_, body) = fleet
        .admin_get(member, "/audit?since=0")
        .unwrap_or_default();
    body.lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect()
}

/// The number of incarnations in the lines.
fn incarnations(lines: &[Value]) -> usize {
    let incarnations = lines.iter().filter_map(|line| line["life"].as_u64());
    incarnations.collect::<BTreeSet<u64>>().len()
}

/// Sends a query to a member and checks that it completes.
fn complete_query(fleet: &Fleet, member: usize, round: u64) {
    let number = 16 * round + member as u64;
    let outcome = fleet.query(member, "lookup", number, 9_000);
    assert!(
        matches!(outcome, ClientOutcome::Completed(_)),
        "{outcome:?}: {}",
        fleet.log(member)
    );
}

/// Dispatches must be reported under the build, settings and list that the manager's decision
/// module acted on at the time, before and after new settings and a new list. A manager that did
/// not receive the list must be reported.
#[test]
fn the_report_counts_dispatches_by_the_configuration_that_was_active() {
    let fleet = start("table", 11);
    ALL.iter()
        .for_each(|member| complete_query(&fleet, *member, 1));
    let before = versions(&fleet, 0);
    // All managers get new settings; then all but the last one get a new list.
    ALL.iter()
        .for_each(|i| fleet.reconfigure(*i, TenantShares::new(0.5, 0.5), Reload::Signal));
    assert!(wait_until(|| ALL
        .iter()
        .all(|i| versions(&fleet, *i)["generation"] == json!(2))));
    ALL.iter()
        .for_each(|member| complete_query(&fleet, *member, 2));
    fleet.with_stand_ins(|stand_ins| {
        stand_ins.announce(0..4, 1, Readiness::Draining);
    });
    assert!(wait_until(|| all_report_list(&fleet, 0..4, 2)));
    ALL.iter()
        .for_each(|member| complete_query(&fleet, *member, 3));
    // The last records may not have been flushed yet.
    let has_all_dispatches = |report: &Value| {
        let has_all = |member: &usize| dispatched(&activity(report, &fleet.name(*member))) >= 3;
        ALL.iter().all(has_all)
    };
    assert!(
        wait_until(|| has_all_dispatches(&report(&fleet))),
        "{}",
        report(&fleet)
    );

    let report = report(&fleet);

    assert_eq!(report["missing"], json!([]));
    for member in ALL {
        let after = versions(&fleet, member);
        assert_ne!(after["settings"], before["settings"]);
        assert_dispatches_by_configuration(&report, &fleet, member, &before);
    }
    assert_only_the_last_member_missed_the_list(&report, &fleet);
    let text = run_audit(&fleet, Format::Text);
    let old_list = format!("1 ({})", fleet.name(4));
    assert!(
        text.is_success
            && text.output.contains("Spread of list 2")
            && text.output.contains(&old_list),
        "{}",
        text.output
    );
}

/// Checks that a member's dispatches of the first round are under `before`, those of the second one
/// under the new settings, and those of the third one under the new list, except on the last
/// member.
fn assert_dispatches_by_configuration(
    report: &Value,
    fleet: &Fleet,
    member: usize,
    before: &Value,
) {
    let rows = activity(report, &fleet.name(member));
    let after = versions(fleet, member);
    let dispatched_under = |generation: u64, list: u64, settings: &Value| {
        dispatched(rows.iter().filter(|row| {
            row["generation"] == json!(generation)
                && row["list"] == json!(list)
                && row["settings"] == *settings
        }))
    };
    let misses_list = member == 4;

    assert!(
        rows.iter().all(|row| row["build"] == before["build"]),
        "{rows:?}"
    );
    assert!(dispatched_under(1, 1, &before["settings"]) >= 1, "{rows:?}");
    assert!(
        dispatched_under(2, 1, &after["settings"]) >= if misses_list { 2 } else { 1 },
        "{rows:?}"
    );
    assert_eq!(
        dispatched_under(2, 2, &after["settings"]) >= 1,
        !misses_list,
        "{rows:?}"
    );
}

fn assert_only_the_last_member_missed_the_list(report: &Value, fleet: &Fleet) {
    let lists = disagreement(report, "list").expect("a disagreement on the list");
    assert_eq!(lists["1"], json!([fleet.name(4)]));
    assert_eq!(lists["2"].as_array().map(Vec::len), Some(4));
    assert!(disagreement(report, "settings").is_none() && disagreement(report, "build").is_none());
    let reached_by_settings = propagation(report, "settings")["after"]
        .as_object()
        .map(serde_json::Map::len);
    assert_eq!(reached_by_settings, Some(MEMBERS));
    assert_eq!(
        propagation(report, "list 2")["never"],
        json!([fleet.name(4)])
    );
}

/// A manager whose connection to the coordinator is stalled must reconnect automatically. A manager
/// whose coordinator has an outdated list must be excluded, and become ready again once the
/// coordinator has the current list.
#[test]
fn a_manager_with_an_outdated_list_reconnects_or_is_excluded() {
    let fleet = start("behind", 15);
    assert!(wait_until(|| all_report_list(&fleet, ALL.into_iter(), 1)));
    fleet.with_stand_ins(|stand_ins| {
        stand_ins.coordinators[3].stall_connections();
        stand_ins.announce(0..4, 1, Readiness::Draining);
    });
    assert!(
        wait_until(|| all_report_list(&fleet, 0..4, 2)),
        "{}",
        fleet.log(3)
    );
    assert!(
        fleet
            .log(3)
            .contains("reloading the settings and the endpoint list"),
        "{}",
        fleet.log(3)
    );
    assert!(
        wait_until(|| fleet.readiness_status(4) == Some(503)),
        "{}",
        fleet.log(4)
    );
    assert!((0..4).all(|i| fleet.readiness_status(i) == Some(200)));
    fleet.with_stand_ins(|stand_ins| {
        stand_ins.announce(4..5, 1, Readiness::Draining);
    });
    assert!(
        wait_until(|| fleet.readiness_status(4) == Some(200)),
        "{}",
        fleet.log(4)
    );
    // The readiness is current, but the view of the versions is up to 0.1 s old.
    assert!(
        wait_until(|| versions(&fleet, 4)["list"] == json!(2)),
        "{}",
        fleet.logs()
    );
}

/// A rejection or failure must be recorded under the request's id. The records of a manager that
/// was killed must be available after its restart, under the incarnation that made them, except for
/// those that were not flushed.
#[test]
fn records_survive_a_kill_under_the_incarnation_that_made_them() {
    let mut fleet = start("lives", 12);
    // No engine is ready, so the request fails or is rejected.
    fleet.with_stand_ins(|stand_ins| {
        (0..2).for_each(|engine| stand_ins.announce(0..MEMBERS, engine, Readiness::Removed));
    });
    assert!(wait_until(|| all_report_list(&fleet, ALL.into_iter(), 3)));
    let outcome = fleet.query(2, "lookup", 0xabc, 700);
    assert!(
        !matches!(outcome, ClientOutcome::Completed(_)),
        "{outcome:?}"
    );
    let find_request = |lines: &[Value]| {
        let is_request = |line: &&Value| line["request"] == json!("0000000000000abc");
        lines.iter().find(is_request).cloned()
    };
    assert!(
        wait_until(|| find_request(&audit_lines(&fleet, 2)).is_some()),
        "{:?}",
        audit_lines(&fleet, 2)
    );
    let line = find_request(&audit_lines(&fleet, 2)).expect("a record");
    assert!(
        line["what"] == json!("refuse") || line["what"] == json!("fail"),
        "{line}"
    );
    assert_eq!(
        (&line["member"], &line["list"], &line["class"]),
        (&json!(fleet.name(2)), &json!(3), &json!("lookup"))
    );

    fleet.kill(2);
    fleet.launch(2, SHARES);
    assert!(
        wait_until(|| fleet.readiness_status(2) == Some(200)),
        "{}",
        fleet.log(2)
    );
    assert!(
        wait_until(|| incarnations(&audit_lines(&fleet, 2)) == 2),
        "{:?}",
        audit_lines(&fleet, 2)
    );
    // The activation of the list is the last record to be flushed.
    assert!(wait_until(|| audit_lines(&fleet, 2)
        .iter()
        .rev()
        .nth(1)
        .is_some_and(|line| line["list"] == json!(3))));

    let lines = audit_lines(&fleet, 2);
    assert_eq!(find_request(&lines).as_ref(), Some(&line));
    assert_pages_end_after_the_last_record(&fleet, 2, &lines);
}

/// A page after the last record consists of its end only. An invalid position is rejected.
fn assert_pages_end_after_the_last_record(fleet: &Fleet, member: usize, lines: &[Value]) {
    let end = lines.last().expect("the page's end");
    let next = end["next"].as_str().expect("a position");
    let (status, body) = fleet
        .admin_get(member, &format!("/audit?since={next}"))
        .expect("a response");
    assert_eq!((status, body.lines().count()), (200, 1), "{body}");
    let malformed = fleet.admin_get(member, "/audit?since=never");
    assert_eq!(malformed.map(|(status, _)| status), Some(400));
}

/// While one manager is suspended and two are partitioned, the test kit must report the missing
/// managers and the members whose states the others report differently, and exit with 1. Once the
/// fleet has converged, it must report agreement.
#[test]
fn the_report_names_missing_managers_and_partitions() {
    let fleet = start("pieces", 13);
    fleet.signal(4, Signal::STOP);
    let mut faults = Faults::default();
    faults.partition(&[0, 1], &[2, 3, 4]);
    fleet.fault_proxy.set_faults(faults);
    let reports_dead = |observer: usize, member: usize| {
        fleet.state_of(observer, member).as_deref() == Some("Dead")
    };
    assert!(
        wait_until(|| reports_dead(0, 3) && reports_dead(3, 0) && reports_dead(2, 0)),
        "{}",
        fleet.log(3)
    );
    let AuditRun { output, is_success } = run_audit(&fleet, Format::Text);
    assert!(
        !is_success && output.contains("missing:") && output.contains("The fleet is not one"),
        "{output}"
    );
    let (first, second) = (fleet.name(0), fleet.name(1));
    let states = format!("health of {first}: Alive ({second}); Dead (");
    assert!(output.contains(&states), "{output}");

    fleet.fault_proxy.set_faults(Faults::default());
    fleet.signal(4, Signal::CONT);
    assert!(wait_until(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    let AuditRun { output, is_success } = run_audit(&fleet, Format::Text);
    assert!(
        is_success && output.contains("agree on build, settings, list and each other's health"),
        "{output}"
    );
}

/// While a manager is dead or excluded, the others must divide the engines' capacity among those
/// that are active. The minority side of a partition must not take over any share.
#[test]
fn only_a_majority_takes_over_the_capacity_shares_of_inactive_managers() {
    let fleet = start("shares", 14);
    let logs_active_gateways = |member: usize, gateways: usize| {
        let line = format!("fleet: {gateways} of {MEMBERS} managers share");
        fleet.log(member).contains(&line)
    };
    fleet.signal(4, Signal::STOP);
    assert!(
        wait_until(|| (0..4).all(|i| logs_active_gateways(i, 4))),
        "{}",
        fleet.log(0)
    );
    fleet.signal(4, Signal::CONT);
    assert!(
        wait_until(|| (0..4).all(|i| logs_active_gateways(i, 5))),
        "{}",
        fleet.log(0)
    );
    let mut faults = Faults::default();
    faults.partition(&[0, 1], &[2, 3, 4]);
    fleet.fault_proxy.set_faults(faults);
    assert!(
        wait_until(|| (2..5).all(|i| logs_active_gateways(i, 3))),
        "{}",
        fleet.logs()
    );
    assert!(
        wait_until(|| fleet.state_of(0, 4).as_deref() == Some("Dead")),
        "{}",
        fleet.log(0)
    );
    assert!(
        (0..2).all(|i| !logs_active_gateways(i, 3) && !logs_active_gateways(i, 2)),
        "{}",
        fleet.log(0)
    );
    fleet.fault_proxy.set_faults(Faults::default());
    assert!(wait_until(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    // The last manager keeps the old settings, so it is excluded and has no share.
    (0..4).for_each(|i| fleet.reconfigure(i, TenantShares::new(0.4, 0.6), Reload::Signal));
    assert!(
        wait_until(|| fleet.readiness_status(4) == Some(503)),
        "{}",
        fleet.log(4)
    );
    let last_line = |member: usize| {
        let log = fleet.log(member);
        let line = log.lines().rfind(|line| line.contains("managers share"));
        line.map(str::to_owned)
    };
    let four = format!("yokelift: fleet: 4 of {MEMBERS} managers share the engines");
    assert!(
        wait_until(|| (0..4).all(|i| last_line(i).as_deref() == Some(&*four))),
        "{}",
        fleet.logs()
    );
}
