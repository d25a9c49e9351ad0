//! The core under random steps: one answer for each request, never more attempts out than the
//! settings allow, what may have run sent again only as its class and its key allow, and books that
//! balance, whatever is configured meanwhile and whatever the module orders.
use super::termination::TransmitProgress;
use super::*;
use crate::clock::{MS, SEC};
use crate::config::settings;
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
enum Step {
    Ask(u8),
    End(u8, Termination, bool),
    Leave(u8),
    List(u8),
    Retune(u8),
    /// A send that the module did not order.
    Rogue(u8),
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let ends = [
            Termination::Done,
            Termination::Rejected,
            Termination::EngineError,
            Termination::Refused,
            Termination::Reset,
            Termination::Closed,
            Termination::Drained,
        ];
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0..=3 => Step::Ask(n),
            4..=6 => Step::End(n, *g.choose(&ends).expect("ends"), bool::arbitrary(g)),
            7 => Step::Leave(n),
            8 => Step::List(n),
            9 => Step::Retune(n),
            10 => Step::Rogue(n),
            _ => Step::Wait(u16::arbitrary(g) % 4_000),
        }
    }
}

#[derive(Default)]
struct Seen {
    effect: Rule,
    class: String,
    most: u32,
    copies: usize,
    outs: BTreeMap<AttemptNo, (EngineId, Micros)>,
    /// When the first attempt went that ended and may have run.
    ran: Option<Micros>,
    sends: u32,
    answers: u32,
    how: Option<Response>,
    left: bool,
}

/// What repeating a request may do, in the test's own words.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Rule {
    #[default]
    Free,
    /// Known for so long at all engines.
    Key(Micros),
    Never,
}

impl Seen {
    fn first(&self) -> Option<Micros> {
        self.outs.values().map(|(_, at)| *at).chain(self.ran).min()
    }
}

struct Model {
    manager: Dispatcher,
    now: Micros,
    seen: BTreeMap<u64, Seen>,
    ready: BTreeSet<EngineId>,
    /// The classes in force with the effect of each, and how many attempts a request may have.
    classes: Vec<(String, Rule)>,
    most: u32,
    copies: usize,
    ids: BTreeMap<RequestId, u64>,
    /// What the audit was given.
    audited: Vec<Decision>,
}

/// The result of an attempt whose engine sent no reply.
fn result_without_reply(
    id: RequestId,
    attempt: AttemptNo,
    termination: Termination,
    progress: TransmitProgress,
) -> AttemptResult {
    AttemptResult {
        id,
        attempt,
        termination,
        progress,
        reply: AttemptReply::default(),
    }
}

fn entry(id: u64, readiness: Readiness) -> Endpoint {
    Endpoint {
        id: EngineId(id),
        readiness,
        weight: 1.0,
        ..Endpoint::default()
    }
}

/// One of several files: classes dropped, added, and of another effect, and other numbers of
/// attempts.
fn file(n: u8) -> (Settings, Vec<(String, Rule)>, u32, usize) {
    let mut text = crate::testkit::daemon::settings();
    let most = 3 - u32::from(n % 3);
    text["limits"]["send_cap"] = most.into();
    let copies = if n & 64 > 0 { 2 } else { 1 };
    text["limits"]["second_copies"] = (copies > 1).into();
    let classes = text["classes"].as_array_mut().expect("a list");
    if n & 32 > 0 {
        (classes[2]["semantics"], classes[2]["window_ns"]) =
            ("token".into(), 2_000_000_000u64.into());
    }
    if n & 4 > 0 {
        classes[0]["semantics"] = "side_effect".into();
    }
    if n & 8 > 0 {
        let mut more = classes[1].clone();
        (more["name"], more["semantics"]) = ("report-next".into(), "side_effect".into());
        classes.push(more);
    }
    if n & 16 > 0 {
        classes.remove(1);
    }
    let named = |c: &serde_json::Value| {
        let rule = match c["semantics"].as_str().expect("a word") {
            "side_effect" => Rule::Never,
            "token" => Rule::Key(micros(c["window_ns"].as_u64().expect("a window"))),
            _ => Rule::Free,
        };
        (c["name"].as_str().expect("a name").to_owned(), rule)
    };
    let named = classes.iter().map(named).collect();
    (
        settings::parse(text.to_string().as_bytes()).expect("settings"),
        named,
        most,
        copies,
    )
}

impl Model {
    fn new() -> Model {
        let (settings, classes, most, copies) = file(0);
        let names: Vec<String> = classes.iter().map(|(name, _)| name.clone()).collect();
        let mut manager = Dispatcher::new(SEC, settings, &names, 7);
        manager.record_decisions(true);
        let (seen, ids) = (BTreeMap::new(), BTreeMap::new());
        let ready = BTreeSet::new();
        let audited = Vec::new();
        let mut model = Model {
            manager,
            now: SEC,
            seen,
            ready,
            classes,
            most,
            copies,
            ids,
            audited,
        };
        model.ready = (1..=3).map(EngineId).collect();
        let all = (1..=3).map(|id| entry(id, Readiness::Ready)).collect();
        let mut orders = Vec::new();
        model
            .manager
            .update_endpoints(SEC, EndpointListKind::Cached, all, &mut orders);
        model
    }

    fn obey(&mut self, orders: Vec<Command>) -> Result<(), String> {
        let mut more = Vec::new();
        for order in orders {
            match order {
                Command::StartAttempt(engine, job) => {
                    let tag = u64::from_str_radix(&job.client_request_id, 16)
                        .map_err(|e| e.to_string())?;
                    let seen = self.seen.get_mut(&tag).ok_or("a send for nobody")?;
                    let again = seen.first().is_none_or(|first| match seen.effect {
                        Rule::Free => true,
                        Rule::Key(window) => self.now < first + window,
                        Rule::Never => false,
                    });
                    let there = seen.outs.values().any(|(e, _)| *e == engine);
                    let keyed = matches!(seen.effect, Rule::Key(_));
                    if job.idempotency_key.is_some() != keyed
                        || job.must_not_repeat != (seen.effect == Rule::Never)
                    {
                        return Err(format!("{tag} goes under {:?}", job.idempotency_key));
                    }
                    if seen.outs.len() >= seen.copies
                        || there
                        || !again
                        || seen.answers > 0
                        || seen.left
                        || seen.sends >= seen.most
                    {
                        return Err(format!("{tag} must not be sent"));
                    }
                    if !self.ready.contains(&engine) {
                        return Err("sent to an engine that takes no work".into());
                    }
                    seen.outs.insert(job.attempt, (engine, self.now));
                    seen.sends += 1;
                    self.ids.insert(job.id, tag);
                }
                Command::CancelAttempt(_, id, attempt) => {
                    more.push(result_without_reply(
                        id,
                        attempt,
                        Termination::Cancelled,
                        TransmitProgress::Complete,
                    ));
                }
                Command::Respond(origin, answer) => {
                    let seen = self
                        .seen
                        .get_mut(&origin.tag)
                        .ok_or("an answer for nobody")?;
                    seen.answers += 1;
                    seen.how = Some(answer.clone());
                    if seen.answers > 1 || seen.left {
                        return Err(format!("{origin:?} got an answer too many"));
                    }
                    let unsure = seen.effect == Rule::Never && seen.first().is_some();
                    if unsure && matches!(answer, Response::Rejected(_)) {
                        return Err("what must not run twice and may have run was refused".into());
                    }
                }
                Command::Reprioritize(..)
                | Command::MarkSlow(..)
                | Command::Probe(_)
                | Command::CloseIdle(_)
                | Command::Log(_) => {}
            }
        }
        more.into_iter().try_for_each(|ended| self.end(ended))
    }

    fn end(&mut self, ended: AttemptResult) -> Result<(), String> {
        let Some(seen) = self
            .ids
            .get(&ended.id)
            .and_then(|tag| self.seen.get_mut(tag))
        else {
            return Ok(());
        };
        if let Some((_, at)) = seen.outs.remove(&ended.attempt)
            && !never_ran(outcome(ended.termination, ended.progress))
        {
            seen.ran = Some(seen.ran.unwrap_or(at).min(at));
        }
        let mut orders = Vec::new();
        self.manager.attempt_finished(self.now, ended, &mut orders);
        self.obey(orders)
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        let mut orders = Vec::new();
        match step {
            Step::Ask(n) => {
                let tag = self.seen.len() as u64 + 1;
                let (class, effect) = self.classes[usize::from(*n) % self.classes.len()].clone();
                // Every other one lacks its key.
                let once = (n % 2 == 0).then(|| Rc::from(format!("key-{tag}")));
                let keyless = once.is_none() && matches!(effect, Rule::Key(_));
                let effect = if keyless { Rule::Never } else { effect };
                let copies = if effect == Rule::Never {
                    1
                } else {
                    self.copies
                };
                let id = self
                    .manager
                    .generations
                    .find(&class)
                    .ok_or("a class in force has no slot")?;
                self.seen.insert(
                    tag,
                    Seen {
                        effect,
                        class,
                        most: self.most,
                        copies,
                        ..Seen::default()
                    },
                );
                let ask = ClientRequest {
                    origin: Origin {
                        conn: u64::from(n % 4),
                        tag,
                    },
                    client_request_id: format!("{tag:016x}").into(),
                    class: id,
                    tenant: TenantId(u16::from(n % 2)),
                    deadline: self.now + u64::from(*n) * 20 * MS,
                    work_estimate: Some(50 * MS),
                    memory_mb: None,
                    is_retry: false,
                    statement: Rc::from(&b"select 1"[..]),
                    session: None,
                    idempotency_key: once,
                };
                self.manager.handle_request(self.now, ask, &mut orders);
            }
            Step::End(n, end, sent) => {
                let outs = |(id, tag): (&RequestId, &u64)| {
                    self.seen[tag]
                        .outs
                        .keys()
                        .map(|attempt| (*id, *attempt))
                        .collect::<Vec<_>>()
                };
                let out: Vec<(RequestId, AttemptNo)> = self.ids.iter().flat_map(outs).collect();
                let Some(&(id, attempt)) = out.get(usize::from(*n) % out.len().max(1)) else {
                    return Ok(());
                };
                let unsent = matches!(end, Termination::Refused | Termination::Drained)
                    || !(*sent || *end == Termination::Done);
                let reach = if unsent {
                    TransmitProgress::Unsent
                } else {
                    TransmitProgress::Complete
                };
                let ended = AttemptResult {
                    reply: AttemptReply {
                        rows: b"a\n".to_vec(),
                        ..AttemptReply::default()
                    },
                    ..result_without_reply(id, attempt, *end, reach)
                };
                // The same end twice: the second one counts for nothing.
                self.end(ended.clone())?;
                self.end(ended)?;
            }
            Step::Leave(n) => {
                for (tag, seen) in self.seen.iter_mut().filter(|(_, s)| s.answers == 0) {
                    let _ = tag;
                    seen.left |= self.manager.origins.contains_key(&Origin {
                        conn: u64::from(n % 4),
                        tag: *tag,
                    });
                }
                self.manager
                    .client_disconnected(self.now, u64::from(n % 4), &mut orders);
            }
            Step::List(n) => {
                let (id, up) = (u64::from(n % 3) + 1, n % 2 == 0);
                let readiness = if up {
                    Readiness::Ready
                } else {
                    Readiness::Draining
                };
                if up {
                    self.ready.insert(EngineId(id))
                } else {
                    self.ready.remove(&EngineId(id))
                };
                self.manager.update_endpoints(
                    self.now,
                    EndpointListKind::Changes,
                    vec![entry(id, readiness)],
                    &mut orders,
                );
            }
            Step::Retune(n) => {
                let (settings, classes, most, copies) = file(*n);
                let names: Vec<String> = classes.iter().map(|(name, _)| name.clone()).collect();
                self.manager.reconfigure(settings, &names);
                (self.classes, self.most, self.copies) = (classes, most, copies);
            }
            Step::Rogue(n) => {
                let known: Vec<RequestId> = self.ids.keys().copied().collect();
                if let Some(id) = known.get(usize::from(n / 3) % known.len().max(1)) {
                    let engine = EngineId(u64::from(n % 3) + 1);
                    self.manager.send(self.now, *id, engine, 0, &mut orders);
                }
            }
            Step::Wait(ms) => {
                let until = self.now + u64::from(*ms) * MS;
                while let Some(at) = self.manager.next_wakeup().filter(|at| *at <= until) {
                    self.now = self.now.max(at);
                    let mut orders = Vec::new();
                    self.manager.run_due_timers(self.now, &mut orders);
                    self.obey(orders)?;
                }
                self.now = until;
            }
        }
        self.audited.extend(self.manager.take_decisions());
        self.obey(orders)
    }

    /// The audit has each dispatch, refusal and failure once, under the request's name.
    fn audited(&mut self) -> Result<(), String> {
        self.audited.extend(self.manager.take_decisions());
        for (tag, seen) in &self.seen {
            let key = format!("{tag:016x}");
            let of = |is: fn(&DecisionKind) -> bool| {
                self.audited
                    .iter()
                    .filter(|d| *d.request == *key && is(&d.kind))
                    .count() as u32
            };
            let told = (
                of(|w| matches!(w, DecisionKind::Dispatch { .. })),
                of(|w| matches!(w, DecisionKind::Reject { .. })),
                of(|w| matches!(w, DecisionKind::Fail)),
            );
            let was = |is: fn(&Response) -> bool| u32::from(seen.how.as_ref().is_some_and(is));
            let is = (
                seen.sends,
                was(|a| matches!(a, Response::Rejected(_))),
                was(|a| matches!(a, Response::Failed(_))),
            );
            if told != is {
                return Err(format!("{key}: the audit has {told:?}, there were {is:?}"));
            }
        }
        Ok(())
    }
}

/// Guards the engines where the settings let managers talk: nobody carries words between modules,
/// so one that waited for them would take all others for dead and use their parts.
#[test]
fn a_manager_whose_beats_nobody_carries_keeps_to_its_part() {
    let sent = |peers: bool| {
        let mut text = crate::testkit::daemon::settings();
        (text["peers_total"], text["limits"]["peers"]) = (8.into(), peers.into());
        let settings = settings::parse(text.to_string().as_bytes()).expect("settings");
        let mut model = Model::new();
        let names: Vec<String> = model.classes.iter().map(|(name, _)| name.clone()).collect();
        model.manager = Dispatcher::new(SEC, settings, &names, 7);
        let all = (1..=3).map(|id| entry(id, Readiness::Ready)).collect();
        model
            .manager
            .update_endpoints(SEC, EndpointListKind::Cached, all, &mut Vec::new());
        model.step(&Step::Wait(30_000)).expect("time passes");
        let asked = (0..200).map(|_| model.step(&Step::Ask(252)));
        asked.collect::<Result<Vec<()>, String>>().expect("asked");
        model.seen.values().filter(|s| s.sends > 0).count()
    };
    let (alone, talking) = (sent(false), sent(true));
    assert!(alone > 0 && alone < 100, "{alone}");
    assert_eq!(talking, alone);
}

#[test]
fn the_ledger_keeps_the_rules() {
    fn walk(steps: Vec<Step>) -> Result<bool, String> {
        let mut model = Model::new();
        steps.iter().try_for_each(|step| model.step(step))?;
        // Past the last deadline all is answered, and the books balance.
        model.step(&Step::Wait(10_000))?;
        let open = model
            .seen
            .values()
            .filter(|s| s.answers == 0 && !s.left)
            .count();
        let counters = &model.manager.counters;
        if open > 0 || counters.open() > 0 || !model.manager.open.is_empty() {
            return Err(format!("{open} without an answer; {counters}"));
        }
        model.audited()?;
        let counters = &model.manager.counters;
        // The figures by class are the answers given.
        for (class, tally) in &counters.classes {
            let answers = |is: fn(&Response) -> bool| {
                let mine = model.seen.values().filter(|s| *s.class == **class);
                mine.filter(|s| s.how.as_ref().is_some_and(is)).count() as u64
            };
            let told = (tally.success, tally.overload, tally.error);
            let given = (
                answers(|a| matches!(a, Response::Completed(_))),
                answers(|a| matches!(a, Response::Rejected(_))),
                answers(|a| matches!(a, Response::Failed(_))),
            );
            if told != given {
                return Err(format!("{class}: told {told:?}, given {given:?}"));
            }
        }
        Ok(counters.taken == model.seen.len() as u64)
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 13))
        .tests(500);
    check.quickcheck(walk as fn(Vec<Step>) -> Result<bool, String>);
}

/// A core of one gateway whose loads carry keys, where priorities and costs count.
fn keyed_manager(window: Micros) -> Dispatcher {
    let mut text = crate::testkit::daemon::settings();
    (
        text["classes"][2]["semantics"],
        text["classes"][2]["window_ns"],
    ) = ("token".into(), nanos(window).into());
    (text["extra"]["ranks_heeded"], text["extra"]["says_cost"]) = (true.into(), true.into());
    let settings = settings::parse(text.to_string().as_bytes()).expect("settings");
    let mut manager = Dispatcher::new(
        SEC,
        settings,
        &["lookup", "report", "load"].map(str::to_owned),
        7,
    );
    let all = (1..=3).map(|id| entry(id, Readiness::Ready)).collect();
    manager.update_endpoints(SEC, EndpointListKind::Cached, all, &mut Vec::new());
    manager
}

/// The key and the end of the time of each attempt.
type Tries = Vec<(Option<Rc<str>>, Micros)>;

/// Takes a load and answers each of its attempts with a reset, for as long as there are any: the
/// key and the end of the time of each.
fn resets(once: Option<&str>, window: Micros, cost: Micros) -> (Tries, Option<Response>) {
    let (mut manager, mut now, mut sent, mut answer) =
        (keyed_manager(window), SEC, Vec::new(), None);
    let ask = ClientRequest {
        origin: Origin { conn: 1, tag: 1 },
        client_request_id: "9b1f03aa5c7e2d41".into(),
        class: ClassId(2),
        deadline: 16 * SEC,
        work_estimate: Some(cost),
        idempotency_key: once.map(Into::into),
        ..ClientRequest::default()
    };
    let mut orders = Vec::new();
    manager.handle_request(now, ask, &mut orders);
    for _ in 0..20 {
        for order in std::mem::take(&mut orders) {
            match order {
                Command::StartAttempt(_, job) => {
                    assert_eq!(job.must_not_repeat, once.is_none());
                    sent.push((job.idempotency_key.clone(), job.deadline));
                    let ended = result_without_reply(
                        job.id,
                        job.attempt,
                        Termination::Reset,
                        TransmitProgress::Complete,
                    );
                    manager.attempt_finished(now, ended, &mut orders);
                }
                Command::Respond(_, given) => answer = Some(given),
                _ => {}
            }
        }
        now += 100 * MS;
        manager.run_due_timers(now, &mut orders);
    }
    (sent, answer)
}

/// Guards rule 2: all tries of a keyed request carry its key unchanged, and without one there is a
/// single try.
#[test]
fn a_keyed_request_repeats_under_its_key_alone() {
    let key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    let (sent, answer) = resets(Some(key), 20 * SEC, 50 * MS);
    let nonces: Vec<_> = sent.into_iter().map(|(nonce, _)| nonce).collect();
    assert_eq!(
        nonces,
        vec![Some(Rc::from(key)); 3],
        "as many as the settings allow"
    );
    assert!(matches!(answer, Some(Response::Rejected(_))), "{answer:?}");
    let once = Some(Response::Failed(Failure::Attempt(Termination::Reset)));
    assert_eq!(
        resets(None, 20 * SEC, 50 * MS),
        (vec![(None, 16 * SEC)], once)
    );
}

/// Guards rule 2 where the window is shorter than the deadline: a further attempt has its time up
/// before engines forget its key, and one that can't be over by then is not made.
#[test]
fn further_attempts_end_inside_their_keys_window() {
    let (sent, answer) = resets(Some("key"), SEC, 50 * MS);
    let untils: Vec<Micros> = sent.iter().map(|(_, until)| *until).collect();
    assert!(untils[0] == 16 * SEC && untils.len() == 3, "{untils:?}");
    assert!(
        untils[1..].iter().all(|until| *until <= 2 * SEC - 50 * MS),
        "{untils:?}"
    );
    assert!(matches!(answer, Some(Response::Rejected(_))), "{answer:?}");
    let (sent, answer) = resets(Some("key"), SEC, 5 * SEC);
    assert_eq!(sent.len(), 1, "{sent:?}");
    assert!(matches!(answer, Some(Response::Rejected(_))), "{answer:?}");
}

/// Priorities go out where they are heeded, at once for what runs; costs reach the module.
#[test]
fn priorities_and_costs_count_where_the_settings_heed_them() {
    let mut manager = keyed_manager(20 * SEC);
    let mut orders = Vec::new();
    let ask = |tag: u64| ClientRequest {
        origin: Origin { conn: 1, tag },
        client_request_id: format!("{tag:016x}").into(),
        deadline: 6 * SEC,
        work_estimate: Some(50 * MS),
        ..ClientRequest::default()
    };
    manager.handle_request(SEC, ask(1), &mut orders);
    let started = |orders: &[Command]| {
        orders.iter().find_map(|o| {
            if let Command::StartAttempt(e, job) = o {
                Some((*e, job.clone()))
            } else {
                None
            }
        })
    };
    let (engine, job) = started(&orders).expect("sent");
    assert_eq!(job.priority, Some(3), "a short query comes first");
    let mut orders = Vec::new();
    manager.terms(job.id, 9, 0.0, &mut orders);
    assert!(
        orders.is_empty(),
        "the highest there is, as before: {orders:?}"
    );
    manager.terms(job.id, 0, 0.0, &mut orders);
    assert!(
        matches!(orders[..], [Command::Reprioritize(e, id, n, 0)] if (e, id, n) == (engine, job.id, job.attempt))
    );
    let cost = Cost {
        work: Some(80 * MS),
        memory_mb: Some(9.0),
    };
    let done = AttemptResult {
        reply: AttemptReply {
            cost,
            ..AttemptReply::default()
        },
        ..result_without_reply(
            job.id,
            job.attempt,
            Termination::Done,
            TransmitProgress::Complete,
        )
    };
    manager.attempt_finished(SEC + 50 * MS, done, &mut Vec::new());
    assert!(
        (manager.module.class_estimates[0].work - 0.08).abs() < 1e-9,
        "{}",
        manager.module.class_estimates[0].work
    );
    // Neither counts where the settings say nothing of it.
    let mut plain = Model::new().manager;
    let mut orders = Vec::new();
    plain.handle_request(SEC, ask(1), &mut orders);
    let (_, job) = started(&orders).expect("sent");
    let mut orders = Vec::new();
    plain.terms(job.id, 0, 0.0, &mut orders);
    assert!(orders.is_empty() && job.priority.is_none());
    plain.attempt_finished(
        SEC + 50 * MS,
        AttemptResult {
            reply: AttemptReply {
                cost,
                ..AttemptReply::default()
            },
            ..result_without_reply(
                job.id,
                job.attempt,
                Termination::Done,
                TransmitProgress::Complete,
            )
        },
        &mut orders,
    );
    assert!((plain.module.class_estimates[0].work - 0.08).abs() > 1e-3);
}
