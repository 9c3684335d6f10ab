//! A connection that counts the bytes it carries.

use {
    prometheus_client::metrics::counter::Counter,
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A TCP connection that counts the bytes it sends and receives.
#[derive(Debug)]
pub struct CountingStream {
    stream: TcpStream,
    sent: Counter,
    received: Counter,
}

impl CountingStream {
    /// Counts what goes over `stream`.
    pub fn new(stream: TcpStream, sent: Counter, received: Counter) -> Self {
        Self {
            stream,
            sent,
            received,
        }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let bytes = buffer.filled().len() - before;
        self.received.inc_by(bytes as u64);
        read
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &written {
            self.sent.inc_by(*count as u64);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
