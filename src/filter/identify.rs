//! Identifies the tenant of a request by its API key.

use {
    super::call::{CallContext, CallTenant, FilterEnd},
    crate::{
        host::Traffic,
        object,
        operation::{Refusal, RefusalCode},
    },
    futures::{FutureExt, future::BoxFuture},
    std::sync::Arc,
};

const BEARER: &str = "Bearer ";

/// Sets the request's tenant, or refuses the request if its key is not accepted.
pub fn filter<'a>(
    traffic: &'a Arc<Traffic>,
    call: &'a mut CallContext,
) -> BoxFuture<'a, Result<(), FilterEnd>> {
    async move { Ok(identify(traffic, call)?) }.boxed()
}

fn identify(traffic: &Traffic, call: &mut CallContext) -> Result<(), Refusal> {
    let snapshot = traffic.snapshot.load();
    if snapshot.generation == 0 {
        let text = "this host has no configuration yet";
        return Err(Refusal::not_run(RefusalCode::NotConfigured, text)
            .after(std::time::Duration::from_secs(1)));
    }
    let presented_key = call
        .header("authorization")
        .and_then(|value| value.strip_prefix(BEARER))
        .or_else(|| call.header("x-api-key"));
    let Some(key) = presented_key else {
        return match traffic.settings.anonymous {
            true => Ok(()),
            false => Err(Refusal::not_run(
                RefusalCode::UnknownCaller,
                "authorization: no key was shown",
            )),
        };
    };
    let name = snapshot.objects.tenant_keys.get(&object::hash_key(key));
    let tenant = name.and_then(|name| snapshot.objects.tenants.get_key_value(name));
    match tenant {
        Some((name, object)) => {
            call.tenant = CallTenant {
                name: name.clone(),
                object: Some(object.clone()),
            };
            Ok(())
        }
        None => Err(Refusal::not_run(
            RefusalCode::UnknownCaller,
            "authorization: the key is of no tenant",
        )),
    }
}
