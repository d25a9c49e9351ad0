//! Generations of settings: which slot each class has, across new configurations. Pure.
//!
//! A slot is a [`ClassId`]: what the module, its queues and the connections to engines know a class
//! by. It keeps its meaning for as long as anything open refers to it.
use crate::policy::api::{ClassId, ClassSpec};
use std::rc::Rc;

/// A class under its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// What clients and engines call it.
    pub name: Rc<str>,
    /// Its rules.
    pub spec: ClassSpec,
}

struct Slot {
    class: Class,
    /// The generation that dropped it, if one did.
    dropped: Option<u64>,
    open: usize,
}

/// The classes of all generations that still count.
#[derive(Default)]
pub struct ClassRegistry {
    number: u64,
    slots: Vec<Slot>,
}

/// A slot that a new generation fills, and the slot whose teachings pass to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewSlot {
    /// The slot.
    pub slot: ClassId,
    /// Whose class it follows.
    pub heir_of: Option<ClassId>,
}

impl ClassRegistry {
    /// The first generation: each class in its place.
    pub fn new(classes: Vec<Class>) -> ClassRegistry {
        let slot = |class| Slot {
            class,
            dropped: None,
            open: 0,
        };
        ClassRegistry {
            number: 1,
            slots: classes.into_iter().map(slot).collect(),
        }
    }

    /// How many there have been.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The class in a slot, whether it is in force or only still in use.
    pub fn class(&self, id: ClassId) -> Option<&Class> {
        self.slots.get(usize::from(id.0)).map(|slot| &slot.class)
    }

    /// All slots, in order, and whether each is in force.
    pub fn slots(&self) -> impl Iterator<Item = (&Class, bool)> {
        self.slots
            .iter()
            .map(|slot| (&slot.class, slot.dropped.is_none()))
    }

    /// The slot of the class of that name that is in force.
    pub fn find(&self, name: &str) -> Option<ClassId> {
        let at = self
            .slots
            .iter()
            .position(|s| s.dropped.is_none() && *s.class.name == *name)?;
        Some(ClassId(at as u16))
    }

    /// A request of that class is open from now on.
    pub fn opened(&mut self, id: ClassId) {
        if let Some(slot) = self.slots.get_mut(usize::from(id.0)) {
            slot.open += 1;
        }
    }

    /// One of them is over, with all that was out for it.
    pub fn closed(&mut self, id: ClassId) {
        if let Some(slot) = self.slots.get_mut(usize::from(id.0)) {
            slot.open = slot.open.saturating_sub(1);
        }
    }

    /// A new generation, whose classes have different names. Tells which slots it fills.
    pub fn next(&mut self, classes: Vec<Class>) -> Vec<NewSlot> {
        self.number += 1;
        let was: Vec<usize> = (0..self.slots.len())
            .filter(|at| self.slots[*at].dropped.is_none())
            .collect();
        let same = |slot: &Slot, class: &Class| slot.dropped.is_none() && slot.class == *class;
        for &at in &was {
            if !classes.iter().any(|class| same(&self.slots[at], class)) {
                self.slots[at].dropped = Some(self.number);
            }
        }
        let mut fresh = Vec::new();
        for class in classes {
            if self.slots.iter().any(|slot| same(slot, &class)) {
                continue;
            }
            let heir_of = self.follows(&was, &class).map(|at| ClassId(at as u16));
            // What this generation drops may still be named by a request on its way in.
            let free = |s: &Slot| s.open == 0 && s.dropped.is_some_and(|at| at < self.number);
            let slot = Slot {
                class,
                dropped: None,
                open: 0,
            };
            let at = self.slots.iter().position(free).unwrap_or(self.slots.len());
            if at < self.slots.len() {
                self.slots[at] = slot;
            } else {
                self.slots.push(slot);
            }
            fresh.push(NewSlot {
                slot: ClassId(at as u16),
                heir_of,
            });
        }
        fresh
    }

    /// The class that a new one follows: the one of its name, else one whose work is alike.
    fn follows(&self, was: &[usize], class: &Class) -> Option<usize> {
        let alike = |at: &&usize| {
            let (a, b) = (&self.slots[**at].class.spec, &class.spec);
            let work = |s: &ClassSpec| {
                (
                    s.base_latency_objective,
                    s.threads,
                    s.loads_data_set,
                    s.blocked_by_loads,
                )
            };
            work(a) == work(b)
        };
        let named = was
            .iter()
            .find(|at| self.slots[**at].class.name == class.name);
        named.or_else(|| was.iter().find(alike)).copied()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/class_registry.rs"]
mod model;
