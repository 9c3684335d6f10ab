//! Whether a request may be sent to backend servers at all: one that ends them is sent to none.

use {
    super::call::RelayCall,
    crate::{
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{parts::shared::RelayParts, policy::crash_record::CrashVerdict},
    },
    faststr::FastStr,
    std::time::Duration,
};

/// Longest time that a caller is told to stay away: what its request does may change with the servers' next version.
const COME_BACK_MOST: Duration = Duration::from_secs(60);

/// When a caller is to come back whose request may be tried, and that another host does not allow now.
const COME_BACK_TRIAL: Duration = Duration::from_secs(5);

/// Lets a request in that is not held to end its servers, and one that may be tried.
pub(super) async fn admit(
    parts: &RelayParts,
    call: RelayCall,
    service: &FastStr,
) -> Result<RelayCall, Refusal> {
    if parts.crashes.is_empty() {
        return Ok(call);
    }
    match parts.judge(call.digest()) {
        CrashVerdict::Harmless => Ok(call),
        CrashVerdict::Suspected(_) => Ok(call.suspected()),
        CrashVerdict::Fatal(wait) => Err(refusal(parts, &call, service, RunVerdict::NotRun, wait)),
        CrashVerdict::TrialDue => match parts.ask_trial(call.digest()).await {
            true => Ok(call.suspected().on_trial()),
            false => Err(refusal(
                parts,
                &call,
                service,
                RunVerdict::NotRun,
                COME_BACK_TRIAL,
            )),
        },
    }
}

/// Suspension of the host from which on a key that it had looked at counts as not looked at: what may have been taken away
/// meanwhile it cannot have heard of. Shorter ones are within what a check and a send lie apart anyhow.
const SUSPENSION_LEAST: Duration = Duration::from_millis(200);

/// Whether a request may be sent now, after sends of which `verdict` is known: what became of them, and of others' sends
/// meanwhile, may have shown that it ends its servers.
pub(super) fn check_send(
    parts: &RelayParts,
    call: &RelayCall,
    service: &FastStr,
    verdict: RunVerdict,
) -> Result<(), Refusal> {
    check_time(parts, call).map_err(|refusal| Refusal { verdict, ..refusal })?;
    if parts.crashes.is_empty() {
        return Ok(());
    }
    let wait = match parts.judge(call.digest()) {
        CrashVerdict::Harmless | CrashVerdict::Suspected(_) => return Ok(()),
        // A trial is one run.
        _ if call.is_on_trial && verdict == RunVerdict::NotRun => return Ok(()),
        CrashVerdict::Fatal(wait) => wait,
        CrashVerdict::TrialDue => COME_BACK_TRIAL,
    };
    Err(refusal(parts, call, service, verdict, wait))
}

// What was so when the call was let in need not be any more: a server would work for nobody, and after a suspension, which
// timers do not count, a key may have been taken away.
fn check_time(parts: &RelayParts, call: &RelayCall) -> Result<(), Refusal> {
    if call.time_left().is_zero() {
        let text = "its time is over";
        return Err(Refusal::not_run(RefusalCode::DeadlinePassed, text));
    }
    let suspended = parts.clock.suspended().saturating_sub(call.suspended);
    if suspended < SUSPENSION_LEAST {
        return Ok(());
    }
    parts.identify(&call.route, call.marks.key).map(drop)
}

fn refusal(
    parts: &RelayParts,
    call: &RelayCall,
    service: &FastStr,
    verdict: RunVerdict,
    wait: Duration,
) -> Refusal {
    parts.metrics.fatal_refused(service);
    let digest = call.digest();
    let text = format!("backend servers end under this request ({digest}), so it is sent to none");
    Refusal::new(verdict, RefusalCode::EndsServers, text).after(wait.min(COME_BACK_MOST))
}
