//! Streams that callers take up again: finds the software version that began one, and binds the request to it.

use {
    super::client_request::ClientRequest,
    crate::{
        engine::EngineRole,
        event,
        operation::{Refusal, RefusalCode},
        relay::{
            config::{RelayService, RequestKind},
            parts::{origins::OriginAnswers, shared::RelayParts},
            policy::{
                route::RouteTable,
                software_history::SoftwareEvidence,
                stream_origins::{MAX_STREAM_LIFETIME, StreamRecord},
            },
            software_version::ServerSoftware,
        },
    },
    faststr::FastStr,
    std::{rc::Rc, time::Duration},
};

/// `Retry-After` for a stream that a host may know which did not answer in time.
const SILENT_HOSTS_RETRY_AFTER: Duration = Duration::from_millis(300);

/// How long after its start a host waits for others that have started as well.
const START_TIME: Duration = Duration::from_secs(10);

/// How long a caller waits for them, and which part of its time at most.
const START_WAIT: Duration = Duration::from_millis(1_200);
const START_WAIT_PART: u32 = 3;

/// Pause before they are asked again.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(150);

/// How long a caller may still come back after its time is over: the time is that of its request's arrival here.
const COME_BACK_MARGIN: Duration = Duration::from_secs(2);

/// Where the version of a stream was found.
#[derive(Debug, Clone, PartialEq, Eq)]
enum OriginSource {
    /// This host knew it.
    Own,
    /// Another host knew it.
    Host(FastStr),
    /// The service has had no other lately.
    OnlyVersion,
}

impl OriginSource {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Host(_) => "host",
            Self::OnlyVersion => "only-version",
        }
    }

    fn name(&self) -> &str {
        match self {
            Self::Host(name) => name,
            Self::Own | Self::OnlyVersion => "",
        }
    }
}

/// Binds a request that takes a stream up to the software version that began it, and returns the service that continues it:
/// of a route that is split, the one at which it began. Refused at once if the version is not known or serves no longer.
pub(super) async fn bind_taken_up(
    parts: &Rc<RelayParts>,
    request: &ClientRequest,
    routes: &RouteTable,
    service: Rc<RelayService>,
) -> Result<Rc<RelayService>, Refusal> {
    if !request.is_taken_up() {
        return Ok(service);
    }
    let (origin, source) = find_origin(parts, request, &service.name).await?;
    let Some(service) = continuing_service(request, routes, service.clone(), &origin) else {
        // The route leads to other services now, whose servers have versions of their own.
        return Ok(service);
    };
    request.bind_software(&origin.software);
    parts
        .metrics
        .origins
        .taken_up(&service.name, source.as_str());
    event::emit(
        &event::STREAM_TAKEN_UP,
        &[
            ("request", &request.marks.id),
            ("resumes", &request.resumes()),
            ("service", &service.name),
            ("software", &origin.software),
            ("found", &source.as_str()),
            ("from", &source.name()),
            ("after_ms", &request.age().as_millis()),
        ],
    );
    check_software(parts, request, &service.name)
        .inspect_err(|_| log_refusal(parts, request, &service.name, "gone"))?;
    Ok(service)
}

fn continuing_service(
    request: &ClientRequest,
    routes: &RouteTable,
    drawn: Rc<RelayService>,
    origin: &ServerSoftware,
) -> Option<Rc<RelayService>> {
    if drawn.name == origin.service {
        return Some(drawn);
    }
    let mut shares = request.route.shares.iter();
    let is_reached = shares.any(|share| share.weight > 0 && share.service == origin.service);
    routes.service(&origin.service).filter(|_| is_reached)
}

// Hosts that start together with this one are asked again until they have read what the store keeps.
async fn find_origin(
    parts: &Rc<RelayParts>,
    request: &ClientRequest,
    service: &FastStr,
) -> Result<(ServerSoftware, OriginSource), Refusal> {
    let give_up_at = parts.now() + START_WAIT.min(request.time_left() / START_WAIT_PART);
    loop {
        let answers = match find_record(parts, request, service).await {
            Ok(found) => return Ok(found),
            Err(answers) => answers,
        };
        let has_started_lately = parts.seen_software(service).seen_for < START_TIME;
        let knows_kept = !has_started_lately || parts.has_asked_store();
        let is_confirmed = answers.silent > 0 && parts.confirm_backends(request.received_at).await;
        let only = software_evidence(parts, service, &answers, is_confirmed).only_version();
        if let Some(software) = only.filter(|_| knows_kept) {
            let origin = ServerSoftware {
                service: service.clone(),
                software,
            };
            return Ok((origin, OriginSource::OnlyVersion));
        }
        let may_learn_more = answers.silent > 0 || !parts.has_asked_store();
        if !has_started_lately || !may_learn_more || parts.now() >= give_up_at {
            return Err(unknown_refusal(parts, request, service, &answers));
        }
        tokio::time::sleep(ASK_AGAIN_DELAY).await;
    }
}

// Finds the record of a stream at this host or at others. The error is what the others answered instead.
async fn find_record(
    parts: &Rc<RelayParts>,
    request: &ClientRequest,
    service: &FastStr,
) -> Result<(ServerSoftware, OriginSource), OriginAnswers> {
    let key = request.stream_key();
    if let Some(record) = parts.find_stream(key) {
        return Ok((record.origin, OriginSource::Own));
    }
    // Also asked while this host knows one version only: another one may have been listed a moment ago.
    let mut answers = parts.query_origin(key, service).await;
    let Some((record, host)) = answers.found.take() else {
        return Err(answers);
    };
    let origin = record.origin.clone();
    parts.record_told_streams(vec![record]);
    Ok((origin, OriginSource::Host(host)))
}

fn software_evidence(
    parts: &RelayParts,
    service: &str,
    answers: &OriginAnswers,
    is_confirmed: bool,
) -> SoftwareEvidence {
    SoftwareEvidence {
        own: parts.seen_software(service),
        is_confirmed,
        others: answers.seen.clone(),
        silent: answers.silent,
        kept: parts.kept_software(service),
    }
}

fn unknown_refusal(
    parts: &RelayParts,
    request: &ClientRequest,
    service: &FastStr,
    answers: &OriginAnswers,
) -> Refusal {
    let text = format!(
        "the software version that began this stream is not known: {} hosts were asked, {} did not answer",
        answers.answered + answers.silent,
        answers.silent
    );
    log_refusal(parts, request, service, "unknown");
    let refusal = Refusal::not_run(RefusalCode::OriginUnknown, text);
    match answers.silent {
        0 => refusal,
        _ => refusal.after(SILENT_HOSTS_RETRY_AFTER),
    }
}

/// Refuses a request that continues a stream if no server of the version that began it takes new requests. Nothing tells
/// whether one will come back, so the caller is not told when to try again.
pub(super) fn check_software(
    parts: &RelayParts,
    request: &ClientRequest,
    service: &str,
) -> Result<(), Refusal> {
    let Some(software) = request.bound_software() else {
        return Ok(());
    };
    let config = parts.routes().and_then(|routes| routes.service(service));
    let has_engines = config.is_some_and(|service| service.engine.is_some());
    let role = has_engines.then_some(EngineRole::Decode);
    let origin = request.origin(&parts.settings.zone);
    let book = parts.book.borrow();
    if book.has_staying_server(service, role, origin, parts.now()) {
        return Ok(());
    }
    let text = format!("no server of {service} with the software version {software} is left");
    Err(Refusal::new(
        request.verdict(),
        RefusalCode::SoftwareGone,
        text,
    ))
}

/// Logs and counts a stream that does not go on.
pub(super) fn log_refusal(
    parts: &RelayParts,
    request: &ClientRequest,
    service: &FastStr,
    cause: &'static str,
) {
    parts.metrics.origins.taken_up(service, cause);
    let software = request.bound_software().map(ToString::to_string);
    event::emit(
        &event::STREAM_NOT_CONTINUED,
        &[
            ("request", &request.marks.id),
            ("resumes", &request.resumes()),
            ("service", service),
            ("software", &software.unwrap_or_default()),
            ("cause", &cause),
            ("after_ms", &request.age().as_millis()),
        ],
    );
}

/// Binds a request to the software that sends its client the first event, and records it for the attempts that take the
/// stream up. Does nothing at later events.
pub(super) fn record_first_event(
    parts: &RelayParts,
    request: &ClientRequest,
    software: impl FnOnce() -> ServerSoftware,
) {
    if !request.is_first_event() {
        return;
    }
    let origin = software();
    request.bind_software(&origin.software);
    if request.route.kind != RequestKind::ResumableStream {
        return;
    }
    let key = request.stream_key();
    let known = parts.find_stream(key);
    if known.is_some_and(|known| known.origin == origin) {
        return;
    }
    parts.metrics.origins.stream_began(&origin);
    let time_left = request.client_time_left() + COME_BACK_MARGIN;
    parts.record_stream_begin(StreamRecord {
        key,
        origin,
        time_left: time_left.min(MAX_STREAM_LIFETIME),
    });
}
