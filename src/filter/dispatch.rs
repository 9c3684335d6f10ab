//! The end of the chain: starts the work of a new operation and gives the caller its answer.

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

/// Ends the request's way through the chain.
pub async fn dispatch(
    traffic: &Arc<Traffic>,
    call: CallContext,
    entry: Arc<GateEntry>,
) -> Result<Response, FilterEnd> {
    match &call.kind {
        CallKind::Models => Ok(list_models(traffic)),
        CallKind::Model(completion) => {
            let completion = completion.clone();
            answer_model(traffic, call, completion, entry).await
        }
        CallKind::Plain { .. } => answer_plain(traffic, call, entry).await,
        CallKind::CancelOperation(_) | CallKind::Ticket => {
            unreachable!("the operation filter answers these")
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

async fn answer_model(
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
    let from = last_event.as_ref().map_or(0, |event| event.position + 1);
    // The reader is there before the work starts, so that the work is never without a caller.
    let reader = log.reader(0);
    if operation.is_first {
        let request = model_request(traffic, &call, &operation, &route, &completion, last_event);
        let class = route.class.clone();
        start_model(traffic, call, class, request, log, cancel, entry.clone());
    }
    let id = FastStr::from_string(format!("cmpl-{}", traffic.next_request_id()));
    let answer = CallerAnswer {
        frame: completion.token_frame(&id),
        completion,
        id,
        from,
        _entry: entry,
    };
    match answer.completion.stream {
        true => stream_answer(answer, reader).await,
        false => whole_answer(answer, reader).await,
    }
}

// The last event that a caller who comes back has.
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

// A stream that this host does not know is looked for at the engine that its last event names.
fn adopt(last_event: Option<EventPosition>) -> Option<AdoptedAttempt> {
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
        adopted: adopt(last_event),
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
        // That it runs well elsewhere speaks for nothing where an engine broke off over its prompt.
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
        // Limits and the stop gate hold until the work has ended, not only until the caller left.
        drop((call, entry));
    });
}

struct CallerAnswer {
    completion: Arc<CompletionCall>,
    id: FastStr,
    from: u32,
    frame: (String, String),
    // A planned stop waits until the caller has the answer.
    _entry: Arc<GateEntry>,
}

async fn whole_answer(
    answer: CallerAnswer,
    mut reader: ReplayReader<AnswerItem>,
) -> Result<Response, FilterEnd> {
    let mut text = String::new();
    while let Some(item) = reader.next().await {
        match item {
            AnswerItem::Token { text: token, .. } => text.push_str(&token),
            AnswerItem::End(RequestEnd::Answered { tokens, reason }) => {
                let body = answer.completion.whole(&answer.id, &text, &reason, tokens);
                return Ok(web::json_reply(200, &body));
            }
            AnswerItem::End(RequestEnd::Refused(refusal)) => return Err(refusal.into()),
        }
    }
    unreachable!("an answer's log ends with its end")
}

// Headers wait for the first item, so that an early refusal has its own status.
async fn stream_answer(
    answer: CallerAnswer,
    mut reader: ReplayReader<AnswerItem>,
) -> Result<Response, FilterEnd> {
    let first = loop {
        match reader.next().await {
            Some(AnswerItem::Token { position, .. }) if position < answer.from => {}
            Some(AnswerItem::End(RequestEnd::Refused(refusal))) => return Err(refusal.into()),
            Some(item) => break item,
            None => unreachable!("an answer's log ends with its end"),
        }
    };
    let chunks = answer_chunks(answer, reader, first);
    let mut response = web::body_reply(200, "text/event-stream", web::stream_body(chunks));
    let value = HeaderValue::from_static("no-cache");
    response.headers_mut().insert(header::CACHE_CONTROL, value);
    Ok(response)
}

fn answer_chunks(
    answer: CallerAnswer,
    mut reader: ReplayReader<AnswerItem>,
    first: AnswerItem,
) -> impl Stream<Item = Bytes> {
    async_stream::stream! {
        let mut next = Some(first);
        while let Some(item) = next {
            let is_end = matches!(item, AnswerItem::End(_));
            yield chunk(&answer, item);
            if is_end {
                return;
            }
            next = reader.next().await;
        }
    }
}

fn chunk(answer: &CallerAnswer, item: AnswerItem) -> Bytes {
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
            let (before, after) = &answer.frame;
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

async fn answer_plain(
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
        .expect("a plain call's log has one item");
    let mut response = match outcome {
        Ok(reply) => plain::plain_response(&reply),
        Err(refusal) => chain::refusal_response(&refusal),
    };
    let ticket = traffic.tickets.issue(traffic.uptime()).to_string();
    operation::add_ticket(&mut response, &ticket);
    Ok(response)
}

// Runs apart from the caller's connection: what was sent goes on, and its answer is kept.
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
            unreachable!("only plain calls come here")
        };
        let began = Instant::now();
        let sent = PlainCall {
            method: call.method.clone(),
            path: path.to_string(),
            headers: plain::onward_headers(&call.headers),
            body: call.body.clone(),
        };
        let digest = RequestDigest::of(&call.tenant.name, &call.target, &call.body);
        let outcome = plain::run_plain(&traffic, service, &route, sent, digest).await;
        match &outcome {
            Ok(_) => {
                let whole = began.elapsed();
                traffic
                    .metrics
                    .plain_ended(&call.tenant.name, &route.class, whole);
            }
            Err(refusal) => traffic.metrics.refused(refusal.code, refusal.verdict),
        }
        log.push(outcome);
        log.end();
        drop((call, entry));
    });
}
