//! A TCP relay that can cut, slow down or silence the path through it, also one way only.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ragwortwick_core::common;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Bytes moved at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Tries to get the port back after a cut, and the pause between them.
const RESERVE_TRIES: u32 = 250;
const RESERVE_PAUSE: Duration = Duration::from_millis(20);

/// How late a slow path passes what it read: more than a caller's patience for two or three calls.
const SLOW: Duration = Duration::from_millis(250);

/// Pause before data that was not acknowledged is sent again, which doubles each time.
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

/// What a narrow path passes towards the caller, for all its connections together.
const NARROW_BYTES_PER_S: u64 = 256 << 10;

/// A connection on loopback that takes longer is not going to be completed.
const FILLER_WAIT: Duration = Duration::from_millis(100);

/// `RelayMode` is what the relay does with the path.
#[common(wire)]
#[derive(Copy, Default, Eq)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Passes bytes both ways.
    #[default]
    Pass,
    /// Closes open connections and refuses new ones.
    Cut,
    /// Drops every byte and completes no new connection, as a path that loses all packets.
    Blackhole,
    /// Drops every byte and takes new connections, as a frozen process behind a live system.
    Frozen,
    /// Drops every byte of connections that are open now; new ones pass.
    SilenceOpen,
    /// Passes bytes, those towards the caller twice.
    Duplicate,
    /// Passes bytes late.
    Slow,
    /// Passes what goes to the target at once, and few bytes a second back.
    Narrow,
    /// Closes connections that are open now; new ones pass.
    ResetOpen,
    /// Drops what goes to the target: no call arrives.
    DropCalls,
    /// Drops what comes back: calls arrive and their answers don't.
    DropAnswers,
    /// Delivers nothing until the mode changes, and what was sent meanwhile at its next retransmission, as TCP does
    /// after a network partition.
    Hold,
    /// As `Hold`, for what goes to the target.
    HoldCalls,
    /// As `Hold`, for what comes back.
    HoldAnswers,
    /// Answers each call with status 503 in place of the target.
    Unavailable,
    /// Answers each call with status 429 in place of the target.
    TooManyRequests,
}

impl RelayMode {
    /// Whether what goes in a direction is held back.
    fn is_held(self, is_towards_caller: bool) -> bool {
        match self {
            Self::Hold => true,
            Self::HoldCalls => !is_towards_caller,
            Self::HoldAnswers => is_towards_caller,
            _ => false,
        }
    }

    /// Status with which calls are answered in place of the target.
    fn refusal_status(self) -> Option<u16> {
        match self {
            Self::Unavailable => Some(503),
            Self::TooManyRequests => Some(429),
            _ => None,
        }
    }

    /// Whether open connections are closed.
    fn is_closing(self) -> bool {
        matches!(self, Self::Cut | Self::ResetOpen) || self.refusal_status().is_some()
    }
}

/// `Relay` is a running relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    bytes: Arc<AtomicU64>,
    accept_loop: JoinHandle<()>,
}

impl Relay {
    /// `bind` listens on the address and relays to the target.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: &str, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(RelayMode::Pass);
        let bytes = Arc::new(AtomicU64::new(0));
        let path = Path {
            target,
            mode: mode.clone(),
            bytes: Arc::clone(&bytes),
            narrow_turn: Arc::default(),
        };
        let accept_loop = tokio::spawn(accept(listener, address, path));
        Ok(Self {
            address,
            mode,
            bytes,
            accept_loop,
        })
    }

    /// `address` is where the relay listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// `set_mode` changes the path for open and new connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }

    /// `bytes` counts the bytes passed on both ways.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// `close` stops listening and closes every connection.
    pub fn close(self) {
        self.mode.send_replace(RelayMode::Cut);
        self.accept_loop.abort();
    }
}

#[derive(Clone)]
struct Path {
    target: SocketAddr,
    mode: watch::Sender<RelayMode>,
    bytes: Arc<AtomicU64>,
    /// Connections of a narrow path share it by turns.
    narrow_turn: Arc<Mutex<()>>,
}

async fn accept(listener: TcpListener, address: SocketAddr, path: Path) {
    let mut mode = path.mode.subscribe();
    let mut listener = Some(listener);
    loop {
        let current = *mode.borrow_and_update();
        let is_shut = matches!(current, RelayMode::Cut | RelayMode::Blackhole);
        let Some(open) = listener.take().filter(|_| !is_shut) else {
            let Ok(opened) = stay_shut(address, &mut mode, current).await else {
                return;
            };
            listener = Some(opened);
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((caller, _)) = accepted {
                    match current.refusal_status() {
                        Some(status) => drop(tokio::spawn(refuse(caller, path.clone(), status))),
                        None => drop(tokio::spawn(connect(caller, path.clone()))),
                    }
                }
            }
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        listener = Some(open);
    }
}

/// `stay_shut` keeps new connections out until the mode changes, and then listens again.
async fn stay_shut(
    address: SocketAddr,
    mode: &mut watch::Receiver<RelayMode>,
    current: RelayMode,
) -> io::Result<TcpListener> {
    // Bound without listening, the port refuses every connection and nobody else gets it.
    let socket = reserve(address).await?;
    if current != RelayMode::Blackhole {
        wait_for_other(mode, current).await?;
        return socket.listen(BACKLOG);
    }
    // With the queue of connections full the system drops every further attempt without an answer.
    let full = socket.listen(0)?;
    let mut fillers = Vec::new();
    while let Ok(Ok(filler)) = timeout(FILLER_WAIT, TcpStream::connect(address)).await {
        fillers.push(filler);
    }
    wait_for_other(mode, current).await?;
    drop(full);
    drop(fillers);
    reserve(address).await?.listen(BACKLOG)
}

async fn wait_for_other(
    mode: &mut watch::Receiver<RelayMode>,
    current: RelayMode,
) -> io::Result<()> {
    let changed = mode.wait_for(|mode| *mode != current).await;
    changed.map(drop).map_err(io::Error::other)
}

/// Another process may hold the port for a moment as the near end of a connection of its own.
async fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let mut tries_left = RESERVE_TRIES;
    loop {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        match socket.bind(address) {
            Err(error) if tries_left == 0 => return Err(error),
            Err(_) => {
                tries_left -= 1;
                tokio::time::sleep(RESERVE_PAUSE).await;
            }
            Ok(()) => return Ok(socket),
        }
    }
}

/// Answers each call with a status until the mode changes.
async fn refuse(mut caller: TcpStream, path: Path, status: u16) {
    let mut mode = path.mode.subscribe();
    let answer = format!(
        "HTTP/1.1 {status} Refused\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            _ = mode.changed() => return,
            read = caller.read(&mut chunk) => read,
        };
        let is_open = matches!(read, Ok(length) if length > 0);
        if !is_open || caller.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn connect(mut caller: TcpStream, path: Path) {
    let mut mode = path.mode.subscribe();
    let Some(sent) = wait_for_path(&mut caller, &mut mode).await else {
        return;
    };
    let Ok(mut target) = TcpStream::connect(path.target).await else {
        return;
    };
    if target.write_all(&sent).await.is_err() {
        return;
    }
    // Latency is not what a relay is for; without the option answers are only later.
    drop(caller.set_nodelay(true));
    drop(target.set_nodelay(true));
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target.into_split();
    let there = Direction {
        mode: mode.clone(),
        bytes: Arc::clone(&path.bytes),
        narrow_turn: Arc::clone(&path.narrow_turn),
        is_towards_caller: false,
        is_silenced: false,
    };
    let back = Direction {
        mode,
        bytes: path.bytes,
        narrow_turn: path.narrow_turn,
        is_towards_caller: true,
        is_silenced: false,
    };
    let there = there.run(caller_read, target_write);
    let back = back.run(target_read, caller_write);
    tokio::join!(there, back);
}

/// Waits while a new connection would not be established; returns what the caller has sent, or none if it has
/// given up.
async fn wait_for_path(
    caller: &mut TcpStream,
    mode: &mut watch::Receiver<RelayMode>,
) -> Option<Vec<u8>> {
    let mut sent = Vec::new();
    loop {
        let current = *mode.borrow_and_update();
        if !current.is_held(false) && !current.is_held(true) {
            let is_shut = current == RelayMode::Cut || current.refusal_status().is_some();
            return (!is_shut).then_some(sent);
        }
        tokio::select! {
            changed = mode.changed() => changed.ok()?,
            read = caller.read_buf(&mut sent) => {
                if read.is_ok_and(|length| length > 0) {
                    continue;
                }
                return None;
            }
        }
    }
}

struct Direction {
    mode: watch::Receiver<RelayMode>,
    bytes: Arc<AtomicU64>,
    narrow_turn: Arc<Mutex<()>>,
    is_towards_caller: bool,
    is_silenced: bool,
}

impl Direction {
    async fn run(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut chunk = vec![0; CHUNK_BYTES];
        self.mode.mark_unchanged();
        loop {
            let read = tokio::select! {
                biased;
                changed = self.mode.changed() => {
                    if changed.is_err() || self.follow_mode() {
                        return;
                    }
                    continue;
                }
                read = from.read(&mut chunk) => read,
            };
            let length = match read {
                Ok(length) if length > 0 => length,
                _ if self.is_dropping() => {
                    // A silent path also hides that the other end has closed.
                    if self.wait_for_cut().await {
                        return;
                    }
                    continue;
                }
                _ => {
                    // The end of a connection is delivered after what was sent before it.
                    self.wait_while_held().await;
                    return;
                }
            };
            if self.wait_while_held().await {
                return;
            }
            if self.is_dropping() {
                continue;
            }
            if self.pass(&chunk[..length], &mut to).await.is_err() {
                return;
            }
        }
    }

    /// `follow_mode` takes in a change of mode; it tells whether the connection is to be closed.
    fn follow_mode(&mut self) -> bool {
        let mode = *self.mode.borrow_and_update();
        self.is_silenced |= mode == RelayMode::SilenceOpen;
        mode.is_closing()
    }

    /// Waits until the path delivers again; returns whether the connection is to be closed.
    async fn wait_while_held(&mut self) -> bool {
        let sent_at = Instant::now();
        let mut pause = FIRST_RETRANSMISSION;
        let mut next_at = sent_at;
        while self.mode.borrow().is_held(self.is_towards_caller) || Instant::now() < next_at {
            if Instant::now() >= next_at {
                next_at += pause;
                pause *= 2;
            }
            tokio::select! {
                changed = self.mode.changed() => {
                    if changed.is_err() || self.follow_mode() {
                        return true;
                    }
                }
                () = tokio::time::sleep_until(next_at) => {}
            }
        }
        false
    }

    fn is_dropping(&self) -> bool {
        let mode = *self.mode.borrow();
        let is_dropped = match mode {
            RelayMode::Blackhole | RelayMode::Frozen => true,
            RelayMode::DropCalls => !self.is_towards_caller,
            RelayMode::DropAnswers => self.is_towards_caller,
            _ => false,
        };
        self.is_silenced || is_dropped
    }

    async fn wait_for_cut(&mut self) -> bool {
        loop {
            if self.mode.changed().await.is_err() || self.follow_mode() {
                return true;
            }
            if !self.is_dropping() {
                return false;
            }
        }
    }

    async fn pass(&self, bytes: &[u8], to: &mut OwnedWriteHalf) -> io::Result<()> {
        self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let mode = *self.mode.borrow();
        if mode == RelayMode::Slow {
            tokio::time::sleep(SLOW).await;
        }
        if mode == RelayMode::Narrow && self.is_towards_caller {
            let _turn = self.narrow_turn.lock().await;
            let taken_us = bytes.len() as u64 * 1_000_000 / NARROW_BYTES_PER_S;
            tokio::time::sleep(Duration::from_micros(taken_us)).await;
        }
        to.write_all(bytes).await?;
        if self.is_towards_caller && *self.mode.borrow() == RelayMode::Duplicate {
            to.write_all(bytes).await?;
        }
        Ok(())
    }
}
