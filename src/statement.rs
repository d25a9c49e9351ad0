//! Reads of a statement what the decisions need: its group of tables.
//!
//! The group is the number after the underscore in the name of the schema that the statement reads
//! or writes (17 in `sales_17.orders`). Strings and comments do not count, nor does the schema
//! `staging`.

#[derive(Clone, Debug, PartialEq)]
enum Token<'a> {
    Name(&'a [u8]),
    Dot,
    Comma,
    Other,
}

struct Tokens<'a> {
    rest: &'a [u8],
}

impl<'a> Tokens<'a> {
    fn take(&mut self, n: usize) -> &'a [u8] {
        let (taken, rest) = self.rest.split_at(n.min(self.rest.len()));
        self.rest = rest;
        taken
    }

    /// Skips to the end of what a quote opened. A doubled quote stands for itself; so does one
    /// behind a backslash in a string.
    fn quoted(&mut self, quote: u8) -> &'a [u8] {
        let text = self.rest;
        let mut at = 1;
        while at < text.len() {
            match text[at] {
                b'\\' if quote == b'\'' => at += 2,
                c if c == quote && text.get(at + 1) == Some(&quote) => at += 2,
                c if c == quote => break,
                _ => at += 1,
            }
        }
        let whole = self.take(at + 1);
        whole.get(1..at.min(whole.len())).unwrap_or_default()
    }

    fn line_comment(&mut self) {
        let end = self
            .rest
            .iter()
            .position(|c| *c == b'\n')
            .unwrap_or(self.rest.len());
        self.take(end);
    }

    /// Block comments nest, as in standard SQL.
    fn block_comment(&mut self) {
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
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        loop {
            match self.rest {
                [] => return None,
                [b'-', b'-', ..] => self.line_comment(),
                [b'/', b'*', ..] => self.block_comment(),
                [c, ..] if c.is_ascii_whitespace() => drop(self.take(1)),
                [b'\'', ..] => {
                    self.quoted(b'\'');
                    return Some(Token::Other);
                }
                [quote @ (b'"' | b'`'), ..] => return Some(Token::Name(self.quoted(*quote))),
                [b'.', ..] => {
                    self.take(1);
                    return Some(Token::Dot);
                }
                [b',', ..] => {
                    self.take(1);
                    return Some(Token::Comma);
                }
                [c, ..] if c.is_ascii_alphanumeric() || *c == b'_' || *c >= 0x80 => {
                    let inside = |c: &u8| {
                        c.is_ascii_alphanumeric() || matches!(c, b'_' | b'$') || *c >= 0x80
                    };
                    let end = self
                        .rest
                        .iter()
                        .position(|c| !inside(c))
                        .unwrap_or(self.rest.len());
                    return Some(Token::Name(self.take(end)));
                }
                _ => {
                    self.take(1);
                    return Some(Token::Other);
                }
            }
        }
    }
}

fn number(schema: &[u8]) -> Option<u64> {
    let at = schema.iter().rposition(|c| *c == b'_')?;
    let (name, digits) = (&schema[..at], &schema[at + 1..]);
    let named = !name.is_empty() && !name.eq_ignore_ascii_case(b"staging");
    let digits = std::str::from_utf8(digits)
        .ok()
        .filter(|d| d.bytes().all(|c| c.is_ascii_digit()))?;
    digits.parse().ok().filter(|_| named)
}

fn introduces_tables(word: &[u8]) -> bool {
    const WORDS: [&[u8]; 6] = [b"from", b"join", b"into", b"update", b"table", b"using"];
    WORDS.iter().any(|w| word.eq_ignore_ascii_case(w))
}

/// The bare and the quoted names and the words of a statement, without strings and comments.
pub fn words(statement: &[u8]) -> Vec<&[u8]> {
    let name = |token| {
        if let Token::Name(name) = token {
            Some(name)
        } else {
            None
        }
    };
    Tokens { rest: statement }.filter_map(name).collect()
}

/// The number of the group of tables that a statement reads or writes, if need be by the schema
/// that names without one belong to.
pub fn group(statement: &[u8], schema: Option<&str>) -> Option<u64> {
    let mut tokens = Tokens { rest: statement }.peekable();
    // A qualified name counts at once where tables are named; elsewhere it may be an alias and a
    // column, and counts only if no table has such a name.
    let (mut in_tables, mut elsewhere) = (false, None);
    while let Some(token) = tokens.next() {
        let Token::Name(first) = token else { continue };
        let mut parts = vec![first];
        while tokens.next_if_eq(&Token::Dot).is_some() {
            if let Some(Token::Name(part)) = tokens.next_if(|t| matches!(t, Token::Name(_))) {
                parts.push(part);
            }
        }
        if parts.len() == 1 {
            // An alias may follow a table's name, and after a comma the next one.
            let more = in_tables && tokens.peek() == Some(&Token::Comma);
            in_tables = introduces_tables(first) || more;
            continue;
        }
        let schema = if in_tables {
            parts[parts.len() - 2]
        } else {
            parts[0]
        };
        match number(schema) {
            Some(group) if in_tables => return Some(group),
            found => elsewhere = elsewhere.or(found),
        }
    }
    elsewhere.or_else(|| number(schema?.as_bytes()))
}

#[cfg(test)]
mod tests {
    use super::group;

    #[test]
    fn the_group_is_the_number_of_the_schema() {
        for (text, expected) in [
            ("select a from sales_17.orders", Some(17)),
            (
                "INSERT INTO ops_3.calls SELECT * FROM staging.calls",
                Some(3),
            ),
            ("insert into sales_4.x select * from staging_9.y", Some(4)),
            (
                "select 'from sales_1.a', b from /* sales_2.a /* x */ sales_5.b */ sales_3.c",
                Some(3),
            ),
            ("select x -- from sales_1.a\nfrom sales_8.a", Some(8)),
            ("select t_1.a from sales_6.orders t_1", Some(6)),
            ("select \"it's\" from \"sales_12\".\"orders\"", Some(12)),
            (
                "select 'it''s from a_1.b \\' from a_2.b' from c_3.d",
                Some(3),
            ),
            ("select a from big.sales_7.orders", Some(7)),
            ("select 1.5, 2", None),
            ("select 'open from a_1.b", None),
            ("/* open from a_1.b", None),
            ("", None),
        ] {
            assert_eq!(group(text.as_bytes(), None), expected, "{text}");
        }
        assert_eq!(group(b"select a from orders", Some("sales_9")), Some(9));
        assert_eq!(group(b"select a from b_2.orders", Some("sales_9")), Some(2));
    }
}
