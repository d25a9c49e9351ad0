//! The settings and the deploy file of a manager, by the kind of its settings.
use super::plan::SettingsKind;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use yokelift::testkit::clients::SustainedClass;
use yokelift::testkit::daemon::settings;

/// The user of the ClickHouse frontend.
pub(crate) const USER: &str = "anna";
/// The user's key.
pub(crate) const KEY: &str = "secret";
/// The tenant of all requests.
pub(crate) const TENANT: &str = "billing-desk";
const NANOS_PER_SECOND: f64 = 1e9;
/// Idle connections to engines are closed soon, so that descriptors can be counted at the end of a
/// run.
const KEEPALIVE_NANOS: u64 = 1_500_000_000;

impl SettingsKind {
    /// The deadlines of the three classes, in seconds.
    fn deadlines(self) -> [f64; 3] {
        match self {
            SettingsKind::OneShot => [6.0, 15.0, 25.0],
            SettingsKind::Keyed => [3.0, 10.0, 20.0],
            SettingsKind::ShortKeyed => [1.5, 3.0, 5.0],
            SettingsKind::LongDeadlines => [10.0, 25.0, 45.0],
        }
    }

    fn key_window_nanos(self) -> Option<u64> {
        match self {
            SettingsKind::OneShot => None,
            SettingsKind::Keyed => Some(20_000_000_000),
            SettingsKind::ShortKeyed => Some(4_000_000_000),
            SettingsKind::LongDeadlines => Some(30_000_000_000),
        }
    }

    fn attempts(self) -> u64 {
        match self {
            SettingsKind::OneShot => 3,
            SettingsKind::ShortKeyed => 4,
            SettingsKind::Keyed | SettingsKind::LongDeadlines => 5,
        }
    }

    fn has_hedging(self) -> bool {
        matches!(self, SettingsKind::Keyed | SettingsKind::LongDeadlines)
    }

    /// Whether loads carry idempotency keys.
    pub(crate) fn has_keyed_loads(self) -> bool {
        self.key_window_nanos().is_some()
    }

    /// The longest deadline.
    pub(crate) fn longest_deadline(self) -> Duration {
        Duration::from_secs_f64(self.deadlines().into_iter().fold(0.0, f64::max))
    }

    /// The daemon's settings.
    pub(crate) fn settings(self) -> Value {
        let mut settings = settings();
        for (index, seconds) in self.deadlines().into_iter().enumerate() {
            let nanos = (seconds * NANOS_PER_SECOND) as u64;
            settings["classes"][index]["deadline_ns"] = json!(nanos);
        }
        if let Some(window) = self.key_window_nanos() {
            settings["classes"][2]["semantics"] = json!("token");
            settings["classes"][2]["window_ns"] = json!(window);
            settings["extra"]["says_cost"] = json!(true);
        }
        settings["limits"]["second_copies"] = json!(self.has_hedging());
        settings["limits"]["send_cap"] = json!(self.attempts());
        settings["limits"]["keepalive_ns"] = json!(KEEPALIVE_NANOS);
        settings
    }

    /// The classes of the clients of the platform's protocol.
    pub(crate) fn rpc_classes(self) -> Vec<SustainedClass> {
        let mut classes = self.http_classes();
        classes[2].is_keyed = self.has_keyed_loads();
        classes
    }

    /// The classes of the clients of the ClickHouse interface, which has no idempotency keys.
    pub(crate) fn http_classes(self) -> Vec<SustainedClass> {
        let class = |name, statement| SustainedClass {
            name,
            statement,
            is_keyed: false,
        };
        vec![
            class("lookup", "SELECT 1 FROM sales_17.orders"),
            class("report", "SELECT count() FROM sales_18.orders GROUP BY 1"),
            class("load", "INSERT INTO sales_19.orders SELECT 1"),
        ]
    }
}

/// The deploy file, which configures the ClickHouse frontend.
pub(crate) fn deploy_file(listen: SocketAddr) -> String {
    format!(
        "listen = \"{listen}\"\nusual_class = \"lookup\"\n\
         [[class]]\nname = \"load\"\nbegins = [\"insert\"]\n\
         [[class]]\nname = \"report\"\nholds = [\"group\", \"join\"]\n\
         [[user]]\nname = \"{USER}\"\nkey = \"{KEY}\"\ntenant = \"{TENANT}\"\n"
    )
}
