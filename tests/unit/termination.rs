//! What each end proves.
use super::*;

const ALL: [End; 17] = [
    End::Done,
    End::Full,
    End::Past,
    End::Broke,
    End::Refused,
    End::ConnectTimeout,
    End::Unreachable,
    End::Overflow,
    End::Closed,
    End::Reset,
    End::Garbled,
    End::Silent,
    End::Idle,
    End::Drained,
    End::Withdrawn,
    End::Deadline,
    End::Dropped,
];

/// Guards rule 2: after a byte went out only the engine's word, or a connection that never was,
/// clears it.
#[test]
fn only_the_engine_says_that_what_went_out_never_ran() {
    let clears = |end: &End| never_ran(outcome(*end, Reach::Sent));
    let cleared: Vec<End> = ALL.into_iter().filter(clears).collect();
    assert_eq!(
        cleared,
        [
            End::Full,
            End::Past,
            End::Refused,
            End::ConnectTimeout,
            End::Unreachable
        ]
    );
    // With its end held back nothing can run, whatever breaks; but what this side gives up may
    // still go out.
    let breaks = [
        End::Closed,
        End::Reset,
        End::Garbled,
        End::Silent,
        End::Dropped,
    ];
    assert!(
        breaks
            .into_iter()
            .all(|end| never_ran(outcome(end, Reach::Begun)))
    );
    assert!(
        [End::Withdrawn, End::Deadline]
            .into_iter()
            .all(|end| !never_ran(outcome(end, Reach::Begun)))
    );
    let stuck: Vec<End> = ALL
        .into_iter()
        .filter(|e| !never_ran(outcome(*e, Reach::Unsent)))
        .collect();
    assert_eq!(stuck, [End::Done, End::Broke]);
}

/// Guards an engine's good name against this side's own want of descriptors.
#[test]
fn want_of_descriptors_says_nothing_of_the_engine() {
    let of = |errno: Errno| End::of_connect(&io::Error::from(errno));
    assert_eq!([of(Errno::MFILE), of(Errno::NFILE)], [End::Overflow; 2]);
    assert_eq!(outcome(of(Errno::MFILE), Reach::Unsent), OutcomeKind::Moot);
    assert_eq!(of(Errno::CONNREFUSED), End::Refused);
    assert_eq!(of(Errno::HOSTUNREACH), End::Unreachable);
}
