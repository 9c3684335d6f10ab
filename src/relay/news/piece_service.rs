//! Hands out pieces of the configuration to other hosts.

use {
    super::piece_message::{PieceAnswer, PieceRequest},
    crate::relay::{
        parts::shared::RelayParts,
        pieces::{ByteBudget, PIECES_BYTES},
    },
    bytes::Bytes,
    std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc},
};

/// Most hosts that are remembered as having received pieces, and most that are named to a requester.
const RECEIVERS_MAX: usize = 8;
const NAMED_MAX: usize = 3;

/// Answers requests for pieces within the share of the link that they may take.
#[derive(Debug)]
pub struct PieceService {
    parts: Rc<RelayParts>,
    budget: RefCell<ByteBudget>,
    // The hosts that received pieces last, the latest last.
    receivers: RefCell<VecDeque<SocketAddr>>,
}

impl PieceService {
    /// A service of the pieces that this host has.
    pub fn new(parts: Rc<RelayParts>) -> Self {
        let budget = ByteBudget::of_link(parts.settings.link_mbps);
        Self {
            parts,
            budget: RefCell::new(budget),
            receivers: RefCell::default(),
        }
    }

    /// Returns requested pieces up to the size of one message, or when there will be time for them.
    pub fn answer(&self, request: &PieceRequest) -> PieceAnswer {
        let wait = self.budget.borrow_mut().wait(self.parts.now());
        if !wait.is_zero() {
            self.parts.metrics.pieces.declined.inc();
            return PieceAnswer {
                busy: Some(wait),
                others: self.other_receivers(request.peers),
                ..PieceAnswer::default()
            };
        }
        let cluster = self.parts.cluster.borrow();
        let pieces = cluster.config.pieces(&request.names, PIECES_BYTES);
        let bytes = pieces.iter().map(Bytes::len).sum();
        self.budget.borrow_mut().take(bytes);
        self.parts.metrics.pieces.record_sent(pieces.len(), bytes);
        if let Some(address) = request.peers.filter(|_| !pieces.is_empty()) {
            self.remember_receiver(address);
        }
        PieceAnswer {
            pieces,
            ..PieceAnswer::default()
        }
    }

    fn remember_receiver(&self, address: SocketAddr) {
        let mut receivers = self.receivers.borrow_mut();
        receivers.retain(|known| *known != address);
        receivers.push_back(address);
        if receivers.len() > RECEIVERS_MAX {
            receivers.pop_front();
        }
    }

    fn other_receivers(&self, requester: Option<SocketAddr>) -> Vec<SocketAddr> {
        let receivers = self.receivers.borrow();
        let others = receivers.iter().copied();
        let others = others.filter(|address| Some(*address) != requester);
        others.take(NAMED_MAX).collect()
    }
}
