//! The platform's client protocol, without sockets: parsing however the input is divided, the
//! limits of a connection, idempotency keys, and error responses.
use super::*;
use crate::clock::MS;
use crate::config::process::Names;
use crate::dispatcher::termination::Termination;
use crate::testkit::clients::rpc_line;
use error::{FAILED, INVALID_PARAMS, INVALID_REQUEST, REJECTED};
use quickcheck::{Gen, QuickCheck};
use serde_json::json;

const CLIENT_REQUEST_ID: &str = "9b1f03aa5c7e2d41";
const IDEMPOTENCY_KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// A connection with the classes `lookup` and `load`, and the tenants `acme` and `other`.
fn connection() -> JsonRpc {
    let names = Names {
        classes: owned(&["lookup", "load"]),
        tenants: owned(&["acme", "other"]),
        ..Names::default()
    };
    JsonRpc::new(
        3,
        Rc::new(std::cell::RefCell::new(Rc::new(names))),
        Rc::new(|| true),
    )
}

/// The same connection, with idempotency keys for requests of the class `load`.
fn connection_with_keyed_load() -> JsonRpc {
    let frontend = connection();
    let names = Names {
        keyed_classes: [1].into(),
        ..(**frontend.names.borrow()).clone()
    };
    *frontend.names.borrow_mut() = Rc::new(names);
    frontend
}

fn lookup_line(id: u64) -> Vec<u8> {
    rpc_line(
        id,
        "lookup",
        &format!("{id:016x}"),
        "acme",
        1_500,
        "select 1",
    )
}

fn as_request(event: &FrontendEvent) -> Option<&ClientRequest> {
    match event {
        FrontendEvent::Request(request) => Some(request),
        _ => None,
    }
}

/// The events and the output that parsing produced so far.
#[derive(Default)]
struct FeedOutcome {
    events: Vec<FrontendEvent>,
    output: Vec<u8>,
}

impl FeedOutcome {
    fn feed(&mut self, frontend: &mut JsonRpc, input: &[u8]) {
        frontend
            .feed(MS, input, &mut self.events, &mut self.output)
            .expect("this frontend has no fatal errors");
    }

    fn requests(&self) -> Vec<&ClientRequest> {
        self.events.iter().filter_map(as_request).collect()
    }

    fn error_codes(&self) -> Vec<i64> {
        let code = |line: &str| {
            let message: Value = serde_json::from_str(line).expect("JSON");
            message["error"]["code"].as_i64().expect("an error code")
        };
        String::from_utf8_lossy(&self.output)
            .lines()
            .map(code)
            .collect()
    }
}

fn respond(frontend: &mut JsonRpc, tag: u64, response: Response) -> Vec<u8> {
    let mut output = Vec::new();
    frontend.write_response(MS, tag, response, &mut Vec::new(), &mut output);
    output
}

fn two_requests_a_cancellation_and_a_status_query() -> Vec<u8> {
    [
        rpc_line(1, "lookup", CLIENT_REQUEST_ID, "other", 1_500, "select 1"),
        rpc_line(2, "load", "9b1f03aa5c7e2d42", "acme", 2_500, "insert 1"),
        b"{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{\"id\":1}}\n".to_vec(),
        b"{\"jsonrpc\":\"2.0\",\"id\":3,\"method\":\"status\"}\n".to_vec(),
    ]
    .concat()
}

#[test]
fn messages_parse_identically_however_they_are_divided_and_a_cancelled_request_gets_no_response() {
    fn divided_into_pieces(step: u8) -> bool {
        let (mut frontend, mut outcome) = (connection(), FeedOutcome::default());

        for piece in two_requests_a_cancellation_and_a_status_query().chunks(usize::from(step) + 1)
        {
            outcome.feed(&mut frontend, piece);
        }

        let [
            FrontendEvent::Request(first),
            FrontendEvent::Request(second),
            FrontendEvent::RequestCancelled { tag: 1 },
        ] = &outcome.events[..]
        else {
            return false;
        };
        assert_eq!((first.origin.tag, first.class.0), (1, 0));
        assert_eq!((first.tenant.0, first.deadline), (1, 1_501 * MS));
        assert_eq!((second.origin.tag, second.class.0), (2, 1));
        assert_eq!(
            (second.tenant.0, &second.statement[..]),
            (0, &b"insert 1"[..])
        );
        assert!(String::from_utf8_lossy(&outcome.output).contains("\"green\":true"));

        let to_cancelled = respond(&mut frontend, 1, Response::Completed(b"a\n".to_vec()));
        assert!(to_cancelled.is_empty() && frontend.open_requests() == 1);

        let to_open = respond(&mut frontend, 2, Response::Rejected(Some(150 * MS)));
        let message: Value = serde_json::from_slice(&to_open).unwrap_or_default();
        assert_eq!(message["error"]["code"], REJECTED);
        assert_eq!(message["error"]["data"]["after"], 150);
        assert_eq!(message["id"], 2);
        frontend.open_requests() == 0
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(255, 19))
        .tests(200);
    check.quickcheck(divided_into_pieces as fn(u8) -> bool);
}

#[test]
fn a_second_request_under_an_open_id_and_requests_beyond_the_limit_are_rejected() {
    let (mut frontend, mut outcome) = (connection(), FeedOutcome::default());

    for id in (1..=33).chain([5]) {
        outcome.feed(&mut frontend, &lookup_line(id));
    }

    assert_eq!(outcome.requests().len(), 32);
    assert_eq!(outcome.error_codes(), vec![REJECTED, INVALID_REQUEST]);
}

#[test]
fn requests_that_the_frontend_rejects_are_reported_under_their_class() {
    let (mut frontend, mut outcome) = (connection(), FeedOutcome::default());

    for id in (1..=33).chain([5]) {
        outcome.feed(&mut frontend, &lookup_line(id));
    }

    let is_reported = |event: &&FrontendEvent| {
        matches!(
            event,
            FrontendEvent::RequestRejected {
                class: ClassId(0),
                ..
            }
        )
    };
    let is_rejected_for_capacity = |event: &&FrontendEvent| {
        matches!(
            event,
            FrontendEvent::RequestRejected {
                response: Response::Rejected(_),
                ..
            }
        )
    };
    assert_eq!(outcome.events.iter().filter(is_reported).count(), 2);
    assert_eq!(
        outcome
            .events
            .iter()
            .filter(is_rejected_for_capacity)
            .count(),
        1
    );
}

/// How the frontend handled the idempotency key of one request.
#[derive(Debug, PartialEq)]
struct KeyOutcome {
    /// The key of the forwarded request, if it was forwarded.
    forwarded: Option<Option<Rc<str>>>,
    error_code: Option<i64>,
    closes: bool,
}

fn forwarded(key: Option<&str>) -> KeyOutcome {
    KeyOutcome {
        forwarded: Some(key.map(Into::into)),
        error_code: None,
        closes: false,
    }
}

/// Sends one request with this idempotency key and an unknown field.
fn request_with_key(class: &str, key: Value) -> KeyOutcome {
    let line = rpc_line(1, class, CLIENT_REQUEST_ID, "acme", 1_500, "insert 1");
    let mut message: Value = serde_json::from_slice(&line).expect("a message");
    message["params"]["once"] = key;
    message["params"]["what"] = json!("an unknown field");
    let (mut frontend, mut outcome) = (connection_with_keyed_load(), FeedOutcome::default());

    outcome.feed(&mut frontend, format!("{message}\n").as_bytes());

    let error: Option<Value> = serde_json::from_slice(&outcome.output).ok();
    KeyOutcome {
        forwarded: outcome
            .requests()
            .first()
            .map(|request| request.idempotency_key.clone()),
        error_code: error.and_then(|message| message["error"]["code"].as_i64()),
        closes: frontend.closes_after_output(),
    }
}

#[test]
fn an_idempotency_key_is_forwarded_unchanged() {
    assert_eq!(
        request_with_key("load", json!(IDEMPOTENCY_KEY)),
        forwarded(Some(IDEMPOTENCY_KEY))
    );
    assert_eq!(request_with_key("load", Value::Null), forwarded(None));
}

#[test]
fn an_invalid_idempotency_key_is_an_error_where_the_class_has_keys_and_ignored_elsewhere() {
    let invalid_key = KeyOutcome {
        forwarded: None,
        error_code: Some(INVALID_PARAMS),
        closes: false,
    };
    for key in [
        json!(""),
        json!("a,b=c"),
        json!("a b"),
        json!("a\r\nundo x"),
        json!("é"),
        json!(7),
        json!([IDEMPOTENCY_KEY]),
    ] {
        assert_eq!(request_with_key("load", key.clone()), invalid_key, "{key}");
        assert_eq!(request_with_key("lookup", key).forwarded, Some(None));
    }
    let too_long = json!("x".repeat(65));
    assert_eq!(
        request_with_key("load", too_long).error_code,
        Some(INVALID_PARAMS)
    );
}

/// Clients and operators identify the ends of attempts by these texts, which must not change with
/// the names in the code.
#[test]
fn failed_requests_have_the_documented_error_texts() {
    let texts = [
        (Termination::Done, "Done"),
        (Termination::Rejected, "Full"),
        (Termination::AlreadyFinished, "Past"),
        (Termination::EngineError, "Broke"),
        (Termination::Refused, "Refused"),
        (Termination::ConnectTimeout, "ConnectTimeout"),
        (Termination::Unreachable, "Unreachable"),
        (Termination::LocalLimit, "Overflow"),
        (Termination::Closed, "Closed"),
        (Termination::Reset, "Reset"),
        (Termination::ProtocolViolation, "Garbled"),
        (Termination::Unresponsive, "Silent"),
        (Termination::Idle, "Idle"),
        (Termination::Drained, "Drained"),
        (Termination::Cancelled, "Withdrawn"),
        (Termination::Deadline, "Deadline"),
        (Termination::Dropped, "Dropped"),
    ];
    for (termination, text) in texts {
        let (mut frontend, mut outcome) = (connection(), FeedOutcome::default());
        outcome.feed(&mut frontend, &lookup_line(1));

        let output = respond(
            &mut frontend,
            1,
            Response::Failed(Failure::Attempt(termination)),
        );

        let expected = format!(
            "{{\"error\":{{\"code\":{FAILED},\"message\":\"failed: {text}\"}},\"id\":1,\"jsonrpc\":\"2.0\"}}\n"
        );
        assert_eq!(String::from_utf8_lossy(&output), expected);
    }
}

/// Guards a connection that a hot restart transferred: invalid input must not close it before the
/// responses to the predecessor's requests are written.
#[test]
fn a_connection_closes_after_the_responses_of_the_predecessor() {
    let state = TransferredConnection {
        open_requests: vec![5],
        ..TransferredConnection::default()
    };
    let mut frontend = JsonRpc::resume(MS, &state, connection());
    let (mut events, mut output) = (Vec::new(), Vec::new());
    let result = frontend.feed(MS, b"no message\n", &mut events, &mut output);
    assert!(result.is_ok() && !frontend.closes_after_output());

    let response = Response::Preformatted(b"{}\n".to_vec());
    frontend.write_response(MS, 5, response, &mut events, &mut output);

    assert!(frontend.closes_after_output());
}

/// Guards against a second error line when an invalid line arrives in two pieces and the message
/// timeout follows.
#[test]
fn an_invalid_line_gets_one_error_however_late_its_end_arrives() {
    let mut frontend = connection();
    let (mut events, mut output) = (Vec::new(), Vec::new());
    for piece in [&b"no mess"[..], b"age\n"] {
        let result = frontend.feed(MS, piece, &mut events, &mut output);
        assert!(result.is_ok());
    }
    assert_eq!(frontend.message_started_at(), None);

    frontend.stop_reading(DisconnectReason::MessageTimeout, &mut output);

    assert_eq!(output.iter().filter(|byte| **byte == b'\n').count(), 1);
}
