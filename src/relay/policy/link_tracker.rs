//! Tells from the outcomes of this host's own requests which backend servers do not answer it.
//!
//! Whether a server is gone or only this host's way to it is lost can't be told from one server. Servers of the same
//! service, availability zone and role usually fail one by one, so if several fall silent and none of their group
//! answers any more, the host's own links are suspected.

use {
    super::loads::EngineKey,
    crate::{engine::EngineRole, relay::backend::BackendInfo},
    faststr::FastStr,
    std::{collections::HashMap, time::Duration},
};

/// Number of servers without an answer from which on this host suspects its own links.
const SUSPICIOUS_SERVERS: u32 = 2;

/// Failures of one server within this time count once: requests in flight at the same time fail together.
const FAILURE_SPACING: Duration = Duration::from_millis(50);

/// Servers that tend to become unreachable together.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LinkGroup {
    service: FastStr,
    zone: FastStr,
    role: Option<EngineRole>,
}

impl LinkGroup {
    /// The group of a server.
    pub fn of(backend: &BackendInfo) -> Self {
        Self {
            service: backend.service.clone(),
            zone: backend.zone.clone(),
            role: backend.role,
        }
    }
}

// A server that has not answered directly since a request failed there.
#[derive(Debug)]
struct FailingLink {
    group: LinkGroup,
    since: Duration,
    failed_at: Duration,
    failures: u32,
}

#[derive(Debug, Default)]
struct GroupAnswers {
    answered_at: Option<Duration>,
    // Number of servers that have failed since then.
    failing: u32,
}

/// The servers that do not answer this host. Servers without failures take no memory, groups a few bytes each.
#[derive(Debug, Default)]
pub struct LinkTracker {
    links: HashMap<EngineKey, FailingLink>,
    groups: HashMap<LinkGroup, GroupAnswers>,
    answered_at: Option<Duration>,
    // Servers that have failed since the last answer of their group, and when the first of them did.
    failing: u32,
    failing_since: Duration,
}

impl LinkTracker {
    /// Records that a server answered a request that this host sent it directly.
    pub fn record_answer(&mut self, server: EngineKey, group: &LinkGroup, now: Duration) {
        self.answered_at = Some(now);
        match self.groups.get_mut(group) {
            Some(answers) => {
                answers.answered_at = Some(now);
                self.failing -= std::mem::take(&mut answers.failing);
            }
            None => {
                let answers = GroupAnswers {
                    answered_at: Some(now),
                    failing: 0,
                };
                self.groups.insert(group.clone(), answers);
            }
        }
        self.links.remove(&server);
    }

    /// Records that a server could not be connected to, or left a direct request without an answer.
    pub fn record_failure(&mut self, server: EngineKey, group: &LinkGroup, now: Duration) {
        let answers = self.groups.entry(group.clone()).or_default();
        let link = self.links.entry(server).or_insert_with(|| FailingLink {
            group: group.clone(),
            since: now,
            failed_at: now,
            failures: 0,
        });
        let is_counted = link.failures > 0 && Some(link.failed_at) > answers.answered_at;
        if is_counted && now.saturating_sub(link.failed_at) < FAILURE_SPACING {
            return;
        }
        link.failures += 1;
        link.failed_at = now;
        if is_counted {
            return;
        }
        answers.failing += 1;
        if self.failing == 0 {
            self.failing_since = now;
        }
        self.failing += 1;
    }

    /// Forgets servers that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(EngineKey) -> bool) {
        let (groups, failing) = (&mut self.groups, &mut self.failing);
        self.links.retain(|server, link| {
            if is_listed(*server) {
                return true;
            }
            let answers = groups.entry(link.group.clone()).or_default();
            if Some(link.failed_at) > answers.answered_at {
                answers.failing -= 1;
                *failing -= 1;
            }
            false
        });
    }

    /// Whether this host suspects that it has lost its own links to a group of servers.
    pub fn suspects(&self, group: &LinkGroup) -> bool {
        let is_failing = self
            .groups
            .get(group)
            .is_some_and(|answers| answers.failing > 0);
        let is_silent = self.answered_at < Some(self.failing_since);
        self.failing >= SUSPICIOUS_SERVERS && (is_failing || is_silent)
    }

    /// The servers that have failed since their group last answered, and since when; empty if there are too few of them
    /// to suspect this host's own links.
    pub fn suspicious(&self) -> Vec<(EngineKey, Duration)> {
        if self.failing < SUSPICIOUS_SERVERS {
            return Vec::new();
        }
        let links = self.links.iter().filter(|(_, link)| {
            let answers = self.groups.get(&link.group);
            answers.is_some_and(|answers| Some(link.failed_at) > answers.answered_at)
        });
        links.map(|(server, link)| (*server, link.since)).collect()
    }

    /// When a server last answered this host directly.
    pub fn answered_at(&self) -> Option<Duration> {
        self.answered_at
    }
}
