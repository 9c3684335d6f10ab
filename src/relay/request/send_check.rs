//! Checks before a request is sent to a backend server: its deadline, its API key, and whether it is known to crash
//! the servers that run it.

use {
    super::client_request::ClientRequest,
    crate::{
        operation::{Refusal, RefusalCode, RunVerdict},
        relay::{
            parts::shared::RelayParts,
            policy::{crash_record::CrashVerdict, crash_suspect::CrashSuspect},
        },
    },
    faststr::FastStr,
    std::time::Duration,
};

/// Upper limit of `Retry-After` for a request that crashes its servers: the next version of the servers may handle
/// the request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// `Retry-After` for a request that is due for a trial while the host that grants trials does not allow one.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Admits a request unless it or a part of its prompt is known to crash servers. One that is due for a trial is admitted if the host that
/// grants trials allows it.
pub(super) async fn admit(
    parts: &RelayParts,
    request: ClientRequest,
    service: &FastStr,
) -> Result<ClientRequest, Refusal> {
    if parts.crashes.is_empty() {
        return Ok(request);
    }
    let judged = parts.judge_request(request.suspects());
    let Some((suspect, judgement)) = judged.first().copied() else {
        return Ok(request);
    };
    if let CrashVerdict::Fatal(wait) = judgement {
        return Err(fatal_refusal(
            parts,
            suspect,
            service,
            RunVerdict::NotRun,
            wait,
        ));
    }
    let is_due = |(_, verdict): &&(CrashSuspect, CrashVerdict)| *verdict == CrashVerdict::TrialDue;
    for (suspect, _) in judged.iter().filter(is_due) {
        if !parts.request_trial(*suspect).await {
            let (verdict, wait) = (RunVerdict::NotRun, TRIAL_RETRY_AFTER);
            return Err(fatal_refusal(parts, *suspect, service, verdict, wait));
        }
    }
    let request = request.as_crash_suspect();
    Ok(match judgement {
        CrashVerdict::TrialDue => request.as_crash_trial(),
        _ => request,
    })
}

/// Checks whether a request may be sent now. Earlier sends of it, or sends of the same request by other hosts, may have
/// shown since its admission that it crashes its servers.
pub(super) fn check_send(
    parts: &RelayParts,
    request: &ClientRequest,
    service: &FastStr,
) -> Result<(), Refusal> {
    let verdict = request.verdict();
    check_deadline_and_key(parts, request).map_err(|refusal| refusal.with_least(verdict))?;
    if parts.crashes.is_empty() {
        return Ok(());
    }
    let judged = parts.judge_request(request.suspects());
    let Some((suspect, judgement)) = judged.first().copied() else {
        return Ok(());
    };
    let wait = match judgement {
        CrashVerdict::Harmless | CrashVerdict::Suspected(_) => return Ok(()),
        // The granted trial is one run, and that has not taken place yet.
        _ if request.is_crash_trial && verdict == RunVerdict::NotRun => return Ok(()),
        CrashVerdict::Fatal(wait) => wait,
        CrashVerdict::TrialDue => TRIAL_RETRY_AFTER,
    };
    Err(fatal_refusal(parts, suspect, service, verdict, wait))
}

// Checks again what may have changed since admission: past the deadline, a server would compute a response that nobody
// receives, and while this process stalled, when it received no revocations, the API key may have been revoked.
fn check_deadline_and_key(parts: &RelayParts, request: &ClientRequest) -> Result<(), Refusal> {
    if request.time_left().is_zero() {
        let text = "its time is over";
        return Err(Refusal::not_run(RefusalCode::DeadlinePassed, text));
    }
    if !parts.stalls.has_stalled_since(request.received_at) {
        return Ok(());
    }
    parts.identify(&request.route, request.marks.key).map(drop)
}

fn fatal_refusal(
    parts: &RelayParts,
    suspect: CrashSuspect,
    service: &FastStr,
    verdict: RunVerdict,
    wait: Duration,
) -> Refusal {
    parts.metrics.services.fatal_refused(service, suspect);
    let subject = match suspect {
        CrashSuspect::Request(digest) => format!("this request ({digest})"),
        CrashSuspect::PromptPart(digest) => format!("a part of this prompt ({digest})"),
    };
    let text = format!("backend servers end under {subject}, so it is sent to none");
    Refusal::new(verdict, RefusalCode::EndsServers, text).after(wait.min(MAX_RETRY_AFTER))
}
