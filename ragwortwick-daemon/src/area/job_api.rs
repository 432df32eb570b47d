//! Callers' side: jobs handed in, asked for and cancelled.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use gotham::handler::SimpleHandlerResult;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState, IntoResponse, StateData};
use gotham::router::Router;
use gotham::router::builder::build_router;
use gotham::state::State;
use http::header::AsHeaderName;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri, header};
use ragwortwick_adapter::{
    DEADLINE_HEADER, decode_job, encode_job_phase, encode_pending_count, parse_api_key,
};
use ragwortwick_area::{DesiredState, JobRecord, Queue};
use ragwortwick_core::{ClassName, CustomerName, DurationMs, JobId, TimeMs, log_event};
use ragwortwick_http::{RequestError, json_response, read_bytes};
use tokio::sync::watch;

use super::desired_state_age::DesiredStateAge;
use super::job_writer::{JobWriter, WriteOutcome};
use super::log_rate_limiter::LogRateLimiter;
use super::metrics::AreaMetrics;
use crate::{Clock, unix_now};

/// Time a caller waits if it doesn't say.
const DEFAULT_DEADLINE_MS: DurationMs = DurationMs(3_000);

/// Time kept for the way back to the caller.
const ANSWER_MARGIN_MS: DurationMs = DurationMs(250);

/// Largest body if the desired state names no bound.
const DEFAULT_BODY_BYTES: usize = 256 << 10;

/// Whole seconds after which a refused caller may come back: outages of the store last seconds.
const RETRY_AFTER_S: u64 = 1;

/// Why a host refuses for now what only the newest desired state can tell.
const UNCONFIRMED: &str = "the desired state on this host may be old";

/// Digits of a job's id.
const JOB_ID_DIGITS: usize = 16;

/// `JobApi` is what the callers' side needs; clones share everything.
#[derive(Clone, Debug)]
pub(super) struct JobApi {
    pub(super) clock: Clock,
    pub(super) desired: watch::Receiver<Option<Arc<DesiredState>>>,
    pub(super) age: DesiredStateAge,
    pub(super) writer: JobWriter,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) metrics: AreaMetrics,
    /// Bounds the lines on calls that are refused before they name a job.
    pub(super) refusal_log_limiter: LogRateLimiter,
}

/// The handler's view of `JobApi`. A panic ends the process, so no half-changed state is ever seen.
#[derive(Clone, Debug, StateData)]
struct SharedJobApi(Arc<AssertUnwindSafe<JobApi>>);

/// Routes every path to one handler: which queue a call is for stands in the desired state.
pub(super) fn router(front: JobApi) -> Router {
    let shared = SharedJobApi(Arc::new(AssertUnwindSafe(front)));
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(shared)));
    build_router(chain, pipelines, |route| {
        let methods = vec![Method::GET, Method::POST, Method::DELETE];
        route
            .request(methods.clone(), "/")
            .to_async_borrowing(handle);
        route.request(methods, "/*").to_async_borrowing(handle);
    })
}

async fn handle(state: &mut State) -> SimpleHandlerResult {
    let front = Arc::clone(&SharedJobApi::borrow_from(state).0);
    let mut response = answer(&front, state).await;
    if *front.stopping.borrow() || front.writer.health.is_unavailable() {
        // A caller that keeps its connection would send its next request into the closing of it, or ask
        // a host that learns nothing new, while others could tell it of its job's end.
        let value = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, value);
    }
    Ok(response)
}

/// `Call` is a call whose queue and customer are known.
struct Call {
    queue_name: ClassName,
    queue: Queue,
    customer: CustomerName,
    /// What follows the queue's prefix in the path.
    rest: String,
    until: TimeMs,
    max_body_bytes: usize,
}

async fn answer(front: &JobApi, state: &mut State) -> Response<Body> {
    let method = Method::borrow_from(state).clone();
    let call = match identify(front, state) {
        Ok(call) => call,
        Err(refusal) => return refuse(front, state, refusal),
    };
    if call.rest.is_empty() && method == Method::GET {
        let pending = front.writer.replica.count_pending(&call.queue_name);
        return json_bytes(state, encode_pending_count(pending));
    }
    let Some(job_id) = parse_job_id(&call.rest) else {
        let expected = format!("expected {JOB_ID_DIGITS} hexadecimal digits");
        return RequestError::new(StatusCode::BAD_REQUEST, "job_id", expected).into_response(state);
    };
    match method {
        Method::POST => submit(front, state, call, job_id).await,
        Method::DELETE => cancel(front, state, &call, &job_id).await,
        _ => show(front, state, &job_id).await,
    }
}

/// Refuses a call whose queue or customer is unknown here.
fn refuse(front: &JobApi, state: &State, refusal: RequestError) -> Response<Body> {
    let now = front.clock.now();
    if front.refusal_log_limiter.admit(now) {
        let desired = front.desired.borrow().clone();
        log_event!(
            Info,
            "call_refused",
            status = refusal.status.as_u16(),
            path = Uri::borrow_from(state).path(),
            desired_version = desired.map_or(0, |desired| desired.version),
            desired_age_ms = front.age.age_ms(now)
        );
    }
    // A version that this host hasn't seen may have added what is unknown here. Refused for good,
    // the caller would not ask another host.
    if front.age.is_fresh(now) {
        refusal.into_response(state)
    } else {
        come_back(state, UNCONFIRMED)
    }
}

fn identify(front: &JobApi, state: &State) -> Result<Call, RequestError> {
    let arrived_at = front.clock.now();
    let headers = HeaderMap::borrow_from(state);
    let uri = Uri::borrow_from(state);
    let Some(desired) = front.desired.borrow().clone() else {
        return Err(RequestError::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "desired_state",
            "this host has not read the desired state yet",
        ));
    };
    let host = text_of(headers, header::HOST).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let Some((queue_name, queue)) = desired.route(host, uri.path()) else {
        return Err(RequestError::new(
            StatusCode::NOT_FOUND,
            "path",
            "no queue has this host and prefix",
        ));
    };
    let key = text_of(headers, header::AUTHORIZATION).and_then(parse_api_key);
    let customer = key.and_then(|key| desired.customer_of_key(key));
    let customer = match customer {
        Some(customer) => customer.clone(),
        None if queue.is_public => CustomerName::new(""),
        None => {
            return Err(RequestError::new(
                StatusCode::UNAUTHORIZED,
                "authorization",
                "no customer holds this key",
            ));
        }
    };
    let deadline_ms = text_of(headers, DEADLINE_HEADER)
        .and_then(|text| text.trim().parse().ok())
        .map_or(DEFAULT_DEADLINE_MS, DurationMs);
    Ok(Call {
        queue_name: queue_name.clone(),
        queue: queue.clone(),
        customer,
        rest: uri.path()[queue.path_prefix.len()..].to_owned(),
        until: arrived_at + deadline_ms - ANSWER_MARGIN_MS,
        max_body_bytes: desired.max_body_bytes.unwrap_or(DEFAULT_BODY_BYTES),
    })
}

fn text_of(headers: &HeaderMap, name: impl AsHeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

fn parse_job_id(text: &str) -> Option<JobId> {
    let is_id = text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id.then(|| JobId::new(text))
}

async fn submit(front: &JobApi, state: &mut State, call: Call, job_id: JobId) -> Response<Body> {
    let bytes = match read_bytes(state, call.max_body_bytes).await {
        Ok(bytes) => bytes,
        Err(refusal) => return refusal.into_response(state),
    };
    let body = match decode_job(&bytes) {
        Ok(body) => body,
        Err(error) => {
            let text = error.to_string();
            log_event!(
                Info,
                "job_rejected",
                job_id = job_id,
                customer = call.customer,
                cause = text
            );
            return RequestError::new(StatusCode::BAD_REQUEST, "body", text).into_response(state);
        }
    };
    let record = JobRecord {
        job_id: job_id.clone(),
        queue: call.queue_name.clone(),
        policy: call.queue.policy.clone(),
        customer: call.customer.clone(),
        payload: body.payload,
        steps: body.steps,
        schedule: body.schedule,
        accepted_unix_ms: unix_now(),
    };
    if let Err(error) = record.validate() {
        let text = error.to_string();
        log_event!(
            Info,
            "job_rejected",
            job_id = job_id,
            customer = call.customer,
            cause = text
        );
        return RequestError::new(StatusCode::BAD_REQUEST, error.field(), text)
            .into_response(state);
    }
    let begun_at = front.clock.now();
    let steps = record.steps_summary();
    // A version that this host hasn't seen may have dropped the queue or the key.
    let outcome = if front.age.is_fresh(begun_at) {
        front.writer.accept(record, call.until).await
    } else {
        WriteOutcome::NotStored(UNCONFIRMED.to_owned())
    };
    let customer = call.customer.as_str();
    let counted = front
        .metrics
        .submissions
        .with_label_values(&[customer, outcome.name()]);
    counted.inc();
    let taken = std::time::Duration::from(front.clock.now().since(begun_at));
    let timed = front.metrics.accept_seconds.with_label_values(&[customer]);
    timed.observe(taken.as_secs_f64());
    log_event!(
        Info,
        "job_handed_in",
        job_id = job_id,
        queue = call.queue_name,
        customer = call.customer,
        outcome = format!("{outcome:?}"),
        steps = steps
    );
    respond(state, &outcome)
}

async fn cancel(front: &JobApi, state: &mut State, call: &Call, job_id: &JobId) -> Response<Body> {
    let outcome = front.writer.cancel(job_id, call.until).await;
    log_event!(
        Info,
        "job_cancel",
        job_id = job_id,
        customer = call.customer,
        outcome = format!("{outcome:?}")
    );
    respond(state, &outcome)
}

async fn show(front: &JobApi, state: &mut State, job_id: &JobId) -> Response<Body> {
    match front.writer.find(job_id).await {
        Ok(Some(view)) => json_bytes(state, encode_job_phase(view.reported_phase())),
        Ok(None) => respond(state, &WriteOutcome::NoSuchJob),
        Err(error) => respond(state, &WriteOutcome::NotStored(error.to_string())),
    }
}

fn respond(state: &State, outcome: &WriteOutcome) -> Response<Body> {
    match outcome {
        WriteOutcome::Stored => json_response(state, StatusCode::OK, &serde_json::json!({})),
        WriteOutcome::NoSuchJob => {
            RequestError::new(StatusCode::GONE, "job_id", "no such job").into_response(state)
        }
        WriteOutcome::NotStored(cause) => come_back(state, cause),
        WriteOutcome::Unknown(cause) => {
            RequestError::new(StatusCode::GATEWAY_TIMEOUT, "store", cause.as_str())
                .into_response(state)
        }
    }
}

/// Refuses a call that has not been carried out, and says when to try again.
fn come_back(state: &State, cause: &str) -> Response<Body> {
    let refusal = RequestError::new(StatusCode::SERVICE_UNAVAILABLE, "store", cause);
    let mut response = refusal.into_response(state);
    let value = HeaderValue::from(RETRY_AFTER_S);
    response.headers_mut().insert(header::RETRY_AFTER, value);
    response
}

fn json_bytes(state: &State, bytes: Vec<u8>) -> Response<Body> {
    create_response(state, StatusCode::OK, mime::APPLICATION_JSON, bytes)
}
