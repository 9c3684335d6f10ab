//! The version of a backend server's software.

use {
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// The version of a backend server's software, which is not that of its model's weights. What two versions write of one
/// stream does not fit together.
///
/// It is not known if the server's entry came through a host that does not pass versions on. An entry may also name none,
/// which counts as a version of its own.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "Option<FastStr>", into = "Option<FastStr>")]
pub struct SoftwareVersion(
    // `None` if it is not known, an empty name if the entry names none. Thousands of servers have one of a few names.
    Option<Arc<FastStr>>,
);

impl SoftwareVersion {
    /// The version with this name; an empty name if the entry names none.
    pub fn of_name(name: FastStr) -> Self {
        Self(Some(Arc::new(name)))
    }

    /// The version of servers whose entries name none.
    pub fn unnamed() -> Self {
        Self::of_name(FastStr::empty())
    }

    /// Whether it is known what the server's entry says.
    pub fn is_known(&self) -> bool {
        self.0.is_some()
    }

    /// Its name, empty if the entry names none; `None` if it is not known.
    pub fn name(&self) -> Option<&str> {
        self.0.as_ref().map(|name| name.as_str())
    }

    /// Whether a server of this version may continue a stream that one of `other` began. Two servers of an unknown version
    /// may differ.
    pub fn continues(&self, other: &Self) -> bool {
        self.is_known() && self == other
    }
}

impl From<Option<FastStr>> for SoftwareVersion {
    fn from(name: Option<FastStr>) -> Self {
        Self(name.map(Arc::new))
    }
}

impl From<SoftwareVersion> for Option<FastStr> {
    fn from(version: SoftwareVersion) -> Self {
        version.0.map(|name| FastStr::clone(&name))
    }
}

/// The servers of a service that have one version of its software.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerSoftware {
    /// The service.
    pub service: FastStr,
    /// The version of its servers' software.
    pub software: SoftwareVersion,
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.name() {
            None => "unknown",
            Some("") => "unnamed",
            Some(name) => name,
        })
    }
}
