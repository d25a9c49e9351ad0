//! Why the daemon could not be started or controlled.
use std::io;

/// Why the daemon could not be started or controlled.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A file of its directory can't be written.
    #[error("{0}")]
    File(#[from] io::Error),
    /// The program can't be started.
    #[error("{program}: {source}")]
    Spawn {
        /// The program.
        program: String,
        /// The cause.
        source: io::Error,
    },
    /// It did not become ready.
    #[error("the daemon did not become ready: {log}")]
    NotReady {
        /// What it logged.
        log: String,
    },
    /// Its successor did not become ready.
    #[error("the new version did not become ready")]
    SuccessorNotReady,
    /// It has no admin endpoint.
    #[error("no second address")]
    NoAdminEndpoint,
    /// A change of the configuration is neither a class nor a number of attempts.
    #[error("{0:?}: NAME:SEMANTICS, or attempts:COUNT")]
    InvalidChange(String),
    /// A number of attempts is no number.
    #[error("attempts:{value}: {source}")]
    InvalidAttempts {
        /// What was given.
        value: String,
        /// The cause.
        source: std::num::ParseIntError,
    },
}
