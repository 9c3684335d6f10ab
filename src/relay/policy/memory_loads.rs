//! Memory and prefills of this host's requests at engines.

use super::registry::BackendRegistry;

impl BackendRegistry {
    /// Records that an engine is being asked for memory.
    pub fn memory_asked(&mut self, id: &str, tokens: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.asked_tokens += tokens;
        }
    }

    /// Records that an engine that was asked for memory has responded, or was given up on.
    pub fn memory_answered(&mut self, id: &str, tokens: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.asked_tokens = view.asked_tokens.saturating_sub(tokens);
        }
    }

    /// Records that a request of this host reserved memory at an engine.
    pub fn memory_reserved(&mut self, id: &str, tokens: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.memory_tokens += tokens;
            self.mark_reportable(id);
        }
    }

    /// Records that a request of this host released memory at an engine.
    pub fn memory_released(&mut self, id: &str, tokens: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.memory_tokens = view.memory_tokens.saturating_sub(tokens);
            view.refused = None;
        }
    }

    /// Records a prefill of this many tokens in flight.
    pub fn prefill_started(&mut self, id: &str, tokens: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.prefill_tokens += tokens;
            self.mark_reportable(id);
        }
    }

    /// Records that a prefill of this many tokens is no longer in flight.
    pub fn prefill_ended(&mut self, id: &str, tokens: u64) {
        if let Some(view) = self.views.get_mut(id) {
            view.prefill_tokens = view.prefill_tokens.saturating_sub(tokens);
        }
    }
}
