use super::*;

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

/// Guards the figures to plan with: exact points give their line back, wherever they lie.
#[test]
fn points_on_a_line_give_it_back() {
    let at = |x: f64| (x, 2_400.0 + 3.5 * x);
    let found = line(&[at(910.0), at(10.0), at(114.0), at(455.0)]).expect("a line");
    assert!(
        near(found.intercept, 2_400.0) && near(found.slope, 3.5),
        "{found:?}"
    );
    assert!(found.worst < 1e-9 && found.holds);
}

/// Guards against a slope shown as good where the points curve: worked by hand, y = 1, 2, 5 at 0,
/// 1, 2 has slope 2 and intercept 2/3, and is off by 1/3, 2/3 and 1/3, the worst as parts of values
/// being 1/3.
#[test]
fn what_is_no_line_does_not_hold() {
    let found = line(&[(0.0, 1.0), (1.0, 2.0), (2.0, 5.0)]).expect("a line");
    assert!(
        near(found.slope, 2.0) && near(found.intercept, 2.0 / 3.0) && near(found.worst, 1.0 / 3.0)
    );
    assert!(!found.holds);
    // At the bound, and a little over it: 10 where the line through (0, 10), (1, y), (2, 10) says
    // less.
    let bent = |y: f64| line(&[(0.0, 10.0), (1.0, y), (2.0, 10.0)]).expect("a line");
    assert!(bent(11.5).holds && !bent(12.0).holds);
    // Nothing is near a value of zero but zero.
    assert!(
        !line(&[(0.0, 0.0), (1.0, 1.0), (2.0, 1.0)])
            .expect("a line")
            .holds
    );
}

/// Guards against lines through nothing.
#[test]
fn too_few_places_give_no_line() {
    assert_eq!(line(&[]), None);
    assert_eq!(line(&[(3.0, 1.0)]), None);
    assert_eq!(line(&[(3.0, 1.0), (3.0, 2.0)]), None);
    assert_eq!(fit(&[]), None);
}

/// Guards the spread: it is that of the plays' own slopes.
#[test]
fn plays_show_their_spread() {
    let play = |slope: f64| vec![(0.0, 100.0), (10.0, 100.0 + 10.0 * slope)];
    let found = fit(&[play(1.0), play(3.0), play(2.0)]).expect("a fit");
    assert!(
        near(found.line.slope, 2.0) && near(found.least, 1.0) && near(found.most, 3.0),
        "{found:?}"
    );
}
