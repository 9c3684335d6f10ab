//! Tickets: keys that name the one host incarnation that may run an operation.
//!
//! `docs/design/operations.md` weighs this against other ways.

use {
    faststr::FastStr,
    std::{fmt, str::FromStr, time::Duration},
};

const TICKET_VERSION: &str = "bp1";

/// How long a ticket may be used after it was issued, on its owner's own clock.
pub const TICKET_LIFE: Duration = Duration::from_secs(240);

/// A key that only its owner may run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OperationTicket {
    /// Name of the owner.
    pub host: FastStr,
    /// Incarnation of the owner.
    pub incarnation: FastStr,
    /// Seconds after the owner's start at which it was issued.
    pub issued: u64,
    /// Random, so that nobody guesses another's ticket.
    pub salt: u64,
}

impl fmt::Display for OperationTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            host,
            incarnation,
            issued,
            salt,
        } = self;
        write!(
            f,
            "{TICKET_VERSION}.{host}.{incarnation}.{issued}.{salt:016x}"
        )
    }
}

impl FromStr for OperationTicket {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let parts: Vec<&str> = text.split('.').collect();
        let [TICKET_VERSION, host, incarnation, issued, salt] = parts[..] else {
            return Err(());
        };
        if host.is_empty() || incarnation.is_empty() || salt.len() != 16 {
            return Err(());
        }
        Ok(Self {
            host: FastStr::new(host),
            incarnation: FastStr::new(incarnation),
            issued: issued.parse().map_err(|_| ())?,
            salt: u64::from_str_radix(salt, 16).map_err(|_| ())?,
        })
    }
}

/// What a key is to this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOwner {
    /// A ticket of this incarnation that may be used.
    Own,
    /// A ticket of this incarnation that is too old, or from its future.
    OwnExpired,
    /// A ticket of an earlier incarnation of this host, whose memory is gone.
    Gone,
    /// A ticket of another host.
    Other(OperationTicket),
    /// A key that a caller made up.
    Caller,
}

/// Issues and recognizes the tickets of one host incarnation.
#[derive(Debug)]
pub struct TicketBook {
    host: FastStr,
    incarnation: FastStr,
}

impl TicketBook {
    /// The book of a host incarnation.
    pub fn new(host: FastStr, incarnation: FastStr) -> Self {
        Self { host, incarnation }
    }

    /// A new ticket, at a time since the host's start.
    pub fn issue(&self, now: Duration) -> OperationTicket {
        OperationTicket {
            host: self.host.clone(),
            incarnation: self.incarnation.clone(),
            issued: now.as_secs(),
            salt: rand::random(),
        }
    }

    /// Whose a key is, at a time since the host's start.
    pub fn owner(&self, key: &str, now: Duration) -> KeyOwner {
        let Ok(ticket) = key.parse::<OperationTicket>() else {
            return KeyOwner::Caller;
        };
        if ticket.host != self.host {
            return KeyOwner::Other(ticket);
        }
        if ticket.incarnation != self.incarnation {
            return KeyOwner::Gone;
        }
        let age = now.as_secs().checked_sub(ticket.issued);
        match age {
            Some(age) if age <= TICKET_LIFE.as_secs() => KeyOwner::Own,
            _ => KeyOwner::OwnExpired,
        }
    }
}
