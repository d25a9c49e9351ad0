//! The ClickHouse protocol of clients and of engines, without sockets: what a client receives, and
//! how an engine's responses are classified, however their bytes are divided.
use super::{ClickHouse, ClickHouseShared};
use crate::backend::clickhouse::ClickHouse as EngineProtocol;
use crate::backend::{BackendEvent, Protocol, ProtocolOutput};
use crate::clock::{MS, SEC};
use crate::config::clickhouse::{self, ClassRules, Users};
use crate::config::process::Names;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{AttemptRequest, ClientRequest, Failure, Response};
use crate::frontend::{DisconnectReason, Frontend, FrontendEvent};
use crate::policy::api::{AttemptNo, ClassId, RequestId};
use quickcheck::{Gen, QuickCheck};
use std::rc::Rc;

/// The headers that authenticate a user from the deploy file.
const LOGIN: &str = "X-ClickHouse-User: area-cable\r\nX-ClickHouse-Key: change-me\r\n";

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// A connection with the users and class rules of the shipped deploy file.
fn connection() -> ClickHouse {
    let deploy_file = include_str!("../../deploy/clickhouse.toml");
    let deploy = clickhouse::parse(deploy_file).expect("the shipped deploy file");
    let names = Names {
        classes: owned(&["lookup", "report", "load"]),
        tenants: owned(&["billing-desk", "channel-desk"]),
        ..Names::default()
    };
    let shared = ClickHouseShared {
        class_rules: ClassRules::new(&deploy, &names).expect("classes").into(),
        users: Users::new(&deploy, &names).expect("users").into(),
        class_deadlines: vec![6 * SEC, 15 * SEC, 25 * SEC].into(),
        load_classes: vec![false, false, true].into(),
        supports_databases: Box::new(|| true),
        is_draining: Box::new(|| false),
        new_request_id: Box::new(|| "00ff".to_owned()),
    };
    ClickHouse::new(9, Rc::new(shared))
}

/// The result of one step: the requests for the dispatcher, and the text for the client.
struct Outcome {
    requests: Vec<ClientRequest>,
    text: String,
}

impl Outcome {
    fn new(events: Vec<FrontendEvent>, output: Vec<u8>) -> Outcome {
        let request = |event| match event {
            FrontendEvent::Request(request) => Some(request),
            _ => None,
        };
        Outcome {
            requests: events.into_iter().filter_map(request).collect(),
            text: String::from_utf8(output).expect("text"),
        }
    }
}

fn feed(frontend: &mut ClickHouse, input: &[u8]) -> Outcome {
    let (mut events, mut output) = (Vec::new(), Vec::new());
    frontend
        .feed(SEC, input, &mut events, &mut output)
        .expect("within the limits");
    Outcome::new(events, output)
}

fn respond(frontend: &mut ClickHouse, tag: u64, response: Response) -> Outcome {
    let (mut events, mut output) = (Vec::new(), Vec::new());
    frontend.write_response(SEC, tag, response, &mut events, &mut output);
    Outcome::new(events, output)
}

fn post(parameters: &str, statement: &str) -> Vec<u8> {
    let length = statement.len();
    format!("POST /?{parameters} HTTP/1.1\r\n{LOGIN}Content-Length: {length}\r\n\r\n{statement}")
        .into_bytes()
}

fn post_with_settings() -> Vec<u8> {
    post(
        "query=SELECT+a&database=ops_4&max_execution_time=1.5&max_memory_usage=2097152&query_id=mine",
        "FROM orders GROUP BY a",
    )
}

#[test]
fn a_request_contains_the_statement_the_settings_and_the_session() {
    let mut frontend = connection();

    let outcome = feed(&mut frontend, &post_with_settings());

    let request = &outcome.requests[0];
    assert_eq!(&request.statement[..], b"SELECT a\nFROM orders GROUP BY a");
    assert_eq!((request.class, request.tenant.0), (ClassId(1), 1));
    assert_eq!(request.deadline, SEC + 1_500 * MS);
    assert_eq!(
        (request.memory_mb, request.work_estimate),
        (Some(2.0), None)
    );
    let session = request.session.as_ref().expect("a session");
    assert_eq!(session.database.as_deref(), Some("ops_4"));
    assert_eq!(session.query_id.as_deref(), Some("mine"));
}

#[test]
fn a_rejected_query_gets_503_with_retry_after_in_whole_seconds() {
    let mut frontend = connection();
    let outcome = feed(&mut frontend, &post_with_settings());
    let tag = outcome.requests[0].origin.tag;

    let text = respond(&mut frontend, tag, Response::Rejected(Some(1_200 * MS))).text;

    assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    assert!(text.contains("\r\nRetry-After: 2\r\n"), "{text}");
    assert!(
        text.contains("X-ClickHouse-Exception-Code: 202\r\n"),
        "{text}"
    );
    assert!(text.contains("Query-Id: mine\r\n"), "{text}");
}

/// Guards against loads that are retried, refused or accepted with GET as if they were reads: their
/// class follows from their first word whatever comments and blanks precede it.
#[test]
fn a_load_has_the_class_of_loads_whatever_precedes_its_first_word() {
    for before in [
        "",
        "-- nightly\n",
        "# nightly\n",
        "#! nightly\n",
        "/* nightly */",
        "/* nightly /* join */",
        "/* a /* b */ join */",
        "\u{feff}",
        "\u{a0}\u{2028}",
        "WITH $$it's$$ AS a ",
    ] {
        let statement = format!("{before}INSERT INTO sales_1.a SELECT 1");
        let mut frontend = connection();
        let outcome = feed(&mut frontend, &post("", &statement));
        assert_eq!(outcome.requests[0].class, ClassId(2), "{statement:?}");

        let target = crate::http::percent_encode(&statement);
        let get = format!("GET /?query={target} HTTP/1.1\r\n{LOGIN}\r\n");
        let outcome = feed(&mut connection(), get.as_bytes());
        assert!(outcome.requests.is_empty(), "{statement:?}");
    }
}

/// The class depends only on words outside comments and strings, and the class's deadline limits
/// the client's `max_execution_time`.
#[test]
fn the_deadline_of_its_class_limits_a_query() {
    let mut frontend = connection();
    let first = feed(&mut frontend, &post_with_settings());
    respond(
        &mut frontend,
        first.requests[0].origin.tag,
        Response::Rejected(Some(1_200 * MS)),
    );

    let outcome = feed(
        &mut frontend,
        &post("max_execution_time=99", "-- join\nSELECT 'join'"),
    );

    let request = &outcome.requests[0];
    assert_eq!((request.class, request.deadline), (ClassId(0), 7 * SEC));
    let text = respond(
        &mut frontend,
        request.origin.tag,
        Response::Failed(Failure::Deadline),
    )
    .text;
    assert!(text.starts_with("HTTP/1.1 500 "), "{text}");
    assert!(text.contains("Exception-Code: 159\r\n"), "{text}");
}

#[test]
fn rows_are_encoded_in_the_requested_format() {
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
        let mut frontend = connection();
        let outcome = feed(
            &mut frontend,
            &post(&format!("default_format={format}"), "SELECT 1"),
        );
        let tag = outcome.requests[0].origin.tag;

        let text = respond(&mut frontend, tag, Response::Completed(rows.to_vec())).text;

        let body = format!("\r\n\r\n{:x}\r\n{expected}\r\n0\r\n\r\n", expected.len());
        assert!(text.ends_with(&body), "{text}");
        assert!(text.contains("\"result_rows\":\"2\""), "{text}");
    }
}

#[test]
fn pipelined_requests_get_one_response_each_in_order_however_they_are_divided() {
    fn divided_into_pieces(step: u8) -> bool {
        let input = [
            post("query_id=one", "SELECT 1"),
            post("query_id=two", "SELECT 2"),
            b"GET /ping HTTP/1.1\r\n\r\n".to_vec(),
        ]
        .concat();
        let mut frontend = connection();
        let (mut requests, mut text) = (Vec::new(), String::new());

        for piece in input.chunks(usize::from(step) + 1) {
            let outcome = feed(&mut frontend, piece);
            requests.extend(outcome.requests);
            text += &outcome.text;
        }
        let mut responded = 0;
        while responded < requests.len() && frontend.open_requests() == 1 {
            let tag = requests[responded].origin.tag;
            let outcome = respond(&mut frontend, tag, Response::Completed(Vec::new()));
            requests.extend(outcome.requests);
            text += &outcome.text;
            responded += 1;
        }

        let positions =
            ["Query-Id: one", "Query-Id: two", "Ok.\n"].map(|response| text.find(response));
        requests.len() == 2 && positions.iter().all(Option::is_some) && positions.is_sorted()
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(255, 17))
        .tests(200);
    check.quickcheck(divided_into_pieces as fn(u8) -> bool);
}

const CHUNKED_ROW: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na\n\r\n";
const LATE_EXCEPTION: &str = "Code: 241. DB::Exception: Memory limit exceeded\n";

/// Responses of an engine, each followed by the end of its connection, with the termination of the
/// attempt that each causes. `None` if the response ends no attempt, and only the close of the
/// connection does.
fn engine_responses() -> Vec<(String, Option<Termination>)> {
    let late_exception_chunk = format!("{:x}\r\n{LATE_EXCEPTION}\r\n", LATE_EXCEPTION.len());
    let complete = [
        format!("{CHUNKED_ROW}0\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na\n".to_owned(),
        "HTTP/1.1 200 OK\r\n\r\na\n".to_owned(),
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na\n".to_owned(),
    ];
    let failed = [
        CHUNKED_ROW.to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na\n".to_owned(),
        format!("{CHUNKED_ROW}{late_exception_chunk}0\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nX-ClickHouse-Exception-Code: 60\r\nContent-Length: 0\r\n\r\n"
            .to_owned(),
        "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 500 X\r\nX-ClickHouse-Exception-Code: 202\r\nContent-Length: 0\r\n\r\n"
            .to_owned(),
    ];
    let rejected = [
        "HTTP/1.1 503 X\r\nX-ClickHouse-Exception-Code: 202\r\nContent-Length: 0\r\n\r\n"
            .to_owned(),
        "HTTP/1.1 503 X\r\nContent-Length: 18\r\n\r\nCode: 202. too man".to_owned(),
    ];
    let closed_before_a_response = String::new();
    let with_termination = |termination| move |text| (text, Some(termination));
    complete
        .map(with_termination(Termination::Done))
        .into_iter()
        .chain(failed.map(with_termination(Termination::EngineError)))
        .chain(rejected.map(with_termination(Termination::Rejected)))
        .chain([(closed_before_a_response, None)])
        .collect()
}

fn attempt() -> AttemptRequest {
    AttemptRequest {
        id: RequestId(1),
        attempt: AttemptNo(0),
        client_request_id: "k".into(),
        class: "lookup".into(),
        statement: Rc::from(&b"select"[..]),
        session: None,
        deadline: 2 * SEC,
        memory_mb: 0.0,
        ..AttemptRequest::default()
    }
}

/// Runs one attempt against an engine that sends `response` in pieces of `step` bytes and then
/// closes the connection.
fn run_attempt(response: &str, step: usize) -> Vec<BackendEvent> {
    let mut engine = EngineProtocol::new(Rc::default());
    let sent = String::from_utf8(engine.start_attempt(SEC, &attempt())).expect("text");
    assert!(
        sent.starts_with("POST /?query_id=k&max_execution_time=1.000&"),
        "{sent}"
    );
    let mut output = ProtocolOutput::default();
    for piece in response.as_bytes().chunks(step) {
        engine
            .receive(SEC, piece, &mut output)
            .expect("no protocol violation");
    }
    engine.on_end_of_input(&mut output);
    output.events
}

/// Guards the rule against double execution for this protocol: only a 503 with code 202 means that
/// the query did not run, and a partial response does not count as a response.
#[test]
fn an_engines_response_ends_the_attempt_the_same_way_however_it_is_divided() {
    for (response, expected) in engine_responses() {
        for step in 1..=response.len().max(1) {
            let events = run_attempt(&response, step);

            let attempt_ends: Vec<(Termination, &[u8])> = events
                .iter()
                .filter_map(|event| match event {
                    BackendEvent::AttemptEnded(end) => Some((end.termination, &end.rows[..])),
                    _ => None,
                })
                .collect();
            let expected_rows: &[u8] = match expected {
                Some(Termination::Done) => b"a\n",
                _ => b"",
            };
            let expected_ends: Vec<(Termination, &[u8])> = expected
                .map(|termination| (termination, expected_rows))
                .into_iter()
                .collect();
            assert_eq!(attempt_ends, expected_ends, "{response}");
        }
    }
}

/// Guards the memory limit for input against heads that wait for their bodies: they are no longer
/// among the buffered bytes.
#[test]
fn the_head_of_an_incomplete_request_counts_as_memory() {
    let long_target = "a&".repeat(4_000);
    let short_fields = "a:\r\n".repeat(90);
    for (head, at_least) in [
        (format!("POST /?{long_target} HTTP/1.1\r\n"), 8_000),
        (
            format!("POST / HTTP/1.1\r\n{short_fields}"),
            90 * size_of::<(String, String)>(),
        ),
    ] {
        let mut frontend = connection();
        feed(
            &mut frontend,
            format!("{head}Content-Length: 9\r\n\r\n").as_bytes(),
        );
        assert_eq!(frontend.buffered_bytes(), 0);
        assert!(frontend.held_memory_bytes() >= at_least, "{at_least}");

        frontend.stop_reading(DisconnectReason::OutOfMemory, &mut Vec::new());
        assert_eq!(frontend.held_memory_bytes(), 0);
    }
}
