//! Daily operation of the daemon as it is shipped, between stand-ins on loopback.
use std::path::Path;
use yokelift::testkit::scenario;

fn play(text: &str) {
    let daemon = Path::new(env!("CARGO_BIN_EXE_yokelift"));
    if let Err(wrong) = scenario::play(daemon, text, &mut |_| {}) {
        panic!("{}", wrong.join("\n"));
    }
}

/// Guards readiness, the figures, and clients that are sent away: none is held, none loses a
/// request.
#[test]
fn a_drain_lets_clients_go_and_loses_nothing() {
    play(include_str!("../scenarios/drain.txt"));
}

/// Guards open requests against new rules, and new ones against old rules; and that a bad file
/// changes nothing.
#[test]
fn a_new_configuration_is_taken_whole_or_not_at_all() {
    play(include_str!("../scenarios/retune.txt"));
}

/// Guards each request through a change of versions: one answer, a load run once, no connection
/// lost.
#[test]
fn a_new_version_takes_over_and_nobody_notices() {
    play(include_str!("../scenarios/upgrade.txt"));
}

/// Guards the process that runs against a successor that dies before or after its yes: it serves
/// on, and another can follow.
#[test]
fn a_new_version_that_dies_leaves_the_old_one_serving() {
    play(
        "engine one platform\nconsole\nstart\nkeep client\nfollow\nkill newer\n\
        ask a on client lookup billing-desk 9000 SELECT 1\nexpect a served\n\
        ask b rpc lookup billing-desk 9000 SELECT 1\nexpect b served\n\
        follow\nretire\nretired\nkept client\nask c on client lookup billing-desk 9000 SELECT 1\n\
        expect c served\nterm\nended\ncounter open 0",
    );
}

/// Guards clients whose connection passed on before its old process was killed: what it had open
/// fails at once, the load is not run again, and the connection goes on.
#[test]
fn an_old_version_killed_halfway_fails_only_what_it_had_open() {
    play(
        "engine one platform\nconsole\nstart\nkeep client\n\
        ask hello on client lookup billing-desk 9000 SELECT 1\nexpect hello served\non one hang\n\
        ask load on client load billing-desk 9000 INSERT INTO ops_1.calls SELECT 1\nseen load\n\
        follow\nretire\nwait 600\nask a on client lookup billing-desk 9000 SELECT 1\nexpect a served\n\
        kill older\nexpect load failed\nruns load 1\nkept client\n\
        ask b on client lookup billing-desk 9000 SELECT 1\nexpect b served\nterm\nended\ncounter open 0",
    );
}

/// Guards a drain that operators began: it outlives the process that was told.
#[test]
fn a_drain_passes_to_the_new_version() {
    play(
        "engine one platform\nconsole\nstart\ncall POST /drain 200\nlaunch\ncall GET /ready 503\n\
        call POST /undrain 200\ncall GET /ready 200\nretire\nretired\n\
        ask a rpc lookup billing-desk 9000 SELECT 1\nexpect a served\nterm\nended",
    );
}

/// Guards operators against a crowd at their own door: callers that finish no call cost nobody an
/// answer.
#[test]
fn callers_that_finish_no_call_keep_nobody_out() {
    play(
        "engine one platform\nconsole\nstart\nmute crowd console 60\ncall GET /ready 200\n\
        call GET /metrics 200\nshut crowd\nterm\nended",
    );
}

/// Guards operators against a daemon that runs without the address that they were promised: it does
/// not start, and says why in one line.
#[test]
fn a_console_that_can_not_be_had_ends_the_start() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let known = serde_json::json!({"index": 0, "updates": []});
    let addr = |l: &std::net::TcpListener| l.local_addr().expect("an address");
    let config = yokelift::testkit::daemon::config(
        yokelift::testkit::daemon::free_addr(),
        addr(&taken),
        &known,
        64,
    );
    let folder = yokelift::testkit::daemon::Folder::new().expect("a folder");
    let path = folder
        .put("config.json", &config.to_string())
        .expect("a file");
    for console in [addr(&taken).to_string(), "nowhere".to_owned()] {
        let mut daemon = std::process::Command::new(env!("CARGO_BIN_EXE_yokelift"));
        daemon
            .env("PROXY_CONFIG", &path)
            .env("PROXY_CONSOLE", &console)
            .env("TMPDIR", folder.path(""));
        let ended = daemon.output().expect("its end");
        let said = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(
            !ended.status.success() && said.lines().count() == 1,
            "{said}"
        );
        assert!(
            said.contains("console") || said.contains("PROXY_CONSOLE"),
            "{said}"
        );
    }
}

/// Guards settings that change while something else does: twice in quick succession, in a drain,
/// and between two processes. What the last file says holds, and nothing else is disturbed.
#[test]
fn new_settings_come_at_any_moment() {
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
