//! A sorted list of figures, whose median is at hand without sorting again.

/// Figures kept in order while single ones of them change. Reading the median takes constant time;
/// a change takes a binary search and moves the figures between the old position and the new one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RunningMedian(Vec<f64>);

impl RunningMedian {
    /// The given figures, in the order of [`f64::total_cmp`].
    pub(crate) fn new(mut figures: Vec<f64>) -> RunningMedian {
        figures.sort_unstable_by(f64::total_cmp);
        RunningMedian(figures)
    }

    /// The figure in the middle; of an even number of figures the upper one of the middle two.
    /// `None` if there is no figure.
    pub(crate) fn median(&self) -> Option<f64> {
        self.0.get(self.0.len() / 2).copied()
    }

    /// Replaces one figure that equals `old`, bit for bit, by `new`. If there is none, nothing
    /// changes.
    pub(crate) fn replace(&mut self, old: f64, new: f64) {
        let Ok(from) = self.0.binary_search_by(|figure| figure.total_cmp(&old)) else {
            return;
        };
        let to = self
            .0
            .partition_point(|figure| figure.total_cmp(&new).is_lt());
        // `old` is still in the list: a larger `new` ends up one position further down.
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
