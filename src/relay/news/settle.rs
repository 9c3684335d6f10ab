//! Ledgers of client accounts telling each other their sums, and the way of a host to the ledger of its zone.

use {
    super::{follow::NewsFollower, link::NewsLinks, targets::ZoneTargets},
    crate::{
        account::LedgerSums,
        relay::{
            critical_task,
            link::HostEntry,
            parts::{accounts::LedgerAsk, shared::RelayParts},
        },
    },
    futures::{FutureExt, future},
    std::{rc::Rc, time::Duration},
};

/// How often a ledger tells its sums of the accounts that are near their limits. What zones let in meanwhile without
/// knowing of each other goes beyond the limits for a moment.
const SETTLE_PERIOD: Duration = Duration::from_millis(200);

/// How often, in such periods, it tells those of all accounts.
const WHOLE_PERIOD: u32 = 15;

/// Longest wait for the answer.
const SETTLE_PATIENCE: Duration = Duration::from_millis(250);

/// Tells the sums of this host's ledger to those of other zones.
pub struct LedgerLink {
    parts: Rc<RelayParts>,
    follower: Rc<NewsFollower>,
    links: Rc<NewsLinks>,
    targets: ZoneTargets,
}

impl LedgerLink {
    /// Starts to tell.
    pub fn start(parts: Rc<RelayParts>, follower: Rc<NewsFollower>, links: Rc<NewsLinks>) {
        let link = Rc::new(Self {
            parts,
            follower,
            links,
            targets: ZoneTargets::default(),
        });
        link.parts.accounts.set_ask(link.clone().ledger_ask());
        critical_task::spawn_critical("zones of the ledger", link.clone().follow_zones());
        critical_task::spawn_critical("ledger of accounts", link.run());
    }

    // Which zones there are is known to the books as soon as to the host: what is left of a limit depends on it.
    async fn follow_zones(self: Rc<Self>) {
        loop {
            self.parts.news.notified().await;
            self.parts.keep_books();
        }
    }

    // The head of the zone keeps its books.
    fn ledger_ask(self: Rc<Self>) -> Rc<LedgerAsk> {
        Rc::new(move |account, units, patience| {
            let head = self.follower.head()?;
            let links = self.links.clone();
            let link = self.clone();
            let asking = async move {
                let answer = links.charge(head.peers, account, units, patience).await;
                if let Err(error) = &answer {
                    log::debug!("host {} did not say what is left: {error}", head.name);
                    link.pass_over_unheard(&head);
                }
                answer.ok()
            };
            Some(asking.boxed_local())
        })
    }

    // A host that was never told anything has no reason to wait for this one.
    fn pass_over_unheard(&self, head: &HostEntry) {
        if self.parts.is_untold_of_use() {
            self.follower.record_unreported(&head.name);
        }
    }

    async fn run(self: Rc<Self>) {
        for turn in 0_u32.. {
            tokio::time::sleep(SETTLE_PERIOD).await;
            self.parts.keep_books();
            let Some(sums) = self.parts.sums_to_tell(turn.is_multiple_of(WHOLE_PERIOD)) else {
                continue;
            };
            let told = self.targets().into_iter();
            let told = told.map(|entry| self.settle_with(entry, &sums));
            future::join_all(told).await;
        }
    }

    // One host of each other zone; and the head of the own zone where that is another one: hosts may not agree on it.
    fn targets(&self) -> Vec<HostEntry> {
        let own_zone = &self.parts.settings.zone;
        let now = self.parts.now();
        let mut entries = self.targets.of(&self.parts.cluster.borrow(), own_zone, now);
        entries.extend(self.follower.head());
        entries
    }

    async fn settle_with(&self, entry: HostEntry, sums: &LedgerSums) {
        let exchange = self.links.exchange(entry.peers, sums, SETTLE_PATIENCE);
        let answer = exchange.await;
        let now = self.parts.now();
        self.targets.note(&entry.name, answer.is_ok(), now);
        match answer {
            Ok(theirs) => self.parts.take_sums(&theirs),
            Err(error) => log::debug!("host {} took no sums: {error}", entry.name),
        }
    }
}
