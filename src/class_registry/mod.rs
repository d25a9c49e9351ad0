//! The registry of request classes across configuration reloads. Pure.
//!
//! Every class has a slot, whose index is its [`ClassId`]: the id by which the decision module, its
//! queues and the connections to engines refer to the class. Each reload starts a new generation of
//! the registry. A slot keeps its class while any request refers to it, even if a later generation
//! no longer contains the class. The slot is reused only after that.
use crate::policy::api::{ClassId, ClassSpec};
use std::rc::Rc;

/// A class with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name by which clients and engines refer to it.
    pub name: Rc<str>,
    /// Its settings.
    pub spec: ClassSpec,
}

/// One entry of the registry.
struct Slot {
    class: Class,
    /// The generation that retired the class, or `None` while the class is in force.
    retired_in: Option<u64>,
    /// Number of requests of the class that have no final response or have attempts in flight.
    open_requests: usize,
}

impl Slot {
    fn new(class: Class) -> Slot {
        Slot {
            class,
            retired_in: None,
            open_requests: 0,
        }
    }

    fn is_in_force(&self) -> bool {
        self.retired_in.is_none()
    }

    /// Whether the slot's class is in force and has the name and the settings of `class`.
    fn has_class_in_force(&self, class: &Class) -> bool {
        self.is_in_force() && self.class == *class
    }

    /// Whether the slot may be reused for another class. A class that was retired by the current
    /// generation keeps its slot, since a request that was already read may still refer to it.
    fn is_free(&self, generation: u64) -> bool {
        self.open_requests == 0 && self.retired_in.is_some_and(|retired| retired < generation)
    }
}

/// The classes in force, and the retired classes to which requests still refer.
#[derive(Default)]
pub struct ClassRegistry {
    generation: u64,
    slots: Vec<Slot>,
}

/// A slot that a new generation assigned to a new or changed class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewSlot {
    /// The slot.
    pub slot: ClassId,
    /// The slot of the class whose learned estimates the new class starts with, if any.
    pub predecessor: Option<ClassId>,
}

impl ClassRegistry {
    /// Creates the first generation, in which the id of each class is its index in `classes`.
    pub fn new(classes: Vec<Class>) -> ClassRegistry {
        ClassRegistry {
            generation: 1,
            slots: classes.into_iter().map(Slot::new).collect(),
        }
    }

    /// The class with this id, whether it is in force or retired.
    pub fn class(&self, id: ClassId) -> Option<&Class> {
        self.slots.get(usize::from(id.0)).map(|slot| &slot.class)
    }

    /// The classes of all slots in the order of their ids, each with whether it is in force.
    pub fn slots(&self) -> impl Iterator<Item = (&Class, bool)> {
        self.slots
            .iter()
            .map(|slot| (&slot.class, slot.is_in_force()))
    }

    /// The id of the class in force with this name.
    pub fn find(&self, name: &str) -> Option<ClassId> {
        self.slots
            .iter()
            .position(|slot| slot.is_in_force() && *slot.class.name == *name)
            .map(class_id)
    }

    /// Records that one more request refers to this class.
    pub fn request_opened(&mut self, id: ClassId) {
        if let Some(slot) = self.slots.get_mut(usize::from(id.0)) {
            slot.open_requests += 1;
        }
    }

    /// Records that a request of this class has finished, with all its attempts.
    pub fn request_closed(&mut self, id: ClassId) {
        if let Some(slot) = self.slots.get_mut(usize::from(id.0)) {
            slot.open_requests = slot.open_requests.saturating_sub(1);
        }
    }

    /// Starts a new generation with these classes, whose names must be unique. Returns the slots of
    /// the classes that are new or changed; an unchanged class keeps its slot.
    pub fn replace_classes(&mut self, classes: Vec<Class>) -> Vec<NewSlot> {
        self.generation += 1;
        let previous = self.slots_in_force();
        self.retire_missing_or_changed(&previous, &classes);
        let mut new_slots = Vec::new();
        for class in classes {
            if self
                .slots
                .iter()
                .any(|slot| slot.has_class_in_force(&class))
            {
                continue;
            }
            let predecessor = self.predecessor(&previous, &class).map(class_id);
            let slot = class_id(self.insert(class));
            new_slots.push(NewSlot { slot, predecessor });
        }
        new_slots
    }

    fn slots_in_force(&self) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|index| self.slots[*index].is_in_force())
            .collect()
    }

    /// Retires the classes of the previous generation that are missing from or changed in the new
    /// one.
    fn retire_missing_or_changed(&mut self, previous: &[usize], classes: &[Class]) {
        for &index in previous {
            let slot = &mut self.slots[index];
            if !classes.iter().any(|class| slot.has_class_in_force(class)) {
                slot.retired_in = Some(self.generation);
            }
        }
    }

    /// Inserts a class into the first free slot, or into an additional slot if none is free.
    /// Returns the index of the slot.
    fn insert(&mut self, class: Class) -> usize {
        let slot = Slot::new(class);
        let free = self
            .slots
            .iter()
            .position(|slot| slot.is_free(self.generation));
        match free {
            Some(index) => {
                self.slots[index] = slot;
                index
            }
            None => {
                self.slots.push(slot);
                self.slots.len() - 1
            }
        }
    }

    /// The index of the previous generation's class that is most similar to a new class: the class
    /// of the same name, or else the first class with the same kind of work.
    fn predecessor(&self, previous: &[usize], class: &Class) -> Option<usize> {
        let has_same_name = |index: &&usize| self.slots[**index].class.name == class.name;
        let has_same_work =
            |index: &&usize| same_work(&self.slots[**index].class.spec, &class.spec);
        previous
            .iter()
            .find(has_same_name)
            .or_else(|| previous.iter().find(has_same_work))
            .copied()
    }
}

/// Whether the queries of two classes have the same kind of work, so that the estimates learned for
/// one class are good initial estimates for the other.
fn same_work(one: &ClassSpec, other: &ClassSpec) -> bool {
    one.base_latency_objective == other.base_latency_objective
        && one.threads == other.threads
        && one.loads_data_set == other.loads_data_set
        && one.blocked_by_loads == other.blocked_by_loads
}

/// The id of the class in the slot with this index.
fn class_id(index: usize) -> ClassId {
    ClassId(index as u16)
}

#[cfg(test)]
#[path = "../../tests/unit/class_registry.rs"]
mod tests;
