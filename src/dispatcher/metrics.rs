//! What the program has taken in, sent and answered. Printed on SIGUSR1 and at exit.
use super::termination::Termination;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// Final answers of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Served.
    pub success: u64,
    /// Refused.
    pub overload: u64,
    /// Failed.
    pub error: u64,
}

/// What operators are told, as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MetricsSnapshot {
    /// Answers by the name of the class, also of classes that are no more.
    pub classes: BTreeMap<Rc<str>, ClassMetrics>,
    /// Attempts written whole to engines.
    pub dispatches: u64,
    /// Requests taken and not ended.
    pub concurrent: u64,
    /// Engines in the list.
    pub targets: u64,
    /// Those of them that are avoided.
    pub targets_disabled: u64,
    /// New configurations taken.
    pub reload_success: u64,
    /// Those turned down.
    pub reload_failure: u64,
}

/// Counters of the core; the same for every front and every kind of engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests taken.
    pub taken: u64,
    /// Final answers 'served'.
    pub served: u64,
    /// Final answers 'refused'.
    pub refused: u64,
    /// Final answers 'failed'.
    pub failed: u64,
    /// Requests whose client left or withdrew before their answer.
    pub gone: u64,
    /// Attempts ordered.
    pub attempts: u64,
    /// Those of them that went while another one of their request was out.
    pub copies: u64,
    /// Attempts withdrawn.
    pub withdrawn: u64,
    /// Probes sent.
    pub probes: u64,
    /// Orders of the module that the ledger of the rules did not let pass.
    pub stopped: u64,
    /// Answers that came too late, or to nothing: dropped.
    pub stray: u64,
    /// Updates of the list of engines.
    pub lists: u64,
    /// Readings of the directory that succeeded.
    pub directory_readings: u64,
    /// Those that failed.
    pub directory_failures: u64,
    /// Readings of a new configuration that could be used.
    pub reloads: u64,
    /// Those that could not, and left the old one in force.
    pub reload_failures: u64,
    /// Final answers by the name of the class, with those that a front gave without the core.
    pub classes: BTreeMap<Rc<str>, ClassMetrics>,
    /// How attempts ended.
    pub ends: BTreeMap<Termination, u64>,
}

impl Counters {
    /// Requests that wait for their answer.
    pub fn open(&self) -> u64 {
        self.taken - self.served - self.refused - self.failed - self.gone
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Counters {
            taken,
            served,
            refused,
            failed,
            gone,
            attempts,
            copies,
            withdrawn,
            probes,
            ..
        } = self;
        write!(
            f,
            "taken {taken} served {served} refused {refused} failed {failed} gone {gone} "
        )?;
        write!(
            f,
            "open {} attempts {attempts} copies {copies} ",
            self.open()
        )?;
        write!(f, "withdrawn {withdrawn} probes {probes} ")?;
        write!(f, "stopped {} stray {} ", self.stopped, self.stray)?;
        write!(
            f,
            "lists {} directory-readings {} ",
            self.lists, self.directory_readings
        )?;
        write!(
            f,
            "directory-failures {} reloads {} ",
            self.directory_failures, self.reloads
        )?;
        write!(f, "reload-failures {} ends", self.reload_failures)?;
        self.ends
            .iter()
            .try_for_each(|(end, n)| write!(f, " {end}:{n}"))
    }
}
