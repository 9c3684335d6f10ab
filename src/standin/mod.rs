//! Small stand-ins for what bayplank meets: model engines, plain services, the platform.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod platform;
pub mod service;
