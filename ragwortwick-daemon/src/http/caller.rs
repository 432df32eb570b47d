//! Paths for callers' short requests.

use gotham::handler::SimpleHandlerResult;
use gotham::helpers::http::Body;
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState, IntoResponse};
use gotham::state::State;
use http::{HeaderValue, Response, StatusCode, Uri, header};
use ragwortwick_border::{RefusalVerdict, RequestOutcome, RequestRefusal, RequestSubmit};
use ragwortwick_core::DurationMs;
use ragwortwick_http::{RequestError, json_response, read_json};

use super::RouteBuilder;
use crate::requests::IdsRefused;
use crate::{App, Lifecycle};

/// Time to come back to another entry host, through the balancer.
const STOPPING_RETRY_MS: DurationMs = DurationMs(100);

pub(super) fn routes(route: &mut RouteBuilder<'_>) {
    route.post("/v1/requests").to_async_borrowing(submit);
    route.post("/v1/request-ids").to_async_borrowing(issue_ids);
}

async fn submit(state: &mut State) -> SimpleHandlerResult {
    let app = App::borrow_from(state).clone();
    let request = match read_json::<RequestSubmit>(state, app.settings.max_body_bytes).await {
        Ok(request) => request,
        Err(refusal) => return Ok(refusal.into_response(state)),
    };
    if let Err(problem) = app.requests.check(&request) {
        let status = StatusCode::BAD_REQUEST;
        let error = RequestError::new(status, problem.field, problem.problem);
        return Ok(error.into_response(state));
    }
    let response = match app.requests.submit(request, false).await {
        RequestOutcome::Answered(answer) => json_response(state, StatusCode::OK, &answer),
        RequestOutcome::Refused(refusal) => refused(state, &refusal),
    };
    Ok(parting(&app, response))
}

async fn issue_ids(state: &mut State) -> SimpleHandlerResult {
    let app = App::borrow_from(state).clone();
    let count = match read_count(Uri::borrow_from(state)) {
        Some(count) => app.requests.issue_ids(count),
        None => Err(IdsRefused::Count),
    };
    let response = match count {
        Ok(ids) => json_response(state, StatusCode::OK, &ids),
        Err(error @ IdsRefused::Count) => {
            RequestError::new(StatusCode::BAD_REQUEST, "count", error.to_string())
                .into_response(state)
        }
        Err(error @ IdsRefused::Stopping) => {
            let refusal = RequestRefusal {
                request_id: None,
                verdict: RefusalVerdict::NotRun,
                reason: error.to_string(),
                retry_after_ms: Some(STOPPING_RETRY_MS),
            };
            refused(state, &refusal)
        }
    };
    Ok(parting(&app, response))
}

/// One id if the query names no count; `None` for anything that is no number.
fn read_count(uri: &Uri) -> Option<u32> {
    let query = uri.query().unwrap_or_default();
    let mut values = query
        .split('&')
        .filter_map(|pair| pair.strip_prefix("count="));
    values.next().map_or(Some(1), |value| value.parse().ok())
}

fn refused(state: &State, refusal: &RequestRefusal) -> Response<Body> {
    let status = match refusal.verdict {
        RefusalVerdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        RefusalVerdict::MayHaveRun => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut response = json_response(state, status, refusal);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        // The header counts whole seconds; rounding up keeps callers from coming back too early.
        let value = HeaderValue::from(retry_after_ms.0.div_ceil(1_000));
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// A caller that keeps its connection would send its next request into the closing of it and see
/// no answer, so a stopping host asks each one to connect anew, through the balancer.
fn parting(app: &App, mut response: Response<Body>) -> Response<Body> {
    if *app.watches.lifecycle.borrow() == Lifecycle::Stopping {
        let value = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, value);
    }
    response
}
