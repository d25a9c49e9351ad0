//! The platform's protocol for clients without sockets: the same however the bytes are cut.
use super::*;
use crate::config::Names;
use crate::kit::clients::rpc_line;
use quickcheck::{Gen, QuickCheck};

fn front() -> JsonRpc {
    let named = |list: &[&str]| list.iter().map(|n| (*n).to_owned()).collect();
    let (classes, tenants) = (named(&["lookup", "load"]), named(&["acme", "other"]));
    let names = Names { classes, tenants, ..Names::default() };
    JsonRpc::new(3, Rc::new(std::cell::RefCell::new(Rc::new(names))), Rc::new(|| true))
}

/// Requests, a withdrawal and a question come out once each, and what was withdrawn gets no answer.
#[test]
fn lines_say_the_same_however_they_are_cut() {
    fn cut(step: u8) -> bool {
        let mut wire = rpc_line(1, "lookup", "9b1f03aa5c7e2d41", "other", 1_500, "select 1");
        wire.extend(rpc_line(2, "load", "9b1f03aa5c7e2d42", "acme", 2_500, "insert 1"));
        wire.extend(b"{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{\"id\":1}}\n");
        wire.extend(b"{\"jsonrpc\":\"2.0\",\"id\":3,\"method\":\"status\"}\n");
        let (mut front, mut said, mut replies) = (front(), Vec::new(), Vec::new());
        for piece in wire.chunks(usize::from(step) + 1) {
            if front.feed(MS, piece, &mut said, &mut replies).is_err() {
                return false;
            }
        }
        let [Said::Ask(one), Said::Ask(two), Said::Withdraw(1)] = &said[..] else { return false };
        let first = (one.origin.tag, one.class.0, one.tenant.0, one.give_up_at) == (1, 0, 1, 1_501 * MS);
        let second =
            (two.origin.tag, two.class.0, two.tenant.0, &two.statement[..]) == (2, 1, 0, b"insert 1");
        let green = String::from_utf8_lossy(&replies).contains("\"green\":true");
        replies.clear();
        front.answer(MS, 1, Answer::Served(b"a\n".to_vec()), &mut Vec::new(), &mut replies);
        let silent = replies.is_empty() && front.open() == 1;
        front.answer(MS, 2, Answer::Refused(Some(150 * MS)), &mut Vec::new(), &mut replies);
        let told: Value = serde_json::from_slice(&replies).unwrap_or_default();
        let refused =
            told["error"]["code"] == REFUSED && told["error"]["data"]["after"] == 150 && told["id"] == 2;
        first && second && green && silent && refused && front.open() == 0
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(255, 19)).tests(200);
    check.quickcheck(cut as fn(u8) -> bool);
}

/// Guards against a mark that is used twice while open, and against more than a connection may hold open.
#[test]
fn marks_and_places_on_a_connection_are_counted() {
    let (mut front, mut said, mut replies) = (front(), Vec::new(), Vec::new());
    for id in (1..=33).chain([5]) {
        let line = rpc_line(id, "lookup", &format!("{id:016x}"), "acme", 1_500, "select 1");
        front.feed(MS, &line, &mut said, &mut replies).expect("no fault");
    }
    let codes: Vec<i64> = String::from_utf8_lossy(&replies)
        .lines()
        .map(|l| serde_json::from_str::<Value>(l).expect("JSON")["error"]["code"].as_i64().expect("a code"))
        .collect();
    let asks = said.iter().filter(|s| matches!(s, Said::Ask(_))).count();
    assert_eq!((asks, codes), (32, vec![REFUSED, INVALID_REQUEST]));
    // Guards the figures: what never gets to the core is counted under its class too.
    let turned = |s: &&Said| matches!(s, Said::TurnedAway(ClassId(0), _));
    let refused = |s: &&Said| matches!(s, Said::TurnedAway(_, Answer::Refused(_)));
    assert_eq!((said.iter().filter(turned).count(), said.iter().filter(refused).count()), (2, 1));
}
