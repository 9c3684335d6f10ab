//! News of the configuration, the backend servers and the hosts: few hosts of a zone read the store, the
//! others ask them.

mod follow;
mod history;
mod link;
mod message;
mod source;
mod tell;

pub use self::{follow::*, history::*, link::*, message::*, source::*, tell::*};
