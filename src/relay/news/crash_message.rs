//! Encoding of crash records, the requests and prompt parts under which backend servers ended, in messages between hosts.

use {
    super::message,
    crate::{
        news_capnp::{crash_mark, news_peer::allow_trial_params},
        relay::policy::{
            crash_report::{CrashEntry, CrashReport},
            crash_suspect::CrashSuspect,
            loads::EngineKey,
        },
    },
    capnp::{Result, struct_list},
    std::time::Duration,
};

/// Encodes crash records.
pub fn write_marks(mut to: struct_list::Builder<'_, crash_mark::Owned>, marks: &[CrashReport]) {
    for (index, mark) in marks.iter().enumerate() {
        write_mark(to.reborrow().get(index as u32), mark);
    }
}

fn write_mark(mut to: crash_mark::Builder<'_>, mark: &CrashReport) {
    let (high, low) = split_digest(mark.digest);
    to.set_high(high);
    to.set_low(low);
    to.set_is_part(mark.is_part);
    to.set_seen_ms(message::to_ms(Some(mark.seen)));
    let mut trials = to.reborrow().init_trials_ms(mark.trials.len() as u32);
    for (index, age) in mark.trials.iter().enumerate() {
        trials.set(index as u32, message::to_ms(Some(*age)));
    }
    let mut ends = to.init_ends(mark.crashes.len() as u32);
    for (index, end) in mark.crashes.iter().enumerate() {
        let mut entry = ends.reborrow().get(index as u32);
        entry.set_run(end.run.0);
        entry.set_age_ms(message::to_ms(Some(end.age)));
        entry.set_is_excused(end.is_excused);
    }
}

/// Decodes crash records; fails if one is malformed.
pub fn read_marks(from: struct_list::Reader<'_, crash_mark::Owned>) -> Result<Vec<CrashReport>> {
    from.iter().map(read_mark).collect()
}

fn read_mark(from: crash_mark::Reader<'_>) -> Result<CrashReport> {
    let ends = from.get_ends()?.iter().map(|end| CrashEntry {
        run: EngineKey(end.get_run()),
        age: from_millis(end.get_age_ms()),
        is_excused: end.get_is_excused(),
    });
    Ok(CrashReport {
        digest: join_digest(from.get_high(), from.get_low()),
        is_part: from.get_is_part(),
        crashes: ends.collect(),
        trials: from.get_trials_ms()?.iter().map(from_millis).collect(),
        seen: from_millis(from.get_seen_ms()),
    })
}

fn from_millis(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}

/// Writes the suspect whose trial is requested.
pub fn write_trial(mut to: allow_trial_params::Builder<'_>, suspect: CrashSuspect) {
    let (high, low) = split_digest(suspect.digest());
    to.set_high(high);
    to.set_low(low);
    to.set_is_part(suspect.is_part());
}

/// Reads the suspect whose trial is requested.
pub fn read_trial(from: allow_trial_params::Reader<'_>) -> CrashSuspect {
    let digest = join_digest(from.get_high(), from.get_low());
    CrashSuspect::from_wire(digest, from.get_is_part())
}

fn split_digest(digest: u128) -> (u64, u64) {
    ((digest >> 64) as u64, digest as u64)
}

fn join_digest(high: u64, low: u64) -> u128 {
    u128::from(high) << 64 | u128::from(low)
}
