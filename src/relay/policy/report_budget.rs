//! Bounds the reports about prompt parts, whose number callers choose.

use {
    super::crash_report::CrashReport,
    crate::account::{BucketRate, RateBucket},
    std::{cmp::Reverse, time::Duration},
};

/// Reports about prompt parts that a host sends; each takes some 60 bytes.
const PART_REPORTS: BucketRate = BucketRate {
    rate: 32.0,
    burst: 96.0,
};

/// The reports about prompt parts that a host may still send.
#[derive(Debug, Default)]
pub struct ReportBudget {
    bucket: RateBucket,
}

impl ReportBudget {
    /// Keeps all reports about requests, and of those about prompt parts as many as the budget allows, the ones with the most
    /// crashes first. A part that is left out is reported with its next crash, ahead of made-up ones.
    pub fn limit(&mut self, reports: Vec<CrashReport>, now: Duration) -> Vec<CrashReport> {
        let (mut parts, mut kept): (Vec<CrashReport>, Vec<CrashReport>) =
            reports.into_iter().partition(|report| report.is_part);
        parts.sort_by_key(|report| Reverse(report.crashes.len()));
        let allowed = |_: &CrashReport| self.bucket.take(1.0, PART_REPORTS, now).is_ok();
        kept.extend(parts.into_iter().take_while(allowed));
        kept
    }
}
