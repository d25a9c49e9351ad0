//! The scale rig: many hollow managers in one process, on real sockets on loopback.
pub mod board;
pub mod events;
pub mod figures;
pub mod fleet;
pub mod hollow;
pub mod life;
pub mod needs;
