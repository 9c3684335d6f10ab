//! Gives memory back to the system after many callers have taken much of it.

use {
    super::parts::shared::RelayParts,
    std::{rc::Rc, time::Duration},
};

/// How long after callers have given their bytes back the heap is released: their connections are closed by then.
const RELEASE_DELAY: Duration = Duration::from_secs(1);

/// Releases the heap's free pages whenever callers have held much and hold little again.
pub(super) async fn release_heap(parts: Rc<RelayParts>) {
    loop {
        parts.caller_budget.fallen().await;
        tokio::time::sleep(RELEASE_DELAY).await;
        release_free_pages();
    }
}

// The allocator keeps what was freed between blocks that are still in use.
#[cfg(target_env = "gnu")]
fn release_free_pages() {
    // SAFETY: there are no preconditions; blocks in use are not touched.
    unsafe {
        libc::malloc_trim(0);
    }
}

#[cfg(not(target_env = "gnu"))]
fn release_free_pages() {}
