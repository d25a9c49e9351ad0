//! Lines fitted to measured points by least squares.
use super::{Sample, fit, line};

fn is_near(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

/// Guards the numbers for capacity planning: points on a line give that line, however unevenly they
/// are spaced.
#[test]
fn points_on_a_line_give_that_line() {
    let on_line = |x: f64| (x, 2_400.0 + 3.5 * x);
    let found = line(&[
        on_line(910.0),
        on_line(10.0),
        on_line(114.0),
        on_line(455.0),
    ])
    .expect("a line");
    assert!(
        is_near(found.intercept, 2_400.0) && is_near(found.slope, 3.5),
        "{found:?}"
    );
    assert!(found.worst < 1e-9 && found.holds);
}

/// Guards against a slope that is reported as valid although the points form a curve. Computed by
/// hand: y = 1, 2, 5 at 0, 1, 2 has slope 2 and intercept 2/3; the residuals are 1/3, 2/3 and 1/3,
/// and the largest of them as a fraction of its point's value is 1/3.
#[test]
fn points_on_a_curve_give_an_invalid_line() {
    let found = line(&[(0.0, 1.0), (1.0, 2.0), (2.0, 5.0)]).expect("a line");
    assert!(
        is_near(found.slope, 2.0)
            && is_near(found.intercept, 2.0 / 3.0)
            && is_near(found.worst, 1.0 / 3.0)
    );
    assert!(!found.holds);
}

/// One line has its largest residual just within the limit, the other just above it.
#[test]
fn the_largest_residual_decides_whether_a_line_is_valid() {
    let fitted = |y: f64| line(&[(0.0, 10.0), (1.0, y), (2.0, 10.0)]).expect("a line");
    assert!(fitted(11.5).holds && !fitted(12.0).holds);
}

#[test]
fn a_line_with_a_residual_at_a_value_of_zero_is_invalid() {
    let found = line(&[(0.0, 0.0), (1.0, 1.0), (2.0, 1.0)]).expect("a line");
    assert!(!found.holds);
}

/// Guards against lines fitted to too few points.
#[test]
fn too_few_points_give_no_line() {
    assert_eq!(line(&[]), None);
    assert_eq!(line(&[(3.0, 1.0)]), None);
    assert_eq!(line(&[(3.0, 1.0), (3.0, 2.0)]), None);
    assert_eq!(fit(&[]), None);
}

/// Guards the range of a fit: it is that of the slopes of the single runs.
#[test]
fn a_fit_has_the_range_of_the_slopes_of_its_runs() {
    let run = |slope: f64| -> Vec<Sample> { vec![(0.0, 100.0), (10.0, 100.0 + 10.0 * slope)] };
    let found = fit(&[run(1.0), run(3.0), run(2.0)]).expect("a fit");
    assert!(
        is_near(found.line.slope, 2.0) && is_near(found.least, 1.0) && is_near(found.most, 3.0),
        "{found:?}"
    );
}
