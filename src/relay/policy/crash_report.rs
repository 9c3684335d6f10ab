//! The records of crashed server runs that hosts exchange. They hold digests, hashes and ages, and nothing of the
//! contents of requests.

use {
    super::{crash_suspect::CrashSuspect, findings_cache::CacheUpdates, loads::EngineKey},
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The crash of one server run that counts against a suspect, as sent to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEntry {
    /// The server run.
    pub run: EngineKey,
    /// How long ago it crashed.
    pub age: Duration,
    /// The suspect has run well since.
    pub is_excused: bool,
}

/// A host's record of one suspect, as sent to other hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The digest of the suspect.
    pub digest: u128,
    /// Whether the suspect is a part of prompts.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_part: bool,
    /// The server runs that crashed while they were running it.
    #[serde(rename = "ends")]
    pub crashes: Vec<CrashEntry>,
    /// How long ago each trial was.
    pub trials: Vec<Duration>,
    /// How long ago the suspect was last seen.
    pub seen: Duration,
}

impl CrashReport {
    /// What the crashes count against.
    pub fn suspect(&self) -> CrashSuspect {
        CrashSuspect::from_wire(self.digest, self.is_part)
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A fatal request or prompt part, as kept in a host's store entry so that it survives a restart of all hosts at once.
///
/// It has no ages, since no host's clock survives such a restart. Its crashes and trials count as having happened when
/// it is read, so the next trial comes later by at most the time since they happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVerdict {
    /// The digest in hexadecimal, since readers of the store may not support 128-bit integers.
    pub digest: FastStr,
    /// Whether it is a part of prompts.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_part: bool,
    /// Hashes of the server runs that crashed.
    pub runs: Vec<u32>,
    /// The number of trials so far.
    pub trials: u8,
}

impl StoredVerdict {
    /// The stored form of a record; excused crashes are left out.
    pub fn of(report: &CrashReport) -> Self {
        let counted = report.crashes.iter().filter(|crash| !crash.is_excused);
        Self {
            digest: FastStr::from_string(format!("{:032x}", report.digest)),
            is_part: report.is_part,
            runs: counted.map(|crash| crash.run.0).collect(),
            trials: report.trials.len() as u8,
        }
    }

    /// The record, with all ages zero; `None` if the digest is not valid hexadecimal.
    pub fn report(&self) -> Option<CrashReport> {
        let digest = u128::from_str_radix(&self.digest, 16).ok()?;
        let crashes = self.runs.iter().map(|run| CrashEntry {
            run: EngineKey(*run),
            age: Duration::ZERO,
            is_excused: false,
        });
        Some(CrashReport {
            digest,
            is_part: self.is_part,
            crashes: crashes.collect(),
            trials: vec![Duration::ZERO; usize::from(self.trials)],
            seen: Duration::ZERO,
        })
    }
}

/// The records of a [`CrashTracker`](super::crash_tracker::CrashTracker) that a peer lacks.
pub type CrashUpdates = CacheUpdates<CrashReport>;
