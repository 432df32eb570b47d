//! HTTP routes of a test worker.

use std::sync::Arc;

use gotham::handler::{IntoResponse, SimpleHandlerResult};
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState};
use gotham::router::Router;
use gotham::router::builder::build_router;
use gotham::state::State;
use http::{HeaderMap, Response, StatusCode};
use ragwortwick_core::DurationMs;
use ragwortwick_http::{json_response, read_json};
use serde_json::{Value, json};
use tokio::time::timeout;

use super::workers::{Payload, PoolState, RunningTask, StartedRun, WorkerContext, step_of};
use crate::now;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1 << 20;

pub(super) fn router(context: WorkerContext) -> Router {
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(context)));
    build_router(chain, pipelines, |route| {
        route.post("/run-start").to_async_borrowing(start);
        route.post("/run-stop").to_async_borrowing(stop);
        route.post("/pace").to_async_borrowing(pace);
        route.post("/hold").to_async_borrowing(poll);
    })
}

/// Reads a request body if the request is addressed to the current incarnation of this worker.
///
/// The request waits as long as the worker is set to be unresponsive.
async fn read_request(state: &mut State) -> Result<(WorkerContext, Value), Response<Body>> {
    let context = WorkerContext::borrow_from(state).clone();
    while context.pool.with(|pool| {
        pool.workers
            .get(&context.name)
            .is_some_and(|worker| worker.is_unresponsive)
    }) {
        tokio::time::sleep(DurationMs(20).into()).await;
    }
    let target = HeaderMap::borrow_from(state).get("x-target-instance");
    let instance = context.pool.with(|pool| {
        let worker = pool.workers.get(&context.name);
        worker.map_or_else(String::new, |worker| worker.instance_name(&context.name))
    });
    if target.is_some_and(|target| target != instance.as_str()) {
        return Err(json_response(
            state,
            StatusCode::MISDIRECTED_REQUEST,
            &json!({}),
        ));
    }
    match read_json::<Value>(state, MAX_BODY_BYTES).await {
        Ok(body) => Ok((context, body)),
        Err(refusal) => Err(refusal.into_response(state)),
    }
}

/// Checks the fencing token and extends the lease unless the token is outdated; returns whether it is.
fn is_fenced(pool: &mut PoolState, name: &str, body: &Value) -> bool {
    let token = body["FencingToken"].as_u64().unwrap_or(0);
    let max_lease_ms = pool.options.max_lease_ms;
    let Some(worker) = pool.workers.get_mut(name) else {
        return true;
    };
    if token < worker.token {
        return true;
    }
    worker.token = token;
    if let Some(until) = body["DeadlineMs"].as_u64() {
        let latest = now() + max_lease_ms;
        worker.lease_until = worker.lease_until.max(until.min(latest.0));
    }
    false
}

async fn start(state: &mut State) -> SimpleHandlerResult {
    let (context, body) = match read_request(state).await {
        Ok(request) => request,
        Err(response) => return Ok(response),
    };
    let reason = context
        .pool
        .with(|pool| start_run(pool, &context.name, &body));
    let clock_ms = now().0;
    Ok(match reason {
        None => json_response(state, StatusCode::OK, &json!({"ClockMs": clock_ms})),
        Some(reason) => {
            let body = json!({"ClockMs": clock_ms, "Reason": reason});
            json_response(state, StatusCode::CONFLICT, &body)
        }
    })
}

/// Starts a run; returns the reason if the start is refused.
fn start_run(pool: &mut PoolState, name: &str, body: &Value) -> Option<&'static str> {
    if is_fenced(pool, name, body) {
        return Some("fence");
    }
    let task = body["Task"].as_str().unwrap_or_default().to_owned();
    let run = body["Run"].as_u64().unwrap_or(0);
    let is_duplicate = pool
        .workers
        .iter()
        .any(|(other, worker)| other != name && worker.running.contains_key(&task));
    let worker = pool.workers.get_mut(name)?;
    if worker
        .running
        .get(&task)
        .is_some_and(|running| running.run == run)
    {
        return None;
    }
    if worker
        .last_ended
        .get(&task)
        .is_some_and(|&last| run <= last)
    {
        return Some("old");
    }
    let lease_until = if pool.options.judges_lateness_by_lease {
        worker.lease_until
    } else {
        body["DeadlineMs"].as_u64().unwrap_or(0)
    };
    if lease_until <= now().0 {
        return Some("late");
    }
    let payload: Payload = body["Spec"]
        .as_str()
        .and_then(|text| serde_json::from_str(text).ok())
        .unwrap_or_default();
    if payload.needs_ticket && !has_valid_ticket(pool, name, &task, body) {
        pool.starts_without_ticket += 1;
        return Some("ticket");
    }
    let worker = pool.workers.get_mut(name)?;
    let running = RunningTask {
        run,
        payload,
        started_at: now(),
        ends_at: None,
        stops_at: None,
        record: pool.starts.len(),
        pace_percent: 100,
    };
    worker.running.insert(task.clone(), running);
    pool.starts.push(StartedRun {
        started_at: now(),
        worker: name.to_owned(),
        task,
        run,
        is_duplicate,
        token: body["FencingToken"].as_u64().unwrap_or(0),
        stop_at: None,
        end: None,
        is_end_acknowledged: false,
    });
    None
}

/// Returns whether the start carries the advisor's ticket for its worker and step, and the ticket is valid.
fn has_valid_ticket(pool: &PoolState, name: &str, task: &str, body: &Value) -> bool {
    let key = (name.to_owned(), step_of(task));
    let issued = pool.tickets.get(&key);
    issued.is_some_and(|(ticket, expires_at)| {
        body["Ticket"] == ticket.as_str() && now() < *expires_at
    })
}

async fn stop(state: &mut State) -> SimpleHandlerResult {
    let (context, body) = match read_request(state).await {
        Ok(request) => request,
        Err(response) => return Ok(response),
    };
    let is_refused = context.pool.with(|pool| {
        if is_fenced(pool, &context.name, &body) {
            return true;
        }
        let task = body["Task"].as_str().unwrap_or_default();
        let run = body["Run"].as_u64().unwrap_or(0);
        if let Some(worker) = pool.workers.get_mut(&context.name) {
            let stop_ms = pool.options.stop_ms;
            let running = worker.running.get_mut(task);
            if let Some(running) = running.filter(|running| running.run <= run) {
                let start = &mut pool.starts[running.record];
                start.stop_at.get_or_insert(now());
                running.stops_at.get_or_insert(now() + stop_ms);
                if stop_ms == DurationMs(0) {
                    start.end = Some((now(), "stopped"));
                    worker.end_run(task, "stopped");
                }
            }
            let last_ended = worker.last_ended.entry(task.to_owned()).or_insert(0);
            *last_ended = (*last_ended).max(run);
        }
        false
    });
    let clock_ms = now().0;
    Ok(if is_refused {
        let body = json!({"ClockMs": clock_ms, "Reason": "fence"});
        json_response(state, StatusCode::CONFLICT, &body)
    } else {
        json_response(state, StatusCode::OK, &json!({"ClockMs": clock_ms}))
    })
}

async fn pace(state: &mut State) -> SimpleHandlerResult {
    let (context, body) = match read_request(state).await {
        Ok(request) => request,
        Err(response) => return Ok(response),
    };
    let status = context.pool.with(|pool| {
        if is_fenced(pool, &context.name, &body) {
            return StatusCode::CONFLICT;
        }
        let task = body["Task"].as_str().unwrap_or_default();
        let worker = pool.workers.get_mut(&context.name);
        if let Some(run) = worker.and_then(|worker| worker.running.get_mut(task)) {
            run.pace_percent = body["Percent"].as_u64().unwrap_or(100);
        }
        StatusCode::OK
    });
    Ok(json_response(state, status, &json!({"ClockMs": now().0})))
}

async fn poll(state: &mut State) -> SimpleHandlerResult {
    let (context, body) = match read_request(state).await {
        Ok(request) => request,
        Err(response) => return Ok(response),
    };
    let acked_end = body["LastSeen"].as_u64().unwrap_or(0);
    let deadline = now() + DurationMs(body["WaitMs"].as_u64().unwrap_or(0));
    let is_refused = context.pool.with(|pool| {
        if is_fenced(pool, &context.name, &body) {
            return true;
        }
        pool.completions.acknowledge(&context.name, acked_end);
        if let Some(worker) = pool.workers.get_mut(&context.name) {
            let acknowledged = worker.ended.extract_if(.., |end| end.sequence <= acked_end);
            for end in acknowledged {
                pool.starts[end.record].is_end_acknowledged = true;
            }
        }
        false
    });
    if is_refused {
        let body = json!({"ClockMs": now().0, "Reason": "fence"});
        return Ok(json_response(state, StatusCode::CONFLICT, &body));
    }
    let (end_listed, listed_runs) = context.pool.with(|pool| {
        let lists_on_arrival = pool.options.lists_runs_on_arrival;
        let worker = &pool.workers[&context.name];
        let is_snapshot = lists_on_arrival && worker.speed_percent % 2 == 1;
        let hides_stopping_runs = pool.options.hides_stopping_runs;
        let rows = is_snapshot.then(|| worker.running_rows(hides_stopping_runs));
        (Arc::clone(&worker.end_listed), rows)
    });
    loop {
        let listed = end_listed.notified();
        let mut listed = std::pin::pin!(listed);
        listed.as_mut().enable();
        let report = context.pool.with(|pool| {
            let worker = pool.workers.get(&context.name)?;
            let is_due = !worker.ended.is_empty() || now() >= deadline;
            is_due.then(|| {
                let hides_stopping_runs = pool.options.hides_stopping_runs;
                let current = || worker.running_rows(hides_stopping_runs);
                worker.report_with(&listed_runs.clone().unwrap_or_else(current))
            })
        });
        if let Some(report) = report {
            return Ok(json_response(state, StatusCode::OK, &report));
        }
        drop(timeout(deadline.since(now()).into(), listed).await);
    }
}
