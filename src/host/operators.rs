//! The operators' port: health checks for the load balancer, metrics, status and decision records.

use {
    super::traffic::Traffic,
    crate::{relay::ServerAvailability, web},
    bytes::Bytes,
    http::Method,
    serde_json::json,
    std::sync::Arc,
    volo_http::{request::Request, response::Response},
};

/// Handles one request from an operator or from the load balancer's health check.
pub async fn answer(traffic: Arc<Traffic>, request: Request) -> Response {
    let path = request.uri().path().to_owned();
    if request.method() != Method::GET {
        return web::text_reply(405, "this port only answers GET");
    }
    if let Some(request) = path.strip_prefix("/explain/") {
        return explain(&traffic, request);
    }
    match path.as_str() {
        "/healthz" => web::text_reply(200, "ok"),
        "/readyz" => ready(&traffic),
        "/metrics" => {
            let page = Bytes::from(metrics_page(&traffic));
            web::reply(200, "application/openmetrics-text; version=1.0.0", page)
        }
        "/status" => web::json_reply(200, &status(&traffic)),
        _ => web::text_reply(404, "no such page"),
    }
}

/// Terminator of an OpenMetrics page.
const PAGE_TERMINATOR: &str = "# EOF\n";

// Joins the host's page with the relay's and keeps only the terminator of the last.
fn metrics_page(traffic: &Traffic) -> String {
    let page = traffic.metrics.page();
    let relay = traffic.relay_page.load();
    match page.strip_suffix(PAGE_TERMINATOR) {
        Some(head) if !relay.is_empty() => format!("{head}{relay}"),
        _ => page,
    }
}

fn ready(traffic: &Traffic) -> Response {
    if traffic.gate.is_stopping() {
        return web::text_reply(503, "stopping");
    }
    match traffic.snapshot.load().generation {
        0 => web::text_reply(503, "no configuration yet"),
        _ => web::text_reply(200, "ready"),
    }
}

fn status(traffic: &Traffic) -> serde_json::Value {
    let snapshot = traffic.snapshot.load();
    let engines: Vec<_> = traffic.desk.read(|desk| {
        let now = traffic.desk.now();
        desk.views()
            .map(|view| {
                json!({
                    "name": view.info.name,
                    "zone": view.info.zone,
                    "leaving": view.leaving,
                    "out": view.is_ejected(now),
                    "backlogTokens": view.backlog_tokens(desk.tuning(), now),
                    "slotsUsed": view.slots_used(),
                    "slotsTotal": view.slots_total(),
                })
            })
            .collect()
    });
    let peers: Vec<_> = snapshot
        .peers
        .iter()
        .map(|peer| json!({"name": peer.name, "zone": peer.zone, "live": peer.is_live}))
        .collect();
    let servers = traffic.servers.servers();
    let limits = traffic.server_states.limits(servers.iter()).into_iter();
    let limits: Vec<_> = limits
        .map(|(name, limit)| json!({"server": name, "perSecondOfAllHosts": limit}))
        .collect();
    let unavailable = servers.iter().filter_map(|server| {
        let state = match traffic.server_states.availability(server) {
            ServerAvailability::Available => return None,
            ServerAvailability::BackingOff(left) => {
                json!({"server": server.name, "state": "backing-off", "leftMs": left.as_millis() as u64})
            }
            ServerAvailability::Leaving => json!({"server": server.name, "state": "leaving"}),
        };
        Some(state)
    });
    let unavailable: Vec<_> = unavailable.collect();
    json!({
        "serverLimits": limits,
        "serversUnavailable": unavailable,
        "host": traffic.settings.name,
        "zone": traffic.settings.zone,
        "incarnation": traffic.incarnation,
        "generation": snapshot.generation,
        "stopping": traffic.gate.is_stopping(),
        "inFlight": traffic.gate.in_flight(),
        "openCancels": traffic.parts.canceller.open(),
        "engines": engines,
        "peers": peers,
    })
}

fn explain(traffic: &Traffic, request: &str) -> Response {
    let records = traffic.desk.read(|desk| desk.explain(request));
    match records.is_empty() {
        true => web::text_reply(404, "nothing is remembered of this request on this host"),
        false => web::json_reply(200, &records),
    }
}
