//! Steps that check the attempts of a query that engines have received.
use super::error::{StepError, expect};
use super::{ScenarioRun, parse_count};
use crate::testkit::wait_until;

/// The value that stands for a field that was not sent.
const NO_VALUE: &str = "-";

/// A step that checks the attempts of a query that engines have received.
pub(super) enum CheckStep<'a> {
    AwaitRunning {
        query: &'a str,
    },
    AwaitNotRunning {
        query: &'a str,
    },
    ExpectRuns {
        query: &'a str,
        runs: usize,
    },
    ExpectField {
        query: &'a str,
        field: &'a str,
        value: &'a str,
    },
    ExpectDeduplicated {
        query: &'a str,
        runs: usize,
    },
}

impl<'a> CheckStep<'a> {
    pub(super) fn parse(words: &[&'a str]) -> Result<Option<CheckStep<'a>>, StepError> {
        let step = match *words {
            ["seen", query] => CheckStep::AwaitRunning { query },
            ["over", query] => CheckStep::AwaitNotRunning { query },
            ["runs", query, runs] => CheckStep::ExpectRuns {
                query,
                runs: parse_count(runs)?,
            },
            ["sent", query, field, value] => CheckStep::ExpectField {
                query,
                field,
                value,
            },
            ["dropped", query, runs] => CheckStep::ExpectDeduplicated {
                query,
                runs: parse_count(runs)?,
            },
            _ => return Ok(None),
        };
        Ok(Some(step))
    }
}

impl ScenarioRun<'_> {
    pub(super) async fn execute_check_step(
        &mut self,
        step: CheckStep<'_>,
    ) -> Result<(), StepError> {
        match step {
            CheckStep::AwaitRunning { query } => self.await_running(query).await,
            CheckStep::AwaitNotRunning { query } => self.await_not_running(query).await,
            CheckStep::ExpectRuns { query, runs } => {
                let found = self.log.runs_of(query).len();
                expect(found == runs, || format!("{found} runs"))
            }
            CheckStep::ExpectField {
                query,
                field,
                value,
            } => self.expect_field(query, field, value),
            CheckStep::ExpectDeduplicated { query, runs } => self.expect_deduplicated(query, runs),
        }
    }

    async fn await_running(&self, query: &str) -> Result<(), StepError> {
        let is_running = || {
            let runs = self.log.runs_of(query);
            runs.iter().any(|run| run.end.is_none())
        };
        let reached = wait_until(is_running).await;
        expect(reached, || "no engine runs the query".into())
    }

    async fn await_not_running(&self, query: &str) -> Result<(), StepError> {
        let has_ended = || {
            let runs = self.log.runs_of(query);
            runs.iter().all(|run| run.end.is_some())
        };
        let reached = wait_until(has_ended).await;
        expect(reached, || "an engine still runs the query".into())
    }

    /// Checks the value of a field that was sent with the last attempt of a query.
    fn expect_field(&self, query: &str, field: &str, value: &str) -> Result<(), StepError> {
        let runs = self.log.runs_of(query);
        let found = runs.last().and_then(|run| run.fields.get(field));
        let found = found.map_or(NO_VALUE, String::as_str);
        expect(found == value, || format!("{found:?}"))
    }

    /// Checks how many attempts of a query changed nothing, because engines recognized its
    /// idempotency key.
    fn expect_deduplicated(&self, query: &str, count: usize) -> Result<(), StepError> {
        let runs = self.log.runs_of(query);
        let found = runs.iter().filter(|run| run.deduplicated).count();
        expect(found == count, || format!("{found} runs"))
    }
}
