//! The vocabulary of the library: what a gateway is told and what it may order. No logic lives
//! here.
//!
//! Times are nanoseconds of one clock that only moves forward; durations are nanoseconds too.

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// An engine. The number tells nothing about it.
    EngineId(u64);
    /// One try of a client at one gateway; never used twice.
    RequestId(u32);
    /// Index into [`Settings::classes`].
    ClassId(u16);
    /// Index into [`Settings::tenants`].
    TenantId(u16);
    /// Index into the zones of the deployment.
    ZoneId(u16);
    /// Index into [`Settings::kinds`].
    KindId(u16);
    /// A set of engines that share what they remember of keyed requests.
    CellId(u16);
    /// What an ordered class is ordered by.
    OrderKey(u64);
    /// The number of an attempt of a request, from 0.
    AttemptNo(u16);
}

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated freely.
    Idempotent,
    /// May be repeated within the scope and the window in which engines discard duplicates.
    WithKey {
        /// Which engines discard duplicates of one another.
        scope: Scope,
        /// How long after the first attempt that may have run.
        window: Nanos,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// The engines that recognise each other's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All engines.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Worth of one request answered within its aim.
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_priority_weight: f64,
    /// Fixed part of the aim.
    pub base_latency_objective: Nanos,
    /// The aim grows by this many times work over threads.
    pub objective_slowdown: f64,
    /// How long a client waits over all its tries.
    pub deadline: Nanos,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// Requests with the same key run one at a time, in the order taken.
    pub in_order: bool,
    /// Threads that a query runs on.
    pub threads: f64,
    /// Holds its data set on its engine while it runs.
    pub is_load: bool,
    /// Stands still while a load holds its data set.
    pub waits_for_loads: bool,
    /// The answer comes as a stream.
    pub streams: bool,
    /// If given, the only zones it may be sent to.
    pub only_zones: Option<Vec<ZoneId>>,
    /// If given, the only kinds of machine it may be sent to.
    pub only_kinds: Option<Vec<KindId>>,
}

/// A kind of machine.
#[derive(Clone, Copy, Debug)]
pub struct KindSpec {
    /// Cores of one machine.
    pub cores: f64,
    /// Memory of one machine in MB; 0 if not told.
    pub memory_mb: f64,
}

/// A tenant and its share over all gateways.
#[derive(Clone, Copy, Debug)]
pub struct TenantSpec {
    /// Requests a second within its share; 0 if not told.
    pub quota_per_s: f64,
    /// Its share of the service.
    pub share: f64,
}

/// What an engine does when the memory granted passes what it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryExhaustionPolicy {
    /// The query waits in line.
    Wait,
    /// The query gets what is left.
    Shrink,
    /// All queries slow down.
    Page,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Invariants {
    /// How long after a client's deadline a final answer is still valid.
    pub answer_slack: Nanos,
    /// How long sends may go on after news of a drain.
    pub drain_grace: Nanos,
    /// A cold engine starts at this share of its capacity or more.
    pub slow_start_from: f64,
    /// It is warm after this long at the latest.
    pub slow_start_duration: Nanos,
    /// More than this multiple of present capacity...
    pub overload_multiple: f64,
    /// ...over this long pushes it over.
    pub overload_window: Nanos,
    /// A key rests this long after an attempt that may still run.
    pub key_cooldown: Nanos,
    /// Budget of further attempts, if one is stated.
    pub retry_budget: Option<RetryBudget>,
    /// Where the list is asked for: ask at least this often.
    pub poll_within: Nanos,
}

/// Budget of attempts beyond the first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Allowed in any case.
    pub allowance: f64,
    /// Allowed for each request taken.
    pub ratio: f64,
    /// The window over which both are counted.
    pub window: Nanos,
}

/// What the deployment permits.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Attempts per request at most.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Engines may be probed.
    pub may_probe: bool,
    /// Gateways may send each other messages.
    pub may_message_peers: bool,
    /// Refusals may name a time to come back.
    pub retry_after: bool,
    /// The longest such time that clients heed.
    pub max_retry_after: Nanos,
    /// Requests may have two attempts out at once.
    pub hedging: bool,
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Queries in hand.
    Inflight,
    /// Queries waiting for memory.
    Queue,
    /// Share of CPU in use.
    Util,
    /// Recent service time in ms.
    RecentMs,
    /// Requests served a second.
    Rate,
    /// Errors a second.
    Errors,
    /// Share of memory granted.
    MemoryGranted,
    /// Share of disks busy.
    DisksBusy,
    /// A figure this library does not know.
    Unknown,
}

/// Everything a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This gateway's number among its peers.
    pub gateway_index: u32,
    /// Number of gateways.
    pub gateways: u32,
    /// The zone of this gateway.
    pub zone: ZoneId,
    /// The shortest time between two batches of events.
    pub tick: Nanos,
    /// Classes of requests.
    pub classes: Vec<ClassSpec>,
    /// Kinds of machines.
    pub kinds: Vec<KindSpec>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSpec>,
    /// Worth of a request beyond its tenant's share, as a share of its class's worth.
    pub over_quota_weight: f64,
    /// The list of engines must be asked for.
    pub poll_endpoint_list: bool,
    /// Figures of load reports, in order.
    pub load_fields: Vec<LoadField>,
    /// Attempts that cross zones cost something.
    pub cross_zone_costs: bool,
    /// What one probe a query costs, in parts of the whole worth.
    pub probe_price: f64,
    /// The memory asked for is heeded.
    pub memory_grants_supported: bool,
    /// Priorities are heeded.
    pub priorities_supported: bool,
    /// Share of an engine's memory that one query gets at most.
    pub max_memory_share: f64,
    /// What happens when memory is short.
    pub memory_exhaustion: MemoryExhaustionPolicy,
    /// Time between notes of progress; 0 if there are none.
    pub progress_period: Nanos,
    /// Answers tell work and memory.
    pub reports_cost: bool,
    /// Figures of the rules.
    pub invariants: Invariants,
    /// What is permitted.
    pub limits: Limits,
}

/// State of an engine as the list knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Takes work.
    Ready,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// An entry of the list of engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The engine.
    pub id: EngineId,
    /// Where it stands.
    pub zone: ZoneId,
    /// Its machine.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub readiness: Readiness,
    /// Size or load, as the deployment defines it.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Nanos,
}

/// How complete a list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Complete, but perhaps old: the last one this gateway held.
    Cached,
    /// Only what changed.
    Changes,
    /// Complete.
    Full,
    /// A call failed or the subscription broke; the list stands as it was.
    Failed,
}

/// A request from a client.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Its key, for classes in order.
    pub key: Option<OrderKey>,
    /// When the client gives up this try.
    pub deadline: Nanos,
    /// Estimated work of all its threads.
    pub work_hint: Option<Nanos>,
    /// Estimated memory in MB.
    pub memory_hint: Option<f64>,
    /// The data set that it reads; 0 if that is not known.
    pub data_set: u64,
    /// The client said that it tried before.
    pub is_retry: bool,
    /// It must not run twice, whatever its class allows: it has no key by which engines would know
    /// a repeat.
    pub must_not_repeat: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// Served.
    Ok,
    /// The engine answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may run still.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
}

/// Figures of a load report, in the order of [`Settings::load_fields`]; only the first `len` count.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// How many figures there are.
    pub len: usize,
    /// The figures.
    pub values: [f32; 4],
}

/// News of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressUpdate {
    /// Share done.
    Progress(f64),
    /// It spills to disk; MB missing.
    Spill(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load.
    WaitsForLoad,
}

/// How an attempt ended, and what came with it.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The engine it went to.
    pub engine: EngineId,
    /// How it ended.
    pub kind: OutcomeKind,
    /// Time since it was sent.
    pub latency: Nanos,
    /// The request is over, by this or before.
    pub request_finished: bool,
    /// Work it took, where told.
    pub work: Option<Nanos>,
    /// Memory it needed in MB, where told.
    pub memory_mb: Option<f64>,
    /// The engine's load, where told.
    pub load: LoadReport,
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of engines.
    EndpointList {
        /// How complete it is.
        kind: EndpointListKind,
        /// Its entries.
        entries: Vec<Endpoint>,
    },
    /// A request came in.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// An answer began to stream; the attempt is the client's now.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// News of a running attempt.
    Progress {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// The news.
        update: ProgressUpdate,
    },
    /// The client left.
    ClientGone(RequestId),
    /// A timer went off.
    Timer(u64),
    /// A probe came back.
    ProbeCompleted {
        /// The engine.
        engine: EngineId,
        /// How it went.
        kind: OutcomeKind,
        /// Time since it was sent.
        latency: Nanos,
        /// The engine's load, where told.
        load: LoadReport,
    },
    /// A message of another gateway.
    PeerMessage {
        /// Its number.
        from: u32,
        /// What it says.
        data: Vec<u8>,
    },
}

/// What a gateway orders.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; a time-out of 0 lasts until the client gives up.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        engine: EngineId,
        /// Time-out of this attempt.
        timeout: Nanos,
    },
    /// Memory and priority of the request's next attempts; the priority also of those out.
    SetAttemptOptions {
        /// The request.
        id: RequestId,
        /// 0 to 3; 1 is usual.
        priority: u8,
        /// MB to grant; 0 leaves it to the engine.
        memory_mb: f64,
    },
    /// Withdraw an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: refused, trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// When to come back; 0 for no advice.
        retry_after: Nanos,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Ask for a timer.
    Timer {
        /// How long from now.
        after: Nanos,
        /// Comes back with it.
        token: u64,
    },
    /// Probe an engine.
    Probe {
        /// Which.
        engine: EngineId,
    },
    /// Close idle connections to an engine.
    CloseIdle {
        /// Which.
        engine: EngineId,
    },
    /// Send a message to one gateway, or to all.
    SendToPeer {
        /// Its number; none for all.
        peer: Option<u32>,
        /// At most 256 bytes.
        data: Vec<u8>,
    },
    /// Ask for the complete list once.
    FetchEndpointList,
    /// Subscribe to changes of the list, or end it.
    Watch(bool),
    /// A line for the log.
    Log(String),
}
