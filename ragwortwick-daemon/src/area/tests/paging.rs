//! Lists of the store that are read in pages.

use ragwortwick_adapter::StoreClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::super::replica_feed::read_prefix;
use super::super::store_health::StoreHealth;
use crate::Clock;

/// A store that replies to each call with the next of the bodies, on a connection of its own.
async fn serve_in_order(bodies: [&'static str; 2]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    tokio::spawn(async move {
        for body in bodies {
            let (mut stream, _) = listener.accept().await.expect("a call");
            let mut request = [0; 1_024];
            let read = stream.read(&mut request).await;
            assert!(read.is_ok_and(|length| length > 0), "a request");
            let length = body.len();
            let reply = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
            );
            let written = stream.write_all(reply.as_bytes()).await;
            written.expect("the client reads the reply");
        }
    });
    address
}

/// Guards against jobs that are forgotten because a list breaks off: what it leaves out counts as removed.
#[tokio::test]
async fn verify_a_list_that_breaks_off_is_not_taken_for_whole() {
    let address = serve_in_order([
        r#"{"items":[{"Key":"p/a","Value":"","Revision":3}],"Truncated":true,"AsOf":5}"#,
        r#"{"items":[],"Truncated":true,"AsOf":5}"#,
    ])
    .await;
    let store = StoreClient::open(&address);
    let health = StoreHealth::open(Clock::open());
    let list = read_prefix(&store, &health, "p/").await;
    assert!(list.is_err(), "{list:?}");
}
