//! Encoding of the work by priority in load reports.

use {
    crate::{
        news_capnp::priority_load,
        relay::policy::priority_loads::{PriorityClass, PriorityLoad},
    },
    capnp::{Result, struct_list},
    faststr::FastStr,
};

/// Encodes work by priority.
pub(super) fn write_loads(
    mut to: struct_list::Builder<'_, priority_load::Owned>,
    loads: &[PriorityLoad],
) {
    let limit = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
    for (index, load) in loads.iter().enumerate() {
        let mut entry = to.reborrow().get(index as u32);
        entry.set_service(load.class.service.as_str());
        entry.set_priority(load.class.priority);
        entry.set_waiting(limit(load.waiting));
        entry.set_waiting_tokens(limit(load.waiting_tokens));
        entry.set_running_tokens(limit(load.running_tokens));
        entry.set_arriving_tokens(limit(load.arriving_tokens));
    }
}

/// Decodes work by priority; fails if it is malformed. Entries for a single account are not used.
pub(super) fn read_loads(
    from: struct_list::Reader<'_, priority_load::Owned>,
) -> Result<Vec<PriorityLoad>> {
    let of_all_accounts = from.iter().filter(|load| load.get_account() == 0);
    let loads = of_all_accounts.map(|load| {
        Ok(PriorityLoad {
            class: PriorityClass {
                service: FastStr::new(load.get_service()?.to_str()?),
                priority: load.get_priority(),
            },
            waiting: u64::from(load.get_waiting()),
            waiting_tokens: u64::from(load.get_waiting_tokens()),
            running_tokens: u64::from(load.get_running_tokens()),
            arriving_tokens: u64::from(load.get_arriving_tokens()),
        })
    });
    loads.collect()
}
