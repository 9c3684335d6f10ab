//! What one attempt of a client may still use: backend servers that run it, and backend servers that decline it.
//!
//! A request to a backend server counts from the moment it is sent until it is known not to have run there. Calls that
//! only reserve memory, read caches or compute the prompt do not run the attempt and are not counted.
//!
//! It also decides whether the attempt may be sent once more, and whether it may have run: a send whose outcome is not
//! known may have run.

use {super::loads::EngineKey, crate::operation::RunVerdict};

/// Number of servers that may decline an attempt, or receive nothing of it, before it is refused.
const DECLINES_MAX: u32 = 3;

// A server that an attempt was sent to and that is not known not to have run it.
#[derive(Debug, Clone, Copy)]
struct UsedServer {
    server: EngineKey,
    // Sends whose outcome is not known.
    pending: u32,
    // Whether it ran the attempt, or may have.
    has_run: bool,
    // Whether the attempt's stream stopped there without an end.
    has_stalled: bool,
}

/// The servers that an attempt was sent to, and how many more it may be sent to.
///
/// Servers that ran it and are known to have ended do not count any more: they hold nothing of it.
#[derive(Debug)]
pub struct AttemptBudget {
    servers_max: u32,
    is_repeatable: bool,
    // The highest verdict of the sends whose outcome is known.
    settled: RunVerdict,
    servers: Vec<UsedServer>,
    ended: u32,
    declines: u32,
}

impl AttemptBudget {
    /// The budget of an attempt that may run on this number of servers, and more than once if it is repeatable.
    pub fn new(servers_max: u32, is_repeatable: bool) -> Self {
        Self {
            servers_max: servers_max.max(1),
            is_repeatable,
            settled: RunVerdict::NotRun,
            servers: Vec::new(),
            ended: 0,
            declines: 0,
        }
    }

    /// Whether it ran, from all of its sends.
    pub fn verdict(&self) -> RunVerdict {
        match self.open_sends() {
            0 => self.settled,
            _ => self.settled.max(RunVerdict::MayHaveRun),
        }
    }

    /// Number of sends whose outcome is not known.
    pub fn open_sends(&self) -> u32 {
        self.servers.iter().map(|used| used.pending).sum()
    }

    /// Whether it may be sent once more: running it again is harmless, or each of its sends is known not to have run.
    pub fn allows_send(&self) -> bool {
        self.verdict().allows_retry(self.is_repeatable)
    }

    /// Whether no further server may receive it, only those that did.
    pub fn is_used_up(&self) -> bool {
        self.servers.len() as u32 >= self.servers_max
    }

    /// Whether a server may receive it.
    pub fn allows(&self, server: EngineKey) -> bool {
        !self.is_used_up() || self.servers.iter().any(|used| used.server == server)
    }

    /// Whether a stream that stopped at one server may move to another one: not back to where it stopped before.
    pub fn allows_move(&self, server: EngineKey) -> bool {
        let has_stalled = |used: &UsedServer| used.server == server && used.has_stalled;
        self.allows(server) && !self.servers.iter().any(has_stalled)
    }

    /// Whether there may be a server that a stopped stream can move to.
    pub fn has_moves_left(&self) -> bool {
        !self.is_used_up() || self.servers.iter().any(|used| !used.has_stalled)
    }

    /// Whether another server may decline it.
    pub fn allows_decline(&self) -> bool {
        self.declines < DECLINES_MAX
    }

    /// The servers that received it, the last one first, after them those where its stream stopped.
    pub fn used_servers(&self) -> Vec<EngineKey> {
        let mut servers: Vec<UsedServer> = self.servers.iter().rev().copied().collect();
        servers.sort_by_key(|used| used.has_stalled);
        servers.iter().map(|used| used.server).collect()
    }

    /// Number of servers that ran it or may have, with those that have ended.
    pub fn servers_used(&self) -> u32 {
        self.servers.len() as u32 + self.ended
    }

    /// Records that it is sent to a server.
    pub fn record_send(&mut self, server: EngineKey) {
        assert!(
            self.allows_send(),
            "an attempt that may not be repeated has no other send that ran or may have: {self:?}, {server:?}"
        );
        assert!(
            self.allows(server),
            "an attempt runs on no more servers than its route allows: {self:?}, {server:?}"
        );
        match self.find(server) {
            Some(used) => used.pending += 1,
            None => self.servers.push(UsedServer {
                server,
                pending: 1,
                has_run: false,
                has_stalled: false,
            }),
        }
    }

    /// Records that a server ran it, or may have, as the verdict says.
    pub fn record_run(&mut self, server: EngineKey, verdict: RunVerdict) {
        assert!(
            verdict != RunVerdict::NotRun,
            "a send that did not run is recorded as such: {server:?}"
        );
        self.settled = self.settled.max(verdict);
        if let Some(used) = self.find(server) {
            used.pending = used.pending.saturating_sub(1);
            used.has_run = true;
        }
    }

    /// Records that a server did not run it: it declined, or received nothing.
    pub fn record_not_run(&mut self, server: EngineKey) {
        self.declines += 1;
        if let Some(used) = self.find(server) {
            used.pending = used.pending.saturating_sub(1);
        }
        self.servers.retain(|used| used.pending > 0 || used.has_run);
    }

    /// Records whether its stream has stopped at a server without an end.
    pub fn record_stall(&mut self, server: EngineKey, has_stalled: bool) {
        if let Some(used) = self.find(server) {
            used.has_stalled = has_stalled;
        }
    }

    /// Leaves out the servers that are known to have ended.
    pub fn forget_ended(&mut self, has_ended: impl Fn(EngineKey) -> bool) {
        let before = self.servers.len();
        self.servers
            .retain(|used| used.pending > 0 || !has_ended(used.server));
        self.ended += (before - self.servers.len()) as u32;
    }

    fn find(&mut self, server: EngineKey) -> Option<&mut UsedServer> {
        self.servers.iter_mut().find(|used| used.server == server)
    }
}
