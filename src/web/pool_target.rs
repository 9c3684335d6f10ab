//! Where a pooled request goes, and what it is for.

use {super::recent_ids::AnswerId, std::net::SocketAddr};

/// What a connection is used for; an answer too many on one use is then never read by the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PoolLane {
    /// Callers' requests.
    Requests,
    /// The host's own calls.
    Control,
}

/// What is sent over a connection, for the account of who opens them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoolUse {
    /// A caller's request to a plain service.
    Plain,
    /// A caller's prompt to a prefill engine.
    Prefill,
    /// A caller's request to a decode engine.
    Decode,
    /// A reservation of an engine's memory.
    Reserve,
    /// Giving back what is held at an engine.
    Free,
    /// Questions to an engine, and calls to the store.
    Ask,
    /// Orders to an engine, which must come from the host itself.
    Order,
}

impl PoolUse {
    /// What its connection is used for besides.
    pub fn lane(self) -> PoolLane {
        match self {
            Self::Plain | Self::Prefill | Self::Decode => PoolLane::Requests,
            Self::Reserve | Self::Free | Self::Ask | Self::Order => PoolLane::Control,
        }
    }
}

/// Connections of one use since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UseCounts {
    /// Opened.
    pub opened: u64,
    /// Sends over one that was open already.
    pub reused: u64,
}

/// Which open connections a request may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum KeptUse {
    /// Any of them.
    #[default]
    Any,
    /// Those that were opened directly.
    Direct,
    /// Those that another host carries. Others are closed, as they are not expected to work.
    Carried,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy)]
pub struct PoolTarget {
    /// The server.
    pub address: SocketAddr,
    /// What is sent.
    pub purpose: PoolUse,
    /// Connections that may be open to the address at most, of both uses together.
    pub limit: usize,
    /// Which open connections may be used.
    pub kept: KeptUse,
    /// Id by which the answer names the request, if it names one. The request goes over no connection that carried the same
    /// id lately: a late second copy of the earlier answer could not be told from its own.
    pub answer_id: Option<AnswerId>,
}
