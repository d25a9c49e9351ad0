//! The messages that other actors send to the dispatcher's actor.
use crate::class_registry::Class;
use crate::clock::Micros;
use crate::dispatcher::{AttemptResult, ClientRequest, Origin, ProbeOutcome, Response};
use crate::lease::shared_probe::ProbeResult;
use crate::lease::{FencingToken, Resource};
use crate::net::engine::EndpointHandle;
use crate::policy::api::{ClassId, Endpoint, EndpointListKind, EngineId, Settings, TenantSpec};
use async_channel::Sender;
use std::rc::Rc;

/// A change of the endpoint list.
pub struct EndpointListUpdate {
    /// Whether `entries` is the full list, a cached list, or only the changes.
    pub kind: EndpointListKind,
    /// The endpoints.
    pub entries: Vec<Endpoint>,
    /// Handles of the endpoints that are new or whose address has changed.
    pub new_endpoints: Vec<(EngineId, Rc<EndpointHandle>)>,
    /// The index of the watch event that contained the change.
    pub version: u64,
}

/// Settings that replace the previous ones.
pub struct Reconfiguration {
    /// The settings.
    pub settings: Box<Settings>,
    /// The names of `settings.classes`, in the same order.
    pub class_names: Vec<String>,
    /// A hash of the configuration's text, for the audit.
    pub settings_hash: u64,
    /// The tenants' new shares, unless they stay as they are.
    pub tenants: Option<Vec<TenantSpec>>,
    /// Receives all classes in the order of their ids, each with whether it is in force.
    pub applied: Sender<Vec<(Class, bool)>>,
}

/// An event that another actor sends to the dispatcher's actor.
pub enum DispatcherEvent {
    /// A client connected.
    ClientConnected {
        /// The number of its connection.
        conn: u64,
        /// Where its responses are sent, each with the tag of its request.
        responses: Sender<(u64, Response)>,
    },
    /// A client sent a request.
    Request(ClientRequest),
    /// Another process of a hot restart has admitted a request with this id.
    RequestAdmittedElsewhere(u64),
    /// Send this channel all known request ids, and from then on each new one.
    FollowRequestIds(Sender<u64>),
    /// A client cancelled one of its requests.
    CancelRequest(Origin),
    /// A frontend rejected a request itself; the rejection only has to be counted and audited.
    RejectedByFrontend {
        /// The class of the request.
        class: ClassId,
        /// What the client received.
        response: Response,
    },
    /// The client connection of this number closed.
    ClientDisconnected(u64),
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// A load probe of an engine ended.
    ProbeCompleted(ProbeOutcome),
    /// The endpoint list changed.
    EndpointList(EndpointListUpdate),
    /// New settings take effect for requests that arrive from now on.
    Reconfigure(Reconfiguration),
    /// The tenants and their quotas, from a new configuration or from the directory.
    Tenants(Vec<TenantSpec>),
    /// The tenant directory was read successfully.
    DirectoryRead,
    /// Reading the tenant directory failed.
    DirectoryFailed,
    /// The configuration was reloaded and is in force.
    ReloadSucceeded,
    /// The configuration could not be reloaded; the previous one stays in force.
    ReloadFailed,
    /// Print the counters on standard error.
    PrintCounters,
    /// The number of gateways that share the warm engines changed.
    ActiveGateways(u32),
    /// Send a load probe to an engine.
    Probe {
        /// The engine.
        engine: u64,
        /// The end of the lease under which the probe is sent on behalf of other gateways: it must
        /// not be sent from then on. `None` for a probe that the decision module requested.
        deadline: Option<Micros>,
    },
    /// The lease holder of a probe published a result that the decision module had requested.
    SharedProbeResult {
        /// The engine that was probed.
        engine: u64,
        /// The result of the probe.
        result: ProbeResult,
    },
    /// This gateway acquired a lease or lost one.
    LeaseChanged {
        /// The resource of the lease.
        resource: Resource,
        /// Its fencing token.
        token: FencingToken,
        /// Whether it is held now.
        held: bool,
    },
    /// A shutdown began: the process exits once every request has its response.
    Shutdown,
}
