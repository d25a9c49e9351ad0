//! Figures in order, so that the one in the middle is at hand without a sort.

/// Figures kept in order while single ones of them change. Reading the median takes no time, a
/// change that of a binary search and of moving the figures between the old place and the new one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunningMedian(Vec<f64>);

impl RunningMedian {
    /// Those figures, sorted by [`f64::total_cmp`].
    pub fn new(mut figures: Vec<f64>) -> RunningMedian {
        figures.sort_unstable_by(f64::total_cmp);
        RunningMedian(figures)
    }

    /// The figure in the middle, of an even number the upper of the two; none of none.
    pub fn median(&self) -> Option<f64> {
        self.0.get(self.0.len() / 2).copied()
    }

    /// One figure that was `old` is `new` now. Where none is `old`, bit for bit, nothing changes.
    pub fn replace(&mut self, old: f64, new: f64) {
        let Ok(from) = self.0.binary_search_by(|f| f.total_cmp(&old)) else {
            return;
        };
        let to = self.0.partition_point(|f| f.total_cmp(&new).is_lt());
        // The old one still stands: a new one above it ends up one place further down.
        if from < to {
            self.0[from..to].rotate_left(1);
            self.0[to - 1] = new;
        } else {
            self.0[to..=from].rotate_right(1);
            self.0[to] = new;
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/running_median.rs"]
mod tests;
