//! The operator's files and the settings of the platform: what they say, and whether it can be used.
pub mod clickhouse;
pub mod fleet;
pub mod process;
pub mod settings;
