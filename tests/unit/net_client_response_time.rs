//! Guards against late responses on a connection with mixed traffic: requests of two tenants that
//! complete, fail at their deadline or are rejected, cancellations and invalid messages.
use super::*;
use crate::clock::Micros;
use crate::dispatcher::Failure;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// How late a response may be by the platform's rules: the grace period of its settings, and 50 ms
/// for the sockets.
const RESPONSE_SLACK: Micros = 70 * MS;
/// The most requests that a client may have open.
const MAX_OPEN_REQUESTS: usize = 32;
/// How long the test waits for the last response.
const LAST_RESPONSE_TIMEOUT: Micros = 5_000 * MS;
/// The interval between two steps of the client, in milliseconds.
const STEP_MILLIS: u64 = 1;
const TENANTS: [&str; 2] = ["acme", "globex"];

/// How the dispatcher responds to a request.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    Completed,
    RejectedAtOnce,
    FailedAtDeadline,
}

/// What the client does next.
#[derive(Clone, Debug)]
enum ClientStep {
    Pause(Micros),
    Request {
        tenant: usize,
        wait_ms: u64,
        outcome: Outcome,
    },
    CancelLast,
    UnknownClass,
    InvalidParameters,
    Status,
}

fn client_step() -> impl Strategy<Value = ClientStep> {
    let outcome = prop_oneof![
        1 => Just(Outcome::Completed),
        4 => Just(Outcome::RejectedAtOnce),
        2 => Just(Outcome::FailedAtDeadline),
    ];
    let request = (0..TENANTS.len(), 1..60u64, outcome);
    prop_oneof![
        2 => (1..8u64).prop_map(|milliseconds| ClientStep::Pause(milliseconds * MS)),
        8 => request.prop_map(|(tenant, wait_ms, outcome)| ClientStep::Request {
            tenant,
            wait_ms,
            outcome
        }),
        3 => Just(ClientStep::CancelLast),
        1 => Just(ClientStep::UnknownClass),
        1 => Just(ClientStep::InvalidParameters),
        1 => Just(ClientStep::Status),
    ]
}

/// A request that the client has sent.
struct SentRequest {
    outcome: Outcome,
    due_at: Micros,
    responses: Vec<Micros>,
    cancelled: bool,
}

/// The client and the dispatcher of one connection, on the thread of its actor.
struct Exchange {
    fixture: Fixture,
    steps: std::vec::IntoIter<ClientStep>,
    paused_until: Micros,
    last_id: u64,
    requests: BTreeMap<u64, SentRequest>,
    open: BTreeSet<u64>,
    /// The number of messages that get an error or a status in response, and of the responses to
    /// them that were received.
    other_messages: usize,
    other_responses: usize,
    /// Responses that the dispatcher is still to send, by their time.
    scheduled: BTreeSet<(Micros, u64)>,
    input: Vec<u8>,
    /// The longest time between two steps of this thread, which does not count as the actor's
    /// delay.
    lag: Micros,
    last_step_at: Micros,
}

impl Exchange {
    fn new(steps: Vec<ClientStep>) -> Exchange {
        let fixture = Fixture::connected();
        fixture.client.set_nonblocking(true).expect("a socket");
        Exchange {
            fixture,
            steps: steps.into_iter(),
            paused_until: 0,
            last_id: 0,
            requests: BTreeMap::new(),
            open: BTreeSet::new(),
            other_messages: 0,
            other_responses: 0,
            scheduled: BTreeSet::new(),
            input: Vec::new(),
            lag: 0,
            last_step_at: clock::read(),
        }
    }

    /// Runs all steps of the client, and waits for the last response.
    fn run(&mut self) {
        let times_out_at = clock::read() + LAST_RESPONSE_TIMEOUT;
        let shared = self.fixture.shared.clone();
        let executor = shared.executor.clone();
        block_on(executor.run(async {
            while !self.step() && clock::read() < times_out_at {
                crate::testkit::pause(STEP_MILLIS).await;
            }
        }));
    }

    /// Runs the client and the dispatcher once. Returns whether nothing is left to do.
    fn step(&mut self) -> bool {
        let now = clock::read();
        self.lag = self.lag.max(now - self.last_step_at);
        self.last_step_at = now;
        self.respond_to_requests(now);
        self.read_responses(now);
        let mut has_steps = true;
        while has_steps && self.may_send(now) {
            has_steps = self.send_next(now);
        }
        !has_steps && self.open.is_empty() && self.other_responses == self.other_messages
    }

    fn respond_to_requests(&mut self, now: Micros) {
        while let Ok(event) = self.fixture.events.try_recv() {
            let Some(request) = as_request(&event) else {
                continue;
            };
            let tag = request.origin.tag;
            match self.requests[&tag].outcome {
                Outcome::Completed => self.respond(tag, Response::Completed(b"1\n".to_vec())),
                Outcome::RejectedAtOnce => self.respond(tag, Response::Rejected(None)),
                Outcome::FailedAtDeadline => drop(self.scheduled.insert((request.deadline, tag))),
            }
        }
        while let Some((at, tag)) = self.scheduled.first().copied()
            && at <= now
        {
            self.scheduled.pop_first();
            self.respond(tag, Response::Failed(Failure::Deadline));
        }
    }

    fn respond(&self, tag: u64, response: Response) {
        self.fixture.respond(tag, response);
    }

    fn read_responses(&mut self, now: Micros) {
        let mut chunk = [0; 4096];
        while let Ok(count) = (&self.fixture.client).read(&mut chunk) {
            assert!(count > 0, "the connection stays open");
            self.input.extend_from_slice(&chunk[..count]);
        }
        while let Some(end) = self.input.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.input.drain(..=end).collect();
            let message: serde_json::Value = serde_json::from_slice(&line).expect("JSON");
            let id = message["id"].as_u64().expect("the id of a message");
            match self.requests.get_mut(&id) {
                Some(request) => request.responses.push(now),
                None => self.other_responses += 1,
            }
            self.open.remove(&id);
        }
    }

    fn may_send(&self, now: Micros) -> bool {
        self.paused_until <= now && self.open.len() < MAX_OPEN_REQUESTS
    }

    /// Runs the next step of the client. Returns whether there was one.
    fn send_next(&mut self, now: Micros) -> bool {
        let Some(step) = self.steps.next() else {
            return false;
        };
        match step {
            ClientStep::Pause(length) => self.paused_until = now + length,
            ClientStep::Request {
                tenant,
                wait_ms,
                outcome,
            } => self.send_request(now, TENANTS[tenant], wait_ms, outcome),
            ClientStep::CancelLast => self.cancel_last(),
            ClientStep::UnknownClass => self.send_other("none", "00000000000000ff"),
            ClientStep::InvalidParameters => self.send_other("lookup", "no key"),
            ClientStep::Status => self.send_other("status", ""),
        }
        true
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn send_request(&mut self, now: Micros, tenant: &str, wait_ms: u64, outcome: Outcome) {
        let id = self.next_id();
        let key = format!("{id:016x}");
        let line = rpc_line(id, "lookup", &key, tenant, wait_ms, "SELECT 1");
        self.fixture.write(&line);
        self.open.insert(id);
        let request = SentRequest {
            outcome,
            due_at: now + wait_ms * MS,
            responses: Vec::new(),
            cancelled: false,
        };
        self.requests.insert(id, request);
    }

    /// Cancels the last request that is still open, if there is one.
    fn cancel_last(&mut self) {
        let Some(id) = self.open.pop_last() else {
            return;
        };
        self.fixture.write(&cancellation_line(id));
        if let Some(request) = self.requests.get_mut(&id) {
            request.cancelled = true;
        }
    }

    fn send_other(&mut self, method: &str, key: &str) {
        let id = self.next_id();
        self.fixture
            .write(&rpc_line(id, method, key, "acme", 1, ""));
        self.other_messages += 1;
    }

    /// Checks that each request that was not cancelled has one response, in time, and a cancelled
    /// one at most one.
    fn check(&self) -> Result<(), TestCaseError> {
        for (id, request) in &self.requests {
            let latest = request.due_at + RESPONSE_SLACK + self.lag;
            let responses = &request.responses;
            prop_assert!(
                responses.len() <= 1,
                "request {id}: {} responses",
                responses.len()
            );
            if !request.cancelled {
                let at = responses.first().copied().unwrap_or(Micros::MAX);
                prop_assert!(
                    at <= latest,
                    "request {id}: due {}, response at {at}, lag {}",
                    request.due_at,
                    self.lag
                );
            }
        }
        prop_assert_eq!(self.other_responses, self.other_messages);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    })]

    /// Guards against late responses where other requests on the connection are rejected.
    #[test]
    fn each_request_gets_its_response_in_time(
        steps in prop::collection::vec(client_step(), 300..900)
    ) {
        let mut exchange = Exchange::new(steps);
        exchange.run();
        exchange.check()?;
        exchange.fixture.close();
    }
}

/// Guards against a client that takes the processor time of others: whatever its messages are,
/// input of a client that sends continuously is parsed at a limited rate.
#[test]
fn input_of_a_client_that_sends_continuously_is_parsed_at_a_limited_rate() {
    let messages = [
        rpc_line(1, "none", "00000000000000ff", "acme", 1, ""),
        STATUS.to_vec(),
        [request_line(1), cancellation_line(1)].concat(),
    ];
    for message in messages {
        let mut pacing = super::super::message_pacing::MessagePacing::default();
        let mut frontend = new_frontend(&Shared::new(64, 64))(1);
        let (mut now, mut parsed) = (0, 0);
        let mut events = Vec::new();
        let chunk = message.repeat(super::super::buffers::DEFERRED_CHUNK_BYTES / message.len());
        while now < clock::SEC {
            while pacing.resumes_at(now).is_none() {
                let before = frontend.parsed_messages();
                let _ = frontend.feed(now, &chunk, &mut events, &mut Vec::new());
                let count = frontend.parsed_messages() - before;
                pacing.add(now, count);
                parsed += count;
            }
            now = pacing.resumes_at(now).expect("the input is deferred");
        }
        // 50 intervals, each with at most the permitted number of messages and one chunk.
        let max_parsed = 50 * (64 + chunk.len() / message.len()) as u64;
        assert!(parsed <= max_parsed, "{parsed} messages in a second");
        assert!(parsed >= 50 * 64, "{parsed} messages in a second");
    }
}
