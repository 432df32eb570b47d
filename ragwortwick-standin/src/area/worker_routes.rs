//! A worker's calls.

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

use super::workers::{LEASE_MS, OneWorker, Payload, PoolState, RunningTask, StartedRun, step_of};
use crate::now;

/// Largest body.
const MAX_BODY_BYTES: usize = 1 << 20;

pub(super) fn router(one: OneWorker) -> Router {
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(one)));
    build_router(chain, pipelines, |route| {
        route.post("/run-start").to_async_borrowing(start);
        route.post("/run-stop").to_async_borrowing(stop);
        route.post("/pace").to_async_borrowing(pace);
        route.post("/hold").to_async_borrowing(hold);
    })
}

/// Reads a call that is meant for this worker.
async fn read(state: &mut State) -> Result<(OneWorker, Value), Response<Body>> {
    let one = OneWorker::borrow_from(state).clone();
    let mut changed = one.pool.changed.subscribe();
    while one.pool.with(|pool| {
        pool.workers
            .get(&one.name)
            .is_some_and(|worker| worker.is_silent)
    }) {
        changed.mark_unchanged();
        drop(timeout(DurationMs(50).into(), changed.changed()).await);
    }
    let meant = HeaderMap::borrow_from(state).get("x-target-instance");
    let life = one.pool.with(|pool| {
        let worker = pool.workers.get(&one.name);
        worker.map_or_else(String::new, |worker| worker.life_name(&one.name))
    });
    if meant.is_some_and(|meant| meant != life.as_str()) {
        return Err(json_response(
            state,
            StatusCode::MISDIRECTED_REQUEST,
            &json!({}),
        ));
    }
    match read_json::<Value>(state, MAX_BODY_BYTES).await {
        Ok(body) => Ok((one, body)),
        Err(refusal) => Err(refusal.into_response(state)),
    }
}

/// Checks the token; gives the reason of a refusal.
fn is_fenced(pool: &mut PoolState, name: &str, body: &Value) -> bool {
    let token = body["FencingToken"].as_u64().unwrap_or(0);
    let Some(worker) = pool.workers.get_mut(name) else {
        return true;
    };
    if token < worker.token {
        return true;
    }
    worker.token = token;
    if let Some(until) = body["DeadlineMs"].as_u64() {
        let most = now().0 + LEASE_MS;
        worker.lease_until = worker.lease_until.max(until.min(most));
    }
    false
}

async fn start(state: &mut State) -> SimpleHandlerResult {
    let (one, body) = match read(state).await {
        Ok(call) => call,
        Err(refusal) => return Ok(refusal),
    };
    let reason = one.pool.with(|pool| begin(pool, &one.name, &body));
    let clock_ms = now().0;
    Ok(match reason {
        None => json_response(state, StatusCode::OK, &json!({"ClockMs": clock_ms})),
        Some(reason) => {
            let body = json!({"ClockMs": clock_ms, "Reason": reason});
            json_response(state, StatusCode::CONFLICT, &body)
        }
    })
}

/// Begins a run; gives the reason of a refusal.
fn begin(pool: &mut PoolState, name: &str, body: &Value) -> Option<&'static str> {
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
        .is_some_and(|held| held.run == run)
    {
        return None;
    }
    if worker.over.get(&task).is_some_and(|&over| run <= over) {
        return Some("old");
    }
    if body["DeadlineMs"].as_u64().unwrap_or(0) <= now().0 {
        return Some("late");
    }
    let payload: Payload = body["Spec"]
        .as_str()
        .and_then(|text| serde_json::from_str(text).ok())
        .unwrap_or_default();
    if payload.needs_ticket && !holds_ticket(pool, name, &task, body) {
        pool.without_ticket += 1;
        return Some("ticket");
    }
    let worker = pool.workers.get_mut(name)?;
    let held = RunningTask {
        run,
        payload,
        started_at: now(),
        ends_at: None,
        pace_percent: 100,
    };
    worker.running.insert(task.clone(), held);
    pool.starts.push(StartedRun {
        worker: name.to_owned(),
        task,
        run,
        is_duplicate,
    });
    None
}

/// Whether the start carries the advisor's ticket for its worker and step, and that still holds.
fn holds_ticket(pool: &PoolState, name: &str, task: &str, body: &Value) -> bool {
    let key = (name.to_owned(), step_of(task));
    let known = pool.tickets.get(&key);
    known.is_some_and(|(ticket, until)| body["Ticket"] == ticket.as_str() && now() < *until)
}

async fn stop(state: &mut State) -> SimpleHandlerResult {
    let (one, body) = match read(state).await {
        Ok(call) => call,
        Err(refusal) => return Ok(refusal),
    };
    let is_refused = one.pool.with(|pool| {
        if is_fenced(pool, &one.name, &body) {
            return true;
        }
        let task = body["Task"].as_str().unwrap_or_default();
        let run = body["Run"].as_u64().unwrap_or(0);
        if let Some(worker) = pool.workers.get_mut(&one.name) {
            worker.end(task, "stopped");
            let over = worker.over.entry(task.to_owned()).or_insert(0);
            *over = (*over).max(run);
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
    let (one, body) = match read(state).await {
        Ok(call) => call,
        Err(refusal) => return Ok(refusal),
    };
    let status = one.pool.with(|pool| {
        if is_fenced(pool, &one.name, &body) {
            return StatusCode::CONFLICT;
        }
        let task = body["Task"].as_str().unwrap_or_default();
        let worker = pool.workers.get_mut(&one.name);
        if let Some(run) = worker.and_then(|worker| worker.running.get_mut(task)) {
            run.pace_percent = body["Percent"].as_u64().unwrap_or(100);
        }
        StatusCode::OK
    });
    Ok(json_response(state, status, &json!({"ClockMs": now().0})))
}

async fn hold(state: &mut State) -> SimpleHandlerResult {
    let (one, body) = match read(state).await {
        Ok(call) => call,
        Err(refusal) => return Ok(refusal),
    };
    let noted = body["LastSeen"].as_u64().unwrap_or(0);
    let ends_at = now() + DurationMs(body["WaitMs"].as_u64().unwrap_or(0));
    let is_refused = one.pool.with(|pool| {
        if is_fenced(pool, &one.name, &body) {
            return true;
        }
        if let Some(worker) = pool.workers.get_mut(&one.name) {
            worker.ended.retain(|end| end.0 > noted);
        }
        false
    });
    if is_refused {
        let body = json!({"ClockMs": now().0, "Reason": "fence"});
        return Ok(json_response(state, StatusCode::CONFLICT, &body));
    }
    let mut changed = one.pool.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let told = one.pool.with(|pool| {
            let worker = pool.workers.get(&one.name)?;
            let is_due = !worker.ended.is_empty() || now() >= ends_at;
            is_due.then(|| worker.told())
        });
        if let Some(told) = told {
            return Ok(json_response(state, StatusCode::OK, &told));
        }
        // Own looks count as changes too, so the wait goes on by the clock.
        drop(timeout(DurationMs(10).into(), changed.changed()).await);
        tokio::time::sleep(DurationMs(5).into()).await;
    }
}
