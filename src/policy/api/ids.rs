//! Identifiers and the unit of time.

/// A point in time or a duration, in nanoseconds. Points in time are read from one monotonic clock
/// of the host; the module never reads a clock itself.
pub type Nanos = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// An engine: one process of the query engine. The number is opaque: it encodes neither
    /// location nor order.
    EngineId(u64);
    /// A request of a client at one gateway. Never reused; a client's own retry is a new request.
    RequestId(u32);
    /// A class of requests: an index into [`Settings::classes`](super::Settings::classes).
    ClassId(u16);
    /// A tenant: an index into [`Settings::tenants`](super::Settings::tenants).
    TenantId(u16);
    /// A zone of the deployment, by its index.
    ZoneId(u16);
    /// A machine type: an index into [`Settings::machine_types`](super::Settings::machine_types).
    MachineTypeId(u16);
    /// A cell: a set of engines that share their records of idempotency keys, so each recognizes a
    /// duplicate of a request that another one ran.
    CellId(u16);
    /// The key by which requests of a [`serial_per_key`](super::ClassSpec::serial_per_key) class
    /// are ordered.
    OrderKey(u64);
    /// The number of an attempt within its request, counted from 0.
    AttemptNo(u16);
}
