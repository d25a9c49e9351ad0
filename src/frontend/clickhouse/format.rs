//! The output formats of the ClickHouse interface.

/// An output format that a client can request for its rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Format {
    TabSeparated,
    Csv,
    JsonCompactEachRow,
}

impl Format {
    /// The format with this name; the empty name selects the default, `TabSeparated`.
    pub(super) fn from_name(name: &str) -> Option<Format> {
        match name {
            "" | "TabSeparated" | "TSV" => Some(Format::TabSeparated),
            "CSV" => Some(Format::Csv),
            "JSONCompactEachRow" => Some(Format::JsonCompactEachRow),
            _ => None,
        }
    }

    /// ClickHouse's name of the format.
    pub(super) fn name(self) -> &'static str {
        match self {
            Format::TabSeparated => "TabSeparated",
            Format::Csv => "CSV",
            Format::JsonCompactEachRow => "JSONCompactEachRow",
        }
    }

    /// The value of the `Content-Type` header.
    pub(super) fn content_type(self) -> &'static str {
        match self {
            Format::TabSeparated => "text/tab-separated-values; charset=UTF-8",
            Format::Csv => "text/csv; charset=UTF-8",
            Format::JsonCompactEachRow => "application/x-ndjson",
        }
    }

    /// Converts rows from the format that engines deliver, `TabSeparated`: columns are separated by
    /// tabs, and values contain ClickHouse's backslash escapes.
    pub(super) fn encode(self, rows: Vec<u8>) -> Vec<u8> {
        match self {
            Format::TabSeparated => rows,
            Format::Csv => encode_rows(&rows, write_csv_row),
            Format::JsonCompactEachRow => encode_rows(&rows, write_json_row),
        }
    }
}

fn encode_rows(rows: &[u8], write_row: fn(&mut Vec<u8>, &[u8])) -> Vec<u8> {
    // Quotes and brackets make typical rows about a quarter longer.
    let mut encoded = Vec::with_capacity(rows.len() * 5 / 4);
    for row in rows.split_inclusive(|byte| *byte == b'\n') {
        write_row(&mut encoded, row.strip_suffix(b"\n").unwrap_or(row));
        encoded.push(b'\n');
    }
    encoded
}

fn write_csv_row(encoded: &mut Vec<u8>, row: &[u8]) {
    for (index, column) in columns(row).enumerate() {
        if index > 0 {
            encoded.push(b',');
        }
        match unescape_column(column) {
            None => encoded.extend_from_slice(b"\\N"),
            Some(value) => write_quoted(encoded, &value),
        }
    }
}

/// Writes a CSV value in quotes, and doubles the quotes in it.
fn write_quoted(encoded: &mut Vec<u8>, value: &[u8]) {
    encoded.push(b'"');
    for byte in value {
        if *byte == b'"' {
            encoded.push(b'"');
        }
        encoded.push(*byte);
    }
    encoded.push(b'"');
}

fn write_json_row(encoded: &mut Vec<u8>, row: &[u8]) {
    encoded.push(b'[');
    for (index, column) in columns(row).enumerate() {
        if index > 0 {
            encoded.extend_from_slice(b", ");
        }
        let value =
            unescape_column(column).map(|value| String::from_utf8_lossy(&value).into_owned());
        serde_json::to_writer(&mut *encoded, &value)
            .expect("a string or null can be written to memory as JSON");
    }
    encoded.push(b']');
}

fn columns(row: &[u8]) -> impl Iterator<Item = &[u8]> {
    row.split(|byte| *byte == b'\t')
}

/// The value of a column with its escapes decoded; `None` for NULL.
fn unescape_column(column: &[u8]) -> Option<Vec<u8>> {
    if column == b"\\N" {
        return None;
    }
    let mut value = Vec::with_capacity(column.len());
    let mut bytes = column.iter().copied();
    while let Some(byte) = bytes.next() {
        value.push(match byte {
            b'\\' => bytes.next().map_or(b'\\', unescape_byte),
            other => other,
        });
    }
    Some(value)
}

/// The byte that a backslash followed by this byte encodes.
fn unescape_byte(escaped: u8) -> u8 {
    match escaped {
        b't' => b'\t',
        b'n' => b'\n',
        b'r' => b'\r',
        b'0' => 0,
        b'b' => 8,
        b'f' => 12,
        other => other,
    }
}
