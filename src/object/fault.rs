//! What is wrong with an object.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A fault in one field of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectFault {
    /// Kind of the object.
    pub kind: FastStr,
    /// Name of the object.
    pub name: FastStr,
    /// The field, as a path of names.
    pub field: FastStr,
    /// What is wrong with it and what was expected.
    pub problem: String,
}

impl fmt::Display for ObjectFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            name,
            field,
            problem,
        } = self;
        write!(f, "{kind}/{name}: {field}: {problem}")
    }
}
