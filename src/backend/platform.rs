//! The platform's engine protocol: lines of words, with pages for long answers.
use super::{BackendEvent, Protocol};
use crate::clock::{MS, Micros};
use crate::config::process::Names;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{AttemptRequest, Cost};
use crate::policy::api::{LoadReport, MAX_LOAD_FIELDS, OutcomeKind, RequestId};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;

/// A line longer than this is not the protocol, nor is a body: pages are smaller.
const MOST_LINE: usize = 4_096;
const MOST_BODY: usize = 6_000;
/// A result has three columns.
const COLUMNS: usize = 3;
/// An answer with more pages or bytes than this is not believed.
const MOST_SHEETS: usize = 64;
const MOST_ROWS: usize = 256 * 1024;
/// A message is whole so long after its first byte, and a page there so long after the answer that
/// told of it. Guards what else is on the connection against an answer that stops short or never
/// ends.
const WHOLE: Micros = 500 * MS;
const PAGES: Micros = 1_500 * MS;

struct Running {
    id: RequestId,
    /// Pages so far, by number; empty until page 0 tells how many there are.
    sheets: Vec<Option<Vec<u8>>>,
    /// When page 0 came.
    told_at: Micros,
    load: LoadReport,
    cost: Cost,
}

/// One connection to an engine of the platform.
pub struct Platform {
    names: Rc<Names>,
    running: BTreeMap<Rc<str>, Running>,
    input: Vec<u8>,
    /// Since when a message has begun in it that is not whole.
    began: Option<Micros>,
}

impl Platform {
    /// A new connection.
    pub fn new(names: Rc<Names>) -> Platform {
        Platform {
            names,
            running: BTreeMap::new(),
            input: Vec::new(),
            began: None,
        }
    }

    fn load(&self, fields: &[(&str, &str)]) -> LoadReport {
        let (mut values, mut len) = ([0.0; MAX_LOAD_FIELDS], 0);
        let meter = fields
            .iter()
            .find(|(name, _)| *name == "meter")
            .map_or("", |(_, value)| value);
        let told: Vec<(&str, f32)> = meter
            .split(';')
            .filter_map(|pair| pair.split_once(':'))
            .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
            .collect();
        for (at, name) in self.names.load_fields.iter().take(values.len()).enumerate() {
            // The settings and the sockets may use other words for the same figure.
            let same = |n: &str| n == name || n == plain_word(name);
            if let Some((_, value)) = told.iter().find(|(n, v)| same(n) && v.is_finite()) {
                values[at] = *value;
                len = at + 1;
            }
        }
        LoadReport::from_values(&values[..len])
    }

    fn answer(
        &mut self,
        now: Micros,
        (key, word): (&str, &str),
        fields: &[(&str, &str)],
        body: Vec<u8>,
        said: &mut Vec<BackendEvent>,
        replies: &mut Vec<u8>,
    ) -> Result<(), Termination> {
        if matches!(word, "FIT" | "UNFIT") {
            let kind = if word == "FIT" {
                OutcomeKind::Ok
            } else {
                OutcomeKind::Rejected
            };
            let number = key.strip_prefix('p').and_then(|n| n.parse().ok());
            said.extend(number.map(|number| BackendEvent::Probed(number, kind, self.load(fields))));
            return Ok(());
        }
        let load = self.load(fields);
        let field = |name| {
            fields
                .iter()
                .find(|(n, _)| *n == name)
                .map(|(_, value)| *value)
        };
        let count = |name| field(name).and_then(|v| v.parse::<usize>().ok());
        if !matches!(
            word,
            "DONE" | "MORE" | "WAIT" | "PAST" | "BROKE" | "KEEP" | "LACK" | "TELL"
        ) {
            return Err(Termination::ProtocolViolation);
        }
        // An answer to what was given up a moment ago is no fault.
        let Some(running) = self.running.get_mut(key) else {
            return Ok(());
        };
        if matches!(word, "DONE" | "MORE") && !whole_rows(&body) {
            return Err(Termination::ProtocolViolation);
        }
        let id = running.id;
        let mut ended = None;
        match word {
            "DONE" if running.sheets.is_empty() => {
                let Some(sheets) = count("sheets").filter(|n| *n > 0) else {
                    return Err(Termination::ProtocolViolation);
                };
                let told = |name| field(name).and_then(|v| v.parse().ok());
                let cost = Cost::from_report(told("toil"), told("room"));
                (running.load, running.cost, running.told_at) = (load, cost, now);
                if sheets > MOST_SHEETS {
                    ended = Some(Termination::EngineError);
                } else {
                    running.sheets.resize(sheets, None);
                    running.sheets[0] = Some(body);
                    let ask = |n| format!("page {key} {n}\r\n");
                    (1..sheets).for_each(|n| replies.extend_from_slice(ask(n).as_bytes()));
                }
            }
            // A second copy does no harm, nor does a page that nobody asked for.
            "DONE" => {}
            "MORE" => {
                if let Some(sheet @ None) = count("sheet").and_then(|n| running.sheets.get_mut(n)) {
                    *sheet = Some(body);
                }
            }
            "WAIT" => ended = Some(Termination::Rejected),
            "PAST" => ended = Some(Termination::AlreadyFinished),
            "BROKE" => ended = Some(Termination::EngineError),
            "KEEP" | "LACK" | "TELL" => {}
            _ => return Err(Termination::ProtocolViolation),
        }
        let gathered: usize = running.sheets.iter().flatten().map(Vec::len).sum();
        if gathered > MOST_ROWS {
            ended = Some(Termination::EngineError);
        }
        let whole = !running.sheets.is_empty() && running.sheets.iter().all(Option::is_some);
        if whole && ended.is_none() {
            ended = Some(Termination::Done);
        }
        let Some(end) = ended else { return Ok(()) };
        let Some(running) = self.running.remove(key) else {
            return Ok(());
        };
        if running.sheets.len() > 1 {
            replies.extend_from_slice(format!("forget {key}\r\n").as_bytes());
        }
        // Pages hold whole rows and go out in order, or not at all.
        let rows = if end == Termination::Done {
            running.sheets.into_iter().flatten().flatten().collect()
        } else {
            vec![]
        };
        said.push(BackendEvent::Ended(
            id,
            end,
            rows,
            running.load,
            running.cost,
        ));
        Ok(())
    }
}

fn plain_word(name: &str) -> &str {
    match name {
        "outstanding" => "inflight",
        "backlog" => "queue",
        "utilization" => "util",
        "recent_ms" => "latency_ms",
        "throughput" => "qps",
        "errors_per_s" => "eps",
        other => other,
    }
}

impl Protocol for Platform {
    fn streams(&self) -> usize {
        self.names.streams
    }

    fn start(&mut self, now: Micros, job: &AttemptRequest) -> Vec<u8> {
        let class = &job.class;
        let limit = (job.deadline.saturating_sub(now) / MS).max(1);
        let (key, length) = (&job.client_request_id, job.statement.len());
        let mut fields = format!("cls={class},limit={limit}");
        // Writing to a string can't fail.
        if let Some(nonce) = &job.idempotency_key {
            let _ = write!(fields, ",nonce={nonce}");
        }
        if job.memory_mb > 0.0 {
            let _ = write!(fields, ",allot={}", job.memory_mb.ceil());
        }
        if let Some(urgency) = job.priority {
            let _ = write!(fields, ",urgency={urgency}");
        }
        let mut bytes = format!("do {key} {fields} {length}\r\n").into_bytes();
        bytes.extend_from_slice(&job.statement);
        bytes.extend_from_slice(b"\r\n");
        let (load, cost) = (LoadReport::default(), Cost::default());
        let running = Running {
            id: job.id,
            sheets: Vec::new(),
            told_at: 0,
            load,
            cost,
        };
        self.running.insert(job.client_request_id.clone(), running);
        bytes
    }

    fn stop(&mut self, id: RequestId) -> Option<Vec<u8>> {
        let key = self
            .running
            .iter()
            .find(|(_, r)| r.id == id)
            .map(|(key, _)| key.clone());
        let running = key.as_ref().and_then(|key| self.running.remove(key));
        let word = if running.is_some_and(|r| !r.sheets.is_empty()) {
            "forget"
        } else {
            "undo"
        };
        Some(key.map_or(Vec::new(), |key| format!("{word} {key}\r\n").into_bytes()))
    }

    fn bump(&mut self, id: RequestId, urgency: u8) -> Vec<u8> {
        // One whose answer has begun runs no more.
        let runs = self
            .running
            .iter()
            .find(|(_, r)| r.id == id && r.sheets.is_empty());
        runs.map_or(Vec::new(), |(key, _)| {
            format!("bump {key} {urgency}\r\n").into_bytes()
        })
    }

    fn probe(&mut self, number: u64) -> Vec<u8> {
        let word = if self.names.load_fields.is_empty() {
            "ping"
        } else {
            "top"
        };
        format!("{word} p{number}\r\n").into_bytes()
    }

    fn feed(
        &mut self,
        now: Micros,
        input: &[u8],
        said: &mut Vec<BackendEvent>,
        replies: &mut Vec<u8>,
    ) -> Result<(), Termination> {
        self.input.extend_from_slice(input);
        let mut used = 0;
        while let Some(message) = message(&self.input[used..])? {
            let Message {
                words,
                body,
                length,
            } = message;
            let line = std::str::from_utf8(&words).map_err(|_| Termination::ProtocolViolation)?;
            let words: Vec<&str> = line.split(' ').collect();
            let [key, word, fields, _] = words[..] else {
                return Err(Termination::ProtocolViolation);
            };
            let fields: Option<Vec<(&str, &str)>> = match fields {
                "-" => Some(Vec::new()),
                list => list.split(',').map(|f| f.split_once('=')).collect(),
            };
            self.answer(
                now,
                (key, word),
                &fields.ok_or(Termination::ProtocolViolation)?,
                body,
                said,
                replies,
            )?;
            used += length;
        }
        self.input.drain(..used);
        // What is left began with these bytes, or is still the same message.
        let began = self.began.filter(|_| used == 0).unwrap_or(now);
        self.began = (!self.input.is_empty()).then_some(began);
        if self.input.is_empty() {
            self.input.shrink_to(MOST_LINE);
        }
        Ok(())
    }

    fn next_due(&self) -> Option<Micros> {
        let pages = self
            .running
            .values()
            .filter(|r| !r.sheets.is_empty())
            .map(|r| r.told_at + PAGES);
        pages.chain(self.began.map(|at| at + WHOLE)).min()
    }

    fn due(
        &mut self,
        now: Micros,
        said: &mut Vec<BackendEvent>,
        replies: &mut Vec<u8>,
    ) -> Result<(), Termination> {
        if self.began.is_some_and(|at| at + WHOLE <= now) {
            return Err(Termination::Unresponsive);
        }
        let late = |r: &Running| !r.sheets.is_empty() && r.told_at + PAGES <= now;
        for (key, running) in self.running.extract_if(.., |_, r| late(r)) {
            replies.extend_from_slice(format!("forget {key}\r\n").as_bytes());
            said.push(BackendEvent::Ended(
                running.id,
                Termination::Unresponsive,
                Vec::new(),
                running.load,
                Cost::default(),
            ));
        }
        Ok(())
    }

    fn finish(&mut self, _: &mut Vec<BackendEvent>) {}

    fn reusable(&self) -> bool {
        true
    }
}

struct Message {
    words: Vec<u8>,
    body: Vec<u8>,
    length: usize,
}

/// The first whole message, if it is there. Guards against noise: an answer is four words and a
/// body that ends where the last of them says, and nothing else.
fn message(input: &[u8]) -> Result<Option<Message>, Termination> {
    let seen = &input[..input.len().min(MOST_LINE)];
    let Some(end) = seen.windows(2).position(|w| w == b"\r\n") else {
        return if input.len() > MOST_LINE {
            Err(Termination::ProtocolViolation)
        } else {
            Ok(None)
        };
    };
    let words = input[..end].to_vec();
    let last = words.rsplit(|c| *c == b' ').next().unwrap_or_default();
    let digits = last.iter().all(u8::is_ascii_digit);
    let size = std::str::from_utf8(last)
        .ok()
        .filter(|_| digits)
        .and_then(|w| w.parse::<usize>().ok());
    let size = size
        .filter(|size| *size <= MOST_BODY)
        .ok_or(Termination::ProtocolViolation)?;
    let (from, to) = (end + 2, end + 2 + size);
    match input.get(to..to + 2) {
        None => Ok(None),
        Some(b"\r\n") => Ok(Some(Message {
            words,
            body: input[from..to].to_vec(),
            length: to + 2,
        })),
        Some(_) => Err(Termination::ProtocolViolation),
    }
}

/// Whether a page is one: whole rows of three columns of text. Guards against passing noise on as
/// an answer.
fn whole_rows(page: &[u8]) -> bool {
    let rows = page
        .strip_suffix(b"\n")
        .unwrap_or(page)
        .split(|c| *c == b'\n');
    let columns = |row: &[u8]| row.iter().filter(|c| **c == b'\t').count() + 1;
    let text = |c: char| !c.is_control() || matches!(c, '\t' | '\n');
    page.is_empty()
        || page.ends_with(b"\n")
            && rows.map(columns).all(|n| n == COLUMNS)
            && std::str::from_utf8(page).is_ok_and(|page| page.chars().all(text))
}
