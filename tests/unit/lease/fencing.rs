//! High-water marks of fencing tokens.
use super::*;
use std::collections::BTreeMap;

/// High-water marks, and the highest observed token of each resource, recorded without eviction.
pub(super) struct Observed {
    pub(super) high_water_marks: TokenHighWaterMarks,
    expected: BTreeMap<Resource, FencingToken>,
}

/// Observes tokens of many more resources than are tracked, in random order.
pub(super) fn observe_random_tokens() -> Observed {
    let mut high_water_marks = TokenHighWaterMarks::default();
    let mut expected = BTreeMap::new();
    let mut random = Pcg32::seed_from_u64(9);
    for _ in 0..20_000 {
        let resource = Resource::Probe(u64::from(random.next_u32() % 3_000));
        let known = high_water_marks.get(resource);
        let token = FencingToken(known.0 + u64::from(random.next_u32() % 3));
        high_water_marks.observe(resource, token);
        assert!(high_water_marks.get(resource) >= token);
        let highest = expected.entry(resource).or_insert(FencingToken(0));
        *highest = token.max(*highest);
        assert!(high_water_marks.iter().count() <= MAX_TRACKED_RESOURCES);
    }
    Observed {
        high_water_marks,
        expected,
    }
}

/// The number of tracked resources is limited, and so are memory and the stored file; an eviction
/// never decreases the token of the evicted resource.
#[test]
fn evicting_a_resource_never_lowers_its_token() {
    let Observed {
        high_water_marks,
        expected,
    } = observe_random_tokens();

    assert!(expected.len() > 2 * MAX_TRACKED_RESOURCES);
    assert!(
        expected
            .iter()
            .all(|(resource, token)| high_water_marks.get(*resource) >= *token)
    );
}
