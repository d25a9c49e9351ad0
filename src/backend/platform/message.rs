//! Framing of the platform's engine protocol. A message is a line of four words,
//! `KEY VERB FIELDS LENGTH`, and a body of that length, each followed by CR LF.
use crate::backend::ProtocolError;

/// Limit on the length of a line, in bytes.
pub(super) const MAX_LINE_BYTES: usize = 4_096;
/// Limit on the length of a body, in bytes; the largest page is smaller.
const MAX_BODY_BYTES: usize = 6_000;
/// The number of columns of every result.
const RESULT_COLUMNS: usize = 3;
const LINE_END: &[u8] = b"\r\n";

/// The second word of a message from the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verb {
    /// `DONE`: the query succeeded; the body is the first page of its result.
    Done,
    /// `MORE`: a further page of the result.
    Page,
    /// `WAIT`: the engine rejected the attempt.
    Rejected,
    /// `PAST`: the engine finished the request before this attempt.
    AlreadyFinished,
    /// `BROKE`: the query failed.
    Failed,
    /// `KEEP`, `LACK`, `TELL`: acknowledgements, which the proxy ignores.
    Acknowledgement,
    /// `FIT`: response to a probe; the engine accepts work.
    ProbeAccepted,
    /// `UNFIT`: response to a probe; the engine rejects work.
    ProbeRejected,
}

impl Verb {
    fn parse(text: &str) -> Result<Verb, ProtocolError> {
        match text {
            "DONE" => Ok(Verb::Done),
            "MORE" => Ok(Verb::Page),
            "WAIT" => Ok(Verb::Rejected),
            "PAST" => Ok(Verb::AlreadyFinished),
            "BROKE" => Ok(Verb::Failed),
            "KEEP" | "LACK" | "TELL" => Ok(Verb::Acknowledgement),
            "FIT" => Ok(Verb::ProbeAccepted),
            "UNFIT" => Ok(Verb::ProbeRejected),
            _ => Err(ProtocolError::Violation),
        }
    }
}

/// The `name=value` pairs of a message, separated by commas; `-` stands for none.
#[derive(Debug)]
pub(super) struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    fn parse(text: &'a str) -> Result<Fields<'a>, ProtocolError> {
        if text == "-" {
            return Ok(Fields(Vec::new()));
        }
        let pairs = text.split(',').map(|pair| pair.split_once('='));
        let pairs: Option<Vec<_>> = pairs.collect();
        pairs.map(Fields).ok_or(ProtocolError::Violation)
    }

    /// The first value with that name.
    pub(super) fn get(&self, name: &str) -> Option<&'a str> {
        let pair = self.0.iter().find(|(found, _)| *found == name);
        pair.map(|(_, value)| *value)
    }

    /// The first value with that name as a number; `None` also if it is not a number.
    pub(super) fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.get(name)?.parse().ok()
    }
}

/// One message from the engine.
#[derive(Debug)]
pub(super) struct Message<'a> {
    /// Identifies the request, by the client's identifier, or the probe.
    pub(super) key: &'a str,
    pub(super) verb: Verb,
    pub(super) fields: Fields<'a>,
    pub(super) body: &'a [u8],
    /// The length of the whole message in bytes.
    pub(super) length: usize,
}

/// Decodes the message at the start of `input`. Returns `None` if it is incomplete.
///
/// # Errors
///
/// The input is not a valid message: the line exceeds [`MAX_LINE_BYTES`] or does not have four
/// valid words, or the body exceeds [`MAX_BODY_BYTES`] or does not have the stated length.
pub(super) fn decode(input: &[u8]) -> Result<Option<Message<'_>>, ProtocolError> {
    let Some(line_length) = find_line_end(input)? else {
        return Ok(None);
    };
    let line = &input[..line_length];
    let body_start = line_length + LINE_END.len();
    let body_end = body_start + body_length(line)?;
    let length = body_end + LINE_END.len();
    match input.get(body_end..length) {
        None => return Ok(None),
        Some(LINE_END) => {}
        Some(_) => return Err(ProtocolError::Violation),
    }
    let line = std::str::from_utf8(line).map_err(|_| ProtocolError::Violation)?;
    let words: Vec<&str> = line.split(' ').collect();
    let [key, verb, fields, _] = words[..] else {
        return Err(ProtocolError::Violation);
    };
    Ok(Some(Message {
        key,
        verb: Verb::parse(verb)?,
        fields: Fields::parse(fields)?,
        body: &input[body_start..body_end],
        length,
    }))
}

fn find_line_end(input: &[u8]) -> Result<Option<usize>, ProtocolError> {
    let searched = &input[..input.len().min(MAX_LINE_BYTES)];
    let end = searched
        .windows(LINE_END.len())
        .position(|window| window == LINE_END);
    if end.is_none() && input.len() > MAX_LINE_BYTES {
        return Err(ProtocolError::Violation);
    }
    Ok(end)
}

/// Parses the last word of a line: digits only, without a sign.
fn body_length(line: &[u8]) -> Result<usize, ProtocolError> {
    let word = line.rsplit(|byte| *byte == b' ').next().unwrap_or_default();
    if !word.iter().all(u8::is_ascii_digit) {
        return Err(ProtocolError::Violation);
    }
    let length = std::str::from_utf8(word)
        .ok()
        .and_then(|word| word.parse::<usize>().ok());
    length
        .filter(|length| *length <= MAX_BODY_BYTES)
        .ok_or(ProtocolError::Violation)
}

/// Whether a page consists of complete rows of text with the expected number of columns. Keeps
/// corrupted bytes from being passed on as a result.
pub(super) fn is_valid_page(page: &[u8]) -> bool {
    if page.is_empty() {
        return true;
    }
    let Some(rows) = page.strip_suffix(b"\n") else {
        return false;
    };
    let columns = |row: &[u8]| row.iter().filter(|byte| **byte == b'\t').count() + 1;
    let is_text = |c: char| !c.is_control() || matches!(c, '\t' | '\n');
    rows.split(|byte| *byte == b'\n')
        .all(|row| columns(row) == RESULT_COLUMNS)
        && std::str::from_utf8(page).is_ok_and(|page| page.chars().all(is_text))
}
