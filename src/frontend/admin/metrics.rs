//! The text format of the metrics that operators' scrapers read: one metric per line,
//! `name:value|kind`.
use crate::dispatcher::metrics::{ClassMetrics, MetricsSnapshot};
use crate::dispatcher::rejection::RejectionKey;
use std::fmt;

/// The kind of a metric. `Display` writes its letter in the metrics text.
#[derive(Clone, Copy)]
enum MetricKind {
    /// A value that only increases.
    Counter,
    /// A current value.
    Gauge,
}

impl fmt::Display for MetricKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MetricKind::Counter => "c",
            MetricKind::Gauge => "g",
        })
    }
}

/// All metrics, one per line. Only this module defines their names.
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
    .map(|(name, count)| {
        format!(
            "app.replies.{class}.{name}:{count}|{}\n",
            MetricKind::Counter
        )
    })
    .concat()
}

/// The tenant is written as its index in the settings' list, or as `-` if it was unknown.
fn rejection_line(key: &RejectionKey, count: u64) -> String {
    let (class, tenant, cause) = (&key.class, key.tenant_text(), key.cause.as_str());
    format!(
        "app.rejections.{class}.{tenant}.{cause}:{count}|{}\n",
        MetricKind::Counter
    )
}

fn process_lines(snapshot: &MetricsSnapshot) -> String {
    [
        ("dispatches", snapshot.dispatches, MetricKind::Counter),
        ("concurrent", snapshot.concurrent, MetricKind::Gauge),
        ("targets", snapshot.targets, MetricKind::Gauge),
        (
            "targets_disabled",
            snapshot.targets_disabled,
            MetricKind::Gauge,
        ),
        (
            "reload_success",
            snapshot.reload_success,
            MetricKind::Counter,
        ),
        (
            "reload_failure",
            snapshot.reload_failure,
            MetricKind::Counter,
        ),
        ("actor_panics", snapshot.actor_panics, MetricKind::Counter),
        (
            "client_connections",
            snapshot.client_connections,
            MetricKind::Gauge,
        ),
    ]
    .map(|(name, value, kind)| format!("app.{name}:{value}|{kind}\n"))
    .concat()
}
