//! The words and the table group of a statement, with strings, comments, quoted names and aliases in
//! the statement.
use super::{readings, table_group};

#[test]
fn the_table_group_is_the_number_of_the_schema_that_is_read_or_written() {
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
        assert_eq!(table_group(text.as_bytes(), None), expected, "{text}");
    }
    assert_eq!(
        table_group(b"select a from orders", Some("sales_9")),
        Some(9)
    );
    assert_eq!(
        table_group(b"select a from b_2.orders", Some("sales_9")),
        Some(2)
    );
}

/// The words of each reading of a statement, separated by spaces.
fn texts_of_readings(statement: &str) -> Vec<String> {
    readings(statement.as_bytes())
        .iter()
        .map(|words| String::from_utf8_lossy(&words.join(&b' ')).into_owned())
        .collect()
}

/// Guards against loads that run twice because a comment, a blank or a string hides the first word
/// of the statement, or a word after it, from the class rules.
#[test]
fn the_words_are_those_that_clickhouse_reads() {
    for (text, expected) in [
        (
            "# nightly load\nINSERT INTO t SELECT a",
            "INSERT INTO t SELECT a",
        ),
        ("#\tnightly load\nINSERT INTO t", "INSERT INTO t"),
        ("#!/usr/bin/clickhouse\nINSERT INTO t", "INSERT INTO t"),
        ("SELECT a # join\nFROM t", "SELECT a FROM t"),
        ("SELECT a# join\nFROM t", "SELECT a FROM t"),
        ("INSERT INTO t # open", "INSERT INTO t"),
        ("SELECT #join", "SELECT join"),
        ("\u{feff}INSERT INTO t", "INSERT INTO t"),
        ("\u{a0}INSERT\u{2003}INTO\u{3000}t", "INSERT INTO t"),
        ("\u{b}\u{c}INSERT\u{200b}INTO t", "INSERT INTO t"),
        ("SELECT größe FROM t", "SELECT größe FROM t"),
        (
            "SELECT \"a\\\"b\" FROM t JOIN u",
            "SELECT a\\\"b FROM t JOIN u",
        ),
        ("SELECT `a\\`b` FROM t JOIN u", "SELECT a\\`b FROM t JOIN u"),
        ("SELECT $$it's$$ FROM t JOIN u", "SELECT FROM t JOIN u"),
        ("SELECT $q$ $$ ' $q$ FROM t JOIN u", "SELECT FROM t JOIN u"),
        ("SELECT $$open FROM t", "SELECT open FROM t"),
        ("SELECT $a$ $b$ ' $b$ FROM t", "SELECT a$ FROM t"),
        ("SELECT a$b$c FROM t", "SELECT a$b$c FROM t"),
        ("/* a */ INSERT INTO t", "INSERT INTO t"),
    ] {
        assert_eq!(texts_of_readings(text), [expected], "{text:?}");
    }
}

/// Guards against loads that run twice because the engine ends a block comment where this lexer
/// does not: versions of ClickHouse differ in whether block comments nest.
#[test]
fn a_statement_with_nested_block_comments_has_both_readings() {
    assert_eq!(
        texts_of_readings("/* a /* b */ INSERT INTO t"),
        ["", "INSERT INTO t"]
    );
    assert_eq!(
        texts_of_readings("/* a /* b */ c */ INSERT INTO t"),
        ["INSERT INTO t", "c INSERT INTO t"]
    );
}
