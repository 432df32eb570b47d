//! Paths for gang jobs.

use gotham::handler::SimpleHandlerResult;
use gotham::helpers::http::Body;
use gotham::prelude::{
    DefineSingleRoute, DrawRoutes, FromState, IntoResponse, StateData, StaticResponseExtender,
};
use gotham::state::State;
use http::{HeaderValue, Response, StatusCode, header};
use ragwortwick_border::{JobSubmit, RefusalVerdict, RequestRefusal};
use ragwortwick_core::{DurationMs, JobId};
use ragwortwick_http::{RequestError, json_response, read_json};
use serde::{Deserialize, Serialize};

use super::RouteBuilder;
use crate::{App, JobError};

/// Jobs in a page if the caller asks for no number.
const DEFAULT_PAGE: u32 = 100;

#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
struct JobPath {
    id: String,
}

#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
struct JobsQuery {
    after: Option<String>,
    limit: Option<String>,
}

pub(super) fn routes(route: &mut RouteBuilder<'_>) {
    route.post("/v1/jobs").to_async_borrowing(accept);
    route
        .get("/v1/jobs")
        .with_query_string_extractor::<JobsQuery>()
        .to_async_borrowing(list);
    route
        .get("/v1/jobs/:id")
        .with_path_extractor::<JobPath>()
        .to_async_borrowing(status);
    route
        .delete("/v1/jobs/:id")
        .with_path_extractor::<JobPath>()
        .to_async_borrowing(cancel);
}

async fn accept(state: &mut State) -> SimpleHandlerResult {
    let app = App::borrow_from(state).clone();
    let job = match read_json::<JobSubmit>(state, app.settings.max_body_bytes).await {
        Ok(job) => job,
        Err(refusal) => return Ok(refusal.into_response(state)),
    };
    let answer = app.jobs.accept(job).await;
    Ok(respond(state, StatusCode::ACCEPTED, answer))
}

async fn list(state: &mut State) -> SimpleHandlerResult {
    let app = App::borrow_from(state).clone();
    let query = JobsQuery::take_from(state);
    let after = query.after.map(JobId::new);
    let Ok(limit) = query.limit.as_deref().map(str::parse).transpose() else {
        let expected = "expected a whole number of jobs, at least 1";
        let refusal = RequestError::new(StatusCode::BAD_REQUEST, "limit", expected);
        return Ok(refusal.into_response(state));
    };
    let limit = limit.unwrap_or(DEFAULT_PAGE);
    let answer = app.jobs.list(after.as_ref(), limit).await;
    Ok(respond(state, StatusCode::OK, answer))
}

async fn status(state: &mut State) -> SimpleHandlerResult {
    let app = App::borrow_from(state).clone();
    let path = JobPath::take_from(state);
    let answer = app.jobs.status(&JobId::new(path.id)).await;
    Ok(respond(state, StatusCode::OK, answer))
}

async fn cancel(state: &mut State) -> SimpleHandlerResult {
    let app = App::borrow_from(state).clone();
    let path = JobPath::take_from(state);
    let answer = app.jobs.cancel(&JobId::new(path.id)).await;
    Ok(respond(state, StatusCode::OK, answer))
}

fn respond<T: Serialize>(
    state: &State,
    status: StatusCode,
    answer: Result<T, JobError>,
) -> Response<Body> {
    let error = match answer {
        Ok(answer) => return json_response(state, status, &answer),
        Err(error) => error,
    };
    let reason = error.to_string();
    match error {
        JobError::Invalid(problem) => json_response(state, StatusCode::BAD_REQUEST, &problem),
        JobError::Unknown => {
            RequestError::new(StatusCode::NOT_FOUND, "job_id", reason).into_response(state)
        }
        JobError::NotRun { retry_after_ms, .. } => {
            let refusal = refuse(RefusalVerdict::NotRun, reason, Some(retry_after_ms));
            let mut response = json_response(state, StatusCode::SERVICE_UNAVAILABLE, &refusal);
            // The header counts whole seconds; rounding up keeps callers from coming too early.
            let value = HeaderValue::from(retry_after_ms.0.div_ceil(1_000));
            response.headers_mut().insert(header::RETRY_AFTER, value);
            response
        }
        JobError::MayBeAccepted => {
            let refusal = refuse(RefusalVerdict::MayHaveRun, reason, None);
            json_response(state, StatusCode::GATEWAY_TIMEOUT, &refusal)
        }
    }
}

fn refuse(
    verdict: RefusalVerdict,
    reason: String,
    retry_after_ms: Option<DurationMs>,
) -> RequestRefusal {
    RequestRefusal {
        request_id: None,
        verdict,
        reason,
        retry_after_ms,
    }
}
