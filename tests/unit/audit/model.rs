//! Checks the buffer and the files against a model, with random decisions, configuration changes,
//! batches dropped because the queue is full, disk failures and restarts. Guards against records
//! that are lost, duplicated or stored with a wrong context when they are read back in pages of any
//! size.
use super::*;
use std::collections::BTreeMap;

const RESTART_MICROS: u64 = 1_000_000;

#[derive(Clone, Debug)]
enum Step {
    Decide(u8),
    ActivateList(u64),
    Flush,
    /// The queue to the thread of the files is full for the next batch.
    DropBatch,
    /// The folder is moved away during the write of the next batch.
    FailDisk,
    Restart,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u8..40).prop_map(Step::Decide),
        2 => (1u64..9).prop_map(Step::ActivateList),
        4 => Just(Step::Flush),
        1 => Just(Step::DropBatch),
        1 => Just(Step::FailDisk),
        1 => Just(Step::Restart),
    ]
}

/// The expected content of a record.
#[derive(Debug)]
struct Expected {
    kind: DecisionKind,
    configuration: ActiveConfiguration,
}

/// The audit of a manager, with the records that it is expected to have.
struct AuditedManager {
    parent_folder: Folder,
    folder: PathBuf,
    bounds: Bounds,
    store: Store,
    buffer: AuditBuffer,
    now: u64,
    position: RecordPosition,
    configuration: ActiveConfiguration,
    expected: BTreeMap<RecordPosition, Expected>,
}

impl AuditedManager {
    fn new() -> AuditedManager {
        let parent_folder = Folder::new().expect("a folder");
        let folder = parent_folder.path("files");
        std::fs::create_dir(&folder).expect("created");
        let bounds = Bounds {
            segment_kb: 1,
            segments: 1_000,
        };
        let incarnation = 1_000;
        let mut manager = AuditedManager {
            store: Store::open(&folder, "n0", bounds).expect("opened"),
            parent_folder,
            folder,
            bounds,
            buffer: AuditBuffer::new(context(incarnation)),
            now: incarnation,
            position: RecordPosition {
                incarnation,
                number: 0,
            },
            configuration: context(incarnation).configuration,
            expected: BTreeMap::new(),
        };
        manager.expect_next(DecisionKind::ActivateConfiguration);
        manager
    }

    fn expect_next(&mut self, kind: DecisionKind) {
        self.position.number += 1;
        let expected = Expected {
            kind,
            configuration: self.configuration,
        };
        self.expected.insert(self.position, expected);
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        self.now += FLUSH_INTERVAL_MICROS;
        match step {
            Step::Decide(count) => (0..count).for_each(|_| self.decide()),
            Step::ActivateList(list) => self.activate_list(list),
            Step::Flush => {
                if let Some(batch) = self.buffer.flush(self.now) {
                    prop_assert!(self.store.append(batch).is_ok());
                }
            }
            Step::DropBatch => {
                if let Some(batch) = self.buffer.flush(self.now) {
                    self.buffer.mark_lost(self.now, &batch);
                }
            }
            Step::FailDisk => {
                if let Some(batch) = self.buffer.flush(self.now) {
                    self.append_without_folder(batch);
                }
            }
            Step::Restart => self.restart()?,
        }
        Ok(())
    }

    fn decide(&mut self) {
        let decision = decision(self.position.number + 1);
        self.buffer.record(self.now, &decision);
        self.expect_next(decision.kind);
    }

    fn activate_list(&mut self, list: u64) {
        if list == self.configuration.list {
            return;
        }
        self.configuration.list = list;
        self.buffer.set_configuration(self.now, self.configuration);
        self.expect_next(DecisionKind::ActivateConfiguration);
    }

    fn append_without_folder(&mut self, batch: Batch) {
        let away = self.parent_folder.path("away");
        std::fs::rename(&self.folder, &away).expect("moved away");
        // The batch can still be written to a file that is open, but a new file can't be opened.
        let _ = self.store.append(batch);
        std::fs::rename(&away, &self.folder).expect("moved back");
    }

    fn restart(&mut self) -> Result<(), TestCaseError> {
        if let Some(batch) = self.buffer.finish() {
            prop_assert!(self.store.append(batch).is_ok());
        }
        prop_assert!(self.store.report_lost_records().is_ok());
        let incarnation = self.position.incarnation + RESTART_MICROS;
        self.position = RecordPosition {
            incarnation,
            number: 0,
        };
        self.configuration = context(0).configuration;
        self.store = Store::open(&self.folder, "n0", self.bounds).expect("opened");
        self.buffer = AuditBuffer::new(context(incarnation));
        self.now = self.now.max(incarnation);
        self.expect_next(DecisionKind::ActivateConfiguration);
        Ok(())
    }

    /// Compares the stored records with the expected ones.
    fn check(mut self, page_records: usize) -> Result<(), TestCaseError> {
        let stored = read_all(&self.store, page_records);
        prop_assert_eq!(stored.damaged_frames, 0);
        let mut last = RecordPosition::default();
        for line in stored.lines {
            let position = RecordPosition {
                incarnation: line.context.incarnation,
                number: line.number,
            };
            prop_assert!(position > last, "{position:?} after {last:?}");
            last = position;
            if let AuditRecord::Lost { count } = line.record {
                self.remove_lost(position, count)?;
                continue;
            }
            let Some(expected) = self.expected.remove(&position) else {
                panic!("no record is expected at {position:?}")
            };
            prop_assert_eq!(&line.record, &AuditRecord::from(&expected.kind));
            prop_assert_eq!(line.context.configuration, expected.configuration);
            prop_assert_eq!(&*line.context.member, "n0");
        }
        prop_assert!(
            self.expected.is_empty(),
            "neither stored nor reported as lost: {:?}",
            self.expected
        );
        Ok(())
    }

    fn remove_lost(&mut self, last: RecordPosition, count: u64) -> Result<(), TestCaseError> {
        for number in last.number + 1 - count..=last.number {
            let lost = RecordPosition { number, ..last };
            prop_assert!(
                self.expected.remove(&lost).is_some(),
                "{lost} is not expected, or was stored or reported as lost before"
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(20_261_202), ..ProptestConfig::default()
    })]

    /// Each record number of each incarnation must be stored once, with its decision and its
    /// context, or be reported as lost, regardless of what happens to batches, files and processes.
    /// No record may be duplicated or out of order.
    #[test]
    fn every_decision_is_stored_with_its_context_or_reported_as_lost(
        steps in proptest::collection::vec(any_step(), 1..60), page_records in 1usize..50,
    ) {
        let mut manager = AuditedManager::new();
        for step in steps.into_iter().chain([Step::Flush, Step::Flush]) {
            manager.apply(step)?;
        }
        prop_assert!(manager.store.report_lost_records().is_ok());
        manager.check(page_records)?;
    }
}
