//! What is wrong with a settings file.

use std::fmt;

/// A fault in one key of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// The file, as it was named.
    pub file: String,
    /// The section; empty when the file as a whole is meant.
    pub section: String,
    /// The key; empty when the section as a whole is meant.
    pub key: String,
    /// What is wrong and what was expected.
    pub problem: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " {}", self.problem)
    }
}

impl std::error::Error for SettingsFault {}
