//! The metrics as operators' scrapers read them: one a line, `name:value|kind`.
use crate::dispatcher::metrics::{ClassMetrics, MetricsSnapshot};
use crate::dispatcher::rejection::RejectionKey;
use std::fmt;

/// The kind of a metric, by its letter in the text.
#[derive(Clone, Copy)]
enum Kind {
    /// It only increases.
    Counter,
    /// A current value.
    Gauge,
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Kind::Counter => "c",
            Kind::Gauge => "g",
        })
    }
}

/// All metrics, one a line. This is the only table of their names.
pub fn metrics_text(snapshot: &MetricsSnapshot) -> String {
    let class_lines = snapshot
        .classes
        .iter()
        .map(|(class, metrics)| class_lines(class, metrics));
    let rejection_lines = snapshot
        .rejections
        .iter()
        .map(|(key, count)| rejection_line(key, *count));
    class_lines
        .chain([process_lines(snapshot)])
        .chain(rejection_lines)
        .collect()
}

fn class_lines(class: &str, metrics: &ClassMetrics) -> String {
    let ClassMetrics {
        success,
        overload,
        error,
    } = metrics;
    [
        ("success", success),
        ("overload", overload),
        ("error", error),
    ]
    .map(|(name, count)| format!("app.replies.{class}.{name}:{count}|{}\n", Kind::Counter))
    .concat()
}

/// The tenant is its place in the list of the settings, or `-` where it was not known.
fn rejection_line(key: &RejectionKey, count: u64) -> String {
    let (class, tenant, cause) = (&key.class, key.tenant_text(), key.cause.as_str());
    format!(
        "app.rejections.{class}.{tenant}.{cause}:{count}|{}\n",
        Kind::Counter
    )
}

fn process_lines(snapshot: &MetricsSnapshot) -> String {
    [
        ("dispatches", snapshot.dispatches, Kind::Counter),
        ("concurrent", snapshot.concurrent, Kind::Gauge),
        ("targets", snapshot.targets, Kind::Gauge),
        ("targets_disabled", snapshot.targets_disabled, Kind::Gauge),
        ("reload_success", snapshot.reload_success, Kind::Counter),
        ("reload_failure", snapshot.reload_failure, Kind::Counter),
        ("actor_panics", snapshot.actor_panics, Kind::Counter),
        (
            "client_connections",
            snapshot.client_connections,
            Kind::Gauge,
        ),
    ]
    .map(|(name, value, kind)| format!("app.{name}:{value}|{kind}\n"))
    .concat()
}
