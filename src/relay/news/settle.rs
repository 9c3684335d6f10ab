//! Synchronizes the client account ledgers of the zones, and connects a host to the ledger of its own zone.

use {
    super::{follow::NewsFollower, rpc::NewsClient, targets::ZoneTargets},
    crate::{
        account::LedgerSums,
        relay::{
            critical_task,
            link::HostEntry,
            parts::{accounts::LedgerQuery, shared::RelayParts},
        },
    },
    futures::{FutureExt, future},
    std::{rc::Rc, time::Duration},
};

/// How often a ledger sends its totals of the accounts that are near their limits. Between two exchanges, zones admit
/// requests without knowing of each other and may exceed the limits for a moment.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);

/// Every how many intervals it sends the totals of all accounts.
const FULL_SYNC_INTERVALS: u32 = 15;

/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Exchanges the totals of this host's ledger with the ledgers of other zones.
pub struct LedgerSync {
    parts: Rc<RelayParts>,
    follower: Rc<NewsFollower>,
    client: Rc<NewsClient>,
    targets: ZoneTargets,
}

impl LedgerSync {
    /// Starts the exchange, and sets up the calls to the ledger of this host's zone.
    pub fn start(parts: Rc<RelayParts>, follower: Rc<NewsFollower>, client: Rc<NewsClient>) {
        let sync = Rc::new(Self {
            parts,
            follower,
            client,
            targets: ZoneTargets::default(),
        });
        sync.parts
            .accounts
            .set_ledger_query(sync.clone().ledger_call());
        critical_task::spawn_critical("ledger zones", sync.clone().watch_zones());
        critical_task::spawn_critical("account ledger", sync.run());
    }

    // Updates the ledger's set of zones as soon as this host's view changes: the remainder of a limit depends on it.
    async fn watch_zones(self: Rc<Self>) {
        loop {
            self.parts.state_changed.notified().await;
            self.parts.update_ledger();
        }
    }

    // The ledger of a zone is kept by the zone's head.
    fn ledger_call(self: Rc<Self>) -> Rc<LedgerQuery> {
        Rc::new(move |account, units, timeout| {
            let head = self.follower.head()?;
            let client = self.client.clone();
            let sync = self.clone();
            let call = async move {
                let answer = client.charge(head.peers, account, units, timeout).await;
                if let Err(error) = &answer {
                    log::debug!("cannot charge an account at host {}: {error}", head.name);
                    sync.skip_unknown_head(&head);
                }
                answer.ok()
            };
            Some(call.boxed_local())
        })
    }

    // A host that has never received account usage from the ledger has no reason to wait for this head.
    fn skip_unknown_head(&self, head: &HostEntry) {
        if self.parts.lacks_account_data() {
            self.follower.record_unreported(&head.name);
        }
    }

    async fn run(self: Rc<Self>) {
        for round in 0_u32.. {
            tokio::time::sleep(SYNC_INTERVAL).await;
            self.parts.update_ledger();
            let Some(sums) = self
                .parts
                .sums_to_send(round.is_multiple_of(FULL_SYNC_INTERVALS))
            else {
                continue;
            };
            let targets = self.targets().into_iter();
            let exchanges = targets.map(|entry| self.exchange_with(entry, &sums));
            future::join_all(exchanges).await;
        }
    }

    // One host of each other zone; and the head of this host's zone if that is another host, since hosts may disagree
    // on which one is the head.
    fn targets(&self) -> Vec<HostEntry> {
        let own_zone = &self.parts.settings.zone;
        let now = self.parts.now();
        let mut entries = self
            .targets
            .other_zones(&self.parts.cluster.borrow(), own_zone, now);
        entries.extend(self.follower.head());
        entries
    }

    async fn exchange_with(&self, entry: HostEntry, sums: &LedgerSums) {
        let exchange = self.client.exchange(entry.peers, sums, EXCHANGE_TIMEOUT);
        let answer = exchange.await;
        let now = self.parts.now();
        self.targets.record_result(&entry.name, answer.is_ok(), now);
        match answer {
            Ok(theirs) => self.parts.merge_sums(&theirs),
            Err(error) => log::debug!(
                "cannot exchange ledger totals with host {}: {error}",
                entry.name
            ),
        }
    }
}
