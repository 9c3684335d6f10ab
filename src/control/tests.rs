//! Tests of control state.
