//! Finds the intent that applies to a request, which determines its pools or servers, class and
//! priority.

use {
    super::call::{CallContext, CallKind, CallRoute, CallTenant, FilterEnd},
    crate::{
        engine::{self, EngineRole},
        host::Traffic,
        object::{IntentSpec, IntentTarget, LabelMap, LabelSelector, ObjectSet, Typed},
        operation::{Refusal, RefusalCode},
    },
    faststr::FastStr,
    futures::{FutureExt, future::BoxFuture},
    rand::RngExt,
    std::sync::Arc,
};

const DEFAULT_CLASS: FastStr = FastStr::from_static_str("default");
const DEFAULT_PRIORITY: u8 = 5;

/// Sets the request's route, or refuses the request if no pool can serve it.
pub fn filter<'a>(
    traffic: &'a Arc<Traffic>,
    call: &'a mut CallContext,
) -> BoxFuture<'a, Result<(), FilterEnd>> {
    async move {
        let snapshot = traffic.snapshot.load_full();
        let route = find_route(&snapshot.objects, call)?;
        call.route = route.map(Arc::new);
        Ok(())
    }
    .boxed()
}

fn find_route(objects: &ObjectSet, call: &CallContext) -> Result<Option<CallRoute>, Refusal> {
    match &call.kind {
        CallKind::Model(completion) => {
            let route = route_model(objects, &completion.model, call)?;
            let tokens = engine::estimate_tokens(&completion.prompt);
            if tokens > route.max_prompt_tokens {
                let limit = route.max_prompt_tokens;
                let text = format!("prompt: about {tokens} tokens; the engines take {limit}");
                return Err(Refusal::not_run(RefusalCode::TooLarge, text));
            }
            Ok(Some(route))
        }
        CallKind::Plain { service, path } => {
            let name = &service.metadata.name;
            Ok(Some(route_plain(objects, name, path, call)))
        }
        CallKind::Models | CallKind::CancelOperation(_) | CallKind::Ticket => Ok(None),
    }
}

fn route_model(
    objects: &ObjectSet,
    model: &FastStr,
    call: &CallContext,
) -> Result<CallRoute, Refusal> {
    if !objects.pools.values().any(|pool| pool.spec.model == *model) {
        let text = format!("model: no pool serves {model:?}");
        return Err(Refusal::not_run(RefusalCode::UnknownModel, text));
    }
    let intent = find_intent(objects, call, |spec| {
        spec.requests.model.as_ref() == Some(model)
    });
    let target = intent.and_then(|intent| pick_target(&intent.spec.targets));
    let pools = |role: EngineRole| -> Vec<_> {
        match target {
            Some(target) => objects.pools_of(target, model, role).collect(),
            None => objects
                .pools
                .values()
                .filter(|pool| pool.spec.model == *model && pool.spec.role == role)
                .collect(),
        }
    };
    let (prefills, decodes) = (pools(EngineRole::Prefill), pools(EngineRole::Decode));
    let prompt_limits = prefills.iter().map(|pool| pool.spec.max_prompt_tokens);
    let mut route = base_route(intent);
    // Model requests have no side effects: running one twice only costs compute.
    route.repeatable = true;
    route.max_prompt_tokens = prompt_limits.max().unwrap_or(0);
    route.prefills = prefills
        .iter()
        .map(|pool| pool.spec.selector.clone())
        .collect();
    route.decodes = decodes
        .iter()
        .map(|pool| pool.spec.selector.clone())
        .collect();
    Ok(route)
}

fn route_plain(objects: &ObjectSet, service: &str, path: &str, call: &CallContext) -> CallRoute {
    let intent = find_intent(objects, call, |spec| {
        let requests = &spec.requests;
        let method = call.method.as_str();
        requests
            .service
            .as_ref()
            .is_some_and(|name| name == service)
            && (requests.methods.is_empty() || requests.methods.iter().any(|m| m == method))
            && requests
                .path
                .as_ref()
                .is_none_or(|start| path.starts_with(start.as_str()))
    });
    let target = intent.and_then(|intent| pick_target(&intent.spec.targets));
    let servers: Arc<[LabelSelector]> = objects
        .services
        .values()
        .filter(|known| match target {
            Some(target) => target.selector.matches(&known.metadata.labels),
            None => known.metadata.name == service,
        })
        .map(|known| known.spec.selector.clone())
        .collect();
    let mut route = base_route(intent);
    // Safe HTTP methods are always repeatable; other methods only if the intent says so.
    route.repeatable |= call.method.is_safe();
    route.servers = servers;
    route
}

fn base_route(intent: Option<&Typed<IntentSpec>>) -> CallRoute {
    CallRoute {
        class: intent.map_or(DEFAULT_CLASS, |intent| intent.spec.class.clone()),
        priority: intent.map_or(DEFAULT_PRIORITY, |intent| intent.spec.priority),
        repeatable: intent.is_some_and(|intent| intent.spec.repeatable),
        prefills: Arc::new([]),
        decodes: Arc::new([]),
        servers: Arc::new([]),
        max_prompt_tokens: 0,
        intent: intent.cloned(),
    }
}

// Intents are sorted by precedence: the first match applies.
fn find_intent<'a>(
    objects: &'a ObjectSet,
    call: &CallContext,
    matches_request: impl Fn(&IntentSpec) -> bool,
) -> Option<&'a Typed<IntentSpec>> {
    objects
        .intents
        .iter()
        .find(|intent| matches_request(&intent.spec) && matches_tenant(&intent.spec, &call.tenant))
}

fn matches_tenant(spec: &IntentSpec, tenant: &CallTenant) -> bool {
    let no_labels = LabelMap::new();
    let labels = match &tenant.object {
        Some(object) => &object.metadata.labels,
        None => &no_labels,
    };
    spec.requests
        .tenants
        .as_ref()
        .is_none_or(|selector| selector.matches(labels))
}

// Picks a target at random, by weight.
fn pick_target(targets: &[IntentTarget]) -> Option<&IntentTarget> {
    let total: u32 = targets.iter().map(|target| target.weight).sum();
    if total == 0 {
        return None;
    }
    let mut draw = rand::rng().random_range(0..total);
    targets.iter().find(|target| {
        let hit = draw < target.weight;
        draw = draw.saturating_sub(target.weight);
        hit
    })
}
