//! A server that runs a gotham router with limits on connections, header size and timeouts.

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::service::call_handler;
use gotham::state::State;
use http::Response;
use hyper::body::{Body as _, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use ragwortwick_core::DurationMs;
use tokio::net::{TcpListener, TcpSocket, TcpStream, lookup_host};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::JoinHandle;

use crate::connections::{ConnectionTable, OpenConnection, ServerCounts};
use crate::memory_budget::MemoryBudget;
use crate::request_body::{BODY_TIMEOUT_MS, RequestContext};
use crate::write_timeout::WriteTimeoutStream;

/// Default number of connections that the system accepts before the server does.
const LISTEN_QUEUE_LENGTH: u32 = 1_024;

/// Pause before a full server looks again for a connection that it can close for a new one.
const EVICTION_PAUSE_MS: DurationMs = DurationMs(20);

/// Memory for request bodies of a server without a budget of its process.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;

/// `ServerOptions` sets the limits of a server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Maximum number of open connections; for a further one the least active connection is closed.
    pub max_connections: usize,
    /// Connections that the system accepts before the server does; further clients try again.
    pub listen_queue_length: u32,
    /// Bytes that the system keeps of what a client has sent, and of what it has not read; left to the system if none.
    pub socket_buffer_bytes: Option<u32>,
    /// Memory for the bodies of all requests.
    pub memory: MemoryBudget,
    /// Counts of what was refused.
    pub counts: Arc<ServerCounts>,
    /// Largest request head.
    pub max_header_bytes: usize,
    /// Longest time until a request head is complete, on a new or an idle keep-alive connection.
    ///
    /// It must exceed the load balancer's idle timeout: a server that closes first may close while the
    /// balancer sends the next request, and that client gets a connection reset.
    pub header_timeout_ms: DurationMs,
    /// Longest time until a request body is complete.
    pub body_timeout_ms: DurationMs,
    /// Longest time during which a client reads no byte of its response.
    pub write_timeout_ms: DurationMs,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            listen_queue_length: LISTEN_QUEUE_LENGTH,
            socket_buffer_bytes: None,
            memory: MemoryBudget::new(DEFAULT_MEMORY_BYTES),
            counts: Arc::default(),
            max_header_bytes: 16 << 10,
            header_timeout_ms: DurationMs(75_000),
            body_timeout_ms: BODY_TIMEOUT_MS,
            write_timeout_ms: DurationMs(20_000),
        }
    }
}

/// `Server` is a running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    accept_loop: JoinHandle<()>,
}

impl Server {
    /// `bind` listens on the address and serves requests until `close`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: &str, router: Router, options: ServerOptions) -> io::Result<Self> {
        let listener = listen(address, &options).await?;
        let address = listener.local_addr()?;
        let (stop, shutdown) = oneshot::channel();
        let accept_loop = tokio::spawn(accept(listener, router, options, shutdown));
        Ok(Self {
            address,
            stop,
            accept_loop,
        })
    }

    /// `address` returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `close` stops listening and returns after all requests in progress have finished.
    pub async fn close(self) {
        // The accept loop may have ended already; then there is nothing to stop.
        let _ = self.stop.send(());
        drop(self.accept_loop.await);
    }
}

async fn listen(address: &str, options: &ServerOptions) -> io::Result<TcpListener> {
    let address = lookup_host(address).await?.next();
    let address = address.ok_or(io::ErrorKind::AddrNotAvailable)?;
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = options.socket_buffer_bytes {
        // Accepted sockets inherit the sizes, which also turns off their growth.
        socket.set_recv_buffer_size(bytes)?;
        socket.set_send_buffer_size(bytes)?;
    }
    socket.bind(address)?;
    socket.listen(options.listen_queue_length)
}

/// What the server needs to serve its connections.
struct ServeContext {
    builder: Builder<TokioExecutor>,
    graceful: GracefulShutdown,
    router: Router,
    options: ServerOptions,
    connections: ConnectionTable,
}

async fn accept(
    listener: TcpListener,
    router: Router,
    options: ServerOptions,
    mut shutdown: oneshot::Receiver<()>,
) {
    let permits = Arc::new(Semaphore::new(options.max_connections));
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(std::time::Duration::from(options.header_timeout_ms))
        .max_buf_size(options.max_header_bytes.max(8 << 10));
    let context = ServeContext {
        builder,
        graceful: GracefulShutdown::new(),
        router,
        connections: ConnectionTable::open(Arc::clone(&options.counts)),
        options,
    };
    loop {
        let accepted = tokio::select! {
            _ = &mut shutdown => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, peer)) = accepted else {
            // Probably out of file descriptors: the pause keeps the loop from spinning.
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let permit = tokio::select! {
            _ = &mut shutdown => break,
            permit = acquire(&permits, &context.connections) => permit,
        };
        let Some(permit) = permit else { break };
        // Small responses must not wait for more bytes. If the option can't be set, they are only slower.
        drop(socket.set_nodelay(true));
        context.serve(socket, peer, permit);
    }
    drop(listener);
    context.graceful.shutdown().await;
}

/// Waits for a place for one more connection, and closes the least active connection if there is none.
async fn acquire(
    permits: &Arc<Semaphore>,
    connections: &ConnectionTable,
) -> Option<OwnedSemaphorePermit> {
    if let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
        return Some(permit);
    }
    let permit = Arc::clone(permits).acquire_owned();
    tokio::pin!(permit);
    loop {
        // While all clients wait for their responses there is none to close.
        let is_evicted = connections.evict_for_connection();
        let pause_ms = if is_evicted {
            DurationMs(1_000)
        } else {
            EVICTION_PAUSE_MS
        };
        tokio::select! {
            permit = &mut permit => return permit.ok(),
            () = tokio::time::sleep(pause_ms.into()) => {}
        }
    }
}

impl ServeContext {
    fn serve(&self, socket: TcpStream, peer: SocketAddr, permit: OwnedSemaphorePermit) {
        let entry = self.connections.insert();
        let context = RequestContext {
            connection: Arc::clone(&entry.connection),
            connections: self.connections.clone(),
            memory: self.options.memory.clone(),
            body_timeout_ms: self.options.body_timeout_ms,
        };
        let write_timeout = self.options.write_timeout_ms.into();
        let socket = WriteTimeoutStream::new(socket, Arc::clone(&entry.connection), write_timeout);
        let router = self.router.clone();
        let service = service_fn(move |request: hyper::Request<Incoming>| {
            handle(router.clone(), context.clone(), peer, request)
        });
        let connection = self
            .builder
            .serve_connection(TokioIo::new(socket), service)
            .into_owned();
        let connection = self.graceful.watch(connection);
        tokio::spawn(run(connection, entry, permit));
    }
}

async fn handle(
    router: Router,
    context: RequestContext,
    peer: SocketAddr,
    request: hyper::Request<Incoming>,
) -> io::Result<Response<Body>> {
    let connection = Arc::clone(&context.connection);
    if request.body().is_end_stream() {
        connection.begin_processing();
    }
    let mut state = State::from_request(request, peer);
    state.put(context);
    let response = call_handler(router, AssertUnwindSafe(state)).await;
    connection.begin_responding();
    response.map_err(io::Error::other)
}

/// Serves a connection until its client closes it or it is evicted.
async fn run(
    connection: impl Future<Output = impl Sized>,
    entry: OpenConnection,
    permit: OwnedSemaphorePermit,
) {
    tokio::select! {
        // A connection error affects only its client, which sees it as well.
        _ = connection => {}
        () = entry.connection.evicted() => {}
    }
    drop(entry);
    drop(permit);
}
