//! Paths for callers' short requests.

use gotham::handler::SimpleHandlerResult;
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState, IntoResponse};
use gotham::state::State;
use http::{HeaderValue, StatusCode, header};
use ragwortwick_border::{RefusalVerdict, RequestOutcome, RequestSubmit};
use ragwortwick_http::{json_response, read_json};

use super::RouteBuilder;
use crate::App;

pub(super) fn routes(route: &mut RouteBuilder<'_>) {
    route.post("/v1/requests").to_async_borrowing(submit);
}

async fn submit(state: &mut State) -> SimpleHandlerResult {
    let app = App::borrow_from(state).clone();
    let request = match read_json::<RequestSubmit>(state, app.settings.max_body_bytes).await {
        Ok(request) => request,
        Err(refusal) => return Ok(refusal.into_response(state)),
    };
    let refusal = match app.requests.submit(request, false).await {
        RequestOutcome::Answered(answer) => {
            return Ok(json_response(state, StatusCode::OK, &answer));
        }
        RequestOutcome::Refused(refusal) => refusal,
    };
    let status = match refusal.verdict {
        RefusalVerdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        RefusalVerdict::MayHaveRun => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut response = json_response(state, status, &refusal);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        // The header counts whole seconds; rounding up keeps callers from coming back too early.
        let value = HeaderValue::from(retry_after_ms.0.div_ceil(1_000));
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    Ok(response)
}
