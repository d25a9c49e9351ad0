//! Figures in order, against a sort of all of them.
use super::*;
use proptest::prelude::*;

/// Few different figures, so that equal ones are common, and the odd ones among floats.
fn figure() -> impl Strategy<Value = f64> {
    prop_oneof![8 => (0..9u8).prop_map(f64::from), 1 => any::<f64>(), 1 => Just(-0.0), 1 => Just(f64::NAN)]
}

proptest! {
    #[test]
    fn changes_one_by_one_leave_what_a_sort_gives(
        mut all in prop::collection::vec(figure(), 0..40),
        changes in prop::collection::vec((any::<prop::sample::Index>(), figure()), 0..60),
    ) {
        let bits = |r: &RunningMedian| r.0.iter().map(|f| f.to_bits()).collect::<Vec<_>>();
        let mut ranks = RunningMedian::new(all.clone());
        let changes = if all.is_empty() { Vec::new() } else { changes };
        for (at, new) in &changes {
            let at = at.index(all.len());
            ranks.replace(all[at], *new);
            all[at] = *new;
            let mut sorted = all.clone();
            sorted.sort_by(f64::total_cmp);
            prop_assert_eq!(bits(&ranks), bits(&RunningMedian(sorted.clone())));
            prop_assert_eq!(ranks.median().map(f64::to_bits), sorted.get(sorted.len() / 2).map(|f| f.to_bits()));
        }
        prop_assert_eq!(ranks.median().is_none(), all.is_empty());
    }

    #[test]
    fn a_figure_that_is_not_there_changes_nothing(all in prop::collection::vec(0.0..9.0f64, 0..20)) {
        let mut ranks = RunningMedian::new(all);
        let before = ranks.clone();
        ranks.replace(10.0, 1.0);
        prop_assert_eq!(ranks, before);
    }
}
