//! A sorted list of values whose median is read without sorting.

/// Values that are kept sorted while single ones are replaced. Reading the median takes constant
/// time; a replacement takes a binary search and moves the values between the old position and the
/// new one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RunningMedian(Vec<f64>);

impl RunningMedian {
    /// Sorts the given values by [`f64::total_cmp`].
    pub(crate) fn new(mut values: Vec<f64>) -> RunningMedian {
        values.sort_unstable_by(f64::total_cmp);
        RunningMedian(values)
    }

    /// The middle value; the upper one of the middle two if the number of values is even. `None` if
    /// there are no values.
    pub(crate) fn median(&self) -> Option<f64> {
        self.0.get(self.0.len() / 2).copied()
    }

    /// Replaces one value that equals `old`, bit for bit, with `new`. Does nothing if there is
    /// none.
    pub(crate) fn replace(&mut self, old: f64, new: f64) {
        let Ok(from) = self.0.binary_search_by(|value| value.total_cmp(&old)) else {
            return;
        };
        let to = self
            .0
            .partition_point(|value| value.total_cmp(&new).is_lt());
        // `old` is still in the list, so a larger `new` ends up one position lower than `to`.
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
