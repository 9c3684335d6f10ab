//! The catalogue of events; `docs/events.md` is made from it.

use {log::Level, std::fmt::Write};

/// One kind of event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventKind {
    /// Its number, which never changes.
    pub number: u16,
    /// Its name.
    pub name: &'static str,
    /// How much it matters.
    pub level: Level,
    /// What happened.
    pub meaning: &'static str,
    /// What it asks of an operator.
    pub action: &'static str,
}

macro_rules! events {
    ($($(#[doc = $doc:literal])* $id:ident = $number:literal, $name:literal, $level:ident, $meaning:literal, $action:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $id: EventKind = EventKind {
                number: $number,
                name: $name,
                level: Level::$level,
                meaning: $meaning,
                action: $action,
            };
        )*
        /// All events, by number.
        pub const CATALOGUE: &[EventKind] = &[$($id),*];
    };
}

events! {
    HOST_STARTED = 101, "host-started", Info, "The entry host listens.", "None.";
    HOST_STOPPING = 102, "host-stopping", Info, "A planned stop began; /readyz fails from now on.", "None; the host waits for what is in flight.";
    HOST_STOPPED = 103, "host-stopped", Info, "A planned stop is over and the process ends; in_flight counts the requests that it cuts off.", "With in_flight above 0: requests outlasted the stop grace period; look which in request-ended (201) with end=caller-gone.";
    SETTINGS_READ = 104, "settings-read", Info, "The settings were read again.", "None.";
    HOST_FIGURES = 105, "host-figures", Info, "What the host has called, opened and told since its start; one line in five seconds.", "See docs/OPERATIONS.md for what each figure tells.";
    HOST_STALLED = 106, "host-stalled", Warn, "This process did not run for a while: it was stopped, its machine was suspended, or it got no processor time. stalled_ms tells for how long, age_ms how old its view of the store is.", "If it repeats, look at the machine: its load, its memory, its hypervisor.";
    HOST_REFRESHED = 107, "host-refreshed", Info, "After a stall of this process, a kind of what it decides requests by is current again: kind tells which, source from where, after_ms how long after the stall, position which state of the store's list of backend servers it has.", "None; more than 700 ms after host-stalled (106) requests were sent by what the host had.";
    REQUEST_ENDED = 201, "request-ended", Info, "A request ended; its verdict and times follow. end=refused: the status was the host's, as in request-refused (202), else it was the server's. open tells how many sends had no outcome yet, which the verdict counts as may-have-run; a send in tried that ends in -unproven got a status that would promise that the request did not run, without saying so. framing tells how the backend server marked the end of its response, ended_by what decided that it ended; both are empty without a response. decodes and prefill name the engines with their software versions. servers tells on how many servers it ran or may have run, servers_max how many its route allows.", "With ended_by=inside-event, no-event or connection-lost: the server broke its response off; look at it.";
    REQUEST_REFUSED = 202, "request-refused", Info, "A request was refused; its code, status and verdict follow.", "Many with code overloaded: add engines, or look at the tenant's limits.";
    REQUEST_CARRIED = 203, "request-carried", Info, "A request was answered by a backend server over a connection that another host carries.", "Look for links-lost (323) of this host.";
    STREAM_TAKEN_UP = 204, "stream-taken-up", Info, "A caller takes a stream up, and the software version that began it is known: found tells from where (own: this host; host: another one, named in from; only-version: its service has had no other lately).", "None.";
    STREAM_NOT_CONTINUED = 205, "stream-not-continued", Warn, "A stream does not go on, since only the software version that began it may continue it: cause=unknown, no host tells which it was, nor what they read of the store; cause=gone, no server of it takes new requests.", "gone: a release replaced the last servers of the version while streams ran. unknown: look whether the host of the first attempt, in resumes, was lost.";
    CALLERS_LIMITED = 206, "callers-limited", Warn, "Callers meet the limits on what they take of this host together; one line in five seconds in which they do. held is what their bodies and answers take, in bytes, connections how many they have; the other fields count since the start of the host: bodies that were refused or evicted, connections that were refused or evicted, answers that were forwarded as they arrived.", "See the page of incidents with clients that do not behave: find the clients, and whether these are many ordinary ones; then add hosts or memory.";
    ENGINE_EJECTED = 301, "engine-ejected", Warn, "An engine failed several times in a row and is left out for a while.", "If it repeats, look at that engine.";
    PREFILL_FAILED = 305, "prefill-failed", Info, "A prefill engine computed no KV cache; the decode engine computes the prompt itself.", "If it repeats for one engine, look at it.";
    BACKEND_EJECTED = 304, "backend-ejected", Warn, "A backend server gave no answer several times in a row and is passed over for a while.", "If it repeats, look at that server.";
    BACKENDS_CHANGED = 306, "backends-changed", Info, "The backend servers that this host may send to are others than before.", "None; a server that is missing too long has not been listed by the platform since.";
    ENGINE_LEAVING = 302, "engine-leaving", Info, "An engine leaves; it gets no new work.", "None.";
    ENGINE_SWEPT = 303, "engine-swept", Info, "Attempts that a lost host left at an engine were cancelled.", "None.";
    BACKEND_ENDED = 307, "backend-ended", Warn, "A backend server ended while it ran a request of this host; one line for each of them.", "Of several servers with the same digest, or a digest in parts: that request, or part, ends its servers.";
    REQUEST_JUDGED = 308, "request-judged", Warn, "A request or a part of prompts (suspect) is held to end its servers, since three of them, or four, ended under it: this host sends it to none.", "Find its digest in the backend-ended lines (307), a part's in their parts; tell its callers.";
    REQUEST_CLEARED = 309, "request-cleared", Info, "A request or part that was held to end its servers has run well, or another one explains the ends; it is let in again.", "None.";
    REQUEST_TRIED = 310, "request-tried", Info, "A request or part that is held to end its servers may be tried once, by all hosts together.", "None; a backend-ended line (307) with its digest follows if it still does.";
    SERVER_LIMIT = 311, "server-limit", Info, "A backend server names how many requests a second it takes from all hosts together, another number than before, or none any more.", "With limit other than none: the server is rate-limited; look at it. Requests go to others of its service first.";
    SERVER_LEAVING = 312, "server-leaving", Info, "An answer of a backend server says that it is leaving; listed_leaving tells whether the platform's list said so before.", "None; without backends-changed (306) for it soon after, the platform's list is late or away.";
    SERVER_BACKOFF = 313, "server-backoff", Info, "A backend server turned a request away and asked this host for a backoff.", "If it repeats, look at that server: it is overloaded.";
    SERVER_BACKOFF_ENDED = 314, "server-backoff-ended", Info, "A backoff is over; requests go to the server again.", "None.";
    ZONE_EVACUATED = 315, "zone-evacuated", Warn, "Operators evacuated an availability zone: this host sends nothing further to its backend servers, and what runs there goes on to its end. from tells whether the store or another host said so, age_ms how old its view of the store is.", "None; a host without this line seconds after the others hears of nothing new: look at its news-source (503).";
    ZONE_RETURNED = 316, "zone-returned", Info, "The evacuation of an availability zone was taken back, or expired since a restored store lacks it; its backend servers get requests again.", "With from=expiry: write the evacuation again if it is still wanted.";
    SERVER_COLD = 317, "server-cold", Info, "A backend server is cold: for left_ms all hosts together send it no more requests a second than the configuration names for its service.", "None; requests go to warm servers of its service first.";
    SERVER_WARM = 318, "server-warm", Info, "A cold backend server is warm; requests go to it like to others.", "None.";
    SERVER_CONTENDED = 319, "server-contended", Info, "A plain backend server declined a request since it is full, or answers much slower than before (cause=slow: the time of the answer, and what is usual there); hosts ask for its places from now on.", "See /servers-contended of the host that owns its places; if it goes on, add servers.";
    SERVER_HAS_ROOM = 320, "server-has-room", Info, "Nobody has waited for a place at this backend server for a while; hosts send to it without asking.", "None.";
    LINKS_SUSPECTED = 321, "links-suspected", Warn, "Several backend servers left this host without an answer and nothing of their groups has answered since: servers of listed, the time since the first failure and since the last answer of any server (-1: none yet), and how many of the servers other hosts pass over too.", "With passed_over_by_others=0 it is this host: look at its network.";
    LINKS_CLEARED = 322, "links-cleared", Info, "Servers answer this host again, or those that did not are no longer listed.", "None.";
    LINKS_LOST = 323, "links-lost", Warn, "Backend servers of a service answer through other hosts and not to this host itself, which therefore reaches them through another host: how many of them when it was found, and for how long before one had failed.", "Look at this host's network.";
    LINKS_BACK = 324, "links-back", Info, "This host reaches all listed backend servers of the service itself again.", "None.";
    CARRIER_RETIRED = 325, "carrier-retired", Info, "A host that carries connections of this one is stopping, full or gone; new connections go through another one.", "None.";
    CONNECTION_CARRIED = 326, "connection-carried", Info, "A connection that this host carried for another has ended. connection is its address at the other host, as in that host's request-carried lines (203).", "None.";
    CONFIG_IN_FORCE = 401, "config-in-force", Info, "A newer accepted configuration is in force on this host; the number of its routes, and whether the store or another host gave it.", "None.";
    CONFIG_REJECTED = 402, "config-rejected", Error, "The objects at the platform do not pass the checks; the last good set stays in force.", "Correct the named object and field.";
    CONFIG_ACCEPTED = 403, "config-accepted", Info, "This host checked the objects and wrote them as the accepted configuration.", "None.";
    CONFIG_OLDER = 404, "config-older", Warn, "An older configuration was offered and ignored.", "If it repeats, the platform serves stale reads.";
    CONFIG_ANNOUNCED = 405, "config-announced", Info, "Another host named a newer version of the configuration than this host knew; the version in force here is held, and the pieces that this host lacks are fetched, first from the host at from.", "None; config-fetched (406) and config-in-force (401) follow. Without them look for config-given-up (407).";
    CONFIG_FETCHED = 406, "config-fetched", Info, "All pieces of an announced configuration are there; how many were fetched, their bytes and the time since the first announcement.", "None.";
    CONFIG_GIVEN_UP = 407, "config-given-up", Warn, "An announced configuration is not fetched any longer; the cause follows.", "If the store was not restored, compare the versions of other hosts (config_version on their metrics pages).";
    PLATFORM_LOST = 501, "platform-lost", Warn, "The platform does not answer; the host goes on with what it knows.", "Look at the platform; changes wait until it is back.";
    PLATFORM_BACK = 502, "platform-back", Info, "The platform answers again.", "None.";
    NEWS_SOURCE = 503, "news-source", Info, "The host reads the store itself from now on, or follows the named host.", "None; if it changes every few seconds, look at the named hosts and their way to the store.";
    STORE_UNANSWERED = 504, "store-unanswered", Info, "A reading call to the store gave nothing; how long it was out, and the pause before the next one.", "None; if waited_ms goes on for seconds after other hosts have platform-back, calls of this host hang.";
    STORE_LIST_OLDER = 505, "store-list-older", Warn, "A list of the store shows an older position than this host knows and is left; logged once for each position that is held.", "If it repeats, compare held and told: a store that stays behind what it said before has lost changes.";
    STORE_HISTORY_GONE = 506, "store-history-gone", Info, "The store does not have the changes after the position that this host holds; the whole list is read.", "None; if it repeats for one position, look for store-list-older (505).";
    STORE_RESTORED = 507, "store-restored", Warn, "The store names a later era: it came back from a copy and may have lost what it had accepted. The host reads it again and goes on with what it knows; held is the position of its list of backend servers.", "See docs/OPERATIONS.md for what was lost and which hosts know it.";
    STORE_REREAD = 508, "store-reread", Info, "This host has the backend servers and hosts of the era that the store began.", "None; a host without this line seconds after store-restored (507) hears of nothing new: look at its news-source (503).";
    NEWS_UNANSWERED = 509, "news-unanswered", Info, "A poll of another host was given up on; how long it was out, and how many bytes came from all hosts meanwhile.", "None; with many bytes received the answer was on its way, with few the host or the way to it is silent.";
    PEER_SUSPECTED = 601, "peer-suspected", Warn, "Another entry host has not been heard of for a while.", "If it is not being replaced, look at it and at the network.";
    PEER_BACK = 602, "peer-back", Info, "A suspected entry host was heard of again.", "None.";
    PEER_REPLACED = 603, "peer-replaced", Info, "An entry host came back as a new incarnation.", "None.";
    LEASE_TAKEN = 701, "lease-taken", Info, "This host holds the controllers' lease.", "None.";
    LEASE_LOST = 702, "lease-lost", Warn, "This host no longer holds the controllers' lease.", "None; another host takes it.";
    ORDER_SENT = 703, "order-sent", Info, "A fenced order was given to an engine.", "None.";
    ORDER_REFUSED = 704, "order-refused", Warn, "An engine did not take a fenced order.", "If its cause is fenced, a newer holder is at work; else look at that engine.";
}

/// The catalogue as a page.
pub fn catalogue_page() -> String {
    let mut page = String::from(
        "# Events\n\n\
         What `bayplankd` logs, by number. Made from `src/event/catalogue.rs`; a test compares.\n\n\
         | number | name | level | what happened | what it asks of an operator |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for kind in CATALOGUE {
        let EventKind {
            number,
            name,
            level,
            meaning,
            action,
        } = kind;
        writeln!(
            page,
            "| {number} | {name} | {level} | {meaning} | {action} |"
        )
        .expect("writing to a string");
    }
    page
}
