//! Generations of settings against a model under random steps.
use super::*;
use crate::policy::api::Idempotency;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

fn class(name: u8, kind: u8) -> Class {
    let effect = if kind.is_multiple_of(2) {
        Idempotency::Idempotent
    } else {
        Idempotency::NonIdempotent
    };
    let spec = ClassSpec {
        priority_weight: 1.0,
        late_priority_weight: 0.1,
        base_latency_objective: 1 + u64::from(name % 3),
        objective_slowdown: 1.0,
        deadline: 9,
        idempotency: effect,
        serial_per_key: false,
        threads: 1.0,
        loads_data_set: false,
        blocked_by_loads: false,
        streams_response: false,
        allowed_zones: None,
        allowed_machine_types: None,
    };
    Class {
        name: format!("class-{name}").as_str().into(),
        spec,
    }
}

#[derive(Clone, Debug)]
enum Step {
    Next(BTreeMap<u8, u8>),
    Open(u8),
    Close(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 4 {
            0 => {
                let count = u8::arbitrary(g) % 5 + 1;
                Step::Next(
                    (0..count)
                        .map(|_| (u8::arbitrary(g) % 6, u8::arbitrary(g) % 2))
                        .collect(),
                )
            }
            1 => Step::Close(u8::arbitrary(g)),
            _ => Step::Open(u8::arbitrary(g) % 6),
        }
    }
}

/// Guards the rules of open requests: whatever is configured meanwhile, the slot that a request was
/// taken under says what it said then; what is in force is exactly the last file; and slots do not
/// pile up.
#[test]
fn a_slot_keeps_its_meaning_while_anything_open_refers_to_it() {
    fn play(steps: Vec<Step>) -> bool {
        let mut now: BTreeMap<u8, u8> = [(0, 0), (1, 0), (2, 1)].into();
        let all =
            |now: &BTreeMap<u8, u8>| now.iter().map(|(n, k)| class(*n, *k)).collect::<Vec<_>>();
        let mut generations = ClassRegistry::new(all(&now));
        let mut open: Vec<(ClassId, Class)> = Vec::new();
        let mut most = now.len();
        for step in steps {
            match step {
                Step::Next(next) => {
                    let before: Vec<Class> = generations.slots().map(|(c, _)| c.clone()).collect();
                    let fresh = generations.next(all(&next));
                    let unchanged = next.iter().filter(|(n, k)| now.get(n) == Some(k)).count();
                    if fresh.len() != next.len() - unchanged {
                        return false;
                    }
                    // What it inherits from was in force, and of its name if there was one.
                    for NewSlot { slot, heir_of } in fresh {
                        let class = generations.class(slot).cloned();
                        let Some(class) = class else { return false };
                        let named = now
                            .iter()
                            .any(|(n, k)| self::class(*n, *k).name == class.name);
                        let from = heir_of.map(|at| &before[usize::from(at.0)]);
                        if named && from.is_none_or(|from| from.name != class.name) {
                            return false;
                        }
                    }
                    now = next;
                }
                Step::Open(name) => {
                    let name = format!("class-{name}");
                    if let Some(id) = generations.find(&name) {
                        generations.opened(id);
                        let Some(class) = generations.class(id).cloned() else {
                            return false;
                        };
                        open.push((id, class));
                    }
                }
                Step::Close(at) if !open.is_empty() => {
                    let (id, _) = open.swap_remove(usize::from(at) % open.len());
                    generations.closed(id);
                }
                Step::Close(_) => {}
            }
            most = most.max(now.len() + open.len());
            let kept = open
                .iter()
                .all(|(id, class)| generations.class(*id) == Some(class));
            let in_force: BTreeMap<&str, &Class> = generations
                .slots()
                .filter(|(_, on)| *on)
                .map(|(c, _)| (&*c.name, c))
                .collect();
            let wanted = all(&now);
            let right = in_force.len() == wanted.len()
                && wanted
                    .iter()
                    .all(|class| in_force.get(&*class.name) == Some(&class));
            // At most the two latest files and what is open.
            if !kept || !right || generations.slots().count() > most + 2 * 6 {
                return false;
            }
        }
        true
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 23))
        .tests(2_000);
    check.quickcheck(play as fn(Vec<Step>) -> bool);
}

/// Guards against a class that starts from nothing since it got another name or another effect.
#[test]
fn a_class_inherits_from_its_name_or_its_like() {
    let mut generations = ClassRegistry::new(vec![class(0, 0), class(1, 0)]);
    let fresh = generations.next(vec![class(0, 1), class(4, 0)]);
    let expected = [(2, Some(ClassId(0))), (3, Some(ClassId(1)))];
    assert_eq!(
        fresh
            .iter()
            .map(|f| (f.slot.0, f.heir_of))
            .collect::<Vec<_>>(),
        expected
    );
    // The slots that were dropped then are free now.
    let fresh = generations.next(vec![class(0, 0)]);
    assert_eq!(
        fresh,
        [NewSlot {
            slot: ClassId(0),
            heir_of: Some(ClassId(2))
        }]
    );
}
