//! The report as text for operators.
use super::{ActivityInterval, Disagreement, LeaseInterval, PropagationDelay, Report};
use crate::clock::{Micros, SEC};
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;

impl Report {
    /// Formats the report as tables, lists of disagreements and histograms.
    pub fn text(&self) -> String {
        let since = self.activity.iter().map(|interval| interval.since);
        let start = since.min().unwrap_or(0);
        let table = activity_table(&self.activity, start);
        let mut text = format!("Who acted on what:\n{table}\n");
        text.push_str(&disagreements_text(&self.disagreements));
        if !self.leases.is_empty() {
            let table = lease_table(&self.leases, start);
            text.push_str(&format!("\nWho owned what:\n{table}\n"));
        }
        for delay in &self.propagation {
            text.push_str(&histogram_text(delay));
        }
        for what in &self.missing {
            text.push_str(&format!("\nmissing: {what}\n"));
        }
        text
    }
}

fn seconds(duration: Micros) -> f64 {
    duration as f64 / SEC as f64
}

/// Formats a point in time as seconds after `start`.
fn offset_text(at: Micros, start: Micros) -> String {
    format!("+{:.3} s", seconds(at.saturating_sub(start)))
}

fn activity_table(activity: &[ActivityInterval], start: Micros) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "member",
        "life",
        "build",
        "gen",
        "settings",
        "list",
        "since",
        "held",
        "dispatched",
        "refused",
        "failed",
        "lost",
    ]);
    for interval in activity {
        let duration = interval.last_record_at.saturating_sub(interval.since);
        table.add_row([
            interval.member.clone(),
            interval.incarnation.to_string(),
            interval.build.clone(),
            interval.generation.to_string(),
            format!("{:016x}", interval.settings),
            interval.list.to_string(),
            offset_text(interval.since, start),
            format!("{:.3} s", seconds(duration)),
            interval.dispatched.to_string(),
            interval.rejected.to_string(),
            interval.failed.to_string(),
            interval.lost.to_string(),
        ]);
    }
    table
}

fn disagreements_text(disagreements: &[Disagreement]) -> String {
    if disagreements.is_empty() {
        return "\nThe managers asked agree on build, settings, list and each other's health.\n"
            .into();
    }
    let mut text = String::from("\nThe fleet is not one:\n");
    for disagreement in disagreements {
        let values: Vec<String> = disagreement
            .members_by_value
            .iter()
            .map(|(value, members)| format!("{value} ({})", members.join(", ")))
            .collect();
        let about = &disagreement.about;
        text.push_str(&format!("- {about}: {}\n", values.join("; ")));
    }
    text
}

fn lease_table(leases: &[LeaseInterval], start: Micros) -> Table {
    let mut table = Table::new();
    table
        .load_preset(ASCII_MARKDOWN)
        .set_header(["duty", "token", "member", "from", "held"]);
    for lease in leases {
        let duration = match lease.until {
            Some(until) => format!("{:.3} s", seconds(until - lease.from)),
            None => "not told to be over".into(),
        };
        table.add_row([
            lease.resource.clone(),
            lease.token.to_string(),
            lease.member.clone(),
            offset_text(lease.from, start),
            duration,
        ]);
    }
    table
}

fn histogram_text(delay: &PropagationDelay) -> String {
    let change = &delay.change;
    let mut text = format!("\nSpread of {change}, over the managers asked:\n");
    for bin in delay.histogram() {
        let bar = "#".repeat(bin.members);
        text.push_str(&format!("{:>13} | {bar:<20} {}\n", bin.label, bin.members));
    }
    text
}
