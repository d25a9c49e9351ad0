//! The adapter's executable, tested with frames that are encoded here field by field.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"me":0,"peers_total":1,"az":0,"quantum_ns":5000000,"kinds":["k"],"unheard_of":[1],
"classes":[{"promise_ns":1000000000,"deadline_ns":6000000000,"semantics":"pure","worth":1.0}],
"extra":{"class_threads":[1],"cores_by_kind":[8],"note_period_ns":0},
"invariants":{"answer_slack_ns":20000000,"drain_grace_ns":250000000,"cold_from":0.3,"warm_within_ns":15000000000,
"fall_multiple":2.0,"fall_ns":2000000000},"limits":{"send_cap":3,"may_cancel":true}}"#;

/// Codes of records on the wire.
mod record {
    pub(crate) const START_INSTANCE: u8 = 1;
    pub(crate) const ENDPOINT_LIST_UPDATE: u8 = 2;
    pub(crate) const REQUEST: u8 = 3;
    pub(crate) const CLIENT_DISCONNECTED: u8 = 6;
    pub(crate) const STOP_INSTANCE: u8 = 10;
    pub(crate) const ENDPOINT_LIST: u8 = 12;
    pub(crate) const UNKNOWN: u8 = 99;
}

/// Code on the wire of the action that starts an attempt.
const ACTION_SEND: u8 = 13;
/// Length of that action in a reply, in bytes.
const ACTION_SEND_BYTES: usize = 23;
/// The time of the batches.
const NOW: u64 = 1_000_000_000;
/// The instance of tests that use a single one.
const INSTANCE: u32 = 3;

/// A batch, built record by record.
struct Frame {
    records: u32,
    body: Vec<u8>,
}

impl Frame {
    fn new() -> Frame {
        Frame {
            records: 0,
            body: vec![],
        }
    }

    fn record(mut self, parts: &[&[u8]]) -> Frame {
        self.records += 1;
        for part in parts {
            self.body.extend_from_slice(part);
        }
        self
    }

    fn start_instance(self, instance: u32, settings: &str) -> Frame {
        let seed = 7u64.to_be_bytes();
        let length = (settings.len() as u32).to_be_bytes();
        self.record(&[
            &[record::START_INSTANCE],
            &instance.to_be_bytes(),
            &seed,
            &length,
            settings.as_bytes(),
        ])
    }

    fn stop_instance(self, instance: u32) -> Frame {
        self.record(&[&[record::STOP_INSTANCE], &instance.to_be_bytes()])
    }

    /// Adds list 0 with one engine, 10.18.74.7:5003, which is ready and started long ago, and an
    /// update that gives this list to an instance as its cached list.
    fn cached_engine(self, instance: u32) -> Frame {
        let list_number = 0u16.to_be_bytes();
        let entry: &[&[u8]] = &[
            &[10, 18, 74, 7],
            &5003u16.to_be_bytes(),
            // Zone, machine type, cell; ready.
            &[0, 0, 0, 0, 0, 1],
            // Weight 1.0.
            &[0x3f, 0x80, 0, 0],
            // Start time.
            &[0; 8],
        ];
        self.record(&[
            &[record::ENDPOINT_LIST],
            &list_number,
            &1u32.to_be_bytes(),
            &entry.concat(),
        ])
        .record(&[
            &[record::ENDPOINT_LIST_UPDATE],
            &instance.to_be_bytes(),
            &1u32.to_be_bytes(),
            &[0],
            &list_number,
        ])
    }

    fn request(self, instance: u32, id: u32, class: u8) -> Frame {
        let deadline = 7_000_000_000u64.to_be_bytes();
        self.record(&[
            &[record::REQUEST],
            &instance.to_be_bytes(),
            &id.to_be_bytes(),
            &[class],
            // Tenant, key.
            &[0, 0],
            &[0; 8],
            &deadline,
            // Work, memory, data set, marks.
            &[0; 8],
            &[0; 4],
            &[0; 4],
            &[0, 0],
        ])
    }

    fn encode(self, now: u64) -> Vec<u8> {
        let mut frame = (self.body.len() as u32).to_be_bytes().to_vec();
        frame.extend(now.to_be_bytes());
        frame.extend(self.records.to_be_bytes());
        frame.extend(self.body);
        frame
    }
}

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_yokelift-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The write may fail with a broken pipe, because the adapter exits at malformed input without
    // reading the rest.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter exits")
}

fn error_message(input: &[u8]) -> String {
    let out = run_adapter(input);
    assert!(!out.status.success());
    assert!(out.stdout.is_empty(), "no partial reply");
    let text = String::from_utf8(out.stderr).expect("plain text");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_adapter_exits_with_success_at_end_of_input() {
    let output = run_adapter(&Frame::new().encode(NOW));

    assert!(output.status.success());
    assert_eq!(output.stdout, [0; 8]);
}

#[test]
fn a_request_starts_an_attempt_on_the_listed_engine_with_unchanged_ids() {
    let frame = Frame::new()
        .start_instance(INSTANCE, SETTINGS)
        .cached_engine(INSTANCE)
        .request(INSTANCE, 0x5d3a_91c4, 0);

    let output = run_adapter(&frame.encode(NOW));

    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let send: &[&[u8]] = &[
        &[ACTION_SEND],
        &INSTANCE.to_be_bytes(),
        &[0x5d, 0x3a, 0x91, 0xc4],
        &[10, 18, 74, 7, 0x13, 0x8b],
        &[0; 8],
    ];
    let send = send.concat();
    assert!(
        output.stdout.windows(send.len()).any(|bytes| bytes == send),
        "{:02x?}",
        output.stdout
    );
    let length = u32::from_be_bytes(output.stdout[0..4].try_into().expect("four bytes")) as usize;
    assert_eq!(length + 8, output.stdout.len());
}

#[test]
fn an_instance_stopped_and_restarted_in_one_batch_keeps_no_state() {
    let frame = Frame::new()
        .start_instance(INSTANCE, SETTINGS)
        .cached_engine(INSTANCE)
        .stop_instance(INSTANCE)
        .start_instance(INSTANCE, SETTINGS)
        .request(INSTANCE, 9, 0);

    let output = run_adapter(&frame.encode(NOW));

    assert!(output.status.success());
    assert!(
        !output.stdout.contains(&ACTION_SEND),
        "the new instance has no endpoint list, so it starts no attempt"
    );
}

#[test]
fn instances_in_one_batch_act_independently() {
    let both = Frame::new()
        .start_instance(1, SETTINGS)
        .cached_engine(1)
        .start_instance(2, SETTINGS)
        .cached_engine(2)
        .request(1, 5, 0)
        .request(2, 6, 0);
    let alone = Frame::new()
        .start_instance(2, SETTINGS)
        .cached_engine(2)
        .request(2, 6, 0);

    let both = run_adapter(&both.encode(NOW)).stdout;
    let alone = run_adapter(&alone.encode(NOW)).stdout;

    let last_action = &alone[alone.len() - ACTION_SEND_BYTES..];
    assert!(both.ends_with(last_action));
}

/// Malformed input, and a text that the error message must contain.
struct MalformedInput {
    input: Vec<u8>,
    expected: &'static str,
}

fn malformed_frame(frame: Frame, expected: &'static str) -> MalformedInput {
    MalformedInput {
        input: frame.encode(1),
        expected,
    }
}

fn malformed_inputs() -> Vec<MalformedInput> {
    let started = || {
        Frame::new()
            .start_instance(INSTANCE, SETTINGS)
            .cached_engine(INSTANCE)
    };
    let disconnected: &[u8] = &[record::CLIENT_DISCONNECTED];
    let instance = INSTANCE.to_be_bytes();
    let uncounted_record = Frame {
        records: 0,
        body: vec![1],
    };
    vec![
        malformed_frame(
            Frame::new().record(&[&[record::UNKNOWN]]),
            "code: unknown event 99",
        ),
        malformed_frame(
            Frame::new().record(&[disconnected, &instance, &[0; 4]]),
            "no instance 3",
        ),
        malformed_frame(
            Frame::new().start_instance(INSTANCE, "{nonsense"),
            "boot_info",
        ),
        malformed_frame(started().request(INSTANCE, 1, 7), "no class 7"),
        malformed_frame(
            started().record(&[disconnected, &instance]),
            "VANISHED corr",
        ),
        malformed_frame(uncounted_record, "bytes are left"),
        MalformedInput {
            input: Frame::new().encode(1)[..9].to_vec(),
            expected: "frame: the input ends",
        },
        MalformedInput {
            input: vec![0, 0],
            expected: "length: the input ends",
        },
    ]
}

#[test]
fn the_error_for_malformed_input_names_the_field_and_the_byte_position() {
    for MalformedInput { input, expected } in malformed_inputs() {
        let text = error_message(&input);
        assert!(
            text.contains(expected) && text.contains("byte "),
            "{expected}: {text}"
        );
    }
}
