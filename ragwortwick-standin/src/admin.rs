//! The fault and log pages that every stand-in has.

use std::panic::RefUnwindSafe;

use gotham::handler::{IntoResponse, SimpleHandlerResult};
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{Pipeline, SinglePipelineChain, single_middleware, single_pipeline};
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState};
use gotham::router::Router;
use gotham::router::builder::{RouterBuilder, build_router};
use gotham::state::{State, StateData};
use http::{Response, StatusCode};
use ragwortwick_http::{json_response, read_json};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body;
use crate::faults::{Entry, Faults, Gate};
use crate::start_log::StartLog;

/// Largest body a stand-in reads: a value of 1 MB with every character escaped, and some room.
const MAX_BODY_BYTES: usize = 8 << 20;

type RolePipeline<T> = (StateMiddleware<T>, ());

/// `RouteBuilder` is the builder of a stand-in's routes.
pub(crate) type RouteBuilder<'a, T> =
    RouterBuilder<'a, SinglePipelineChain<RolePipeline<T>>, (Pipeline<RolePipeline<T>>, ())>;

/// `Role` is the shared state of one stand-in.
pub(crate) trait Role: StateData + Clone + Sync + RefUnwindSafe {
    /// The gate that its calls pass.
    fn gate(&self) -> &Gate;

    /// What it started.
    fn log(&self) -> &StartLog;

    /// `on_faults` acts at the moment when faults are set.
    fn on_faults(&self, faults: &Faults);

    /// `set_faults` puts faults in force.
    fn set_faults(&self, faults: Faults) {
        self.gate().set(faults.clone());
        self.on_faults(&faults);
    }
}

/// `router` builds the router of a role with its own routes and the common pages.
pub(crate) fn router<T: Role>(role: T, draw: impl FnOnce(&mut RouteBuilder<'_, T>)) -> Router {
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(role)));
    build_router(chain, pipelines, |route| {
        route.post("/faults").to_async_borrowing(set_faults::<T>);
        route.get("/admin/log").to_async_borrowing(log::<T>);
        route.get("/admin/calls").to_async_borrowing(calls::<T>);
        draw(route);
    })
}

async fn set_faults<T: Role>(state: &mut State) -> SimpleHandlerResult {
    let role = T::borrow_from(state).clone();
    match read_json::<Faults>(state, MAX_BODY_BYTES).await {
        Ok(faults) => {
            role.set_faults(faults.clone());
            Ok(json_response(state, StatusCode::OK, &faults))
        }
        Err(refusal) => Ok(refusal.into_response(state)),
    }
}

async fn log<T: Role>(state: &mut State) -> SimpleHandlerResult {
    let entries = T::borrow_from(state).log().entries();
    Ok(json_response(state, StatusCode::OK, &entries))
}

async fn calls<T: Role>(state: &mut State) -> SimpleHandlerResult {
    let calls = T::borrow_from(state).gate().calls();
    Ok(json_response(state, StatusCode::OK, &calls))
}

/// `Answer` is the status and body of an answer.
pub(crate) struct Answer<R> {
    pub(crate) status: StatusCode,
    pub(crate) body: R,
}

impl<R> Answer<R> {
    /// `ok` answers 200.
    pub(crate) fn ok(body: R) -> Self {
        Self {
            status: StatusCode::OK,
            body,
        }
    }
}

/// `call` reads a body, passes the gate, runs the effect and lets the faults act on the answer.
pub(crate) async fn call<T, Q, R, F>(
    state: &mut State,
    name: &str,
    kind: &str,
    effect: impl FnOnce(T, Q) -> F,
) -> SimpleHandlerResult
where
    T: Role,
    Q: DeserializeOwned,
    R: Serialize,
    F: Future<Output = Answer<R>>,
{
    let role = T::borrow_from(state).clone();
    let gate = role.gate().clone();
    let question = match read_json::<Q>(state, MAX_BODY_BYTES).await {
        Ok(question) => question,
        Err(refusal) => return Ok(refusal.into_response(state)),
    };
    if let Some(refusal) = pass(state, &gate, name, kind).await {
        return Ok(refusal);
    }
    let answer = effect(role, question).await;
    let response = json_response(state, answer.status, &answer.body);
    Ok(gate.leave(name, kind, response).await)
}

/// `pass` passes the gate, or gives the answer that a fault puts in place of the effect.
pub(crate) async fn pass(
    state: &mut State,
    gate: &Gate,
    name: &str,
    kind: &str,
) -> Option<Response<Body>> {
    let entry = gate.enter(name, kind).await;
    let refusal = json_response(state, StatusCode::SERVICE_UNAVAILABLE, &"down by a fault");
    match entry {
        Entry::Open => None,
        Entry::Down => Some(refusal),
        Entry::Closing => Some(body::cut(refusal, false).await),
    }
}
