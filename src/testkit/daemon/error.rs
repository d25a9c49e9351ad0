//! Errors of starting and controlling the daemon.
use std::io;

/// An error of starting or controlling the daemon.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A file in its directory could not be written.
    #[error("{0}")]
    File(#[from] io::Error),
    /// The program could not be started.
    #[error("{program}: {source}")]
    Spawn {
        /// The program.
        program: String,
        /// The cause.
        source: io::Error,
    },
    /// The daemon did not become ready in time.
    #[error("the daemon did not become ready: {log}")]
    NotReady {
        /// The daemon's log.
        log: String,
    },
    /// Its successor did not become ready in time.
    #[error("the successor did not become ready")]
    SuccessorNotReady,
    /// The daemon has no admin endpoint.
    #[error("the daemon has no admin endpoint")]
    NoAdminEndpoint,
    /// A change of the configuration is neither a class nor a number of attempts.
    #[error("{0:?} is neither NAME:SEMANTICS nor attempts:COUNT")]
    InvalidChange(String),
    /// A number of attempts can't be parsed.
    #[error("attempts:{value}: {source}")]
    InvalidAttempts {
        /// The value after `attempts:`.
        value: String,
        /// The cause.
        source: std::num::ParseIntError,
    },
}
