//! Tells from the outcomes of this host's own requests which backend servers it does not reach, and when to reach them
//! through another host.
//!
//! Whether a server is gone or only this host's link to it is lost can't be told from one server and one way. Servers of
//! the same service, availability zone and role usually fail one by one, so if several fall silent and none of their
//! group answers any more, the host's own links are suspected. A link counts as lost only once the server has answered
//! through another host.

use {
    super::loads::EngineKey,
    crate::{engine::EngineRole, relay::backend::BackendInfo},
    faststr::FastStr,
    std::{collections::HashMap, mem, time::Duration},
};

/// Number of servers without an answer from which on this host suspects its own links.
const SUSPICIOUS_SERVERS: u32 = 2;

/// Failures of one server within this time count once: requests in flight at the same time fail together.
const FAILURE_SPACING: Duration = Duration::from_millis(50);

/// Failures after which a server is reached through other hosts first.
const FAILURES_TO_AVOID: u32 = 2;

/// Failures through other hosts after which a server is reached directly first, as the other way is no better.
const CARRIED_FAILURES_MAX: u32 = 2;

/// Time after which a direct connection that is still being opened is tried through another host as well. Round trips
/// take up to 25 ms; a lost packet is sent again after a second.
const USUAL_HEDGE: Duration = Duration::from_millis(150);

/// The same after a failure of the server.
const SHORT_HEDGE: Duration = Duration::from_millis(50);

/// Interval between direct connections that test whether lost links are back.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Pause between two tests once one has succeeded, so that all links are back soon without a burst.
const PROBE_SPACING: Duration = Duration::from_millis(50);

/// A link that is lost again within this time after links were back counts as flapping.
const FLAP_TIME: Duration = Duration::from_secs(5);

/// Maximum number of additional successful tests before a flapping link is used again.
const FLAPS_MAX: u32 = 2;

/// Time after a direct answer of any server for which a host's word about other servers counts.
const VOUCH_TIME: Duration = Duration::from_secs(1);

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

/// The way by which a new connection to a server is opened first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenOrder {
    /// Directly, and also through another host if that takes longer than this.
    DirectFirst(Duration),
    /// Through another host, and directly if no host reaches the server.
    CarriedFirst,
}

/// The outcome of a test of a lost link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeVerdict {
    /// The link is not back, or not for long enough.
    StillLost,
    /// The server is reached directly again.
    Back,
}

// A server that has not answered directly since a request failed there.
#[derive(Debug)]
struct FailingLink {
    group: LinkGroup,
    since: Duration,
    failed_at: Duration,
    failures: u32,
    // When the server last answered through another host, and failures on that way since.
    carried_at: Option<Duration>,
    carried_failures: u32,
    probed_at: Duration,
    probe_successes: u32,
}

impl FailingLink {
    fn new(group: LinkGroup, now: Duration) -> Self {
        Self {
            group,
            since: now,
            failed_at: Duration::ZERO,
            failures: 0,
            carried_at: None,
            carried_failures: 0,
            probed_at: Duration::ZERO,
            probe_successes: 0,
        }
    }

    // Whether it has failed since its group last answered.
    fn is_counted(&self, answers: &GroupAnswers) -> bool {
        self.failures > 0 && answers.answered_at < Some(self.failed_at)
    }
}

#[derive(Debug, Default)]
struct GroupAnswers {
    answered_at: Option<Duration>,
    // Number of servers that have failed since then.
    failing: u32,
}

/// The servers that do not answer this host directly. Others take no memory, groups a few bytes each.
#[derive(Debug, Default)]
pub struct LinkTracker {
    links: HashMap<EngineKey, FailingLink>,
    groups: HashMap<LinkGroup, GroupAnswers>,
    answered_at: Option<Duration>,
    // Servers that have failed since the last answer of their group, and when the first of them did.
    failing: u32,
    failing_since: Duration,
    next_probe_at: Duration,
    // When a lost link was last back, and how often links were lost again soon after.
    returned_at: Option<Duration>,
    flaps: u32,
}

impl LinkTracker {
    /// Records that a server answered a request that this host sent it directly.
    pub fn record_answer(&mut self, server: EngineKey, group: &LinkGroup, now: Duration) {
        self.answered_at = Some(now);
        let link = self.links.remove(&server);
        match self.groups.get_mut(group) {
            Some(answers) => {
                answers.answered_at = Some(now);
                self.failing -= mem::take(&mut answers.failing);
            }
            None => {
                let answers = GroupAnswers {
                    answered_at: Some(now),
                    failing: 0,
                };
                self.groups.insert(group.clone(), answers);
            }
        }
        if link.is_some_and(|link| link.carried_at.is_some()) {
            self.returned_at = Some(now);
        }
        self.check();
    }

    /// Records that a server could not be connected to, or left a direct request without an answer.
    pub fn record_failure(&mut self, server: EngineKey, group: &LinkGroup, now: Duration) {
        let answers = self.groups.entry(group.clone()).or_default();
        let link = self.links.entry(server);
        let link = link.or_insert_with(|| FailingLink::new(group.clone(), now));
        let is_counted = link.is_counted(answers);
        if is_counted && now.saturating_sub(link.failed_at) < FAILURE_SPACING {
            return;
        }
        link.failures += 1;
        link.failed_at = now;
        // Of an answer and a failure at the same time the failure is older: it took longer.
        if !is_counted && link.is_counted(answers) {
            answers.failing += 1;
            if self.failing == 0 {
                self.failing_since = now;
            }
            self.failing += 1;
        }
        self.check();
    }

    /// Records that a server answered through another host. Returns whether its link counts as lost from now on.
    pub fn record_carried_answer(
        &mut self,
        server: EngineKey,
        group: &LinkGroup,
        now: Duration,
    ) -> bool {
        let was_lost = self.is_lost(server);
        let link = self.links.entry(server);
        let link = link.or_insert_with(|| FailingLink::new(group.clone(), now));
        link.carried_at = Some(now);
        link.carried_failures = 0;
        let is_new = !was_lost && self.is_lost(server);
        if is_new {
            self.count_flap(now);
        }
        is_new
    }

    // Of several links that are lost at the same time, the first one counts.
    fn count_flap(&mut self, now: Duration) {
        let Some(returned) = self.returned_at.take() else {
            return;
        };
        self.flaps = match now.saturating_sub(returned) < FLAP_TIME {
            true => (self.flaps + 1).min(FLAPS_MAX),
            false => 0,
        };
    }

    /// Records that no other host reached a server, or that it gave no answer through one.
    pub fn record_carried_failure(&mut self, server: EngineKey, group: &LinkGroup, now: Duration) {
        let link = self.links.entry(server);
        let link = link.or_insert_with(|| FailingLink::new(group.clone(), now));
        link.carried_failures = link.carried_failures.saturating_add(1);
    }

    /// Forgets servers that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(EngineKey) -> bool) {
        let (groups, failing) = (&mut self.groups, &mut self.failing);
        self.links.retain(|server, link| {
            if is_listed(*server) {
                return true;
            }
            let answers = groups.get_mut(&link.group);
            if let Some(answers) = answers.filter(|answers| link.is_counted(answers)) {
                answers.failing -= 1;
                *failing -= 1;
            }
            false
        });
        self.check();
    }

    /// The way by which a new connection to a server is opened first.
    pub fn open_order(&self, server: EngineKey, group: &LinkGroup) -> OpenOrder {
        let Some(link) = self.links.get(&server) else {
            return match self.suspects(group) {
                true => OpenOrder::CarriedFirst,
                false => OpenOrder::DirectFirst(USUAL_HEDGE),
            };
        };
        let is_avoided = link.failures >= FAILURES_TO_AVOID || self.suspects(group);
        match is_avoided && link.carried_failures < CARRIED_FAILURES_MAX {
            true => OpenOrder::CarriedFirst,
            false => OpenOrder::DirectFirst(SHORT_HEDGE),
        }
    }

    /// Whether a server answers through other hosts and not directly.
    pub fn is_lost(&self, server: EngineKey) -> bool {
        let link = self.links.get(&server);
        link.is_some_and(|link| {
            link.carried_at.is_some()
                && self.open_order(server, &link.group) == OpenOrder::CarriedFirst
        })
    }

    /// The servers that answer through other hosts and not directly, and since when.
    pub fn lost(&self) -> impl Iterator<Item = (EngineKey, Duration)> {
        let lost = self
            .links
            .iter()
            .filter(|(server, _)| self.is_lost(**server));
        lost.map(|(server, link)| (*server, link.since))
    }

    /// Whether failures of a server say nothing about it, as they may be this host's own.
    pub fn is_distrusted(&self, server: EngineKey) -> bool {
        let link = self.links.get(&server);
        link.is_some_and(|link| self.suspects(&link.group) || self.is_lost(server))
    }

    /// The lost link to test now with a direct connection, if any.
    pub fn next_probe(&mut self, now: Duration) -> Option<EngineKey> {
        if now < self.next_probe_at {
            return None;
        }
        let lost = self
            .links
            .iter()
            .filter(|(server, _)| self.is_lost(**server));
        let longest = lost.min_by_key(|(server, link)| (link.probed_at, **server));
        let server = longest.map(|(server, _)| *server)?;
        self.next_probe_at = now + PROBE_INTERVAL;
        if let Some(link) = self.links.get_mut(&server) {
            link.probed_at = now;
        }
        Some(server)
    }

    /// Records whether a direct connection that tested a lost link could be opened.
    pub fn record_probe(
        &mut self,
        server: EngineKey,
        is_open: bool,
        now: Duration,
    ) -> ProbeVerdict {
        let needed = 1 + self.flaps;
        let Some(link) = self.links.get_mut(&server) else {
            return ProbeVerdict::StillLost;
        };
        if !is_open {
            link.probe_successes = 0;
            return ProbeVerdict::StillLost;
        }
        link.probe_successes += 1;
        if link.probe_successes < needed {
            return ProbeVerdict::StillLost;
        }
        // The next request goes directly; one more failure is enough to avoid that way again.
        link.failures = FAILURES_TO_AVOID - 1;
        link.carried_at = None;
        link.probe_successes = 0;
        let answers = self.groups.entry(link.group.clone()).or_default();
        answers.answered_at = Some(now);
        self.failing -= mem::take(&mut answers.failing);
        self.answered_at = Some(now);
        self.returned_at = Some(now);
        self.next_probe_at = now + PROBE_SPACING;
        self.check();
        ProbeVerdict::Back
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

    /// Whether a failure to reach a server of a group says something about the server: this host does not suspect its
    /// links, and some server has just answered it.
    pub fn vouches(&self, group: &LinkGroup, now: Duration) -> bool {
        let answered = self.answered_at;
        let is_recent = answered.is_some_and(|at| now.saturating_sub(at) < VOUCH_TIME);
        is_recent && !self.suspects(group)
    }

    /// The servers that have failed since their group last answered, and since when; empty if there are too few of them
    /// to suspect this host's own links.
    pub fn suspicious(&self) -> Vec<(EngineKey, Duration)> {
        if self.failing < SUSPICIOUS_SERVERS {
            return Vec::new();
        }
        let links = self.links.iter().filter(|(_, link)| self.counts(link));
        links.map(|(server, link)| (*server, link.since)).collect()
    }

    /// When a server last answered this host directly.
    pub fn answered_at(&self) -> Option<Duration> {
        self.answered_at
    }

    fn counts(&self, link: &FailingLink) -> bool {
        let answers = self.groups.get(&link.group);
        answers.is_some_and(|answers| link.is_counted(answers))
    }

    fn check(&self) {
        let counted = || self.links.values().filter(|link| self.counts(link)).count();
        debug_assert_eq!(self.failing as usize, counted(), "{self:?}");
    }
}
