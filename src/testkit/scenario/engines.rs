//! Steps that control engines and their entries in the endpoint list.
use super::error::StepError;
use super::{ScenarioEngine, ScenarioRun, parse_count, parse_number};
use crate::net::discovery::ListedEndpoint;
use crate::policy::api::{MachineTypeId, Readiness};
use crate::testkit::coordinator::ready_endpoint;
use crate::testkit::engines::EngineBehavior;

/// The name that stands for the engine that receives the next query.
const ANY_ENGINE: &str = "any";

/// A step that controls an engine.
pub(super) enum EngineStep<'a> {
    SetBehavior {
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
            ["on", engine, ref behavior @ ..] => EngineStep::SetBehavior {
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
            after_millis: parse_number(millis)?,
            rows: parse_count(rows)?,
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

impl ScenarioRun<'_> {
    pub(super) fn execute_engine_step(&mut self, step: EngineStep<'_>) -> Result<(), StepError> {
        match step {
            EngineStep::SetBehavior { engine, behavior } => self.set_behavior(engine, behavior),
            EngineStep::SetReadiness { engine, readiness } => self.set_readiness(engine, readiness),
            EngineStep::ShutDown { engine } => self.shut_down_engine(engine),
        }
    }

    fn engine(&self, name: &str) -> Result<&ScenarioEngine, StepError> {
        self.engines.get(name).ok_or(StepError::UnknownEngine)
    }

    fn set_behavior(&self, name: &str, behavior: EngineBehavior) -> Result<(), StepError> {
        match self.engine(name) {
            Ok(entry) => entry.engine.push_behavior(behavior),
            Err(_) if name == ANY_ENGINE => self.log.push_behavior(behavior),
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Makes the coordinator send the readiness of an engine.
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
        let entry = self.engines.get_mut(name);
        let entry = entry.ok_or(StepError::UnknownEngine)?;
        entry.engine.shut_down();
        Ok(())
    }

    /// The entry of an engine in the endpoint list.
    pub(super) fn listed_endpoint(
        &self,
        name: &str,
        readiness: Readiness,
    ) -> Result<ListedEndpoint, StepError> {
        let entry = self.engine(name)?;
        let mut listed = ready_endpoint(entry.id, entry.engine.addr);
        listed.endpoint.machine_type = MachineTypeId(entry.machine_type);
        listed.endpoint.readiness = readiness;
        Ok(listed)
    }
}
