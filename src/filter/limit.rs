//! Enforces the limits of tenants; each host enforces its own share of them.

use {
    super::call::{CallContext, CallKind, FilterEnd},
    crate::{
        account::{BucketRate, RateBucket},
        engine,
        host::Traffic,
        object::TenantLimits,
        operation::{Refusal, RefusalCode},
    },
    faststr::FastStr,
    futures::{FutureExt, future::BoxFuture},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Burst size, in seconds of the tenant's rate.
const BURST_SECONDS: f64 = 1.0;

/// Takes a permit for the request, or refuses it if its tenant is over a limit.
pub fn filter<'a>(
    traffic: &'a Arc<Traffic>,
    call: &'a mut CallContext,
) -> BoxFuture<'a, Result<(), FilterEnd>> {
    async move { Ok(limit(traffic, call)?) }.boxed()
}

fn limit(traffic: &Arc<Traffic>, call: &mut CallContext) -> Result<(), Refusal> {
    let Some(tenant) = &call.tenant.object else {
        return Ok(());
    };
    let tokens = match &call.kind {
        CallKind::Model(completion) => engine::estimate_tokens(&completion.prompt),
        _ => 0,
    };
    let share = traffic.snapshot.load().limit_share;
    let now = traffic.uptime();
    let name = call.tenant.name.clone();
    let taken = traffic
        .limits
        .take(&name, &tenant.spec.limits, tokens, share, now);
    match taken {
        Ok(permit) => {
            call.permits.push(permit);
            Ok(())
        }
        Err(OverLimit { what, wait }) => {
            let text = format!("tenant {name}: over its limit of {what}");
            Err(Refusal::not_run(RefusalCode::OverLimit, text).after(wait))
        }
    }
}

/// The limit that a request exceeded, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverLimit {
    /// Name of the limit.
    pub what: &'static str,
    /// Shortest wait after which a retry may succeed.
    pub wait: Duration,
}

#[derive(Debug, Default)]
struct TenantUsage {
    requests: RateBucket,
    tokens: RateBucket,
    concurrent: u32,
}

fn bucket_rate(rate: f64) -> BucketRate {
    BucketRate {
        rate,
        burst: rate * BURST_SECONDS,
    }
}

/// Usage of each tenant at this host.
#[derive(Debug, Default)]
pub struct TenantLedger {
    usage: Mutex<HashMap<FastStr, TenantUsage>>,
}

impl TenantLedger {
    /// Counts one request of `tokens` prompt tokens, if this host's share of the limits allows it.
    pub fn take(
        self: &Arc<Self>,
        tenant: &FastStr,
        limits: &TenantLimits,
        tokens: u64,
        share: f64,
        now: Duration,
    ) -> Result<LimitPermit, OverLimit> {
        let mut usage = self.usage.lock().expect("tenant ledger");
        let used = usage.entry(tenant.clone()).or_default();
        if let Some(limit) = limits.concurrent {
            let limit = (f64::from(limit) * share).ceil() as u32;
            if used.concurrent >= limit {
                let wait = Duration::from_secs(1);
                return Err(OverLimit {
                    what: "concurrent requests",
                    wait,
                });
            }
        }
        let request_rate = limits
            .requests_per_second
            .map(|rate| f64::from(rate) * share);
        let token_rate = limits
            .prompt_tokens_per_second
            .map(|rate| rate as f64 * share);
        if let Some(rate) = request_rate
            && used.requests.is_full(bucket_rate(rate), now)
        {
            return Err(OverLimit {
                what: "requests a second",
                wait: used.requests.schedule_retry(1.0, bucket_rate(rate)),
            });
        }
        if let Some(rate) = token_rate
            && used.tokens.is_full(bucket_rate(rate), now)
        {
            return Err(OverLimit {
                what: "prompt tokens a second",
                wait: used.tokens.schedule_retry(tokens as f64, bucket_rate(rate)),
            });
        }
        if request_rate.is_some() {
            used.requests.add(1.0);
        }
        if token_rate.is_some() {
            used.tokens.add(tokens as f64);
        }
        used.concurrent += 1;
        Ok(LimitPermit {
            ledger: self.clone(),
            tenant: tenant.clone(),
        })
    }
}

/// One concurrent request of a tenant; released when dropped.
#[derive(Debug)]
pub struct LimitPermit {
    ledger: Arc<TenantLedger>,
    tenant: FastStr,
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        let mut usage = self.ledger.usage.lock().expect("tenant ledger");
        if let Some(used) = usage.get_mut(&self.tenant) {
            used.concurrent -= 1;
        }
    }
}
