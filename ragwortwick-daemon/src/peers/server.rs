//! The answering side: hands each call to the duty that it is meant for.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use ragwortwick_border::{
    JobCall, JobWhy, PeerCall, PeerRefusal, PeerReply, RequestSubmit, SeenReply,
};
use ragwortwick_core::{DurationMs, log_event};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::timeout;

use super::PEER_PROTOCOL;
use super::codec::{call_path, decode, encode, read_body};
use crate::{App, host_status};

/// Most peer connections open at once; a fleet has far fewer entry hosts per zone group.
const MAX_CONNECTIONS: usize = 256;

/// Most calls of one peer answered at once; more wait on the peer's side.
const MAX_CALLS_PER_PEER: u32 = 1_024;

/// Longest time for a peer to open its h2 session.
const HANDSHAKE_TIMEOUT_MS: DurationMs = DurationMs(5_000);

/// `PeerServer` is the running answering side.
#[derive(Debug)]
pub(crate) struct PeerServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    accept_loop: JoinHandle<()>,
}

impl PeerServer {
    /// `spawn` answers calls on a bound listener.
    pub(crate) fn spawn(listener: TcpListener, app: App) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let accept_loop = tokio::spawn(accept(listener, app, stopped));
        Ok(Self {
            address,
            stop,
            accept_loop,
        })
    }

    /// `address` is where other entry hosts reach this one.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// `close` takes no new calls and returns once the begun ones are answered.
    pub(crate) async fn close(self) {
        self.stop.send_replace(true);
        // The loop ends only by this signal; a panic in it would have ended the process.
        drop(self.accept_loop.await);
    }
}

async fn accept(listener: TcpListener, app: App, mut stopped: watch::Receiver<bool>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            _ = stopped.changed() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, _peer)) = accepted else {
            // Out of file descriptors: the pause keeps a full process from spinning.
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let (app, stopped) = (app.clone(), stopped.clone());
        connections.spawn(async move {
            if let Err(error) = serve(socket, app, stopped).await {
                log_event!(Debug, "peer_connection_ended", reason = error);
            }
            drop(permit);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(
    socket: TcpStream,
    app: App,
    mut stopped: watch::Receiver<bool>,
) -> Result<(), h2::Error> {
    // Without it a small reply is only later; the connection works all the same.
    drop(socket.set_nodelay(true));
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(MAX_CALLS_PER_PEER);
    let handshake = builder.handshake::<_, Bytes>(socket);
    // One that connects and says nothing would keep its place among the connections for good.
    let Ok(connection) = timeout(HANDSHAKE_TIMEOUT_MS.into(), handshake).await else {
        return Ok(());
    };
    let mut connection = connection?;
    let mut is_stopping = *stopped.borrow();
    if is_stopping {
        connection.graceful_shutdown();
    }
    loop {
        let next = tokio::select! {
            next = connection.accept() => next,
            _ = stopped.changed(), if !is_stopping => {
                is_stopping = true;
                connection.graceful_shutdown();
                continue;
            }
        };
        let Some(call) = next else {
            return Ok(());
        };
        let (request, respond) = call?;
        tokio::spawn(answer(app.clone(), request, respond));
    }
}

async fn answer(app: App, request: Request<h2::RecvStream>, respond: SendResponse<Bytes>) {
    if request.uri().path() != call_path() {
        return send(
            respond,
            StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Bytes::new(),
        );
    }
    let call = match read_body(request.into_body()).await {
        Ok(body) => decode::<PeerCall>(&body),
        Err(error) => Err(error),
    };
    let reply = match call {
        Ok(call) => dispatch(&app, call).await,
        Err(reason) => PeerReply::Refused(PeerRefusal { reason }),
    };
    match encode(&reply) {
        Ok(body) => send(respond, StatusCode::OK, body),
        Err(reason) => {
            log_event!(Error, "peer_reply_too_large", reason = reason);
            send(respond, StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
        }
    }
}

fn send(mut respond: SendResponse<Bytes>, status: StatusCode, body: Bytes) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    // A peer that went away needs no answer; its own call fails.
    if let Ok(mut stream) = respond.send_response(response, false) {
        drop(stream.send_data(body, true));
    }
}

async fn dispatch(app: &App, call: PeerCall) -> PeerReply {
    match call {
        PeerCall::Hello(hello) if hello.protocol != PEER_PROTOCOL => {
            refused(format!("expected protocol {PEER_PROTOCOL}"))
        }
        PeerCall::Hello(hello) => {
            app.peers.heard(hello);
            PeerReply::Hello(app.peers.hello())
        }
        PeerCall::Forward(forward) => {
            let request = RequestSubmit {
                deadline_ms: Some(forward.remaining_ms),
                ..forward.request
            };
            PeerReply::Outcome(app.requests.submit(request, true).await)
        }
        PeerCall::FetchTable => match app.config.current() {
            Some(table) => PeerReply::Table(Arc::unwrap_or_clone(table)),
            None => refused("no table was accepted yet".to_owned()),
        },
        PeerCall::PushTable(table) => {
            app.config.offer(Arc::new(table));
            PeerReply::Done
        }
        PeerCall::Job(call) => job(app, call).await,
        PeerCall::NewJob(record) => {
            app.zone.new_job(record, None);
            PeerReply::Done
        }
        PeerCall::Seen(seen) => PeerReply::Seen(SeenReply {
            is_known: app.requests.knows(&seen),
        }),
        PeerCall::Status => PeerReply::Status(host_status(app).await),
    }
}

async fn job(app: &App, call: JobCall) -> PeerReply {
    if call.is_cancel {
        app.zone.cancel_job(&call.job_id);
    }
    let why = app.zone.why(&call.job_id).await;
    PeerReply::JobWhy(JobWhy {
        is_known: why.is_some(),
        why: why.unwrap_or_default(),
    })
}

fn refused(reason: String) -> PeerReply {
    PeerReply::Refused(PeerRefusal { reason })
}
