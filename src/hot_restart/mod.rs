//! The messages that two processes of one manager exchange during a hot restart. No I/O: the actors
//! are in [`crate::net::hot_restart`].
pub mod message;
