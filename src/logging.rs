//! Logging: standard error behind one macro, rate-limited at each place that logs.
use crate::clock::{self, Micros, SEC};
use std::cell::Cell;

/// Lines that one place may write in a second.
const MOST: u32 = 5;

thread_local! { static MUTED: Cell<bool> = const { Cell::new(false) }; }

/// This thread logs nothing from now on: it runs many managers at once, and what it has to say is
/// counted.
pub fn mute() {
    MUTED.set(true);
}

/// What one place in the code has logged of late.
#[derive(Default)]
pub struct CallSite {
    since: Cell<Micros>,
    lines: Cell<u32>,
    dropped: Cell<u64>,
}

impl CallSite {
    /// A place that has logged nothing.
    pub const fn new() -> CallSite {
        CallSite {
            since: Cell::new(0),
            lines: Cell::new(0),
            dropped: Cell::new(0),
        }
    }

    /// Whether a line may be written now, and how many were left out before it.
    pub fn admit(&self) -> Option<u64> {
        if MUTED.get() {
            return None;
        }
        let now = clock::now();
        if now >= self.since.get() + SEC {
            self.since.set(now);
            self.lines.set(0);
        }
        if self.lines.get() >= MOST {
            self.dropped.set(self.dropped.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.dropped.replace(0))
    }
}

/// Writes a line to standard error, a few a second from each place.
#[macro_export]
macro_rules! log {
    ($($arg:tt)*) => {{
        thread_local! { static PLACE: $crate::logging::CallSite = const { $crate::logging::CallSite::new() }; }
        if let Some(dropped) = PLACE.with($crate::logging::CallSite::admit) {
            let line = format!($($arg)*);
            match dropped {
                0 => eprintln!("yokelift: {line}"),
                n => eprintln!("yokelift: {line} ({n} lines like it left out)"),
            }
        }
    }};
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a fault that comes with every request and fills the log.
    #[test]
    fn a_place_logs_a_few_lines_a_second_and_says_what_it_left_out() {
        let place = CallSite::new();
        let admitted = (0..50).filter(|_| place.admit().is_some()).count();
        assert_eq!((admitted, place.dropped.get()), (MOST as usize, 45));
        place.since.set(0);
        place.dropped.set(45);
        assert_eq!(place.admit(), Some(45));
        assert_eq!(place.admit(), Some(0));
    }
}
