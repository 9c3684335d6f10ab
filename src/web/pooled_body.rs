//! Bodies of answers that come over pooled connections.

use {
    super::{
        body_framing::BodyFraming,
        budget::{self, HeldBytes, SMALL_BYTES},
        pool::{ConnectionPool, PoolKey, PooledConnection},
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{fmt, rc::Rc, time::Duration},
};

/// Longest wait for the rest of a body that nobody needs.
const DISCARD_TIME: Duration = Duration::from_millis(50);

/// Why a body was not read to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerFailure {
    /// It has more bytes than this.
    TooLarge(usize),
    /// There is no room for it beside others.
    NoRoom,
    /// Its connection failed or fell silent.
    Broken(String),
}

impl fmt::Display for AnswerFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(limit) => write!(f, "the answer has more than {limit} bytes"),
            Self::NoRoom => f.write_str("there is no room for the answer"),
            Self::Broken(detail) => f.write_str(detail),
        }
    }
}

/// The body of an answer; the connection goes back to the pool once it was read to its end.
pub struct PooledBody {
    content: Incoming,
    framing: BodyFraming,
    lease: Option<(PooledConnection, Duration)>,
    pool: Rc<ConnectionPool>,
    key: PoolKey,
}

impl PooledBody {
    /// The body of an answer that came over a connection, which may then be idle for a time.
    pub(super) fn new(
        content: Incoming,
        framing: BodyFraming,
        lease: (PooledConnection, Duration),
        pool: Rc<ConnectionPool>,
        key: PoolKey,
    ) -> Self {
        Self {
            content,
            framing,
            lease: Some(lease),
            pool,
            key,
        }
    }

    /// How its end is marked.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// The next bytes; none at the body's end.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.content.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => return Some(Ok(data)),
                    Err(_trailers) => continue,
                },
                Some(Err(error)) => {
                    self.lease = None;
                    return Some(Err(error));
                }
                None => {
                    self.release();
                    return None;
                }
            }
        }
    }

    // A connection whose end marked that of the body is not used again.
    fn release(&mut self) {
        let lease = self.lease.take();
        if self.framing == BodyFraming::Connection {
            return;
        }
        if let Some((connection, idle)) = lease {
            self.pool.give_back(self.key, connection, idle);
        }
    }

    /// Reads a body that nobody needs, of at most `limit` bytes, so that its connection can be used again. Closes the
    /// connection if that takes long or cannot be.
    pub async fn discard(self, limit: usize) {
        if self.framing == BodyFraming::Connection {
            return;
        }
        let read =
            tokio::time::timeout(DISCARD_TIME, self.read_unless_silent(limit, DISCARD_TIME)).await;
        match read {
            Ok(Ok(_)) => {}
            Ok(Err(detail)) => log::debug!("a body that nobody needs ended early: {detail}"),
            Err(_) => log::debug!("a body that nobody needs is not read to its end"),
        }
    }

    /// Reads the whole body, of at most `limit` bytes. What is beyond the first bytes is held meanwhile.
    pub async fn read_within(
        self,
        limit: usize,
        mut held: HeldBytes,
    ) -> Result<Bytes, AnswerFailure> {
        let has_room = |capacity| capacity <= SMALL_BYTES || held.grow_to(capacity);
        self.collect(limit, Duration::MAX, has_room).await
    }

    /// Reads the whole body, of at most `limit` bytes, as long as some of it comes within each `silence`.
    pub async fn read_unless_silent(
        self,
        limit: usize,
        silence: Duration,
    ) -> Result<Bytes, AnswerFailure> {
        self.collect(limit, silence, |_| true).await
    }

    // `has_room` is asked before the buffer gets a new capacity.
    async fn collect(
        mut self,
        limit: usize,
        silence: Duration,
        mut has_room: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, AnswerFailure> {
        let broken = |detail: String| AnswerFailure::Broken(detail);
        let mut whole = Vec::new();
        loop {
            let next = tokio::time::timeout(silence, self.chunk()).await;
            let next = next.map_err(|_| broken("the answer falls silent".to_owned()))?;
            let Some(chunk) = next else { break };
            let chunk = chunk.map_err(|error| broken(error.to_string()))?;
            let needed = whole.len() + chunk.len();
            if needed > limit {
                return Err(AnswerFailure::TooLarge(limit));
            }
            if needed > whole.capacity() {
                let capacity = budget::next_capacity(whole.capacity(), needed, limit);
                if !has_room(capacity) {
                    return Err(AnswerFailure::NoRoom);
                }
                whole.reserve_exact(capacity - whole.len());
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.into())
    }
}
