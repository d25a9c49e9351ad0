//! The entries of audit files.
use super::{ActiveConfiguration, DecisionContext, DecisionKind};
use crate::clock::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// One entry of a file. The files identify variants and fields by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The context of the records that follow.
    Context(Box<ContextEntry>),
    /// A decision.
    Record {
        /// The number of the record in this incarnation, counted from 1.
        number: u64,
        /// When the decision was made, in microseconds of Unix time.
        at: Micros,
        /// What was decided.
        kind: DecisionKind,
        /// The name of the class; empty if there is none.
        class: Box<str>,
        /// The request or the resource; empty if there is neither.
        request: Box<str>,
    },
}

impl Entry {
    /// Creates a record without a class and a request.
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

/// [`DecisionContext`] in the format of the files. Postcard can't read flattened fields, so this
/// type has none.
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

/// The position of a record among all records of a manager; as text `INCARNATION.NUMBER`. The
/// default is the position before all records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordPosition {
    /// The incarnation of the process.
    pub incarnation: u64,
    /// The number of the record in this incarnation.
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
