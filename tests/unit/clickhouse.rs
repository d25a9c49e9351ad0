//! The ClickHouse interface without sockets: what a client sees, and what an engine's words mean,
//! however the bytes are cut.
use super::{ClickHouse as Front, ClickHouseShared};
use crate::backend::clickhouse::ClickHouse as Engine;
use crate::backend::{BackendEvent, Protocol, ProtocolOutput};
use crate::clock::{MS, SEC};
use crate::config::clickhouse::{self, ClassRules, Users};
use crate::config::process::Names;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{AttemptRequest, ClientRequest, Failure, Response};
use crate::frontend::{Front as _, FrontendEvent};
use crate::policy::api::{AttemptNo, ClassId, RequestId};
use quickcheck::{Gen, QuickCheck};
use std::rc::Rc;

fn front() -> Front {
    let text = include_str!("../../deploy/clickhouse.toml");
    let deploy = clickhouse::parse(text).expect("the file that is shipped");
    let named = |list: &[&str]| list.iter().map(|n| (*n).to_owned()).collect();
    let (classes, tenants) = (
        named(&["lookup", "report", "load"]),
        named(&["billing-desk", "channel-desk"]),
    );
    let names = Names {
        classes,
        tenants,
        ..Names::default()
    };
    let users = Users::new(&deploy, &names).expect("users").into();
    let rules = ClassRules::new(&deploy, &names).expect("classes");
    let (databases, stopping, new_key) = (
        Box::new(|| true),
        Box::new(|| false),
        Box::new(|| "00ff".to_owned()),
    );
    let (deadlines, loads) = (
        vec![6 * SEC, 15 * SEC, 25 * SEC].into(),
        vec![false, false, true].into(),
    );
    Front::new(
        9,
        Rc::new(ClickHouseShared {
            rules: rules.into(),
            users,
            deadlines,
            loads,
            databases,
            stopping,
            new_key,
        }),
    )
}

fn feed(front: &mut Front, bytes: &[u8]) -> (Vec<ClientRequest>, String) {
    let (mut said, mut replies) = (Vec::new(), Vec::new());
    front
        .feed(SEC, bytes, &mut said, &mut replies)
        .expect("no fault");
    (asks(said), String::from_utf8(replies).expect("text"))
}

fn asks(said: Vec<FrontendEvent>) -> Vec<ClientRequest> {
    said.into_iter()
        .filter_map(|s| {
            if let FrontendEvent::Ask(ask) = s {
                Some(ask)
            } else {
                None
            }
        })
        .collect()
}

fn answer(front: &mut Front, tag: u64, answer: Response) -> (Vec<ClientRequest>, String) {
    let (mut said, mut replies) = (Vec::new(), Vec::new());
    front.answer(SEC, tag, answer, &mut said, &mut replies);
    (asks(said), String::from_utf8(replies).expect("text"))
}

const LOGIN: &str = "X-ClickHouse-User: area-cable\r\nX-ClickHouse-Key: change-me\r\n";

fn post(params: &str, statement: &str) -> Vec<u8> {
    let length = statement.len();
    format!("POST /?{params} HTTP/1.1\r\n{LOGIN}Content-Length: {length}\r\n\r\n{statement}")
        .into_bytes()
}

#[test]
fn a_request_says_what_the_core_needs() {
    let mut front = front();
    let params = "query=SELECT+a&database=ops_4&max_execution_time=1.5&max_memory_usage=2097152&query_id=mine";
    let (asked, _) = feed(&mut front, &post(params, "FROM orders GROUP BY a"));
    let ask = &asked[0];
    assert_eq!(&ask.statement[..], b"SELECT a\nFROM orders GROUP BY a");
    assert_eq!(
        (ask.class, ask.tenant.0, ask.deadline),
        (ClassId(1), 1, SEC + 1_500 * MS)
    );
    assert_eq!((ask.memory_mb, ask.work_estimate), (Some(2.0), None));
    let session = ask.session.as_ref().expect("a session");
    assert_eq!(
        (session.database.as_deref(), session.query_id.as_deref()),
        (Some("ops_4"), Some("mine"))
    );
    // No more than the class's own deadline, and the class follows from the words outside strings.
    let (_, text) = answer(
        &mut front,
        ask.origin.tag,
        Response::Rejected(Some(1_200 * MS)),
    );
    assert!(
        text.starts_with("HTTP/1.1 503 ") && text.contains("\r\nRetry-After: 2\r\n"),
        "{text}"
    );
    assert!(
        text.contains("X-ClickHouse-Exception-Code: 202\r\n")
            && text.contains("Query-Id: mine\r\n"),
        "{text}"
    );
    let (asked, _) = feed(
        &mut front,
        &post("max_execution_time=99", "-- join\nSELECT 'join'"),
    );
    assert_eq!((asked[0].class, asked[0].deadline), (ClassId(0), 7 * SEC));
    let (_, text) = answer(
        &mut front,
        asked[0].origin.tag,
        Response::Failed(Failure::Deadline),
    );
    assert!(
        text.starts_with("HTTP/1.1 500 ") && text.contains("Exception-Code: 159\r\n"),
        "{text}"
    );
}

#[test]
fn rows_go_out_in_the_format_that_was_asked_for() {
    let rows = b"a\\tb\t\\N\nq\"\t2\n";
    for (format, expected) in [
        ("", "a\\tb\t\\N\nq\"\t2\n"),
        ("TSV", "a\\tb\t\\N\nq\"\t2\n"),
        ("CSV", "\"a\tb\",\\N\n\"q\"\"\",\"2\"\n"),
        (
            "JSONCompactEachRow",
            "[\"a\\tb\", null]\n[\"q\\\"\", \"2\"]\n",
        ),
    ] {
        let mut front = front();
        let (asked, _) = feed(
            &mut front,
            &post(&format!("default_format={format}"), "SELECT 1"),
        );
        let (_, text) = answer(
            &mut front,
            asked[0].origin.tag,
            Response::Completed(rows.to_vec()),
        );
        let body = format!("\r\n\r\n{:x}\r\n{expected}\r\n0\r\n\r\n", expected.len());
        assert!(
            text.ends_with(&body) && text.contains("\"result_rows\":\"2\""),
            "{text}"
        );
    }
}

/// Requests that come together are answered in turn, each once, also when the bytes are cut
/// anywhere.
#[test]
fn requests_on_one_connection_take_turns() {
    fn cut(step: u8) -> bool {
        let wire = [
            post("query_id=one", "SELECT 1"),
            post("query_id=two", "SELECT 2"),
            b"GET /ping HTTP/1.1\r\n\r\n".to_vec(),
        ];
        let (mut front, mut asked, mut text) = (front(), Vec::new(), String::new());
        for piece in wire.concat().chunks(usize::from(step) + 1) {
            let (more, replies) = feed(&mut front, piece);
            asked.extend(more);
            text += &replies;
        }
        let mut at = 0;
        while at < asked.len() && front.open() == 1 {
            let (more, replies) = answer(
                &mut front,
                asked[at].origin.tag,
                Response::Completed(Vec::new()),
            );
            asked.extend(more);
            text += &replies;
            at += 1;
        }
        let ids = ["Query-Id: one", "Query-Id: two", "Ok.\n"].map(|id| text.find(id));
        asked.len() == 2 && ids.iter().all(Option::is_some) && ids.is_sorted()
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(255, 17))
        .tests(200);
    check.quickcheck(cut as fn(u8) -> bool);
}

/// Guards rule 2 on this wire: only a 503 with code 202 says that nothing ran; half an answer is
/// none.
#[test]
fn an_engines_words_mean_the_same_however_they_are_cut() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na\n\r\n";
    let late = "Code: 241. DB::Exception: Memory limit exceeded\n";
    let cases = [
        (format!("{chunked}0\r\n\r\n"), Some(Termination::Done)),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na\n".to_owned(),
            Some(Termination::Done),
        ),
        (
            "HTTP/1.1 200 OK\r\n\r\na\n".to_owned(),
            Some(Termination::Done),
        ),
        (chunked.to_owned(), Some(Termination::EngineError)),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na\n".to_owned(),
            Some(Termination::EngineError),
        ),
        (
            format!("{chunked}{:x}\r\n{late}\r\n0\r\n\r\n", late.len()),
            Some(Termination::EngineError),
        ),
        (
            "HTTP/1.1 200 OK\r\nX-ClickHouse-Exception-Code: 60\r\nContent-Length: 0\r\n\r\n"
                .to_owned(),
            Some(Termination::EngineError),
        ),
        (
            "HTTP/1.1 503 X\r\nX-ClickHouse-Exception-Code: 202\r\nContent-Length: 0\r\n\r\n"
                .to_owned(),
            Some(Termination::Rejected),
        ),
        (
            "HTTP/1.1 503 X\r\nContent-Length: 18\r\n\r\nCode: 202. too man".to_owned(),
            Some(Termination::Rejected),
        ),
        (
            "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_owned(),
            Some(Termination::EngineError),
        ),
        (
            "HTTP/1.1 500 X\r\nX-ClickHouse-Exception-Code: 202\r\nContent-Length: 0\r\n\r\n"
                .to_owned(),
            Some(Termination::EngineError),
        ),
        (
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na\n"
                .to_owned(),
            Some(Termination::Done),
        ),
        // Closed before a word: for the connection's own end to say.
        (String::new(), None),
    ];
    for (text, expected) in cases {
        for step in 1..=text.len().max(1) {
            let mut engine = Engine::new(Rc::default());
            let (id, attempt, class) = (RequestId(1), AttemptNo(0), "lookup".into());
            let (key, statement) = (Rc::from("k"), Rc::from(&b"select"[..]));
            let (session, until, memory_mb) = (None, 2 * SEC, 0.0);
            let job = AttemptRequest {
                id,
                attempt,
                client_request_id: key,
                class,
                statement,
                session,
                deadline: until,
                memory_mb,
                ..AttemptRequest::default()
            };
            let sent = String::from_utf8(engine.start_attempt(SEC, &job)).expect("text");
            assert!(
                sent.starts_with("POST /?query_id=k&max_execution_time=1.000&"),
                "{sent}"
            );
            let mut output = ProtocolOutput::default();
            for piece in text.as_bytes().chunks(step) {
                engine.receive(SEC, piece, &mut output).expect("no fault");
            }
            engine.on_end_of_input(&mut output);
            let ends: Vec<(Termination, &[u8])> = output
                .events
                .iter()
                .filter_map(|event| {
                    if let BackendEvent::AttemptEnded(end) = event {
                        Some((end.termination, &end.rows[..]))
                    } else {
                        None
                    }
                })
                .collect();
            let rows: &[u8] = if expected == Some(Termination::Done) {
                b"a\n"
            } else {
                b""
            };
            assert_eq!(
                ends,
                expected
                    .map(|end| (end, rows))
                    .into_iter()
                    .collect::<Vec<_>>(),
                "{text}"
            );
        }
    }
}
