//! The platform's engine protocol: messages of a line and a body, and results in pages.
mod message;
mod response;

use super::{AttemptEnd, BackendEvent, ProbeId, Protocol, ProtocolError, ProtocolOutput};
use crate::clock::{MS, Micros};
use crate::config::process::Names;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{AttemptRequest, Cost};
use crate::idle_buffer::free_grown_buffer;
use crate::policy::api::{LoadReport, MAX_LOAD_FIELDS, OutcomeKind, RequestId};
use message::{Fields, Message, Verb};
use response::{MAX_PAGES, PageStatus, PendingResponse};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;

/// Time limit from the first byte of a message to its last, so that an incomplete message does not
/// block the other attempts on its connection.
const MESSAGE_TIMEOUT_MICROS: Micros = 500 * MS;

/// The protocol of one connection to an engine of the platform.
pub struct Platform {
    names: Rc<Names>,
    /// Pending responses, by the client's identifier of the request.
    responses: BTreeMap<Rc<str>, PendingResponse>,
    input: Vec<u8>,
    /// When the first byte of the incomplete message in `input` was received.
    message_started_at: Option<Micros>,
}

impl Platform {
    /// Creates the protocol state of a new connection.
    pub fn new(names: Rc<Names>) -> Platform {
        Platform {
            names,
            responses: BTreeMap::new(),
            input: Vec::new(),
            message_started_at: None,
        }
    }

    /// Processes the complete messages in `input` and returns their total length in bytes.
    fn receive_messages(
        &mut self,
        now: Micros,
        input: &[u8],
        output: &mut ProtocolOutput,
    ) -> Result<usize, ProtocolError> {
        let mut used = 0;
        while let Some(message) = message::decode(&input[used..])? {
            used += message.length;
            self.process(now, &message, output)?;
        }
        Ok(used)
    }

    fn process(
        &mut self,
        now: Micros,
        message: &Message,
        output: &mut ProtocolOutput,
    ) -> Result<(), ProtocolError> {
        match message.verb {
            Verb::ProbeAccepted => self.complete_probe(message, OutcomeKind::Ok, output),
            Verb::ProbeRejected => self.complete_probe(message, OutcomeKind::Rejected, output),
            Verb::Done => self.process_first_page(now, message, output)?,
            Verb::Page => self.process_page(message, output)?,
            Verb::Rejected => self.end_response(message.key, Termination::Rejected, output),
            Verb::AlreadyFinished => {
                self.end_response(message.key, Termination::AlreadyFinished, output);
            }
            Verb::Failed => self.end_response(message.key, Termination::EngineError, output),
            Verb::Acknowledgement => {}
        }
        Ok(())
    }

    fn complete_probe(&self, message: &Message, kind: OutcomeKind, output: &mut ProtocolOutput) {
        let number = message.key.strip_prefix('p');
        let Some(number) = number.and_then(|number| number.parse().ok()) else {
            return;
        };
        output.events.push(BackendEvent::ProbeCompleted {
            probe: ProbeId(number),
            kind,
            load: load_report(&self.names.load_fields, &message.fields),
        });
    }

    fn process_first_page(
        &mut self,
        now: Micros,
        message: &Message,
        output: &mut ProtocolOutput,
    ) -> Result<(), ProtocolError> {
        let key = message.key;
        // The response to an attempt that was just cancelled is not a protocol violation.
        let Some(response) = self.responses.get_mut(key) else {
            return Ok(());
        };
        if !message::is_valid_page(message.body) {
            return Err(ProtocolError::Violation);
        }
        if response.has_first_page() {
            // A duplicate of the first page.
            return Ok(());
        }
        let page_count = message.fields.number("sheets").filter(|count| *count > 0);
        let Some(page_count) = page_count else {
            return Err(ProtocolError::Violation);
        };
        response.load = load_report(&self.names.load_fields, &message.fields);
        response.cost =
            Cost::from_report(message.fields.number("toil"), message.fields.number("room"));
        if page_count > MAX_PAGES {
            self.end_response(key, Termination::EngineError, output);
            return Ok(());
        }
        response.store_first_page(now, page_count, message.body);
        for number in 1..page_count {
            let request = format!("page {key} {number}\r\n");
            output.replies.extend_from_slice(request.as_bytes());
        }
        self.end_if_finished(key, output);
        Ok(())
    }

    fn process_page(
        &mut self,
        message: &Message,
        output: &mut ProtocolOutput,
    ) -> Result<(), ProtocolError> {
        let Some(response) = self.responses.get_mut(message.key) else {
            return Ok(());
        };
        if !message::is_valid_page(message.body) {
            return Err(ProtocolError::Violation);
        }
        if let Some(number) = message.fields.number("sheet") {
            response.store_page(number, message.body);
        }
        self.end_if_finished(message.key, output);
        Ok(())
    }

    fn end_if_finished(&mut self, key: &str, output: &mut ProtocolOutput) {
        let status = self.responses.get(key).map(PendingResponse::status);
        match status {
            Some(PageStatus::Complete) => self.end_response(key, Termination::Done, output),
            Some(PageStatus::TooLarge) => self.end_response(key, Termination::EngineError, output),
            Some(PageStatus::Incomplete) | None => {}
        }
    }

    /// Ends a response. Does nothing if its attempt was cancelled.
    fn end_response(&mut self, key: &str, termination: Termination, output: &mut ProtocolOutput) {
        let Some(response) = self.responses.remove(key) else {
            return;
        };
        if response.has_several_pages() {
            push_forget(key, output);
        }
        let mut end = AttemptEnd::without_result(response.id, termination);
        end.load = response.load;
        end.cost = response.cost;
        // The result has either all rows, in order, or none.
        if termination == Termination::Done {
            end.rows = response.into_rows();
        }
        output.events.push(BackendEvent::AttemptEnded(end));
    }

    fn find_key(&self, id: RequestId) -> Option<Rc<str>> {
        let entry = self.responses.iter().find(|(_, found)| found.id == id);
        entry.map(|(key, _)| key.clone())
    }
}

/// Queues the command by which the engine discards the pages of a response.
fn push_forget(key: &str, output: &mut ProtocolOutput) {
    let command = format!("forget {key}\r\n");
    output.replies.extend_from_slice(command.as_bytes());
}

/// Reads the load values listed in `names`, in that order, from the field `meter` of a message.
fn load_report(names: &[String], fields: &Fields) -> LoadReport {
    let meter = fields.get("meter").unwrap_or_default();
    let reported: Vec<(&str, f32)> = meter
        .split(';')
        .filter_map(|pair| pair.split_once(':'))
        .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
        .collect();
    let mut values = [0.0; MAX_LOAD_FIELDS];
    let mut reported_len = 0;
    for (index, name) in names.iter().take(MAX_LOAD_FIELDS).enumerate() {
        let matches_name = |found: &str| found == name || found == reported_name(name);
        let value = reported
            .iter()
            .find(|(found, value)| matches_name(found) && value.is_finite());
        if let Some((_, value)) = value {
            values[index] = *value;
            reported_len = index + 1;
        }
    }
    LoadReport::from_values(&values[..reported_len])
}

/// The other name under which engines may report a load value of the settings.
fn reported_name(settings_name: &str) -> &str {
    match settings_name {
        "outstanding" => "inflight",
        "backlog" => "queue",
        "utilization" => "util",
        "recent_ms" => "latency_ms",
        "throughput" => "qps",
        "errors_per_s" => "eps",
        other => other,
    }
}

/// The fields of the command that starts an attempt.
fn start_fields(now: Micros, request: &AttemptRequest) -> String {
    let limit_ms = (request.deadline.saturating_sub(now) / MS).max(1);
    let mut fields = format!("cls={},limit={limit_ms}", request.class);
    // Writing to a string can't fail.
    if let Some(key) = &request.idempotency_key {
        let _ = write!(fields, ",nonce={key}");
    }
    if request.memory_mb > 0.0 {
        let _ = write!(fields, ",allot={}", request.memory_mb.ceil());
    }
    if let Some(priority) = request.priority {
        let _ = write!(fields, ",urgency={priority}");
    }
    fields
}

impl Protocol for Platform {
    fn max_streams(&self) -> usize {
        self.names.max_streams
    }

    fn start_attempt(&mut self, now: Micros, request: &AttemptRequest) -> Vec<u8> {
        let key = &request.client_request_id;
        let fields = start_fields(now, request);
        let length = request.statement.len();
        let mut command = format!("do {key} {fields} {length}\r\n").into_bytes();
        command.extend_from_slice(&request.statement);
        command.extend_from_slice(b"\r\n");
        self.responses
            .insert(key.clone(), PendingResponse::new(request.id));
        command
    }

    fn cancel_attempt(&mut self, id: RequestId) -> Option<Vec<u8>> {
        let Some(key) = self.find_key(id) else {
            return Some(Vec::new());
        };
        let response = self.responses.remove(&key);
        let has_first_page = response.is_some_and(|response| response.has_first_page());
        let verb = if has_first_page { "forget" } else { "undo" };
        Some(format!("{verb} {key}\r\n").into_bytes())
    }

    fn set_priority(&mut self, id: RequestId, priority: u8) -> Vec<u8> {
        let running = self
            .responses
            .iter()
            .find(|(_, response)| response.id == id && !response.has_first_page());
        let Some((key, _)) = running else {
            return Vec::new();
        };
        format!("bump {key} {priority}\r\n").into_bytes()
    }

    fn send_probe(&mut self, probe: ProbeId) -> Vec<u8> {
        let verb = if self.names.load_fields.is_empty() {
            "ping"
        } else {
            "top"
        };
        format!("{verb} p{probe}\r\n").into_bytes()
    }

    fn receive(
        &mut self,
        now: Micros,
        input: &[u8],
        output: &mut ProtocolOutput,
    ) -> Result<(), ProtocolError> {
        self.input.extend_from_slice(input);
        let buffered = std::mem::take(&mut self.input);
        let received = self.receive_messages(now, &buffered, output);
        self.input = buffered;
        let used = received?;
        self.input.drain(..used);
        if self.input.is_empty() {
            self.message_started_at = None;
            free_grown_buffer(&mut self.input);
        } else if used > 0 || self.message_started_at.is_none() {
            self.message_started_at = Some(now);
        }
        Ok(())
    }

    fn next_timeout(&self) -> Option<Micros> {
        let pages = self
            .responses
            .values()
            .filter_map(PendingResponse::pages_due_at);
        let message = self
            .message_started_at
            .map(|at| at + MESSAGE_TIMEOUT_MICROS);
        pages.chain(message).min()
    }

    fn on_timeout(
        &mut self,
        now: Micros,
        output: &mut ProtocolOutput,
    ) -> Result<(), ProtocolError> {
        let message = self.message_started_at;
        if message.is_some_and(|at| at + MESSAGE_TIMEOUT_MICROS <= now) {
            return Err(ProtocolError::Timeout);
        }
        let is_overdue =
            |response: &PendingResponse| response.pages_due_at().is_some_and(|at| at <= now);
        let overdue = self
            .responses
            .extract_if(.., |_, response| is_overdue(response));
        for (key, response) in overdue {
            push_forget(&key, output);
            let mut end = AttemptEnd::without_result(response.id, Termination::Unresponsive);
            end.load = response.load;
            output.events.push(BackendEvent::AttemptEnded(end));
        }
        Ok(())
    }

    fn on_end_of_input(&mut self, _: &mut ProtocolOutput) {}

    fn is_reusable(&self) -> bool {
        true
    }
}
