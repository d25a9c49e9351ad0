//! The rate limit of a call site of `log!`.
use super::*;

/// Guards the log against an error that is repeated with every request.
#[test]
fn a_call_site_limits_its_lines_per_second_and_counts_the_suppressed_ones() {
    let call_site = CallSite::new();

    let admitted = (0..50).filter(|_| call_site.admit().is_some()).count();

    assert_eq!(
        (admitted, call_site.suppressed.get()),
        (MAX_LINES_PER_SECOND as usize, 45)
    );
    call_site.window_start.set(0);
    call_site.suppressed.set(45);
    assert_eq!(call_site.admit(), Some(45));
    assert_eq!(call_site.admit(), Some(0));
}
