//! An advisor: it lets the workers with an even number run a step, and tells them the tickets.

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

use super::workers::PoolShared;
use crate::now;

/// How long an answer takes.
const ANSWER_MS: DurationMs = DurationMs(20);

/// How long a ticket holds.
pub(super) const TICKET_MS: u64 = 1_500;

/// Largest body.
const MAX_BODY_BYTES: usize = 1 << 20;

#[derive(Clone, Debug, StateData)]
struct Advisor {
    pool: PoolShared,
}

// gotham asks for this mark; a panic of a stand-in fails its test anyway.
impl RefUnwindSafe for Advisor {}

/// Starts an advisor for a pool of workers.
pub(super) async fn bind(pool: PoolShared) -> io::Result<Server> {
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
    tokio::time::sleep(ANSWER_MS.into()).await;
    let step = body["Step"].as_str().unwrap_or_default().to_owned();
    let asked = body["Workers"].as_array().cloned().unwrap_or_default();
    let until = now() + DurationMs(TICKET_MS);
    let allowed: Vec<Value> = advisor.pool.with(|pool| {
        let names = asked.iter().filter_map(Value::as_str);
        names
            .filter(|name| is_allowed(name))
            .map(|name| {
                let ticket = format!("{name}-{}", until.0);
                let key = (name.to_owned(), step.clone());
                pool.tickets.insert(key, (ticket.clone(), until));
                json!([name, ticket])
            })
            .collect()
    });
    let answer = json!({"Allowed": allowed, "ValidMs": TICKET_MS});
    Ok(json_response(state, StatusCode::OK, &answer))
}

/// Workers are called `w-` and their number.
fn is_allowed(name: &str) -> bool {
    name.strip_prefix("w-")
        .and_then(|number| number.parse::<u32>().ok())
        .is_some_and(|number| number.is_multiple_of(2))
}
