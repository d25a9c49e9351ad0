//! The scale rig on sizes that any machine has room for: counts and bounds, no speeds.
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::future::pending;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;
use yokelift::testkit::scale::capacity_check::Room;
use yokelift::testkit::scale::daemons::{Measured, measure, sockets};
use yokelift::testkit::scale::report::Report;
use yokelift::testkit::scale::{Options, Point, Progress, grid, proc};

fn options(window_ms: u64) -> Options {
    Options {
        daemon: Path::new(env!("CARGO_BIN_EXE_yokelift")).into(),
        managers: 2,
        settle: Duration::from_millis(200),
        settle_busy: Duration::from_millis(200),
        window: Duration::from_millis(window_ms),
    }
}

fn run(
    point: Point,
    window_ms: u64,
    progress: &mut dyn FnMut(&Progress),
) -> Result<Measured, String> {
    measure(
        &point,
        &options(window_ms),
        sockets(&[point]),
        pending(),
        progress,
    )
}

fn signal(pid: u32, signal: Signal) {
    kill_process(Pid::from_raw(pid as i32).expect("a process"), signal).expect("signalled");
}

/// Guards the figures against a rig that counts past the daemon: both ends tell the same, and
/// nothing is left behind.
#[test]
fn both_ends_tell_the_same_counts() {
    let mut plays = Vec::new();
    for engines in [12, 24] {
        let mut pid = 0;
        let m = run(Point::new(engines, 8, 20.0), 1_000, &mut |p| pid = p.pid).expect("measured");
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
        assert!(pid > 0 && !proc::runs(pid));
        plays.push(m);
    }
    let report = Report::new(vec![plays.clone(), plays]);
    let (text, json) = (report.markdown(), report.json().expect("JSON"));
    assert!(text.contains("| 24 ") && text.contains(" to "), "{text}");
    assert_eq!(json.matches("\"dispatches\":").count(), 4);
}

/// Guards against good figures of a daemon that was not there to the end.
#[test]
fn a_daemon_that_dies_is_an_error() {
    let (mut pid, mut killed) = (0, false);
    let kill = &mut |p: &Progress| {
        pid = p.pid;
        if p.doing == "the window" && !killed {
            killed = true;
            signal(pid, Signal::KILL);
        }
    };
    let why = run(Point::new(3, 2, 0.0), 60_000, kill).expect_err("it was killed");
    assert!(
        why.contains("the daemon ended by itself") && why.contains("the window"),
        "{why}"
    );
    assert!(killed && !proc::runs(pid));
}

/// Guards the machine: whatever ends the program takes the daemon along.
#[test]
fn a_signal_and_the_time_limit_end_everything() {
    for (limit, told) in [("600", true), ("6", false)] {
        let words = [
            "scale",
            "--point",
            "3:2:0",
            "--seconds",
            "60",
            "--limit",
            limit,
        ];
        let mut kit = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"));
        let mut kit = kit
            .args(words)
            .arg("--daemon")
            .arg(env!("CARGO_BIN_EXE_yokelift"))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the kit");
        let (mut pid, mut last) = (0, String::new());
        for line in BufReader::new(kit.stderr.take().expect("its words")).lines() {
            last = line.expect("text");
            let daemon = last
                .split("daemon ")
                .nth(1)
                .and_then(|rest| rest.split(':').next()?.parse().ok());
            if let (0, Some(daemon)) = (pid, daemon) {
                pid = daemon;
                assert!(proc::runs(pid));
                if told {
                    signal(kit.id(), Signal::TERM);
                }
            }
        }
        let end = kit.wait_with_output().expect("its end");
        assert!(!end.status.success() && end.stdout.is_empty());
        assert!(
            last.contains(if told {
                "ended by Term"
            } else {
                "the time limit was reached"
            }),
            "{last}"
        );
        assert!(pid > 0 && !proc::runs(pid));
    }
}

/// Guards long runs against descriptors that points leave behind, and the form that other programs
/// read.
#[test]
fn one_play_leaves_nothing_to_the_next() {
    let words = [
        "--point",
        "24:8:20",
        "--seconds",
        "0.5",
        "--settle",
        "0.5",
        "--managers",
        "2",
    ];
    let kit = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"))
        .args(["scale", "--json", "--plays", "3"])
        .args(words)
        .args(["--daemon", env!("CARGO_BIN_EXE_yokelift")])
        .output()
        .expect("the kit");
    let report: Value = serde_json::from_slice(&kit.stdout).expect("JSON");
    let own = |play: &Value| play[0]["stand_ins_descriptors"].as_u64().expect("a count");
    let own: Vec<u64> = report["plays"]
        .as_array()
        .expect("plays")
        .iter()
        .map(own)
        .collect();
    assert!(
        kit.status.success() && own.len() == 3 && own[0] > 0,
        "{report}"
    );
    assert!(own.iter().all(|n| *n == own[0]), "{own:?}");
}

/// Guards the machine's limits: what has no room is not begun, and what is said to fit does.
#[test]
fn a_size_that_does_not_fit_is_refused_with_both_figures() {
    let point = Point::new(910, 2_600, 0.0);
    let options = options(1_000);
    let need = Room::of(&point, sockets(&[point]), &options);
    let enough = need;
    assert_eq!(enough.check(&[point], &options), Ok(()));
    let less = |change: fn(&mut Room)| {
        let mut room = enough;
        change(&mut room);
        room
    };
    for room in [
        less(|r| r.own_descriptors -= 1),
        less(|r| r.daemon_descriptors /= 2),
        less(|r| r.memory_mib = 300),
        less(|r| r.own_descriptors = 100),
    ] {
        let why = room
            .check(&[Point::new(1, 0, 0.0), point], &options)
            .expect_err("no room");
        let shown = |r: &Room| {
            [r.own_descriptors, r.daemon_descriptors, r.memory_mib].map(|n| n.to_string())
        };
        let mut rest = why.as_str();
        for figure in shown(&need).iter().chain(&shown(&room)) {
            rest = rest
                .split_once(figure.as_str())
                .unwrap_or_else(|| panic!("{figure} in {why}"))
                .1;
        }
        match room.nearest(&point, &options) {
            Some(fits) => {
                assert!(why.contains(&format!(
                    "{} engines with {} clients would",
                    fits.engines, fits.clients
                )));
                assert_eq!(room.check(&[fits], &options), Ok(()));
            }
            None => assert!(why.contains("nothing fits"), "{why}"),
        }
    }
    // A minute of statements takes more room than a second of them.
    let busy = |ms| Room::of(&Point::new(10, 0, 600.0), 256, &self::options(ms)).memory_mib;
    assert!(busy(60_000) > busy(1_000) + 59);
    let none = Room {
        own_descriptors: 10,
        ..enough
    };
    assert_eq!(none.nearest(&point, &options), None);
}

/// Guards the words of points and of `/proc`.
#[test]
fn points_and_proc_are_read() {
    assert_eq!("910:2600:609.5".parse(), Ok(Point::new(910, 2_600, 609.5)));
    for wrong in [
        "", "1:2", "1:2:3:4", "0:1:1", "1:-1:1", "1:1:-1", "1:1:NaN", "1:1:inf",
    ] {
        assert!(wrong.parse::<Point>().is_err(), "{wrong}");
    }
    assert!(
        grid(false).contains(&Point::new(910, 2_600, 0.0)) && grid(true).len() < grid(false).len()
    );
    let text = "71 (a) b) S 1 2 3 4 5 6 7 8 9 10 250 34 0 0 20 0";
    assert_eq!(proc::stat(text), Some(('S', 284)));
    assert_eq!(
        proc::field("VmRSS:\t  1234 kB\nRssAnon:\t 56 kB\n", "RssAnon"),
        Some(56)
    );
    assert!(proc::usage(u32::MAX).is_err() && proc::usage(std::process::id()).is_ok());
}
