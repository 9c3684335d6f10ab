//! What hosts tell each other: news of the configuration, the backend servers and the hosts, which few
//! hosts of a zone read from the store for the others; and what each one's requests take at engines.

mod follow;
mod history;
mod link;
mod loads;
mod message;
mod share;
mod source;
mod tell;

pub use self::{
    follow::*, history::*, link::*, loads::*, message::*, share::*, source::*, tell::*,
};
