//! What the tasks of a relaying host share: its beliefs, its decisions and its figures, in one place.
//! Methods here connect several of them; what is done with a request is a matter of `request`.

pub(crate) mod accounts;
pub(crate) mod availability;
pub(crate) mod crashes;
pub(crate) mod ends;
pub(crate) mod metric_labels;
pub(crate) mod metrics;
pub(crate) mod permits;
pub(crate) mod publish;
pub(crate) mod server_limits;
pub(crate) mod shared;
pub(crate) mod shares;

pub use self::{
    accounts::*, crashes::*, metric_labels::*, metrics::*, permits::*, server_limits::*, shared::*,
};
