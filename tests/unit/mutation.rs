//! Recorded exchanges in which one message at a time is mutated, for the protocols of clients,
//! engines and the coordinator: the message is dropped, duplicated, truncated, delayed beyond its
//! deadline, has a bit flipped, or has a number replaced by an extreme one. After each mutation,
//! every attempt and every request ends at most once, and others that are open are affected at most
//! by the end of their connection.
use crate::backend::connection_state::{ConnectionEvent, ConnectionState};
use crate::backend::platform::Platform;
use crate::clock::{MS, Micros, SEC};
use crate::config::process::Names;
use crate::dispatcher::termination::{Termination, TransmitProgress, never_ran, outcome};
use crate::dispatcher::{AttemptRequest, AttemptResult, Response};
use crate::frontend::jsonrpc::JsonRpc;
use crate::frontend::{Frontend, FrontendEvent};
use crate::net::discovery::coordinator::{WatchPosition, WatchReader};
use crate::policy::api::{AttemptNo, RequestId};
use crate::testkit::clients::rpc_line;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A message that arrives after a delay.
#[derive(Clone)]
struct Delivery {
    delay: Micros,
    message: Vec<u8>,
}

impl Delivery {
    fn prompt(message: Vec<u8>) -> Delivery {
        Delivery { delay: MS, message }
    }

    fn late(message: Vec<u8>) -> Delivery {
        Delivery {
            delay: 20 * SEC,
            message,
        }
    }
}

/// The original exchange, and the exchange with each mutation of each message.
fn mutated_exchanges(messages: &[Vec<u8>]) -> Vec<Vec<Delivery>> {
    let original: Vec<Delivery> = messages.iter().cloned().map(Delivery::prompt).collect();
    let mut exchanges = vec![original.clone()];
    for (index, message) in messages.iter().enumerate() {
        for replacement in mutations(message) {
            let mut exchange = original.clone();
            exchange.splice(index..=index, replacement);
            exchanges.push(exchange);
        }
    }
    exchanges
}

/// The deliveries that replace a message, one list for each mutation.
fn mutations(message: &[u8]) -> Vec<Vec<Delivery>> {
    let unchanged = Delivery::prompt(message.to_vec());
    let dropped = vec![];
    let duplicated = vec![unchanged.clone(), unchanged];
    let delayed = vec![Delivery::late(message.to_vec())];
    let mut mutations = vec![dropped, duplicated, delayed];
    let changed = truncations(message)
        .into_iter()
        .chain(bit_flips(message))
        .chain(extreme_numbers(message));
    mutations.extend(changed.map(|message| vec![Delivery::prompt(message)]));
    mutations
}

fn truncations(message: &[u8]) -> Vec<Vec<u8>> {
    (0..message.len())
        .map(|length| message[..length].to_vec())
        .collect()
}

fn bit_flips(message: &[u8]) -> Vec<Vec<u8>> {
    let flip = |byte: usize, bit: u8| {
        let mut flipped = message.to_vec();
        flipped[byte] ^= 1 << bit;
        flipped
    };
    (0..message.len())
        .flat_map(|byte| [0, 5, 7].map(|bit| flip(byte, bit)))
        .collect()
}

/// The message with each run of digits replaced by each extreme value.
fn extreme_numbers(message: &[u8]) -> Vec<Vec<u8>> {
    let is_digit = |index: usize| message[index].is_ascii_digit();
    let starts =
        (0..message.len()).filter(|&start| is_digit(start) && (start == 0 || !is_digit(start - 1)));
    let mut changed = Vec::new();
    for start in starts {
        let end = (start..message.len())
            .find(|&index| !is_digit(index))
            .unwrap_or(message.len());
        for extreme in ["", "0", "-1", "1e308", "NaN", "18446744073709551616"] {
            changed.push([&message[..start], extreme.as_bytes(), &message[end..]].concat());
        }
    }
    changed
}

/// An engine connection that has sent attempts 0 to 3 and a probe.
fn connection_with_attempts(now: Micros) -> ConnectionState<Platform> {
    let names = Names {
        max_streams: 8,
        load_fields: vec!["queue".into()],
        ..Names::default()
    };
    let mut connection = ConnectionState::new(now, Platform::new(Rc::new(names)));
    connection.send_probe(now);
    for id in 0..4u32 {
        let attempt = AttemptRequest {
            id: RequestId(id),
            client_request_id: format!("a{id}").into(),
            statement: Rc::from(&b"SELECT 1"[..]),
            deadline: now + 9 * SEC,
            class: "lookup".into(),
            ..AttemptRequest::default()
        };
        connection.start_attempt(now, &attempt);
    }
    write_all(&mut connection, now);
    connection
}

fn write_all(connection: &mut ConnectionState<Platform>, now: Micros) {
    while let Some(length) = connection.pending_output().map(<[u8]>::len) {
        connection.advance_output(now, length);
    }
}

/// Delivers an exchange to the connection, advances the time past the deadlines, and closes the
/// connection.
fn engine_events(exchange: &[Delivery]) -> Vec<ConnectionEvent> {
    let mut now = SEC;
    let mut connection = connection_with_attempts(now);
    let mut events = Vec::new();
    for Delivery { delay, message } in exchange {
        now += delay;
        connection.on_timeout(now, &mut events);
        if connection.close_reason().is_none() && !message.is_empty() {
            connection.receive(now, message, &mut events);
            write_all(&mut connection, now);
        }
    }
    let end = now + 5 * SEC;
    connection.on_timeout(end, &mut events);
    let termination = connection.close_reason().unwrap_or(Termination::Reset);
    connection.close(end, termination, &mut events);
    events
}

/// Guards against double execution: an attempt that was written counts as not run only if the
/// engine reports so.
#[test]
fn a_mutated_engine_message_ends_each_attempt_once() {
    let messages = [
        "a0 DONE sheets=2,toil=12.5,room=8 6\r\na\tb\tc\n\r\n",
        "p1 FIT meter=queue:0;util:0.25 0\r\n\r\n",
        "a1 WAIT - 0\r\n\r\n",
        "a0 MORE sheet=1 6\r\nd\te\tf\n\r\n",
        "a2 DONE sheets=1 0\r\n\r\n",
    ]
    .map(|message| message.as_bytes().to_vec());
    for (number, exchange) in mutated_exchanges(&messages).iter().enumerate() {
        let may_report_not_run = exchange.iter().any(|delivery| {
            let text = String::from_utf8_lossy(&delivery.message);
            text.contains("WAIT") || text.contains("PAST")
        });

        let events = engine_events(exchange);

        let mut end_counts: BTreeMap<RequestId, usize> = BTreeMap::new();
        let mut probe_ends = 0;
        for event in events {
            match event {
                ConnectionEvent::AttemptEnded(result) => {
                    check_attempt_end(number, &result, may_report_not_run);
                    *end_counts.entry(result.id).or_default() += 1;
                }
                ConnectionEvent::ProbeCompleted { .. } => probe_ends += 1,
            }
        }
        let once_each = (0..4).map(|id| (RequestId(id), 1)).collect();
        assert_eq!(end_counts, once_each, "exchange {number}");
        assert_eq!(probe_ends, 1, "exchange {number}");
    }
}

/// Checks the end of an attempt. Attempt 3 is in none of the messages, so it never counts as not
/// run.
fn check_attempt_end(number: usize, result: &AttemptResult, may_report_not_run: bool) {
    assert_eq!(
        (result.attempt, result.progress),
        (AttemptNo(0), TransmitProgress::Complete),
        "exchange {number}"
    );
    let counts_as_not_run = never_ran(outcome(result.termination, result.progress));
    assert!(
        !counts_as_not_run || (may_report_not_run && result.id != RequestId(3)),
        "exchange {number}: {result:?}"
    );
}

fn json_rpc_frontend() -> JsonRpc {
    let names = Names {
        classes: vec!["lookup".to_owned()],
        tenants: vec!["acme".to_owned()],
        ..Names::default()
    };
    let names = Rc::new(RefCell::new(Rc::new(names)));
    JsonRpc::new(1, names, Rc::new(|| true))
}

/// The number of responses to each id in these lines. Responses to readiness queries are left out,
/// because they may have any id.
fn response_counts_by_id(lines: &str) -> BTreeMap<u64, usize> {
    let mut response_counts = BTreeMap::new();
    for line in lines.lines() {
        let response: serde_json::Value = serde_json::from_str(line).expect("a JSON message");
        let is_readiness = !response["result"]["green"].is_null();
        if let Some(id) = response["id"].as_u64()
            && !is_readiness
        {
            *response_counts.entry(id).or_default() += 1;
        }
    }
    response_counts
}

/// Checks as well that the lines to the client are valid JSON and that no request stays open.
#[test]
fn a_mutated_client_message_gets_at_most_one_response() {
    let messages = [
        rpc_line(1, "lookup", "9b1f03aa5c7e2d41", "acme", 1_500, "SELECT 1"),
        b"{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"status\"}\n".to_vec(),
        rpc_line(3, "lookup", "9b1f03aa5c7e2d42", "acme", 1_500, "SELECT 2"),
        b"{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{\"id\":1}}\n".to_vec(),
        rpc_line(4, "lookup", "9b1f03aa5c7e2d43", "acme", 1_500, "SELECT 3"),
    ];
    for (number, exchange) in mutated_exchanges(&messages).into_iter().enumerate() {
        let mut frontend = json_rpc_frontend();
        let mut now = SEC;
        let mut events = Vec::new();
        let mut output = Vec::new();
        for Delivery { delay, message } in exchange {
            now += delay;
            // Deferred input is scanned first; a cancellation that the scan finds must not count
            // twice.
            frontend.scan_deferred_input(&message, 0, &mut events);
            let _ = frontend.feed(now, &message, &mut events, &mut output);
        }
        let tags: Vec<u64> = events
            .iter()
            .filter_map(|event| match event {
                FrontendEvent::Request(request) => Some(request.origin.tag),
                _ => None,
            })
            .collect();

        // Each request gets two responses, and the second one must not be written.
        for tag in tags.iter().chain(&tags) {
            let response = Response::Rejected(Some(MS));
            frontend.write_response(now, *tag, response, &mut Vec::new(), &mut output);
        }

        let text = String::from_utf8(output).expect("text");
        let response_counts = response_counts_by_id(&text);
        assert!(
            tags.iter()
                .all(|tag| response_counts.get(tag).is_none_or(|count| *count == 1)),
            "exchange {number}: {text}"
        );
        let cancellations = events
            .iter()
            .filter(|event| matches!(event, FrontendEvent::RequestCancelled { .. }))
            .count();
        assert!(
            cancellations <= 1 && frontend.open_requests() == 0,
            "exchange {number}"
        );
    }
}

/// A frame of the coordinator: its length, the event's index, its kind, and its records.
fn coordinator_frame(index: u64, kind: u8, records: usize) -> Vec<u8> {
    const RECORD_BYTES: usize = 27;
    let length = 9 + (RECORD_BYTES * records) as u32;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend(index.to_be_bytes());
    frame.push(kind);
    frame.extend((0..RECORD_BYTES * records).map(|i| (i % 7) as u8));
    frame
}

/// Guards against a watch that does not resume from the last event received after an error.
#[test]
fn a_mutated_coordinator_frame_never_decreases_the_watch_position() {
    let messages = [
        coordinator_frame(4, 2, 1),
        coordinator_frame(4, 0, 0),
        coordinator_frame(5, 2, 2),
        coordinator_frame(6, 1, 2),
        coordinator_frame(7, 2, 1),
    ];
    for (number, exchange) in mutated_exchanges(&messages).into_iter().enumerate() {
        let mut watch_reader = WatchReader::new(Rc::new(WatchPosition::after(3)));
        let mut positions = vec![u64::from_be_bytes(watch_reader.begin_connection())];
        for delivery in exchange {
            match watch_reader.receive(&delivery.message) {
                Ok(updates) => positions.extend(updates.into_iter().map(|update| update.index)),
                Err(_) => {
                    let resumed_from = u64::from_be_bytes(watch_reader.begin_connection());
                    assert_eq!(Some(&resumed_from), positions.last(), "exchange {number}");
                }
            }
        }
        assert!(
            positions.is_sorted_by(|earlier, later| earlier < later),
            "exchange {number}: {positions:?}"
        );
    }
}
