//! Measurements of one daemon at sizes that any machine has the capacity for. The tests check
//! counts and bounds, but no speeds.
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::future::pending;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;
use yokelift::testkit::scale::capacity_check::Resources;
use yokelift::testkit::scale::daemons::{Measurement, daemon_descriptors, measure};
use yokelift::testkit::scale::report::Report;
use yokelift::testkit::scale::{MeasurementPoint, Options, Progress, grid, proc};

fn options(window_ms: u64) -> Options {
    Options {
        daemon: Path::new(env!("CARGO_BIN_EXE_yokelift")).into(),
        managers: 2,
        settle: Duration::from_millis(200),
        settle_busy: Duration::from_millis(200),
        window: Duration::from_millis(window_ms),
    }
}

fn measure_point(
    point: MeasurementPoint,
    window_ms: u64,
    progress: &mut dyn FnMut(&Progress),
) -> Result<Measurement, String> {
    measure(
        &point,
        &options(window_ms),
        daemon_descriptors(&[point]),
        pending(),
        progress,
    )
}

fn send_signal(pid: u32, signal: Signal) {
    kill_process(Pid::from_raw(pid as i32).expect("a process"), signal).expect("signalled");
}

/// Asserts that the daemon's metrics agree with the counts of its stand-ins.
fn assert_consistent(m: &Measurement, engines: u64) {
    assert_eq!(
        (m.engines, m.targets, m.clients),
        (engines, engines, 8),
        "{m:?}"
    );
    assert!(m.begun > 0 && m.begun == m.dispatches, "{m:?}");
    assert!(m.served > 0 && (m.refused, m.failed) == (0, 0), "{m:?}");
    assert!(
        m.client_connections > m.clients && m.engine_connections <= m.connects,
        "{m:?}"
    );
    assert_eq!(
        m.descriptors,
        m.fixed_descriptors + m.client_connections + m.engine_connections,
        "{m:?}"
    );
    assert!(
        (1..=m.engines_reached).contains(&m.engines_used) && m.engines_reached <= engines,
        "{m:?}"
    );
    assert!(
        m.rss_kib >= m.anon_kib && m.anon_kib > 0 && m.cpu_us_per_s > 0.0,
        "{m:?}"
    );
    assert!(
        m.change_us.is_some() && m.start_cpu_us > 0.0 && m.switches_per_s > 0.0,
        "{m:?}"
    );
}

/// Guards against wrong measurements: the daemon and the stand-ins count the same, and no daemon
/// runs after its measurement.
#[test]
fn the_daemon_and_its_stand_ins_count_the_same() {
    let mut run = Vec::new();
    for engines in [12, 24] {
        let mut pid = 0;
        let point = MeasurementPoint::new(engines, 8, 20.0);
        let measured = measure_point(point, 1_000, &mut |progress| pid = progress.pid);
        let measured = measured.expect("measured");
        assert_consistent(&measured, engines);
        assert!(pid > 0 && !proc::is_running(pid));
        run.push(measured);
    }
    let report = Report::new(vec![run.clone(), run]);
    let text = report.markdown();
    let json = report.json().expect("JSON");
    assert!(text.contains("| 24 ") && text.contains(" to "), "{text}");
    assert_eq!(json.matches("\"dispatches\":").count(), 4);
}

/// Guards against a report that omits measurements: with only one number of engines, the series of
/// clients and statements were missing.
#[test]
fn a_report_on_one_number_of_engines_has_the_series_of_clients_and_statements() {
    let point = |clients: u64, rate: f64| Measurement {
        engines: 12,
        clients,
        rate,
        sent_per_s: rate,
        rss_kib: 8_000 + clients,
        ..Measurement::default()
    };
    let run = vec![
        point(0, 0.0),
        point(100, 0.0),
        point(200, 0.0),
        point(0, 50.0),
        point(0, 100.0),
    ];

    let text = Report::new(vec![run]).markdown();

    for series in ["client, idle", "statement a second, few engines"] {
        assert!(text.contains(series), "{series}: {text}");
    }
    assert!(!text.contains("statement a second, all engines"), "{text}");
}

/// Guards against plausible results from a daemon that ended before its measurement did.
#[test]
fn a_daemon_that_is_killed_fails_the_measurement() {
    let mut pid = 0;
    let mut killed = false;
    let kill_in_window = &mut |progress: &Progress| {
        pid = progress.pid;
        if progress.step == "measuring the window" && !killed {
            killed = true;
            send_signal(pid, Signal::KILL);
        }
    };
    let error = measure_point(MeasurementPoint::new(3, 2, 0.0), 60_000, kill_in_window)
        .expect_err("it was killed");
    assert!(
        error.contains("the daemon exited before the end of the measurement")
            && error.contains("measuring the window"),
        "{error}"
    );
    assert!(killed && !proc::is_running(pid));
}

/// Returns the daemon's pid from a progress line.
fn daemon_pid(line: &str) -> Option<u32> {
    let (_, rest) = line.split_once("daemon ")?;
    rest.split(':').next()?.parse().ok()
}

/// Runs `scale` with a window of one minute, which `limit` ends, or `signal` once the daemon runs.
/// Asserts that it fails with `reason` and that its daemon has ended.
fn assert_ends_early(limit: &str, signal: Option<Signal>, reason: &str) {
    let mut testkit = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"))
        .args(["scale", "--point", "3:2:0", "--seconds", "60"])
        .args(["--limit", limit])
        .args(["--daemon", env!("CARGO_BIN_EXE_yokelift")])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the test kit");
    let mut daemon = None;
    let mut last_line = String::new();
    for line in BufReader::new(testkit.stderr.take().expect("its stderr")).lines() {
        last_line = line.expect("text");
        if daemon.is_some() {
            continue;
        }
        daemon = daemon_pid(&last_line);
        if let Some(pid) = daemon {
            assert!(proc::is_running(pid));
            if let Some(signal) = signal {
                send_signal(testkit.id(), signal);
            }
        }
    }
    let output = testkit.wait_with_output().expect("its end");
    assert!(!output.status.success() && output.stdout.is_empty());
    assert!(last_line.contains(reason), "{last_line}");
    assert!(!proc::is_running(daemon.expect("a daemon")));
}

/// Guards against a daemon that keeps running after the test kit ended early.
#[test]
fn a_signal_ends_the_measurement_and_its_daemon() {
    assert_ends_early("600", Some(Signal::TERM), "ended by Term");
}

/// Guards against a daemon that keeps running after the test kit ended early.
#[test]
fn the_time_limit_ends_the_measurement_and_its_daemon() {
    assert_ends_early("6", None, "the time limit was reached");
}

/// Guards long measurements against descriptors that stay open after a point, and the JSON output
/// that other programs read.
#[test]
fn a_run_leaves_no_descriptors_open() {
    let output = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"))
        .args(["scale", "--json", "--plays", "3", "--point", "24:8:20"])
        .args(["--seconds", "0.5", "--settle", "0.5", "--managers", "2"])
        .args(["--daemon", env!("CARGO_BIN_EXE_yokelift")])
        .output()
        .expect("the test kit");
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let runs = report["plays"].as_array().expect("runs");
    let descriptors: Vec<u64> = runs
        .iter()
        .map(|run| run[0]["stand_ins_descriptors"].as_u64().expect("a count"))
        .collect();
    assert!(
        output.status.success() && descriptors.len() == 3 && descriptors[0] > 0,
        "{report}"
    );
    assert!(
        descriptors.iter().all(|count| *count == descriptors[0]),
        "{descriptors:?}"
    );
}

/// Asserts that the error names the requirements, then the available resources, each value in
/// order.
fn assert_names_both(error: &str, required: &Resources, available: &Resources) {
    let values = |resources: &Resources| {
        [
            resources.own_descriptors,
            resources.daemon_descriptors,
            resources.memory_mib,
        ]
        .map(|value| value.to_string())
    };
    let mut rest = error;
    for value in values(required).iter().chain(&values(available)) {
        let found = rest.split_once(value.as_str());
        rest = found.unwrap_or_else(|| panic!("{value} in {error}")).1;
    }
}

/// Guards the machine against overload: a point that it lacks the capacity for is rejected before
/// it starts, and the smaller size that the error names as fitting does fit.
#[test]
fn a_point_without_capacity_is_rejected_with_one_that_fits() {
    let point = MeasurementPoint::new(910, 2_600, 0.0);
    let options = options(1_000);
    let required = Resources::required_by(&point, daemon_descriptors(&[point]), &options);
    assert_eq!(required.check(&[point], &options), Ok(()));
    for available in [
        Resources {
            own_descriptors: required.own_descriptors - 1,
            ..required
        },
        Resources {
            daemon_descriptors: required.daemon_descriptors / 2,
            ..required
        },
        Resources {
            memory_mib: 300,
            ..required
        },
        Resources {
            own_descriptors: 100,
            ..required
        },
    ] {
        let error = available
            .check(&[MeasurementPoint::new(1, 0, 0.0), point], &options)
            .expect_err("no capacity")
            .to_string();
        assert_names_both(&error, &required, &available);
        match available.largest_fitting(&point, &options) {
            Some(fitting) => {
                let MeasurementPoint {
                    engines, clients, ..
                } = fitting;
                let advice = format!("{engines} engines with {clients} clients would");
                assert!(error.contains(&advice), "{error}");
                assert_eq!(available.check(&[fitting], &options), Ok(()));
            }
            None => assert!(error.contains("nothing fits"), "{error}"),
        }
    }
    let too_few = Resources {
        own_descriptors: 10,
        ..required
    };
    assert_eq!(too_few.largest_fitting(&point, &options), None);
}

#[test]
fn a_longer_window_with_statements_requires_more_memory() {
    let point = MeasurementPoint::new(10, 0, 600.0);
    let memory_mib =
        |window_ms| Resources::required_by(&point, 256, &options(window_ms)).memory_mib;
    assert!(memory_mib(60_000) > memory_mib(1_000) + 59);
}

#[test]
fn points_are_parsed_and_checked() {
    assert_eq!(
        "910:2600:609.5".parse(),
        Ok(MeasurementPoint::new(910, 2_600, 609.5))
    );
    for invalid in [
        "", "1:2", "1:2:3:4", "0:1:1", "1:-1:1", "1:1:-1", "1:1:NaN", "1:1:inf",
    ] {
        assert!(invalid.parse::<MeasurementPoint>().is_err(), "{invalid}");
    }
    assert!(grid(false).contains(&MeasurementPoint::new(910, 2_600, 0.0)));
    assert!(grid(true).len() < grid(false).len());
}

#[test]
fn files_under_proc_are_parsed() {
    let stat = "71 (a) b) S 1 2 3 4 5 6 7 8 9 10 250 34 0 0 20 0";
    assert_eq!(proc::stat(stat), Some(('S', 284)));
    let status = "VmRSS:\t  1234 kB\nRssAnon:\t 56 kB\n";
    assert_eq!(proc::field(status, "RssAnon"), Some(56));
    assert!(proc::usage(u32::MAX).is_err() && proc::usage(std::process::id()).is_ok());
}
