//! Requests under which backend servers ended, in the messages between hosts.

use {
    super::message,
    crate::{
        news_capnp::crash_mark,
        relay::policy::{
            crash_report::{CrashEntry, CrashReport},
            digest::RequestDigest,
            loads::EngineKey,
        },
    },
    capnp::{Result, struct_list},
    std::time::Duration,
};

/// Writes marks.
pub fn write_marks(mut to: struct_list::Builder<'_, crash_mark::Owned>, marks: &[CrashReport]) {
    for (index, mark) in marks.iter().enumerate() {
        write_mark(to.reborrow().get(index as u32), mark);
    }
}

fn write_mark(mut to: crash_mark::Builder<'_>, mark: &CrashReport) {
    let (high, low) = halves(mark.digest);
    to.set_high(high);
    to.set_low(low);
    to.set_seen_ms(message::to_ms(Some(mark.seen)));
    let mut trials = to.reborrow().init_trials_ms(mark.trials.len() as u32);
    for (index, age) in mark.trials.iter().enumerate() {
        trials.set(index as u32, message::to_ms(Some(*age)));
    }
    let mut ends = to.init_ends(mark.crashes.len() as u32);
    for (index, end) in mark.crashes.iter().enumerate() {
        let mut place = ends.reborrow().get(index as u32);
        place.set_run(end.run.0);
        place.set_age_ms(message::to_ms(Some(end.age)));
        place.set_is_excused(end.is_excused);
    }
}

/// Reads marks; what is not well formed is an error.
pub fn read_marks(from: struct_list::Reader<'_, crash_mark::Owned>) -> Result<Vec<CrashReport>> {
    from.iter().map(read_mark).collect()
}

fn read_mark(from: crash_mark::Reader<'_>) -> Result<CrashReport> {
    let ends = from.get_ends()?.iter().map(|end| CrashEntry {
        run: EngineKey(end.get_run()),
        age: age(end.get_age_ms()),
        is_excused: end.get_is_excused(),
    });
    Ok(CrashReport {
        digest: whole(from.get_high(), from.get_low()),
        crashes: ends.collect(),
        trials: from.get_trials_ms()?.iter().map(age).collect(),
        seen: age(from.get_seen_ms()),
    })
}

fn age(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}

/// A digest as the wire has it.
pub fn halves(digest: RequestDigest) -> (u64, u64) {
    ((digest.0 >> 64) as u64, digest.0 as u64)
}

/// The digest of two halves.
pub fn whole(high: u64, low: u64) -> RequestDigest {
    RequestDigest(u128::from(high) << 64 | u128::from(low))
}
