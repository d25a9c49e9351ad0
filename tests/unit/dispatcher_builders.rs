//! Builders shared by the tests of the dispatcher.
use super::in_flight::InFlightRequest;
use super::termination::{Termination, TransmitProgress};
use super::{AttemptReply, AttemptResult, ClientRequest, Dispatcher};
use crate::clock::{Micros, SEC, micros, nanos};
use crate::config::settings;
use crate::policy::api::{
    AttemptNo, Endpoint, EndpointListKind, EngineId, Idempotency, Readiness, RequestId, Settings,
};

/// The seed of the decision module's random choices.
pub(super) const SEED: u64 = 7;

/// The names of the classes of the testkit's settings.
pub(super) const CLASS_NAMES: [&str; 3] = ["lookup", "report", "load"];

/// How often a request may be executed, independent of the code under test.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Repetition {
    /// Any number of times.
    #[default]
    Unlimited,
    /// Any number of times at any engine, with the idempotency key, within this time after the
    /// first attempt.
    WithKey(Micros),
    /// Once.
    Never,
}

/// A class in force, with what the tests expect of it.
#[derive(Clone)]
pub(super) struct ConfiguredClass {
    pub(super) name: String,
    pub(super) repetition: Repetition,
}

/// Settings, and the behavior that the tests expect with them.
pub(super) struct Configuration {
    pub(super) settings: Settings,
    pub(super) classes: Vec<ConfiguredClass>,
    pub(super) max_attempts: u32,
    pub(super) max_concurrent_attempts: usize,
}

impl Configuration {
    /// One of several configurations. They differ in the maximum number of attempts (by the
    /// remainder of `variant` divided by 3), and by the bits of `variant` in hedging, in removed
    /// and added classes, and in how the requests of a class may be repeated.
    pub(super) fn variant(variant: u8) -> Configuration {
        let has_bit = |bit: u8| variant & bit > 0;
        let mut json = crate::testkit::daemon::settings();
        let max_attempts = 3 - u32::from(variant % 3);
        json["limits"]["send_cap"] = max_attempts.into();
        json["limits"]["second_copies"] = has_bit(64).into();
        let classes = json["classes"].as_array_mut().expect("a list of classes");
        if has_bit(32) {
            classes[2]["semantics"] = "token".into();
            classes[2]["window_ns"] = nanos(2 * SEC).into();
        }
        if has_bit(4) {
            classes[0]["semantics"] = "side_effect".into();
        }
        if has_bit(8) {
            let mut added = classes[1].clone();
            added["name"] = "report-next".into();
            added["semantics"] = "side_effect".into();
            classes.push(added);
        }
        if has_bit(16) {
            classes.remove(1);
        }
        let classes = classes.iter().map(configured_class).collect();
        Configuration {
            settings: parse(&json),
            classes,
            max_attempts,
            max_concurrent_attempts: if has_bit(64) { 2 } else { 1 },
        }
    }

    pub(super) fn class_names(&self) -> Vec<String> {
        self.classes
            .iter()
            .map(|class| class.name.clone())
            .collect()
    }
}

fn configured_class(json: &serde_json::Value) -> ConfiguredClass {
    let repetition = match json["semantics"].as_str().expect("the semantics") {
        "side_effect" => Repetition::Never,
        "token" => Repetition::WithKey(micros(json["window_ns"].as_u64().expect("a window"))),
        _ => Repetition::Unlimited,
    };
    ConfiguredClass {
        name: json["name"].as_str().expect("a name").to_owned(),
        repetition,
    }
}

/// Parses settings from JSON.
pub(super) fn parse(json: &serde_json::Value) -> Settings {
    settings::parse(json.to_string().as_bytes()).expect("valid settings")
}

/// An endpoint with this id.
pub(super) fn endpoint(id: u64, readiness: Readiness) -> Endpoint {
    Endpoint {
        id: EngineId(id),
        readiness,
        weight: 1.0,
        ..Endpoint::default()
    }
}

/// A dispatcher at time [`SEC`] with the ready endpoints 1, 2 and 3.
pub(super) fn dispatcher(settings: Settings, class_names: &[String]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(SEC, settings, class_names, SEED);
    let endpoints = (1..=3).map(|id| endpoint(id, Readiness::Ready)).collect();
    dispatcher.update_endpoints(SEC, EndpointListKind::Cached, endpoints, &mut Vec::new());
    dispatcher
}

/// A dispatcher whose third class is idempotent by key within this window, and whose engines
/// support priorities and report costs.
pub(super) fn dispatcher_with_keyed_loads(window: Micros) -> Dispatcher {
    let mut json = crate::testkit::daemon::settings();
    json["classes"][2]["semantics"] = "token".into();
    json["classes"][2]["window_ns"] = nanos(window).into();
    json["extra"]["ranks_heeded"] = true.into();
    json["extra"]["says_cost"] = true.into();
    dispatcher(parse(&json), &CLASS_NAMES.map(str::to_owned))
}

/// The result of an attempt whose engine sent no reply.
pub(super) fn result_without_reply(
    id: RequestId,
    attempt: AttemptNo,
    termination: Termination,
    progress: TransmitProgress,
) -> AttemptResult {
    AttemptResult {
        id,
        attempt,
        termination,
        progress,
        reply: AttemptReply::default(),
    }
}

/// A request without attempts, with a limit of 5 attempts.
pub(super) fn in_flight_request(
    idempotency: Idempotency,
    max_concurrent_attempts: usize,
) -> InFlightRequest {
    InFlightRequest::new(
        ClientRequest::default(),
        idempotency,
        5,
        max_concurrent_attempts,
    )
}
