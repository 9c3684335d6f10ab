//! What hosts tell each other of requests under which backend servers ended: digests, hashes and ages, nothing of the
//! requests themselves.

use {
    super::{digest::RequestDigest, findings_cache::CacheUpdates, loads::EngineKey},
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The end of one run of a backend server under a request, as it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndMark {
    /// The run.
    pub run: EngineKey,
    /// How long ago it ended.
    pub age: Duration,
    /// The request has run well since.
    pub is_excused: bool,
}

/// What a host knows of one request, as it is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// The request.
    pub digest: RequestDigest,
    /// The runs of backend servers that ended under it.
    pub ends: Vec<EndMark>,
    /// How long ago each trial of it was.
    pub trials: Vec<Duration>,
    /// How long ago it last came.
    pub seen: Duration,
}

/// A request that is held to end its servers, as a host's entry in the store keeps it for hosts that all start at once.
///
/// Without ages, since no clock outlives them all: its trials are as of when it is read, at worst that much later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptJudgement {
    /// The request's digest in hex: the store's readers need not know numbers of this size.
    pub digest: FastStr,
    /// Hashes of the runs that ended.
    pub runs: Vec<u32>,
    /// How often it was tried.
    pub trials: u8,
}

impl KeptJudgement {
    /// The judgement that a mark shows.
    pub fn of(mark: &CrashMark) -> Self {
        let counted = mark.ends.iter().filter(|end| !end.is_excused);
        Self {
            digest: FastStr::from_string(format!("{:032x}", mark.digest.0)),
            runs: counted.map(|end| end.run.0).collect(),
            trials: mark.trials.len() as u8,
        }
    }

    /// The mark of this judgement, as of now; none where its digest is not one.
    pub fn mark(&self) -> Option<CrashMark> {
        let digest = u128::from_str_radix(&self.digest, 16).ok()?;
        let ends = self.runs.iter().map(|run| EndMark {
            run: EngineKey(*run),
            age: Duration::ZERO,
            is_excused: false,
        });
        Some(CrashMark {
            digest: RequestDigest(digest),
            ends: ends.collect(),
            trials: vec![Duration::ZERO; usize::from(self.trials)],
            seen: Duration::ZERO,
        })
    }
}

/// What an asker lacks of a book of requests that end their servers.
pub type CrashNews = CacheUpdates<CrashMark>;
