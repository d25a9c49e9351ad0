//! Fits straight lines to measured points by least squares.
use serde::Serialize;

/// Largest residual with which a line is valid, as a fraction of the point's value.
pub const MAX_RESIDUAL: f64 = 0.1;

/// A measured point: x and y.
pub type Sample = (f64, f64);

/// A line fitted to points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The value at zero.
    pub intercept: f64,
    /// The increase per unit of x.
    pub slope: f64,
    /// The largest residual, as a fraction of its point's value.
    pub worst: f64,
    /// Whether the largest residual is within [`MAX_RESIDUAL`].
    pub holds: bool,
}

impl Line {
    /// Returns the residual of a point as a fraction of its value: infinite if the value is zero
    /// and the line does not go through the point.
    fn relative_residual(&self, (x, y): Sample) -> f64 {
        match (y - self.intercept - self.slope * x).abs() {
            0.0 => 0.0,
            residual => residual / y.abs(),
        }
    }
}

/// Fits a line by least squares; returns `None` unless the points have at least two different x.
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

/// A line fitted to the points of all runs, and the range of the slopes of single runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The line fitted to all points.
    pub line: Line,
    /// The smallest slope of a run.
    pub least: f64,
    /// The largest slope of a run.
    pub most: f64,
}

/// Fits a line to the points of all runs together, and one to those of each run.
pub fn fit(runs: &[Vec<Sample>]) -> Option<Fit> {
    let line_of_all = line(&runs.concat())?;
    let slopes: Vec<f64> = runs
        .iter()
        .filter_map(|run| line(run))
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
