//! The states of the other processes of a hot restart, as this process knows them.

/// The state of the successor of this process in a hot restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SuccessorState {
    /// There is no successor.
    #[default]
    None,
    /// It has received the listeners and prepares to serve.
    Starting,
    /// It serves requests.
    Ready,
    /// It served and was asked to stop. It leaves the listeners to this process.
    Stopping,
}

/// What this process has of its predecessor's endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PredecessorList {
    /// There is no predecessor, or it has exited without sending its list.
    #[default]
    NotExpected,
    /// The predecessor is about to send it.
    Awaited,
    /// The predecessor does not send it, or this process can't use it.
    Unavailable,
    /// This process acts on it.
    InForce,
}

/// The state of the predecessor of this process in a hot restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PredecessorState {
    /// There is no predecessor, or it has exited.
    #[default]
    None,
    /// It serves requests and accepts connections from the same backlogs as this process.
    Serving,
    /// It was asked to stop before this process. It leaves the listeners to this process.
    Stopping,
}
