//! Steps that control engines and what the coordinator says of them.
use super::error::StepError;
use super::{ScenarioEngine, Stage, count, number};
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::{MachineTypeId, Readiness};
use crate::testkit::coordinator::ready_endpoint;
use crate::testkit::engines::EngineBehavior;

/// The name of whichever engine gets the next query.
const ANY_ENGINE: &str = "any";

/// A step that controls an engine.
pub(super) enum EngineStep<'a> {
    Behave {
        engine: &'a str,
        behavior: EngineBehavior,
    },
    SetReadiness {
        engine: &'a str,
        readiness: Readiness,
    },
    ShutDown {
        engine: &'a str,
    },
}

impl<'a> EngineStep<'a> {
    pub(super) fn parse(words: &[&'a str]) -> Result<Option<EngineStep<'a>>, StepError> {
        let step = match *words {
            ["on", engine, ref behavior @ ..] => EngineStep::Behave {
                engine,
                behavior: parse_behavior(behavior)?,
            },
            ["drain", engine] => EngineStep::SetReadiness {
                engine,
                readiness: Readiness::Draining,
            },
            ["gone", engine] => EngineStep::SetReadiness {
                engine,
                readiness: Readiness::Removed,
            },
            ["ready", engine] => EngineStep::SetReadiness {
                engine,
                readiness: Readiness::Ready,
            },
            ["down", engine] => EngineStep::ShutDown { engine },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }
}

fn parse_behavior(words: &[&str]) -> Result<EngineBehavior, StepError> {
    match *words {
        ["rows", millis, rows] => Ok(EngineBehavior::Complete {
            after_millis: number(millis)?,
            rows: count(rows)?,
        }),
        ["full"] => Ok(EngineBehavior::Reject),
        ["break"] => Ok(EngineBehavior::Fail),
        ["hang"] => Ok(EngineBehavior::Hang),
        ["reset"] => Ok(EngineBehavior::Reset),
        ["late"] => Ok(EngineBehavior::FailWithinResponse),
        ["garble"] => Ok(EngineBehavior::ViolateProtocol),
        _ => Err(StepError::UnknownBehavior),
    }
}

impl Stage<'_> {
    pub(super) fn execute_engine(&mut self, step: EngineStep<'_>) -> Result<(), StepError> {
        match step {
            EngineStep::Behave { engine, behavior } => self.set_behavior(engine, behavior),
            EngineStep::SetReadiness { engine, readiness } => self.set_readiness(engine, readiness),
            EngineStep::ShutDown { engine } => self.shut_down_engine(engine),
        }
    }

    fn engine(&self, name: &str) -> Result<&ScenarioEngine, StepError> {
        self.engines.get(name).ok_or(StepError::UnknownEngine)
    }

    fn set_behavior(&self, name: &str, behavior: EngineBehavior) -> Result<(), StepError> {
        match self.engine(name) {
            Ok(known) => known.engine.push_behavior(behavior),
            Err(_) if name == ANY_ENGINE => self.log.push_behavior(behavior),
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// The coordinator sends the readiness of an engine.
    fn set_readiness(&self, name: &str, readiness: Readiness) -> Result<(), StepError> {
        match readiness {
            Readiness::Ready => self.log.record_resumed(name),
            Readiness::Draining | Readiness::Removed => self.log.record_drained(name),
        }
        let endpoint = self.listed_endpoint(name, readiness)?;
        self.coordinator.send_changes(&[endpoint]);
        Ok(())
    }

    fn shut_down_engine(&mut self, name: &str) -> Result<(), StepError> {
        let known = self.engines.get_mut(name);
        let known = known.ok_or(StepError::UnknownEngine)?;
        known.engine.shut_down();
        Ok(())
    }

    /// An engine as the coordinator lists it.
    pub(super) fn listed_endpoint(
        &self,
        name: &str,
        readiness: Readiness,
    ) -> Result<ListedEndpoint, StepError> {
        let known = self.engine(name)?;
        let mut listed = ready_endpoint(known.id, known.engine.addr);
        listed.endpoint.machine_type = MachineTypeId(known.kind);
        listed.endpoint.readiness = readiness;
        Ok(listed)
    }
}
