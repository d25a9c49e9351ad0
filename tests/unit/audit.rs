//! The audit's trail and its files against a model: random decisions, changes of what is acted on,
//! batches that find no room, files that can't be written, and new lives; read back in pages of any
//! size.
use super::store::{self, AuditRecord, Line, Page, PageEnd, Store};
use super::*;
use crate::testkit::daemon::Folder;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use std::collections::BTreeMap;
use std::path::Path;

fn under(life: u64) -> DecisionContext {
    let acting = ActiveConfiguration {
        generation: 1,
        settings: 77,
        list: 0,
    };
    DecisionContext {
        member: "n0".into(),
        life,
        build: "1+test".into(),
        acting,
        since: life,
    }
}

fn decision(number: u64) -> Decision {
    let what = match number % 3 {
        0 => DecisionKind::Dispatch(0, number),
        1 => DecisionKind::Refuse(40),
        _ => DecisionKind::Fail,
    };
    Decision {
        what,
        class: "lookup".into(),
        request: format!("q{number}").into(),
    }
}

/// All records of the files from the start on, in pages of that size, and the spoilt frames of the
/// last page.
fn read_all(store: &Store, page: usize) -> (Vec<Line>, u64) {
    let (mut all, mut since) = (Vec::new(), RecordPosition::default());
    loop {
        let page: Page = store.read(since, page).expect("readable");
        let text = page.text();
        let (end, lines) = text
            .trim_end()
            .rsplit_once('\n')
            .map_or((text.trim_end(), ""), |(l, e)| (e, l));
        let end: PageEnd = serde_json::from_str(end).expect("the page's end");
        all.extend(
            lines
                .lines()
                .map(|l| serde_json::from_str::<Line>(l).expect("a record")),
        );
        assert_eq!(end.next, page.next.to_string());
        if !end.more {
            return (all, end.spoilt);
        }
        since = end.next.parse().expect("a place");
    }
}

fn segments(folder: &Path) -> Vec<std::path::PathBuf> {
    let mut all: Vec<_> = std::fs::read_dir(folder)
        .expect("the folder")
        .map(|f| f.expect("a file").path())
        .filter(|p| p.extension().is_some_and(|e| e == "seg"))
        .collect();
    all.sort();
    all
}

#[derive(Clone, Debug)]
enum Step {
    Decide(u8),
    Act(u64),
    Flush,
    NoRoom,
    /// The folder is gone for the next batch, and back after it.
    DiskFails,
    NewLife,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u8..40).prop_map(Step::Decide),
        2 => (1u64..9).prop_map(Step::Act),
        4 => Just(Step::Flush),
        1 => Just(Step::NoRoom),
        1 => Just(Step::DiskFails),
        1 => Just(Step::NewLife),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(20_261_202), ..ProptestConfig::default()
    })]

    /// Guards the record of all decisions: whatever happens to batches, files and processes, each
    /// number of each life is there once, with what was decided and under what, or is told as lost;
    /// nothing is there twice or out of order.
    #[test]
    fn every_decision_is_kept_under_its_versions_or_told_as_lost(
        steps in proptest::collection::vec(step(), 1..60), page in 1usize..50,
    ) {
        let outer = Folder::new().expect("a folder");
        let folder = outer.path("files");
        std::fs::create_dir(&folder).expect("created");
        let bounds = Bounds { segment_kb: 1, segments: 1_000 };
        let (mut life, mut now) = (1_000, 1_000);
        let mut store = Store::open(&folder, "n0", bounds).expect("opened");
        let mut trail = AuditBuffer::new(under(life));
        // What the model says: by life and number, the decision or the change, and what was acted
        // on.
        let mut model: BTreeMap<(u64, u64), (DecisionKind, ActiveConfiguration)> = BTreeMap::new();
        let (mut acting, mut number) = (under(life).acting, 1);
        model.insert((life, 1), (DecisionKind::Act, acting));
        let gone = outer.path("away");
        for step in steps.into_iter().chain([Step::Flush, Step::Flush]) {
            now += FLUSH_EVERY;
            match step {
                Step::Decide(count) => for _ in 0..count {
                    number += 1;
                    trail.note(now, &decision(number));
                    model.insert((life, number), (decision(number).what, acting));
                },
                Step::Act(list) if list != acting.list => {
                    (acting.list, number) = (list, number + 1);
                    trail.acts_on(now, acting);
                    model.insert((life, number), (DecisionKind::Act, acting));
                }
                Step::Act(_) => {}
                Step::Flush => if let Some(batch) = trail.flush(now) {
                    prop_assert!(store.append(batch).is_ok());
                },
                Step::NoRoom => if let Some(batch) = trail.flush(now) {
                    trail.gave_up(now, &batch);
                },
                Step::DiskFails => if let Some(batch) = trail.flush(now) {
                    std::fs::rename(&folder, &gone).expect("moved away");
                    // A file that was open takes it all the same; a new one can't be made.
                    let _ = store.append(batch);
                    std::fs::rename(&gone, &folder).expect("moved back");
                },
                Step::NewLife => {
                    if let Some(batch) = trail.finish() {
                        prop_assert!(store.append(batch).is_ok());
                    }
                    prop_assert!(store.settle().is_ok());
                    (life, number, acting) = (life + 1_000_000, 1, under(0).acting);
                    store = Store::open(&folder, "n0", bounds).expect("opened");
                    trail = AuditBuffer::new(under(life));
                    now = now.max(life);
                    model.insert((life, 1), (DecisionKind::Act, acting));
                }
            }
        }
        prop_assert!(store.settle().is_ok());
        let (lines, spoilt) = read_all(&store, page);
        prop_assert_eq!(spoilt, 0);
        let mut left = model;
        let mut last = (0, 0);
        for line in lines {
            let here = (line.under.life, line.number);
            prop_assert!(here > last, "{here:?} after {last:?}");
            last = here;
            if let AuditRecord::Lost { count } = line.told {
                for number in line.number + 1 - count..=line.number {
                    prop_assert!(left.remove(&(line.under.life, number)).is_some(), "{number} is told twice");
                }
                continue;
            }
            let Some((what, acting)) = left.remove(&here) else { panic!("{here:?} was never decided") };
            prop_assert_eq!(&line.told, &AuditRecord::from(&what));
            prop_assert_eq!(line.under.acting, acting);
            prop_assert_eq!(&*line.under.member, "n0");
        }
        prop_assert!(left.is_empty(), "neither kept nor told as lost: {left:?}");
    }

    /// Guards reading against what a crash or a bad disk leaves: a file cut anywhere gives the
    /// records before the cut, and a spoilt byte costs its own frame, told as spoilt, and no other.
    #[test]
    fn a_torn_or_spoilt_file_costs_only_what_it_hit(cut in 0usize..4_000, at in 0usize..4_000, bit in 0u8..8) {
        let frames: Vec<Vec<u8>> = (1..60u64)
            .map(|n| store::frame(&Entry::record(n, n, decision(n).what, "lookup", "q")))
            .collect();
        let whole: Vec<u8> = frames.concat();
        let cut = cut % whole.len();
        let (entries, spoilt) = store::entries(&whole[..cut]);
        prop_assert_eq!(spoilt, 0);
        let mut lengths = frames.iter().scan(0, |sum, f| { *sum += f.len(); Some(*sum) });
        prop_assert_eq!(entries.len(), lengths.by_ref().take_while(|end| *end <= cut).count());
        let mut bad = whole.clone();
        bad[at % whole.len()] ^= 1 << bit;
        let (entries, spoilt) = store::entries(&bad);
        // A spoilt delimiter joins two frames; a byte that becomes one splits one.
        prop_assert!(entries.len() >= frames.len() - 2 && entries.len() < frames.len());
        prop_assert!((1..=2).contains(&spoilt));
    }
}

/// Guards the disk: however much is decided, over however many lives, the files stay within their
/// bound, the oldest records go first, and files that are not the audit's stay.
#[test]
fn files_are_turned_over_within_their_bound() {
    let folder = Folder::new().expect("a folder");
    let other = folder
        .put(
            "yokelift-audit-n1-00000000000000000001-00000000000000000001.seg",
            "x",
        )
        .expect("put");
    let bounds = Bounds {
        segment_kb: 4,
        segments: 3,
    };
    for life in [5_000_000, 6_000_000, 7_000_000] {
        let mut store = Store::open(&folder.path(""), "n0", bounds).expect("opened");
        let mut trail = AuditBuffer::new(under(life));
        let mut now = life;
        for n in 1..1_000 {
            trail.note(now, &decision(n));
            now += FLUSH_EVERY / 10;
            if let Some(batch) = trail.flush(now) {
                store.append(batch).expect("kept");
            }
        }
        let mine: Vec<_> = segments(&folder.path(""))
            .into_iter()
            .filter(|p| *p != other)
            .collect();
        assert!(mine.len() <= 3, "{mine:?}");
        for file in &mine {
            let bytes = std::fs::metadata(file).expect("there").len();
            assert!(bytes <= 5 * 1024, "{bytes} bytes in {file:?}");
        }
        let (lines, _) = read_all(&store, store::PAGE);
        assert_eq!(lines.last().map(|l| l.under.life), Some(life));
        assert!(lines.len() > 100, "only {} records are left", lines.len());
        // What is left is without a hole.
        assert!(
            lines
                .windows(2)
                .all(|w| w[0].under.life < w[1].under.life || w[0].number + 1 == w[1].number)
        );
    }
    assert!(other.exists());
}

/// Guards a caller that polls: a page from the last place on gives what is new and nothing else,
/// also when nothing is.
#[test]
fn a_poll_gives_what_is_new_alone() {
    let folder = Folder::new().expect("a folder");
    let mut store = Store::open(&folder.path(""), "n/0 é", Bounds::default()).expect("opened");
    let mut trail = AuditBuffer::new(under(9));
    store
        .append(trail.finish().expect("its start"))
        .expect("kept");
    let first = store.read(RecordPosition::default(), 10).expect("read");
    assert_eq!(
        (first.next, first.more),
        (RecordPosition { life: 9, number: 1 }, false)
    );
    let none = store.read(first.next, 10).expect("read");
    assert_eq!((none.lines.as_str(), none.next), ("", first.next));
    trail.note(60, &decision(2));
    store.append(trail.finish().expect("one")).expect("kept");
    let one = store.read(first.next, 10).expect("read");
    assert_eq!(one.lines.lines().count(), 1);
    let line: Line = serde_json::from_str(&one.lines).expect("a record");
    assert_eq!(
        (line.number, &*line.request, &*line.class, line.told),
        (2, "q2", "lookup", AuditRecord::Fail)
    );
    assert!(
        segments(&folder.path(""))[0]
            .to_string_lossy()
            .contains("yokelift-audit-n_0__-")
    );
}
