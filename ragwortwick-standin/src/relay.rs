//! A TCP relay that can cut or blackhole the path through it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ragwortwick_core::common;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes moved at once.
const CHUNK_BYTES: usize = 16 << 10;

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
    /// Keeps connections open, takes new ones and drops every byte.
    Blackhole,
    /// Drops every byte of connections that are open now; new ones pass.
    SilenceOpen,
    /// Passes bytes, those towards the caller twice.
    Duplicate,
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
        };
        let accept_loop = tokio::spawn(accept(listener, path));
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
}

async fn accept(listener: TcpListener, path: Path) {
    loop {
        let Ok((caller, _)) = listener.accept().await else {
            return;
        };
        // Dropping the socket closes it: a relay can't refuse while its port stays bound.
        if *path.mode.borrow() != RelayMode::Cut {
            tokio::spawn(connect(caller, path.clone()));
        }
    }
}

async fn connect(caller: TcpStream, path: Path) {
    let mode = path.mode.subscribe();
    let Ok(target) = TcpStream::connect(path.target).await else {
        return;
    };
    // Latency is not what a relay is for; without the option answers are only later.
    drop(caller.set_nodelay(true));
    drop(target.set_nodelay(true));
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target.into_split();
    let there = Direction {
        mode: mode.clone(),
        bytes: Arc::clone(&path.bytes),
        is_towards_caller: false,
        is_silenced: false,
    };
    let back = Direction {
        mode,
        bytes: path.bytes,
        is_towards_caller: true,
        is_silenced: false,
    };
    let there = there.run(caller_read, target_write);
    let back = back.run(target_read, caller_write);
    tokio::join!(there, back);
}

struct Direction {
    mode: watch::Receiver<RelayMode>,
    bytes: Arc<AtomicU64>,
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
                _ => return,
            };
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
        mode == RelayMode::Cut
    }

    fn is_dropping(&self) -> bool {
        self.is_silenced || *self.mode.borrow() == RelayMode::Blackhole
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
        to.write_all(bytes).await?;
        if self.is_towards_caller && *self.mode.borrow() == RelayMode::Duplicate {
            to.write_all(bytes).await?;
        }
        Ok(())
    }
}
