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

/// Guards against a second execution: after the whole attempt was written, only the engine's reply
/// or a connection that was never established proves that it was not executed.
#[test]
fn only_the_engine_or_a_failed_connect_proves_that_a_complete_attempt_never_ran() {
    let proven_never_ran: Vec<Termination> = ALL
        .into_iter()
        .filter(|termination| proves_never_ran(*termination, TransmitProgress::Complete))
        .collect();

    assert_eq!(
        proven_never_ran,
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
fn a_failed_connection_proves_that_an_attempt_with_a_withheld_end_never_ran() {
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

/// Guards against a second execution: the withheld end of a cancelled attempt is written before its
/// cancellation, so the engine may execute the attempt.
#[test]
fn a_cancellation_does_not_prove_that_an_attempt_with_a_withheld_end_never_ran() {
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

/// Guards against counting a lack of local descriptors as a failure of the engine.
#[test]
fn a_lack_of_descriptors_is_a_local_limit() {
    let from_connect_error =
        |errno: Errno| Termination::from_connect_error(&io::Error::from(errno));

    assert_eq!(from_connect_error(Errno::MFILE), Termination::LocalLimit);
    assert_eq!(from_connect_error(Errno::NFILE), Termination::LocalLimit);
    assert_eq!(
        outcome(from_connect_error(Errno::MFILE), TransmitProgress::Unsent),
        OutcomeKind::NeverSent
    );
    assert_eq!(from_connect_error(Errno::CONNREFUSED), Termination::Refused);
    assert_eq!(
        from_connect_error(Errno::HOSTUNREACH),
        Termination::Unreachable
    );
}
