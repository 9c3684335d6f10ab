//! Memory that less urgent requests leave free for the more urgent ones that wait or are about to arrive.
//!
//! An urgent request needs one engine with room for all of it. So a few engines keep that room free of less urgent
//! work, and all others run full. Every host names the same engines, since it ranks them by a hash of their ids.

use {
    super::service_work::{self, ServiceWork},
    crate::relay::policy::priority_loads::PriorityLoad,
    faststr::FastStr,
    std::{cmp::Reverse, collections::HashMap, rc::Rc, time::Duration},
    xxhash_rust::xxh3,
};

/// Largest fraction of a service's decode engines that keep room free, so that less urgent requests always have the
/// full memory of the others.
const KEEPING_ENGINES_MAX: f64 = 0.5;

/// Largest fraction of an engine's memory that is kept free.
const KEPT_MEMORY_MAX: f64 = 0.5;

/// Number of standard deviations by which the kept rooms exceed the expected number of urgent requests, whose arrivals
/// are random.
const ARRIVAL_MARGIN: f64 = 2.0;

/// Expected number of urgent requests below which none are expected.
const EXPECTED_MIN: f64 = 0.01;

/// Fraction of the engines' memory up to which the reservations of all requests leave room for an urgent one anyway.
/// Low enough for one half of the hosts that cannot hear of the other.
const AMPLE_LOAD: f64 = 0.4;

/// The decode engines of a service.
#[derive(Debug, Clone, Copy)]
pub struct EnginePool {
    /// Number of engines that take requests.
    pub engines: usize,
    /// Memory of each, in tokens.
    pub memory_tokens: u64,
    /// Mean tokens that an urgent request reserves.
    pub request_tokens: u64,
    /// Mean time for which a request keeps its memory.
    pub held_time: Duration,
}

impl EnginePool {
    // Time in which a full engine frees as much memory as a request needs.
    fn refill_time(&self) -> Duration {
        let part = self.request_tokens as f64 / self.memory_tokens.max(1) as f64;
        self.held_time.mul_f64(part.min(1.0))
    }
}

/// Room that some engines keep free.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KeptRoom {
    /// The fraction of the engines that keep room.
    pub engines: f64,
    /// Tokens that each of them keeps free.
    pub tokens: u64,
}

/// The room to keep free for the urgent ones among the classes of a service. Requests that wait or are expected until
/// an engine's memory frees by itself each need a room of their own.
pub fn kept_room(work: &ServiceWork, urgent: &[PriorityLoad], pool: &EnginePool) -> KeptRoom {
    if pool.engines == 0 || has_ample_memory(work, pool) {
        return KeptRoom::default();
    }
    let arriving: u64 = urgent.iter().map(|load| load.arriving_tokens).sum();
    let arriving = arriving as f64 / pool.request_tokens.max(1) as f64;
    let waiting = service_work::waiting(urgent) as f64;
    let expected = waiting + arriving * pool.refill_time().as_secs_f64();
    if expected < EXPECTED_MIN {
        return KeptRoom::default();
    }
    let rooms = (expected + ARRIVAL_MARGIN * expected.sqrt()).ceil();
    let engines = pool.engines as f64;
    let most = (engines * KEEPING_ENGINES_MAX).ceil();
    let most_tokens = pool.memory_tokens as f64 * KEPT_MEMORY_MAX;
    KeptRoom {
        engines: rooms.min(most) / engines,
        tokens: request_tokens(urgent, pool).min(most_tokens as u64),
    }
}

// Hosts that have not seen an urgent request learn its size from those that wait elsewhere.
fn request_tokens(urgent: &[PriorityLoad], pool: &EnginePool) -> u64 {
    let tokens = service_work::waiting_tokens(urgent);
    let mean = tokens.checked_div(service_work::waiting(urgent));
    pool.request_tokens.max(mean.unwrap_or_default())
}

fn has_ample_memory(work: &ServiceWork, pool: &EnginePool) -> bool {
    let memory = pool.memory_tokens as f64 * pool.engines as f64;
    work.waiting() == 0 && (work.running_tokens() as f64) < memory * AMPLE_LOAD
}

/// The order in which a service's decode engines keep room: the same at all hosts, and evenly over the zones.
#[derive(Debug, Default)]
pub struct KeepingOrder {
    // The fraction of the engines of its zone that come before an engine.
    places: HashMap<FastStr, f64>,
}

impl KeepingOrder {
    /// Ranks the engines, given by zone.
    pub fn new(zones: &[Vec<FastStr>]) -> Self {
        let mut places = HashMap::new();
        for engines in zones {
            let mut ranked: Vec<_> = engines.iter().collect();
            ranked.sort_by_key(|id| (Reverse(xxh3::xxh3_64(id.as_bytes())), *id));
            let count = ranked.len() as f64;
            let of_zone = ranked.into_iter().enumerate();
            places.extend(of_zone.map(|(place, id)| (id.clone(), place as f64 / count)));
        }
        Self { places }
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether an engine keeps room if this fraction of the engines does.
    pub fn keeps(&self, engine: &str, engines: f64) -> bool {
        self.places
            .get(engine)
            .is_some_and(|place| *place < engines)
    }
}

/// The room that engines keep free as it concerns a request.
#[derive(Debug, Clone, Default)]
pub struct UrgentRoom {
    order: Rc<KeepingOrder>,
    // What the request leaves to more urgent ones.
    kept: KeptRoom,
}

impl UrgentRoom {
    /// Works it out for a request of a priority.
    pub fn new(
        order: Rc<KeepingOrder>,
        work: &ServiceWork,
        priority: u8,
        pool: &EnginePool,
    ) -> Self {
        Self {
            order,
            kept: kept_room(work, work.more_urgent(priority), pool),
        }
    }

    /// Tokens that the request leaves free at an engine for more urgent ones.
    pub fn left_free(&self, engine: &str) -> u64 {
        match self.order.keeps(engine, self.kept.engines) {
            true => self.kept.tokens,
            false => 0,
        }
    }

    /// Tokens that the request leaves free at all engines together.
    pub fn tokens_kept(&self) -> u64 {
        let engines = self.order.len() as f64 * self.kept.engines;
        engines.round() as u64 * self.kept.tokens
    }
}
