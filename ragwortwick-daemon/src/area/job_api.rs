//! HTTP API for clients: submits, shows and cancels jobs.

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
use ragwortwick_area::{Admission, DesiredState, JobRecord, Queue};
use ragwortwick_core::{ClassName, CustomerName, DurationMs, JobId, TimeMs, log_event};
use ragwortwick_http::{RequestBody, RequestError, json_response, read_body};
use tokio::sync::watch;

use super::desired_state_age::DesiredStateAge;
use super::fair_shares::StoreCallSlots;
use super::host_budget::HostLimit;
use super::job_memory::JobMemoryLimit;
use super::job_writer::{JobWriter, WriteOutcome};
use super::load_feed::SharedLoadPicture;
use super::log_rate_limiter::LogRateLimiter;
use super::metrics::AreaMetrics;
use crate::{Clock, unix_now};

/// Deadline of a request without a deadline header.
const DEFAULT_DEADLINE_MS: DurationMs = DurationMs(3_000);

/// Longest deadline of a request, whatever its header says.
const MAX_DEADLINE_MS: DurationMs = DurationMs(15_000);

/// Memory of a job that is being stored, as a multiple of its stored form: the value and the call that carries it.
const STORED_FORMS: usize = 5;

/// Steps of a job that a log line shows.
const LOGGED_STEPS: usize = 8;

/// Part of the deadline that is reserved for sending the response to the client.
const RESPONSE_MARGIN_MS: DurationMs = DurationMs(250);

/// Largest body if the desired state sets no limit.
const DEFAULT_BODY_BYTES: usize = 256 << 10;

/// Cause of a temporary refusal while the host can't confirm that its desired state is the newest.
const MAYBE_STALE: &str = "the desired state on this host may be old";

const JOB_ID_DIGITS: usize = 16;

/// `JobApi` is the state of the job API's handlers; clones share it.
#[derive(Clone, Debug)]
pub(super) struct JobApi {
    pub(super) clock: Clock,
    pub(super) desired: watch::Receiver<Option<Arc<DesiredState>>>,
    pub(super) age: DesiredStateAge,
    pub(super) writer: JobWriter,
    /// Queues that are short of capacity; none are if hopeless jobs are not refused.
    pub(super) load: Option<SharedLoadPicture>,
    /// Bounds the requests that use the store.
    pub(super) store_calls: StoreCallSlots,
    /// Bounds the memory of accepted jobs.
    pub(super) job_memory: JobMemoryLimit,
    /// Largest stored form of a job.
    pub(super) max_record_bytes: usize,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) metrics: AreaMetrics,
    /// Limits the log lines for requests that are refused before their job id is parsed.
    pub(super) refusal_log_limiter: LogRateLimiter,
    /// Limits the log lines for requests that are refused because a limit of this host is reached.
    pub(super) limit_log_limiter: LogRateLimiter,
}

/// `JobApi` as gotham state. A panic ends the process, so no handler sees half-changed state.
#[derive(Clone, Debug, StateData)]
struct SharedJobApi(Arc<AssertUnwindSafe<JobApi>>);

/// Routes every path to one handler, because the desired state defines the paths of the queues.
pub(super) fn router(api: JobApi) -> Router {
    let shared = SharedJobApi(Arc::new(AssertUnwindSafe(api)));
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
    let api = Arc::clone(&SharedJobApi::borrow_from(state).0);
    let mut response = dispatch(&api, state).await;
    if *api.stopping.borrow() || api.writer.health.is_unavailable() {
        // A client that kept its connection would send its next request while the connection closes, or
        // poll a host that receives no updates, while other hosts could report its job's end.
        let value = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, value);
    }
    Ok(response)
}

/// `ResolvedRequest` is a request whose queue and customer are known.
struct ResolvedRequest {
    queue_name: ClassName,
    queue: Queue,
    customer: CustomerName,
    /// The path after the queue's prefix.
    path_suffix: String,
    deadline: TimeMs,
    max_body_bytes: usize,
}

async fn dispatch(api: &JobApi, state: &mut State) -> Response<Body> {
    let method = Method::borrow_from(state).clone();
    let request = match resolve(api, state) {
        Ok(request) => request,
        Err(refusal) => return refuse(api, state, refusal),
    };
    if request.path_suffix.is_empty() && method == Method::GET {
        let pending = api.writer.replica.count_pending(&request.queue_name);
        return json_bytes(state, encode_pending_count(pending));
    }
    let Some(job_id) = parse_job_id(&request.path_suffix) else {
        let expected = format!("expected {JOB_ID_DIGITS} hexadecimal digits");
        return RequestError::new(StatusCode::BAD_REQUEST, "job_id", expected).into_response(state);
    };
    match method {
        Method::POST => submit(api, state, request, job_id).await,
        Method::DELETE => cancel(api, state, &request, &job_id).await,
        _ => show(api, state, &request, &job_id).await,
    }
}

/// Refuses a request whose queue or customer is unknown on this host.
fn refuse(api: &JobApi, state: &State, refusal: RequestError) -> Response<Body> {
    let now = api.clock.now();
    if api.refusal_log_limiter.admit(now) {
        let desired = api.desired.borrow().clone();
        log_event!(
            Info,
            "call_refused",
            status = refusal.status.as_u16(),
            path = Uri::borrow_from(state).path(),
            desired_version = desired.map_or(0, |desired| desired.version),
            desired_age_ms = api.age.age_ms(now)
        );
    }
    // A newer version may have added the queue or the key. After a permanent refusal the client would not
    // ask another host.
    if api.age.is_fresh(now) {
        refusal.into_response(state)
    } else {
        retry_later(api, state, MAYBE_STALE)
    }
}

fn resolve(api: &JobApi, state: &State) -> Result<ResolvedRequest, RequestError> {
    let arrived_at = api.clock.now();
    let headers = HeaderMap::borrow_from(state);
    let uri = Uri::borrow_from(state);
    let Some(desired) = api.desired.borrow().clone() else {
        return Err(RequestError::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "desired_state",
            "this host has not read the desired state yet",
        ));
    };
    let host = header_text(headers, header::HOST).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let Some((queue_name, queue)) = desired.route(host, uri.path()) else {
        return Err(RequestError::new(
            StatusCode::NOT_FOUND,
            "path",
            "no queue has this host and prefix",
        ));
    };
    let key = header_text(headers, header::AUTHORIZATION).and_then(parse_api_key);
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
    let deadline_ms = header_text(headers, DEADLINE_HEADER)
        .and_then(|text| text.trim().parse().ok())
        .map_or(DEFAULT_DEADLINE_MS, DurationMs)
        .min(MAX_DEADLINE_MS);
    Ok(ResolvedRequest {
        queue_name: queue_name.clone(),
        queue: queue.clone(),
        customer,
        path_suffix: uri.path()[queue.path_prefix.len()..].to_owned(),
        deadline: arrived_at + deadline_ms - RESPONSE_MARGIN_MS,
        max_body_bytes: desired.max_body_bytes.unwrap_or(DEFAULT_BODY_BYTES),
    })
}

fn header_text(headers: &HeaderMap, name: impl AsHeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

fn parse_job_id(text: &str) -> Option<JobId> {
    let is_id = text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_id.then(|| JobId::new(text))
}

async fn submit(
    api: &JobApi,
    state: &mut State,
    request: ResolvedRequest,
    job_id: JobId,
) -> Response<Body> {
    let body = match read_body(state, request.max_body_bytes).await {
        Ok(body) => body,
        // A refusal says that the job never runs, which is wrong for one that an earlier attempt has stored.
        Err(refusal) if refusal.retry_after_s.is_some() && api.writer.replica.has_job(&job_id) => {
            return respond(api, state, &WriteOutcome::Stored);
        }
        Err(refusal) => return refusal.into_response(state),
    };
    let job = match decode_submission(api, &request, &job_id, &body) {
        Ok(job) => job,
        Err(refusal) => {
            log_event!(
                Info,
                "job_rejected",
                job_id = job_id,
                customer = request.customer,
                cause = refusal.problem.problem
            );
            return refusal.into_response(state);
        }
    };
    let started_at = api.clock.now();
    let steps = job.record.steps_summary(LOGGED_STEPS);
    let outcome = accept(api, &request, job, body).await;
    let customer = request.customer.as_str();
    let counter = api
        .metrics
        .submissions
        .with_label_values(&[customer, outcome.name()]);
    counter.inc();
    let elapsed = std::time::Duration::from(api.clock.now().since(started_at));
    let histogram = api.metrics.accept_seconds.with_label_values(&[customer]);
    histogram.observe(elapsed.as_secs_f64());
    log_event!(
        Info,
        "job_handed_in",
        job_id = job_id,
        queue = request.queue_name,
        customer = request.customer,
        outcome = format!("{outcome:?}"),
        took_ms = api.clock.now().since(started_at),
        steps = steps
    );
    respond(api, state, &outcome)
}

/// `Submission` is a valid job, with the length of its stored form.
struct Submission {
    record: JobRecord,
    stored_bytes: usize,
}

/// Decodes a job and checks that it can be carried out and stored.
fn decode_submission(
    api: &JobApi,
    request: &ResolvedRequest,
    job_id: &JobId,
    body: &[u8],
) -> Result<Submission, RequestError> {
    let body = decode_job(body)
        .map_err(|error| RequestError::new(StatusCode::BAD_REQUEST, "body", error.to_string()))?;
    let record = JobRecord {
        job_id: job_id.clone(),
        queue: request.queue_name.clone(),
        policy: request.queue.policy.clone(),
        customer: request.customer.clone(),
        payload: body.payload,
        steps: body.steps,
        schedule: body.schedule,
        accepted_unix_ms: unix_now(),
    };
    record.validate().map_err(|error| {
        RequestError::new(StatusCode::BAD_REQUEST, error.field(), error.to_string())
    })?;
    let stored_bytes = stored_bytes(&record);
    if stored_bytes > api.max_record_bytes {
        let most = api.max_record_bytes;
        let text =
            format!("the job takes {stored_bytes} bytes in the store, expected at most {most}");
        return Err(RequestError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body",
            text,
        ));
    }
    Ok(Submission {
        record,
        stored_bytes,
    })
}

/// Accepts a job, unless it would be of no use or a limit of this host is reached.
async fn accept(
    api: &JobApi,
    request: &ResolvedRequest,
    job: Submission,
    body: RequestBody,
) -> WriteOutcome {
    let Submission {
        record,
        stored_bytes,
    } = job;
    if api.writer.replica.has_job(&record.job_id) {
        return WriteOutcome::Stored;
    }
    let held_bytes = record.record_bytes() + STORED_FORMS * stored_bytes;
    let Ok(_memory) = body.into_reservation(held_bytes).await else {
        return WriteOutcome::Overloaded(HostLimit::RequestMemory);
    };
    let Some(_slot) = api.store_calls.take(&record.customer) else {
        return WriteOutcome::Overloaded(HostLimit::StoreCalls);
    };
    let job_bytes = record.memory_bytes() + stored_bytes;
    let replica = &api.writer.replica;
    let job_memory = api.job_memory.reserve(replica, &record.customer, job_bytes);
    if job_memory.is_none() && is_absent(api, &record.job_id).await {
        return WriteOutcome::Overloaded(HostLimit::JobMemory);
    }
    // A newer version may have removed the queue or the key.
    if let Some(retry_after_ms) = refusal_of(api, &record).await {
        WriteOutcome::Shed { retry_after_ms }
    } else if api.age.is_fresh(api.clock.now()) {
        api.writer.accept(record, request.deadline).await
    } else {
        WriteOutcome::NotStored(MAYBE_STALE.to_owned())
    }
}

/// Length of the stored form of a job.
fn stored_bytes(record: &JobRecord) -> usize {
    struct Counter(usize);
    impl std::io::Write for Counter {
        fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
            self.0 += buf.len();
            Ok(buf.len())
        }

        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut counter = Counter(0);
    match serde_json::to_writer(&mut counter, record) {
        Ok(()) => counter.0,
        Err(error) => unreachable!("records have only plain fields, which serialize: {error}"),
    }
}

/// Whether it is certain that no earlier attempt has stored the job.
async fn is_absent(api: &JobApi, job_id: &JobId) -> bool {
    matches!(api.writer.find(job_id).await, Ok(None))
}

/// Returns when a job is to come back that would be of no use to its caller if it were accepted now.
///
/// A job that an earlier attempt has stored is accepted: a refusal says that it never runs.
async fn refusal_of(api: &JobApi, record: &JobRecord) -> Option<DurationMs> {
    let (picture, age_ms) = api.load.as_ref()?.newest(api.clock.now())?;
    let desired = api.desired.borrow().clone()?;
    let customer = desired.customers.get(&record.customer);
    let guaranteed = customer.map_or(0, |customer| customer.guaranteed_accelerators);
    let admission = picture.admit(age_ms, record, guaranteed, rand::random());
    let Admission::Refused { retry_after_ms } = admission else {
        return None;
    };
    is_absent(api, &record.job_id)
        .await
        .then_some(retry_after_ms)
}

async fn cancel(
    api: &JobApi,
    state: &mut State,
    request: &ResolvedRequest,
    job_id: &JobId,
) -> Response<Body> {
    let outcome = match api.store_calls.take(&request.customer) {
        Some(_slot) => api.writer.cancel(job_id, request.deadline).await,
        None => WriteOutcome::Overloaded(HostLimit::StoreCalls),
    };
    log_event!(
        Info,
        "job_cancel",
        job_id = job_id,
        customer = request.customer,
        outcome = format!("{outcome:?}")
    );
    respond(api, state, &outcome)
}

async fn show(
    api: &JobApi,
    state: &mut State,
    request: &ResolvedRequest,
    job_id: &JobId,
) -> Response<Body> {
    if let Some(view) = api.writer.replica.view(job_id) {
        return json_bytes(state, encode_job_phase(view.reported_phase()));
    }
    let Some(_slot) = api.store_calls.take(&request.customer) else {
        return respond(api, state, &WriteOutcome::Overloaded(HostLimit::StoreCalls));
    };
    match api.writer.find(job_id).await {
        Ok(Some(view)) => json_bytes(state, encode_job_phase(view.reported_phase())),
        Ok(None) => respond(api, state, &WriteOutcome::NoSuchJob),
        Err(error) => respond(api, state, &WriteOutcome::NotStored(error.to_string())),
    }
}

fn respond(api: &JobApi, state: &State, outcome: &WriteOutcome) -> Response<Body> {
    match outcome {
        WriteOutcome::Stored => json_response(state, StatusCode::OK, &serde_json::json!({})),
        WriteOutcome::NoSuchJob => {
            RequestError::new(StatusCode::GONE, "job_id", "no such job").into_response(state)
        }
        WriteOutcome::NotStored(cause) => retry_later(api, state, cause),
        WriteOutcome::Overloaded(limit) => refuse_for(api, state, *limit),
        WriteOutcome::Shed { retry_after_ms } => {
            let cause = "no capacity is expected for the job while its result is of use";
            let refusal = RequestError::new(StatusCode::TOO_MANY_REQUESTS, "queue", cause);
            let seconds = retry_after_ms.0.div_ceil(1_000);
            with_retry_after(refusal.into_response(state), seconds)
        }
        WriteOutcome::Cancelled => {
            let cause = "the job was cancelled before it was accepted";
            RequestError::new(StatusCode::SERVICE_UNAVAILABLE, "job_id", cause).into_response(state)
        }
        WriteOutcome::Unknown(cause) => {
            RequestError::new(StatusCode::GATEWAY_TIMEOUT, "store", cause.as_str())
                .into_response(state)
        }
    }
}

/// Refuses a request that has had no effect, with the time after which to retry.
fn retry_later(api: &JobApi, state: &State, cause: &str) -> Response<Body> {
    let refusal = RequestError::new(StatusCode::SERVICE_UNAVAILABLE, "store", cause);
    let response = refusal.into_response(state);
    let outage_ms = api.writer.health.outage_ms();
    let policy = api.writer.outage_policy;
    with_retry_after(response, policy.retry_after_s(outage_ms, rand::random()))
}

/// Refuses a request that has had no effect, because a limit of this host is reached.
fn refuse_for(api: &JobApi, state: &State, limit: HostLimit) -> Response<Body> {
    let refusals = &api.metrics.limit_refusals;
    refusals.with_label_values(&[limit.name()]).inc();
    if api.limit_log_limiter.admit(api.clock.now()) {
        log_event!(
            Info,
            "limit_reached",
            limit = limit.name(),
            job_memory_bytes = api.writer.replica.memory_bytes()
        );
    }
    RequestError::new(StatusCode::SERVICE_UNAVAILABLE, "host", limit.problem())
        .with_retry_after_s(limit.retry_after_s(rand::random()))
        .into_response(state)
}

fn with_retry_after(mut response: Response<Body>, seconds: u64) -> Response<Body> {
    let value = HeaderValue::from(seconds);
    response.headers_mut().insert(header::RETRY_AFTER, value);
    response
}

fn json_bytes(state: &State, bytes: Vec<u8>) -> Response<Body> {
    create_response(state, StatusCode::OK, mime::APPLICATION_JSON, bytes)
}
