//! What two processes of one manager exchange while the newer one takes over. No I/O: the actors are
//! in [`crate::net::hot_restart`].
pub mod message;
