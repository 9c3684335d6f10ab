//! Distributes findings about requests to the other hosts without delay: which requests crash their servers, and which
//! servers are rate-limited.
//!
//! A host sends its findings to the head of its zone, the head sends them to one host of each zone, and all other hosts
//! receive them in the response to their next poll. A send that fails is repeated.

use {
    super::{follow::NewsFollower, rpc::NewsClient, targets::ZoneTargets},
    crate::{
        peer,
        relay::{
            critical_task,
            link::HostEntry,
            parts::shared::RelayParts,
            policy::{
                crash_suspect::CrashSuspect,
                findings_cache::FindingSource,
                shared_findings::{SharedFindings, SharedRevisions},
            },
        },
    },
    faststr::FastStr,
    futures::{FutureExt, future},
    rand::seq::SliceRandom,
    std::{cell::RefCell, cmp::Reverse, collections::BTreeMap, rc::Rc, time::Duration},
};

/// Timeout of a call with findings; hosts respond to it without delay.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay before a failed send is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How often this host checks for other hosts to send findings to.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of hosts from which a starting host fetches their findings.
const FETCH_HOSTS: usize = 3;

/// Timeout of that fetch; until then the host is not ready, and callers wait for it.
const FETCH_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of hosts that are asked in turn whether a suspect may be tried, since entries of lost hosts remain in the
/// list. During a network partition a host on each side may allow a trial, which stays within the three sends of such a
/// request that operators allow.
const MAX_TRIAL_HOSTS: usize = 3;

/// A destination of findings.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum FindingsTarget {
    // The head of this host's zone, by name.
    Head(FastStr),
    // The host that currently receives for a zone, by the zone's name.
    Zone(FastStr),
}

/// Sends findings to other hosts and applies those that it receives.
pub struct FindingsSync {
    parts: Rc<RelayParts>,
    follower: Rc<NewsFollower>,
    client: Rc<NewsClient>,
    targets: ZoneTargets,
    // The revisions of this host's findings up to which each target has received them.
    sent_revisions: RefCell<BTreeMap<FindingsTarget, SharedRevisions>>,
}

impl FindingsSync {
    /// Applies findings from another host; `is_zone` is set if it sends them on behalf of its whole zone.
    pub fn apply_findings(&self, findings: &SharedFindings, is_zone: bool) {
        // The sender of a zone's findings sends them to all zones itself. A host that is not the head has to forward
        // them to the head of its own zone.
        let is_head = self.follower.head().is_none();
        let source = match is_zone && is_head {
            true => FindingSource::Distributed,
            false => FindingSource::Reported,
        };
        self.parts.merge_crash_marks(&findings.crashes, source);
        self.parts.apply_limits(&findings.limits, source);
    }

    /// Starts the tasks that send and fetch findings.
    pub fn start(
        parts: Rc<RelayParts>,
        follower: Rc<NewsFollower>,
        client: Rc<NewsClient>,
    ) -> Rc<Self> {
        let sync = Rc::new(Self {
            parts,
            follower,
            client,
            targets: ZoneTargets::default(),
            sent_revisions: RefCell::default(),
        });
        let requester = sync.clone();
        sync.parts.crashes.set_trial_query(Rc::new(move |suspect| {
            requester.clone().request_trial(suspect).boxed_local()
        }));
        critical_task::spawn_critical("findings", sync.clone().run());
        critical_task::spawn_critical("initial findings", sync.clone().fetch_initial());
        sync
    }

    // A starting host fetches the findings of some other hosts as soon as it knows the list of hosts: if it reads the
    // store, it polls no other host and would not receive them.
    async fn fetch_initial(self: Rc<Self>) {
        while !self.parts.cluster.borrow().hosts_position().is_known() {
            // An update between the check and the wait is noticed at the next check.
            let waited =
                tokio::time::timeout(CHECK_INTERVAL, self.parts.state_changed.notified()).await;
            log::trace!("waited for the list of hosts: {waited:?}");
        }
        let hosts = self.hosts_to_fetch_from().into_iter();
        future::join_all(hosts.map(|entry| self.fetch_from(entry))).await;
        self.parts.finish_learning();
    }

    fn hosts_to_fetch_from(&self) -> Vec<HostEntry> {
        let own_zone = &self.parts.settings.zone;
        let cluster = self.parts.cluster.borrow();
        let mut hosts: Vec<HostEntry> = cluster.hosts().cloned().collect();
        hosts.retain(|entry| entry.name != self.parts.settings.name);
        hosts.shuffle(&mut rand::rng());
        // A host of this zone first, which stays reachable if the zone is partitioned from the others.
        hosts.sort_by_key(|entry| entry.zone != *own_zone);
        let same_zone = hosts.iter().take(1);
        let other_zones = hosts.iter().rev().take(FETCH_HOSTS - 1);
        same_zone.chain(other_zones).cloned().collect()
    }

    async fn fetch_from(&self, entry: HostEntry) {
        let held = self.follower.held_news(entry.peers, Duration::ZERO, false);
        match self.client.follow(entry.peers, held, FETCH_TIMEOUT).await {
            Ok(news) => {
                self.parts.merge_crash_news(&news.crashes, entry.peers);
                self.parts.apply_limit_updates(&news.limits, entry.peers);
            }
            Err(error) => log::debug!("cannot fetch findings from host {}: {error}", entry.name),
        }
    }

    async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.parts.findings_changed.notified() => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
            let mut all_received = self.send_to_all().await;
            while !all_received {
                tokio::time::sleep(RETRY_DELAY).await;
                all_received = self.send_to_all().await;
            }
        }
    }

    // Returns whether all targets have received all findings.
    async fn send_to_all(&self) -> bool {
        let targets = self.current_targets();
        // Findings sent to a previous head may have been lost with it, so they are sent again to a new one. The state
        // of zones is kept.
        let is_kept = |target: &FindingsTarget| match target {
            FindingsTarget::Head(_) => targets.iter().any(|(known, _)| known == target),
            FindingsTarget::Zone(_) => true,
        };
        self.sent_revisions
            .borrow_mut()
            .retain(|target, _| is_kept(target));
        let sends = targets
            .iter()
            .map(|(target, entry)| self.send_new(target, entry));
        let received = future::join_all(sends).await;
        received.into_iter().all(|has_received| has_received)
    }

    fn current_targets(&self) -> Vec<(FindingsTarget, HostEntry)> {
        if let Some(head) = self.follower.head() {
            return vec![(FindingsTarget::Head(head.name.clone()), head)];
        }
        let own = &self.parts.settings.name;
        let now = self.parts.now();
        let entries = self
            .targets
            .all_zones(&self.parts.cluster.borrow(), own, now);
        let targets = entries.into_iter();
        targets
            .map(|entry| (FindingsTarget::Zone(entry.zone.clone()), entry))
            .collect()
    }

    async fn send_new(&self, target: &FindingsTarget, entry: &HostEntry) -> bool {
        let since = self.sent_revisions.borrow().get(target).copied();
        let since = match target {
            FindingsTarget::Head(_) => since,
            // A zone that was unreachable receives everything that it missed, however late.
            FindingsTarget::Zone(_) => Some(since.unwrap_or_default()),
        };
        let (findings, revisions) = self.findings_since(since);
        if findings.is_empty() {
            self.sent_revisions
                .borrow_mut()
                .insert(target.clone(), revisions);
            return true;
        }
        let is_zone = matches!(target, FindingsTarget::Zone(_));
        let sent = self.send(entry, &findings, is_zone).await;
        if is_zone {
            self.targets
                .record_result(&entry.name, sent, self.parts.now());
        }
        if sent {
            self.sent_revisions
                .borrow_mut()
                .insert(target.clone(), revisions);
        }
        sent
    }

    fn findings_since(&self, since: Option<SharedRevisions>) -> (SharedFindings, SharedRevisions) {
        let parts = &self.parts;
        let (crashes, crash_revision) = parts.marks_to_report(since.map(|since| since.crashes));
        let (limits, limit_revision) = parts.limits_to_report(since.map(|since| since.limits));
        let findings = SharedFindings { crashes, limits };
        let revisions = SharedRevisions {
            crashes: crash_revision,
            limits: limit_revision,
        };
        (findings, revisions)
    }

    async fn send(&self, entry: &HostEntry, findings: &SharedFindings, is_zone: bool) -> bool {
        let call = self
            .client
            .tell_findings(entry.peers, findings, is_zone, CALL_TIMEOUT);
        match call.await {
            Ok(()) => true,
            Err(error) => {
                log::debug!("cannot send findings to host {}: {error}", entry.name);
                if !is_zone {
                    self.follower.record_unreported(&entry.name);
                }
                false
            }
        }
    }

    // All hosts ask the same hosts in the same order, so that only one of them allows the trial.
    async fn request_trial(self: Rc<Self>, suspect: CrashSuspect) -> bool {
        for entry in self.trial_hosts(suspect) {
            if entry.name == self.parts.settings.name {
                return self.parts.grant_trial(suspect);
            }
            let call = self.client.allow_trial(entry.peers, suspect, CALL_TIMEOUT);
            match call.await {
                Ok(is_allowed) => return is_allowed,
                Err(error) => {
                    log::debug!("cannot request a trial from host {}: {error}", entry.name)
                }
            }
        }
        false
    }

    fn trial_hosts(&self, suspect: CrashSuspect) -> Vec<HostEntry> {
        let key = suspect.to_string();
        let cluster = self.parts.cluster.borrow();
        let mut hosts: Vec<HostEntry> = cluster.hosts().cloned().collect();
        hosts.sort_by_key(|entry| Reverse(peer::draw(&entry.name, &key)));
        hosts.truncate(MAX_TRIAL_HOSTS);
        hosts
    }
}
