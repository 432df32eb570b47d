//! HTTP for every process: a bounded server around gotham and a JSON client around hyper-util.

mod client;
mod json;
mod response_body;
mod server;
mod write_timeout;

pub use client::{Fetched, HttpClient, HttpClientOptions, HttpError, HttpReply};
pub use json::{Refusal, json_response, read_bytes, read_json};
pub use response_body::AnswerLimits;
pub use server::{Server, ServerOptions};
