//! HTTP for every process: a bounded server around gotham and a JSON client around hyper-util.

mod answer;
mod client;
mod reply;
mod server;
mod stall;

pub use answer::AnswerLimits;
pub use client::{Fetched, HttpClient, HttpClientOptions, HttpError, HttpReply};
pub use reply::{Refusal, json_response, read_bytes, read_json};
pub use server::{Server, ServerOptions};
