//! What one attempt of a client may still use: backend servers that run it, and backend servers that decline it.
//!
//! A request to a backend server counts from the moment it is sent until it is known not to have run there. Calls that
//! only reserve memory, read caches or compute the prompt do not run the attempt and are not counted.

use super::loads::EngineKey;

// A server that an attempt was sent to and that has not declined it every time.
#[derive(Debug, Clone, Copy)]
struct UsedServer {
    server: EngineKey,
    // Sends whose outcome is not known.
    pending: u32,
    // Whether it ran the attempt, or may have.
    has_run: bool,
}

/// The servers that an attempt was sent to, and how many more it may be sent to.
#[derive(Debug)]
pub struct AttemptBudget {
    servers_max: u32,
    servers: Vec<UsedServer>,
}

impl AttemptBudget {
    /// The budget of an attempt that may run on this number of servers.
    pub fn new(servers_max: u32) -> Self {
        Self {
            servers_max: servers_max.max(1),
            servers: Vec::new(),
        }
    }

    /// Number of servers that it may run on.
    pub fn servers_max(&self) -> u32 {
        self.servers_max
    }

    /// Number of servers that it was sent to, without those that did not run it.
    pub fn servers_used(&self) -> u32 {
        self.servers.len() as u32
    }

    /// Records that it is sent to a server.
    pub fn record_send(&mut self, server: EngineKey) {
        match self.find(server) {
            Some(used) => used.pending += 1,
            None => self.servers.push(UsedServer {
                server,
                pending: 1,
                has_run: false,
            }),
        }
    }

    /// Records that a server ran it, or may have.
    pub fn record_run(&mut self, server: EngineKey) {
        if let Some(used) = self.find(server) {
            used.pending = used.pending.saturating_sub(1);
            used.has_run = true;
        }
    }

    /// Records that a server did not run it: it declined, or received nothing.
    pub fn record_not_run(&mut self, server: EngineKey) {
        if let Some(used) = self.find(server) {
            used.pending = used.pending.saturating_sub(1);
        }
        self.servers.retain(|used| used.pending > 0 || used.has_run);
    }

    fn find(&mut self, server: EngineKey) -> Option<&mut UsedServer> {
        self.servers.iter_mut().find(|used| used.server == server)
    }
}
