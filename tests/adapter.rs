//! The built adapter, driven with frames written here field by field.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"me":0,"peers_total":1,"az":0,"quantum_ns":5000000,"kinds":["k"],"unheard_of":[1],
"classes":[{"promise_ns":1000000000,"deadline_ns":6000000000,"semantics":"pure","worth":1.0}],
"extra":{"class_threads":[1],"cores_by_kind":[8],"note_period_ns":0},
"invariants":{"answer_slack_ns":20000000,"drain_grace_ns":250000000,"cold_from":0.3,"warm_within_ns":15000000000,
"fall_multiple":2.0,"fall_ns":2000000000},"limits":{"send_cap":3,"may_cancel":true}}"#;

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
        parts.iter().for_each(|p| self.body.extend_from_slice(p));
        self
    }

    fn start(self, i: u32, text: &str) -> Frame {
        let n = (text.len() as u32).to_be_bytes();
        self.record(&[
            &[1],
            &i.to_be_bytes(),
            &7u64.to_be_bytes(),
            &n,
            text.as_bytes(),
        ])
    }

    /// One engine, 10.18.74.7:5003, ready since long ago, as list 0; then the cached list of
    /// instance `i`.
    fn list(self, i: u32) -> Frame {
        let row: &[&[u8]] = &[
            &[10, 18, 74, 7],
            &5003u16.to_be_bytes(),
            &[0, 0, 0, 0, 0, 1],
            &[0x3f, 0x80, 0, 0],
        ];
        let row: Vec<u8> = row.concat().into_iter().chain([0; 8]).collect();
        self.record(&[&[12], &0u16.to_be_bytes(), &1u32.to_be_bytes(), &row])
            .record(&[
                &[2],
                &i.to_be_bytes(),
                &1u32.to_be_bytes(),
                &[0],
                &0u16.to_be_bytes(),
            ])
    }

    fn request(self, i: u32, corr: u32, class: u8) -> Frame {
        let give_up = 7_000_000_000u64.to_be_bytes();
        let head: &[&[u8]] = &[
            &[3],
            &i.to_be_bytes(),
            &corr.to_be_bytes(),
            &[class],
            &[0, 0],
            &[0; 8],
        ];
        let tail: &[&[u8]] = &[&give_up, &[0; 8], &[0; 4], &[0; 4], &[0, 0]];
        self.record(&[head.concat().as_slice(), tail.concat().as_slice()])
    }

    fn bytes(self, now: u64) -> Vec<u8> {
        let mut out = (self.body.len() as u32).to_be_bytes().to_vec();
        out.extend(now.to_be_bytes());
        out.extend(self.records.to_be_bytes());
        out.extend(self.body);
        out
    }
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_yokelift-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // A broken pipe is no fault of the test: the adapter may have stopped at bad input before
    // reading on.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn complaint(input: &[u8]) -> String {
    let out = run(input);
    assert!(!out.status.success());
    assert!(out.stdout.is_empty(), "no partial reply");
    let text = String::from_utf8(out.stderr).expect("plain text");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_ends_it_well() {
    let out = run(&Frame::new().bytes(1_000_000_000));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0; 8]);
}

#[test]
fn a_request_is_sent_to_the_listed_engine_with_ids_unchanged() {
    let frame = Frame::new()
        .start(3, SETTINGS)
        .list(3)
        .request(3, 0x5d3a_91c4, 0);
    let out = run(&frame.bytes(1_000_000_000));
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let send: Vec<u8> = [
        &[
            13, 0, 0, 0, 3, 0x5d, 0x3a, 0x91, 0xc4, 10, 18, 74, 7, 0x13, 0x8b,
        ][..],
        &[0; 8],
    ]
    .concat();
    assert!(
        out.stdout.windows(send.len()).any(|w| w == send),
        "{:02x?}",
        out.stdout
    );
    let length = u32::from_be_bytes(out.stdout[0..4].try_into().expect("four bytes")) as usize;
    assert_eq!(length + 8, out.stdout.len());
}

#[test]
fn kill_then_start_in_one_batch_begins_anew() {
    let kill = |f: Frame| f.record(&[&[10], &3u32.to_be_bytes()]);
    let frame = kill(Frame::new().start(3, SETTINGS).list(3))
        .start(3, SETTINGS)
        .request(3, 9, 0);
    let out = run(&frame.bytes(1_000_000_000));
    assert!(out.status.success());
    assert!(
        !out.stdout.contains(&13),
        "the new instance knows no engine, so nothing is sent"
    );
}

#[test]
fn several_instances_act_as_each_would_alone() {
    let both = Frame::new()
        .start(1, SETTINGS)
        .list(1)
        .start(2, SETTINGS)
        .list(2)
        .request(1, 5, 0)
        .request(2, 6, 0);
    let alone = Frame::new().start(2, SETTINGS).list(2).request(2, 6, 0);
    let (both, alone) = (
        run(&both.bytes(1_000_000_000)).stdout,
        run(&alone.bytes(1_000_000_000)).stdout,
    );
    let last = &alone[alone.len() - 23..];
    assert!(both.ends_with(last));
}

#[test]
fn bad_input_names_field_and_byte_and_fails() {
    let start = |f: Frame| f.start(3, SETTINGS).list(3);
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (
            Frame::new().record(&[&[99]]).bytes(1),
            "code: unknown event 99",
        ),
        (
            Frame::new()
                .record(&[&[6], &3u32.to_be_bytes(), &[0; 4]])
                .bytes(1),
            "no instance 3",
        ),
        (Frame::new().start(3, "{nonsense").bytes(1), "boot_info"),
        (start(Frame::new()).request(3, 1, 7).bytes(1), "no class 7"),
        (
            start(Frame::new())
                .record(&[&[6], &3u32.to_be_bytes()])
                .bytes(1),
            "VANISHED corr",
        ),
        (
            Frame {
                records: 0,
                body: vec![1],
            }
            .bytes(1),
            "bytes are left",
        ),
        (Frame::new().bytes(1)[..9].to_vec(), "frame: the input ends"),
        (vec![0, 0], "length: the input ends"),
    ];
    for (input, expected) in cases {
        let text = complaint(&input);
        assert!(
            text.contains(expected) && text.contains("byte "),
            "{expected}: {text}"
        );
    }
}
