//! Scenarios that run the daemon binary between stand-in clients, engines, coordinator and
//! directory on loopback; each guards one rule.
use std::path::Path;
use std::process::Command;
use yokelift::testkit::daemon::{self, Folder};
use yokelift::testkit::ports;
use yokelift::testkit::scenario;

/// Runs a scenario, and panics with the failed step and the violated invariants.
fn run(text: &str) {
    let daemon = Path::new(env!("CARGO_BIN_EXE_yokelift"));
    if let Err(failures) = scenario::run(daemon, text, &mut |_| {}) {
        panic!("{}", failures.join("\n"));
    }
}

/// Runs a scenario for each engine protocol with each frontend: KIND is replaced by the protocol,
/// LOOKUP and LOAD by requests of the frontend.
fn run_with_each_protocol(text: &str) {
    for engine in ["platform", "clickhouse"] {
        for (lookup, load) in [
            (
                "rpc lookup billing-desk 9000 SELECT 1",
                "rpc load billing-desk 9000 INSERT INTO a_1.b SELECT 1",
            ),
            (
                "http anna secret 9 SELECT 1",
                "http anna secret 9 INSERT INTO a_1.b SELECT 1",
            ),
        ] {
            let text = text
                .replace("LOOKUP", lookup)
                .replace("LOAD", load)
                .replace("KIND", engine);
            run(&format!("user anna secret billing-desk\n{text}"));
        }
    }
}

#[test]
fn mixed_traffic_is_counted_once() {
    run(include_str!("../scenarios/mixed.txt"));
}

#[test]
fn each_engine_fault_has_a_defined_outcome() {
    run(include_str!("../scenarios/faults.txt"));
}

#[test]
fn idle_clients_a_reload_and_a_removed_engine_leave_no_request_open() {
    run(include_str!("../scenarios/service.txt"));
}

/// On engines of two machine types, attempts carry the idempotency key and the priority of their
/// request, and a load with a key changes data once even if it is retried or hedged.
#[test]
fn keyed_loads_are_retried_and_hedged_but_change_data_once() {
    run(include_str!("../scenarios/keyed.txt"));
}

/// Guards against a keyed load that runs twice on engines of the ClickHouse interface, which are
/// not sent the key: neither a retry, a hedged attempt nor a rejection may follow once it may have
/// run there. On an engine that is sent the key it is still retried.
#[test]
fn a_keyed_load_runs_once_on_engines_that_are_not_sent_its_key() {
    run("set /classes/2/semantics \"token\"
        set /classes/2/window_ns 20000000000
        set /limits/second_copies true
        engine one clickhouse
        engine two clickhouse
        engine three platform
        user anna secret billing-desk
        start
        drain three
        until lists 2
        on any reset
        ask lost keyed key-1 load billing-desk 9000 INSERT INTO sales_17.orders SELECT 1
        expect lost failed
        runs lost 1
        on any hang
        ask slow keyed key-2 load billing-desk 3000 INSERT INTO sales_17.orders SELECT 2
        expect slow deadline
        runs slow 1
        on any full
        ask full keyed key-3 load billing-desk 9000 INSERT INTO sales_17.orders SELECT 3
        expect full served
        runs full 2
        ready three
        drain one
        drain two
        until lists 5
        on three break
        ask known keyed key-4 load billing-desk 9000 INSERT INTO sales_17.orders SELECT 4
        expect known served
        runs known 2
        dropped known 1
        term
        ended
        counter open 0
        counter copies 0
        counter refused 0");
}

/// Guards against an idempotency key that is stored for a load that never ran: an engine at its
/// limit rejects a keyed load, the client receives the rejection, and a later request with the same
/// key runs.
#[test]
fn an_engine_at_its_limit_rejects_a_keyed_load_without_storing_its_key() {
    run("set /classes/2/semantics \"token\"
        set /classes/2/window_ns 1000000
        engine small platform std-8core 1
        start
        on small rows 300 1
        ask long rpc report billing-desk 9000 SELECT 1
        seen long
        ask load keyed key-1 load billing-desk 9000 INSERT INTO sales_17.orders SELECT 1
        expect load refused
        expect long served
        ask again keyed key-1 load billing-desk 9000 INSERT INTO sales_17.orders SELECT 1
        expect again served
        dropped load 0
        dropped again 0
        term
        ended");
}

/// If another program uses the port of a frontend, the start fails with one line that names the
/// address.
#[test]
fn an_occupied_port_of_a_frontend_fails_the_start() {
    let text = "user anna secret billing-desk\nengine one platform\noccupy\nstart";
    let daemon = Path::new(env!("CARGO_BIN_EXE_yokelift"));
    let failures = scenario::run(daemon, text, &mut |_| {}).expect_err("the start must fail");
    let failures = failures.join("\n");
    assert!(
        failures.contains("can't listen on 127.") && failures.contains("Address already in use"),
        "{failures}"
    );
}

/// Guards invariant 2: a load is not retried after an error, a reset, or an incomplete or malformed
/// response, because it may have begun to run.
#[test]
fn a_load_that_may_have_run_fails_without_a_retry() {
    for fault in ["break", "reset", "late", "garble"] {
        let text = "engine one KIND\nengine two KIND\nstart\non one FAULT\non two FAULT\n\
            ask a LOAD\nexpect a failed\nruns a 1\nterm\nended\ncounter taken 1\ncounter failed 1\ncounter open 0";
        run_with_each_protocol(&text.replace("FAULT", fault));
    }
}

/// An idempotent request is retried after the same faults.
#[test]
fn a_lookup_is_retried_after_a_fault() {
    for fault in ["break", "reset", "late", "garble", "full"] {
        let text = "engine one KIND\nstart\non one FAULT\nask a LOOKUP\nexpect a served\nruns a 2\n\
            term\nended\ncounter taken 1\ncounter served 1\ncounter attempts 2\ncounter open 0";
        run_with_each_protocol(&text.replace("FAULT", fault));
    }
}

/// An attempt that an engine rejects never ran, so even a load is retried; after the last rejected
/// attempt the load is rejected.
#[test]
fn a_rejected_load_is_retried() {
    run_with_each_protocol(
        "engine one KIND\nstart\non one full\nask a LOAD\nexpect a served\nruns a 2\n\
        on one full\non one full\non one full\nask b LOAD\nexpect b refused\nruns b 3\n\
        term\nended\ncounter taken 2\ncounter served 1\ncounter refused 1\ncounter open 0",
    );
}

/// When a client disconnects, the attempt of its request is cancelled.
#[test]
fn a_disconnect_cancels_the_attempt() {
    run_with_each_protocol(
        "engine one KIND\nstart\non one hang\nask a LOOKUP\nseen a\ndrop a\nover a\nruns a 1\n\
        ask b LOOKUP\nexpect b served\nterm\nended\ncounter taken 2\ncounter gone 1\ncounter served 1\ncounter open 0",
    );
}

#[test]
fn a_deadline_fails_the_request_and_cancels_its_attempt() {
    for engine in ["platform", "clickhouse"] {
        for request in [
            "rpc load billing-desk 1000 INSERT INTO a_1.b SELECT 1",
            "http anna secret 1 INSERT INTO a_1.b SELECT 1",
        ] {
            run(&format!(
                "user anna secret billing-desk\nengine one {engine}\nstart\non one hang\nask a {request}\n\
                expect a deadline\nover a\nruns a 1\nterm\nended\ncounter failed 1\ncounter open 0"
            ));
        }
    }
}

/// Guards invariant 3, also after the connection to the coordinator was closed.
#[test]
fn a_draining_engine_receives_no_new_attempts() {
    run_with_each_protocol(
        "engine one KIND\nengine two KIND\nstart\nask a LOOKUP\nexpect a served\n\
        cut\ndrain one\nuntil lists 2\nask b LOOKUP\nexpect b served\nask c LOAD\nexpect c served\n\
        ask d LOOKUP\nexpect d served\nready one\ndrain two\nuntil lists 4\nask e LOOKUP\nexpect e served\n\
        term\nended\ncounter served 5\ncounter open 0",
    );
}

/// Guards against termination by SIGHUP, and against event numbers that restart with the
/// coordinator's address: open requests continue, the next events are read from the new
/// coordinator, and an invalid file changes nothing.
#[test]
fn a_reload_migrates_the_coordinator_and_keeps_requests() {
    run_with_each_protocol(
        "engine one KIND\nengine two KIND\nstart\non one rows 400 3\non two rows 400 3\ndrain two\nuntil lists 2\n\
        ask a LOAD\nseen a\nmove\nuntil reloads 1\nspoil\nuntil reload-failures 1\nexpect a served\n\
        ready two\ndrain one\nuntil lists 4\nask b LOAD\nexpect b served\nruns b 1\n\
        move\nuntil reloads 2\nready one\nuntil lists 5\nterm\nended\ncounter served 2\ncounter open 0",
    );
}

/// Guards against hundreds of clients that connect and send nothing, or an incomplete message:
/// other clients are accepted at once, because the connections that have been idle longest are
/// closed. Incomplete messages time out within seconds, with an error if the protocol defines one.
#[test]
fn idle_clients_do_not_block_others() {
    run(
        "sockets 32\nengine one platform\nuser anna secret billing-desk\nstart\nstay some rpc 8\nstay more http 7\n\
        wait 200\nmute crowd rpc 150\nmute web http 150\n\
        ask a rpc lookup billing-desk 9000 SELECT 1\nexpect a served\nask b http anna secret 9 SELECT 1\nexpect b served\n\
        shut crowd\nshut web\nshut some\nshut more\nraw half rpc {\"jsonrpc\":\nexpect half rejected -32700\nraw line http POST / HT\n\
        expect line rejected 408\nraw body http POST / HTTP/1.1\\r\\nContent-Length: 9\\r\\n\\r\\nSELECT\n\
        expect body rejected 408\nmute few rpc 3\nshut few\nterm\nended\ncounter served 2\ncounter taken 2",
    );
}

/// Guards the rules on attempts and responses: a request id that is or was recently in use does not
/// start a second request.
#[test]
fn a_request_id_in_use_is_rejected() {
    let again = "rpc {\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"lookup\",\"params\":{\"id\":\"0000000000000001\",\
        \"wait\":5000,\"tenant\":\"billing-desk\",\"arg\":\"c2VsZWN0IDI=\"}}\\n";
    run(&format!(
        "engine one platform\nstart\non one rows 300 3\nask a rpc load billing-desk 9000 INSERT INTO a_1.b SELECT 1\n\
        seen a\nraw b {again}\nexpect b rejected -32602\nexpect a served\nraw c {again}\nexpect c rejected -32602\n\
        runs a 1\nterm\nended\ncounter taken 3\ncounter served 1\ncounter failed 2",
    ));
}

/// Guards loads against a second run under their id after their client has left.
#[test]
fn an_id_whose_client_has_left_is_not_admitted_again() {
    let again = "rpc {\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"load\",\"params\":{\"id\":\"0000000000000001\",\
        \"wait\":5000,\"tenant\":\"billing-desk\",\"arg\":\"aW5zZXJ0IGludG8gYV8xLmIgc2VsZWN0IDI=\"}}\\n";
    run(&format!(
        "engine one platform\nstart\non one rows 300 3\nask a rpc load billing-desk 9000 INSERT INTO a_1.b SELECT 1\n\
        seen a\ndrop a\nraw b {again}\nexpect b rejected -32602\nover a\nraw c {again}\nexpect c rejected -32602\n\
        runs a 1\nterm\nended\ncounter open 0",
    ));
}

/// Guards against waiting for an engine that no longer exists: soon after it is removed from the
/// endpoint list, its attempts fail.
#[test]
fn an_attempt_on_a_removed_engine_fails() {
    run_with_each_protocol(
        "engine one KIND\nengine two KIND\nstart\ndrain two\nuntil lists 2\non one hang\nask a LOAD\nseen a\n\
        gone one\nexpect a failed\nruns a 1\nready two\nuntil lists 4\nask b LOAD\nexpect b served\n\
        term\nended\ncounter failed 1\ncounter served 1\ncounter open 0",
    );
}

/// Guards against requests without a response when the process is killed: before that, the shutdown
/// rejects the open requests whose retry is harmless, and fails the others.
#[test]
fn a_shutdown_fails_requests_that_would_outlast_it() {
    for engine in ["platform", "clickhouse"] {
        run(&format!(
            "user anna secret billing-desk\nengine one {engine}\nstart\non one hang\non one hang\non one hang\non one hang\nask a rpc load billing-desk 20000 INSERT INTO a_1.b SELECT 1\n\
            seen a\nask b rpc report billing-desk 14000 SELECT 1\nseen b\nterm\nexpect a failed\nexpect b refused\n\
            ended\ncounter failed 1\ncounter refused 1\ncounter open 0"
        ));
    }
}

/// Guards loads against a malformed response to another request, which ends all attempts on its
/// connection.
#[test]
fn a_malformed_response_to_a_lookup_does_not_end_a_load() {
    run_with_each_protocol(
        "engine one KIND\nstart\non one rows 600 3\nask a LOAD\nseen a\non one garble\nask b LOOKUP\nexpect b served\n\
        runs b 2\nexpect a served\nruns a 1\nterm\nended\ncounter served 2\ncounter open 0",
    );
}

/// After a refused connection nothing can have run, so even a load is retried on another engine.
#[test]
fn a_refused_connection_is_retried_on_another_engine() {
    run_with_each_protocol(
        "engine one KIND\nengine two KIND\nstart\ndown one\nask a LOAD\nexpect a served\nask b LOAD\nexpect b served\n\
        ask c LOOKUP\nexpect c served\nask d LOOKUP\nexpect d served\nterm\nended\ncounter served 4\ncounter open 0",
    );
}

/// After SIGTERM, open requests and those that still arrive are completed.
#[test]
fn a_graceful_shutdown_completes_open_requests() {
    run_with_each_protocol(
        "engine one KIND\nstart\non one rows 2000 5\nask a LOAD\nseen a\nterm\nask b LOOKUP\nexpect b served\n\
        expect a served 5\nended\ncounter taken 2\ncounter served 2\ncounter open 0",
    );
}

/// Unknown users are rejected with 401, users without a tenant with 403.
#[test]
fn unknown_and_unauthorized_users_are_rejected() {
    run(
        "engine one platform\nuser anna secret billing-desk\nuser carl secret -\nstart\n\
        ask a http anna wrong 5 SELECT 1\nexpect a rejected 401\nask b http bert secret 5 SELECT 1\n\
        expect b rejected 401\nask c http carl secret 5 SELECT 1\nexpect c rejected 403\n\
        ask d http anna secret x SELECT 1\nexpect d rejected 400\nask e http anna secret 5 SELECT 1\n\
        expect e served\nterm\nended\ncounter taken 1\ncounter served 1",
    );
}

/// Users and the shares of tenants are read from the directory in pages, and again at each refresh.
#[test]
fn users_and_tenants_come_from_the_directory() {
    run(
        "engine one clickhouse\ntenant billing-desk 3\ntenant channel-desk 1\ntenant night-desk 1\n\
        person anna secret billing-desk\nperson bert secret channel-desk\nperson carl secret night-desk\n\
        person dora secret -\nstart\nask a http anna secret 5 SELECT 1\nexpect a served\n\
        ask b http carl secret 5 SELECT 1\nexpect b served\nask c http dora secret 5 SELECT 1\nexpect c rejected 403\n\
        ask d http emil secret 5 SELECT 1\nexpect d rejected 401\nperson emil secret night-desk\nuntil directory-readings +2\n\
        ask e http emil secret 5 SELECT 1\nexpect e served\nterm\nended\ncounter directory-failures 0",
    );
}

/// If the directory fails, the last snapshot remains in use and the failure is counted.
#[test]
fn a_failing_directory_keeps_the_last_snapshot() {
    run(
        "engine one platform\ntenant billing-desk 1\nperson anna secret billing-desk\nstart\n\
        ask a http anna secret 5 SELECT 1\nexpect a served\nbusy\nperson bert secret billing-desk\n\
        until directory-failures +2\nask b http anna secret 5 SELECT 1\nexpect b served\n\
        ask c http bert secret 5 SELECT 1\nexpect c rejected 401\nidle\nuntil directory-readings +1\n\
        ask d http bert secret 5 SELECT 1\nexpect d served\nterm\nended\ncounter served 3",
    );
}

/// If a client disconnects while it receives its response, only its connection ends.
#[test]
fn a_disconnect_during_a_response_ends_only_its_connection() {
    run_with_each_protocol(
        "engine one KIND\nstart\non one rows 100 200\nask a LOOKUP\nleave a\nexpect a cut\nruns a 1\n\
        ask b LOOKUP\nexpect b served\nterm\nended\ncounter taken 2\ncounter served 2\ncounter open 0",
    );
}

/// Malformed lines of the platform's protocol, and the error codes of their responses.
const MALFORMED_RPC_LINES: [(&str, &str); 7] = [
    ("{]", "-32700"),
    ("[]", "-32600"),
    (
        r#"{"jsonrpc":"2.0","id":1,"method":"lookup","params":[1]}"#,
        "-32602",
    ),
    (
        r#"{"jsonrpc":"2.0","id":1,"method":"nothing","params":{}}"#,
        "-32601",
    ),
    (r#"{"jsonrpc":"1.0","id":1,"method":"status"}"#, "-32600"),
    (
        r#"{"jsonrpc":"2.0","id":-1,"method":"lookup","params":{}}"#,
        "-32600",
    ),
    (
        r#"{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"id":"xyz","wait":5,"tenant":"billing-desk","arg":""}}"#,
        "-32602",
    ),
];

/// Malformed requests to the ClickHouse frontend, and the HTTP statuses of their responses.
const MALFORMED_HTTP_REQUESTS: [(&str, &str); 11] = [
    ("BREW / HTTP/1.1\\r\\n\\r\\n", "405"),
    ("GET /none HTTP/1.1\\r\\n\\r\\n", "404"),
    ("hello\\r\\n\\r\\n", "400"),
    ("GET /?query=%zz HTTP/1.1\\r\\n\\r\\n", "400"),
    (
        "POST / HTTP/1.1\\r\\nContent-Length: 1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n",
        "400",
    ),
    (
        "POST / HTTP/1.1\\r\\nContent-Length: 999999999\\r\\n\\r\\nabc",
        "413",
    ),
    (
        "POST / HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n",
        "400",
    ),
    (
        "POST / HTTP/1.1\\r\\nAuthorization: Basic !!\\r\\nContent-Length: 1\\r\\n\\r\\nx",
        "401",
    ),
    (
        "GET /?user=anna&password=secret&query=INSERT+INTO+x HTTP/1.1\\r\\n\\r\\n",
        "405",
    ),
    (
        "GET /?user=anna&password=secret&query=SELECT&default_format=Parquet HTTP/1.1\\r\\n\\r\\n",
        "400",
    ),
    (
        "GET /?user=anna&password=secret&query=SELECT&database=other HTTP/1.1\\r\\n\\r\\n",
        "400",
    ),
];

/// Malformed input ends the request or the connection, but not the process.
#[test]
fn malformed_input_is_rejected_and_valid_requests_complete() {
    let mut text = "engine one platform\nuser anna secret billing-desk\nstart\n".to_owned();
    for (index, (line, code)) in MALFORMED_RPC_LINES.iter().enumerate() {
        text += &format!("raw l{index} rpc {line}\\n\nexpect l{index} rejected {code}\n");
    }
    for (index, (request, status)) in MALFORMED_HTTP_REQUESTS.iter().enumerate() {
        text += &format!("raw h{index} http {request}\nexpect h{index} rejected {status}\n");
    }
    let long_line = "x".repeat(300_000);
    text += &format!("raw long rpc {long_line}\nexpect long rejected -32600\n");
    text += "ask a rpc lookup billing-desk 5000 SELECT 1\nexpect a served\n\
        ask b http anna secret 5 SELECT 1\nexpect b served\n\
        term\nended\ncounter taken 2\ncounter served 2\ncounter open 0";
    run(&text);
}

/// A request with a database is accepted only while every ready engine supports databases.
#[test]
fn a_database_is_accepted_only_if_all_engines_support_it() {
    let raw_request = |name: &str| {
        let query = format!("SELECT+1+%2F*+{name}+*%2F");
        format!(
            "raw {name} http GET /?user=anna&password=secret&database=ops_1&query={query} HTTP/1.1\\r\\n\\r\\n\n"
        )
    };
    run(&format!(
        "engine web clickhouse\nengine lines platform\nuser anna secret billing-desk\nstart\n{}expect a rejected 400\n\
        drain lines\nuntil lists 2\n{}expect b served\nterm\nended\ncounter taken 1\ncounter served 1",
        raw_request("a"),
        raw_request("b")
    ));
}

/// Runs a program and asserts that it fails and writes one line that contains `hint` to stderr.
fn assert_fails_with_one_line(program: &mut Command, hint: &str) {
    let output = program.output().expect("run the program");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(stderr.contains(hint), "{stderr}");
}

/// With an invalid configuration the start fails with one line that names the file.
#[test]
fn an_invalid_configuration_fails_with_one_line() {
    let folder = Folder::new().expect("create a folder");
    let known_events = serde_json::json!({"index": 1, "updates": []});
    let valid = daemon::config(
        ports::reserve_addr(),
        ports::reserve_addr(),
        &known_events,
        64,
    );
    let without = |key: &str| {
        let mut config = valid.clone();
        config
            .as_object_mut()
            .expect("the configuration is an object")
            .remove(key);
        config.to_string()
    };
    let texts = [
        "{".to_owned(),
        without("listen"),
        without("settings"),
        without("known"),
    ];
    for (index, text) in texts.iter().enumerate() {
        let path = folder
            .put(&format!("{index}.json"), text)
            .expect("write the file");
        let mut yokelift = Command::new(env!("CARGO_BIN_EXE_yokelift"));
        assert_fails_with_one_line(yokelift.env("PROXY_CONFIG", path), ".json");
    }
}

/// The check of an invalid deploy file fails with one line that names the cause.
#[test]
fn an_invalid_deploy_file_fails_with_one_line() {
    let folder = Folder::new().expect("create a folder");
    let without_users = "listen = \"127.0.0.1:0\"\nusual_class = \"lookup\"\n";
    let cases = [
        (format!("{without_users}surprise = 1\n"), "surprise"),
        (without_users.to_owned(), "no client could be authenticated"),
        (
            format!("{without_users}[[user]]\nname = \"a\"\n[[engine]]\nid = \"x\"\n"),
            "8 hex digits",
        ),
    ];
    for (index, (text, hint)) in cases.iter().enumerate() {
        let path = folder
            .put(&format!("{index}.toml"), text)
            .expect("write the file");
        let mut testkit = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"));
        assert_fails_with_one_line(testkit.arg("check").arg(path), hint);
    }
}
