//! Advisor that allows a step on workers with an even number and issues a ticket for each of them.

use std::io;
use std::panic::RefUnwindSafe;

use gotham::handler::{IntoResponse, SimpleHandlerResult};
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState};
use gotham::router::builder::build_router;
use gotham::state::{State, StateData};
use http::StatusCode;
use ragwortwick_core::DurationMs;
use ragwortwick_http::{Server, ServerOptions, json_response, read_json};
use serde_json::{Value, json};

use super::workers::SharedPool;
use crate::now;

/// Delay before a response is sent.
const RESPONSE_DELAY_MS: DurationMs = DurationMs(20);

/// Validity of a ticket.
pub(super) const TICKET_MS: u64 = 1_500;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1 << 20;

#[derive(Clone, Debug, StateData)]
struct Advisor {
    pool: SharedPool,
}

// gotham requires this marker trait; a panic in a test double fails its test anyway.
impl RefUnwindSafe for Advisor {}

/// Starts the advisor of a worker pool on a free loopback port.
pub(super) async fn bind(pool: SharedPool) -> io::Result<Server> {
    let advisor = Advisor { pool };
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(advisor)));
    let router = build_router(chain, pipelines, |route| {
        route.post("/advise").to_async_borrowing(advise);
    });
    Server::bind("127.0.0.1:0", router, ServerOptions::default()).await
}

async fn advise(state: &mut State) -> SimpleHandlerResult {
    let advisor = Advisor::borrow_from(state).clone();
    let body = match read_json::<Value>(state, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal.into_response(state)),
    };
    tokio::time::sleep(RESPONSE_DELAY_MS.into()).await;
    let step = body["Step"].as_str().unwrap_or_default().to_owned();
    let workers = body["Workers"].as_array().cloned().unwrap_or_default();
    let expires_at = now() + DurationMs(TICKET_MS);
    let allowed: Vec<Value> = advisor.pool.with(|pool| {
        let names = workers.iter().filter_map(Value::as_str);
        names
            .filter(|name| is_allowed(name))
            .map(|name| {
                let ticket = format!("{name}-{}", expires_at.0);
                let key = (name.to_owned(), step.clone());
                pool.tickets.insert(key, (ticket.clone(), expires_at));
                json!([name, ticket])
            })
            .collect()
    });
    let response = json!({"Allowed": allowed, "ValidMs": TICKET_MS});
    Ok(json_response(state, StatusCode::OK, &response))
}

/// Returns whether the number in a worker name of the form `w-N` is even.
fn is_allowed(name: &str) -> bool {
    name.strip_prefix("w-")
        .and_then(|number| number.parse::<u32>().ok())
        .is_some_and(|number| number.is_multiple_of(2))
}
