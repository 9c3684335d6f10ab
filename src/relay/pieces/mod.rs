//! A configuration as pieces that are named by their content, so that a host only fetches what it lacks.
//!
//! Lists of routes, services and accounts become trees: leaves hold consecutive items, branches hold names of pieces.
//! Where a list is cut depends on its items alone, so a changed item changes one leaf and the branches above it,
//! whatever the version that a host holds. [`ConfigRoot`] names the trees of a version.

mod byte_budget;
mod config_piece;
mod config_root;
mod group_cutter;
mod piece_name;
mod piece_sources;
mod piece_store;

pub use self::{
    byte_budget::*, config_piece::*, config_root::*, piece_name::*, piece_sources::*,
    piece_store::*,
};
