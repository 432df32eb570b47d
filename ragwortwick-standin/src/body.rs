//! Bodies that end before their announced length.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, header};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;

/// `CutBody` gives some bytes and then fails, which closes the connection.
struct CutBody {
    kept: Option<Bytes>,
}

impl hyper::body::Body for CutBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, io::Error>>> {
        Poll::Ready(Some(match self.kept.take() {
            Some(kept) => Ok(hyper::body::Frame::data(kept)),
            None => Err(io::Error::other("cut by a fault")),
        }))
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
    Response::from_parts(head, UnsyncBoxBody::new(CutBody { kept }))
}
