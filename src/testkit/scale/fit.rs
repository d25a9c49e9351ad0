//! Straight lines through measured points, by least squares.
use serde::Serialize;

/// A line whose worst point is further off than this part of its value does not hold.
pub const MOST_RESIDUAL: f64 = 0.1;

/// A line through points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The value at zero.
    pub intercept: f64,
    /// What each unit adds.
    pub slope: f64,
    /// The worst distance of a point from the line, as a part of the point's value.
    pub worst: f64,
    /// Whether that is within bounds.
    pub holds: bool,
}

/// The line, from two points at different places on.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let width: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    if points.len() < 2 || width <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / width;
    let intercept = y - slope * x;
    // Beside a value of zero any distance is far.
    let off = |p: &(f64, f64)| match (p.1 - intercept - slope * p.0).abs() {
        0.0 => 0.0,
        distance => distance / p.1.abs(),
    };
    let worst = points.iter().map(off).fold(0.0, f64::max);
    Some(Line {
        intercept,
        slope,
        worst,
        holds: worst <= MOST_RESIDUAL,
    })
}

/// A line through the points of all plays, and the slopes of the single plays.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Through all points.
    pub line: Line,
    /// The least slope of a play.
    pub least: f64,
    /// The greatest one.
    pub most: f64,
}

/// Fits the points of each play, and of all together.
pub fn fit(plays: &[Vec<(f64, f64)>]) -> Option<Fit> {
    let line_of_all = line(&plays.concat())?;
    let slopes: Vec<f64> = plays
        .iter()
        .filter_map(|play| line(play))
        .map(|l| l.slope)
        .collect();
    let least = slopes.iter().copied().fold(f64::INFINITY, f64::min);
    let most = slopes.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    (!slopes.is_empty()).then_some(Fit {
        line: line_of_all,
        least,
        most,
    })
}

#[cfg(test)]
#[path = "../../../tests/unit/fit.rs"]
mod tests;
