//! Extracts from a SQL statement what decisions depend on: its words, and the group of the tables
//! that it reads or writes.
//!
//! The group is the number after the underscore in the name of the schema, 17 in `sales_17.orders`.
//! Strings, comments and the schema `staging` are ignored. This is a lexer, not a parser: it finds
//! tables by the keywords that precede their names.
//!
//! Comments, blanks and quotes are those of ClickHouse. Where its versions differ, in whether block
//! comments nest, a statement has several [`readings`].

use std::collections::HashMap;

#[derive(Clone, Debug, PartialEq)]
enum Token<'a> {
    /// A keyword or an identifier, without its quotes.
    Name(&'a [u8]),
    Dot,
    Comma,
    /// A string literal, or any other character.
    Other,
}

/// How a block comment ends that contains the start of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BlockComments {
    /// At the end that matches its start, as in standard SQL and current versions of ClickHouse.
    Nest,
    /// At the first end, as in ClickHouse's documentation and its earlier versions.
    DoNotNest,
}

/// Whether this byte starts or continues an unquoted keyword or identifier. Bytes of non-ASCII
/// characters count as letters, unless the character is a blank.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80
}

/// Whether a character separates words: white space, or one of the characters without a width that
/// ClickHouse skips like it.
fn is_blank(character: char) -> bool {
    const WITHOUT_WIDTH: [char; 6] = [
        '\u{180e}', '\u{200b}', '\u{200c}', '\u{200d}', '\u{2060}', '\u{feff}',
    ];
    character.is_whitespace() || WITHOUT_WIDTH.contains(&character)
}

/// The length in bytes of the blank at the start of `text`, 0 if there is none.
fn blank_length(text: &[u8]) -> usize {
    let Some(first_byte) = text.first() else {
        return 0;
    };
    let length = match first_byte.leading_ones() {
        0 => 1,
        length @ 2..=4 => length as usize,
        _ => return 0,
    };
    let character = text
        .get(..length)
        .and_then(|bytes| std::str::from_utf8(bytes).ok())
        .and_then(|text| text.chars().next());
    match character {
        Some(character) if is_blank(character) => length,
        _ => 0,
    }
}

/// The delimiter of a heredoc, such as `$tag$`, at the start of `text`.
fn heredoc_delimiter(text: &[u8]) -> Option<&[u8]> {
    let after_dollar = text.strip_prefix(b"$")?;
    let tag_length = after_dollar.iter().position(|byte| !is_name_byte(*byte))?;
    (after_dollar[tag_length] == b'$').then(|| &text[..tag_length + 2])
}

/// Where each delimiter of a heredoc occurs in the statement for the last time. With it, a statement
/// with many heredocs that do not end is still read in linear time.
fn last_heredoc_delimiters(statement: &[u8]) -> HashMap<&[u8], usize> {
    (0..statement.len())
        .filter_map(|at| Some((heredoc_delimiter(&statement[at..])?, at)))
        .collect()
}

/// Iterates over the tokens of a statement.
struct Tokens<'a> {
    statement: &'a [u8],
    rest: &'a [u8],
    block_comments: BlockComments,
    /// Whether a block comment so far contains the start of another one.
    has_nested_comment: bool,
    /// Computed when the first heredoc is found.
    last_heredoc_delimiters: Option<HashMap<&'a [u8], usize>>,
}

impl<'a> Tokens<'a> {
    fn new(statement: &'a [u8], block_comments: BlockComments) -> Tokens<'a> {
        Tokens {
            statement,
            rest: statement,
            block_comments,
            has_nested_comment: false,
            last_heredoc_delimiters: None,
        }
    }

    /// Consumes the next `count` bytes, or all remaining bytes if there are fewer.
    fn take(&mut self, count: usize) -> &'a [u8] {
        let (taken, rest) = self.rest.split_at(count.min(self.rest.len()));
        self.rest = rest;
        taken
    }

    /// Consumes quoted text and returns it without its quotes. A doubled quote does not end the
    /// text, nor does a quote after a backslash.
    fn take_quoted(&mut self, quote: u8) -> &'a [u8] {
        let text = self.rest;
        let mut end = 1;
        while end < text.len() {
            match text[end] {
                b'\\' => end += 2,
                byte if byte == quote && text.get(end + 1) == Some(&quote) => end += 2,
                byte if byte == quote => break,
                _ => end += 1,
            }
        }
        let quoted = self.take(end + 1);
        quoted.get(1..end.min(quoted.len())).unwrap_or_default()
    }

    /// The length in bytes of the heredoc at the start of the rest, such as `$tag$it's$tag$`; `None`
    /// if there is none that ends.
    fn heredoc_length(&mut self) -> Option<usize> {
        let delimiter = heredoc_delimiter(self.rest)?;
        let last_delimiters = self
            .last_heredoc_delimiters
            .get_or_insert_with(|| last_heredoc_delimiters(self.statement));
        let content_start = self.statement.len() - self.rest.len() + delimiter.len();
        if *last_delimiters.get(delimiter)? < content_start {
            return None;
        }
        let content = &self.rest[delimiter.len()..];
        let content_length = content
            .windows(delimiter.len())
            .position(|window| window == delimiter)?;
        Some(2 * delimiter.len() + content_length)
    }

    /// Consumes an unquoted keyword or identifier.
    fn take_name(&mut self) -> &'a [u8] {
        let text = self.rest;
        let is_inside = |at: usize| {
            let byte = text[at];
            let is_letter = is_name_byte(byte) || byte == b'$';
            is_letter && (byte.is_ascii() || blank_length(&text[at..]) == 0)
        };
        let end = (0..text.len()).find(|at| !is_inside(*at));
        self.take(end.unwrap_or(text.len()))
    }

    fn skip_line_comment(&mut self) {
        let end = self.rest.iter().position(|byte| *byte == b'\n');
        self.take(end.unwrap_or(self.rest.len()));
    }

    /// Skips a block comment, up to the end of the statement if it does not end.
    fn skip_block_comment(&mut self) {
        self.take(2);
        let mut depth = 1;
        while depth > 0 && !self.rest.is_empty() {
            match self.rest {
                [b'/', b'*', ..] => {
                    self.has_nested_comment = true;
                    depth += u32::from(self.block_comments == BlockComments::Nest);
                    self.take(2);
                }
                [b'*', b'/', ..] => {
                    depth -= 1;
                    self.take(2);
                }
                _ => {
                    self.take(1);
                }
            }
        }
    }

    /// Consumes one byte and returns `token`.
    fn take_one(&mut self, token: Token<'a>) -> Token<'a> {
        self.take(1);
        token
    }
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            match self.rest {
                [] => return None,
                [b'-', b'-', ..] => self.skip_line_comment(),
                [b'/', b'*', ..] => self.skip_block_comment(),
                [b'#', after, ..] if *after == b'!' || after.is_ascii_whitespace() => {
                    self.skip_line_comment();
                }
                text if blank_length(text) > 0 => {
                    self.take(blank_length(text));
                }
                [b'\'', ..] => {
                    self.take_quoted(b'\'');
                    return Some(Token::Other);
                }
                [quote @ (b'"' | b'`'), ..] => {
                    return Some(Token::Name(self.take_quoted(*quote)));
                }
                [b'$', ..] => {
                    let length = self.heredoc_length().unwrap_or(1);
                    self.take(length);
                    return Some(Token::Other);
                }
                [b'.', ..] => return Some(self.take_one(Token::Dot)),
                [b',', ..] => return Some(self.take_one(Token::Comma)),
                [byte, ..] if is_name_byte(*byte) => return Some(Token::Name(self.take_name())),
                _ => return Some(self.take_one(Token::Other)),
            }
        }
    }
}

/// The group number in the name of a schema, if the name contains one.
fn group_of_schema(schema: &[u8]) -> Option<u64> {
    let underscore = schema.iter().rposition(|byte| *byte == b'_')?;
    let name = &schema[..underscore];
    let digits = &schema[underscore + 1..];
    if name.is_empty() || name.eq_ignore_ascii_case(b"staging") {
        return None;
    }
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Whether names of tables follow this keyword.
fn introduces_tables(word: &[u8]) -> bool {
    const KEYWORDS: [&[u8]; 6] = [b"from", b"join", b"into", b"update", b"table", b"using"];
    KEYWORDS
        .iter()
        .any(|keyword| word.eq_ignore_ascii_case(keyword))
}

/// The keywords and identifiers of a statement, in order, once for each way to read its comments:
/// an engine may read the statement in any of them. Identifiers come without their quotes; strings
/// and comments are left out.
pub fn readings(statement: &[u8]) -> Vec<Vec<&[u8]>> {
    let mut tokens = Tokens::new(statement, BlockComments::Nest);
    let mut readings = vec![words(&mut tokens)];
    if tokens.has_nested_comment {
        let mut tokens = Tokens::new(statement, BlockComments::DoNotNest);
        readings.push(words(&mut tokens));
    }
    readings
}

fn words<'a>(tokens: &mut Tokens<'a>) -> Vec<&'a [u8]> {
    let mut words = Vec::new();
    for token in tokens {
        if let Token::Name(word) = token {
            words.push(word);
        }
    }
    words
}

/// The group of the tables that a statement reads or writes. `default_schema` is the schema of
/// unqualified names.
///
/// The first table whose schema has a group determines the result. A qualified name elsewhere in
/// the statement may consist of an alias and a column, so its group is used only if no table's
/// schema has one. The group of the default schema is used last.
pub fn table_group(statement: &[u8], default_schema: Option<&str>) -> Option<u64> {
    let mut tokens = Tokens::new(statement, BlockComments::Nest).peekable();
    let mut expects_table = false;
    let mut group_elsewhere = None;
    while let Some(token) = tokens.next() {
        let Token::Name(word) = token else { continue };
        let mut parts = vec![word];
        while tokens.next_if_eq(&Token::Dot).is_some() {
            if let Some(Token::Name(part)) = tokens.next_if(|next| matches!(next, Token::Name(_))) {
                parts.push(part);
            }
        }
        let [schema_elsewhere, .., _] = parts[..] else {
            // This may be the alias after a table's name; after a comma the next table follows.
            let list_continues = expects_table && tokens.peek() == Some(&Token::Comma);
            expects_table = introduces_tables(word) || list_continues;
            continue;
        };
        if expects_table {
            let schema = parts[parts.len() - 2];
            if let Some(group) = group_of_schema(schema) {
                return Some(group);
            }
        } else if group_elsewhere.is_none() {
            group_elsewhere = group_of_schema(schema_elsewhere);
        }
    }
    group_elsewhere.or_else(|| group_of_schema(default_schema?.as_bytes()))
}

#[cfg(test)]
#[path = "../tests/unit/statement.rs"]
mod tests;
