//! Last step of the filter chain: starts the work of a new operation and returns its response.

use {
    super::{
        call::{CallContext, CallKind, CallOperation, CallRoute, FilterEnd, LAST_EVENT_HEADER},
        chain,
        completion::{self, CompletionCall},
        operation,
        plain::{self, PlainCall},
    },
    crate::{
        engine, event,
        host::{GateEntry, Traffic},
        operation::{
            AdoptedAttempt, AnswerItem, AnswerLog, EngineAttempt, EventPosition, ModelRequest,
            OnceSignal, OperationAnswer, PlainOutcome, Refusal, RefusalCode, ReplayLog,
            ReplayReader, RequestEnd, RunVerdict, run_request,
        },
        relay::RequestDigest,
        web,
    },
    bytes::Bytes,
    faststr::FastStr,
    futures::Stream,
    http::{HeaderValue, header},
    serde_json::json,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
    volo_http::response::Response,
};

/// Handles a request that has passed every filter.
pub async fn dispatch(
    traffic: &Arc<Traffic>,
    call: CallContext,
    entry: Arc<GateEntry>,
) -> Result<Response, FilterEnd> {
    match &call.kind {
        CallKind::Models => Ok(list_models(traffic)),
        CallKind::Model(completion) => {
            let completion = completion.clone();
            handle_model(traffic, call, completion, entry).await
        }
        CallKind::Plain { .. } => handle_plain(traffic, call, entry).await,
        CallKind::CancelOperation(_) | CallKind::Ticket => {
            unreachable!("handled by the operation filter")
        }
    }
}

fn list_models(traffic: &Traffic) -> Response {
    let models: Vec<_> = traffic
        .snapshot
        .load()
        .objects
        .models()
        .into_iter()
        .map(|model| json!({"id": model, "object": "model", "owned_by": "bayplank", "created": 0}))
        .collect();
    web::json_reply(200, &json!({"object": "list", "data": models}))
}

async fn handle_model(
    traffic: &Arc<Traffic>,
    mut call: CallContext,
    completion: Arc<CompletionCall>,
    entry: Arc<GateEntry>,
) -> Result<Response, FilterEnd> {
    let operation = call.operation.take().expect("the operation filter ran");
    let route = call.route.take().expect("the route filter ran");
    let OperationAnswer::Model { log, cancel } = operation.answer.clone() else {
        let text = "the key was used with a call of a plain service";
        return Err(Refusal::not_run(RefusalCode::KeyConflict, text).into());
    };
    let last_event = read_last_event(&call)?;
    let first_position = last_event.as_ref().map_or(0, |event| event.position + 1);
    // The reader is created before the work starts, so that the work never runs without a reader.
    let reader = log.reader(0);
    if operation.is_first {
        let request = model_request(traffic, &call, &operation, &route, &completion, last_event);
        let class = route.class.clone();
        start_model(traffic, call, class, request, log, cancel, entry.clone());
    }
    let id = FastStr::from_string(format!("cmpl-{}", traffic.next_request_id()));
    let answer = ResponseContext {
        chunk_template: completion.token_chunk_template(&id),
        completion,
        id,
        first_position,
        _entry: entry,
    };
    match answer.completion.stream {
        true => streamed_response(answer, reader).await,
        false => buffered_response(answer, reader).await,
    }
}

// The last event that a reconnecting caller has received.
fn read_last_event(call: &CallContext) -> Result<Option<EventPosition>, Refusal> {
    let Some(text) = call.header(LAST_EVENT_HEADER) else {
        return Ok(None);
    };
    match text.parse::<EventPosition>() {
        Ok(event) => Ok(Some(event)),
        Err(()) => {
            let text = format!("{LAST_EVENT_HEADER}: is no event id of this service");
            Err(Refusal::not_run(RefusalCode::InvalidRequest, text))
        }
    }
}

// A stream unknown to this host is resumed at the engine named by its last event id.
fn adopted_attempt(last_event: Option<EventPosition>) -> Option<AdoptedAttempt> {
    let event = last_event?;
    Some(AdoptedAttempt {
        target: EngineAttempt {
            engine: event.engine,
            attempt: event.attempt,
        },
        caller_token_count: event.position as usize + 1,
    })
}

fn model_request(
    traffic: &Traffic,
    call: &CallContext,
    operation: &CallOperation,
    route: &CallRoute,
    completion: &CompletionCall,
    last_event: Option<EventPosition>,
) -> ModelRequest {
    ModelRequest {
        id: call.id.clone(),
        model: completion.model.clone(),
        prompt: completion.prompt.clone(),
        blocks: engine::block_hashes(&completion.prompt).into(),
        max_tokens: completion.max_tokens,
        tenant: call.tenant.name.clone(),
        priority: route.priority,
        prefills: route.prefills.clone(),
        decodes: route.decodes.clone(),
        time_limit: traffic.settings.whole,
        grace: match operation.is_keyed {
            true => traffic.settings.grace,
            false => Duration::ZERO,
        },
        digest: RequestDigest::of(&call.tenant.name, &call.target, &call.body),
        adopted: adopted_attempt(last_event),
    }
}

fn start_model(
    traffic: &Arc<Traffic>,
    call: CallContext,
    class: FastStr,
    request: ModelRequest,
    log: Arc<AnswerLog>,
    cancel: Arc<OnceSignal>,
    entry: Arc<GateEntry>,
) {
    let traffic = traffic.clone();
    tokio::spawn(async move {
        let (id, tenant) = (request.id.clone(), request.tenant.clone());
        let digest = request.digest;
        let (end, stats) = run_request(traffic.parts.clone(), request, log, cancel).await;
        // A success elsewhere does not count if a prefill engine broke off while handling this
        // prompt.
        if matches!(end, RequestEnd::Answered { .. }) && !stats.prefill_broke {
            traffic.parts.crashes.note_good_run(digest);
        }
        let tuning = traffic.settings.tuning();
        traffic
            .metrics
            .model_ended(&tenant, &class, &end, &stats, &tuning);
        let (outcome, verdict) = match &end {
            RequestEnd::Answered { .. } => ("answered", RunVerdict::Ran),
            RequestEnd::Refused(refusal) => (refusal.code.as_str(), refusal.verdict),
        };
        event::emit(
            &event::REQUEST_ENDED,
            &[
                ("request", &id),
                ("tenant", &tenant),
                ("class", &class),
                ("end", &outcome),
                ("verdict", &verdict),
                ("prefills", &stats.prefills),
                ("whole_ms", &stats.whole.as_millis()),
            ],
        );
        // Limit permits and the gate entry are held until the work ends, even after the caller
        // disconnects.
        drop((call, entry));
    });
}

struct ResponseContext {
    completion: Arc<CompletionCall>,
    id: FastStr,
    first_position: u32,
    chunk_template: (String, String),
    // Makes a graceful shutdown wait until the response has been sent.
    _entry: Arc<GateEntry>,
}

async fn buffered_response(
    answer: ResponseContext,
    mut reader: ReplayReader<AnswerItem>,
) -> Result<Response, FilterEnd> {
    let mut text = String::new();
    while let Some(item) = reader.next().await {
        match item {
            AnswerItem::Token { text: token, .. } => text.push_str(&token),
            AnswerItem::End(RequestEnd::Answered { tokens, reason }) => {
                let body = answer
                    .completion
                    .full_body(&answer.id, &text, &reason, tokens);
                return Ok(web::json_reply(200, &body));
            }
            AnswerItem::End(RequestEnd::Refused(refusal)) => return Err(refusal.into()),
        }
    }
    unreachable!("the answer log ends with an End item")
}

// Headers are sent with the first item, so that an early refusal has its own status code.
async fn streamed_response(
    answer: ResponseContext,
    mut reader: ReplayReader<AnswerItem>,
) -> Result<Response, FilterEnd> {
    let first = loop {
        match reader.next().await {
            Some(AnswerItem::Token { position, .. }) if position < answer.first_position => {}
            Some(AnswerItem::End(RequestEnd::Refused(refusal))) => return Err(refusal.into()),
            Some(item) => break item,
            None => unreachable!("the answer log ends with an End item"),
        }
    };
    let events = sse_events(answer, reader, first);
    let mut response = web::body_reply(200, "text/event-stream", web::stream_body(events));
    let value = HeaderValue::from_static("no-cache");
    response.headers_mut().insert(header::CACHE_CONTROL, value);
    Ok(response)
}

fn sse_events(
    answer: ResponseContext,
    mut reader: ReplayReader<AnswerItem>,
    first: AnswerItem,
) -> impl Stream<Item = Bytes> {
    async_stream::stream! {
        let mut next = Some(first);
        while let Some(item) = next {
            let is_end = matches!(item, AnswerItem::End(_));
            yield sse_event(&answer, item);
            if is_end {
                return;
            }
            next = reader.next().await;
        }
    }
}

fn sse_event(answer: &ResponseContext, item: AnswerItem) -> Bytes {
    let completion = &answer.completion;
    let text = match item {
        AnswerItem::Token {
            position,
            text,
            origin,
        } => {
            let id = EventPosition {
                engine: origin.engine.clone(),
                attempt: origin.attempt.clone(),
                position,
            };
            let text = serde_json::to_string(text.as_str()).unwrap_or_default();
            let (before, after) = &answer.chunk_template;
            format!("id: {id}\ndata: {before}{text}{after}\n\n")
        }
        AnswerItem::End(RequestEnd::Answered { reason, .. }) => {
            let data = completion.end_chunk(&answer.id, &reason);
            format!("data: {data}\n\ndata: [DONE]\n\n")
        }
        AnswerItem::End(RequestEnd::Refused(refusal)) => {
            let data = completion::error_body(&refusal);
            format!("event: error\ndata: {data}\n\n")
        }
    };
    Bytes::from(text)
}

async fn handle_plain(
    traffic: &Arc<Traffic>,
    mut call: CallContext,
    entry: Arc<GateEntry>,
) -> Result<Response, FilterEnd> {
    let operation = call.operation.take().expect("the operation filter ran");
    let OperationAnswer::Plain(log) = operation.answer else {
        let text = "the key was used with a model request";
        return Err(Refusal::not_run(RefusalCode::KeyConflict, text).into());
    };
    let mut reader = log.reader(0);
    if operation.is_first {
        start_plain(traffic, call, log, entry);
    }
    let outcome = reader
        .next()
        .await
        .expect("the log of a plain call has one item");
    let mut response = match outcome {
        Ok(reply) => plain::plain_response(&reply),
        Err(refusal) => chain::refusal_response(&refusal),
    };
    let ticket = traffic.tickets.issue(traffic.uptime()).to_string();
    operation::add_ticket(&mut response, &ticket);
    Ok(response)
}

// Runs in its own task: a call that was sent continues after the caller disconnects, and its
// response is kept.
fn start_plain(
    traffic: &Arc<Traffic>,
    mut call: CallContext,
    log: Arc<ReplayLog<PlainOutcome>>,
    entry: Arc<GateEntry>,
) {
    let route = call.route.take().expect("the route filter ran");
    let traffic = traffic.clone();
    tokio::spawn(async move {
        let CallKind::Plain { service, path } = &call.kind else {
            unreachable!("start_plain is called for plain calls only")
        };
        let started = Instant::now();
        let plain_call = PlainCall {
            method: call.method.clone(),
            path: path.to_string(),
            headers: plain::service_headers(&call.headers),
            body: call.body.clone(),
        };
        let digest = RequestDigest::of(&call.tenant.name, &call.target, &call.body);
        let outcome = plain::run_plain(&traffic, service, &route, plain_call, digest).await;
        match &outcome {
            Ok(_) => {
                let elapsed = started.elapsed();
                traffic
                    .metrics
                    .plain_ended(&call.tenant.name, &route.class, elapsed);
            }
            Err(refusal) => traffic.metrics.refused(refusal.code, refusal.verdict),
        }
        log.push(outcome);
        log.end();
        drop((call, entry));
    });
}
