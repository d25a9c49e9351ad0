//! Configuration: the platform's JSON and the operator's files, parsed and validated.
pub mod clickhouse;
pub mod completeness;
pub mod fleet;
pub mod process;
pub mod settings;

use std::collections::BTreeSet;
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a configuration file can't be used; `E` is the error of its content.
#[derive(Debug, Error)]
pub enum FileError<E: Error + 'static> {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file was read, but its content is invalid.
    #[error("{}: {source}", path.display())]
    Content {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: E,
    },
}

/// Reads a file with `read`, and parses its content with `parse`.
fn load<B, T, E: Error>(
    path: &Path,
    read: impl FnOnce(&Path) -> io::Result<B>,
    parse: impl FnOnce(&B) -> Result<T, E>,
) -> Result<T, FileError<E>> {
    let content = read(path).map_err(|source| FileError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(&content).map_err(|source| FileError::Content {
        path: path.to_owned(),
        source,
    })
}

/// The first item that equals an earlier one.
fn first_duplicate<T: Ord + Copy>(items: impl IntoIterator<Item = T>) -> Option<T> {
    let mut seen = BTreeSet::new();
    items.into_iter().find(|item| !seen.insert(*item))
}
