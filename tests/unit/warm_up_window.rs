//! Work sent to an engine in slow start, over a sliding window.
use super::*;

#[test]
fn work_since_includes_sends_at_the_start_of_the_window() {
    let mut window = WarmUpWindow::default();
    window.record(10, 1.0);
    window.record(20, 2.0);
    window.record(30, 4.0);
    assert_eq!(window.work_since(20), 6.0);
    assert_eq!(window.work_since(21), 4.0);
}

#[test]
fn drop_before_removes_earlier_sends() {
    let mut window = WarmUpWindow::default();
    window.record(10, 1.0);
    window.record(20, 2.0);
    window.drop_before(20);
    let (oldest, newest) = window.oldest_and_newest().expect("one send is left");
    assert_eq!((oldest.at, newest.at), (20, 20));
    window.drop_before(21);
    assert!(window.oldest_and_newest().is_none());
}
