//! A write timeout for sockets.

use std::future::Future as _;
use std::io;
use std::pin;
use std::task;
use std::time;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

/// A socket that fails once the peer has accepted no bytes for `limit` although some wait to be sent.
pub struct WriteTimeout<T> {
    socket: T,
    limit: time::Duration,
    /// The time left for a write that is pending.
    timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl<T> WriteTimeout<T> {
    /// Limits how long a write to the socket may make no progress.
    pub fn new(socket: T, limit: time::Duration) -> Self {
        Self { socket, limit, timer: None }
    }

    /// Passes the result of a write on, or fails if the write has been pending for too long.
    fn check_timeout<V>(
        &mut self,
        cx: &mut task::Context<'_>,
        poll: task::Poll<io::Result<V>>,
    ) -> task::Poll<io::Result<V>> {
        if poll.is_ready() {
            self.timer = None;
            return poll;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        match timer.as_mut().poll(cx) {
            task::Poll::Ready(()) => task::Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            task::Poll::Pending => task::Poll::Pending,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for WriteTimeout<T> {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.get_mut().socket).poll_read(cx, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<T> {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = pin::Pin::new(&mut this.socket).poll_write(cx, bytes);
        this.check_timeout(cx, poll)
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        let poll = pin::Pin::new(&mut this.socket).poll_flush(cx);
        this.check_timeout(cx, poll)
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        let poll = pin::Pin::new(&mut this.socket).poll_shutdown(cx);
        this.check_timeout(cx, poll)
    }
}
