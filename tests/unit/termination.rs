//! What each end proves.
use super::*;

const ALL: [Termination; 17] = [
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

/// Guards rule 2: after a byte went out only the engine's word, or a connection that never was,
/// clears it.
#[test]
fn only_the_engine_says_that_what_went_out_never_ran() {
    let clears = |end: &Termination| never_ran(outcome(*end, TransmitProgress::Complete));
    let cleared: Vec<Termination> = ALL.into_iter().filter(clears).collect();
    assert_eq!(
        cleared,
        [
            Termination::Rejected,
            Termination::AlreadyFinished,
            Termination::Refused,
            Termination::ConnectTimeout,
            Termination::Unreachable
        ]
    );
    // With its end held back nothing can run, whatever breaks; but what this side gives up may
    // still go out.
    let breaks = [
        Termination::Closed,
        Termination::Reset,
        Termination::ProtocolViolation,
        Termination::Unresponsive,
        Termination::Dropped,
    ];
    assert!(
        breaks
            .into_iter()
            .all(|end| never_ran(outcome(end, TransmitProgress::Partial)))
    );
    assert!(
        [Termination::Cancelled, Termination::Deadline]
            .into_iter()
            .all(|end| !never_ran(outcome(end, TransmitProgress::Partial)))
    );
    let stuck: Vec<Termination> = ALL
        .into_iter()
        .filter(|e| !never_ran(outcome(*e, TransmitProgress::Unsent)))
        .collect();
    assert_eq!(stuck, [Termination::Done, Termination::EngineError]);
}

/// Guards an engine's good name against this side's own want of descriptors.
#[test]
fn want_of_descriptors_says_nothing_of_the_engine() {
    let of = |errno: Errno| Termination::of_connect(&io::Error::from(errno));
    assert_eq!(
        [of(Errno::MFILE), of(Errno::NFILE)],
        [Termination::LocalLimit; 2]
    );
    assert_eq!(
        outcome(of(Errno::MFILE), TransmitProgress::Unsent),
        OutcomeKind::NeverSent
    );
    assert_eq!(of(Errno::CONNREFUSED), Termination::Refused);
    assert_eq!(of(Errno::HOSTUNREACH), Termination::Unreachable);
}
