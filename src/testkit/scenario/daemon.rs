//! Steps that control the daemon, its coordinator and its admin endpoint.
use super::error::{StepError, expect};
use super::{ScenarioRun, parse_number};
use crate::testkit::coordinator::Speech;
use crate::testkit::daemon::DaemonProcess;
use crate::testkit::{clients, pause};
use rustix::process::Signal;
use std::os::unix::process::ExitStatusExt;

/// The interval at which the daemon's counters are polled.
const COUNTER_POLL_MILLIS: u64 = 20;
/// The interval at which the admin endpoint is polled.
const ADMIN_POLL_MILLIS: u64 = 10;
/// The value argument that stands for the number of attempts that engines have received, without
/// those of streams.
const ATTEMPT_COUNT: &str = "runs";

/// The value that a counter must reach.
pub(super) enum CounterTarget {
    Absolute(u64),
    /// This much more than the current value.
    Increase(u64),
}

/// A step that controls the daemon.
pub(super) enum DaemonStep<'a> {
    Reconfigure {
        changes: Vec<&'a str>,
    },
    ReconfigureInvalid,
    LaunchSuccessor,
    LaunchReadySuccessor,
    TerminatePredecessor,
    ExpectPredecessorExited,
    ExpectSuccessorExited,
    Kill(DaemonProcess),
    Terminate,
    ExpectExited,
    CloseCoordinatorConnections,
    MigrateCoordinator,
    SetSpeech(Speech),
    ShutDownCoordinator,
    StallCoordinatorConnections,
    AwaitCounter {
        name: &'a str,
        target: CounterTarget,
    },
    ExpectCounter {
        name: &'a str,
        value: u64,
    },
    CallAdmin {
        method: &'a str,
        path: &'a str,
        status: u64,
    },
    AwaitMetric {
        name: &'a str,
        value: &'a str,
    },
}

impl<'a> DaemonStep<'a> {
    pub(super) fn parse(words: &[&'a str]) -> Result<Option<DaemonStep<'a>>, StepError> {
        let step = match *words {
            ["retune", ref changes @ ..] => DaemonStep::Reconfigure {
                changes: changes.to_vec(),
            },
            ["spoil"] => DaemonStep::ReconfigureInvalid,
            ["launch"] => DaemonStep::LaunchSuccessor,
            ["follow"] => DaemonStep::LaunchReadySuccessor,
            ["retire"] => DaemonStep::TerminatePredecessor,
            ["retired"] => DaemonStep::ExpectPredecessorExited,
            ["reverted"] => DaemonStep::ExpectSuccessorExited,
            ["kill", "older"] => DaemonStep::Kill(DaemonProcess::Predecessor),
            ["kill", "newer"] => DaemonStep::Kill(DaemonProcess::Successor),
            ["term"] => DaemonStep::Terminate,
            ["ended"] => DaemonStep::ExpectExited,
            ["cut"] => DaemonStep::CloseCoordinatorConnections,
            ["stall"] => DaemonStep::StallCoordinatorConnections,
            ["move"] => DaemonStep::MigrateCoordinator,
            ["coordinator", "gone"] => DaemonStep::ShutDownCoordinator,
            ["coordinator", speech] => DaemonStep::SetSpeech(parse_speech(speech)?),
            ["until", name, value] => DaemonStep::AwaitCounter {
                name,
                target: CounterTarget::parse(value)?,
            },
            ["counter", name, value] => DaemonStep::ExpectCounter {
                name,
                value: parse_number(value)?,
            },
            ["call", method, path, status] => DaemonStep::CallAdmin {
                method,
                path,
                status: parse_number(status)?,
            },
            ["figure", name, value] => DaemonStep::AwaitMetric { name, value },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }
}

fn parse_speech(word: &str) -> Result<Speech, StepError> {
    match word {
        "speaking" => Ok(Speech::Speaking),
        "silent" => Ok(Speech::Silent),
        "silent-on-new" => Ok(Speech::SilentOnNewConnections),
        "heartbeats" => Ok(Speech::HeartbeatsOnly),
        "partial" => Ok(Speech::PartialFrame),
        "closing" => Ok(Speech::Closing),
        _ => Err(StepError::UnknownBehavior),
    }
}

impl CounterTarget {
    fn parse(word: &str) -> Result<CounterTarget, StepError> {
        match word.strip_prefix('+') {
            Some(increase) => Ok(CounterTarget::Increase(parse_number(increase)?)),
            None => Ok(CounterTarget::Absolute(parse_number(word)?)),
        }
    }
}

impl ScenarioRun<'_> {
    pub(super) async fn execute_daemon_step(
        &mut self,
        step: DaemonStep<'_>,
    ) -> Result<(), StepError> {
        let program = self.program;
        match step {
            DaemonStep::Reconfigure { changes } => self.daemon()?.reconfigure(&changes)?,
            DaemonStep::ReconfigureInvalid => self.daemon()?.reconfigure_invalid()?,
            DaemonStep::LaunchSuccessor => self.daemon_mut()?.launch_successor(program)?,
            DaemonStep::LaunchReadySuccessor => self.daemon_mut()?.start_successor(program).await?,
            DaemonStep::TerminatePredecessor => self.daemon()?.terminate_predecessor(),
            DaemonStep::ExpectPredecessorExited => self.expect_predecessor_exited().await?,
            DaemonStep::ExpectSuccessorExited => self.expect_successor_exited().await?,
            DaemonStep::Kill(process) => self.daemon_mut()?.kill(process),
            DaemonStep::Terminate => self.daemon()?.terminate(),
            DaemonStep::ExpectExited => self.expect_exited().await?,
            DaemonStep::CloseCoordinatorConnections => self.coordinator.close_connections(),
            DaemonStep::MigrateCoordinator => self.migrate_coordinator()?,
            DaemonStep::SetSpeech(speech) => self.coordinator.set_speech(speech),
            DaemonStep::StallCoordinatorConnections => self.coordinator.stall_connections(),
            DaemonStep::ShutDownCoordinator => self.coordinator.shut_down(),
            DaemonStep::AwaitCounter { name, target } => self.await_counter(name, target).await?,
            DaemonStep::ExpectCounter { name, value } => self.expect_counter(name, value)?,
            DaemonStep::CallAdmin {
                method,
                path,
                status,
            } => self.call_admin(method, path, status).await?,
            DaemonStep::AwaitMetric { name, value } => self.await_metric(name, value).await?,
        }
        Ok(())
    }

    async fn expect_predecessor_exited(&mut self) -> Result<(), StepError> {
        let status = self.daemon_mut()?.wait_for_predecessor_exit().await;
        let status = status.ok_or(StepError::Timeout)?;
        expect(status.success(), || status.to_string())
    }

    /// A process that is asked to stop before it handles signals is ended by the signal.
    async fn expect_successor_exited(&mut self) -> Result<(), StepError> {
        let status = self.daemon_mut()?.wait_for_successor_exit().await;
        let status = status.ok_or(StepError::Timeout)?;
        let is_ended_by_term = status.signal() == Some(Signal::TERM.as_raw());
        expect(status.success() || is_ended_by_term, || status.to_string())
    }

    async fn expect_exited(&mut self) -> Result<(), StepError> {
        let status = self.daemon_mut()?.wait_for_exit().await;
        let status = status.ok_or(StepError::Timeout)?;
        expect(status.success(), || status.to_string())
    }

    /// Starts another coordinator and reconfigures the daemon to use it. The old one sends no more
    /// events, and its connections stay open.
    fn migrate_coordinator(&mut self) -> Result<(), StepError> {
        self.coordinator = self.coordinator.successor(&self.executor);
        let addr = self.coordinator.addr;
        self.daemon()?.reconfigure_coordinator(addr)?;
        Ok(())
    }

    /// Waits until a counter of the daemon has reached the target.
    async fn await_counter(&self, name: &str, target: CounterTarget) -> Result<(), StepError> {
        let daemon = self.daemon()?;
        let target = match target {
            CounterTarget::Absolute(value) => value,
            CounterTarget::Increase(increase) => {
                // The counters in the last log line may be stale, so a new line is requested first.
                let lines_before = daemon.counter_lines();
                while daemon.counter_lines() == lines_before {
                    daemon.request_counters();
                    pause(COUNTER_POLL_MILLIS).await;
                }
                daemon.counter(name).unwrap_or(0) + increase
            }
        };
        while daemon.counter(name).is_none_or(|value| value < target) {
            daemon.request_counters();
            pause(COUNTER_POLL_MILLIS).await;
        }
        Ok(())
    }

    fn expect_counter(&self, name: &str, value: u64) -> Result<(), StepError> {
        let found = self.daemon()?.counter(name);
        expect(found == Some(value), || format!("{found:?}"))
    }

    /// Calls the admin endpoint until its response has this status.
    async fn call_admin(&self, method: &str, path: &str, status: u64) -> Result<(), StepError> {
        let addr = self.admin_addr()?;
        loop {
            let response = clients::call_admin(addr, method, path).await;
            if response.is_some_and(|(found, _)| u64::from(found) == status) {
                return Ok(());
            }
            pause(ADMIN_POLL_MILLIS).await;
        }
    }

    /// Waits until a metric has this value.
    async fn await_metric(&self, name: &str, value: &str) -> Result<(), StepError> {
        let addr = self.admin_addr()?;
        let value = if value == ATTEMPT_COUNT {
            let runs = self
                .queries
                .keys()
                .map(|query| self.log.runs_of(query).len());
            runs.sum::<usize>().to_string()
        } else {
            value.to_owned()
        };
        let expected = format!("app.{name}:{value}|");
        loop {
            let response = clients::call_admin(addr, "GET", "/metrics").await;
            let has_value = |text: &str| text.lines().any(|line| line.starts_with(&expected));
            if response.is_some_and(|(_, text)| has_value(&text)) {
                return Ok(());
            }
            pause(ADMIN_POLL_MILLIS).await;
        }
    }
}
