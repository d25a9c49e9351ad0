//! Formats that leave the process, compared byte for byte with fixtures: datagrams between
//! managers, lease messages, audit segments, the messages of a hot restart, handles, and the texts
//! of the admin endpoint. The fixtures were written before identifiers in the code were renamed;
//! processes from before and after that change run in one fleet and take part in one hot restart.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use yokelift::audit::segment::{SegmentContent, decode_segment, encode_frame};
use yokelift::audit::store::Store;
use yokelift::audit::{
    ActiveConfiguration, Batch, Bounds, DecisionContext, DecisionKind, Entry, RecordPosition,
};
use yokelift::dispatcher::metrics::{ClassMetrics, Counters, MetricsSnapshot};
use yokelift::dispatcher::termination::Termination;
use yokelift::frontend::admin;
use yokelift::hot_restart::message::{HotRestartMessage, MessageReader, TransferredConnection};
use yokelift::lease::codec::{self as lease_wire, LeaseMessage};
use yokelift::lease::shared_probe::{ProbeReport, ProbeRequestId, ProbeResult, ProbeStatus};
use yokelift::lease::{FencingToken, Holder, LeaseRequest, Resource, Vote, VoteReply};
use yokelift::lifecycle::Stage;
use yokelift::membership::{
    MemberState, MemberUpdate, Message, MessageBody, RunningVersions, codec as member_wire,
};
use yokelift::net::fleet::membership::{FleetView, MemberRow};
use yokelift::policy::api::TenantId;
use yokelift::spool::handle::HandleKeys;
use yokelift::spool::{Owner, ResultId};
use yokelift::testkit::daemon::Folder;

/// A limit that no datagram of the fixtures exceeds, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_200;

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn fixture_text(name: &str) -> String {
    let path = fixture_path(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Reads a fixture file with one `name hex` pair per line.
fn fixture_bytes(name: &str) -> BTreeMap<String, Vec<u8>> {
    let parse = |line: &str| {
        let (name, hex) = line
            .split_once(' ')
            .expect("a name and a value in hex digits");
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex digits");
        (
            name.to_owned(),
            (0..hex.len()).step_by(2).map(byte).collect(),
        )
    };
    fixture_text(name).lines().map(parse).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Compares encoded messages with a fixture file of `name hex` lines.
fn assert_writes(file: &str, written: &[(&str, Vec<u8>)]) {
    let text: String = written
        .iter()
        .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)))
        .collect();
    assert_text(file, &text);
}

fn assert_text(file: &str, written: &str) {
    assert_eq!(written, fixture_text(file), "tests/fixtures/{file}");
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn versions() -> RunningVersions {
    RunningVersions {
        build: "0.1.0+local".into(),
        generation: 3,
        settings: 0x0123_4567_89ab_cdef,
        list: 41,
        stage: "ready".into(),
    }
}

fn member(name: &str, port: u16, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        name: name.into(),
        addr: addr(port),
        incarnation: 1_700_000_000_000_001,
        state,
        versions: versions(),
    }
}

fn membership_messages() -> Vec<(&'static str, Message)> {
    let gossip = vec![
        member("n1", 7001, MemberState::Alive),
        member("n2", 7002, MemberState::Suspect),
        member("n3", 7003, MemberState::Dead),
        member("n4", 7004, MemberState::Left),
    ];
    let bodies = [
        ("ping", MessageBody::Ping(7)),
        ("ack", MessageBody::Ack(300)),
        (
            "ping-req",
            MessageBody::PingReq {
                sequence: 9,
                target: addr(7002),
            },
        ),
        ("leave", MessageBody::Leave),
        ("sync", MessageBody::Sync("n2".into())),
        (
            "page",
            MessageBody::Page {
                last_name: "n4".into(),
                is_final: true,
            },
        ),
    ];
    let message = |body| Message {
        from: member("n0", 7000, MemberState::Alive),
        body,
        gossip: gossip.clone(),
    };
    bodies
        .into_iter()
        .map(|(name, body)| (name, message(body)))
        .collect()
}

#[test]
fn membership_datagrams_match_the_fixtures() {
    let messages = membership_messages();
    let written: Vec<_> = messages
        .iter()
        .map(|(name, message)| (*name, member_wire::encode(message)))
        .collect();
    assert_writes("membership.hex", &written);
    let fixtures = fixture_bytes("membership.hex");
    assert_eq!(fixtures.len(), messages.len());
    for (name, message) in messages {
        assert_eq!(
            member_wire::decode(&fixtures[name], MAX_DATAGRAM_BYTES),
            Ok(message),
            "{name}"
        );
    }
}

fn loaded_probe() -> ProbeResult {
    ProbeResult {
        status: ProbeStatus::Succeeded,
        latency: 1_250,
        load_fields: 2,
        load: [3.0, 0.5, 0.0, 0.0],
    }
}

fn unreachable_probe() -> ProbeResult {
    ProbeResult {
        status: ProbeStatus::Unreachable,
        latency: 30_000,
        ..ProbeResult::default()
    }
}

fn lease_messages() -> Vec<(&'static str, LeaseMessage)> {
    let holder = || Holder {
        name: "n0".into(),
        incarnation: 1_700_000_000_000_001,
    };
    let resource = Resource::Probe(0x2a);
    let vote = |vote| {
        LeaseMessage::Vote(VoteReply {
            voter: "n1".into(),
            resource,
            round: 4,
            vote,
        })
    };
    let probe_request = |number| ProbeRequestId {
        engine: 0x2a,
        number,
    };
    let report = |number, result| {
        LeaseMessage::ProbeReport(ProbeReport {
            request: probe_request(number),
            token: FencingToken(17),
            result,
        })
    };
    let request = LeaseMessage::RequestLease(LeaseRequest {
        holder: holder(),
        resource,
        token: FencingToken(17),
        round: 4,
    });
    let refused = Vote::Refused {
        highest_token: FencingToken(18),
    };
    let release = LeaseMessage::Release {
        holder: holder(),
        resource,
        token: FencingToken(17),
    };
    let not_owner = LeaseMessage::NotOwner {
        request: probe_request(901),
        highest_token: FencingToken(18),
    };
    vec![
        ("ask", request),
        ("vote-granted", vote(Vote::Granted)),
        ("vote-refused", vote(refused)),
        ("release", release),
        ("want", LeaseMessage::RequestProbe(probe_request(900))),
        ("told", report(900, loaded_probe())),
        ("told-unreachable", report(901, unreachable_probe())),
        ("not-mine", not_owner),
    ]
}

#[test]
fn lease_datagrams_match_the_fixtures() {
    let messages = lease_messages();
    let written: Vec<_> = messages
        .iter()
        .map(|(name, message)| (*name, lease_wire::encode(message)))
        .collect();
    assert_writes("lease.hex", &written);
    let fixtures = fixture_bytes("lease.hex");
    assert_eq!(fixtures.len(), messages.len());
    for (name, message) in messages {
        assert_eq!(
            lease_wire::decode(&fixtures[name], MAX_DATAGRAM_BYTES),
            Ok(message),
            "{name}"
        );
    }
}

#[test]
fn resources_keep_their_names() {
    assert_eq!(Resource::Probe(0x2a).to_string(), "probe:s-0000002a");
}

fn hot_restart_messages() -> Vec<HotRestartMessage> {
    let state = TransferredConnection {
        open_requests: vec![3, 9],
        input: b"{\n".to_vec(),
        unwritten: b"half\n".to_vec(),
    };
    vec![
        HotRestartMessage::Hello { name: "n0".into() },
        HotRestartMessage::Listeners {
            addresses: vec![addr(5050), addr(8123)],
        },
        HotRestartMessage::Draining,
        HotRestartMessage::Ready,
        HotRestartMessage::ReservedShare { share: 0.375 },
        HotRestartMessage::Connection { conn: 7, state },
        HotRestartMessage::Connection {
            conn: 8,
            state: TransferredConnection::default(),
        },
        HotRestartMessage::Response {
            conn: 7,
            tag: 9,
            bytes: b"leave 1\n".to_vec(),
        },
        HotRestartMessage::Cancel { conn: 7, tag: 3 },
        HotRestartMessage::ClientDisconnected { conn: 8 },
        HotRestartMessage::RequestAdmitted { id: u64::MAX },
        HotRestartMessage::EndpointList {
            numbering: 12,
            frame: b"frame\n".to_vec(),
        },
    ]
}

#[test]
fn hot_restart_messages_match_the_fixture() {
    let messages = hot_restart_messages();
    let written: Vec<u8> = messages
        .iter()
        .flat_map(HotRestartMessage::encode)
        .collect();
    assert_text(
        "hot_restart.txt",
        std::str::from_utf8(&written).expect("text"),
    );
    let read = MessageReader::default().feed(fixture_text("hot_restart.txt").as_bytes());
    assert_eq!(read.expect("lines of this version"), messages);
}

fn decision_context() -> DecisionContext {
    let configuration = ActiveConfiguration {
        generation: 3,
        settings: 0x0123_4567_89ab_cdef,
        list: 41,
    };
    DecisionContext {
        member: "n0".into(),
        incarnation: 1_700_000_000_000_001,
        build: "0.1.0+local".into(),
        configuration,
        active_since: 5_000,
    }
}

fn audit_entries() -> Vec<Entry> {
    let kinds = [
        DecisionKind::ActivateConfiguration,
        DecisionKind::Dispatch {
            attempt: 0,
            engine: 0x2a,
        },
        DecisionKind::Dispatch {
            attempt: 1,
            engine: 0x2b,
        },
        DecisionKind::Reject {
            retry_after_ms: 250,
        },
        DecisionKind::Fail,
        DecisionKind::Lost { count: 12 },
        DecisionKind::AcquireLease {
            token: FencingToken(17),
        },
        DecisionKind::EndLease {
            token: FencingToken(17),
        },
    ];
    let record = |(at, kind): (usize, DecisionKind)| {
        let belongs_to_request = matches!(
            kind,
            DecisionKind::Dispatch { .. } | DecisionKind::Reject { .. } | DecisionKind::Fail
        );
        let (class, request) = if belongs_to_request {
            ("lookup", "c-7")
        } else {
            ("", "")
        };
        let number = at as u64 + 1;
        Entry::Record {
            number,
            at: 6_000 + number,
            kind,
            class: class.into(),
            request: request.into(),
        }
    };
    let records = kinds.into_iter().enumerate().map(record);
    [Entry::from(&decision_context())]
        .into_iter()
        .chain(records)
        .collect()
}

#[test]
fn audit_segments_match_the_fixture() {
    let entries = audit_entries();
    let written: Vec<u8> = entries.iter().flat_map(encode_frame).collect();
    assert_writes("audit_segment.hex", &[("segment", written)]);
    assert_eq!(
        decode_segment(&fixture_bytes("audit_segment.hex")["segment"]),
        SegmentContent {
            entries,
            damaged_frames: 0,
        }
    );
}

/// Covers the names of the segment files and the lines of `GET /audit`.
#[test]
fn an_audit_page_matches_the_fixture() {
    let folder = Folder::new().expect("a folder");
    let bounds = Bounds::default();
    let mut store = Store::open(&folder.path(""), "n0", bounds).expect("a store");
    let records = audit_entries().split_off(1);
    store
        .append(Batch {
            context: decision_context(),
            first_number: 1,
            entries: records,
        })
        .expect("the records are stored");
    let page = store
        .read(RecordPosition::default(), 1_000)
        .expect("a page");
    assert_text("audit_page.txt", &page.text());
    let names = std::fs::read_dir(folder.path(""))
        .expect("a folder")
        .map(|file| file.expect("a file").file_name());
    let names: Vec<String> = names
        .map(|name| name.to_string_lossy().into_owned())
        .collect();
    assert_eq!(
        names,
        ["yokelift-audit-n0-00001700000000000001-00000000000000000001.seg"]
    );
}

#[test]
fn handles_match_the_fixture() {
    let owner = Owner {
        tenant: TenantId(3),
        user: "anna".into(),
    };
    let keys = HandleKeys::new(1, [7; 32]);
    let handle = keys.issue(ResultId(42), &owner).expect("a handle");
    assert_text("handle.txt", &format!("{handle}\n"));
    assert_eq!(
        keys.verify(fixture_text("handle.txt").trim_end(), &owner),
        Some(ResultId(42))
    );
}

const ALL_TERMINATIONS: [Termination; 17] = [
    Termination::Done,
    Termination::Rejected,
    Termination::AlreadyFinished,
    Termination::EngineError,
    Termination::Refused,
    Termination::ConnectTimeout,
    Termination::Unreachable,
    Termination::LocalLimit,
    Termination::Closed,
    Termination::Reset,
    Termination::ProtocolViolation,
    Termination::Unresponsive,
    Termination::Idle,
    Termination::Drained,
    Termination::Cancelled,
    Termination::Deadline,
    Termination::Dropped,
];

#[test]
fn the_counters_line_matches_the_fixture() {
    let attempts_by_termination = ALL_TERMINATIONS.into_iter().zip(1..).collect();
    let counters = Counters {
        received: 100,
        completed: 90,
        rejected: 4,
        failed: 3,
        abandoned: 2,
        attempts_started: 110,
        hedged_attempts: 5,
        attempts_cancelled: 6,
        probes: 7,
        blocked_actions: 8,
        stray_results: 9,
        endpoint_list_updates: 10,
        directory_reads: 11,
        directory_read_failures: 12,
        reloads: 13,
        reload_failures: 14,
        responses_by_class: BTreeMap::new(),
        rejections: BTreeMap::new(),
        total_rejections: 0,
        attempts_by_termination,
    };
    assert_text("counters.txt", &format!("{counters}\n"));
}

#[test]
fn metrics_match_the_fixture() {
    let class_metrics = |success| ClassMetrics {
        success,
        overload: 2,
        error: 1,
    };
    let classes = [("load", class_metrics(30)), ("lookup", class_metrics(60))];
    let snapshot = MetricsSnapshot {
        classes: classes
            .into_iter()
            .map(|(name, class_metrics)| (Rc::from(name), class_metrics))
            .collect(),
        dispatches: 110,
        concurrent: 4,
        targets: 10,
        targets_disabled: 1,
        reload_success: 2,
        reload_failure: 1,
        actor_panics: 0,
        client_connections: 5,
        rejections: BTreeMap::new(),
    };
    assert_text("metrics.txt", &admin::metrics_text(&snapshot));
}

#[test]
fn fleet_lines_have_the_same_keys_in_the_same_order() {
    let row = |is_self, update| MemberRow {
        is_self,
        update,
        since_ms: 1_500,
    };
    let members = vec![
        row(true, member("n0", 7000, MemberState::Alive)),
        row(false, member("n1", 7001, MemberState::Suspect)),
        row(false, member("n2", 7002, MemberState::Dead)),
        row(false, member("n3", 7003, MemberState::Left)),
    ];
    let view = FleetView {
        members,
        version_status: yokelift::membership::VersionStatus::InStep,
        dropped_datagrams: 0,
    };
    assert_text("fleet.txt", &view.lines());
}

#[test]
fn member_states_keep_their_names_in_the_log_and_the_report() {
    let names = [
        (MemberState::Alive, "Alive"),
        (MemberState::Suspect, "Suspect"),
        (MemberState::Dead, "Dead"),
        (MemberState::Left, "Left"),
    ];
    for (state, name) in names {
        assert_eq!(state.to_string(), name);
    }
}

#[test]
fn stages_keep_their_names_on_the_admin_endpoint_and_in_member_updates() {
    let names = [
        (Stage::Starting, "starting", "starting"),
        (Stage::Ready, "ready", "ready"),
        (Stage::Draining, "draining", "draining"),
        (Stage::HotRestart, "handingover", "hotrestart"),
        (Stage::Stopping, "stopping", "stopping"),
    ];
    for (stage, admin_name, member_update_name) in names {
        assert_eq!(stage.to_string(), admin_name);
        assert_eq!(stage.name_in_member_updates(), member_update_name);
    }
}
