//! The version of a backend server's software.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The version of a backend server's software, which is not that of its model's weights. What two versions write of one
/// stream does not fit together.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "Option<FastStr>", into = "Option<FastStr>")]
pub enum SoftwareVersion {
    /// Not known: the entry came through a host that does not pass versions on.
    #[default]
    Unknown,
    /// The entry names no version.
    Unnamed,
    /// The entry names this version.
    Named(FastStr),
}

impl SoftwareVersion {
    /// The version with this name; an empty name is none.
    pub fn of_name(name: FastStr) -> Self {
        match name.is_empty() {
            true => Self::Unnamed,
            false => Self::Named(name),
        }
    }

    /// Whether it is known what the server's entry says.
    pub fn is_known(&self) -> bool {
        *self != Self::Unknown
    }

    /// Whether a server of this version may continue a stream that one of `other` began. Two servers of an unknown version
    /// may differ.
    pub fn continues(&self, other: &Self) -> bool {
        self.is_known() && self == other
    }

    /// Estimate of the memory of its name, in bytes.
    pub fn name_bytes(&self) -> usize {
        match self {
            Self::Named(name) => name.len(),
            Self::Unknown | Self::Unnamed => 0,
        }
    }
}

impl From<Option<FastStr>> for SoftwareVersion {
    fn from(name: Option<FastStr>) -> Self {
        name.map_or(Self::Unknown, Self::of_name)
    }
}

impl From<SoftwareVersion> for Option<FastStr> {
    fn from(version: SoftwareVersion) -> Self {
        match version {
            SoftwareVersion::Unknown => None,
            SoftwareVersion::Unnamed => Some(FastStr::empty()),
            SoftwareVersion::Named(name) => Some(name),
        }
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unknown => "unknown",
            Self::Unnamed => "unnamed",
            Self::Named(name) => name,
        })
    }
}
