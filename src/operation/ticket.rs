//! Tickets: operation keys that name the only host incarnation allowed to run the operation.
//!
//! `docs/design/operations.md` compares this with alternatives.

use {
    faststr::FastStr,
    std::{fmt, str::FromStr, time::Duration},
};

const TICKET_VERSION: &str = "bp1";

/// Lifetime of a ticket, measured on the clock of the host that issued it.
pub const TICKET_LIFE: Duration = Duration::from_secs(240);

/// A key whose operation may be run only by the host incarnation that issued it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OperationTicket {
    /// Name of the issuing host.
    pub host: FastStr,
    /// Incarnation of the issuing host.
    pub incarnation: FastStr,
    /// Issue time, in seconds since the start of the issuing host.
    pub issued: u64,
    /// Random value that makes tickets hard to guess.
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

/// Classification of a key by this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOwner {
    /// A valid ticket issued by this incarnation.
    Own,
    /// A ticket of this incarnation that has expired or whose issue time is in the future.
    OwnExpired,
    /// A ticket of another incarnation of this host, whose records are lost.
    Gone,
    /// A ticket issued by another host.
    Other(OperationTicket),
    /// A key chosen by the caller; not a ticket.
    Caller,
}

/// Issues and classifies tickets for one host incarnation.
#[derive(Debug)]
pub struct TicketBook {
    host: FastStr,
    incarnation: FastStr,
}

impl TicketBook {
    /// Creates a ticket book for a host incarnation.
    pub fn new(host: FastStr, incarnation: FastStr) -> Self {
        Self { host, incarnation }
    }

    /// Issues a ticket; `now` is the time since the host's start.
    pub fn issue(&self, now: Duration) -> OperationTicket {
        OperationTicket {
            host: self.host.clone(),
            incarnation: self.incarnation.clone(),
            issued: now.as_secs(),
            salt: rand::random(),
        }
    }

    /// Classifies a key; `now` is the time since the host's start.
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
