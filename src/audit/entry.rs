//! The entries of the audit's files.
use super::{ActiveConfiguration, DecisionContext, DecisionKind};
use crate::clock::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// One entry of a file. The files number the variants and their fields by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The context of the records after it.
    Context(Box<ContextEntry>),
    /// A decision.
    Record {
        /// The number of the record in this incarnation, from 1.
        number: u64,
        /// When the decision was made, in microseconds of Unix time.
        at: Micros,
        /// What was decided.
        kind: DecisionKind,
        /// The name of the class; empty without one.
        class: Box<str>,
        /// The request or resource; empty without one.
        request: Box<str>,
    },
}

impl Entry {
    /// A record without class and request.
    pub(super) fn plain_record(number: u64, at: Micros, kind: DecisionKind) -> Entry {
        Entry::Record {
            number,
            at,
            kind,
            class: "".into(),
            request: "".into(),
        }
    }
}

/// [`DecisionContext`] as the files have it: postcard can't read flattened fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContextEntry {
    member: String,
    incarnation: u64,
    build: String,
    configuration: ActiveConfiguration,
    active_since: Micros,
}

impl From<&DecisionContext> for Entry {
    fn from(context: &DecisionContext) -> Entry {
        Entry::Context(Box::new(ContextEntry {
            member: context.member.clone(),
            incarnation: context.incarnation,
            build: context.build.clone(),
            configuration: context.configuration,
            active_since: context.active_since,
        }))
    }
}

impl From<ContextEntry> for DecisionContext {
    fn from(entry: ContextEntry) -> DecisionContext {
        DecisionContext {
            member: entry.member,
            incarnation: entry.incarnation,
            build: entry.build,
            configuration: entry.configuration,
            active_since: entry.active_since,
        }
    }
}

/// The position of a record among all of a manager, as text `INCARNATION.NUMBER`. The default is
/// before all records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordPosition {
    /// The incarnation of the process.
    pub incarnation: u64,
    /// The number of the record in it.
    pub number: u64,
}

impl RecordPosition {
    /// The position before all records.
    pub const START: RecordPosition = RecordPosition {
        incarnation: 0,
        number: 0,
    };
}

impl fmt::Display for RecordPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}.{}", self.incarnation, self.number)
    }
}

impl FromStr for RecordPosition {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<RecordPosition, ParseIntError> {
        let (incarnation, number) = text.split_once('.').unwrap_or((text, "0"));
        Ok(RecordPosition {
            incarnation: incarnation.parse()?,
            number: number.parse()?,
        })
    }
}
