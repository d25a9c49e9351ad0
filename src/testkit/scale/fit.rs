//! Straight lines through measured points, by least squares.
use serde::Serialize;

/// Largest residual, as a fraction of the point's value, with which a line counts as valid.
pub const MAX_RESIDUAL: f64 = 0.1;

/// A measured point.
pub type Sample = (f64, f64);

/// A line through points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The value at zero.
    pub intercept: f64,
    /// What each unit adds.
    pub slope: f64,
    /// The largest residual, as a fraction of its point's value.
    pub worst: f64,
    /// Whether that is within [`MAX_RESIDUAL`].
    pub holds: bool,
}

impl Line {
    /// The residual of a point as a fraction of its value: infinite beside a value of zero that the
    /// line misses.
    fn relative_residual(&self, (x, y): Sample) -> f64 {
        match (y - self.intercept - self.slope * x).abs() {
            0.0 => 0.0,
            residual => residual / y.abs(),
        }
    }
}

/// The line of least squares; `None` unless there are points at two places.
pub fn line(points: &[Sample]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |coordinate: fn(&Sample) -> f64| points.iter().map(coordinate).sum::<f64>() / count;
    let mean_x = mean(|point| point.0);
    let mean_y = mean(|point| point.1);
    let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || variance <= 0.0 {
        return None;
    }
    let covariance: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    let slope = covariance / variance;
    let mut line = Line {
        intercept: mean_y - slope * mean_x,
        slope,
        worst: 0.0,
        holds: false,
    };
    let residuals = points.iter().map(|point| line.relative_residual(*point));
    line.worst = residuals.fold(0.0, f64::max);
    line.holds = line.worst <= MAX_RESIDUAL;
    Some(line)
}

/// A line through the points of all plays, and the range of the single plays' slopes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Through all points.
    pub line: Line,
    /// The smallest slope of a play.
    pub least: f64,
    /// The largest slope of a play.
    pub most: f64,
}

/// Fits the points of each play, and of all together.
pub fn fit(plays: &[Vec<Sample>]) -> Option<Fit> {
    let line_of_all = line(&plays.concat())?;
    let slopes: Vec<f64> = plays
        .iter()
        .filter_map(|play| line(play))
        .map(|line| line.slope)
        .collect();
    if slopes.is_empty() {
        return None;
    }
    Some(Fit {
        line: line_of_all,
        least: slopes.iter().copied().fold(f64::INFINITY, f64::min),
        most: slopes.iter().copied().fold(f64::NEG_INFINITY, f64::max),
    })
}

#[cfg(test)]
#[path = "../../../tests/unit/fit.rs"]
mod tests;
