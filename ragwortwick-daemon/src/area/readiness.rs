//! The load balancer's readiness probe: whether this host accepts new connections.

use std::sync::Arc;

use gotham::handler::SimpleHandlerResult;
use gotham::helpers::http::response::create_response;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState, StateData};
use gotham::router::Router;
use gotham::router::builder::build_router;
use gotham::state::State;
use http::StatusCode;
use ragwortwick_area::DesiredState;
use tokio::sync::watch;

use super::desired_state_age::DesiredStateAge;
use super::replica::JobReplica;
use super::store_health::StoreHealth;
use crate::Clock;

/// `Readiness` is the state that the probe's response depends on; clones share it.
#[derive(Clone, Debug, StateData)]
pub(super) struct Readiness {
    pub(super) clock: Clock,
    pub(super) desired: watch::Receiver<Option<Arc<DesiredState>>>,
    pub(super) age: DesiredStateAge,
    pub(super) replica: JobReplica,
    pub(super) health: StoreHealth,
    pub(super) stopping: watch::Receiver<bool>,
}

impl Readiness {
    /// The reason why the host is not ready. Without the store it can't accept jobs, so clients are
    /// better served by another host.
    fn not_ready_reason(&self) -> Option<&'static str> {
        if *self.stopping.borrow() {
            Some("stopping")
        } else if self.desired.borrow().is_none() {
            Some("no desired state")
        } else if !self.age.is_fresh(self.clock.now()) {
            Some("desired state may be old")
        } else if !self.replica.is_loaded() {
            Some("jobs not read")
        } else if self.health.is_unavailable() || !self.health.has_replied_recently() {
            Some("store out of reach")
        } else {
            None
        }
    }
}

pub(super) fn router(readiness: Readiness) -> Router {
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(readiness)));
    build_router(chain, pipelines, |route| {
        route.get("/*").to_async_borrowing(ready);
    })
}

async fn ready(state: &mut State) -> SimpleHandlerResult {
    let (status, text) = match Readiness::borrow_from(state).not_ready_reason() {
        None => (StatusCode::OK, "ready\n"),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
    };
    Ok(create_response(state, status, mime::TEXT_PLAIN, text))
}
