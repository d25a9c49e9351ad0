//! Operation of the daemon as it is shipped, between stand-ins on loopback: drain, reload, hot
//! restart, admin endpoint.
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Output};
use yokelift::testkit::daemon::{self, Folder};
use yokelift::testkit::ports;
use yokelift::testkit::scenario;

/// Plays a scenario, and fails with each of its steps that did not turn out as written.
fn play(text: &str) {
    let daemon = Path::new(env!("CARGO_BIN_EXE_yokelift"));
    if let Err(failures) = scenario::run(daemon, text, &mut |_| {}) {
        panic!("{}", failures.join("\n"));
    }
}

/// Guards readiness, the metrics, and the clients of a draining process: none is kept, none loses a
/// request.
#[test]
fn a_drain_closes_idle_connections_and_loses_no_request() {
    play(include_str!("../scenarios/drain.txt"));
}

/// Guards open requests against new settings and new requests against old ones, and that an invalid
/// file changes nothing.
#[test]
fn a_reload_applies_all_of_a_configuration_or_none_of_it() {
    play(include_str!("../scenarios/retune.txt"));
}

/// Guards each request through a change of versions: one response, a load executed once, no
/// connection lost.
#[test]
fn a_hot_restart_keeps_every_connection_and_request() {
    play(include_str!("../scenarios/upgrade.txt"));
}

/// Guards the running process against a successor that dies before or after it serves: the
/// predecessor serves on, and another successor can follow.
#[test]
fn a_predecessor_serves_on_when_its_successor_dies() {
    play(
        "engine one platform\nconsole\nstart\nkeep client\nfollow\nkill newer\n\
        ask a on client lookup billing-desk 9000 SELECT 1\nexpect a served\n\
        ask b rpc lookup billing-desk 9000 SELECT 1\nexpect b served\n\
        follow\nretire\nretired\nkept client\nask c on client lookup billing-desk 9000 SELECT 1\n\
        expect c served\nterm\nended\ncounter open 0",
    );
}

/// Guards clients whose connections were transferred before the predecessor was killed: its open
/// requests fail at once, the load is not executed again, and the connections stay open.
#[test]
fn a_killed_predecessor_fails_only_its_open_requests() {
    play(
        "engine one platform\nconsole\nstart\nkeep client\n\
        ask hello on client lookup billing-desk 9000 SELECT 1\nexpect hello served\non one hang\n\
        ask load on client load billing-desk 9000 INSERT INTO ops_1.calls SELECT 1\nseen load\n\
        follow\nretire\nwait 600\nask a on client lookup billing-desk 9000 SELECT 1\nexpect a served\n\
        kill older\nexpect load failed\nruns load 1\nkept client\n\
        ask b on client lookup billing-desk 9000 SELECT 1\nexpect b served\nterm\nended\ncounter open 0",
    );
}

/// Guards a drain that operators began: it outlives the process that received the command.
#[test]
fn a_successor_inherits_the_drain() {
    play(
        "engine one platform\nconsole\nstart\ncall POST /drain 200\nlaunch\ncall GET /ready 503\n\
        call POST /undrain 200\ncall GET /ready 200\nretire\nretired\n\
        ask a rpc lookup billing-desk 9000 SELECT 1\nexpect a served\nterm\nended",
    );
}

/// Guards operators against many callers that never complete a request.
#[test]
fn incomplete_admin_calls_do_not_block_others() {
    play(
        "engine one platform\nconsole\nstart\nmute crowd console 60\ncall GET /ready 200\n\
        call GET /metrics 200\nshut crowd\nterm\nended",
    );
}

/// Starts the daemon with a valid configuration and this admin address, and waits for its end.
fn run_with_admin_address(admin_address: &str) -> Output {
    let folder = Folder::new().expect("a folder");
    let known_events = json!({"index": 0, "updates": []});
    let config = daemon::config(
        ports::reserve_addr(),
        ports::reserve_addr(),
        &known_events,
        64,
    );
    let config_path = folder
        .put("config.json", &config.to_string())
        .expect("a file");
    Command::new(env!("CARGO_BIN_EXE_yokelift"))
        .env("PROXY_CONFIG", &config_path)
        .env("PROXY_CONSOLE", admin_address)
        .env("TMPDIR", folder.path(""))
        .output()
        .expect("the daemon's end")
}

/// Guards operators against a daemon without the admin endpoint that they configured: it does not
/// start, and names the cause in one line.
#[test]
fn an_unusable_admin_address_fails_the_start() {
    let occupying = TcpListener::bind("127.0.0.1:0").expect("a port");
    let occupied: SocketAddr = occupying.local_addr().expect("an address");
    for admin_address in [occupied.to_string(), "nowhere".to_owned()] {
        let output = run_with_admin_address(&admin_address);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(
            stderr.contains("console") || stderr.contains("PROXY_CONSOLE"),
            "{stderr}"
        );
    }
}

/// Guards reloads at any time: twice in quick succession, during a drain, and between two processes.
/// The last file is in force, and nothing else is disturbed.
#[test]
fn a_reload_is_applied_during_a_drain_and_a_hot_restart() {
    play(
        "engine one platform\nconsole\nstart\ncall POST /drain 200\n\
        retune lookup:pure extra:pure attempts:2\nfigure reload_success 1\ncall GET /ready 503\n\
        call POST /undrain 200\nask a rpc extra billing-desk 9000 SELECT 1\nexpect a served\n\
        retune lookup:pure attempts:2\nretune lookup:pure other:pure attempts:3\nfigure replies.other.success 0\n\
        ask b rpc other billing-desk 9000 SELECT 1\nexpect b served\nfollow\n\
        retune lookup:pure third:pure attempts:3\nfigure replies.third.success 0\nretire\nretired\n\
        ask c rpc third billing-desk 9000 SELECT 1\nexpect c served\nterm\nended",
    );
}
