//! The platform's protocol for clients without sockets: the same however the bytes are cut.
use super::*;
use crate::config::process::Names;
use crate::dispatcher::termination::Termination;
use crate::testkit::clients::rpc_line;
use quickcheck::{Gen, QuickCheck};

fn front() -> JsonRpc {
    let named = |list: &[&str]| list.iter().map(|n| (*n).to_owned()).collect();
    let (classes, tenants) = (named(&["lookup", "load"]), named(&["acme", "other"]));
    let names = Names {
        classes,
        tenants,
        ..Names::default()
    };
    JsonRpc::new(
        3,
        Rc::new(std::cell::RefCell::new(Rc::new(names))),
        Rc::new(|| true),
    )
}

/// Requests, a withdrawal and a question come out once each, and what was withdrawn gets no answer.
#[test]
fn lines_say_the_same_however_they_are_cut() {
    fn cut(step: u8) -> bool {
        let mut wire = rpc_line(1, "lookup", "9b1f03aa5c7e2d41", "other", 1_500, "select 1");
        wire.extend(rpc_line(
            2,
            "load",
            "9b1f03aa5c7e2d42",
            "acme",
            2_500,
            "insert 1",
        ));
        wire.extend(b"{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{\"id\":1}}\n");
        wire.extend(b"{\"jsonrpc\":\"2.0\",\"id\":3,\"method\":\"status\"}\n");
        let (mut front, mut said, mut replies) = (front(), Vec::new(), Vec::new());
        for piece in wire.chunks(usize::from(step) + 1) {
            if front.feed(MS, piece, &mut said, &mut replies).is_err() {
                return false;
            }
        }
        let [
            FrontendEvent::Ask(one),
            FrontendEvent::Ask(two),
            FrontendEvent::Withdraw(1),
        ] = &said[..]
        else {
            return false;
        };
        let first =
            (one.origin.tag, one.class.0, one.tenant.0, one.deadline) == (1, 0, 1, 1_501 * MS);
        let second = (
            two.origin.tag,
            two.class.0,
            two.tenant.0,
            &two.statement[..],
        ) == (2, 1, 0, b"insert 1");
        let green = String::from_utf8_lossy(&replies).contains("\"green\":true");
        replies.clear();
        front.answer(
            MS,
            1,
            Response::Completed(b"a\n".to_vec()),
            &mut Vec::new(),
            &mut replies,
        );
        let silent = replies.is_empty() && front.open() == 1;
        front.answer(
            MS,
            2,
            Response::Rejected(Some(150 * MS)),
            &mut Vec::new(),
            &mut replies,
        );
        let told: Value = serde_json::from_slice(&replies).unwrap_or_default();
        let refused = told["error"]["code"] == REFUSED
            && told["error"]["data"]["after"] == 150
            && told["id"] == 2;
        first && second && green && silent && refused && front.open() == 0
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(255, 19))
        .tests(200);
    check.quickcheck(cut as fn(u8) -> bool);
}

/// Guards against a mark that is used twice while open, and against more than a connection may hold
/// open.
#[test]
fn marks_and_places_on_a_connection_are_counted() {
    let (mut front, mut said, mut replies) = (front(), Vec::new(), Vec::new());
    for id in (1..=33).chain([5]) {
        let line = rpc_line(
            id,
            "lookup",
            &format!("{id:016x}"),
            "acme",
            1_500,
            "select 1",
        );
        front
            .feed(MS, &line, &mut said, &mut replies)
            .expect("no fault");
    }
    let codes: Vec<i64> = String::from_utf8_lossy(&replies)
        .lines()
        .map(|l| {
            serde_json::from_str::<Value>(l).expect("JSON")["error"]["code"]
                .as_i64()
                .expect("a code")
        })
        .collect();
    let asks = said
        .iter()
        .filter(|s| matches!(s, FrontendEvent::Ask(_)))
        .count();
    assert_eq!((asks, codes), (32, vec![REFUSED, INVALID_REQUEST]));
    // Guards the figures: what never gets to the core is counted under its class too.
    let turned = |s: &&FrontendEvent| matches!(s, FrontendEvent::TurnedAway(ClassId(0), _));
    let refused =
        |s: &&FrontendEvent| matches!(s, FrontendEvent::TurnedAway(_, Response::Rejected(_)));
    assert_eq!(
        (
            said.iter().filter(turned).count(),
            said.iter().filter(refused).count()
        ),
        (2, 1)
    );
}

/// Guards the second effect: the key of a keyed class passes on as it came, and one that could not
/// is told so. Where a class has no keys, whatever stands there means nothing.
#[test]
fn keys_pass_unchanged_and_spoilt_ones_get_one_clear_error() {
    let ask = |class: &str, once: Value| {
        let mut front = front();
        let keyed = Names {
            keyed: [1].into(),
            ..(**front.names.borrow()).clone()
        };
        *front.names.borrow_mut() = Rc::new(keyed);
        let line = rpc_line(1, class, "9b1f03aa5c7e2d41", "acme", 1_500, "insert 1");
        let mut line: Value = serde_json::from_slice(&line).expect("a line");
        (line["params"]["once"], line["params"]["what"]) = (once, json!("an unknown field"));
        let (mut said, mut replies) = (Vec::new(), Vec::new());
        front
            .feed(MS, format!("{line}\n").as_bytes(), &mut said, &mut replies)
            .expect("no fault");
        let code = serde_json::from_slice::<Value>(&replies)
            .ok()
            .and_then(|v| v["error"]["code"].as_i64());
        let asked = said.iter().find_map(|s| {
            if let FrontendEvent::Ask(ask) = s {
                Some(ask.idempotency_key.clone())
            } else {
                None
            }
        });
        (asked, code, front.last())
    };
    let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    assert_eq!(
        ask("load", json!(key)),
        (Some(Some(key.into())), None, false)
    );
    assert_eq!(ask("load", Value::Null), (Some(None), None, false));
    for spoilt in [
        json!(""),
        json!("a,b=c"),
        json!("a b"),
        json!("a\r\nundo x"),
        json!("é"),
        json!(7),
        json!([key]),
    ] {
        assert_eq!(
            ask("load", spoilt.clone()),
            (None, Some(INVALID_PARAMS), false),
            "{spoilt}"
        );
        assert_eq!(ask("lookup", spoilt).0, Some(None));
    }
    assert_eq!(ask("load", json!("x".repeat(65))).1, Some(INVALID_PARAMS));
}

/// Clients and operators know the ends of attempts by these words, whatever the code calls them.
#[test]
fn answers_that_failed_have_the_same_texts_as_before() {
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
    for (end, text) in texts {
        let (mut front, mut said, mut replies) = (front(), Vec::new(), Vec::new());
        let line = rpc_line(1, "lookup", "9b1f03aa5c7e2d41", "acme", 1_500, "select 1");
        front
            .feed(MS, &line, &mut said, &mut replies)
            .expect("no fault");
        front.answer(
            MS,
            1,
            Response::Failed(Failure::Attempt(end)),
            &mut Vec::new(),
            &mut replies,
        );
        let expected = format!(
            "{{\"error\":{{\"code\":{FAILED},\"message\":\"failed: {text}\"}},\"id\":1,\"jsonrpc\":\"2.0\"}}\n"
        );
        assert_eq!(String::from_utf8_lossy(&replies), expected);
    }
}
