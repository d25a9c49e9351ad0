//! The plan of a soak run, drawn from a seed.
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustix::process::Signal;
use std::ops::RangeInclusive;

/// How long the clients send requests, in milliseconds.
pub(crate) const RUN_MILLIS: u64 = 8_000;
/// No event of the stand-ins starts later than this, so that its effect ends before the run does.
const LAST_STAND_IN_EVENT_MILLIS: u64 = 6_500;

/// A source of random draws.
pub(crate) struct Draw(Pcg32);

impl Draw {
    pub(crate) fn new(seed: u64) -> Draw {
        Draw(Pcg32::seed_from_u64(seed))
    }

    pub(crate) fn within(&mut self, range: RangeInclusive<u64>) -> u64 {
        range.start() + self.0.next_u64() % (range.end() - range.start() + 1)
    }

    pub(crate) fn percent(&mut self, percent: u64) -> bool {
        self.within(0..=99) < percent
    }

    pub(crate) fn pick<T: Clone>(&mut self, choices: &[T]) -> T {
        choices[self.within(0..=choices.len() as u64 - 1) as usize].clone()
    }
}

/// The kinds of settings, modeled on the two deployments and on the sites made up for tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SettingsKind {
    /// Loads that must not run twice, no hedging.
    OneShot,
    /// Loads with idempotency keys and a window of 20 s, hedging, costs in responses.
    Keyed,
    /// Short deadlines, loads with idempotency keys and a window of 4 s.
    ShortKeyed,
    /// Long deadlines, five attempts, hedging.
    LongDeadlines,
}

/// A signal, and the pause after it in milliseconds.
pub(crate) type SignalStep = (Signal, u64);

/// A variant of a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HotRestart {
    /// The successor takes over.
    Plain,
    /// A second successor is started before the first one has taken over.
    Twice,
    /// The successor is killed before it is ready.
    KillSuccessorAtStart,
    /// The successor is killed once it is ready, before the predecessor gets SIGTERM.
    KillReadySuccessor,
    /// The predecessor is killed shortly after SIGTERM.
    KillPredecessorAfterTerm,
}

/// An event of a manager.
#[derive(Clone, Debug)]
pub(crate) enum ManagerEvent {
    /// Signals after which the process continues.
    Signals(Vec<SignalStep>),
    /// Signals that include SIGTERM, a kill at the earliest time, and a start of a new process.
    PlannedRestart(Vec<SignalStep>),
    /// A hot restart.
    HotRestart(HotRestart),
    /// SIGKILL, and a start of a new process.
    Crash,
    /// This many clients connect and send nothing or a part of a message.
    IdleClients(usize),
}

/// An event of the engines or of discovery.
#[derive(Clone, Debug)]
pub(crate) enum StandInEvent {
    /// The next queries, at whichever engine they arrive, have these faults.
    Faults(Vec<Fault>),
    /// An engine is drained, and is ready again one second later.
    Drain(usize),
    /// An engine's process ends, and another engine replaces it.
    Replace(usize),
    /// The watches of all managers receive no more events but stay open.
    StalledWatches,
    /// The watches of all managers are closed.
    ClosedWatches,
    /// The coordinator moves to another address, and the managers reload by SIGHUP.
    MovedCoordinator,
}

/// How an engine handles a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Hang,
    Reject,
    Fail,
    Reset,
    FailWithinResponse,
    ViolateProtocol,
    /// The query completes after this many milliseconds.
    Slow(u64),
}

/// The plan of a manager.
#[derive(Clone, Debug)]
pub(crate) struct ManagerPlan {
    /// The number of connections of the platform's protocol.
    pub(crate) rpc_connections: usize,
    /// The number of connections of the ClickHouse interface.
    pub(crate) http_connections: usize,
    /// The mean time between two requests on a connection, in milliseconds.
    pub(crate) interval_millis: u64,
    /// The minimum time that clients wait for a response, in milliseconds.
    pub(crate) min_wait_millis: u64,
    /// The events, each with the pause before it in milliseconds.
    pub(crate) events: Vec<(u64, ManagerEvent)>,
}

impl ManagerPlan {
    /// Whether idle clients use up its descriptors at some time.
    pub(crate) fn has_idle_clients(&self) -> bool {
        let mut events = self.events.iter();
        events.any(|(_, event)| matches!(event, ManagerEvent::IdleClients(_)))
    }
}

/// The plan of a run.
#[derive(Clone, Debug)]
pub(crate) struct SoakPlan {
    pub(crate) seed: u64,
    pub(crate) settings: SettingsKind,
    pub(crate) engines: usize,
    pub(crate) managers: Vec<ManagerPlan>,
    /// The events of the stand-ins in order, each with its time in milliseconds.
    pub(crate) stand_in_events: Vec<(u64, StandInEvent)>,
}

impl SoakPlan {
    /// Draws the plan of a seed.
    pub(crate) fn draw(seed: u64) -> SoakPlan {
        let mut draw = Draw::new(seed);
        let settings = draw.pick(&[
            SettingsKind::OneShot,
            SettingsKind::Keyed,
            SettingsKind::ShortKeyed,
            SettingsKind::LongDeadlines,
        ]);
        // Without engines every request waits, as it does if all engines hang.
        let engines = draw.within(0..=4) as usize;
        let managers = (0..draw.within(1..=3))
            .map(|_| draw_manager(&mut draw))
            .collect();
        SoakPlan {
            seed,
            settings,
            engines,
            managers,
            stand_in_events: draw_stand_in_events(&mut draw, engines),
        }
    }
}

fn draw_manager(draw: &mut Draw) -> ManagerPlan {
    let mut events = Vec::new();
    if draw.percent(25) {
        events.push((
            draw.within(0..=500),
            ManagerEvent::IdleClients(draw.within(100..=250) as usize),
        ));
    }
    for _ in 0..draw.within(1..=2) {
        events.push((draw.within(200..=1_500), draw_manager_event(draw)));
    }
    ManagerPlan {
        rpc_connections: draw.within(2..=10) as usize,
        http_connections: draw.within(0..=4) as usize,
        interval_millis: draw.pick(&[8, 20, 40, 80]),
        min_wait_millis: draw.pick(&[5, 40, 400]),
        events,
    }
}

fn draw_manager_event(draw: &mut Draw) -> ManagerEvent {
    match draw.within(0..=9) {
        0 => ManagerEvent::Signals(vec![
            (Signal::HUP, draw.within(0..=5)),
            (Signal::HUP, draw.within(0..=20)),
            (Signal::USR1, 0),
        ]),
        1 => ManagerEvent::Signals(vec![
            (Signal::STOP, draw.within(20..=200)),
            (Signal::CONT, draw.within(0..=5)),
            (Signal::HUP, 0),
        ]),
        2..=5 => ManagerEvent::PlannedRestart(draw_shutdown_signals(draw)),
        6..=8 => ManagerEvent::HotRestart(draw.pick(&[
            HotRestart::Plain,
            HotRestart::Plain,
            HotRestart::Twice,
            HotRestart::KillSuccessorAtStart,
            HotRestart::KillReadySuccessor,
            HotRestart::KillPredecessorAfterTerm,
        ])),
        _ => ManagerEvent::Crash,
    }
}

fn draw_shutdown_signals(draw: &mut Draw) -> Vec<SignalStep> {
    let mut signals = Vec::new();
    if draw.percent(40) {
        signals.push((Signal::HUP, draw.within(0..=5)));
    }
    signals.push((Signal::TERM, draw.within(0..=10)));
    if draw.percent(40) {
        signals.push((Signal::HUP, draw.within(0..=5)));
    }
    if draw.percent(30) {
        signals.push((Signal::USR1, draw.within(0..=200)));
    }
    if draw.percent(30) {
        signals.push((Signal::TERM, draw.within(0..=1_000)));
    }
    if draw.percent(20) {
        signals.push((Signal::STOP, draw.within(5..=60)));
        signals.push((Signal::CONT, 0));
    }
    signals
}

fn draw_stand_in_events(draw: &mut Draw, engines: usize) -> Vec<(u64, StandInEvent)> {
    let mut events = Vec::new();
    let mut at = draw.within(100..=800);
    // A drain is recorded even if the coordinator can't deliver it, so discovery fails only in runs
    // without drains.
    let discovery_fails = draw.percent(40);
    while at < LAST_STAND_IN_EVENT_MILLIS {
        events.push((at, draw_stand_in_event(draw, engines, discovery_fails)));
        at += draw.within(150..=1_500);
    }
    events
}

fn draw_stand_in_event(draw: &mut Draw, engines: usize, discovery_fails: bool) -> StandInEvent {
    if engines == 0 {
        return StandInEvent::ClosedWatches;
    }
    let engine = draw.within(0..=engines as u64 - 1) as usize;
    let discovery_events = [
        StandInEvent::StalledWatches,
        StandInEvent::ClosedWatches,
        StandInEvent::MovedCoordinator,
    ];
    let engine_events = [StandInEvent::Drain(engine), StandInEvent::Replace(engine)];
    match draw.within(0..=9) {
        0..=5 => StandInEvent::Faults(draw_faults(draw)),
        _ if discovery_fails => draw.pick(&discovery_events),
        _ => draw.pick(&engine_events),
    }
}

fn draw_faults(draw: &mut Draw) -> Vec<Fault> {
    let slow = draw.within(100..=900);
    let fault = draw.pick(&[
        Fault::Hang,
        Fault::Hang,
        Fault::Reject,
        Fault::Fail,
        Fault::Reset,
        Fault::FailWithinResponse,
        Fault::ViolateProtocol,
        Fault::Slow(slow),
        Fault::Slow(slow),
    ]);
    let max_count = if fault == Fault::Hang { 60 } else { 12 };
    vec![fault; draw.within(1..=max_count) as usize]
}
