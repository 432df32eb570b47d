//! Bodies that end before their announced length.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, header};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use tokio::time::{Sleep, sleep};

/// `CutBody` gives some bytes and then fails, which closes the connection.
struct CutBody {
    kept: Option<Bytes>,
    pause: Pin<Box<Sleep>>,
}

/// Time for the kept half to leave; a body that failed at once would take it along unsent.
const LEAVE_TIME: Duration = Duration::from_millis(20);

impl hyper::body::Body for CutBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, io::Error>>> {
        if let Some(kept) = self.kept.take() {
            return Poll::Ready(Some(Ok(hyper::body::Frame::data(kept))));
        }
        let left = self.pause.as_mut().poll(cx);
        left.map(|()| Some(Err(io::Error::other("cut by a fault"))))
    }
}

/// `cut` lets at most half of the answer's body through and then closes the connection.
///
/// With `keep_half` unset no byte of the body is sent.
pub(crate) async fn cut(response: Response<Body>, keep_half: bool) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    let whole = body
        .collect()
        .await
        .map_or_else(|_| Bytes::new(), http_body_util::Collected::to_bytes);
    head.headers.insert(
        header::CONTENT_LENGTH,
        HeaderValue::from(whole.len().max(1)),
    );
    let kept = keep_half.then(|| whole.slice(..whole.len() / 2));
    let pause = Box::pin(sleep(LEAVE_TIME));
    Response::from_parts(head, UnsyncBoxBody::new(CutBody { kept, pause }))
}
