//! Bodies read within limits, and bodies that stream.

use {
    bytes::{Bytes, BytesMut},
    futures::{Stream, StreamExt},
    http_body::Frame,
    http_body_util::BodyExt,
    std::time::Duration,
    sync_wrapper::SyncStream,
    volo_http::body::Body,
};

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFailure {
    /// It is longer than allowed.
    TooLarge,
    /// It did not come in time.
    TooSlow,
    /// The connection broke.
    Broken,
}

/// Reads a whole body of at most `limit` bytes within `time`.
pub async fn read_body(body: Body, limit: usize, time: Duration) -> Result<Bytes, BodyFailure> {
    match tokio::time::timeout(time, collect(body, limit)).await {
        Ok(read) => read,
        Err(_) => Err(BodyFailure::TooSlow),
    }
}

async fn collect(mut body: Body, limit: usize) -> Result<Bytes, BodyFailure> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFailure::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            drop(whole);
            discard(body).await;
            return Err(BodyFailure::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

/// Bytes of a refused body that are still read, so that its sender gets to read the refusal.
const DISCARD_LIMIT: usize = 32 << 20;

/// Reads and drops what is left of a body that was refused, within limits.
pub async fn discard(mut body: impl http_body::Body<Data = Bytes> + Unpin) {
    let mut read = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > DISCARD_LIMIT {
            return;
        }
    }
}

/// A body of the chunks that a stream gives; dropping the body drops the stream.
pub fn stream_body<S>(chunks: S) -> Body
where
    S: Stream<Item = Bytes> + Send + 'static,
{
    let frames = chunks.map(|chunk| Ok(Frame::data(chunk)));
    Body::from_stream(SyncStream::new(frames))
}
