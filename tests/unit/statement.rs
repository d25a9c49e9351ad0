//! The table group of a statement, with strings, comments, quoted names and aliases in the
//! statement.
use super::table_group;

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
