//! Connections of callers, which are reset where an orderly end would make a response look complete that is not.

use {
    super::{
        connection_state::ConnectionState,
        ingress::{BrokenBody, IngressBody},
    },
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    socket2::SockRef,
    std::{
        cell::Cell,
        io::{self, IoSlice},
        net::Shutdown,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
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
    stream: Rc<TcpStream>,
    switch: ResetSwitch,
    resets_on_close: bool,
    state: Rc<ConnectionState>,
}

impl CallerStream {
    /// A connection that is closed in an orderly way until the switch is set.
    pub(super) fn new(
        stream: Rc<TcpStream>,
        switch: ResetSwitch,
        state: Rc<ConnectionState>,
    ) -> Self {
        Self {
            stream,
            switch,
            resets_on_close: false,
            state,
        }
    }

    fn apply_switch(&mut self) {
        let resets = self.switch.get();
        if resets == self.resets_on_close {
            return;
        }
        self.resets_on_close = resets;
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&*self.stream).set_linger(linger) {
            log::warn!("a caller's connection cannot be set to end by a reset ({resets}): {error}");
        }
    }

    // Writes once the connection takes bytes, and records how many it took.
    fn poll_write_with(
        &mut self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.apply_switch();
        loop {
            let Poll::Ready(ready) = self.stream.poll_write_ready(context) else {
                self.state.record_blocked();
                return Poll::Pending;
            };
            ready?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(bytes) => {
                    self.state.record_write(bytes);
                    return Poll::Ready(Ok(bytes));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
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
        self.apply_switch();
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => {
                    self.state.record_read();
                    return Poll::Ready(Ok(()));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(buffer))
    }

    // Sockets have no buffer of their own.
    fn poll_flush(mut self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply_switch();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply_switch();
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
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
