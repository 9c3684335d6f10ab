//! Telling other hosts at once what requests have shown: which of them end their servers, and which servers are rate-limited.
//!
//! A host tells the head of its zone, the head tells one host of each zone, and all others hear it with the news that they
//! wait for. What is not taken is told again.

use {
    super::{follow::NewsFollower, link::NewsLinks, targets::ZoneTargets},
    crate::{
        peer,
        relay::{
            link::HostEntry,
            parts::shared::RelayParts,
            policy::{
                digest::RequestDigest,
                findings_cache::FindingSource,
                shared_findings::{SharedFindings, SharedRevisions},
            },
            vital,
        },
    },
    faststr::FastStr,
    futures::{FutureExt, future},
    rand::seq::SliceRandom,
    std::{cell::RefCell, cmp::Reverse, collections::BTreeMap, rc::Rc, time::Duration},
};

/// Longest wait until a host has taken what it is told; it does so at once.
const TELL_PATIENCE: Duration = Duration::from_millis(250);

/// Pause before what was not taken is told again.
const AGAIN_PAUSE: Duration = Duration::from_millis(200);

/// How often it is looked whether there is another host to be told.
const LOOK_PERIOD: Duration = Duration::from_secs(1);

/// Hosts that a starting one asks.
const LEARN_HOSTS: usize = 3;

/// Longest wait for what they know; the host is not ready until then, and callers wait for it.
const LEARN_PATIENCE: Duration = Duration::from_millis(200);

/// Hosts that are asked one after the other whether a request may be tried: entries of lost hosts stay. Two that are
/// asked by two sides of a cut may both allow it, which operators' allowance of three sends bears.
const TRIAL_ASKS: usize = 3;

/// Whom a host is told for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum TellTarget {
    // The head of the own zone, by its name.
    Head(FastStr),
    // Whoever answers for another zone.
    Zone(FastStr),
}

/// Tells and hears.
pub struct FindingShare {
    parts: Rc<RelayParts>,
    follower: Rc<NewsFollower>,
    links: Rc<NewsLinks>,
    targets: ZoneTargets,
    // Up to which revisions of the own books each was told.
    told: RefCell<BTreeMap<TellTarget, SharedRevisions>>,
}

impl FindingShare {
    /// Takes what another host told.
    pub fn take_told(&self, findings: &SharedFindings, is_zone: bool) {
        // What one tells for its zone it tells all zones itself; a host that is no head has to tell its own.
        let is_head = self.follower.head().is_none();
        let source = match is_zone && is_head {
            true => FindingSource::Distributed,
            false => FindingSource::Reported,
        };
        self.parts.take_marks(&findings.crashes, source);
        self.parts.take_limits(&findings.limits, source);
    }

    /// Starts to tell.
    pub fn start(
        parts: Rc<RelayParts>,
        follower: Rc<NewsFollower>,
        links: Rc<NewsLinks>,
    ) -> Rc<Self> {
        let share = Rc::new(Self {
            parts,
            follower,
            links,
            targets: ZoneTargets::default(),
            told: RefCell::default(),
        });
        let asking = share.clone();
        share.parts.crashes.set_trial_ask(Rc::new(move |digest| {
            asking.clone().ask_trial(digest).boxed_local()
        }));
        vital::spawn_vital("findings", share.clone().run());
        vital::spawn_vital("learning others' findings", share.clone().learn());
        share
    }

    // A host that starts asks some others as soon as it knows the list of hosts: one that reads the store would hear it from
    // nobody.
    async fn learn(self: Rc<Self>) {
        while !self.parts.cluster.borrow().hosts_position().is_known() {
            // News that came between the look and the wait are found at the next look.
            let looked = tokio::time::timeout(LOOK_PERIOD, self.parts.news.notified()).await;
            log::trace!("looked for the list of hosts: {looked:?}");
        }
        let asking = self.hosts_to_ask().into_iter();
        future::join_all(asking.map(|entry| self.ask(entry))).await;
        self.parts.finish_learning();
    }

    fn hosts_to_ask(&self) -> Vec<HostEntry> {
        let own_zone = &self.parts.settings.zone;
        let cluster = self.parts.cluster.borrow();
        let mut hosts: Vec<HostEntry> = cluster.hosts().cloned().collect();
        hosts.retain(|entry| entry.name != self.parts.settings.name);
        hosts.shuffle(&mut rand::rng());
        // One of the own zone first, which a cut leaves in reach.
        hosts.sort_by_key(|entry| entry.zone != *own_zone);
        let near = hosts.iter().take(1);
        let away = hosts.iter().rev().take(LEARN_HOSTS - 1);
        near.chain(away).cloned().collect()
    }

    async fn ask(&self, entry: HostEntry) {
        let held = self.follower.held(entry.peers, Duration::ZERO, false);
        match self.links.follow(entry.peers, held, LEARN_PATIENCE).await {
            Ok(news) => {
                self.parts.take_crash_news(&news.crashes, entry.peers);
                self.parts.take_limit_updates(&news.limits, entry.peers);
            }
            Err(error) => log::debug!("host {} told of no findings: {error}", entry.name),
        }
    }

    async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.parts.reported.notified() => {}
                () = tokio::time::sleep(LOOK_PERIOD) => {}
            }
            let mut all_told = self.tell_all().await;
            while !all_told {
                tokio::time::sleep(AGAIN_PAUSE).await;
                all_told = self.tell_all().await;
            }
        }
    }

    // Gives whether everybody knows.
    async fn tell_all(&self) -> bool {
        let targets = self.tell_targets();
        // What an earlier head had heard may have ended with it. Zones stay.
        let is_kept = |target: &TellTarget| match target {
            TellTarget::Head(_) => targets.iter().any(|(known, _)| known == target),
            TellTarget::Zone(_) => true,
        };
        self.told.borrow_mut().retain(|target, _| is_kept(target));
        let telling = targets
            .iter()
            .map(|(target, entry)| self.tell(target, entry));
        let told = future::join_all(telling).await;
        told.into_iter().all(|was_told| was_told)
    }

    fn tell_targets(&self) -> Vec<(TellTarget, HostEntry)> {
        if let Some(head) = self.follower.head() {
            return vec![(TellTarget::Head(head.name.clone()), head)];
        }
        let own = &self.parts.settings.name;
        let now = self.parts.now();
        let entries = self
            .targets
            .with_own(&self.parts.cluster.borrow(), own, now);
        let targets = entries.into_iter();
        targets
            .map(|entry| (TellTarget::Zone(entry.zone.clone()), entry))
            .collect()
    }

    async fn tell(&self, target: &TellTarget, entry: &HostEntry) -> bool {
        let since = self.told.borrow().get(target).copied();
        let since = match target {
            TellTarget::Head(_) => since,
            // What a zone was not told while it was cut off it is told however late.
            TellTarget::Zone(_) => Some(since.unwrap_or_default()),
        };
        let (findings, revisions) = self.findings_to_tell(since);
        if findings.is_empty() {
            self.told.borrow_mut().insert(target.clone(), revisions);
            return true;
        }
        let is_zone = matches!(target, TellTarget::Zone(_));
        let sent = self.send(entry, &findings, is_zone).await;
        if is_zone {
            self.targets.note(&entry.name, sent, self.parts.now());
        }
        if sent {
            self.told.borrow_mut().insert(target.clone(), revisions);
        }
        sent
    }

    fn findings_to_tell(
        &self,
        since: Option<SharedRevisions>,
    ) -> (SharedFindings, SharedRevisions) {
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
        let telling = self
            .links
            .tell_findings(entry.peers, findings, is_zone, TELL_PATIENCE);
        match telling.await {
            Ok(()) => true,
            Err(error) => {
                log::debug!("host {} was told of no findings: {error}", entry.name);
                if !is_zone {
                    self.follower.note_unreported(&entry.name);
                }
                false
            }
        }
    }

    // All hosts agree on whom to ask, so that one of them alone lets the request be tried.
    async fn ask_trial(self: Rc<Self>, digest: RequestDigest) -> bool {
        for entry in self.trial_hosts(digest) {
            if entry.name == self.parts.settings.name {
                return self.parts.grant_trial(digest);
            }
            let asking = self.links.allow_trial(entry.peers, digest, TELL_PATIENCE);
            match asking.await {
                Ok(is_allowed) => return is_allowed,
                Err(error) => log::debug!("host {} allowed no trial: {error}", entry.name),
            }
        }
        false
    }

    fn trial_hosts(&self, digest: RequestDigest) -> Vec<HostEntry> {
        let about = digest.to_string();
        let cluster = self.parts.cluster.borrow();
        let mut hosts: Vec<HostEntry> = cluster.hosts().cloned().collect();
        hosts.sort_by_key(|entry| Reverse(peer::draw(&entry.name, &about)));
        hosts.truncate(TRIAL_ASKS);
        hosts
    }
}
