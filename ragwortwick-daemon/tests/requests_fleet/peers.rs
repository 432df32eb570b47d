//! Proves that entry hosts check each other's version of the protocol and survive odd peers.

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use tokio::net::TcpStream;

use crate::fleet::{is_answer, issue_id, one_zone, order, submit};

async fn session(address: &str) -> SendRequest<Bytes> {
    let socket = TcpStream::connect(address).await.expect("it listens");
    let (sender, connection) = h2::client::handshake(socket).await.expect("a session");
    tokio::spawn(connection);
    sender.ready().await.expect("ready")
}

async fn call(sender: &mut SendRequest<Bytes>, path: &str, body: &'static [u8]) -> StatusCode {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://peer{path}"))
        .body(())
        .expect("a request");
    let (response, mut stream) = sender.send_request(request, false).expect("sent");
    stream
        .send_data(Bytes::from_static(body), true)
        .expect("sent");
    response.await.expect("an answer").status()
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_peer_of_another_version_is_told_so() {
    // The operator of a mixed fleet sees hosts that refuse each other instead of misread calls: a
    // call of another version is answered by its path alone, and one that can't be read is refused.
    // The host goes on serving its own callers and its peers.
    let fleet = one_zone(2, 2).await;
    let entry = fleet.daemons[0].entry();
    let address = entry.peer_address.expect("a peer address");
    let mut sender = session(&address).await;
    let other = call(&mut sender, "/peer/999", b"anything").await;
    assert_eq!(other, StatusCode::HTTP_VERSION_NOT_SUPPORTED);
    let unreadable = call(&mut sender, "/peer/1", b"\xff\xff\xff\xff").await;
    assert_eq!(unreadable, StatusCode::OK);
    let id = issue_id(&fleet, 0).await.to_string();
    let outcome = submit(&fleet, 1, &order(&id, 0, 5_000)).await;
    assert!(is_answer(&outcome, &id), "{outcome:?}");
    fleet.close().await;
}
