//! The balancer's check and the metrics page.

use gotham::handler::SimpleHandlerResult;
use gotham::helpers::http::response::create_response;
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState};
use gotham::state::State;
use http::StatusCode;

use super::RouteBuilder;
use crate::{App, Lifecycle};

pub(super) fn routes(route: &mut RouteBuilder<'_>) {
    route.get("/healthz").to_async_borrowing(healthz);
    route.get("/metrics").to_async_borrowing(metrics);
}

async fn healthz(state: &mut State) -> SimpleHandlerResult {
    let lifecycle = *App::borrow_from(state).watches.lifecycle.borrow();
    // The balancer takes this host out before the listener closes, so no caller meets a closed port.
    let (status, text) = match lifecycle {
        Lifecycle::Running => (StatusCode::OK, "ok\n"),
        Lifecycle::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
    };
    Ok(create_response(state, status, mime::TEXT_PLAIN, text))
}

async fn metrics(state: &mut State) -> SimpleHandlerResult {
    let text = App::borrow_from(state).metrics.render()?;
    Ok(create_response(
        state,
        StatusCode::OK,
        mime::TEXT_PLAIN,
        text,
    ))
}
