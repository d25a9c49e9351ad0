//! Guards that count resources in use, and release them on drop, in whichever way their holder
//! ends.
use std::cell::Cell;
use std::rc::Rc;

/// Holds one unit of a count, and subtracts it on drop.
pub struct CountGuard {
    count: Rc<Cell<usize>>,
}

impl CountGuard {
    /// Adds one to the count.
    pub fn new(count: &Rc<Cell<usize>>) -> CountGuard {
        count.set(count.get() + 1);
        CountGuard {
            count: Rc::clone(count),
        }
    }

    /// Adds one to the count, unless it has reached its maximum.
    pub fn up_to(count: &Rc<Cell<usize>>, max: usize) -> Option<CountGuard> {
        (count.get() < max).then(|| CountGuard::new(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// The bytes that one connection contributes to a total over all connections. On drop they are
/// subtracted from the total.
pub struct ByteQuota<'a> {
    total: &'a Cell<usize>,
    used: usize,
}

impl<'a> ByteQuota<'a> {
    /// A contribution of 0 bytes to this total.
    pub fn new(total: &'a Cell<usize>) -> ByteQuota<'a> {
        ByteQuota { total, used: 0 }
    }

    /// Replaces the contribution.
    pub fn set(&mut self, used: usize) {
        self.total.set(self.total.get() - self.used + used);
        self.used = used;
    }
}

impl Drop for ByteQuota<'_> {
    fn drop(&mut self) {
        self.set(0);
    }
}
