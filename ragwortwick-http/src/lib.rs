//! HTTP for all binaries: a server with limits, built on gotham, and a JSON client, built on hyper-util.

mod client;
mod connections;
mod json;
mod memory_budget;
mod request_body;
mod response_body;
mod server;
mod write_timeout;

pub use client::{ConditionalResponse, HttpClient, HttpClientOptions, HttpError, HttpResponse};
pub use connections::ServerCounts;
pub use json::{RequestError, json_response, read_json};
pub use memory_budget::{MemoryBudget, MemoryReservation};
pub use request_body::{RequestBody, read_body};
pub use response_body::ResponseTimeouts;
pub use server::{Server, ServerOptions};
