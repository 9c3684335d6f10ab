//! What a host knows of the configuration, the backend servers and the other hosts, and the changes that other
//! hosts lack. Plain state: how hosts exchange it is implemented in `news`.

mod backend_list;
mod backend_news;
mod cold_times;
pub(crate) mod config_state;
mod evacuations;
pub(crate) mod history;
mod host_list;
pub(crate) mod list_parts;
mod outages;
pub(crate) mod state;

pub use self::{
    backend_list::*, config_state::*, evacuations::*, history::*, host_list::*, list_parts::*,
    state::*,
};
