//! Maintains the split of engines between the prefill and decode roles, by orders under a lease.
//! `policy` decides which engines change their role.

pub(crate) mod keeper;

pub use self::keeper::*;
