//! Mutation of one message at a time over recorded exchanges, on the wires of clients, engines and
//! the coordinator: a message dropped, doubled, cut short, held past its deadline, a byte flipped,
//! each figure at its extremes. After each: one end or answer at most, and whatever else was open
//! is not harmed by more than the wire's end.
use crate::backend::connection_state::{ConnectionEvent, ConnectionState};
use crate::backend::platform::Platform;
use crate::clock::{MS, Micros, SEC};
use crate::config::process::Names;
use crate::dispatcher::termination::{Termination, TransmitProgress, never_ran, outcome};
use crate::dispatcher::{AttemptRequest, Response};
use crate::frontend::jsonrpc::JsonRpc;
use crate::frontend::{Frontend, FrontendEvent};
use crate::net::discovery::coordinator::{WatchPosition, WatchReader};
use crate::policy::api::{AttemptNo, RequestId};
use crate::testkit::clients::rpc_line;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Each wire's messages after one change, with how long is waited before each.
fn mutants(messages: &[Vec<u8>]) -> Vec<Vec<(Micros, Vec<u8>)>> {
    let plain: Vec<(Micros, Vec<u8>)> = messages.iter().map(|m| (MS, m.clone())).collect();
    let mut all = vec![plain.clone()];
    for (at, message) in messages.iter().enumerate() {
        let with = |new: Vec<(Micros, Vec<u8>)>| {
            let mut changed = plain.clone();
            changed.splice(at..=at, new);
            changed
        };
        all.push(with(vec![]));
        all.push(with(vec![(MS, message.clone()), (MS, message.clone())]));
        all.push(with(vec![(20 * SEC, message.clone())]));
        all.extend((0..message.len()).map(|cut| with(vec![(MS, message[..cut].to_vec())])));
        for (byte, bit) in (0..message.len()).flat_map(|byte| [0, 5, 7].map(|bit| (byte, bit))) {
            let mut flipped = message.clone();
            flipped[byte] ^= 1 << bit;
            all.push(with(vec![(MS, flipped)]));
        }
        // Each run of digits at its extremes.
        let digits: Vec<usize> = (0..message.len())
            .filter(|i| message[*i].is_ascii_digit())
            .collect();
        for start in digits
            .iter()
            .filter(|i| **i == 0 || !message[**i - 1].is_ascii_digit())
        {
            let end = (*start..message.len())
                .find(|i| !message[*i].is_ascii_digit())
                .unwrap_or(message.len());
            for extreme in ["", "0", "-1", "1e308", "NaN", "18446744073709551616"] {
                let new = [&message[..*start], extreme.as_bytes(), &message[end..]].concat();
                all.push(with(vec![(MS, new)]));
            }
        }
    }
    all
}

/// Guards rule 2 and the one answer: however one message of an engine is spoilt, each attempt ends
/// once, and none that went out is taken for one that never ran but by the engine's own word.
#[test]
fn an_engines_spoilt_message_ends_each_attempt_once() {
    let messages: Vec<Vec<u8>> = [
        "a0 DONE sheets=2,toil=12.5,room=8 6\r\na\tb\tc\n\r\n",
        "p1 FIT meter=queue:0;util:0.25 0\r\n\r\n",
        "a1 WAIT - 0\r\n\r\n",
        "a0 MORE sheet=1 6\r\nd\te\tf\n\r\n",
        "a2 DONE sheets=1 0\r\n\r\n",
    ]
    .map(|m| m.as_bytes().to_vec())
    .into();
    let words = |m: &[u8], word: &str| String::from_utf8_lossy(m).contains(word);
    for (number, mutant) in mutants(&messages).into_iter().enumerate() {
        let names = Names {
            streams: 8,
            load_fields: vec!["queue".into()],
            ..Names::default()
        };
        let (mut now, mut events) = (SEC, Vec::new());
        let mut connection = ConnectionState::new(now, Platform::new(Rc::new(names)));
        connection.send_probe(now);
        for id in 0..4u32 {
            let key: Rc<str> = format!("a{id}").into();
            let statement = Rc::from(&b"SELECT 1"[..]);
            let (id, until) = (RequestId(id), now + 9 * SEC);
            connection.start_attempt(
                now,
                &AttemptRequest {
                    id,
                    client_request_id: key,
                    statement,
                    deadline: until,
                    class: "lookup".into(),
                    ..AttemptRequest::default()
                },
            );
        }
        let write = |connection: &mut ConnectionState<Platform>, now| {
            while let Some(n) = connection.pending_output().map(<[u8]>::len) {
                connection.advance_output(now, n);
            }
        };
        write(&mut connection, now);
        let told_full = mutant
            .iter()
            .any(|(_, m)| words(m, "WAIT") || words(m, "PAST"));
        for (wait, message) in mutant {
            now += wait;
            connection.on_timeout(now, &mut events);
            if connection.close_reason().is_none() && !message.is_empty() {
                connection.receive(now, &message, &mut events);
                write(&mut connection, now);
            }
        }
        connection.on_timeout(now + 5 * SEC, &mut events);
        connection.close(
            now + 5 * SEC,
            connection.close_reason().unwrap_or(Termination::Reset),
            &mut events,
        );
        let mut ends: BTreeMap<RequestId, usize> = BTreeMap::new();
        let mut probes = 0;
        for event in events {
            match event {
                ConnectionEvent::AttemptEnded(ended) => {
                    assert_eq!(
                        (ended.attempt, ended.progress),
                        (AttemptNo(0), TransmitProgress::Complete),
                        "{number}"
                    );
                    let cleared = never_ran(outcome(ended.termination, ended.progress));
                    assert!(
                        !cleared || (told_full && ended.id != RequestId(3)),
                        "{number}: {ended:?}"
                    );
                    *ends.entry(ended.id).or_default() += 1;
                }
                ConnectionEvent::ProbeCompleted { .. } => probes += 1,
            }
        }
        assert_eq!(
            ends,
            (0..4).map(|id| (RequestId(id), 1)).collect(),
            "{number}"
        );
        assert_eq!(probes, 1, "{number}");
    }
}

/// Guards the one answer: however one message of a client is spoilt, what it asked is answered once
/// at most, in lines that can be read, and nothing of what it withdrew is.
#[test]
fn a_clients_spoilt_message_brings_one_answer_at_most() {
    let messages = vec![
        rpc_line(1, "lookup", "9b1f03aa5c7e2d41", "acme", 1_500, "SELECT 1"),
        b"{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"status\"}\n".to_vec(),
        rpc_line(3, "lookup", "9b1f03aa5c7e2d42", "acme", 1_500, "SELECT 2"),
        b"{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{\"id\":1}}\n".to_vec(),
        rpc_line(4, "lookup", "9b1f03aa5c7e2d43", "acme", 1_500, "SELECT 3"),
    ];
    for (number, mutant) in mutants(&messages).into_iter().enumerate() {
        let named = |name: &str| vec![name.to_owned()];
        let names = Names {
            classes: named("lookup"),
            tenants: named("acme"),
            ..Names::default()
        };
        let names = Rc::new(std::cell::RefCell::new(Rc::new(names)));
        let mut front = JsonRpc::new(1, names, Rc::new(|| true));
        let (mut now, mut said, mut replies) = (SEC, Vec::new(), Vec::new());
        for (wait, message) in mutant {
            now += wait;
            // It may be read slowly: what is skimmed is found again, and counts once.
            front.scan_deferred_input(&message, 0, &mut said);
            let _ = front.feed(now, &message, &mut said, &mut replies);
        }
        let asked: Vec<u64> = said
            .iter()
            .filter_map(|s| {
                if let FrontendEvent::Request(a) = s {
                    Some(a.origin.tag)
                } else {
                    None
                }
            })
            .collect();
        for tag in asked.iter().chain(&asked) {
            front.write_response(
                now,
                *tag,
                Response::Rejected(Some(MS)),
                &mut Vec::new(),
                &mut replies,
            );
        }
        let text = String::from_utf8(replies).expect("text");
        let mut answers: BTreeMap<u64, usize> = BTreeMap::new();
        for line in text.lines() {
            let answer: serde_json::Value = serde_json::from_str(line).expect("a message");
            // The question whether it is ready may come under any number.
            let asked = answer["result"]["green"].is_null();
            answer["id"]
                .as_u64()
                .filter(|_| asked)
                .into_iter()
                .for_each(|id| *answers.entry(id).or_default() += 1);
        }
        assert!(
            asked
                .iter()
                .all(|tag| answers.get(tag).is_none_or(|n| *n == 1)),
            "{number}: {text}"
        );
        let withdrawn = said
            .iter()
            .filter(|s| matches!(s, FrontendEvent::RequestCancelled { .. }))
            .count();
        assert!(withdrawn <= 1 && front.open_requests() == 0, "{number}");
    }
}

/// Guards the list: however one frame of the coordinator is spoilt, numbers only grow, and a reader
/// that was thrown off asks again from the last event it has.
#[test]
fn a_coordinators_spoilt_frame_never_turns_its_numbers_back() {
    let frame = |number: u64, kind: u8, records: usize| {
        let mut out = (9 + 27 * records as u32).to_be_bytes().to_vec();
        out.extend(number.to_be_bytes());
        out.push(kind);
        out.extend((0..27 * records).map(|i| (i % 7) as u8));
        out
    };
    let messages = vec![
        frame(4, 2, 1),
        frame(4, 0, 0),
        frame(5, 2, 2),
        frame(6, 1, 2),
        frame(7, 2, 1),
    ];
    for (number, mutant) in mutants(&messages).into_iter().enumerate() {
        let mut reader = WatchReader::new(Rc::new(WatchPosition::after(3)));
        let mut told = vec![u64::from_be_bytes(reader.begin_connection())];
        for (_, message) in mutant {
            match reader.receive(&message) {
                Ok(updates) => told.extend(updates.into_iter().map(|u| u.index)),
                Err(_) => {
                    let from = u64::from_be_bytes(reader.begin_connection());
                    assert_eq!(Some(&from), told.last(), "{number}");
                }
            }
        }
        assert!(told.is_sorted_by(|a, b| a < b), "{number}: {told:?}");
    }
}
