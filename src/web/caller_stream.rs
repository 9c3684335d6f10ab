//! Connections of callers, which are reset where an orderly end would make a response look complete that is not.

use {
    super::{
        connection_phase::ConnectionPhase,
        ingress::{BrokenBody, IngressBody},
    },
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    socket2::SockRef,
    std::{
        cell::Cell,
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Whether a connection is to be reset when it is closed, also by the end of the process.
pub(super) type ResetSwitch = Rc<Cell<bool>>;

/// A caller's connection with a reset switch.
pub(super) struct CallerStream {
    stream: TcpStream,
    switch: ResetSwitch,
    resets_on_close: bool,
    phase: Rc<ConnectionPhase>,
}

impl CallerStream {
    /// A connection that is closed in an orderly way until the switch is set.
    pub(super) fn new(stream: TcpStream, switch: ResetSwitch, phase: Rc<ConnectionPhase>) -> Self {
        Self {
            stream,
            switch,
            resets_on_close: false,
            phase,
        }
    }

    fn apply_switch(&mut self) {
        let resets = self.switch.get();
        if resets == self.resets_on_close {
            return;
        }
        self.resets_on_close = resets;
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.stream).set_linger(linger) {
            log::warn!("a caller's connection cannot be set to end by a reset ({resets}): {error}");
        }
    }

    fn inner(&mut self) -> Pin<&mut TcpStream> {
        self.apply_switch();
        Pin::new(&mut self.stream)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.apply_switch();
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = self.inner().poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.phase.record_read();
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.inner().poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.inner().poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// A body whose end only the end of the connection will mark; keeps the switch set until all of it was handed over.
pub(super) struct UnframedBody {
    body: IngressBody,
    switch: ResetSwitch,
}

impl UnframedBody {
    /// Sets the switch.
    pub(super) fn new(body: IngressBody, switch: ResetSwitch) -> Self {
        switch.set(true);
        Self { body, switch }
    }
}

impl Body for UnframedBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        let next = self.body.as_mut().poll_frame(context);
        let is_last = match &next {
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(None) => true,
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if is_last {
            self.switch.set(false);
        }
        next
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
