//! Labels of the metrics of a relaying host, with a bound on the number of label values.

use {
    faststr::FastStr,
    prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue},
    std::{cell::RefCell, collections::HashSet},
};

/// Maximum number of routes with their own series; the rest share the label "other". Configurations may have hundreds of
/// routes without traffic.
pub(super) const ROUTE_LABELS_MAX: usize = 64;

/// Labels of metrics by route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// The route's name.
    pub route: String,
}

/// Labels of metrics by route and status.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// The route's name; empty if no route matched.
    pub route: String,
    /// The status of the response to the caller.
    pub status: u16,
}

/// Maximum number of accounts with their own series; the rest share the label "other".
pub(super) const ACCOUNT_LABELS_MAX: usize = 64;

/// The outcome of a request at its account's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum LimitEnd {
    /// The request was admitted.
    LetIn,
    /// The request was refused because the account is over its limit.
    OverLimit,
    /// The request was admitted but certainly did not run, and its charge was refunded.
    GivenBack,
}

/// Labels of metrics by account and outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AccountLabels {
    /// The account's name.
    pub account: String,
    /// The outcome.
    pub end: LimitEnd,
}

/// Maximum number of services with their own series; the rest share the label "other".
pub(super) const SERVICE_LABELS_MAX: usize = 64;

/// Labels of metrics by service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service's name.
    pub service: String,
}

/// Labels of metrics by service and priority.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PriorityLabels {
    /// The service's name.
    pub service: String,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
}

/// Labels of metrics by the ends of backend servers' responses.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResponseEndLabels {
    /// How the response's end was marked.
    pub framing: &'static str,
    /// What decided that it ended.
    pub cause: &'static str,
}

/// Labels of metrics by service and software version.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SoftwareLabels {
    /// The service's name.
    pub service: String,
    /// The name of the version.
    pub software: String,
}

/// Labels of metrics of streams that callers take up.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TakeUpLabels {
    /// The service's name.
    pub service: String,
    /// Where the stream's version was found, or why the stream does not go on.
    pub result: &'static str,
}

/// The reason for a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StoreCause {
    /// Reads all objects of a kind.
    List,
    /// Watches for changes.
    Watch,
    /// Checks whether the store responds again.
    WhileLost,
    /// Reads or writes the lease for engine roles.
    Lease,
    /// Reads or writes the entry of this host.
    Entry,
    /// Reads or writes the streams that hosts keep in the store.
    Streams,
}

/// Labels of metrics by reason of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabels {
    /// The reason.
    pub cause: StoreCause,
}

/// Returns the label for a name: the name itself for the first `max` names, "other" for the rest.
pub(super) fn bounded_label(
    known: &RefCell<HashSet<FastStr>>,
    name: &FastStr,
    max: usize,
) -> String {
    let mut known = known.borrow_mut();
    if known.len() < max {
        known.insert(name.clone());
    }
    match known.contains(name) {
        true => name.to_string(),
        false => "other".to_owned(),
    }
}
