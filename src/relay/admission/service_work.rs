//! Work of one service by priority, over all hosts.

use crate::relay::policy::priority_loads::PriorityLoad;

/// Work of one service by priority, over all hosts, most urgent first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceWork {
    classes: Vec<PriorityLoad>,
}

impl ServiceWork {
    /// Sums up this host's work for a service and that of all other hosts for it and other services.
    pub fn of(service: &str, own: Vec<PriorityLoad>, others: &[PriorityLoad]) -> Self {
        let mut classes = own;
        for load in others.iter().filter(|load| load.class.service == service) {
            match classes.iter_mut().find(|known| known.class == load.class) {
                Some(known) => known.add(load),
                None => classes.push(load.clone()),
            }
        }
        classes.sort_by_key(|load| load.class.priority);
        Self { classes }
    }

    /// The work that goes before a request of this priority.
    pub fn more_urgent(&self, priority: u8) -> &[PriorityLoad] {
        let end = self
            .classes
            .partition_point(|load| load.class.priority < priority);
        &self.classes[..end]
    }

    /// The work of this priority and of all that goes before it.
    pub fn at_least(&self, priority: u8) -> &[PriorityLoad] {
        let end = self
            .classes
            .partition_point(|load| load.class.priority <= priority);
        &self.classes[..end]
    }

    /// The work that goes after a request of this priority.
    pub fn less_urgent(&self, priority: u8) -> &[PriorityLoad] {
        &self.classes[self.at_least(priority).len()..]
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> u64 {
        waiting(&self.classes)
    }

    /// Tokens that running requests have reserved.
    pub fn running_tokens(&self) -> u64 {
        self.classes.iter().map(|load| load.running_tokens).sum()
    }
}

/// Number of requests that wait in some classes.
pub(super) fn waiting(classes: &[PriorityLoad]) -> u64 {
    classes.iter().map(|load| load.waiting).sum()
}

/// Tokens of the requests that wait in some classes.
pub(super) fn waiting_tokens(classes: &[PriorityLoad]) -> u64 {
    classes.iter().map(|load| load.waiting_tokens).sum()
}
