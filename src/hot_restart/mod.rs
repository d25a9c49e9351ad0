//! What two processes of one manager tell each other while the newer one takes over.
pub mod message;
