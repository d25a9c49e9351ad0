//! Seeded property test of the seven invariants. The decision module receives random legal events
//! in unusual orders. The checker shares no code with the module and uses only events and actions.
mod checker;
#[path = "../common/mod.rs"]
mod common;
mod environment;
mod observed;

use checker::InvariantChecker;
use common::SECOND;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, rng_seed: RngSeed::Fixed(20_250_101), ..ProptestConfig::default() })]
    #[test]
    fn the_seven_invariants_hold_under_random_legal_events(seed in any::<u64>()) {
        let mut checker = InvariantChecker::new(seed);

        for _ in 0..400 {
            checker.step();
        }
        checker.advance(21 * SECOND);

        for (id, observed) in &checker.requests {
            prop_assert_eq!(observed.responses, 1, "{:?} of class {:?}", id, observed.request.class);
        }
        prop_assert!(checker.next_request > 50);
    }
}
