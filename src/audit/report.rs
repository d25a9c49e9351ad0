//! The audit of several managers side by side: who acted on what, where the fleet disagrees, and
//! how long each change took to spread. Pure: records and views in, figures and text out.
use super::store::{AuditRecord, Line};
use crate::clock::{MS, Micros, SEC};
use crate::membership::{MemberState, RunningVersions};
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// A member as one manager sees it: a line of `GET /fleet`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// Whether it is the manager that was asked.
    #[serde(rename = "self")]
    pub me: bool,
    /// Its name.
    pub name: String,
    /// What it is taken to be.
    pub health: MemberState,
    /// What it says it acts on.
    pub versions: RunningVersions,
}

/// What one manager answered.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct NodeReport {
    /// Where it was asked.
    pub addr: String,
    /// Its view of the fleet; this manager first.
    pub fleet: Vec<Seen>,
    /// Its records.
    pub records: Vec<Line>,
    /// Frames of its files that could not be read.
    pub spoilt: u64,
    /// What could not be had of it.
    pub missing: Vec<String>,
}

impl NodeReport {
    /// The manager's name: its own word, or that of its records.
    pub fn name(&self) -> &str {
        let seen = self.fleet.iter().find(|s| s.me).map(|s| s.name.as_str());
        seen.or(self.records.first().map(|r| r.under.member.as_str()))
            .unwrap_or(&self.addr)
    }
}

/// What one process of a manager did while it acted on one thing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ActivityInterval {
    /// The manager.
    pub member: String,
    /// Its process.
    pub life: u64,
    /// Its build.
    pub build: String,
    /// Its count of settings generations.
    pub generation: u64,
    /// The hash of the settings.
    pub settings: u64,
    /// The list version.
    pub list: u64,
    /// Since when it acted on them.
    pub since: Micros,
    /// Its last record under them.
    pub last: Micros,
    /// Attempts that it ordered.
    pub dispatched: u64,
    /// Requests that it refused.
    pub refused: u64,
    /// Requests that it failed.
    pub failed: u64,
    /// Records that are lost.
    pub lost: u64,
}

/// Something on which the managers that were asked are not one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Disagreement {
    /// On what.
    pub about: String,
    /// Who says what.
    pub held: BTreeMap<String, Vec<String>>,
}

/// How a change came to the managers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PropagationDelay {
    /// What changed, and to what.
    pub change: String,
    /// When the first manager acted on it.
    pub first: Micros,
    /// How long after that each manager did.
    pub after: BTreeMap<String, Micros>,
    /// Those that never did.
    pub never: Vec<String>,
}

/// Who owned a duty, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LeaseInterval {
    /// The duty.
    pub duty: String,
    /// The lease's token.
    pub token: u64,
    /// The manager.
    pub member: String,
    /// From when.
    pub from: Micros,
    /// Until when; not known of one that did not come to say so.
    pub until: Option<Micros>,
}

/// All of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Who owned each duty, by its tokens.
    pub owned: Vec<LeaseInterval>,
    /// A row for each thing that a process acted on, the latest last.
    pub acted: Vec<ActivityInterval>,
    /// Where the fleet is not one.
    pub disagreements: Vec<Disagreement>,
    /// How changes spread.
    pub spreads: Vec<PropagationDelay>,
    /// What could not be had, a line each.
    pub missing: Vec<String>,
}

/// The report on what several managers answered.
pub fn report(all: &[NodeReport]) -> Report {
    let acted: Vec<ActivityInterval> = all.iter().flat_map(|one| acted(&one.records)).collect();
    let mut missing = Vec::new();
    for one in all {
        missing.extend(
            one.missing
                .iter()
                .map(|what| format!("{}: {what}", one.name())),
        );
        if one.spoilt > 0 {
            missing.push(format!("{}: {} spoilt records", one.name(), one.spoilt));
        }
    }
    let spreads = spreads(
        &acted,
        &all.iter().map(NodeReport::name).collect::<Vec<_>>(),
    );
    Report {
        owned: owned(all),
        disagreements: disagreements(all),
        spreads,
        missing,
        acted,
    }
}

fn acted(records: &[Line]) -> Vec<ActivityInterval> {
    let mut rows: Vec<ActivityInterval> = Vec::new();
    for Line {
        under, at, told, ..
    } in records
    {
        let same = |row: &&mut ActivityInterval| {
            (row.life, row.since) == (under.life, under.since) && row.member == under.member
        };
        let row = match rows.last_mut().filter(same) {
            Some(row) => row,
            None => {
                rows.push(ActivityInterval {
                    member: under.member.clone(),
                    life: under.life,
                    build: under.build.clone(),
                    generation: under.acting.generation,
                    settings: under.acting.settings,
                    list: under.acting.list,
                    since: under.since,
                    last: *at,
                    dispatched: 0,
                    refused: 0,
                    failed: 0,
                    lost: 0,
                });
                rows.last_mut().expect("just put there")
            }
        };
        row.last = *at;
        match told {
            AuditRecord::Dispatch { .. } => row.dispatched += 1,
            AuditRecord::Refuse { .. } => row.refused += 1,
            AuditRecord::Fail => row.failed += 1,
            AuditRecord::Lost { count } => row.lost += count,
            AuditRecord::Act | AuditRecord::Own { .. } | AuditRecord::Disown { .. } => {}
        }
    }
    rows
}

fn owned(all: &[NodeReport]) -> Vec<LeaseInterval> {
    let mut rows: BTreeMap<(String, u64, String), LeaseInterval> = BTreeMap::new();
    for line in all.iter().flat_map(|one| &one.records) {
        let row = |token: u64| (line.request.to_string(), token, line.under.member.clone());
        match line.told {
            AuditRecord::Own { token } => {
                let (duty, token, member) = row(token);
                let owned = LeaseInterval {
                    duty,
                    token,
                    member,
                    from: line.at,
                    until: None,
                };
                rows.insert(row(token), owned);
            }
            AuditRecord::Disown { token } => {
                rows.get_mut(&row(token))
                    .into_iter()
                    .for_each(|owned| owned.until = Some(line.at));
            }
            _ => {}
        }
    }
    rows.into_values().collect()
}

/// Where managers act on different things now, by their own word, or see different members.
fn disagreements(all: &[NodeReport]) -> Vec<Disagreement> {
    type Word = (&'static str, fn(&RunningVersions) -> String);
    let words: [Word; 3] = [
        ("build", |v| v.build.clone()),
        ("settings", |v| format!("{:016x}", v.settings)),
        ("list", |v| v.list.to_string()),
    ];
    let mut found = Vec::new();
    let mut add = |about: String, said: Vec<(String, String)>| {
        let mut held: BTreeMap<String, Vec<String>> = BTreeMap::new();
        said.into_iter()
            .for_each(|(who, what)| held.entry(what).or_default().push(who));
        if held.len() > 1 {
            found.push(Disagreement { about, held });
        }
    };
    let mine = || all.iter().filter_map(|one| one.fleet.iter().find(|s| s.me));
    for (about, word) in words {
        add(
            about.into(),
            mine()
                .map(|s| (s.name.clone(), word(&s.versions)))
                .collect(),
        );
    }
    let members: BTreeSet<&str> = all
        .iter()
        .flat_map(|one| one.fleet.iter().map(|s| s.name.as_str()))
        .collect();
    for member in members {
        let seen = |one: &NodeReport| match one.fleet.iter().find(|s| s.name == member) {
            Some(seen) if seen.me => None,
            Some(seen) => Some(format!("{:?}", seen.health)),
            None if one.fleet.is_empty() => None,
            None => Some("unknown".into()),
        };
        let said = all
            .iter()
            .filter_map(|one| Some((one.name().to_owned(), seen(one)?)));
        add(format!("health of {member}"), said.collect());
    }
    found
}

/// Each change of settings or of the list that some process took while it ran, and when it came to
/// each manager.
fn spreads(acted: &[ActivityInterval], members: &[&str]) -> Vec<PropagationDelay> {
    let mut settings: BTreeSet<u64> = BTreeSet::new();
    let mut lists: BTreeSet<u64> = BTreeSet::new();
    for pair in acted
        .windows(2)
        .filter(|p| p[0].member == p[1].member && p[0].life == p[1].life)
    {
        if pair[0].settings != pair[1].settings {
            settings.insert(pair[1].settings);
        }
        if pair[0].list < pair[1].list {
            lists.insert(pair[1].list);
        }
    }
    let spread = |change: String, took: &dyn Fn(&ActivityInterval) -> bool| {
        let mut when: BTreeMap<&str, Micros> = BTreeMap::new();
        for row in acted.iter().filter(|row| took(row)) {
            let at = when.entry(&row.member).or_insert(row.since);
            *at = (*at).min(row.since);
        }
        let first = when.values().copied().min().unwrap_or(0);
        let never = members
            .iter()
            .filter(|m| !when.contains_key(**m))
            .map(|m| (*m).to_owned())
            .collect();
        let after = when
            .into_iter()
            .map(|(m, at)| (m.to_owned(), at - first))
            .collect();
        PropagationDelay {
            change,
            first,
            after,
            never,
        }
    };
    let settings = settings
        .into_iter()
        .map(|hash| spread(format!("settings {hash:016x}"), &|row| row.settings == hash));
    let lists = lists
        .into_iter()
        .map(|list| spread(format!("list {list}"), &|row| row.list >= list));
    let mut all: Vec<PropagationDelay> = settings.chain(lists).collect();
    all.sort_by_key(|spread| spread.first);
    all
}

/// The edges of the histogram's bins.
const BINS: [(Micros, &str); 5] = [
    (10 * MS, "up to 10 ms"),
    (100 * MS, "up to 100 ms"),
    (SEC, "up to 1 s"),
    (10 * SEC, "up to 10 s"),
    (Micros::MAX, "later"),
];

impl PropagationDelay {
    /// How many managers took the change within each bin, and how many never did.
    pub fn bins(&self) -> Vec<(&'static str, usize)> {
        let mut from = 0;
        let mut bins: Vec<(&'static str, usize)> = Vec::new();
        for (edge, name) in BINS {
            let within = |after: &&Micros| **after <= edge && (from == 0 || **after > from);
            bins.push((name, self.after.values().filter(within).count()));
            from = edge;
        }
        bins.push(("never", self.never.len()));
        bins
    }
}

impl Report {
    /// The report as operators read it.
    pub fn text(&self) -> String {
        let mut out = String::new();
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
        let start = self.acted.iter().map(|row| row.since).min().unwrap_or(0);
        for row in &self.acted {
            table.add_row([
                row.member.clone(),
                row.life.to_string(),
                row.build.clone(),
                row.generation.to_string(),
                format!("{:016x}", row.settings),
                row.list.to_string(),
                format!("+{:.3} s", (row.since - start) as f64 / SEC as f64),
                format!(
                    "{:.3} s",
                    row.last.saturating_sub(row.since) as f64 / SEC as f64
                ),
                row.dispatched.to_string(),
                row.refused.to_string(),
                row.failed.to_string(),
                row.lost.to_string(),
            ]);
        }
        let _ = writeln!(out, "Who acted on what:\n{table}");
        match self.disagreements.is_empty() {
            true => out.push_str(
                "\nThe managers asked agree on build, settings, list and each other's health.\n",
            ),
            false => out.push_str("\nThe fleet is not one:\n"),
        }
        for Disagreement { about, held } in &self.disagreements {
            let held: Vec<String> = held
                .iter()
                .map(|(what, who)| format!("{what} ({})", who.join(", ")))
                .collect();
            let _ = writeln!(out, "- {about}: {}", held.join("; "));
        }
        if !self.owned.is_empty() {
            let mut table = Table::new();
            table
                .load_preset(ASCII_MARKDOWN)
                .set_header(["duty", "token", "member", "from", "held"]);
            for row in &self.owned {
                let held = row
                    .until
                    .map(|until| format!("{:.3} s", (until - row.from) as f64 / SEC as f64));
                table.add_row([
                    row.duty.clone(),
                    row.token.to_string(),
                    row.member.clone(),
                    format!(
                        "+{:.3} s",
                        row.from.saturating_sub(start) as f64 / SEC as f64
                    ),
                    held.unwrap_or_else(|| "not told to be over".into()),
                ]);
            }
            let _ = writeln!(out, "\nWho owned what:\n{table}");
        }
        for spread in &self.spreads {
            let _ = writeln!(
                out,
                "\nSpread of {}, over the managers asked:",
                spread.change
            );
            for (bin, count) in spread.bins() {
                let _ = writeln!(out, "{bin:>13} | {:<20} {count}", "#".repeat(count));
            }
        }
        for what in &self.missing {
            let _ = writeln!(out, "\nmissing: {what}");
        }
        out
    }
}
