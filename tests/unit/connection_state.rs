//! The state machine of a connection to an engine, with single cases and with a model under random
//! steps. Guards against attempts that never end or end twice, and against a reported progress that
//! differs from the bytes that were written: the progress decides whether a request may be retried.
use super::{
    CANCEL_SETTLE_MICROS, ConnectionEvent, ConnectionState, TAIL_HOLD_MICROS, Termination,
    TransmitProgress,
};
use crate::backend::Protocol;
use crate::backend::clickhouse::{ClickHouse, Credentials};
use crate::backend::platform::Platform;
use crate::clock::{MS, Micros};
use crate::config::process::Names;
use crate::dispatcher::termination::{never_ran, outcome};
use crate::dispatcher::{AttemptRequest, AttemptResult, Cost};
use crate::policy::api::{AttemptNo, OutcomeKind, RequestId};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The first attempt of a request; these tests use no other.
const FIRST_ATTEMPT: AttemptNo = AttemptNo(0);

/// A new connection of four streams to an engine of the platform.
fn new_connection(now: Micros) -> ConnectionState<Platform> {
    let names = Names {
        classes: vec!["lookup".into()],
        max_streams: 4,
        ..Names::default()
    };
    ConnectionState::new(now, Platform::new(Rc::new(names)))
}

fn attempt(id: u32, client_request_id: &str, deadline: Micros) -> AttemptRequest {
    AttemptRequest {
        id: RequestId(id),
        attempt: FIRST_ATTEMPT,
        client_request_id: client_request_id.into(),
        class: "lookup".into(),
        statement: Rc::from(&b"select"[..]),
        deadline,
        ..AttemptRequest::default()
    }
}

/// Writes all output that is not held back, and returns it.
fn write_all<P: Protocol>(connection: &mut ConnectionState<P>, now: Micros) -> Vec<u8> {
    let mut written = Vec::new();
    while let Some(bytes) = connection.pending_output().map(<[u8]>::to_vec) {
        connection.advance_output(now, bytes.len());
        written.extend(bytes);
    }
    written
}

/// A connection with the attempts `k1` and `k2` of requests 1 and 2, both sent.
fn connection_with_two_attempts() -> ConnectionState<Platform> {
    let mut connection = new_connection(0);
    for id in 1..=2 {
        connection.start_attempt(0, &attempt(id, &format!("k{id}"), 9_000 * MS));
    }
    write_all(&mut connection, 0);
    connection
}

fn ended_attempts(events: &[ConnectionEvent]) -> Vec<&AttemptResult> {
    events
        .iter()
        .filter_map(|event| match event {
            ConnectionEvent::AttemptEnded(result) => Some(result),
            ConnectionEvent::ProbeCompleted { .. } => None,
        })
        .collect()
}

/// The result of the only event.
fn only_result(events: &[ConnectionEvent]) -> &AttemptResult {
    match events {
        [ConnectionEvent::AttemptEnded(result)] => result,
        _ => panic!("not one ended attempt: {events:?}"),
    }
}

#[derive(Clone, Debug)]
enum Step {
    Start,
    Cancel(u8),
    Write(u8),
    Respond(u8, &'static str),
    Drain,
    Wait(u8),
}

const RESPONSES: [&str; 4] = ["DONE sheets=1 6", "WAIT - 6", "BROKE - 6", "PAST - 6"];

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Step {
        let argument = u8::arbitrary(generator);
        match u8::arbitrary(generator) % 10 {
            0..=2 => Step::Start,
            3 => Step::Cancel(argument),
            4..=6 => Step::Write(argument),
            7 => Step::Respond(argument, generator.choose(&RESPONSES).expect("a response")),
            8 => Step::Wait(argument),
            _ => Step::Drain,
        }
    }
}

/// The expected state of an attempt in flight.
#[derive(Clone, Debug, Default)]
struct ModelAttempt {
    first_byte_written: bool,
    /// Whether it got a response before its command was completely written.
    answered_early: bool,
    cancelled_at: Option<Micros>,
    drained: bool,
}

impl ModelAttempt {
    fn progress(&self) -> TransmitProgress {
        if self.answered_early {
            TransmitProgress::Partial
        } else if self.first_byte_written {
            TransmitProgress::Complete
        } else {
            TransmitProgress::Unsent
        }
    }

    /// Whether the attempt may end with `termination`, after that response or while the connection
    /// is being closed.
    fn may_end(&self, termination: Termination, response: Option<&str>, closing: bool) -> bool {
        match (termination, response) {
            (termination, Some(_)) if self.answered_early => {
                termination == Termination::ProtocolViolation
            }
            (Termination::Done, Some("DONE"))
            | (Termination::Rejected, Some("WAIT"))
            | (Termination::EngineError, Some("BROK"))
            | (Termination::AlreadyFinished, Some("PAST")) => true,
            (Termination::Drained, None) => self.drained && !self.first_byte_written,
            (Termination::Cancelled, None) => self.cancelled_at.is_some(),
            (Termination::Reset, None) => closing && self.cancelled_at.is_none(),
            _ => false,
        }
    }

    /// Whether the attempt was written and cancelled, and should have ended by now.
    fn is_overdue(&self, now: Micros) -> bool {
        let settled = |at| at + CANCEL_SETTLE_MICROS <= now;
        self.first_byte_written && self.cancelled_at.is_some_and(settled)
    }
}

/// A response of the engine to an attempt in flight.
#[derive(Clone, Copy)]
struct Response {
    id: u32,
    text: &'static str,
}

struct Model {
    connection: ConnectionState<Platform>,
    now: Micros,
    in_flight: BTreeMap<u32, ModelAttempt>,
    started: u32,
    written: Vec<u8>,
    /// Number of commands starting an attempt of which at least one byte was written.
    commands_started: usize,
    /// Whether an early response has closed the connection.
    closed: bool,
}

impl Model {
    fn new() -> Model {
        let now = 1_000 * MS;
        Model {
            connection: new_connection(now),
            now,
            in_flight: BTreeMap::new(),
            started: 0,
            written: Vec::new(),
            commands_started: 0,
            closed: false,
        }
    }

    /// Checks the attempts that ended against their expected state.
    fn check(
        &mut self,
        events: &[ConnectionEvent],
        response: Option<Response>,
        closing: bool,
    ) -> Result<(), String> {
        for result in ended_attempts(events) {
            let id = result.id.0;
            let expected = self
                .in_flight
                .remove(&id)
                .ok_or(format!("attempt {id} ended twice"))?;
            let verb = response
                .filter(|response| response.id == id)
                .map(|response| &response.text[..4]);
            let allowed = expected.may_end(result.termination, verb, closing);
            if !allowed || result.progress != expected.progress() {
                return Err(format!("{result:?}, but the model has {expected:?}"));
            }
        }
        let now = self.now;
        match self
            .in_flight
            .values()
            .find(|expected| expected.is_overdue(now))
        {
            Some(expected) => Err(format!("{expected:?} did not end after its cancellation")),
            None => Ok(()),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        if self.closed {
            return Ok(());
        }
        let mut events = Vec::new();
        let mut response = None;
        match step {
            Step::Start => self.start(),
            Step::Cancel(index) => self.cancel(*index, &mut events),
            Step::Write(count) => self.write(*count)?,
            Step::Respond(index, text) => response = self.respond(*index, text, &mut events),
            Step::Drain => self.drain(&mut events),
            Step::Wait(eighths) => self.wait(*eighths, &mut events),
        }
        let close_reason = self.connection.close_reason();
        self.check(&events, response, false)?;
        let unsent = |expected: &ModelAttempt| !expected.first_byte_written;
        if matches!(step, Step::Drain) && self.in_flight.values().any(unsent) {
            return Err("an unsent attempt remains after a drain".into());
        }
        match close_reason {
            Some(Termination::ProtocolViolation) if self.closed => Ok(()),
            None | Some(Termination::Dropped) if !self.closed => Ok(()),
            None => Err("an early response did not close the connection".into()),
            Some(reason) => Err(format!("the connection closes: {reason:?}")),
        }
    }

    /// One of the attempts in flight.
    fn pick(&self, index: u8) -> Option<u32> {
        let index = usize::from(index) % self.in_flight.len().max(1);
        self.in_flight.keys().nth(index).copied()
    }

    fn start(&mut self) {
        if self.connection.free_streams() == 0 {
            return;
        }
        self.started += 1;
        let client_request_id = format!("{:016x}", self.started);
        let request = attempt(self.started, &client_request_id, self.now + 1_000 * MS);
        self.connection.start_attempt(self.now, &request);
        self.in_flight.insert(self.started, ModelAttempt::default());
    }

    fn cancel(&mut self, index: u8, events: &mut Vec<ConnectionEvent>) {
        let Some(id) = self.pick(index) else { return };
        let expected = self.in_flight.get_mut(&id).expect("an attempt in flight");
        expected.cancelled_at = expected.cancelled_at.or(Some(self.now));
        self.connection
            .cancel_attempt(self.now, RequestId(id), FIRST_ATTEMPT, events);
    }

    fn write(&mut self, count: u8) -> Result<(), String> {
        let Some(bytes) = self.connection.pending_output() else {
            return Ok(());
        };
        let count = (usize::from(count) % 90 + 1).min(bytes.len());
        self.written.extend_from_slice(&bytes[..count]);
        self.connection.advance_output(self.now, count);
        // A command counts as started from its first byte, even if its line is incomplete.
        let text = String::from_utf8_lossy(&self.written);
        let starts_attempt =
            |line: &&str| !line.is_empty() && ("do ".starts_with(*line) || line.starts_with("do "));
        let started_count = text.split("\r\n").filter(starts_attempt).count();
        if started_count > self.commands_started {
            let next = self
                .in_flight
                .values_mut()
                .find(|expected| !expected.first_byte_written);
            next.ok_or("a command for no attempt")?.first_byte_written = true;
        }
        self.commands_started = started_count;
        Ok(())
    }

    /// Whether the last byte of the attempt's command was written.
    fn is_completely_written(&self, id: u32) -> bool {
        let text = String::from_utf8_lossy(&self.written);
        let command = text.split_once(&format!("do {id:016x} "));
        command.is_some_and(|(_, rest)| rest.contains("\r\nselect\r\n"))
    }

    /// Delivers a response to an attempt that was sent, in two pieces. If its command is not written
    /// to its end, the response is not the attempt's, and the connection is closed. A response to a cancelled
    /// attempt has no effect, as the protocol has already removed the attempt.
    fn respond(
        &mut self,
        index: u8,
        text: &'static str,
        events: &mut Vec<ConnectionEvent>,
    ) -> Option<Response> {
        let id = self.pick(index)?;
        let expected = &self.in_flight[&id];
        if !expected.first_byte_written {
            return None;
        }
        let cancelled = expected.cancelled_at.is_some();
        if !cancelled && !self.is_completely_written(id) {
            self.closed = true;
            let expected = self.in_flight.get_mut(&id).expect("an attempt in flight");
            expected.answered_early = true;
        }
        let message = format!("{id:016x} {text}\r\na\tb\tc\n\r\n");
        let split_at = usize::from(index) % message.len();
        let (first, second) = message.as_bytes().split_at(split_at);
        for piece in [first, second] {
            if !piece.is_empty() {
                self.connection.receive(self.now, piece, events);
            }
        }
        (!cancelled).then_some(Response { id, text })
    }

    fn drain(&mut self, events: &mut Vec<ConnectionEvent>) {
        for expected in self.in_flight.values_mut() {
            expected.drained = true;
        }
        self.connection.drain(self.now, events);
    }

    fn wait(&mut self, eighths: u8, events: &mut Vec<ConnectionEvent>) {
        self.now += u64::from(eighths) * MS / 8;
        self.connection.on_timeout(self.now, events);
    }

    fn close(&mut self) -> Result<(), String> {
        let mut events = Vec::new();
        self.connection
            .close(self.now, Termination::Reset, &mut events);
        self.check(&events, None, true)
    }
}

#[test]
fn every_attempt_ends_once_with_the_progress_of_the_written_bytes() {
    fn run_steps(steps: Vec<Step>) -> Result<bool, String> {
        let mut model = Model::new();
        for step in &steps {
            model.step(step)?;
        }
        model.close()?;
        if model.in_flight.is_empty() {
            Ok(true)
        } else {
            Err("an attempt did not end".into())
        }
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(2_000);
    check.quickcheck(run_steps as fn(Vec<Step>) -> Result<bool, String>);
}

/// Corrupted bytes must not be passed on as a result: the connection is closed.
#[test]
fn a_corrupted_response_closes_the_connection() {
    let endless_line = format!("k1 DONE {}", "x".repeat(5_000));
    for text in [
        "k1 DONE sheets=1 -3\r\n",
        "k1 DONE sheets=1 +6\r\na\tb\tc\n\r\n",
        "k1 DONE sheets=1 3000000000\r\nabc",
        "k1 DONE sheets=1 6\r\na\tb\tc\nmore\r\n",
        "k1 DONE sheets=1 4\r\na\tb\n\r\n",
        "k1 DONE sheets=0 0\r\n\r\n",
        "k1 DONE sheets=1 5\r\na\tb\tc\r\n",
        "k1 DONE sheets=1 6\r\na\tb\t\0\n\r\n",
        "k1 DONE sheets=1 x 0\r\n\r\n",
        "k1 DONE sheets 0\r\n\r\n",
        "noise\r\n",
        "k1 GONE - 0\r\n\r\n",
        &endless_line,
    ] {
        let mut connection = connection_with_two_attempts();
        let mut events = Vec::new();

        connection.receive(MS, text.as_bytes(), &mut events);

        assert_eq!(
            connection.close_reason(),
            Some(Termination::ProtocolViolation),
            "{text:?}"
        );
        assert!(events.is_empty(), "{text:?}: {events:?}");
    }
}

/// Further bytes of an incomplete message must not postpone its timeout.
#[test]
fn an_incomplete_message_times_out() {
    let mut connection = connection_with_two_attempts();
    let mut events = Vec::new();
    connection.receive(MS, b"k1 DONE sheets=1 6\r\na", &mut events);
    connection.receive(400 * MS, b"\t", &mut events);

    let timeout_at = connection.next_timeout().expect("a timeout");
    connection.on_timeout(timeout_at, &mut events);

    assert_eq!(connection.close_reason(), Some(Termination::Unresponsive));
    assert!(timeout_at < 1_000 * MS, "the timeout is at {timeout_at}");
}

/// Duplicates, responses to unknown requests and late load reports must not affect valid responses.
#[test]
fn unexpected_messages_are_ignored() {
    let mut connection = connection_with_two_attempts();
    let mut events = Vec::new();
    connection.send_probe(0);
    let unknown = "zz DONE sheets=1 6\r\na\tb\tc\n\r\n";
    let first_page = "k1 DONE sheets=2 6\r\na\tb\tc\n\r\n";
    let page = |number| format!("k1 MORE sheet={number} 6\r\nd\te\tf\n\r\n");
    let report = "p1 FIT meter=queue:1 0\r\n\r\n";

    let premature = page(1);
    let before = format!("{unknown}{premature}{first_page}{first_page}{report}{report}");
    connection.receive(MS, before.as_bytes(), &mut events);
    let after = format!("{}{}{}{first_page}", page(9), page(1), page(1));
    connection.receive(MS, after.as_bytes(), &mut events);

    let results = ended_attempts(&events);
    let probes = events.len() - results.len();
    let ended: Vec<(u32, Termination, &[u8])> = results
        .iter()
        .map(|result| (result.id.0, result.termination, &result.reply.rows[..]))
        .collect();
    let expected = vec![(1, Termination::Done, &b"a\tb\tc\nd\te\tf\n"[..])];
    assert_eq!(
        (probes, ended, connection.close_reason()),
        (1, expected, None)
    );
}

#[test]
fn a_missing_page_ends_only_its_own_request() {
    let mut connection = connection_with_two_attempts();
    let mut events = Vec::new();
    let first_page = b"k2 DONE sheets=2 0\r\n\r\n";
    connection.receive(2 * MS, first_page, &mut events);

    connection.on_timeout(9_000 * MS, &mut events);

    let result = only_result(&events);
    assert_eq!(result.termination, Termination::Unresponsive);
    assert_eq!(connection.close_reason(), None);
}

/// The last bytes of an attempt that must never run twice are written after a delay. If its
/// connection is reset before that, it can safely be retried.
#[test]
fn the_tail_of_a_non_idempotent_attempt_is_held_back() {
    for (tail_written, progress) in [
        (false, TransmitProgress::Partial),
        (true, TransmitProgress::Complete),
    ] {
        let mut connection = new_connection(0);
        let request = AttemptRequest {
            must_not_repeat: true,
            statement: Rc::from(&b"insert"[..]),
            ..attempt(1, "k1", 9_000 * MS)
        };
        let mut events = Vec::new();

        connection.start_attempt(0, &request);
        let head = connection.pending_output().expect("a head").to_vec();
        connection.advance_output(0, head.len());

        assert!(head.ends_with(b" 6\r\ninser"), "{head:?}");
        assert!(connection.pending_output().is_none());
        assert_eq!(connection.next_timeout(), Some(TAIL_HOLD_MICROS));

        if tail_written {
            connection.on_timeout(TAIL_HOLD_MICROS, &mut events);
            assert_eq!(connection.pending_output(), Some(&b"t\r\n"[..]));
            connection.advance_output(TAIL_HOLD_MICROS, 3);
        }
        connection.close(9 * MS, Termination::Reset, &mut events);

        let result = only_result(&events);
        assert_eq!(
            (result.termination, result.progress),
            (Termination::Reset, progress)
        );
    }
}

/// Guards loads against a run after they were reported as refused: in a past fault a late copy of an
/// earlier rejection ended an attempt whose last bytes were held back, and they were written all the
/// same. No answer ends an attempt before the end of its message is written, and that end is never
/// written after it.
#[test]
fn a_message_that_is_answered_before_its_end_is_never_completed() {
    for answer in ["WAIT - 0", "PAST - 0", "BROKE - 0", "DONE sheets=1 0"] {
        let mut connection = new_connection(0);
        let request = AttemptRequest {
            must_not_repeat: true,
            ..attempt(1, "k1", 9_000 * MS)
        };
        connection.start_attempt(0, &request);
        write_all(&mut connection, 0);
        let mut events = Vec::new();

        let message = format!("k1 {answer}\r\n\r\n");
        connection.receive(MS, message.as_bytes(), &mut events);
        connection.on_timeout(2 * TAIL_HOLD_MICROS, &mut events);

        let result = only_result(&events);
        assert!(never_ran(outcome(result.termination, result.progress)));
        assert_eq!(result.termination, Termination::ProtocolViolation);
        let close_reason = connection.close_reason();
        assert_eq!(close_reason, Some(Termination::ProtocolViolation));
        assert!(write_all(&mut connection, 2 * TAIL_HOLD_MICROS).is_empty());
    }
}

/// Guards retries against late copies of the rejection of an earlier attempt: they are not sent on the
/// connection that has carried it.
#[test]
fn a_request_that_was_rejected_is_not_retried_on_the_same_connection() {
    for (answer, termination) in [
        ("WAIT - 0", Termination::Rejected),
        ("PAST - 0", Termination::AlreadyFinished),
    ] {
        let mut connection = connection_with_two_attempts();
        let mut events = Vec::new();

        let message = format!("k1 {answer}\r\n\r\n");
        connection.receive(MS, message.as_bytes(), &mut events);
        connection.receive(MS, b"k2 DONE sheets=1 0\r\n\r\n", &mut events);

        assert_eq!(ended_attempts(&events)[0].termination, termination);
        let abandoned: Vec<RequestId> = connection.abandoned_requests().collect();
        assert_eq!(abandoned, [RequestId(1)]);
        assert_eq!(connection.close_reason(), None);
    }
}

/// The idempotency key, the memory grant and the priority must be encoded in the command as the
/// protocol requires. A change of priority follows the command, and the cost is read from the
/// response.
#[test]
fn keys_priorities_and_costs_are_encoded_in_the_platforms_protocol() {
    let mut connection = new_connection(0);
    let request = AttemptRequest {
        class: "plan-load".into(),
        statement: Rc::from(&b"insert"[..]),
        idempotency_key: Some("5c0f6e1a".into()),
        memory_mb: 95.2,
        priority: Some(2),
        ..attempt(1, "k1", 9_000 * MS)
    };
    connection.start_attempt(0, &request);
    // The first call comes before the command is written; the other two attempts are not in flight.
    connection.set_priority(RequestId(1), FIRST_ATTEMPT, 3);
    connection.set_priority(RequestId(1), AttemptNo(1), 0);
    connection.set_priority(RequestId(2), FIRST_ATTEMPT, 0);

    let written = write_all(&mut connection, 0);
    let fields = "cls=plan-load,limit=9000,nonce=5c0f6e1a,allot=96,urgency=2";
    assert_eq!(
        String::from_utf8_lossy(&written),
        format!("do k1 {fields} 6\r\ninsert\r\nbump k1 3\r\n")
    );

    let mut events = Vec::new();
    let response = b"k1 DONE sheets=1,toil=412.5,room=96 6\r\na\tb\tc\n\r\n";
    connection.receive(MS, response, &mut events);
    let expected = Cost {
        work: Some(412_500),
        memory_mb: Some(96.0),
    };
    assert_eq!(only_result(&events).reply.cost, expected);

    // An attempt that has ended has no priority.
    connection.set_priority(RequestId(1), FIRST_ATTEMPT, 1);
    assert!(connection.pending_output().is_none());
}

/// Impossible costs must not reach the estimates of a class, nor affect the rest of the response.
#[test]
fn impossible_costs_are_ignored() {
    for (work, memory) in [
        ("", ""),
        ("x", "y"),
        ("-4", "-1"),
        ("0", "0"),
        ("NaN", "inf"),
        ("1e300", "1e99"),
    ] {
        let mut connection = connection_with_two_attempts();
        let mut events = Vec::new();
        let fields = format!("sheets=1,toil={work},room={memory},more=1");
        let response = format!("k1 DONE {fields} 6\r\na\tb\tc\n\r\n");

        connection.receive(MS, response.as_bytes(), &mut events);

        let result = only_result(&events);
        assert_eq!(
            (result.termination, result.reply.cost),
            (Termination::Done, Cost::default()),
            "{work} {memory}"
        );
    }
}

/// A slow attempt must not make its connection suspect if it is not in flight, or if bytes were
/// received since it was sent.
#[test]
fn a_slow_attempt_does_not_make_a_connection_suspect_that_received_bytes_since() {
    let mut connection = connection_with_two_attempts();
    assert_eq!(connection.free_streams(), 2);

    connection.mark_slow(RequestId(9), FIRST_ATTEMPT);
    connection.mark_slow(RequestId(1), AttemptNo(3));
    assert_eq!(connection.free_streams(), 2, "not an attempt in flight");

    connection.receive(MS, b"k2 WAIT - 0\r\n\r\n", &mut Vec::new());
    connection.mark_slow(RequestId(1), FIRST_ATTEMPT);
    assert_eq!(
        connection.free_streams(),
        3,
        "bytes were received since it was sent"
    );
}

/// A connection that may be dead must take no new attempts, and close after those in flight.
#[test]
fn a_suspect_connection_takes_no_new_attempts() {
    let mut connection = connection_with_two_attempts();
    let mut events = Vec::new();

    connection.mark_slow(RequestId(1), FIRST_ATTEMPT);
    assert_eq!(connection.free_streams(), 0);
    assert_eq!(
        connection.close_reason(),
        None,
        "the attempts in flight may still get responses"
    );

    let responses = b"k1 DONE sheets=1 0\r\n\r\nk2 WAIT - 0\r\n\r\n";
    connection.receive(9 * MS, responses, &mut events);
    assert_eq!(events.len(), 2);
    assert_eq!(connection.close_reason(), Some(Termination::Dropped));
}

/// A new connection to an engine of the ClickHouse interface.
fn new_http_connection() -> ConnectionState<ClickHouse> {
    ConnectionState::new(0, ClickHouse::new(Rc::new(Credentials::default())))
}

/// Guards against a response that is delivered to another request: over HTTP a connection carries
/// nothing else until the response to an attempt or a probe has arrived.
#[test]
fn an_http_connection_sends_nothing_while_it_waits_for_a_response() {
    let query = attempt(1, "k1", 9_000 * MS);
    let mut events = Vec::new();

    let mut connection = new_http_connection();
    assert!(connection.send_probe(0).is_none());
    let sent = write_all(&mut connection, 0);
    assert_eq!(connection.free_streams(), 0);
    events.extend(connection.start_attempt(0, &query));
    let refused = only_result(&events);
    assert_eq!(refused.termination, Termination::LocalLimit);
    assert_eq!(refused.progress, TransmitProgress::Unsent);
    assert!(!sent.is_empty() && write_all(&mut connection, 0).is_empty());

    let mut connection = new_http_connection();
    assert!(connection.start_attempt(0, &query).is_none());
    write_all(&mut connection, 0);
    let refused = connection.send_probe(0);
    assert!(matches!(
        refused,
        Some(ConnectionEvent::ProbeCompleted {
            kind: OutcomeKind::NeverSent,
            ..
        })
    ));
    assert!(write_all(&mut connection, 0).is_empty());
    events.clear();
    connection.receive(MS, IDENTIFIED_RESULT, &mut events);
    assert_eq!(&only_result(&events).reply.rows, b"a\tb\n");
    assert_eq!(connection.free_streams(), 1);
}

/// The result of the attempt `k1`.
const IDENTIFIED_RESULT: &[u8] =
    b"HTTP/1.1 200 OK\r\nX-ClickHouse-Query-Id: k1\r\nContent-Length: 4\r\n\r\na\tb\n";

/// A connection whose engine has identified a result.
fn http_connection_after_identified_result() -> ConnectionState<ClickHouse> {
    let mut connection = new_http_connection();
    connection.start_attempt(0, &attempt(1, "k1", 9_000 * MS));
    write_all(&mut connection, 0);
    connection.receive(0, IDENTIFIED_RESULT, &mut Vec::new());
    connection
}

/// Guards statements against late copies of responses that name no statement: in a past fault the
/// copy of the answer to a ping was served as the result of the next statement, and that of a
/// rejection ended the next load, which ran. No statement follows such a response on its connection,
/// unless its copy would be noticed.
#[test]
fn an_http_connection_is_not_reused_after_a_response_whose_copy_would_be_mistaken() {
    let result = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\na\tb\n";
    let rejection = b"HTTP/1.1 503 Busy\r\nX-ClickHouse-Exception-Code: 202\r\nContent-Length: 27\r\n\r\nCode: 202. DB::Exception: \n\n";
    let named_rejection = b"HTTP/1.1 503 Busy\r\nX-ClickHouse-Query-Id: k2\r\nX-ClickHouse-Exception-Code: 202\r\nContent-Length: 27\r\n\r\nCode: 202. DB::Exception: \n\n";
    let connections = [new_http_connection, http_connection_after_identified_result];
    for (connection_index, response, is_reused) in [
        (0, &result[..], false),
        (0, &rejection[..], false),
        (1, &rejection[..], false),
        (0, &named_rejection[..], true),
        (1, &named_rejection[..], true),
    ] {
        let mut connection = connections[connection_index]();
        let mut events = Vec::new();
        connection.start_attempt(MS, &attempt(2, "k2", 9_000 * MS));
        write_all(&mut connection, MS);

        connection.receive(2 * MS, response, &mut events);

        assert_eq!(ended_attempts(&events).len(), 1);
        assert_eq!(connection.free_streams(), usize::from(is_reused));
        assert_eq!(connection.close_reason().is_none(), is_reused);
    }
}

/// A response in parts is outstanding until its last byte. The copy of an answer to a ping would be
/// noticed only where the engine identifies results.
#[test]
fn an_http_connection_is_free_or_closed_once_the_response_to_a_ping_is_complete() {
    check_ping(http_connection_after_identified_result(), 1);
    check_ping(new_http_connection(), 0);
}

/// Sends a ping, and checks how many statements the connection takes after its response.
fn check_ping(mut connection: ConnectionState<ClickHouse>, free_streams_after: usize) {
    let mut events = Vec::new();
    connection.send_probe(0);
    write_all(&mut connection, 0);

    connection.receive(
        MS,
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nOk",
        &mut events,
    );
    assert_eq!((connection.free_streams(), events.len()), (0, 0));
    assert_eq!(connection.close_reason(), None);
    connection.receive(MS, b".\n", &mut events);
    assert_eq!(
        (connection.free_streams(), events.len()),
        (free_streams_after, 1)
    );
    assert_eq!(connection.close_reason().is_none(), free_streams_after > 0);
}

const PING_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nOk.\n";

/// A connection whose engine has answered a ping.
fn http_connection_after_ping() -> ConnectionState<ClickHouse> {
    let mut connection = new_http_connection();
    connection.send_probe(0);
    write_all(&mut connection, 0);
    connection.receive(MS, PING_RESPONSE, &mut Vec::new());
    connection
}

/// Guards against the duplicate of a response as the result of a statement that the engine does not
/// have yet: the attempt never ran, and the connection is closed.
#[test]
fn a_response_before_its_statement_is_written_is_not_its_result() {
    for must_not_repeat in [false, true] {
        let mut connection = http_connection_after_ping();
        let mut events = Vec::new();
        let query = AttemptRequest {
            must_not_repeat,
            ..attempt(1, "k1", 9_000 * MS)
        };
        connection.start_attempt(MS, &query);
        if must_not_repeat {
            write_all(&mut connection, MS); // the last bytes are held back
        }

        connection.receive(MS, PING_RESPONSE, &mut events);

        let result = only_result(&events);
        assert_eq!(result.termination, Termination::ProtocolViolation);
        assert!(never_ran(outcome(result.termination, result.progress)));
        assert_eq!(
            connection.close_reason(),
            Some(Termination::ProtocolViolation)
        );
    }
}

/// Guards against the duplicate of a response to a ping as the result of a statement, at engines
/// that identify the results of statements. Their exceptions may lack the identifier.
#[test]
fn a_result_without_the_identifier_that_the_engine_sends_otherwise_is_rejected() {
    let result_of_first =
        b"HTTP/1.1 200 OK\r\nX-ClickHouse-Query-Id: k1\r\nContent-Length: 4\r\n\r\na\tb\n";
    let exception = b"HTTP/1.1 500 Error\r\nContent-Length: 26\r\n\r\nCode: 241. DB::Exception: \n";
    for (response, expected) in [
        (PING_RESPONSE, Termination::ProtocolViolation),
        (exception, Termination::EngineError),
    ] {
        let mut connection = http_connection_after_ping();
        let mut events = Vec::new();
        connection.start_attempt(MS, &attempt(1, "k1", 9_000 * MS));
        write_all(&mut connection, MS);
        connection.receive(2 * MS, result_of_first, &mut events);
        assert_eq!(only_result(&events).termination, Termination::Done);
        connection.start_attempt(2 * MS, &attempt(2, "k2", 9_000 * MS));
        write_all(&mut connection, 2 * MS);
        events.clear();

        connection.receive(3 * MS, response, &mut events);
        if let Some(reason) = connection.close_reason() {
            connection.close(3 * MS, reason, &mut events);
        }

        assert_eq!(only_result(&events).termination, expected);
    }
}
