//! The file of a voter's tokens and the rows of `GET /duties`.
use super::*;
use crate::testkit::daemon::Folder;

/// A votes file as the program wrote it before the names in its code changed.
const VOTES_FILE: &[u8] = include_bytes!("../fixtures/votes.bin");

fn highest() -> TokenHighWaterMarks {
    let mut highest = TokenHighWaterMarks::default();
    (0..1_030).for_each(|n| highest.observe(Resource::Probe(n), 7 + n));
    highest
}

#[test]
fn a_votes_file_is_read_and_written_as_before() {
    let folder = Folder::new().expect("a folder");
    let path = folder.path("yokelift-duties-n0");
    keep(&path, &highest()).expect("kept");
    assert!(
        std::fs::read(&path).expect("there") == VOTES_FILE,
        "tests/fixtures/votes.bin"
    );
    std::fs::write(&path, VOTES_FILE).expect("written");
    assert_eq!(kept(&path), Ok(highest()));
}

#[test]
fn rows_of_duties_have_the_same_keys_in_the_same_order() {
    let row = |owns, left_ms| {
        let duty = Resource::Probe(0x2a).to_string();
        serde_json::to_string(&Row {
            duty,
            member: "n0".into(),
            owns,
            token: 17,
            left_ms,
        })
        .expect("JSON")
    };
    assert_eq!(
        [row(true, Some(2_400)), row(false, None)],
        [
            r#"{"duty":"probe:s-0000002a","member":"n0","owns":true,"token":17,"left_ms":2400}"#,
            r#"{"duty":"probe:s-0000002a","member":"n0","owns":false,"token":17}"#,
        ]
    );
}

/// Guards the tokens over a voter's restarts: what was kept is there again, a first start begins
/// with nothing, and a file that was spoilt makes no voter, rather than one that would grant tokens
/// a second time.
#[test]
fn a_voter_finds_what_it_kept_or_gives_no_votes() {
    let folder = Folder::new().expect("a folder");
    let path = folder.path("yokelift-duties-n0");
    assert_eq!(kept(&path), Ok(TokenHighWaterMarks::default()));
    let mut highest = TokenHighWaterMarks::default();
    (0..2_000).for_each(|n| highest.observe(Resource::Probe(n), 7 + n));
    for token in [3_000, 3_001] {
        highest.observe(Resource::Probe(1), token);
        keep(&path, &highest).expect("kept");
        assert_eq!(kept(&path).as_ref(), Ok(&highest));
    }
    let mut bytes = std::fs::read(&path).expect("there");
    bytes[9] ^= 4;
    std::fs::write(&path, &bytes).expect("spoilt");
    assert!(kept(&path).is_err());
    std::fs::write(&path, &bytes[..4]).expect("cut");
    assert!(kept(&path).is_err());
}
