//! Keeps this manager at the versions of the fleet's majority: a straggler reloads, and is shut out
//! if it remains behind.
use crate::clock::Micros;
use crate::log;
use crate::membership::{MemberState, Membership, RunningVersions, Straggler, VersionStatus};
use crate::net::Shared;
use crate::net::discovery::coordinator::WatchCommand;
use async_channel::Sender;
use rustix::process::{Signal, getpid, kill_process};

/// Compares this manager's versions to the majority's and reacts to a change of the status.
pub(super) struct VersionGuard {
    straggler: Straggler,
    grace: Micros,
    /// Whether a reload was requested since the status was last `InStep`.
    reload_requested: bool,
    /// The mailbox of the coordinator's actor, which reconnects to read the endpoint list again.
    coordinator: Sender<WatchCommand>,
}

impl VersionGuard {
    pub(super) fn new(grace: Micros, coordinator: Sender<WatchCommand>) -> VersionGuard {
        VersionGuard {
            straggler: Straggler::default(),
            grace,
            reload_requested: false,
            coordinator,
        }
    }

    /// Evaluates the versions at `now`, carries out the required reload or exclusion, and returns
    /// the status.
    pub(super) fn update(
        &mut self,
        shared: &Shared,
        membership: &Membership,
        now: Micros,
    ) -> VersionStatus {
        let others: Vec<&RunningVersions> = membership
            .members()
            .values()
            .filter(|member| member.update.state != MemberState::Left)
            .map(|member| &member.update.versions)
            .collect();
        let me = &membership.me().versions;
        let status = self.straggler.evaluate(me, &others, self.grace, now);
        set_shut_out(shared, status == VersionStatus::ShutOut);
        match status {
            VersionStatus::BringUp if !self.reload_requested => {
                self.reload_requested = true;
                self.request_reload(shared);
            }
            VersionStatus::InStep => self.reload_requested = false,
            _ => {}
        }
        status
    }

    /// Reloads the settings as SIGHUP does, and reads the endpoint list over a new connection to
    /// the coordinator.
    fn request_reload(&self, shared: &Shared) {
        log!("fleet: behind the majority: reloading the settings and the endpoint list");
        // The mailbox is full only if the watch does not run.
        let _ = self.coordinator.try_send(WatchCommand::Reconnect);
        match shared.process_overrides.get() {
            Some(overrides) => overrides
                .requested_reloads
                .set(overrides.requested_reloads.get() + 1),
            None => {
                let _ = kill_process(getpid(), Signal::HUP);
            }
        }
    }
}

/// Excludes the manager from the fleet's work, or includes it again.
fn set_shut_out(shared: &Shared, shut_out: bool) {
    if shared.lifecycle.borrow().is_excluded() == shut_out {
        return;
    }
    shared.lifecycle.borrow_mut().set_excluded(shut_out);
    if shut_out {
        log!("fleet: still behind the majority: this manager shuts itself out");
    } else {
        log!("fleet: no longer shut out");
    }
}
