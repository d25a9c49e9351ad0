//! A model of a connection's states, against which random steps are checked: every attempt ends
//! once, and what its end says of the bytes that went out is what the socket saw.
use super::platform::Platform;
use super::{ConnectionState, Event, Termination, TransmitProgress};
use crate::clock::{MS, Micros};
use crate::config::process::Names;
use crate::dispatcher::{AttemptRequest, Cost};
use crate::policy::api::{AttemptNo, RequestId};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Clone, Debug)]
enum Step {
    Start,
    Stop(u8),
    Write(u8),
    Answer(u8, &'static str),
    Drain,
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (n, words) = (
            u8::arbitrary(g),
            ["DONE sheets=1 6", "WAIT - 6", "BROKE - 6", "PAST - 6"],
        );
        match u8::arbitrary(g) % 10 {
            0..=2 => Step::Start,
            3 => Step::Stop(n),
            4..=6 => Step::Write(n),
            7 => Step::Answer(n, g.choose(&words).expect("words")),
            8 => Step::Wait(n),
            _ => Step::Drain,
        }
    }
}

/// What the model holds of an attempt that is on the connection.
#[derive(Clone, Debug, Default)]
struct Attempt {
    first_byte: bool,
    stopped_at: Option<Micros>,
    drained: bool,
}

struct Model {
    link: ConnectionState<Platform>,
    now: Micros,
    on_it: BTreeMap<u32, Attempt>,
    started: u32,
    written: Vec<u8>,
    /// Commands that start an attempt and have begun to go out.
    begun: usize,
}

impl Model {
    /// Checks what the connection says has ended against what the model knows.
    fn check(
        &mut self,
        events: Vec<Event>,
        answered: Option<(u32, &str)>,
        closing: bool,
    ) -> Result<(), String> {
        for event in events {
            let Event::Ended(ended) = event else { continue };
            let id = ended.id.0;
            let known = self.on_it.remove(&id).ok_or(format!("{id} ended twice"))?;
            let reach = if known.first_byte {
                TransmitProgress::Complete
            } else {
                TransmitProgress::Unsent
            };
            let word = answered
                .filter(|(answered, _)| *answered == id)
                .map(|(_, word)| &word[..4]);
            let right = match (ended.termination, word) {
                (Termination::Done, Some("DONE")) | (Termination::Rejected, Some("WAIT")) => true,
                (Termination::EngineError, Some("BROK"))
                | (Termination::AlreadyFinished, Some("PAST")) => true,
                (Termination::Drained, None) => known.drained && !known.first_byte,
                (Termination::Cancelled, None) => known.stopped_at.is_some(),
                (Termination::Reset, None) => closing && known.stopped_at.is_none(),
                _ => false,
            };
            if !right || ended.progress != reach {
                return Err(format!("{ended:?} of {known:?}"));
            }
        }
        // Given up for longer than it takes to settle, and not over.
        let late = |a: &&Attempt| {
            a.stopped_at
                .is_some_and(|at| at + super::SETTLE <= self.now)
        };
        let settled = self.on_it.values().find(late).filter(|a| a.first_byte);
        settled.map_or(Ok(()), |a| Err(format!("{a:?} did not settle")))
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        let (mut events, mut answered) = (Vec::new(), None);
        let pick = |n: u8| {
            self.on_it
                .keys()
                .nth(usize::from(n) % self.on_it.len().max(1))
                .copied()
        };
        match step {
            Step::Start if self.link.free() > 0 => {
                self.started += 1;
                let (id, key) = (
                    RequestId(self.started),
                    format!("{:016x}", self.started).into(),
                );
                let (class, statement, until) = (
                    "lookup".into(),
                    Rc::from(&b"select"[..]),
                    self.now + 1_000 * MS,
                );
                let job = AttemptRequest {
                    id,
                    client_request_id: key,
                    class,
                    statement,
                    deadline: until,
                    ..AttemptRequest::default()
                };
                self.link.start(self.now, &job);
                self.on_it.insert(self.started, Attempt::default());
            }
            Step::Start => {}
            Step::Stop(n) => {
                let Some(id) = pick(*n) else { return Ok(()) };
                let known = self.on_it.get_mut(&id).expect("picked");
                known.stopped_at = known.stopped_at.or(Some(self.now));
                self.link
                    .stop(self.now, RequestId(id), AttemptNo(0), &mut events);
            }
            Step::Write(n) => {
                let Some(bytes) = self.link.to_write() else {
                    return Ok(());
                };
                let n = (usize::from(*n) % 90 + 1).min(bytes.len());
                self.written.extend_from_slice(&bytes[..n]);
                self.link.wrote(self.now, n);
                // A command's first byte tells that it is out, however little of its line is.
                let text = String::from_utf8_lossy(&self.written);
                let starts =
                    |l: &&str| !l.is_empty() && ("do ".starts_with(*l) || l.starts_with("do "));
                let begun = text.split("\r\n").filter(starts).count();
                if begun > self.begun {
                    let next = self.on_it.values_mut().find(|a| !a.first_byte);
                    next.ok_or("a command for nobody")?.first_byte = true;
                }
                self.begun = begun;
            }
            Step::Answer(n, word) => {
                let Some(id) = pick(*n).filter(|id| self.on_it[id].first_byte) else {
                    return Ok(());
                };
                // What was given up is not known to the wire any more.
                answered = Some((id, *word)).filter(|_| self.on_it[&id].stopped_at.is_none());
                let text = format!("{id:016x} {word}\r\na\tb\tc\n\r\n");
                let (one, other) = text.as_bytes().split_at(usize::from(*n) % text.len());
                [one, other]
                    .iter()
                    .filter(|p| !p.is_empty())
                    .for_each(|p| self.link.read(self.now, p, &mut events));
            }
            Step::Drain => {
                self.on_it.values_mut().for_each(|a| a.drained = true);
                self.link.drain(self.now, &mut events);
            }
            Step::Wait(n) => {
                self.now += u64::from(*n) * MS / 8;
                self.link.due(self.now, &mut events);
            }
        }
        let over = self.link.over();
        self.check(events, answered, false)?;
        if matches!(step, Step::Drain) && self.on_it.values().any(|a| !a.first_byte) {
            return Err("a drain left something that waits to go out".into());
        }
        if over.is_some_and(|end| end != Termination::Dropped) {
            Err(format!("over: {over:?}"))
        } else {
            Ok(())
        }
    }
}

#[test]
fn every_attempt_ends_once_and_says_what_went_out() {
    fn walk(steps: Vec<Step>) -> Result<bool, String> {
        let names = Names {
            classes: vec!["lookup".into()],
            streams: 4,
            ..Names::default()
        };
        let now = 1_000 * MS;
        let link = ConnectionState::new(now, Platform::new(Rc::new(names)));
        let (on_it, written) = (BTreeMap::new(), Vec::new());
        let mut model = Model {
            link,
            now,
            on_it,
            started: 0,
            written,
            begun: 0,
        };
        steps.iter().try_for_each(|step| model.step(step))?;
        let mut events = Vec::new();
        model.link.close(model.now, Termination::Reset, &mut events);
        model.check(events, None, true)?;
        if model.on_it.is_empty() {
            Ok(true)
        } else {
            Err("something did not end".into())
        }
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(2_000);
    check.quickcheck(walk as fn(Vec<Step>) -> Result<bool, String>);
}

fn link() -> ConnectionState<Platform> {
    let names = Names {
        classes: vec!["lookup".into()],
        streams: 4,
        ..Names::default()
    };
    let mut link = ConnectionState::new(0, Platform::new(Rc::new(names)));
    for id in 1..=2 {
        let (key, statement) = (format!("k{id}").into(), Rc::from(&b"select"[..]));
        let (attempt, class, until) = (AttemptNo(0), "lookup".into(), 9_000 * MS);
        let job = AttemptRequest {
            id: RequestId(id),
            attempt,
            client_request_id: key,
            class,
            statement,
            deadline: until,
            ..AttemptRequest::default()
        };
        link.start(0, &job);
    }
    while let Some(n) = link.to_write().map(<[u8]>::len) {
        link.wrote(0, n);
    }
    link
}

/// Guards against passing on what no engine made: a spoilt answer ends its connection, in bounded
/// time and memory.
#[test]
fn a_spoilt_answer_spoils_its_connection() {
    let endless = format!("k1 DONE {}", "x".repeat(5_000));
    for text in [
        "k1 DONE sheets=1 -3\r\n",
        "k1 DONE sheets=1 +6\r\na\tb\tc\n\r\n",
        "k1 DONE sheets=1 3000000000\r\nabc",
        "k1 DONE sheets=1 6\r\na\tb\tc\nmore\r\n",
        "k1 DONE sheets=1 4\r\na\tb\n\r\n",
        "k1 DONE sheets=0 0\r\n\r\n",
        "k1 DONE sheets=1 5\r\na\tb\tc\r\n",
        "k1 DONE sheets=1 6\r\na\tb\t\0\n\r\n",
        "k1 DONE sheets=1 x 0\r\n\r\n",
        "k1 DONE sheets 0\r\n\r\n",
        "noise\r\n",
        "k1 GONE - 0\r\n\r\n",
        &endless,
    ] {
        let (mut link, mut events) = (link(), Vec::new());
        link.read(MS, text.as_bytes(), &mut events);
        assert!(
            link.over() == Some(Termination::ProtocolViolation) && events.is_empty(),
            "{text:?}: {events:?}"
        );
    }
    // One that stops short ends by the time, and bytes that dribble in do not put that off.
    let (mut link, mut events) = (link(), Vec::new());
    link.read(MS, b"k1 DONE sheets=1 6\r\na", &mut events);
    link.read(400 * MS, b"\t", &mut events);
    let due = link.next_due().expect("due");
    link.due(due, &mut events);
    assert!(
        link.over() == Some(Termination::Unresponsive) && due < 1_000 * MS,
        "{due}"
    );
}

/// Guards good answers against what comes with them: second copies, strangers' answers, late
/// reports of load.
#[test]
fn what_nobody_asked_for_does_no_harm() {
    let (mut link, mut events) = (link(), Vec::new());
    link.probe(0);
    let page = |n| format!("k1 MORE sheet={n} 6\r\nd\te\tf\n\r\n");
    let told = "k1 DONE sheets=2 6\r\na\tb\tc\n\r\n";
    let load = "p1 FIT meter=queue:1 0\r\n\r\n";
    let text = format!(
        "zz DONE sheets=1 6\r\na\tb\tc\n\r\n{}{told}{told}{load}{load}",
        page(1)
    );
    link.read(MS, text.as_bytes(), &mut events);
    link.read(
        MS,
        format!("{}{}{}{told}", page(9), page(1), page(1)).as_bytes(),
        &mut events,
    );
    let probes = events
        .iter()
        .filter(|e| matches!(e, Event::Probed { .. }))
        .count();
    let ended = events.iter().filter_map(|e| {
        if let Event::Ended(e) = e {
            Some(e)
        } else {
            None
        }
    });
    let ended: Vec<(u32, Termination, &[u8])> = ended
        .map(|e| (e.id.0, e.termination, &e.reply.rows[..]))
        .collect();
    assert_eq!(
        (probes, ended, link.over()),
        (
            1,
            vec![(1, Termination::Done, &b"a\tb\tc\nd\te\tf\n"[..])],
            None
        )
    );
    // A page that never comes ends its own request alone.
    let mut events = Vec::new();
    link.read(2 * MS, b"k2 DONE sheets=2 0\r\n\r\n", &mut events);
    link.due(9_000 * MS, &mut events);
    assert!(
        matches!(&events[..], [Event::Ended(e)] if e.termination == Termination::Unresponsive)
            && link.over().is_none()
    );
}

/// Guards a load against a reset of its connection: until its last bytes go out, a moment later, it
/// never ran.
#[test]
fn the_end_of_what_must_not_run_twice_is_held_back() {
    for (waits, reach) in [
        (false, TransmitProgress::Partial),
        (true, TransmitProgress::Complete),
    ] {
        let mut link = ConnectionState::new(
            0,
            Platform::new(Rc::new(Names {
                streams: 4,
                ..Names::default()
            })),
        );
        let (key, statement, session) = ("k1".into(), Rc::from(&b"insert"[..]), None);
        let (id, attempt, class, until) = (RequestId(1), AttemptNo(0), "lookup".into(), 9_000 * MS);
        link.start(
            0,
            &AttemptRequest {
                id,
                attempt,
                client_request_id: key,
                class,
                must_not_repeat: true,
                statement,
                session,
                deadline: until,
                ..AttemptRequest::default()
            },
        );
        let head = link.to_write().expect("a head").to_vec();
        assert!(head.ends_with(b" 6\r\ninser"), "{head:?}");
        link.wrote(0, head.len());
        assert!(link.to_write().is_none() && link.next_due() == Some(super::HOLD));
        let mut events = Vec::new();
        if waits {
            link.due(super::HOLD, &mut events);
            assert_eq!(link.to_write(), Some(&b"t\r\n"[..]));
            link.wrote(super::HOLD, 3);
        }
        link.close(9 * MS, Termination::Reset, &mut events);
        assert!(
            matches!(&events[..], [Event::Ended(e)] if e.termination == Termination::Reset && e.progress == reach),
            "{events:?}"
        );
    }
}

/// The key, the grant and the priority stand in the command as the wire words them, and a new
/// priority follows it.
#[test]
fn keys_priorities_and_costs_pass_on_the_platforms_wire() {
    let mut link = ConnectionState::new(
        0,
        Platform::new(Rc::new(Names {
            streams: 4,
            ..Names::default()
        })),
    );
    let job = AttemptRequest {
        id: RequestId(1),
        client_request_id: "k1".into(),
        class: "plan-load".into(),
        statement: Rc::from(&b"insert"[..]),
        idempotency_key: Some("5c0f6e1a".into()),
        memory_mb: 95.2,
        priority: Some(2),
        deadline: 9_000 * MS,
        ..AttemptRequest::default()
    };
    link.start(0, &job);
    // Before its own words are out as well as after.
    link.bump(RequestId(1), AttemptNo(0), 3);
    link.bump(RequestId(1), AttemptNo(1), 0);
    link.bump(RequestId(2), AttemptNo(0), 0);
    let mut written = Vec::new();
    while let Some(bytes) = link.to_write().map(<[u8]>::to_vec) {
        link.wrote(0, bytes.len());
        written.extend(bytes);
    }
    let fields = "cls=plan-load,limit=9000,nonce=5c0f6e1a,allot=96,urgency=2";
    assert_eq!(
        String::from_utf8_lossy(&written),
        format!("do k1 {fields} 6\r\ninsert\r\nbump k1 3\r\n")
    );
    let mut events = Vec::new();
    link.read(
        MS,
        b"k1 DONE sheets=1,toil=412.5,room=96 6\r\na\tb\tc\n\r\n",
        &mut events,
    );
    let [Event::Ended(ended)] = &events[..] else {
        panic!("{events:?}")
    };
    assert_eq!(
        ended.reply.cost,
        Cost {
            work: Some(412_500),
            memory_mb: Some(96.0)
        }
    );
    // What has ended has no priority.
    link.bump(RequestId(1), AttemptNo(0), 1);
    assert!(link.to_write().is_none());
}

/// Guards what classes teach: a figure that can't be one is as none, and spoils nothing else of the
/// answer.
#[test]
fn costs_that_can_not_be_are_as_none() {
    for (toil, room) in [
        ("", ""),
        ("x", "y"),
        ("-4", "-1"),
        ("0", "0"),
        ("NaN", "inf"),
        ("1e300", "1e99"),
    ] {
        let (mut link, mut events) = (link(), Vec::new());
        let text = format!("k1 DONE sheets=1,toil={toil},room={room},more=1 6\r\na\tb\tc\n\r\n");
        link.read(MS, text.as_bytes(), &mut events);
        let [Event::Ended(ended)] = &events[..] else {
            panic!("{events:?}")
        };
        assert!(
            ended.termination == Termination::Done && ended.reply.cost == Cost::default(),
            "{toil} {room}: {ended:?}"
        );
    }
}

/// Guards what follows against a connection that swallows what is sent on it: one that is passed by
/// with another attempt beside it, and has said nothing since, carries nothing new; any word since
/// clears it.
#[test]
fn a_connection_in_doubt_carries_nothing_new_until_it_speaks() {
    let mut link = link();
    assert_eq!(link.free(), 2);
    link.doubt(RequestId(9), AttemptNo(0));
    link.doubt(RequestId(1), AttemptNo(3));
    assert_eq!(link.free(), 2, "no attempt of its own");
    link.read(MS, b"k2 WAIT - 0\r\n\r\n", &mut Vec::new());
    link.doubt(RequestId(1), AttemptNo(0));
    assert_eq!(link.free(), 3, "it has spoken since");
    let (mut silent, mut events) = (self::link(), Vec::new());
    silent.doubt(RequestId(1), AttemptNo(0));
    assert!(
        silent.free() == 0 && silent.over().is_none(),
        "what is on it may still be answered"
    );
    silent.read(
        9 * MS,
        b"k1 DONE sheets=1 0\r\n\r\nk2 WAIT - 0\r\n\r\n",
        &mut events,
    );
    assert!(events.len() == 2 && silent.over() == Some(Termination::Dropped));
}
