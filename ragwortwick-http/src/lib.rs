//! HTTP for all binaries: a server with limits, built on gotham, and a JSON client, built on hyper-util.

mod client;
mod json;
mod response_body;
mod server;
mod write_timeout;

pub use client::{ConditionalResponse, HttpClient, HttpClientOptions, HttpError, HttpResponse};
pub use json::{RequestError, json_response, read_bytes, read_json};
pub use response_body::ResponseTimeouts;
pub use server::{Server, ServerOptions};
