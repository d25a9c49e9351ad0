//! The class registry against a model under random steps, and how it chooses predecessors.
use super::*;
use crate::policy::api::Idempotency;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

/// A class with this name. Classes of different variants have different settings.
fn class(name: u8, variant: u8) -> Class {
    let idempotency = if variant.is_multiple_of(2) {
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
        idempotency,
        serial_per_key: false,
        threads: 1.0,
        loads_data_set: false,
        blocked_by_loads: false,
        streams_response: false,
        allowed_zones: None,
        allowed_machine_types: None,
    };
    Class {
        name: class_name(name),
        spec,
    }
}

fn class_name(name: u8) -> Rc<str> {
    format!("class-{name}").into()
}

/// The variants of the classes in force, by name.
type Variants = BTreeMap<u8, u8>;

fn classes(variants: &Variants) -> Vec<Class> {
    variants
        .iter()
        .map(|(name, variant)| class(*name, *variant))
        .collect()
}

#[derive(Clone, Debug)]
enum Step {
    /// A new generation replaces the classes.
    Replace(Variants),
    /// A request of the class with this name starts.
    OpenRequest(u8),
    /// One of the open requests ends.
    CloseRequest(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 4 {
            0 => {
                let count = u8::arbitrary(g) % 5 + 1;
                let any_class = |_| (u8::arbitrary(g) % 6, u8::arbitrary(g) % 2);
                Step::Replace((0..count).map(any_class).collect())
            }
            1 => Step::CloseRequest(u8::arbitrary(g)),
            _ => Step::OpenRequest(u8::arbitrary(g) % 6),
        }
    }
}

/// An open request, with its class at the time when the request started.
struct OpenRequest {
    id: ClassId,
    class: Class,
}

struct Model {
    registry: ClassRegistry,
    in_force: Variants,
    open_requests: Vec<OpenRequest>,
    /// The maximum so far of the number of classes in force plus open requests.
    max_references: usize,
}

impl Model {
    fn new() -> Model {
        let in_force: Variants = [(0, 0), (1, 0), (2, 1)].into();
        Model {
            registry: ClassRegistry::new(classes(&in_force)),
            max_references: in_force.len(),
            in_force,
            open_requests: Vec::new(),
        }
    }

    /// Applies a step. Returns whether the registry behaves as the model expects.
    fn step(&mut self, step: Step) -> bool {
        let is_correct = match step {
            Step::Replace(next) => self.replace(next),
            Step::OpenRequest(name) => self.open_request(name),
            Step::CloseRequest(index) => {
                self.close_request(index);
                true
            }
        };
        let references = self.in_force.len() + self.open_requests.len();
        self.max_references = self.max_references.max(references);
        is_correct && self.open_requests_keep_their_class() && self.in_force_is_the_last_generation()
            // The last two generations may each have retired up to 6 classes.
            && self.registry.slots().count() <= self.max_references + 2 * 6
    }

    fn replace(&mut self, next: Variants) -> bool {
        let before: Vec<Class> = self
            .registry
            .slots()
            .map(|(class, _)| class.clone())
            .collect();
        let new_slots = self.registry.replace_classes(classes(&next));
        let unchanged = next
            .iter()
            .filter(|(name, variant)| self.in_force.get(name) == Some(variant))
            .count();
        let is_correct = new_slots.len() == next.len() - unchanged
            && new_slots
                .iter()
                .all(|new| self.has_correct_predecessor(new, &before));
        self.in_force = next;
        is_correct
    }

    /// Whether a class whose name was already in force has the class of that name as predecessor.
    fn has_correct_predecessor(&self, new: &NewSlot, before: &[Class]) -> bool {
        let Some(class) = self.registry.class(new.slot) else {
            return false;
        };
        let mut names_in_force = self.in_force.keys().map(|name| class_name(*name));
        let was_in_force = names_in_force.any(|name| name == class.name);
        let predecessor = new.predecessor.map(|id| &before[usize::from(id.0)]);
        !was_in_force || predecessor.is_some_and(|predecessor| predecessor.name == class.name)
    }

    fn open_request(&mut self, name: u8) -> bool {
        let Some(id) = self.registry.find(&class_name(name)) else {
            return true;
        };
        self.registry.request_opened(id);
        let Some(class) = self.registry.class(id).cloned() else {
            return false;
        };
        self.open_requests.push(OpenRequest { id, class });
        true
    }

    fn close_request(&mut self, index: u8) {
        if !self.open_requests.is_empty() {
            let index = usize::from(index) % self.open_requests.len();
            let closed = self.open_requests.swap_remove(index);
            self.registry.request_closed(closed.id);
        }
    }

    fn open_requests_keep_their_class(&self) -> bool {
        self.open_requests
            .iter()
            .all(|open| self.registry.class(open.id) == Some(&open.class))
    }

    fn in_force_is_the_last_generation(&self) -> bool {
        let in_force: BTreeMap<&str, &Class> = self
            .registry
            .slots()
            .filter(|(_, is_in_force)| *is_in_force)
            .map(|(class, _)| (&*class.name, class))
            .collect();
        let expected = classes(&self.in_force);
        in_force.len() == expected.len()
            && expected
                .iter()
                .all(|class| in_force.get(&*class.name) == Some(&class))
    }
}

/// Guards requests across reloads: the slot of an open request keeps its class regardless of
/// reloads in the meantime. Exactly the classes of the last generation are in force, and slots are
/// reused.
#[test]
fn a_slot_keeps_its_class_while_a_request_refers_to_it() {
    fn run(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        steps.into_iter().all(|step| model.step(step))
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 23))
        .tests(2_000);
    check.quickcheck(run as fn(Vec<Step>) -> bool);
}

/// Guards the learned estimates of a class across a reload that changes only its name or only its
/// idempotency.
#[test]
fn the_predecessor_of_a_new_class_has_the_same_name_or_else_the_same_work() {
    let mut registry = ClassRegistry::new(vec![class(0, 0), class(1, 0)]);

    let new_slots = registry.replace_classes(vec![class(0, 1), class(4, 0)]);

    let expected = [
        NewSlot {
            slot: ClassId(2),
            predecessor: Some(ClassId(0)),
        },
        NewSlot {
            slot: ClassId(3),
            predecessor: Some(ClassId(1)),
        },
    ];
    assert_eq!(new_slots, expected);
}

#[test]
fn a_slot_is_reused_one_generation_after_its_class_was_retired() {
    let mut registry = ClassRegistry::new(vec![class(0, 0), class(1, 0)]);
    registry.replace_classes(vec![class(0, 1), class(4, 0)]);

    let new_slots = registry.replace_classes(vec![class(0, 0)]);

    let expected = [NewSlot {
        slot: ClassId(0),
        predecessor: Some(ClassId(2)),
    }];
    assert_eq!(new_slots, expected);
}
