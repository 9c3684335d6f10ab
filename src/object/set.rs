//! All objects together, checked as a whole.

use {
    super::{
        fault::ObjectFault,
        kinds::{
            AnyObject, IntentSpec, IntentTarget, PRIORITY_MAX, PassRouteSpec, PoolSpec,
            ServiceSpec, TenantSpec, Typed, kind,
        },
    },
    crate::engine::EngineRole,
    faststr::FastStr,
    std::collections::{BTreeMap, HashMap},
};

/// A set of operators' objects that passed all checks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObjectSet {
    /// Pools by name.
    pub pools: BTreeMap<FastStr, Typed<PoolSpec>>,
    /// Services by name.
    pub services: BTreeMap<FastStr, Typed<ServiceSpec>>,
    /// Intents, the ones that hold first in front.
    pub intents: Vec<Typed<IntentSpec>>,
    /// Routes of requests that are passed through, by name.
    pub pass_routes: BTreeMap<FastStr, Typed<PassRouteSpec>>,
    /// Tenants by name.
    pub tenants: BTreeMap<FastStr, Typed<TenantSpec>>,
    /// Names of tenants by the hash of their key.
    pub tenant_keys: HashMap<FastStr, FastStr>,
}

impl ObjectSet {
    /// Reads and checks the operators' objects among these; all faults are named.
    pub fn read(objects: &[AnyObject]) -> Result<Self, Vec<ObjectFault>> {
        let mut set = Self::default();
        let mut faults = Vec::new();
        for object in objects {
            if let Err(fault) = set.add(object) {
                faults.push(fault);
            }
        }
        set.intents.sort_by(|a, b| {
            let order = b.spec.precedence.cmp(&a.spec.precedence);
            order.then_with(|| a.metadata.name.cmp(&b.metadata.name))
        });
        set.check(&mut faults);
        match faults.is_empty() {
            true => Ok(set),
            false => Err(faults),
        }
    }

    fn add(&mut self, object: &AnyObject) -> Result<(), ObjectFault> {
        let name = object.metadata.name.clone();
        if name.is_empty() {
            return Err(object.fault("metadata.name", "is empty"));
        }
        match object.kind.as_str() {
            kind::POOL => insert(&mut self.pools, object.typed()?, object),
            kind::SERVICE => insert(&mut self.services, object.typed()?, object),
            kind::PASS_ROUTE => insert(&mut self.pass_routes, object.typed()?, object),
            kind::TENANT => insert(&mut self.tenants, object.typed()?, object),
            kind::INTENT => {
                let intent = object.typed()?;
                if self.intents.iter().any(|known| known.metadata.name == name) {
                    return Err(object.fault("metadata.name", "stands twice"));
                }
                self.intents.push(intent);
                Ok(())
            }
            kind::SERVER | kind::ACCEPTED | kind::LEASE => Ok(()),
            other => {
                let expected = kind::OPERATORS.join(", ");
                let text = format!("unknown kind {other:?}; expected one of {expected}");
                Err(object.fault("kind", text))
            }
        }
    }

    fn check(&mut self, faults: &mut Vec<ObjectFault>) {
        self.check_pools(faults);
        self.check_services(faults);
        self.check_pass_routes(faults);
        self.check_tenants(faults);
        for intent in &self.intents {
            self.check_intent(intent, faults);
        }
        self.check_overlaps(faults);
    }

    fn check_pools(&self, faults: &mut Vec<ObjectFault>) {
        for (name, pool) in &self.pools {
            for (field, problem) in pool.spec.selector.problems() {
                faults.push(fault(
                    kind::POOL,
                    name,
                    format!("spec.selector{field}"),
                    problem,
                ));
            }
            if pool.spec.model.is_empty() {
                faults.push(fault(kind::POOL, name, "spec.model", "is empty"));
            }
            if pool.spec.max_prompt_tokens == 0 {
                let problem = "is 0; expected a number of tokens above 0";
                faults.push(fault(kind::POOL, name, "spec.maxPromptTokens", problem));
            }
            for (other, twin) in self.pools.range::<FastStr, _>(..name) {
                if twin.spec.selector == pool.spec.selector && !pool.spec.selector.is_empty() {
                    let problem = format!("overlaps Pool/{other}: the same backend servers");
                    faults.push(fault(kind::POOL, name, "spec.selector", problem));
                }
            }
        }
    }

    fn check_services(&self, faults: &mut Vec<ObjectFault>) {
        for (name, service) in &self.services {
            for (field, problem) in service.spec.selector.problems() {
                let field = format!("spec.selector{field}");
                faults.push(fault(kind::SERVICE, name, field, problem));
            }
            let path = &service.spec.path;
            if !path.starts_with('/') || path.len() < 2 || path.ends_with('/') {
                let problem = format!("is {path:?}; expected one like \"/orders\"");
                faults.push(fault(kind::SERVICE, name, "spec.path", problem));
            }
            if path.starts_with("/v1/") || path == "/v1" {
                let problem = "starts with /v1, which model requests use";
                faults.push(fault(kind::SERVICE, name, "spec.path", problem));
            }
            if service.spec.timeout_ms == 0 {
                let problem = "is 0; expected milliseconds above 0";
                faults.push(fault(kind::SERVICE, name, "spec.timeoutMs", problem));
            }
            for (other, twin) in self.services.range::<FastStr, _>(..name) {
                if twin.spec.path == service.spec.path {
                    let problem = format!("is also the path of Service/{other}");
                    faults.push(fault(kind::SERVICE, name, "spec.path", problem));
                }
            }
        }
    }

    fn check_pass_routes(&self, faults: &mut Vec<ObjectFault>) {
        for (name, route) in &self.pass_routes {
            let mut report = |field: String, problem: String| {
                faults.push(fault(kind::PASS_ROUTE, name, field, problem));
            };
            check_pass_bounds(&route.spec, &mut report);
            self.check_pass_targets(&route.spec, &mut report);
            for (other, twin) in self.pass_routes.range::<FastStr, _>(..name) {
                if twin.spec.takes_same(&route.spec) {
                    let problem = format!("is also the prefix of PassRoute/{other} for that host");
                    report("spec.pathPrefix".into(), problem);
                }
            }
        }
    }

    fn check_pass_targets(&self, spec: &PassRouteSpec, report: &mut impl FnMut(String, String)) {
        if spec.targets.iter().map(|target| target.weight).sum::<u32>() == 0 {
            let problem = "expected at least one target with a weight above 0";
            report("spec.targets".into(), problem.into());
        }
        for (index, target) in spec.targets.iter().enumerate() {
            let picked = self.services_of(target).count();
            if picked != 1 {
                let problem = format!("selects {picked} services; expected one");
                report(format!("spec.targets[{index}].selector"), problem);
            }
        }
    }

    /// The services that a target selects by their labels.
    pub fn services_of<'a>(
        &'a self,
        target: &'a IntentTarget,
    ) -> impl Iterator<Item = &'a Typed<ServiceSpec>> {
        let services = self.services.values();
        services.filter(|service| target.selector.matches(&service.metadata.labels))
    }

    fn check_tenants(&mut self, faults: &mut Vec<ObjectFault>) {
        for (name, tenant) in &self.tenants {
            let limits = tenant.spec.limits;
            let zeros = [
                ("requestsPerSecond", limits.requests_per_second == Some(0)),
                (
                    "promptTokensPerSecond",
                    limits.prompt_tokens_per_second == Some(0),
                ),
                ("concurrent", limits.concurrent == Some(0)),
            ];
            for (field, is_zero) in zeros {
                if is_zero {
                    let field = format!("spec.limits.{field}");
                    let problem = "is 0, which nothing can meet; leave it out for no limit";
                    faults.push(fault(kind::TENANT, name, field, problem));
                }
            }
            if tenant.spec.weight == 0 {
                faults.push(fault(
                    kind::TENANT,
                    name,
                    "spec.weight",
                    "is 0; expected 1 or more",
                ));
            }
            let hash = tenant.spec.key_hash.clone();
            if let Some(other) = self.tenant_keys.insert(hash, name.clone()) {
                let problem = format!("is also the key of Tenant/{other}");
                faults.push(fault(kind::TENANT, name, "spec.keyHash", problem));
            }
        }
    }

    fn check_intent(&self, intent: &Typed<IntentSpec>, faults: &mut Vec<ObjectFault>) {
        let name = &intent.metadata.name;
        let spec = &intent.spec;
        let mut report = |field: String, problem: String| {
            faults.push(fault(kind::INTENT, name, field, problem));
        };
        if spec.priority > PRIORITY_MAX {
            let problem = format!("is {}; expected 0 to {PRIORITY_MAX}", spec.priority);
            report("spec.priority".into(), problem);
        }
        match (&spec.requests.model, &spec.requests.service) {
            (Some(_), Some(_)) | (None, None) => {
                let problem = "expected exactly one of model and service";
                report("spec.requests".into(), problem.into());
            }
            (Some(model), None) => {
                if !self.pools.values().any(|pool| pool.spec.model == *model) {
                    let problem = format!("unknown model {model:?}: no pool serves it");
                    report("spec.requests.model".into(), problem);
                }
            }
            (None, Some(service)) => {
                if !self.services.contains_key(service) {
                    let problem = format!("unknown service {service:?}");
                    report("spec.requests.service".into(), problem);
                }
            }
        }
        if let Some(selector) = &spec.requests.tenants {
            for (field, problem) in selector.problems() {
                report(format!("spec.requests.tenants{field}"), problem);
            }
        }
        if spec.targets.iter().map(|target| target.weight).sum::<u32>() == 0 {
            let problem = "expected at least one target with a weight above 0";
            report("spec.targets".into(), problem.into());
        }
        for (index, target) in spec.targets.iter().enumerate() {
            let field = format!("spec.targets[{index}].selector");
            for (part, problem) in target.selector.problems() {
                report(format!("{field}{part}"), problem);
            }
            if let Some(problem) = self.target_problem(spec, target) {
                report(field, problem);
            }
        }
    }

    // A target has to reach something that can serve the requests it is for.
    fn target_problem(&self, spec: &IntentSpec, target: &IntentTarget) -> Option<String> {
        if target.selector.is_empty() {
            return None;
        }
        if let Some(model) = &spec.requests.model {
            for role in [EngineRole::Prefill, EngineRole::Decode] {
                if self.pools_of(target, model, role).next().is_none() {
                    return Some(format!("selects no {role:?} pool of model {model:?}"));
                }
            }
            return None;
        }
        let picked = self.services_of(target).next().is_some();
        (!picked).then(|| "selects no service".to_owned())
    }

    /// The pools of a role for a model that a target selects.
    pub fn pools_of<'a>(
        &'a self,
        target: &'a IntentTarget,
        model: &'a str,
        role: EngineRole,
    ) -> impl Iterator<Item = &'a Typed<PoolSpec>> {
        self.pools.values().filter(move |pool| {
            pool.spec.model == model
                && pool.spec.role == role
                && target.selector.matches(&pool.metadata.labels)
        })
    }

    // Two intents for the same requests at the same precedence leave open which one holds.
    fn check_overlaps(&self, faults: &mut Vec<ObjectFault>) {
        for (index, intent) in self.intents.iter().enumerate() {
            for other in &self.intents[..index] {
                let same = other.spec.precedence == intent.spec.precedence
                    && other.spec.requests == intent.spec.requests;
                if same {
                    let problem = format!(
                        "overlaps RoutingIntent/{}: the same requests at precedence {}",
                        other.metadata.name, intent.spec.precedence
                    );
                    let name = &intent.metadata.name;
                    faults.push(fault(kind::INTENT, name, "spec.requests", problem));
                }
            }
        }
    }

    /// The models that are served, each once.
    pub fn models(&self) -> Vec<FastStr> {
        let mut models: Vec<FastStr> = self
            .pools
            .values()
            .map(|pool| pool.spec.model.clone())
            .collect();
        models.sort();
        models.dedup();
        models
    }
}

fn check_pass_bounds(spec: &PassRouteSpec, report: &mut impl FnMut(String, String)) {
    if spec.host.is_empty() || spec.host.contains(':') {
        let problem = format!("is {:?}; expected a name without a port", spec.host);
        report("spec.host".into(), problem);
    }
    if !spec.path_prefix.starts_with('/') || !spec.path_prefix.ends_with('/') {
        let problem = format!("is {:?}; expected one like \"/orders/\"", spec.path_prefix);
        report("spec.pathPrefix".into(), problem);
    }
    if spec.timeout_ms == 0 || spec.latency_target_ms == 0 || spec.attempts == 0 {
        let problem = "timeoutMs, latencyTargetMs and attempts have to be above 0";
        report("spec".into(), problem.into());
    }
    if spec.priority > PRIORITY_MAX {
        let problem = format!("is {}; expected 0 to {PRIORITY_MAX}", spec.priority);
        report("spec.priority".into(), problem);
    }
}

fn insert<S>(
    known: &mut BTreeMap<FastStr, Typed<S>>,
    typed: Typed<S>,
    object: &AnyObject,
) -> Result<(), ObjectFault> {
    let name = typed.metadata.name.clone();
    match known.insert(name, typed) {
        Some(_) => Err(object.fault("metadata.name", "stands twice")),
        None => Ok(()),
    }
}

fn fault(
    kind: &'static str,
    name: &FastStr,
    field: impl Into<String>,
    problem: impl Into<String>,
) -> ObjectFault {
    ObjectFault {
        kind: FastStr::from_static_str(kind),
        name: name.clone(),
        field: FastStr::from_string(field.into()),
        problem: problem.into(),
    }
}
