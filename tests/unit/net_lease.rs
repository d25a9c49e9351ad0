//! The file with a voter's high-water marks, and the rows of `GET /duties`.
use super::super::lease_view::LeaseRow;
use super::super::vote_store::{load_votes, store_votes};
use super::*;
use crate::lease::TokenHighWaterMarks;
use crate::testkit::daemon::Folder;

/// A votes file of an earlier version of this program.
const VOTES_FILE: &[u8] = include_bytes!("../fixtures/votes.bin");
const FILE_NAME: &str = "yokelift-duties-n0";

/// High-water marks of the given number of resources.
fn high_water_marks(resources: u64) -> TokenHighWaterMarks {
    let mut high_water_marks = TokenHighWaterMarks::default();
    for engine in 0..resources {
        high_water_marks.observe(Resource::Probe(engine), FencingToken(7 + engine));
    }
    high_water_marks
}

#[test]
fn the_format_of_the_votes_file_is_unchanged() {
    let folder = Folder::new().expect("a folder");
    let path = folder.path(FILE_NAME);

    store_votes(&path, &high_water_marks(1_030)).expect("stored");
    let written = std::fs::read(&path).expect("the file");
    std::fs::write(&path, VOTES_FILE).expect("written");
    let loaded = load_votes(&path).expect("loaded");

    assert!(written == VOTES_FILE, "tests/fixtures/votes.bin");
    assert_eq!(loaded, high_water_marks(1_030));
}

#[test]
fn lease_rows_have_the_same_keys_in_the_same_order() {
    let row = |is_held, remaining_ms| {
        let row = LeaseRow {
            resource: Resource::Probe(0x2a).to_string(),
            member: "n0".into(),
            is_held,
            token: FencingToken(17),
            remaining_ms,
        };
        serde_json::to_string(&row).expect("JSON")
    };

    let rows = [row(true, Some(2_400)), row(false, None)];

    assert_eq!(
        rows,
        [
            r#"{"duty":"probe:s-0000002a","member":"n0","owns":true,"token":17,"left_ms":2400}"#,
            r#"{"duty":"probe:s-0000002a","member":"n0","owns":false,"token":17}"#,
        ]
    );
}

#[test]
fn a_voter_without_a_file_starts_with_no_tokens() {
    let folder = Folder::new().expect("a folder");

    let loaded = load_votes(&folder.path(FILE_NAME)).expect("loaded");

    assert_eq!(loaded, TokenHighWaterMarks::default());
}

#[test]
fn stored_tokens_are_loaded_after_a_restart() {
    let folder = Folder::new().expect("a folder");
    let path = folder.path(FILE_NAME);
    let mut stored = high_water_marks(2_000);
    for token in [3_000, 3_001] {
        stored.observe(Resource::Probe(1), FencingToken(token));

        store_votes(&path, &stored).expect("stored");

        assert_eq!(load_votes(&path).expect("loaded"), stored);
    }
}

/// Without its stored tokens a voter could grant one a second time, so loading a damaged file is an
/// error and does not return empty high-water marks.
#[test]
fn a_damaged_or_truncated_votes_file_is_an_error() {
    let folder = Folder::new().expect("a folder");
    let path = folder.path(FILE_NAME);
    store_votes(&path, &high_water_marks(2_000)).expect("stored");
    let mut bytes = std::fs::read(&path).expect("the file");

    bytes[9] ^= 4;
    std::fs::write(&path, &bytes).expect("damaged");
    let damaged = load_votes(&path);
    std::fs::write(&path, &bytes[..4]).expect("truncated");
    let truncated = load_votes(&path);

    assert!(damaged.is_err());
    assert!(truncated.is_err());
}
