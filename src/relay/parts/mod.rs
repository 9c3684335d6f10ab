//! State that the tasks of a relaying host share: its view of the cluster, its routing decisions and its metrics.
//! Methods here combine several of these; the handling of requests is implemented in `request`.

pub(crate) mod accounts;
pub(crate) mod attempt_metrics;
pub(crate) mod availability;
pub(crate) mod cold_servers;
pub(crate) mod contention;
pub(crate) mod crashes;
pub(crate) mod ends;
pub(crate) mod evacuations;
pub(crate) mod kept_streams;
pub(crate) mod link_log;
pub(crate) mod link_metrics;
pub(crate) mod links;
pub(crate) mod metric_labels;
pub(crate) mod metrics;
pub(crate) mod origin_metrics;
pub(crate) mod origins;
pub(crate) mod permits;
pub(crate) mod piece_metrics;
pub(crate) mod place_metrics;
pub(crate) mod places;
pub(crate) mod priorities;
pub(crate) mod priority_metrics;
pub(crate) mod publish;
pub(crate) mod refresh;
pub(crate) mod server_limits;
pub(crate) mod service_metrics;
pub(crate) mod shared;
pub(crate) mod shares;
pub(crate) mod stop;

pub use self::{
    accounts::*, attempt_metrics::*, crashes::*, link_metrics::*, metric_labels::*, metrics::*,
    origin_metrics::*, origins::*, permits::*, piece_metrics::*, place_metrics::*, places::*,
    priorities::*, priority_metrics::*, server_limits::*, service_metrics::*, shared::*, stop::*,
};
