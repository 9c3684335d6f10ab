//! Metrics of an entry host, for `/metrics`.

mod metrics;

pub use self::metrics::*;
