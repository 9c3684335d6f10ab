//! The labels of a relaying host's metrics; how many names have series of their own is bounded.

use {
    faststr::FastStr,
    prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue},
    std::{cell::RefCell, collections::HashSet},
};

/// Routes that have series of their own; the rest share the name "other": configurations may hold
/// hundreds of routes that carry nothing.
pub(super) const ROUTE_LABELS_MAX: usize = 64;

/// Which requests a series counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// The route's name.
    pub route: String,
}

/// How requests ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// The route's name; empty where none was found.
    pub route: String,
    /// The status that the caller got.
    pub status: u16,
}

/// Accounts that have series of their own; the rest share the name "other".
pub(super) const ACCOUNT_LABELS_MAX: usize = 64;

/// What became of a request at its account's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum LimitEnd {
    /// It was let in.
    LetIn,
    /// The account is over its limit.
    OverLimit,
    /// It was let in, did certainly not run, and was given back.
    GivenBack,
}

/// Which requests of accounts a series counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AccountLabels {
    /// The account's name.
    pub account: String,
    /// What became of them.
    pub end: LimitEnd,
}

/// Services that have series of their own; the rest share the name "other".
pub(super) const SERVICE_LABELS_MAX: usize = 64;

/// Which service's requests a series counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service's name.
    pub service: String,
}

/// Why the store is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StoreCause {
    /// To read all objects of a kind.
    List,
    /// To hear of changes.
    Watch,
    /// To look whether it answers again.
    WhileLost,
    /// For the lease under which engines are given orders.
    Lease,
    /// For the host's own entry.
    Entry,
}

/// Which calls to the store a series counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabels {
    /// Why they were made.
    pub cause: StoreCause,
}

/// A name as a label: the first names have series of their own, the others share one.
pub(super) fn bounded_label(
    known: &RefCell<HashSet<FastStr>>,
    name: &FastStr,
    most: usize,
) -> String {
    let mut known = known.borrow_mut();
    if known.len() < most {
        known.insert(name.clone());
    }
    match known.contains(name) {
        true => name.to_string(),
        false => "other".to_owned(),
    }
}
