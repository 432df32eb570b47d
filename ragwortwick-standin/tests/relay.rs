//! What the relay does to calls that go through it.

use std::io;
use std::time::Duration;

use ragwortwick_standin::{Relay, RelayMode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How long nothing may come back to count as silence; an answer is waited for without a limit.
const SILENCE: Duration = Duration::from_millis(400);

/// A target that answers each byte with itself, and tells of each that it got.
struct Target {
    relay: Relay,
    seen: mpsc::UnboundedReceiver<u8>,
    serving: JoinHandle<()>,
}

async fn open() -> io::Result<Target> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let relay = Relay::bind("127.0.0.1:0", listener.local_addr()?).await?;
    let (tell, seen) = mpsc::unbounded_channel();
    let serving = tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            let tell = tell.clone();
            tokio::spawn(async move {
                while let Ok(byte) = caller.read_u8().await {
                    // The test may have ended.
                    let _ = tell.send(byte);
                    drop(caller.write_u8(byte).await);
                }
            });
        }
    });
    Ok(Target {
        relay,
        seen,
        serving,
    })
}

impl Target {
    async fn call(&self) -> TcpStream {
        TcpStream::connect(self.relay.address())
            .await
            .expect("the relay takes connections")
    }
}

async fn answer(caller: &mut TcpStream, byte: u8) -> io::Result<u8> {
    caller.write_u8(byte).await?;
    caller.read_u8().await
}

async fn is_unanswered(caller: &mut TcpStream, byte: u8) -> bool {
    timeout(SILENCE, answer(caller, byte)).await.is_err()
}

/// The call arrives and its answer is lost: the caller can't tell it from a call that never arrived.
#[tokio::test]
async fn verify_dropped_answers_hide_a_call_that_arrived() {
    let mut target = open().await.expect("a target");
    let mut caller = target.call().await;
    assert_eq!(answer(&mut caller, 1).await.ok(), Some(1));
    assert_eq!(target.seen.recv().await, Some(1));
    target.relay.set_mode(RelayMode::DropAnswers);
    assert!(is_unanswered(&mut caller, 2).await);
    assert_eq!(target.seen.recv().await, Some(2));
    target.serving.abort();
}

/// The call is lost on its way: nothing arrives, and nothing comes back.
#[tokio::test]
async fn verify_dropped_calls_never_arrive() {
    let mut target = open().await.expect("a target");
    let mut caller = target.call().await;
    target.relay.set_mode(RelayMode::DropCalls);
    assert!(is_unanswered(&mut caller, 1).await);
    assert_eq!(target.seen.try_recv().ok(), None);
    target.serving.abort();
}

/// Open connections are closed under their callers, and new ones work.
#[tokio::test]
async fn verify_reset_closes_open_connections_only() {
    let target = open().await.expect("a target");
    let mut caller = target.call().await;
    assert_eq!(answer(&mut caller, 1).await.ok(), Some(1));
    target.relay.set_mode(RelayMode::ResetOpen);
    assert_eq!(answer(&mut caller, 2).await.ok(), None);
    let mut caller = target.call().await;
    assert_eq!(answer(&mut caller, 3).await.ok(), Some(3));
    target.serving.abort();
}

/// A slow path passes everything, only later.
#[tokio::test]
async fn verify_slow_path_passes_everything() {
    let target = open().await.expect("a target");
    let mut caller = target.call().await;
    target.relay.set_mode(RelayMode::Slow);
    caller.write_u8(1).await.expect("the call leaves");
    assert_eq!(caller.read_u8().await.ok(), Some(1));
    target.serving.abort();
}

/// A call that was sent into a cut arrives after it, although its caller has given up meanwhile.
#[tokio::test]
async fn verify_held_calls_arrive_after_their_caller_has_gone() {
    let mut target = open().await.expect("a target");
    let mut caller = target.call().await;
    assert_eq!(answer(&mut caller, 1).await.ok(), Some(1));
    assert_eq!(target.seen.recv().await, Some(1));
    target.relay.set_mode(RelayMode::Hold);
    assert!(is_unanswered(&mut caller, 2).await);
    assert_eq!(target.seen.try_recv().ok(), None);
    drop(caller);
    target.relay.set_mode(RelayMode::Pass);
    assert_eq!(target.seen.recv().await, Some(2));
    target.serving.abort();
}

/// A store that turns a host away answers its calls, and the target sees none of them.
#[tokio::test]
async fn verify_refused_calls_are_answered_and_never_arrive() {
    let mut target = open().await.expect("a target");
    target.relay.set_mode(RelayMode::Unavailable);
    let mut caller = target.call().await;
    caller.write_u8(1).await.expect("the call leaves");
    let mut status = [0; 12];
    caller.read_exact(&mut status).await.expect("an answer");
    assert_eq!(&status, b"HTTP/1.1 503");
    assert_eq!(target.seen.try_recv().ok(), None);
    target.serving.abort();
}
