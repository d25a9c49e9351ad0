//! Membership between real daemons on loopback, connected through a fault proxy: stopped, killed
//! and restarted daemons, a hot restart, datagram loss, a partition and stragglers. The tests read
//! each manager's view from `GET /fleet` of its admin endpoint.
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;
use yokelift::testkit::fault_proxy::Faults;
use yokelift::testkit::fleet::{Fleet, MEMBERS, Reload, SHARES, TenantShares, wait_until};

const ALL: [usize; MEMBERS] = [0, 1, 2, 3, 4];

/// Shares that differ from those of the start.
const NEW_SHARES: TenantShares = TenantShares::new(0.55, 0.45);

/// Starts a fleet and waits until it has converged.
fn converged_fleet(tag: &str, seed: u64) -> Fleet {
    let fleet = Fleet::start(Path::new(env!("CARGO_BIN_EXE_yokelift")), tag, seed);
    assert!(
        wait_until(|| fleet.has_converged(&ALL)),
        "the fleet did not converge: {}",
        fleet.logs()
    );
    fleet
}

/// The row of `member` in the view of `observer`.
fn row_of(fleet: &Fleet, observer: usize, member: usize) -> Option<Value> {
    let name = json!(fleet.name(member));
    let view = fleet.view(observer)?;
    view.into_iter().find(|row| row["name"] == name)
}

fn incarnation(fleet: &Fleet, observer: usize, member: usize) -> Option<u64> {
    row_of(fleet, observer, member)?["incarnation"].as_u64()
}

fn generation(fleet: &Fleet, observer: usize, member: usize) -> Option<u64> {
    row_of(fleet, observer, member)?["versions"]["generation"].as_u64()
}

#[test]
fn five_daemons_discover_each_other_and_their_versions() {
    let fleet = converged_fleet("find", 1);

    assert!(wait_until(|| ALL
        .iter()
        .all(|member| fleet.readiness_status(*member) == Some(200))));
    let all_ready = |view: &[Value]| {
        view.iter()
            .all(|row| row["versions"]["stage"] == json!("ready"))
    };
    assert!(
        wait_until(|| fleet.view(3).is_some_and(|view| all_ready(&view))),
        "{:?}",
        fleet.view(3)
    );
    let view = fleet.view(3).expect("a view");
    assert_eq!(view.len(), MEMBERS);
    let first = &view[0]["versions"];
    for row in &view {
        let versions = &row["versions"];
        assert_eq!(versions["generation"], json!(1), "{row}");
        assert_eq!(versions["build"], first["build"], "{row}");
        assert_eq!(versions["settings"], first["settings"], "{row}");
    }
}

#[test]
fn a_new_settings_generation_reaches_the_other_daemons() {
    let fleet = converged_fleet("gen", 1);
    assert!(wait_until(|| generation(&fleet, 4, 1) == Some(1)));

    let shares = TenantShares::new(0.6, 0.4);
    fleet.reconfigure(1, shares, Reload::Signal);

    assert!(wait_until(|| generation(&fleet, 4, 1) == Some(2)));
}

#[test]
fn a_stopped_daemon_is_declared_dead_and_refutes_when_it_continues() {
    let fleet = converged_fleet("stop", 2);
    let others = [0, 1, 3, 4];

    fleet.signal(2, Signal::STOP);

    assert!(wait_until(|| others
        .iter()
        .all(
            |observer| fleet.state_of(*observer, 2).as_deref() == Some("Dead")
        )));
    assert!(
        fleet.has_converged(&others),
        "a running member was declared dead"
    );

    fleet.signal(2, Signal::CONT);

    assert!(
        wait_until(|| fleet.has_converged(&ALL)),
        "the stopped member did not rejoin"
    );
}

#[test]
fn a_killed_daemon_restarts_under_a_higher_incarnation() {
    let mut fleet = converged_fleet("kill", 3);
    let first = incarnation(&fleet, 0, 3).expect("known");

    fleet.kill(3);
    assert!(wait_until(
        || fleet.state_of(0, 3).as_deref() == Some("Dead")
    ));
    fleet.launch(3, SHARES);

    assert!(wait_until(|| fleet.has_converged(&ALL)), "{}", fleet.logs());
    assert!(incarnation(&fleet, 0, 3).expect("known") > first);
}

/// The successor of a hot restart starts while the predecessor still uses the fleet's address, and
/// becomes the member, under a higher incarnation, after the predecessor has exited.
#[test]
fn a_hot_restart_transfers_the_membership_to_the_successor() {
    let mut fleet = converged_fleet("seat", 7);
    let first = incarnation(&fleet, 0, 1).expect("known");

    let mut predecessor = fleet.start_successor(1).expect("the successor starts");
    assert!(
        wait_until(|| fleet.readiness_status(1) == Some(200)),
        "{}",
        fleet.log(1)
    );
    assert_eq!(
        fleet.admin_get(1, "/fleet").map(|(status, _)| status),
        Some(404),
        "the predecessor is still the member"
    );
    let pid = Pid::from_raw(predecessor.id() as i32).expect("a pid");
    kill_process(pid, Signal::TERM).expect("signalled");
    assert!(
        predecessor
            .wait()
            .expect("the exit status of the predecessor")
            .success()
    );

    assert!(
        wait_until(|| incarnation(&fleet, 0, 1) > Some(first) && fleet.has_converged(&ALL)),
        "{}",
        fleet.logs()
    );
}

/// A fifth of all datagrams is lost, some are duplicated and reordered, and one link is blocked.
#[test]
fn loss_duplication_and_a_blocked_link_cause_no_false_death() {
    let fleet = converged_fleet("loss", 4);
    let mut faults = Faults {
        loss: 0.2,
        duplication: 0.05,
        jitter: Duration::from_millis(20),
        ..Faults::default()
    };
    faults.blocked_links.block(1, 0);

    fleet.fault_proxy.set_faults(faults);
    std::thread::sleep(Duration::from_secs(8));

    for observer in ALL {
        let view = fleet.view(observer).expect("a view");
        assert!(
            view.iter().all(|row| row["health"] != json!("Dead")),
            "member {observer}: {view:?}"
        );
    }
    assert!(fleet.fault_proxy.counts().lost > 0, "nothing was lost");
}

#[test]
fn both_sides_of_a_partition_converge_after_it_heals() {
    let fleet = converged_fleet("part", 5);
    let mut faults = Faults::default();
    faults.partition(&[0, 1, 2], &[3, 4]);

    fleet.fault_proxy.set_faults(faults);

    assert!(wait_until(|| fleet.state_of(0, 4).as_deref()
        == Some("Dead")
        && fleet.state_of(4, 0).as_deref() == Some("Dead")));

    fleet.fault_proxy.set_faults(Faults::default());

    assert!(
        wait_until(|| fleet.has_converged(&ALL)),
        "the fleet did not converge after the partition"
    );
}

/// A manager that missed its SIGHUP reloads automatically. One whose configuration remains outdated
/// is shut out (not ready) after twice the grace period, and becomes ready again after its
/// configuration is updated.
#[test]
fn stragglers_reload_or_are_shut_out() {
    let fleet = converged_fleet("lag", 6);
    let (missed_signal, old_configuration) = (3, 4);

    for member in [0, 1, 2] {
        fleet.reconfigure(member, NEW_SHARES, Reload::Signal);
    }
    fleet.reconfigure(missed_signal, NEW_SHARES, Reload::Missed);

    assert!(
        wait_until(|| generation(&fleet, missed_signal, missed_signal) == Some(2)),
        "it did not reload: {}",
        fleet.log(missed_signal)
    );
    assert!(
        wait_until(|| fleet.readiness_status(old_configuration) == Some(503)),
        "not shut out: {}",
        fleet.log(old_configuration)
    );
    assert_eq!(fleet.readiness_status(missed_signal), Some(200));

    fleet.reconfigure(old_configuration, NEW_SHARES, Reload::Signal);

    assert!(
        wait_until(|| fleet.readiness_status(old_configuration) == Some(200)),
        "it is still not ready"
    );
}
