//! Asking the host that deals out the turns at a server in need. A host that reaches none keeps to a part of its own share.

use {
    super::link::NewsLinks,
    crate::relay::{
        link::HostEntry,
        parts::shared::RelayParts,
        policy::turn_desk::{TurnAsk, TurnGrant},
        vital,
    },
    capnp::ErrorKind,
    faststr::FastStr,
    futures::FutureExt,
    std::{rc::Rc, time::Duration},
};

/// Hosts that are asked one after the other for a request: entries of lost hosts stay.
const KEEPERS_ASKED: usize = 2;

/// Longest wait for the answer; hosts are a millisecond apart, some run slowly for a while.
const DEAL_PATIENCE: Duration = Duration::from_millis(80);

/// The same where the question is passed on: its asker waits behind it.
const PASS_ON_PATIENCE: Duration = Duration::from_millis(35);

/// When a caller is to come back to a host that has asked in vain too often lately.
const UNASKED_WAIT: Duration = Duration::from_millis(500);

/// How often limits are looked for that nobody has heard renewed for long.
const FORGET_PERIOD: Duration = Duration::from_secs(5);

/// The way to the hosts that deal out turns.
pub struct TurnLink {
    parts: Rc<RelayParts>,
    links: Rc<NewsLinks>,
}

impl TurnLink {
    /// Hands the way to the host's tasks.
    pub fn start(parts: Rc<RelayParts>, links: Rc<NewsLinks>) -> Rc<Self> {
        let link = Rc::new(Self {
            parts: parts.clone(),
            links,
        });
        vital::spawn_vital("limits of servers", link.clone().forget_old());
        let asking = link.clone();
        let call = move |zone, ask| asking.clone().ask(zone, ask).boxed_local();
        parts.turns.set_call(Rc::new(call));
        link
    }

    /// Answers a host that takes this one for the keeper. Where this one knows another the question is passed on, so that one
    /// alone deals out turns although the asker cannot reach it.
    pub async fn answer(self: Rc<Self>, ask: TurnAsk, is_passed_on: bool) -> TurnGrant {
        let zone = self.parts.settings.zone.clone();
        let keeper = self.parts.keeper(&zone, ask.server);
        let other = keeper.filter(|keeper| keeper.name != self.parts.settings.name);
        match other {
            Some(keeper) if !is_passed_on => {
                let grant = self.ask_keeper(&keeper, &ask, true, PASS_ON_PATIENCE).await;
                grant.unwrap_or_else(|| self.parts.deal_turns(&ask))
            }
            _ => self.parts.deal_turns(&ask),
        }
    }

    async fn ask(self: Rc<Self>, zone: FastStr, ask: TurnAsk) -> TurnGrant {
        for _ in 0..KEEPERS_ASKED {
            let Some(keeper) = self.parts.keeper(&zone, ask.server) else {
                break;
            };
            if keeper.name == self.parts.settings.name {
                // Cut off from all others it does not know what they do.
                return match self.parts.is_in_touch() {
                    true => self.parts.deal_turns(&ask),
                    false => self.parts.deal_alone(&ask),
                };
            }
            if !self.may_ask() {
                return unasked(&ask);
            }
            let asked = self.ask_keeper(&keeper, &ask, false, DEAL_PATIENCE);
            if let Some(grant) = asked.await {
                return grant;
            }
        }
        self.parts.deal_alone(&ask)
    }

    fn may_ask(&self) -> bool {
        let now = self.parts.now();
        self.parts.turns.keepers.borrow_mut().may_ask(now)
    }

    async fn ask_keeper(
        &self,
        keeper: &HostEntry,
        ask: &TurnAsk,
        is_passed_on: bool,
        patience: Duration,
    ) -> Option<TurnGrant> {
        let asking = self.links.deal(keeper.peers, ask, is_passed_on, patience);
        let answer = asking.await;
        let mut keepers = self.parts.turns.keepers.borrow_mut();
        match answer {
            Ok(grant) => {
                keepers.note_heard(&keeper.name);
                if grant.turns == 0 && ask.wanted > 0 {
                    keepers.note_denied();
                }
                Some(grant)
            }
            Err(error) => {
                log::debug!("host {} dealt out no turn: {error}", keeper.name);
                let is_gone = error.kind == ErrorKind::Disconnected;
                keepers.note_silent(&keeper.name, is_gone, self.parts.now());
                None
            }
        }
    }

    async fn forget_old(self: Rc<Self>) {
        loop {
            tokio::time::sleep(FORGET_PERIOD).await;
            self.parts.forget_limits();
        }
    }
}

// No turn, as far as this host goes.
fn unasked(ask: &TurnAsk) -> TurnGrant {
    TurnGrant {
        turns: 0,
        wait: UNASKED_WAIT,
        saying: ask.saying,
    }
}
