//! What each end of an attempt proves about its execution.
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

/// Whether this end proves that the attempt was not executed.
fn proves_never_ran(termination: Termination, progress: TransmitProgress) -> bool {
    never_ran(outcome(termination, progress))
}

/// After the whole attempt was written, only the engine's own statement, or a connection that never
/// existed, proves that it was not executed.
#[test]
fn a_complete_attempt_is_cleared_only_by_the_engine_or_a_failed_connect() {
    let cleared: Vec<Termination> = ALL
        .into_iter()
        .filter(|termination| proves_never_ran(*termination, TransmitProgress::Complete))
        .collect();

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
}

#[test]
fn a_failed_connection_clears_an_attempt_whose_end_was_withheld() {
    let failures = [
        Termination::Closed,
        Termination::Reset,
        Termination::ProtocolViolation,
        Termination::Unresponsive,
        Termination::Dropped,
    ];

    assert!(
        failures
            .into_iter()
            .all(|failure| proves_never_ran(failure, TransmitProgress::Partial))
    );
}

/// The withheld end of a cancelled attempt is written before its cancellation.
#[test]
fn a_cancellation_does_not_clear_an_attempt_whose_end_was_withheld() {
    let cancellations = [Termination::Cancelled, Termination::Deadline];

    assert!(
        cancellations
            .into_iter()
            .all(|cancellation| !proves_never_ran(cancellation, TransmitProgress::Partial))
    );
}

#[test]
fn an_unsent_attempt_may_have_run_only_if_the_engine_replied() {
    let may_have_run: Vec<Termination> = ALL
        .into_iter()
        .filter(|termination| !proves_never_ran(*termination, TransmitProgress::Unsent))
        .collect();

    assert_eq!(may_have_run, [Termination::Done, Termination::EngineError]);
}

/// A lack of local descriptors must not count as a fault of the engine.
#[test]
fn a_lack_of_descriptors_is_a_local_limit() {
    let of_connect = |errno: Errno| Termination::of_connect(&io::Error::from(errno));

    assert_eq!(of_connect(Errno::MFILE), Termination::LocalLimit);
    assert_eq!(of_connect(Errno::NFILE), Termination::LocalLimit);
    assert_eq!(
        outcome(of_connect(Errno::MFILE), TransmitProgress::Unsent),
        OutcomeKind::NeverSent
    );
    assert_eq!(of_connect(Errno::CONNREFUSED), Termination::Refused);
    assert_eq!(of_connect(Errno::HOSTUNREACH), Termination::Unreachable);
}
