//! Selectors over labels, in the form that the Kubernetes API conventions publish.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Labels of an object or a backend server.
pub type LabelMap = BTreeMap<FastStr, FastStr>;

/// Picks whatever meets all of its terms; one without terms is refused by the checks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct LabelSelector {
    /// Labels that have to have exactly these values.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub match_labels: LabelMap,
    /// Further terms.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub match_expressions: Vec<LabelTerm>,
}

/// One term over one label.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LabelTerm {
    /// The label's name.
    pub key: FastStr,
    /// What is asked of it.
    pub operator: TermOperator,
    /// The values that `In` and `NotIn` speak of.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub values: Vec<FastStr>,
}

/// What a term asks of a label.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TermOperator {
    /// The label has one of the values.
    In,
    /// The label is absent or has none of the values.
    NotIn,
    /// The label is there.
    Exists,
    /// The label is absent.
    DoesNotExist,
}

impl TermOperator {
    /// Whether a term with this operator names values.
    pub fn takes_values(self) -> bool {
        matches!(self, Self::In | Self::NotIn)
    }
}

impl LabelTerm {
    fn matches(&self, labels: &LabelMap) -> bool {
        let value = labels.get(&self.key);
        match self.operator {
            TermOperator::In => value.is_some_and(|value| self.values.contains(value)),
            TermOperator::NotIn => value.is_none_or(|value| !self.values.contains(value)),
            TermOperator::Exists => value.is_some(),
            TermOperator::DoesNotExist => value.is_none(),
        }
    }
}

impl LabelSelector {
    /// A selector of one exact label.
    pub fn label(key: &str, value: &str) -> Self {
        Self {
            match_labels: LabelMap::from([(FastStr::new(key), FastStr::new(value))]),
            match_expressions: Vec::new(),
        }
    }

    /// Whether all terms are met.
    pub fn matches(&self, labels: &LabelMap) -> bool {
        let exact = self
            .match_labels
            .iter()
            .all(|(key, value)| labels.get(key) == Some(value));
        exact
            && self
                .match_expressions
                .iter()
                .all(|term| term.matches(labels))
    }

    /// Whether there are no terms.
    pub fn is_empty(&self) -> bool {
        self.match_labels.is_empty() && self.match_expressions.is_empty()
    }

    /// What is wrong with the selector, by field.
    pub fn problems(&self) -> Vec<(String, String)> {
        if self.is_empty() {
            let text = "selects nothing in particular; name a label".to_owned();
            return vec![(String::new(), text)];
        }
        let mut problems = Vec::new();
        for (index, term) in self.match_expressions.iter().enumerate() {
            let field = format!(".matchExpressions[{index}].values");
            if term.operator.takes_values() == term.values.is_empty() {
                let text = match term.operator.takes_values() {
                    true => format!("{:?} needs at least one value", term.operator),
                    false => format!("{:?} takes no values", term.operator),
                };
                problems.push((field, text));
            }
        }
        problems
    }
}
