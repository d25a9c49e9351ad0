//! Reads of a SQL statement what decisions need: the group of tables that it reads or writes.
//!
//! The group is the number after the underscore in the name of the schema, 17 in `sales_17.orders`.
//! Strings, comments and the schema `staging` are ignored. This is a lexer, not a parser: it follows
//! the words that introduce tables.

#[derive(Clone, Debug, PartialEq)]
enum Token<'a> {
    /// A word or a name, without its quotes.
    Name(&'a [u8]),
    Dot,
    Comma,
    /// A string, or any other character.
    Other,
}

/// A byte of a word or a name that is not quoted. Bytes of non-ASCII characters count as letters.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80
}

/// Iterates over the tokens of a statement.
struct Tokens<'a> {
    rest: &'a [u8],
}

impl<'a> Tokens<'a> {
    /// The next `count` bytes, or all that are left.
    fn take(&mut self, count: usize) -> &'a [u8] {
        let (taken, rest) = self.rest.split_at(count.min(self.rest.len()));
        self.rest = rest;
        taken
    }

    /// The text up to the closing quote. A doubled quote stands for itself, and so does one after a
    /// backslash in a string.
    fn take_quoted(&mut self, quote: u8) -> &'a [u8] {
        let text = self.rest;
        let mut at = 1;
        while at < text.len() {
            match text[at] {
                b'\\' if quote == b'\'' => at += 2,
                byte if byte == quote && text.get(at + 1) == Some(&quote) => at += 2,
                byte if byte == quote => break,
                _ => at += 1,
            }
        }
        let quoted = self.take(at + 1);
        quoted.get(1..at.min(quoted.len())).unwrap_or_default()
    }

    /// The text of a word or a name that is not quoted.
    fn take_name(&mut self) -> &'a [u8] {
        let is_inside = |byte: &u8| is_name_byte(*byte) || *byte == b'$';
        let end = self.rest.iter().position(|byte| !is_inside(byte));
        self.take(end.unwrap_or(self.rest.len()))
    }

    fn skip_line_comment(&mut self) {
        let end = self.rest.iter().position(|byte| *byte == b'\n');
        self.take(end.unwrap_or(self.rest.len()));
    }

    /// Block comments nest, as in standard SQL.
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

/// The group in the name of a schema, if it has one.
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

/// Whether the names of tables follow this word.
fn introduces_tables(word: &[u8]) -> bool {
    const WORDS: [&[u8]; 6] = [b"from", b"join", b"into", b"update", b"table", b"using"];
    WORDS.iter().any(|known| word.eq_ignore_ascii_case(known))
}

/// The words and the names of a statement, without the quotes of names, strings and comments.
pub fn words(statement: &[u8]) -> Vec<&[u8]> {
    let mut words = Vec::new();
    for token in (Tokens { rest: statement }) {
        if let Token::Name(word) = token {
            words.push(word);
        }
    }
    words
}

/// The group of tables that a statement reads or writes. `default_schema` is the schema of names
/// without one.
///
/// The first schema of a table that has a group decides. A qualified name elsewhere may be an alias
/// and a column: it counts only if no table's schema has a group. The default schema counts last.
pub fn group(statement: &[u8], default_schema: Option<&str>) -> Option<u64> {
    let mut tokens = Tokens { rest: statement }.peekable();
    let mut expects_table = false;
    let mut group_elsewhere = None;
    while let Some(token) = tokens.next() {
        let Token::Name(first) = token else { continue };
        let mut parts = vec![first];
        while tokens.next_if_eq(&Token::Dot).is_some() {
            if let Some(Token::Name(part)) = tokens.next_if(|next| matches!(next, Token::Name(_))) {
                parts.push(part);
            }
        }
        let [schema_elsewhere, .., _] = parts[..] else {
            // An alias may follow a table's name, and the next table after a comma.
            let list_continues = expects_table && tokens.peek() == Some(&Token::Comma);
            expects_table = introduces_tables(first) || list_continues;
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
