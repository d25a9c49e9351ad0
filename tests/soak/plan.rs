//! What a seed draws: the whole run of a soak.
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustix::process::Signal;
use std::ops::RangeInclusive;

/// How long the clients send, in milliseconds.
pub(crate) const RUN_MILLIS: u64 = 8_000;
/// No event of the stand-ins comes later, so that what it began is over by the end.
const LAST_WORLD_EVENT_MILLIS: u64 = 6_500;

/// A source of draws.
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

/// The kinds of settings, after the two deployments and the sites made up for tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SettingsKind {
    /// Loads that must not run twice, no hedging.
    OneShot,
    /// Keyed loads with a window of 20 s, hedging, costs in responses.
    Keyed,
    /// Short deadlines, keyed loads with a window of 4 s.
    ShortKeyed,
    /// Long deadlines, five attempts, hedging.
    LongDeadlines,
}

/// A signal, and the pause after it.
pub(crate) type SignalStep = (Signal, u64);

/// What a new version meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Upgrade {
    /// It takes over.
    Plain,
    /// A second new version is started before the first has taken over.
    Twice,
    /// It is killed before it serves.
    KillNewAtStart,
    /// It is killed once it serves, before the old one is told to end.
    KillNewWhenReady,
    /// The old one is killed just after it is told to end.
    KillOldAfterTerm,
}

/// What happens to a manager.
#[derive(Clone, Debug)]
pub(crate) enum ManagerEvent {
    /// Signals to a process that goes on.
    Signals(Vec<SignalStep>),
    /// Signals among which is SIGTERM, the kill at the earliest moment, and a new start.
    PlannedRestart(Vec<SignalStep>),
    /// A new version beside the old one.
    Upgrade(Upgrade),
    /// SIGKILL, and a new start.
    Crash,
    /// This many clients connect and say nothing or half a message.
    Crowd(usize),
}

/// What happens to the engines and to discovery.
#[derive(Clone, Debug)]
pub(crate) enum WorldEvent {
    /// The next queries, at whichever engine, meet these faults.
    Faults(Vec<Fault>),
    /// An engine is told to drain, and comes back a second later.
    Drain(usize),
    /// An engine's process ends, and another one takes its place.
    Replace(usize),
    /// The watches of all managers fall silent.
    SilentCoordinator,
    /// The watches of all managers break.
    BrokenWatches,
    /// Discovery moves; managers are told by SIGHUP.
    MovedCoordinator,
}

/// What an engine does with a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Hang,
    Reject,
    Fail,
    Reset,
    FailWithinResponse,
    ViolateProtocol,
    /// It takes this many milliseconds.
    Slow(u64),
}

/// What is drawn for a manager.
#[derive(Clone, Debug)]
pub(crate) struct ManagerPlan {
    /// Connections of the platform's protocol.
    pub(crate) rpc_connections: usize,
    /// Connections of the ClickHouse interface.
    pub(crate) http_connections: usize,
    /// The mean time between two requests on a connection, in milliseconds.
    pub(crate) interval_millis: u64,
    /// The least time that clients wait, in milliseconds.
    pub(crate) least_wait_millis: u64,
    /// Each event after a pause in milliseconds.
    pub(crate) events: Vec<(u64, ManagerEvent)>,
}

impl ManagerPlan {
    /// Whether idle clients fill its descriptors at some time.
    pub(crate) fn has_crowd(&self) -> bool {
        let mut events = self.events.iter();
        events.any(|(_, event)| matches!(event, ManagerEvent::Crowd(_)))
    }
}

/// A whole run.
#[derive(Clone, Debug)]
pub(crate) struct SoakPlan {
    pub(crate) seed: u64,
    pub(crate) settings: SettingsKind,
    pub(crate) engines: usize,
    pub(crate) managers: Vec<ManagerPlan>,
    /// Each event with its time in milliseconds, in order.
    pub(crate) world: Vec<(u64, WorldEvent)>,
}

impl SoakPlan {
    /// The run of that seed.
    pub(crate) fn draw(seed: u64) -> SoakPlan {
        let mut draw = Draw::new(seed);
        let settings = draw.pick(&[
            SettingsKind::OneShot,
            SettingsKind::Keyed,
            SettingsKind::ShortKeyed,
            SettingsKind::LongDeadlines,
        ]);
        // Without engines every request waits; so they do where all engines hang.
        let engines = draw.within(0..=4) as usize;
        let managers = (0..draw.within(1..=3))
            .map(|_| draw_manager(&mut draw))
            .collect();
        SoakPlan {
            seed,
            settings,
            engines,
            managers,
            world: draw_world(&mut draw, engines),
        }
    }
}

fn draw_manager(draw: &mut Draw) -> ManagerPlan {
    let mut events = Vec::new();
    if draw.percent(25) {
        events.push((
            draw.within(0..=500),
            ManagerEvent::Crowd(draw.within(100..=250) as usize),
        ));
    }
    for _ in 0..draw.within(1..=2) {
        events.push((draw.within(200..=1_500), draw_manager_event(draw)));
    }
    ManagerPlan {
        rpc_connections: draw.within(2..=10) as usize,
        http_connections: draw.within(0..=4) as usize,
        interval_millis: draw.pick(&[8, 20, 40, 80]),
        least_wait_millis: draw.pick(&[5, 40, 400]),
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
        6..=8 => ManagerEvent::Upgrade(draw.pick(&[
            Upgrade::Plain,
            Upgrade::Plain,
            Upgrade::Twice,
            Upgrade::KillNewAtStart,
            Upgrade::KillNewWhenReady,
            Upgrade::KillOldAfterTerm,
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

fn draw_world(draw: &mut Draw, engines: usize) -> Vec<(u64, WorldEvent)> {
    let mut events = Vec::new();
    let mut at = draw.within(100..=800);
    // News that is not delivered would count as told: discovery fails only in runs without drains.
    let discovery_fails = draw.percent(40);
    while at < LAST_WORLD_EVENT_MILLIS {
        events.push((at, draw_world_event(draw, engines, discovery_fails)));
        at += draw.within(150..=1_500);
    }
    events
}

fn draw_world_event(draw: &mut Draw, engines: usize, discovery_fails: bool) -> WorldEvent {
    if engines == 0 {
        return WorldEvent::BrokenWatches;
    }
    let engine = draw.within(0..=engines as u64 - 1) as usize;
    let discovery_events = [
        WorldEvent::SilentCoordinator,
        WorldEvent::BrokenWatches,
        WorldEvent::MovedCoordinator,
    ];
    let engine_events = [WorldEvent::Drain(engine), WorldEvent::Replace(engine)];
    match draw.within(0..=9) {
        0..=5 => WorldEvent::Faults(draw_faults(draw)),
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
    let most = if fault == Fault::Hang { 60 } else { 12 };
    vec![fault; draw.within(1..=most) as usize]
}
