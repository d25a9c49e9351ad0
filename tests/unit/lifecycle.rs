//! The lifecycle against a model under random steps, and the guarantees that the actors depend on.
use super::{
    ACCEPT_LINGER, CLIENT_DISCOVERY_DELAY, DRAIN_CLOSE_SPREAD, DRAIN_REJECT_DELAY,
    HOT_RESTART_REJECT_DELAY, Lifecycle, MIN_REMAINING_WORK, PredecessorList, PredecessorState,
    Stage, SuccessorState,
};
use crate::clock::{MS, Micros, SEC};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// An event of the process, or a period without events.
#[derive(Clone, Debug)]
enum Step {
    EndpointListReceived,
    /// What is known of the predecessor's list, by its index in [`PREDECESSOR_LISTS`].
    PredecessorList(u8),
    Drain,
    Undrain,
    BeginShutdown,
    /// The predecessors hold this many quarters of the capacity.
    PredecessorShare(u8),
    /// The successor's state, by its index in [`SUCCESSOR_STATES`].
    Successor(u8),
    /// This many quarters of the work remain.
    RemainingWork(u8),
    WaitMillis(u16),
}

const SUCCESSOR_STATES: [SuccessorState; 3] = [
    SuccessorState::None,
    SuccessorState::Starting,
    SuccessorState::Ready,
];

const PREDECESSOR_LISTS: [PredecessorList; 4] = [
    PredecessorList::NotExpected,
    PredecessorList::Awaited,
    PredecessorList::Unavailable,
    PredecessorList::InForce,
];

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 12 {
            0 => Step::EndpointListReceived,
            1 => Step::Drain,
            2 => Step::Undrain,
            3 if bool::arbitrary(g) => Step::BeginShutdown,
            4 => Step::Successor(u8::arbitrary(g) % 3),
            5 => Step::PredecessorShare(u8::arbitrary(g) % 5),
            6 => Step::RemainingWork(u8::arbitrary(g) % 5),
            7 => Step::PredecessorList(u8::arbitrary(g) % 4),
            _ => Step::WaitMillis(u16::arbitrary(g) % 3_000),
        }
    }
}

fn successor_state(index: u8) -> SuccessorState {
    SUCCESSOR_STATES[usize::from(index)]
}

fn quarters(count: u8) -> f64 {
    f64::from(count) / 4.0
}

/// All steps so far with their times. The expected state is derived from the whole list.
#[derive(Default)]
struct History {
    steps: Vec<(Micros, Step)>,
}

impl History {
    /// The value that `pick` returns for the last step that it selects.
    fn last<T>(&self, pick: impl Fn(&Step) -> Option<T>) -> Option<T> {
        self.steps.iter().rev().find_map(|(_, step)| pick(step))
    }

    fn stop_index(&self) -> Option<usize> {
        self.steps
            .iter()
            .position(|(_, step)| matches!(step, Step::BeginShutdown))
    }

    fn stopped_at(&self) -> Option<Micros> {
        self.stop_index().map(|index| self.steps[index].0)
    }

    fn endpoint_list_known(&self) -> bool {
        let is_received = self
            .steps
            .iter()
            .any(|(_, step)| matches!(step, Step::EndpointListReceived));
        is_received && self.predecessor_list() != PredecessorList::Awaited
    }

    /// The last state of the predecessor's list, unless it was adopted before.
    fn predecessor_list(&self) -> PredecessorList {
        let lists: Vec<PredecessorList> = self
            .steps
            .iter()
            .filter_map(|(_, step)| match step {
                Step::PredecessorList(index) => Some(PREDECESSOR_LISTS[usize::from(*index)]),
                _ => None,
            })
            .collect();
        if lists.contains(&PredecessorList::InForce) {
            return PredecessorList::InForce;
        }
        lists.last().copied().unwrap_or_default()
    }

    /// The time of the first drain since the last undrain that had an effect. An undrain after the
    /// request to stop has none.
    fn drained_at(&self) -> Option<Micros> {
        let until_stop = &self.steps[..self.stop_index().unwrap_or(self.steps.len())];
        let since_undrain = until_stop
            .iter()
            .rposition(|(_, step)| matches!(step, Step::Undrain))
            .map_or(0, |index| index + 1);
        self.steps[since_undrain..]
            .iter()
            .find(|(_, step)| matches!(step, Step::Drain))
            .map(|(at, _)| *at)
    }

    fn successor_is_ready(&self) -> bool {
        let state = self.last(|step| match step {
            Step::Successor(index) => Some(successor_state(*index)),
            _ => None,
        });
        state == Some(SuccessorState::Ready)
    }

    fn predecessor_share(&self) -> f64 {
        let share = self.last(|step| match step {
            Step::PredecessorShare(count) => Some(quarters(*count)),
            _ => None,
        });
        share.unwrap_or(0.0)
    }

    fn remaining_work(&self) -> f64 {
        let counts = self.steps.iter().filter_map(|(_, step)| match step {
            Step::RemainingWork(count) => Some(*count),
            _ => None,
        });
        quarters(counts.min().unwrap_or(4)).max(MIN_REMAINING_WORK)
    }

    fn capacity_share(&self) -> f64 {
        let available = 1.0 - self.predecessor_share();
        if self.successor_is_ready() {
            0.5 * self.remaining_work() * available
        } else {
            available
        }
    }
}

fn apply(lifecycle: &mut Lifecycle, step: &Step, now: Micros) {
    match step {
        Step::EndpointListReceived => lifecycle.endpoint_list_received(),
        Step::PredecessorList(index) => {
            lifecycle.set_predecessor_list(PREDECESSOR_LISTS[usize::from(*index)]);
        }
        Step::Drain => lifecycle.drain(now),
        Step::Undrain => drop(lifecycle.undrain()),
        Step::BeginShutdown => lifecycle.begin_shutdown(now),
        Step::Successor(index) => lifecycle.set_successor(successor_state(*index)),
        Step::PredecessorShare(count) => lifecycle.set_predecessor_share(quarters(*count)),
        Step::RemainingWork(count) => lifecycle.set_remaining_work(quarters(*count)),
        Step::WaitMillis(_) => {}
    }
}

/// Whether an idle connection is closed for one of three reasons only, and in time: by a drain,
/// after the platform's front has detected it and before requests are rejected; by a hot restart,
/// within a second; or by a shutdown without a ready successor, once the listeners stop accepting.
fn closes_idle_connection_in_time(lifecycle: &Lifecycle, history: &History, conn: u64) -> bool {
    let drained_at = history.drained_at();
    let took_over_at = history
        .stopped_at()
        .filter(|_| history.successor_is_ready());
    let stops_alone_at = history
        .stopped_at()
        .filter(|_| !history.successor_is_ready());
    match lifecycle.idle_close_at(conn) {
        None => drained_at.is_none() && took_over_at.is_none() && stops_alone_at.is_none(),
        Some(close_at) => {
            let by_drain = drained_at.is_some_and(|at| {
                (at + CLIENT_DISCOVERY_DELAY..at + DRAIN_REJECT_DELAY).contains(&close_at)
            });
            let by_hot_restart = took_over_at.is_some_and(|at| (at..at + SEC).contains(&close_at));
            let by_shutdown = stops_alone_at.is_some_and(|at| close_at == at + ACCEPT_LINGER);
            by_drain || by_hot_restart || by_shutdown
        }
    }
}

fn agrees_with_history(lifecycle: &Lifecycle, history: &History, now: Micros) -> bool {
    let drained_at = history.drained_at();
    let stopped_at = history.stopped_at();
    let successor_is_ready = history.successor_is_ready();
    let capacity_share = history.capacity_share();
    let should_be_ready =
        history.endpoint_list_known() && drained_at.is_none() && stopped_at.is_none();
    let should_reject = drained_at.is_some_and(|at| at + DRAIN_REJECT_DELAY <= now)
        || stopped_at.is_some_and(|at| {
            let delay = if successor_is_ready {
                HOT_RESTART_REJECT_DELAY
            } else {
                ACCEPT_LINGER
            };
            at + delay <= now
        });
    let reserved = lifecycle.share_reserved_for_predecessors();
    // A successor may use only what this process and its predecessors leave.
    let reserves_enough = reserved + 1e-9 >= history.predecessor_share() + capacity_share;
    let checks = [
        lifecycle.is_ready() == should_be_ready,
        lifecycle.is_stopping() == stopped_at.is_some(),
        lifecycle.accepts_until().is_some() == stopped_at.is_some(),
        lifecycle.rejects_new_requests(now) == should_reject,
        (lifecycle.capacity_share() - capacity_share).abs() < 1e-9,
        reserved <= 1.0 + 1e-9 && (!successor_is_ready || reserves_enough),
        lifecycle
            .accepts_until()
            .is_none_or(|at| (at == stopped_at.unwrap_or(0)) == successor_is_ready),
        lifecycle.forced_end_at(9 * SEC) > lifecycle.accepts_until() || stopped_at.is_none(),
        (0..50).all(|conn| closes_idle_connection_in_time(lifecycle, history, conn)),
    ];
    !checks.contains(&false)
}

/// Guards against wrong states after overlapping events, such as a drain during a hot restart: the
/// state machine reports what follows from the list of all events so far.
#[test]
fn the_lifecycle_reports_what_follows_from_its_whole_history() {
    fn agrees_after_each_step(steps: Vec<Step>) -> bool {
        let mut lifecycle = Lifecycle::default();
        let mut history = History::default();
        let mut now = 1_000_000;
        for step in steps {
            apply(&mut lifecycle, &step, now);
            if let Step::WaitMillis(millis) = step {
                now += u64::from(millis) * MS;
            }
            history.steps.push((now, step));
            if !agrees_with_history(&lifecycle, &history, now) {
                return false;
            }
        }
        true
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(3_000);
    check.quickcheck(agrees_after_each_step as fn(Vec<Step>) -> bool);
}

/// Guards the clients of the platform's front during a drain: only few of them reconnect to other
/// managers at the same time, and no connection stays open after the time by which all have to be
/// closed.
#[test]
fn a_drain_closes_idle_connections_evenly() {
    let mut lifecycle = Lifecycle::default();
    lifecycle.drain(0);

    let mut closed_by_interval = [0; 6];
    for conn in 0..600 {
        let close_at = lifecycle.idle_close_at(conn).unwrap();
        let interval = (close_at - CLIENT_DISCOVERY_DELAY) / (DRAIN_CLOSE_SPREAD / 6);
        closed_by_interval[interval as usize] += 1;
    }

    assert!(
        closed_by_interval.iter().all(|n| (60..140).contains(n)),
        "{closed_by_interval:?}"
    );
    assert!(lifecycle.undrain());
    assert_eq!(lifecycle.idle_close_at(1), None);
}

/// Guards the stage names that are part of the interface to operators.
#[test]
fn each_stage_has_a_fixed_name() {
    let names = [
        (Stage::Starting, "starting"),
        (Stage::Ready, "ready"),
        (Stage::Draining, "draining"),
        (Stage::HotRestart, "handingover"),
        (Stage::Stopping, "stopping"),
    ];
    for (stage, name) in names {
        assert_eq!(stage.as_str(), name);
        assert_eq!(stage.to_string(), name);
    }
}

/// Guards the requests of a process that received the request to stop: the platform kills it no
/// earlier than 0.7 s after the longest deadline, and it has to exit before that even if it waits
/// for a processor.
#[test]
fn the_forced_end_precedes_the_kill_by_a_margin() {
    const KILL_SLACK: Micros = 700 * MS;
    const CLOSE_TIME: Micros = 150 * MS;
    const MARGIN: Micros = 300 * MS;
    for deadline in [SEC, 2 * SEC, 3 * SEC, 60 * SEC] {
        let mut lifecycle = Lifecycle::default();
        lifecycle.begin_shutdown(SEC);
        let kill_at = SEC + deadline.min(3 * SEC) + KILL_SLACK;
        let forced_end_at = lifecycle.forced_end_at(deadline).expect("it stops");
        assert!(
            forced_end_at + CLOSE_TIME + MARGIN <= kill_at,
            "deadline {deadline}"
        );
        assert!(
            forced_end_at >= SEC + deadline.min(3 * SEC),
            "deadline {deadline}"
        );
    }
}

/// What happens to the two processes of a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PairEvent {
    /// The predecessor is asked to stop, and the successor is notified.
    PredecessorStops,
    /// The successor is asked to stop, and the predecessor is notified.
    SuccessorStops,
    PredecessorExits,
    SuccessorExits,
}

/// Whether the predecessor and the successor are left to close the listeners after these events.
fn closers(events: &[PairEvent]) -> (bool, bool) {
    let mut predecessor = Lifecycle::default();
    let mut successor = Lifecycle::default();
    predecessor.set_successor(SuccessorState::Ready);
    successor.set_predecessor(PredecessorState::Serving);
    for event in events {
        match event {
            PairEvent::PredecessorStops => {
                predecessor.begin_shutdown(SEC);
                successor.set_predecessor(PredecessorState::Stopping);
            }
            PairEvent::SuccessorStops => {
                successor.begin_shutdown(SEC);
                predecessor.set_successor(SuccessorState::Stopping);
            }
            PairEvent::PredecessorExits => successor.set_predecessor(PredecessorState::None),
            PairEvent::SuccessorExits => predecessor.set_successor(SuccessorState::None),
        }
    }
    (
        !predecessor.shares_listeners(),
        !successor.shares_listeners(),
    )
}

/// Guards against a listener that one process closes for both while the other one serves, and
/// against connections in the backlog that neither process accepts.
#[test]
fn of_two_processes_the_one_that_stops_last_closes_the_listeners() {
    use PairEvent::{PredecessorExits, PredecessorStops, SuccessorExits, SuccessorStops};
    let (predecessor, successor, neither) = ((true, false), (false, true), (false, false));
    for (events, expected) in [
        (&[][..], neither),
        (&[SuccessorStops], predecessor),
        (&[PredecessorStops], successor),
        (&[SuccessorStops, PredecessorStops], predecessor),
        (&[PredecessorStops, SuccessorStops], successor),
    ] {
        assert_eq!(closers(events), expected, "{events:?}");
    }
    let (_, successor_closes) = closers(&[SuccessorStops, PredecessorStops, PredecessorExits]);
    assert!(successor_closes, "it is the only process left");
    let (predecessor_closes, _) = closers(&[PredecessorStops, SuccessorStops, SuccessorExits]);
    assert!(predecessor_closes, "it is the only process left");
}

/// Guards the limits that both processes share: a successor that stops still uses its part.
#[test]
fn a_process_serves_on_its_part_of_the_capacity_until_its_stopping_successor_exits() {
    let mut lifecycle = Lifecycle::default();
    lifecycle.endpoint_list_received();
    lifecycle.set_successor(SuccessorState::Ready);
    lifecycle.set_successor(SuccessorState::Stopping);
    assert_eq!(lifecycle.capacity_share(), 0.5);
    assert!(lifecycle.is_ready() && !lifecycle.successor_took_over());
    lifecycle.begin_shutdown(SEC);
    assert!(!lifecycle.successor_took_over());
    assert_eq!(lifecycle.accepts_until(), Some(SEC + ACCEPT_LINGER));
}
