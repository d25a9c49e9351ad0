//! Client input under limits: both frontends receive random bytes in random pieces, parsed at once
//! or deferred, while the memory limit may be exceeded. The search offset and the buffers have to
//! be consistent, and no frontend may panic.
use super::buffers::DeferredInput;
use crate::clock::{MS, SEC};
use crate::config::process::Names;
use crate::dispatcher::Response;
use crate::frontend::clickhouse::ClickHouseShared;
use crate::frontend::jsonrpc::JsonRpc;
use crate::frontend::{DisconnectReason, Frontend, FrontendEvent};
use proptest::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;

/// Complete messages, parts of messages, and invalid input.
const FRAGMENTS: [&[u8]; 14] = [
    b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"lookup\",\"params\":{\"id\":\"0000000000000001\",\"wait\":900,\"tenant\":\"acme\",\"cost\":5.0,\"kb\":8,\"arg\":\"U0VMRUNUIDE=\"}}\n",
    b"{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"lookup\",\"params\":{\"id\":\"0000000000000002\",\"wait\":900,\"tenant\":\"acme\",\"arg\":\"U0VMRUNUIDE=\"}}\n",
    b"{\"jsonrpc\":\"2.0\",\"method\":\"withdraw\",\"params\":{\"id\":1}}\n",
    b"{\"jsonrpc\":\"2.0\",\"id\":3,\"method\":\"status\"}\n",
    b"{\"jsonrpc\":\"2.0\",\"id\":4,\"method\":\"unknown\"}\n",
    b"\n",
    b"no message at all",
    b"\"withdraw\"",
    b"GET /ping HTTP/1.1\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: 8\r\nX-ClickHouse-User: anna\r\nX-ClickHouse-Key: secret\r\n\r\nSELECT 1",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nSELE\r\n",
    b"Content-Length: 99999999\r\n\r\n",
    b"\r\n",
    b"\x00\xff\xfe",
];

/// An event on a connection.
#[derive(Clone, Debug)]
enum Step {
    /// Input is parsed at once.
    Feed(Vec<u8>),
    /// Input is deferred while the client is throttled.
    Defer(Vec<u8>),
    /// A chunk of the deferred input is parsed.
    ParseDeferred,
    /// The memory limit is exceeded: the deferred input is parsed, and an incomplete message is
    /// discarded.
    OutOfMemory,
    /// The message was not completed in time.
    MessageTimeout,
    /// A request gets its response.
    Respond(u64),
}

/// A fragment, or the part of one between two offsets.
fn input() -> impl Strategy<Value = Vec<u8>> {
    let piece = (
        0..FRAGMENTS.len(),
        any::<prop::sample::Index>(),
        any::<prop::sample::Index>(),
    );
    piece.prop_map(|(fragment, from, to)| {
        let fragment = FRAGMENTS[fragment];
        let (one, other) = (from.index(fragment.len() + 1), to.index(fragment.len() + 1));
        // A third of all pieces are whole fragments.
        if (one + other) % 3 == 0 {
            fragment.to_vec()
        } else {
            fragment[one.min(other)..one.max(other)].to_vec()
        }
    })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => input().prop_map(Step::Feed),
        6 => input().prop_map(Step::Defer),
        3 => Just(Step::ParseDeferred),
        1 => Just(Step::OutOfMemory),
        1 => Just(Step::MessageTimeout),
        2 => (1..4u64).prop_map(Step::Respond),
    ]
}

/// Runs the steps as the connection's actor does.
fn run_steps(mut frontend: impl Frontend, steps: Vec<Step>) -> Result<(), TestCaseError> {
    let (mut events, mut output) = (Vec::new(), Vec::new());
    let mut deferred = DeferredInput::default();
    let mut received = 0;
    for (now, step) in (SEC..).step_by(MS as usize).zip(steps) {
        match step {
            Step::Feed(bytes) if deferred.is_empty() => {
                received += bytes.len();
                let _ = frontend.feed(now, &bytes, &mut events, &mut output);
            }
            Step::Feed(bytes) | Step::Defer(bytes) => {
                received += bytes.len();
                deferred.append(&bytes);
            }
            Step::ParseDeferred => {
                parse_chunk(&mut frontend, &mut deferred, &mut events, &mut output)
            }
            Step::OutOfMemory => {
                while !deferred.is_empty() {
                    parse_chunk(&mut frontend, &mut deferred, &mut events, &mut output);
                }
                frontend.stop_reading(DisconnectReason::OutOfMemory, &mut output);
                prop_assert_eq!(frontend.buffered_bytes(), 0);
            }
            Step::MessageTimeout if frontend.message_started_at().is_some() => {
                frontend.stop_reading(DisconnectReason::MessageTimeout, &mut output);
            }
            Step::MessageTimeout => {}
            Step::Respond(tag) => {
                let response = Response::Rejected(None);
                frontend.write_response(now, tag, response, &mut events, &mut output);
            }
        }
        deferred.search(&mut frontend, &mut events);
        // No more bytes are buffered than were received.
        prop_assert!(frontend.buffered_bytes() + deferred.len() <= received);
    }
    Ok(())
}

fn parse_chunk(
    frontend: &mut impl Frontend,
    deferred: &mut DeferredInput,
    events: &mut Vec<FrontendEvent>,
    output: &mut Vec<u8>,
) {
    let chunk = deferred.take_chunk();
    let _ = frontend.feed(SEC, &chunk, events, output);
}

fn names() -> Names {
    Names {
        classes: vec!["lookup".to_owned()],
        tenants: vec!["acme".to_owned()],
        ..Names::default()
    }
}

fn json_rpc() -> JsonRpc {
    let names = Rc::new(RefCell::new(Rc::new(names())));
    JsonRpc::new(1, names, Rc::new(|| true))
}

fn click_house() -> crate::frontend::clickhouse::ClickHouse {
    use crate::config::clickhouse::{self, ClassRules, Users};
    let deploy_file = "listen = \"127.0.0.1:1\"\nusual_class = \"lookup\"\n\
        [[user]]\nname = \"anna\"\nkey = \"secret\"\ntenant = \"acme\"\n";
    let deploy = clickhouse::parse(deploy_file).expect("a deploy file");
    let service = ClickHouseShared {
        class_rules: ClassRules::new(&deploy, &names()).expect("classes").into(),
        users: Users::new(&deploy, &names()).expect("users").into(),
        class_deadlines: vec![6 * SEC].into(),
        load_classes: vec![false].into(),
        supports_databases: Box::new(|| true),
        is_draining: Box::new(|| false),
        new_request_id: Box::new(|| "00ff".to_owned()),
    };
    crate::frontend::clickhouse::ClickHouse::new(1, Rc::new(service))
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(36),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn json_rpc_search_offset_stays_consistent(steps in prop::collection::vec(step(), 1..60)) {
        run_steps(json_rpc(), steps)?;
    }

    #[test]
    fn http_search_offset_stays_consistent(steps in prop::collection::vec(step(), 1..60)) {
        run_steps(click_house(), steps)?;
    }
}
