//! A socket whose peer must keep accepting bytes.

use std::future::Future as _;
use std::io;
use std::pin;
use std::task;
use std::time;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

/// A socket that fails once the peer has accepted nothing for a while although bytes wait.
pub struct Stall<T> {
    socket: T,
    limit: time::Duration,
    since: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl<T> Stall<T> {
    /// Bounds how long a write to the socket may stand still.
    pub fn new(socket: T, limit: time::Duration) -> Self {
        Self { socket, limit, since: None }
    }

    /// Passes progress on, and turns a standstill that is too long into an error.
    fn check<V>(
        &mut self,
        cx: &mut task::Context<'_>,
        poll: task::Poll<io::Result<V>>,
    ) -> task::Poll<io::Result<V>> {
        if poll.is_ready() {
            self.since = None;
            return poll;
        }
        let limit = self.limit;
        let since = self.since.get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        match since.as_mut().poll(cx) {
            task::Poll::Ready(()) => task::Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            task::Poll::Pending => task::Poll::Pending,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Stall<T> {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().socket).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Stall<T> {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = pin::Pin::new(&mut this.socket).poll_write(cx, bytes);
        this.check(cx, poll)
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        let poll = pin::Pin::new(&mut this.socket).poll_flush(cx);
        this.check(cx, poll)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        let poll = pin::Pin::new(&mut this.socket).poll_shutdown(cx);
        this.check(cx, poll)
    }
}
