//! Connection whose received bytes are observed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Observes the bytes received on a connection.
pub(crate) trait ReadObserver: Unpin {
    /// Records `len` further bytes; an error fails the connection.
    fn record_read(&self, len: usize) -> io::Result<()>;
}

/// Connection whose received bytes are observed.
#[derive(Debug)]
pub(crate) struct ObservedStream<S, O> {
    stream: S,
    observer: O,
}

impl<S, O: ReadObserver> ObservedStream<S, O> {
    pub(crate) const fn new(stream: S, observer: O) -> Self {
        Self { stream, observer }
    }
}

impl<S: AsyncRead + Unpin, O: ReadObserver> AsyncRead for ObservedStream<S, O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.observer.record_read(buf.filled().len() - before)?;
        polled
    }
}

impl<S: AsyncWrite + Unpin, O: ReadObserver> AsyncWrite for ObservedStream<S, O> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
