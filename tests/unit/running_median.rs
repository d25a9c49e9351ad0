//! The running median against a sort of all figures.
use super::*;
use proptest::prelude::*;

/// Few different figures, so that equal ones are common, and the special values of floats.
fn figure() -> impl Strategy<Value = f64> {
    prop_oneof![
        8 => (0..9u8).prop_map(f64::from),
        1 => any::<f64>(),
        1 => Just(-0.0),
        1 => Just(f64::NAN)
    ]
}

/// The figures in their order, bit for bit.
fn bits(median: &RunningMedian) -> Vec<u64> {
    median.0.iter().map(|figure| figure.to_bits()).collect()
}

proptest! {
    #[test]
    fn replacing_figures_one_by_one_gives_what_a_sort_gives(
        mut figures in prop::collection::vec(figure(), 0..40),
        changes in prop::collection::vec((any::<prop::sample::Index>(), figure()), 0..60),
    ) {
        let mut median = RunningMedian::new(figures.clone());
        let changes = if figures.is_empty() { Vec::new() } else { changes };
        for (index, new) in &changes {
            let index = index.index(figures.len());
            median.replace(figures[index], *new);
            figures[index] = *new;
            let mut sorted = figures.clone();
            sorted.sort_by(f64::total_cmp);
            prop_assert_eq!(bits(&median), bits(&RunningMedian(sorted.clone())));
            let middle = sorted.get(sorted.len() / 2);
            prop_assert_eq!(median.median().map(f64::to_bits), middle.map(|figure| figure.to_bits()));
        }
        prop_assert_eq!(median.median().is_none(), figures.is_empty());
    }

    #[test]
    fn replacing_a_figure_that_is_absent_changes_nothing(
        figures in prop::collection::vec(0.0..9.0f64, 0..20),
    ) {
        let mut median = RunningMedian::new(figures);
        let before = median.clone();
        median.replace(10.0, 1.0);
        prop_assert_eq!(median, before);
    }
}
