//! Keeping the split of engines between prefill and decode, by orders under a lease.
//! Which engines change is decided in `policy`.

pub(crate) mod keeper;

pub use self::keeper::*;
