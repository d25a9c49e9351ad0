//! The assignment of statements to classes.
use super::{ClassRuleConfig, ClickHouseConfig, ClickHouseConfigError};
use crate::config::process::Names;
use crate::policy::api::ClassId;
use crate::statement;

/// A rule with the id of its class in the settings.
struct ClassRule {
    conditions: ClassRuleConfig,
    class: ClassId,
}

impl ClassRule {
    fn matches(&self, user: &str, words: &[&[u8]]) -> bool {
        let conditions = &self.conditions;
        let is_any_of = |word: &[u8], list: &[String]| {
            list.iter()
                .any(|item| word.eq_ignore_ascii_case(item.as_bytes()))
        };
        let first_word_matches = conditions.first_words.is_empty()
            || words
                .first()
                .is_some_and(|word| is_any_of(word, &conditions.first_words));
        let any_word_matches = conditions.words.is_empty()
            || words.iter().any(|word| is_any_of(word, &conditions.words));
        let user_matches =
            conditions.users.is_empty() || conditions.users.iter().any(|name| name == user);
        first_word_matches && any_word_matches && user_matches
    }
}

/// The rules that assign statements to classes, and the default class.
pub struct ClassRules {
    rules: Vec<ClassRule>,
    default_class: ClassId,
}

impl ClassRules {
    /// Creates the rules of a deploy file.
    ///
    /// # Errors
    ///
    /// Fails if a class is not among `names`.
    pub fn new(
        config: &ClickHouseConfig,
        names: &Names,
    ) -> Result<ClassRules, ClickHouseConfigError> {
        let class_id = |name: &str| {
            names
                .class(name)
                .ok_or_else(|| ClickHouseConfigError::UnknownClass {
                    name: name.to_owned(),
                })
        };
        let rule = |conditions: &ClassRuleConfig| {
            Ok(ClassRule {
                conditions: conditions.clone(),
                class: class_id(&conditions.name)?,
            })
        };
        Ok(ClassRules {
            rules: config
                .class_rules
                .iter()
                .map(rule)
                .collect::<Result<_, _>>()?,
            default_class: class_id(&config.default_class)?,
        })
    }

    /// Replaces the ids of the rules' classes, after a reload has assigned new ones.
    pub fn renumbered(mut self, new_id: impl Fn(ClassId) -> ClassId) -> ClassRules {
        for rule in &mut self.rules {
            rule.class = new_id(rule.class);
        }
        self.default_class = new_id(self.default_class);
        self
    }

    /// The class of a user's statement: that of the first rule that matches, otherwise the default.
    /// If engines may read the statement in several ways, a rule that matches one of them suffices.
    pub fn class(&self, user: &str, statement: &[u8]) -> ClassId {
        let readings = statement::readings(statement);
        let matches = |rule: &&ClassRule| readings.iter().any(|words| rule.matches(user, words));
        self.rules
            .iter()
            .find(matches)
            .map_or(self.default_class, |rule| rule.class)
    }
}
