//! Peer messages as bounded bincode bodies of h2 streams.

use bincode::config::{Configuration, Limit};
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::PEER_PROTOCOL;

/// Largest peer message; a table is at most 1 MB in the store, and its binary form is smaller.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 << 20;

const CODEC: Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    Limit<MAX_MESSAGE_BYTES>,
> = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// `call_path` carries the protocol's version, so that a mismatch shows before a body is decoded.
pub(super) fn call_path() -> String {
    format!("/peer/{PEER_PROTOCOL}")
}

/// `encode` writes a message.
pub(super) fn encode<T: Serialize>(message: &T) -> Result<Bytes, String> {
    bincode::serde::encode_to_vec(message, CODEC)
        .map(Bytes::from)
        .map_err(|e| e.to_string())
}

/// `decode` reads a message that fills the whole body.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    let (message, used) =
        bincode::serde::decode_from_slice(body, CODEC).map_err(|e| e.to_string())?;
    if used == body.len() {
        Ok(message)
    } else {
        Err(format!("{} bytes too many", body.len() - used))
    }
}

/// `read_body` collects a body of at most `MAX_MESSAGE_BYTES`.
pub(super) async fn read_body(mut stream: RecvStream) -> Result<Bytes, String> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.map_err(|e| e.to_string())?;
        if body.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(format!("expected at most {MAX_MESSAGE_BYTES} bytes"));
        }
        body.extend_from_slice(&chunk);
        stream
            .flow_control()
            .release_capacity(chunk.len())
            .map_err(|e| e.to_string())?;
    }
    Ok(body.freeze())
}
