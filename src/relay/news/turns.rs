//! Asking the host that deals out the turns at a server in need.
//!
//! All hosts agree on it without talk: it is drawn from the hosts of the server's zone, which reach the server whenever
//! anybody does. A host that reaches none of them keeps to a part of its own share.

use {
    super::link::NewsLinks,
    crate::{
        peer,
        relay::{
            link::HostEntry,
            parts::shared::RelayParts,
            policy::{
                loads::EngineKey,
                turn_desk::{TurnAsk, TurnGrant},
            },
            vital,
        },
    },
    faststr::FastStr,
    futures::FutureExt,
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
};

/// Keepers of a zone: enough that none has much to do with it, few enough that a host asks over few connections.
const KEEPERS_A_ZONE: u32 = 8;

/// Hosts that are asked one after the other for a request: entries of lost hosts stay.
const KEEPERS_ASKED: usize = 2;

/// Longest wait for the answer; hosts are a millisecond apart, some run slowly for a while.
const DEAL_PATIENCE: Duration = Duration::from_millis(80);

/// How long a host that does not answer is not asked, at first and at the most; doubled each time.
const PASS_OVER_FIRST: Duration = Duration::from_secs(1);
const PASS_OVER_MOST: Duration = Duration::from_secs(16);

/// How often limits are looked for that nobody has heard renewed for long.
const FORGET_PERIOD: Duration = Duration::from_secs(5);

/// A host that did not answer.
#[derive(Debug, Clone, Copy)]
struct SilentKeeper {
    until: Duration,
    pause: Duration,
}

/// The way to the hosts that deal out turns.
pub struct TurnLink {
    parts: Rc<RelayParts>,
    links: Rc<NewsLinks>,
    silent: RefCell<HashMap<FastStr, SilentKeeper>>,
}

impl TurnLink {
    /// Hands the way to the host's tasks.
    pub fn start(parts: Rc<RelayParts>, links: Rc<NewsLinks>) {
        let link = Rc::new(Self {
            parts: parts.clone(),
            links,
            silent: RefCell::default(),
        });
        let call = move |zone, ask| link.clone().ask(zone, ask).boxed_local();
        parts.turns.set_call(Rc::new(call));
        vital::spawn_vital("limits of servers", forget_limits(parts));
    }

    async fn ask(self: Rc<Self>, zone: FastStr, ask: TurnAsk) -> TurnGrant {
        for _ in 0..KEEPERS_ASKED {
            let Some(keeper) = self.keeper(&zone, ask.server) else {
                break;
            };
            if keeper.name == self.parts.settings.name {
                // Cut off from all others it does not know what they do.
                return match self.parts.is_in_touch() {
                    true => self.parts.deal_turns(&ask),
                    false => self.parts.deal_alone(&ask),
                };
            }
            match self.links.deal(keeper.peers, &ask, DEAL_PATIENCE).await {
                Ok(grant) => {
                    self.silent.borrow_mut().remove(&keeper.name);
                    return grant;
                }
                Err(error) => {
                    log::debug!("host {} dealt out no turn: {error}", keeper.name);
                    self.pass_over(&keeper.name);
                }
            }
        }
        self.parts.deal_alone(&ask)
    }

    fn pass_over(&self, name: &FastStr) {
        let now = self.parts.now();
        let mut silent = self.silent.borrow_mut();
        let before = silent.get(name).map(|keeper| keeper.pause * 2);
        let pause = before.unwrap_or(PASS_OVER_FIRST).min(PASS_OVER_MOST);
        let until = now + pause;
        silent.insert(name.clone(), SilentKeeper { until, pause });
    }

    // The first by draw of those that answer, from the hosts of the zone or, where it has none, from all.
    fn keeper(&self, zone: &FastStr, server: EngineKey) -> Option<HostEntry> {
        let about = format!("turns {}", server.0 % KEEPERS_A_ZONE);
        let now = self.parts.now();
        let silent = self.silent.borrow();
        let cluster = self.parts.cluster.borrow();
        let is_near = |entry: &&HostEntry| entry.zone == *zone;
        let has_near = cluster.hosts().any(|entry| is_near(&entry));
        let candidates = cluster.hosts().filter(|entry| !has_near || is_near(entry));
        let heard = candidates.filter(|entry| {
            let keeper = silent.get(&entry.name);
            keeper.is_none_or(|keeper| now >= keeper.until)
        });
        let first = heard.max_by_key(|entry| peer::draw(&entry.name, &about));
        first.cloned()
    }
}

async fn forget_limits(parts: Rc<RelayParts>) {
    loop {
        tokio::time::sleep(FORGET_PERIOD).await;
        parts.forget_limits();
    }
}
