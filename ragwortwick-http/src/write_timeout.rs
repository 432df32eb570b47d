//! A client's socket, whose writes time out when the client stops reading, and which records its progress.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::connections::Connection;

/// `WriteTimeoutStream` fails a connection whose client has stopped reading.
///
/// Such a client would hold its response, its connection and, during a graceful shutdown, the whole process
/// indefinitely. Each byte that it reads restarts the timeout, so slow clients are still served.
#[derive(Debug)]
pub(crate) struct WriteTimeoutStream {
    socket: TcpStream,
    connection: Arc<Connection>,
    timeout: Duration,
    /// Pending while a write makes no progress.
    deadline: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeoutStream {
    pub(crate) fn new(socket: TcpStream, connection: Arc<Connection>, timeout: Duration) -> Self {
        Self {
            socket,
            connection,
            timeout,
            deadline: None,
        }
    }

    fn check_deadline<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.deadline = None;
            self.connection.record_progress();
            return written;
        }
        let timeout = self.timeout;
        let deadline = self
            .deadline
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        if deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.socket).poll_read(cx, buf);
        if read.is_ready() {
            self.connection.record_progress();
        }
        read
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.check_deadline(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.check_deadline(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.connection.record_flush();
        }
        self.check_deadline(cx, flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shut = Pin::new(&mut self.socket).poll_shutdown(cx);
        self.check_deadline(cx, shut)
    }
}
