//! The running median compared with a sort of all values.
use super::*;
use proptest::prelude::*;

/// Mostly a few small integers, so that equal values are common, and special values of floats.
fn value() -> impl Strategy<Value = f64> {
    prop_oneof![
        8 => (0..9u8).prop_map(f64::from),
        1 => any::<f64>(),
        1 => Just(-0.0),
        1 => Just(f64::NAN)
    ]
}

/// The bit patterns of the values, in order.
fn bits(median: &RunningMedian) -> Vec<u64> {
    median.0.iter().map(|value| value.to_bits()).collect()
}

proptest! {
    #[test]
    fn replacing_values_one_by_one_gives_the_same_order_as_a_sort(
        mut values in prop::collection::vec(value(), 0..40),
        changes in prop::collection::vec((any::<prop::sample::Index>(), value()), 0..60),
    ) {
        let mut median = RunningMedian::new(values.clone());
        let changes = if values.is_empty() { Vec::new() } else { changes };
        for (index, new) in &changes {
            let index = index.index(values.len());
            median.replace(values[index], *new);
            values[index] = *new;
            let mut sorted = values.clone();
            sorted.sort_by(f64::total_cmp);
            prop_assert_eq!(bits(&median), bits(&RunningMedian(sorted.clone())));
            let middle = sorted.get(sorted.len() / 2);
            prop_assert_eq!(median.median().map(f64::to_bits), middle.map(|value| value.to_bits()));
        }
        prop_assert_eq!(median.median().is_none(), values.is_empty());
    }

    #[test]
    fn replacing_an_absent_value_changes_nothing(
        values in prop::collection::vec(0.0..9.0f64, 0..20),
    ) {
        let mut median = RunningMedian::new(values);
        let before = median.clone();
        median.replace(10.0, 1.0);
        prop_assert_eq!(median, before);
    }
}
