//! The daemon as it is shipped, between stand-ins on loopback: one script a rule.
use std::path::Path;
use yokelift::testkit::scenario;

fn play(text: &str) {
    let daemon = Path::new(env!("CARGO_BIN_EXE_yokelift"));
    if let Err(wrong) = scenario::play(daemon, text, &mut |_| {}) {
        panic!("{}", wrong.join("\n"));
    }
}

/// The same scenario on each kind of engine, asked by each front.
fn on_both(text: &str) {
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
            play(&format!("user anna secret billing-desk\n{text}"));
        }
    }
}

#[test]
fn mixed_traffic_has_one_accounting() {
    play(include_str!("../scenarios/mixed.txt"));
}

#[test]
fn what_engines_can_do_to_a_query() {
    play(include_str!("../scenarios/faults.txt"));
}

#[test]
fn what_the_days_of_service_bring() {
    play(include_str!("../scenarios/service.txt"));
}

/// Guards the verdict of all that is rehearsed: a port that was free may be taken before the daemon
/// has it. A deployment whose loads carry keys: scenarios/keyed.txt.
#[test]
fn keyed_loads_priorities_and_copies() {
    play(include_str!("../scenarios/keyed.txt"));
}

/// Guards an engine of a small model: what it turns away never ran, so its refusal is honest and
/// its key still unknown.
#[test]
fn an_engine_that_is_full_turns_a_keyed_load_away_unseen() {
    play(
        "set /classes/2/semantics \"token\"
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
        ended",
    );
}

#[test]
fn a_port_that_is_taken_meanwhile_is_no_fault_of_the_daemon() {
    play(
        "user anna secret billing-desk\nengine one platform\noccupy\nstart\nask a http anna secret 9 SELECT 1\n\
        expect a served\nterm\nended\ncounter served 1\ncounter open 0",
    );
}

/// Guards rule 2: an error, a reset or half an answer may come after the load began.
#[test]
fn a_load_that_may_have_run_fails_and_is_not_sent_again() {
    for fault in ["break", "reset", "late", "garble"] {
        let text = "engine one KIND\nengine two KIND\nstart\non one FAULT\non two FAULT\n\
            ask a LOAD\nexpect a failed\nruns a 1\nterm\nended\ncounter taken 1\ncounter failed 1\ncounter open 0";
        on_both(&text.replace("FAULT", fault));
    }
}

/// The same ends do not keep what is safe from a further attempt.
#[test]
fn a_lookup_is_sent_again_after_a_fault() {
    for fault in ["break", "reset", "late", "garble", "full"] {
        let text = "engine one KIND\nstart\non one FAULT\nask a LOOKUP\nexpect a served\nruns a 2\n\
            term\nended\ncounter taken 1\ncounter served 1\ncounter attempts 2\ncounter open 0";
        on_both(&text.replace("FAULT", fault));
    }
}

/// Turned away means that it never ran: a load goes out again, and in the end it may be refused.
#[test]
fn a_load_that_was_turned_away_may_go_out_again() {
    on_both(
        "engine one KIND\nstart\non one full\nask a LOAD\nexpect a served\nruns a 2\n\
        on one full\non one full\non one full\nask b LOAD\nexpect b refused\nruns b 3\n\
        term\nended\ncounter taken 2\ncounter served 1\ncounter refused 1\ncounter open 0",
    );
}

/// A client that hangs up or runs out of time takes its attempt with it.
#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    on_both(
        "engine one KIND\nstart\non one hang\nask a LOOKUP\nseen a\ndrop a\nover a\nruns a 1\n\
        ask b LOOKUP\nexpect b served\nterm\nended\ncounter taken 2\ncounter gone 1\ncounter served 1\ncounter open 0",
    );
}

#[test]
fn a_deadline_ends_a_query_and_its_attempt() {
    for engine in ["platform", "clickhouse"] {
        for ask in [
            "rpc load billing-desk 1000 INSERT INTO a_1.b SELECT 1",
            "http anna secret 1 INSERT INTO a_1.b SELECT 1",
        ] {
            play(&format!(
                "user anna secret billing-desk\nengine one {engine}\nstart\non one hang\nask a {ask}\n\
                expect a deadline\nover a\nruns a 1\nterm\nended\ncounter failed 1\ncounter open 0"
            ));
        }
    }
}

/// Guards rule 3, also across a break of the coordinator's connection.
#[test]
fn nothing_new_goes_to_an_engine_that_drains() {
    on_both(
        "engine one KIND\nengine two KIND\nstart\nask a LOOKUP\nexpect a served\n\
        cut\ndrain one\nuntil lists 2\nask b LOOKUP\nexpect b served\nask c LOAD\nexpect c served\n\
        ask d LOOKUP\nexpect d served\nready one\ndrain two\nuntil lists 4\nask e LOOKUP\nexpect e served\n\
        term\nended\ncounter served 5\ncounter open 0",
    );
}

/// Guards against an end by SIGHUP, and against numbers that start anew with the coordinator's
/// address: what was open goes on, the next events come from the new one, and a file that can't be
/// used changes nothing.
#[test]
fn a_new_configuration_moves_the_coordinator_and_keeps_requests() {
    on_both(
        "engine one KIND\nengine two KIND\nstart\non one rows 400 3\non two rows 400 3\ndrain two\nuntil lists 2\n\
        ask a LOAD\nseen a\nmove\nuntil reloads 1\nspoil\nuntil reload-failures 1\nexpect a served\n\
        ready two\ndrain one\nuntil lists 4\nask b LOAD\nexpect b served\nruns b 1\n\
        move\nuntil reloads 2\nready one\nuntil lists 5\nterm\nended\ncounter served 2\ncounter open 0",
    );
}

/// Guards against clients that connect by the hundred and say nothing, or half of something: the
/// usual ones get in at once, since the idlest are shed, and the others are let go in seconds, with
/// a word where there is one.
#[test]
fn clients_that_say_nothing_keep_nobody_out() {
    play(
        "sockets 32\nengine one platform\nuser anna secret billing-desk\nstart\nstay some rpc 8\nstay more http 7\n\
        wait 200\nmute crowd rpc 150\nmute web http 150\n\
        ask a rpc lookup billing-desk 9000 SELECT 1\nexpect a served\nask b http anna secret 9 SELECT 1\nexpect b served\n\
        shut crowd\nshut web\nshut some\nshut more\nraw half rpc {\"jsonrpc\":\nexpect half rejected -32700\nraw line http POST / HT\n\
        expect line rejected 408\nraw body http POST / HTTP/1.1\\r\\nContent-Length: 9\\r\\n\\r\\nSELECT\n\
        expect body rejected 408\nmute few rpc 3\nshut few\nterm\nended\ncounter served 2\ncounter taken 2",
    );
}

/// Guards the rules on attempts and answers: a name that is in use, or was a moment ago, is no
/// second request.
#[test]
fn the_name_of_another_request_is_turned_away() {
    let again = "rpc {\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"lookup\",\"params\":{\"id\":\"0000000000000001\",\
        \"wait\":5000,\"tenant\":\"billing-desk\",\"arg\":\"c2VsZWN0IDI=\"}}\\n";
    play(&format!(
        "engine one platform\nstart\non one rows 300 3\nask a rpc load billing-desk 9000 INSERT INTO a_1.b SELECT 1\n\
        seen a\nraw b {again}\nexpect b rejected -32602\nexpect a served\nraw c {again}\nexpect c rejected -32602\n\
        runs a 1\nterm\nended\ncounter taken 3\ncounter served 1\ncounter failed 2",
    ));
}

/// Guards against waiting for an engine that vanished without a word: what the list says to be gone
/// ends soon.
#[test]
fn what_is_out_on_an_engine_that_is_gone_ends() {
    on_both(
        "engine one KIND\nengine two KIND\nstart\ndrain two\nuntil lists 2\non one hang\nask a LOAD\nseen a\n\
        gone one\nexpect a failed\nruns a 1\nready two\nuntil lists 4\nask b LOAD\nexpect b served\n\
        term\nended\ncounter failed 1\ncounter served 1\ncounter open 0",
    );
}

/// Guards against requests that the kill finds unanswered: before it all are given up, as far as is
/// honest.
#[test]
fn a_planned_end_gives_up_what_would_outlast_it() {
    for engine in ["platform", "clickhouse"] {
        play(&format!(
            "user anna secret billing-desk\nengine one {engine}\nstart\non one hang\non one hang\non one hang\non one hang\nask a rpc load billing-desk 20000 INSERT INTO a_1.b SELECT 1\n\
            seen a\nask b rpc report billing-desk 14000 SELECT 1\nseen b\nterm\nexpect a failed\nexpect b refused\n\
            ended\ncounter failed 1\ncounter refused 1\ncounter open 0"
        ));
    }
}

/// Guards a load against the answers to others: what is spoilt ends all that is on its connection.
#[test]
fn a_spoilt_answer_to_another_does_not_end_a_load() {
    on_both(
        "engine one KIND\nstart\non one rows 600 3\nask a LOAD\nseen a\non one garble\nask b LOOKUP\nexpect b served\n\
        runs b 2\nexpect a served\nruns a 1\nterm\nended\ncounter served 2\ncounter open 0",
    );
}

/// A refused connection proves that nothing ran, so even a load goes elsewhere.
#[test]
fn an_engine_that_is_down_costs_no_answer() {
    on_both(
        "engine one KIND\nengine two KIND\nstart\ndown one\nask a LOAD\nexpect a served\nask b LOAD\nexpect b served\n\
        ask c LOOKUP\nexpect c served\nask d LOOKUP\nexpect d served\nterm\nended\ncounter served 4\ncounter open 0",
    );
}

/// SIGTERM: what is open is answered, and what still comes as well.
#[test]
fn a_planned_end_answers_what_is_open() {
    on_both(
        "engine one KIND\nstart\non one rows 2000 5\nask a LOAD\nseen a\nterm\nask b LOOKUP\nexpect b served\n\
        expect a served 5\nended\ncounter taken 2\ncounter served 2\ncounter open 0",
    );
}

/// Guards against strangers: 401 for one who is not known, 403 for one without a tenant.
#[test]
fn users_are_told_apart() {
    play(
        "engine one platform\nuser anna secret billing-desk\nuser carl secret -\nstart\n\
        ask a http anna wrong 5 SELECT 1\nexpect a rejected 401\nask b http bert secret 5 SELECT 1\n\
        expect b rejected 401\nask c http carl secret 5 SELECT 1\nexpect c rejected 403\n\
        ask d http anna secret x SELECT 1\nexpect d rejected 400\nask e http anna secret 5 SELECT 1\n\
        expect e served\nterm\nended\ncounter taken 1\ncounter served 1",
    );
}

/// Users and shares come from the directory, page by page, and new ones with a refresh.
#[test]
fn the_directory_says_who_belongs_to_which_tenant() {
    play(
        "engine one clickhouse\ntenant billing-desk 3\ntenant channel-desk 1\ntenant night-desk 1\n\
        person anna secret billing-desk\nperson bert secret channel-desk\nperson carl secret night-desk\n\
        person dora secret -\nstart\nask a http anna secret 5 SELECT 1\nexpect a served\n\
        ask b http carl secret 5 SELECT 1\nexpect b served\nask c http dora secret 5 SELECT 1\nexpect c rejected 403\n\
        ask d http emil secret 5 SELECT 1\nexpect d rejected 401\nperson emil secret night-desk\nuntil directory-readings +2\n\
        ask e http emil secret 5 SELECT 1\nexpect e served\nterm\nended\ncounter directory-failures 0",
    );
}

/// A directory that fails leaves the last good list in force, and is counted.
#[test]
fn a_directory_that_fails_keeps_the_last_list() {
    play(
        "engine one platform\ntenant billing-desk 1\nperson anna secret billing-desk\nstart\n\
        ask a http anna secret 5 SELECT 1\nexpect a served\nbusy\nperson bert secret billing-desk\n\
        until directory-failures +2\nask b http anna secret 5 SELECT 1\nexpect b served\n\
        ask c http bert secret 5 SELECT 1\nexpect c rejected 401\nidle\nuntil directory-readings +1\n\
        ask d http bert secret 5 SELECT 1\nexpect d served\nterm\nended\ncounter served 3",
    );
}

/// A client that hangs up within its answer ends nothing but its connection.
#[test]
fn a_client_may_hang_up_within_its_answer() {
    on_both(
        "engine one KIND\nstart\non one rows 100 200\nask a LOOKUP\nleave a\nexpect a cut\nruns a 1\n\
        ask b LOOKUP\nexpect b served\nterm\nended\ncounter taken 2\ncounter served 2\ncounter open 0",
    );
}

/// Malformed input ends that request or connection, never the program.
#[test]
fn malformed_input_ends_no_more_than_itself() {
    let lines = [
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
    let requests = [
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
    let mut text = "engine one platform\nuser anna secret billing-desk\nstart\n".to_owned();
    for (at, (line, code)) in lines.iter().enumerate() {
        text += &format!("raw l{at} rpc {line}\\n\nexpect l{at} rejected {code}\n");
    }
    for (at, (request, code)) in requests.iter().enumerate() {
        text += &format!("raw h{at} http {request}\nexpect h{at} rejected {code}\n");
    }
    text += &format!(
        "raw long rpc {}\nexpect long rejected -32600\n",
        "x".repeat(300_000)
    );
    text += "ask a rpc lookup billing-desk 5000 SELECT 1\nexpect a served\nask b http anna secret 5 SELECT 1\n";
    play(
        &(text + "expect b served\nterm\nended\ncounter taken 2\ncounter served 2\ncounter open 0"),
    );
}

/// A database is taken where every engine in service knows databases, and nowhere else.
#[test]
fn a_database_is_taken_where_all_engines_know_it() {
    let ask = |name: &str| {
        let query = format!("SELECT+1+%2F*+{name}+*%2F");
        format!(
            "raw {name} http GET /?user=anna&password=secret&database=ops_1&query={query} HTTP/1.1\\r\\n\\r\\n\n"
        )
    };
    play(&format!(
        "engine web clickhouse\nengine lines platform\nuser anna secret billing-desk\nstart\n{}expect a rejected 400\n\
        drain lines\nuntil lists 2\n{}expect b served\nterm\nended\ncounter taken 1\ncounter served 1",
        ask("a"),
        ask("b")
    ));
}

/// A configuration that can't be used ends the program with one clear line.
#[test]
fn a_bad_configuration_is_one_line_and_a_failure() {
    use std::process::Command;
    use yokelift::testkit::daemon::{Folder, config, free_addr};
    let folder = Folder::new().expect("a folder");
    let known = serde_json::json!({"index": 1, "updates": []});
    let good = config(free_addr(), free_addr(), &known, 64);
    let without = |key: &str| {
        let mut text = good.clone();
        text.as_object_mut().expect("an object").remove(key);
        text.to_string()
    };
    let files = [
        "{".to_owned(),
        without("listen"),
        without("settings"),
        without("known"),
    ];
    for (at, text) in files.iter().enumerate() {
        let path = folder.put(&format!("{at}.json"), text).expect("a file");
        let output = Command::new(env!("CARGO_BIN_EXE_yokelift"))
            .env("PROXY_CONFIG", path)
            .output()
            .expect("runs");
        let line = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && line.lines().count() == 1 && line.contains(".json"),
            "{line}"
        );
    }
    let toml = "listen = \"127.0.0.1:0\"\nusual_class = \"lookup\"\n";
    for (at, (text, hint)) in [
        (format!("{toml}surprise = 1\n"), "surprise"),
        (toml.to_owned(), "nobody could connect"),
        (
            format!("{toml}[[user]]\nname = \"a\"\n[[engine]]\nid = \"x\"\n"),
            "8 hex digits",
        ),
    ]
    .iter()
    .enumerate()
    {
        let path = folder.put(&format!("{at}.toml"), text).expect("a file");
        let output = Command::new(env!("CARGO_BIN_EXE_yokelift-testkit"))
            .arg("check")
            .arg(path)
            .output()
            .expect("runs");
        let line = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && line.lines().count() == 1 && line.contains(hint),
            "{line}"
        );
    }
}
