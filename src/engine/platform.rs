//! The platform's engine protocol: lines of words, with pages for long answers.
use super::{Said, Wire};
use crate::clock::{MS, Micros};
use crate::config::Names;
use crate::interface::{LoadReport, OutcomeKind, RequestId};
use crate::manager::Job;
use crate::manager::ends::End;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A line longer than this is not the protocol, nor is a body.
const MOST_LINE: usize = 4_096;
const MOST_BODY: usize = 64 * 1024;
/// An answer with more pages or bytes than this is not believed.
const MOST_SHEETS: usize = 64;
const MOST_ROWS: usize = 256 * 1024;

struct Running {
    id: RequestId,
    /// Pages so far, by number; empty until page 0 tells how many there are.
    sheets: Vec<Option<Vec<u8>>>,
    load: LoadReport,
}

/// One connection to an engine of the platform.
pub struct Platform {
    names: Rc<Names>,
    running: BTreeMap<Rc<str>, Running>,
    input: Vec<u8>,
    probes: u64,
}

impl Platform {
    /// A new connection.
    pub fn new(names: Rc<Names>) -> Platform {
        Platform { names, running: BTreeMap::new(), input: Vec::new(), probes: 0 }
    }

    fn load(&self, fields: &[(&str, &str)]) -> LoadReport {
        let mut report = LoadReport::default();
        let meter = fields.iter().find(|(name, _)| *name == "meter").map_or("", |(_, value)| value);
        let told: Vec<(&str, f32)> = meter
            .split(';')
            .filter_map(|pair| pair.split_once(':'))
            .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
            .collect();
        for (at, name) in self.names.load_fields.iter().take(report.values.len()).enumerate() {
            // The settings and the sockets may use other words for the same figure.
            let same = |n: &str| n == name || n == plain_word(name);
            if let Some((_, value)) = told.iter().find(|(n, v)| same(n) && v.is_finite()) {
                report.values[at] = *value;
                report.len = at + 1;
            }
        }
        report
    }

    fn answer(
        &mut self,
        (key, word): (&str, &str),
        fields: &[(&str, &str)],
        body: Vec<u8>,
        said: &mut Vec<Said>,
        replies: &mut Vec<u8>,
    ) -> Result<(), End> {
        if matches!(word, "FIT" | "UNFIT") {
            let kind = if word == "FIT" { OutcomeKind::Ok } else { OutcomeKind::Full };
            said.push(Said::Probed(kind, self.load(fields)));
            return Ok(());
        }
        let load = self.load(fields);
        let count = |name| fields.iter().find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<usize>().ok());
        if !matches!(word, "DONE" | "MORE" | "WAIT" | "PAST" | "BROKE" | "KEEP" | "LACK" | "TELL") {
            return Err(End::Garbled);
        }
        // An answer to what was given up a moment ago is no fault.
        let Some(running) = self.running.get_mut(key) else { return Ok(()) };
        let id = running.id;
        let mut ended = None;
        match word {
            "DONE" if running.sheets.is_empty() => {
                let sheets = count("sheets").unwrap_or(1).max(1);
                running.load = load;
                if sheets > MOST_SHEETS {
                    ended = Some(End::Broke);
                } else {
                    running.sheets.resize(sheets, None);
                    running.sheets[0] = Some(body);
                    let ask = |n| format!("page {key} {n}\r\n");
                    (1..sheets).for_each(|n| replies.extend_from_slice(ask(n).as_bytes()));
                }
            }
            "MORE" => match count("sheet").and_then(|n| running.sheets.get_mut(n)) {
                Some(sheet @ None) => *sheet = Some(body),
                _ => return Err(End::Garbled),
            },
            "WAIT" => ended = Some(End::Full),
            "PAST" => ended = Some(End::Past),
            "BROKE" => ended = Some(End::Broke),
            "KEEP" | "LACK" | "TELL" => {}
            _ => return Err(End::Garbled),
        }
        let gathered: usize = running.sheets.iter().flatten().map(Vec::len).sum();
        if gathered > MOST_ROWS {
            ended = Some(End::Broke);
        }
        let whole = !running.sheets.is_empty() && running.sheets.iter().all(Option::is_some);
        if whole && ended.is_none() {
            ended = Some(End::Done);
        }
        let Some(end) = ended else { return Ok(()) };
        let Some(running) = self.running.remove(key) else { return Ok(()) };
        if running.sheets.len() > 1 {
            replies.extend_from_slice(format!("forget {key}\r\n").as_bytes());
        }
        // Pages hold whole rows and go out in order, or not at all.
        let rows =
            if end == End::Done { running.sheets.into_iter().flatten().flatten().collect() } else { vec![] };
        said.push(Said::Ended(id, end, rows, running.load));
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

impl Wire for Platform {
    fn streams(&self) -> usize {
        self.names.streams
    }

    fn start(&mut self, now: Micros, job: &Job) -> Vec<u8> {
        let class = self.names.classes.get(usize::from(job.class.0)).map_or("", String::as_str);
        let limit = (job.until.saturating_sub(now) / MS).max(1);
        let allot =
            if job.memory_mb > 0.0 { format!(",allot={}", job.memory_mb.ceil()) } else { String::new() };
        let (key, length) = (&job.key, job.statement.len());
        let mut bytes = format!("do {key} cls={class},limit={limit}{allot} {length}\r\n").into_bytes();
        bytes.extend_from_slice(&job.statement);
        bytes.extend_from_slice(b"\r\n");
        let running = Running { id: job.id, sheets: Vec::new(), load: LoadReport::default() };
        self.running.insert(job.key.clone(), running);
        bytes
    }

    fn stop(&mut self, id: RequestId) -> Option<Vec<u8>> {
        let key = self.running.iter().find(|(_, r)| r.id == id).map(|(key, _)| key.clone());
        let running = key.as_ref().and_then(|key| self.running.remove(key));
        let word = if running.is_some_and(|r| !r.sheets.is_empty()) { "forget" } else { "undo" };
        Some(key.map_or(Vec::new(), |key| format!("{word} {key}\r\n").into_bytes()))
    }

    fn probe(&mut self) -> Vec<u8> {
        self.probes += 1;
        let word = if self.names.load_fields.is_empty() { "ping" } else { "top" };
        format!("{word} p{}\r\n", self.probes).into_bytes()
    }

    fn feed(&mut self, input: &[u8], said: &mut Vec<Said>, replies: &mut Vec<u8>) -> Result<(), End> {
        self.input.extend_from_slice(input);
        let mut used = 0;
        while let Some(message) = message(&self.input[used..])? {
            let Message { words, body, length } = message;
            let line = std::str::from_utf8(&words).map_err(|_| End::Garbled)?;
            let words: Vec<&str> = line.split_ascii_whitespace().collect();
            let [key, word, rest @ ..] = &words[..] else { return Err(End::Garbled) };
            let fields = rest.first().map_or("-", |f| f);
            let fields: Vec<(&str, &str)> = fields.split(',').filter_map(|f| f.split_once('=')).collect();
            self.answer((key, word), &fields, body, said, replies)?;
            used += length;
        }
        self.input.drain(..used);
        Ok(())
    }

    fn finish(&mut self, _: &mut Vec<Said>) {}

    fn reusable(&self) -> bool {
        true
    }
}

struct Message {
    words: Vec<u8>,
    body: Vec<u8>,
    length: usize,
}

/// The first whole message, if it is there.
fn message(input: &[u8]) -> Result<Option<Message>, End> {
    let seen = &input[..input.len().min(MOST_LINE)];
    let Some(end) = seen.windows(2).position(|w| w == b"\r\n") else {
        return if input.len() > MOST_LINE { Err(End::Garbled) } else { Ok(None) };
    };
    let words = input[..end].to_vec();
    let parts: Vec<&[u8]> = words.split(|c| *c == b' ').collect();
    let last = parts.last().filter(|_| parts.len() > 2).and_then(|w| std::str::from_utf8(w).ok());
    let Some(size) = last.and_then(|w| w.parse::<usize>().ok()) else {
        return Ok(Some(Message { words, body: Vec::new(), length: end + 2 }));
    };
    if size > MOST_BODY {
        return Err(End::Garbled);
    }
    let (from, to) = (end + 2, end + 2 + size);
    match input.get(to..to + 2) {
        None => Ok(None),
        Some(b"\r\n") => Ok(Some(Message { words, body: input[from..to].to_vec(), length: to + 2 })),
        Some(_) => Err(End::Garbled),
    }
}
