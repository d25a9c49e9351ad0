//! Tests of the audit's buffer and files, with builders shared by the tests. They guard against
//! records that are lost without a report, files that outgrow their limits, and damage that spreads
//! from one frame to others.
use super::segment::{decode_segment, encode_frame};
use super::store::Store;
use super::*;
use crate::testkit::daemon::Folder;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use std::path::{Path, PathBuf};

#[path = "audit/model.rs"]
mod model_tests;

fn context(incarnation: u64) -> DecisionContext {
    DecisionContext {
        member: "n0".into(),
        incarnation,
        build: "1+test".into(),
        configuration: ActiveConfiguration {
            generation: 1,
            settings: 77,
            list: 0,
        },
        active_since: incarnation,
    }
}

fn decision(number: u64) -> Decision {
    let kind = match number % 3 {
        0 => DecisionKind::Dispatch {
            attempt: 0,
            engine: number,
        },
        1 => DecisionKind::Reject { retry_after_ms: 40 },
        _ => DecisionKind::Fail,
    };
    Decision {
        kind,
        class: "lookup".into(),
        request: format!("q{number}").into(),
    }
}

/// The content of all pages of a store.
struct StoredRecords {
    lines: Vec<AuditLine>,
    /// The number that the last page reports.
    damaged_frames: u64,
}

/// Reads a store from the start, in pages of `page_records` records.
fn read_all(store: &Store, page_records: usize) -> StoredRecords {
    let mut lines = Vec::new();
    let mut after = RecordPosition::default();
    loop {
        let page = store.read(after, page_records).expect("readable");
        let text = page.text();
        let mut json_lines: Vec<&str> = text.lines().collect();
        let end = json_lines.pop().expect("the page's end");
        let end: PageEnd = serde_json::from_str(end).expect("the page's end");
        for line in json_lines {
            lines.push(serde_json::from_str(line).expect("a record"));
        }
        assert_eq!(end.next, page.next.to_string());
        if !end.has_more {
            let damaged_frames = end.damaged_frames;
            return StoredRecords {
                lines,
                damaged_frames,
            };
        }
        after = end.next.parse().expect("a position");
    }
}

/// The audit files in a folder, sorted by name.
fn segment_files(folder: &Path) -> Vec<PathBuf> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)
        .expect("the folder")
        .map(|file| file.expect("a file").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "seg"))
        .collect();
    files.sort();
    files
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(20_261_202), ..ProptestConfig::default()
    })]

    /// Files must stay readable after a crash or a disk error. A file truncated anywhere must yield
    /// the records before the cut. A damaged byte must cost only the frames that it belongs to,
    /// which are counted as damaged.
    #[test]
    fn a_truncated_or_damaged_file_loses_only_the_damaged_frames(
        cut in 0usize..4_000, at in 0usize..4_000, bit in 0u8..8,
    ) {
        let record = |number: u64| Entry::Record {
            number,
            at: number,
            kind: decision(number).kind,
            class: "lookup".into(),
            request: "q".into(),
        };
        let frames: Vec<Vec<u8>> = (1..60u64).map(|number| encode_frame(&record(number))).collect();
        let whole: Vec<u8> = frames.concat();

        let cut = cut % whole.len();
        let truncated = decode_segment(&whole[..cut]);
        prop_assert_eq!(truncated.damaged_frames, 0);
        let frame_ends = frames.iter().scan(0, |end, frame| {
            *end += frame.len();
            Some(*end)
        });
        let complete_frames = frame_ends.take_while(|end| *end <= cut).count();
        prop_assert_eq!(truncated.entries.len(), complete_frames);

        let mut damaged = whole.clone();
        damaged[at % whole.len()] ^= 1 << bit;
        let content = decode_segment(&damaged);
        // A damaged delimiter joins two frames; a byte that becomes a delimiter splits a frame.
        let entries = content.entries.len();
        prop_assert!(entries >= frames.len() - 2 && entries < frames.len());
        prop_assert!((1..=2).contains(&content.damaged_frames));
    }
}

/// The files must stay within their limits over any number of records and incarnations. The oldest
/// records are deleted first, and files of other managers are kept.
#[test]
fn files_are_rotated_within_their_limits() {
    let folder = Folder::new().expect("a folder");
    let foreign = folder
        .put(
            "yokelift-audit-n1-00000000000000000001-00000000000000000001.seg",
            "x",
        )
        .expect("written");
    let bounds = Bounds {
        segment_kb: 4,
        segments: 3,
    };
    for incarnation in [5_000_000, 6_000_000, 7_000_000] {
        let mut store = Store::open(&folder.path(""), "n0", bounds).expect("opened");
        let mut buffer = AuditBuffer::new(context(incarnation));
        let mut now = incarnation;
        for number in 1..1_000 {
            buffer.record(now, &decision(number));
            now += FLUSH_INTERVAL_MICROS / 10;
            if let Some(batch) = buffer.flush(now) {
                store.append(batch).expect("written");
            }
        }

        let mut files = segment_files(&folder.path(""));
        files.retain(|path| *path != foreign);
        assert!(files.len() <= 3, "{files:?}");
        for file in &files {
            let bytes = std::fs::metadata(file).expect("the file").len();
            assert!(bytes <= 5 * 1024, "{bytes} bytes in {file:?}");
        }
        let lines = read_all(&store, MAX_PAGE_RECORDS).lines;
        let last_incarnation = lines.last().map(|line| line.context.incarnation);
        assert_eq!(last_incarnation, Some(incarnation));
        assert!(lines.len() > 100, "only {} records are left", lines.len());
        let has_no_gap = |pair: &[AuditLine]| {
            pair[0].context.incarnation < pair[1].context.incarnation
                || pair[0].number + 1 == pair[1].number
        };
        assert!(lines.windows(2).all(has_no_gap));
    }
    assert!(foreign.exists());
}

/// A caller that polls from the last position must get only the new records, or none.
#[test]
fn a_poll_returns_only_records_after_the_position() {
    let folder = Folder::new().expect("a folder");
    let mut store = Store::open(&folder.path(""), "n/0 é", Bounds::default()).expect("opened");
    let mut buffer = AuditBuffer::new(context(9));
    let first_batch = buffer.finish().expect("the activation");
    store.append(first_batch).expect("written");

    let first = store.read(RecordPosition::default(), 10).expect("read");
    let none = store.read(first.next, 10).expect("read");
    buffer.record(60, &decision(2));
    let second_batch = buffer.finish().expect("a record");
    store.append(second_batch).expect("written");
    let second = store.read(first.next, 10).expect("read");

    let last_of_first = RecordPosition {
        incarnation: 9,
        number: 1,
    };
    assert_eq!((first.next, first.has_more), (last_of_first, false));
    assert_eq!((none.lines.as_str(), none.next), ("", first.next));
    assert_eq!(second.lines.lines().count(), 1);
    let line: AuditLine = serde_json::from_str(&second.lines).expect("a record");
    assert_eq!(
        (line.number, &*line.request, &*line.class, line.record),
        (2, "q2", "lookup", AuditRecord::Fail)
    );
}

#[test]
fn a_manager_name_is_made_safe_for_the_file_name() {
    let folder = Folder::new().expect("a folder");
    let mut store = Store::open(&folder.path(""), "n/0 é", Bounds::default()).expect("opened");
    let batch = AuditBuffer::new(context(9))
        .finish()
        .expect("the activation");

    store.append(batch).expect("written");

    let files = segment_files(&folder.path(""));
    let name = files[0].to_string_lossy();
    assert!(name.contains("yokelift-audit-n_0__-"), "{name}");
}
