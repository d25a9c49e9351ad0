//! Extracts from a SQL statement what decisions depend on: its words, and the group of the tables
//! that it reads or writes.
//!
//! The group is the number after the underscore in the name of the schema, 17 in `sales_17.orders`.
//! Strings, comments and the schema `staging` are ignored. This is a lexer, not a parser: it finds
//! tables by the keywords that precede their names.

#[derive(Clone, Debug, PartialEq)]
enum Token<'a> {
    /// A keyword or an identifier, without its quotes.
    Name(&'a [u8]),
    Dot,
    Comma,
    /// A string literal, or any other character.
    Other,
}

/// Whether this byte starts or continues an unquoted keyword or identifier. Bytes of non-ASCII
/// characters count as letters.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80
}

/// Iterates over the tokens of a statement.
struct Tokens<'a> {
    rest: &'a [u8],
}

impl<'a> Tokens<'a> {
    /// Consumes the next `count` bytes, or all remaining bytes if there are fewer.
    fn take(&mut self, count: usize) -> &'a [u8] {
        let (taken, rest) = self.rest.split_at(count.min(self.rest.len()));
        self.rest = rest;
        taken
    }

    /// Consumes quoted text and returns it without its quotes. A doubled quote does not end the
    /// text, nor does a quote after a backslash in a string.
    fn take_quoted(&mut self, quote: u8) -> &'a [u8] {
        let text = self.rest;
        let mut end = 1;
        while end < text.len() {
            match text[end] {
                b'\\' if quote == b'\'' => end += 2,
                byte if byte == quote && text.get(end + 1) == Some(&quote) => end += 2,
                byte if byte == quote => break,
                _ => end += 1,
            }
        }
        let quoted = self.take(end + 1);
        quoted.get(1..end.min(quoted.len())).unwrap_or_default()
    }

    /// Consumes an unquoted keyword or identifier.
    fn take_name(&mut self) -> &'a [u8] {
        let is_inside = |byte: &u8| is_name_byte(*byte) || *byte == b'$';
        let end = self.rest.iter().position(|byte| !is_inside(byte));
        self.take(end.unwrap_or(self.rest.len()))
    }

    fn skip_line_comment(&mut self) {
        let end = self.rest.iter().position(|byte| *byte == b'\n');
        self.take(end.unwrap_or(self.rest.len()));
    }

    /// Skips a block comment. Block comments nest, as in standard SQL.
    fn skip_block_comment(&mut self) {
        let mut depth = 0;
        while !self.rest.is_empty() {
            match self.rest {
                [b'/', b'*', ..] => depth += 1,
                [b'*', b'/', ..] => depth -= 1,
                _ => {
                    self.take(1);
                    continue;
                }
            }
            self.take(2);
            if depth == 0 {
                return;
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
                [byte, ..] if byte.is_ascii_whitespace() => {
                    self.take(1);
                }
                [b'\'', ..] => {
                    self.take_quoted(b'\'');
                    return Some(Token::Other);
                }
                [quote @ (b'"' | b'`'), ..] => {
                    return Some(Token::Name(self.take_quoted(*quote)));
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

/// The keywords and identifiers of a statement, in order. Identifiers come without their quotes;
/// strings and comments are left out.
pub fn words(statement: &[u8]) -> Vec<&[u8]> {
    let mut words = Vec::new();
    for token in (Tokens { rest: statement }) {
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
    let mut tokens = Tokens { rest: statement }.peekable();
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
