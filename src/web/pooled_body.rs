//! Bodies of answers that come over pooled connections.

use {
    super::{
        body_framing::BodyFraming,
        pool::{ConnectionPool, PoolKey, PooledConnection},
    },
    bytes::{Bytes, BytesMut},
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
    /// Its connection failed or fell silent.
    Broken(String),
}

impl fmt::Display for AnswerFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(limit) => write!(f, "the answer has more than {limit} bytes"),
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
        let read = tokio::time::timeout(DISCARD_TIME, self.read(limit)).await;
        match read {
            Ok(Ok(_)) => {}
            Ok(Err(detail)) => log::debug!("a body that nobody needs ended early: {detail}"),
            Err(_) => log::debug!("a body that nobody needs is not read to its end"),
        }
    }

    /// Reads the whole body, of at most `limit` bytes.
    pub async fn read(self, limit: usize) -> Result<Bytes, String> {
        let read = self.read_unless_silent(limit, Duration::MAX).await;
        read.map_err(|failure| failure.to_string())
    }

    /// The same, as long as some of it comes within each `silence`.
    pub async fn read_unless_silent(
        mut self,
        limit: usize,
        silence: Duration,
    ) -> Result<Bytes, AnswerFailure> {
        let broken = |detail: String| AnswerFailure::Broken(detail);
        let mut whole = BytesMut::new();
        loop {
            let next = tokio::time::timeout(silence, self.chunk()).await;
            let next = next.map_err(|_| broken("the answer falls silent".to_owned()))?;
            let Some(chunk) = next else { break };
            let chunk = chunk.map_err(|error| broken(error.to_string()))?;
            if whole.len() + chunk.len() > limit {
                return Err(AnswerFailure::TooLarge(limit));
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }
}
