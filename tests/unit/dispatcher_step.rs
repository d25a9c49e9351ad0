//! The random steps of the dispatcher's model. The numbers select among the classes, attempts,
//! connections and endpoints that exist at the time of the step.
use super::super::termination::Termination;
use quickcheck::{Arbitrary, Gen};

#[derive(Clone, Debug)]
pub(super) enum Step {
    /// A client sends a request.
    Request(u8),
    /// An attempt ends with this termination, and was written to its engine or not.
    EndAttempt(u8, Termination, bool),
    /// A client disconnects.
    Disconnect(u8),
    /// An endpoint becomes ready or starts to drain.
    ChangeEndpoint(u8),
    /// The configuration is replaced.
    Reconfigure(u8),
    /// An attempt is started that the decision module did not request.
    UnrequestedAttempt(u8),
    /// Time passes, in milliseconds.
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let terminations = [
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
            0..=3 => Step::Request(n),
            4..=6 => {
                let termination = *g.choose(&terminations).expect("a termination");
                Step::EndAttempt(n, termination, bool::arbitrary(g))
            }
            7 => Step::Disconnect(n),
            8 => Step::ChangeEndpoint(n),
            9 => Step::Reconfigure(n),
            10 => Step::UnrequestedAttempt(n),
            _ => Step::Wait(u16::arbitrary(g) % 4_000),
        }
    }
}
