//! HTTP routes of the test store.

use std::collections::HashMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use gotham::handler::{IntoResponse, SimpleHandlerResult};
use gotham::helpers::http::Body;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState};
use gotham::router::Router;
use gotham::router::builder::build_router;
use gotham::state::State;
use http::{Method, Response, StatusCode, Uri};
use percent_encoding::percent_decode_str;
use ragwortwick_core::DurationMs;
use ragwortwick_http::{json_response, read_json};
use serde_json::{Value, json};
use tokio::time::timeout;

use super::store::{Kv, KvItem, SharedKv, StoreFault};
use crate::now;

/// Maximum number of conditions, puts and removes in a transaction.
const MAX_ENTRIES: usize = 32;

/// Maximum number of items in a range response.
const MAX_PAGE_ITEMS: usize = 500;

/// Size of the values in a range response from which on no further item is added.
const MAX_PAGE_BYTES: usize = 1 << 20;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;

pub(super) fn router(shared: SharedKv) -> Router {
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(shared)));
    build_router(chain, pipelines, |route| {
        route.get("/kv-key").to_async_borrowing(key);
        route.get("/kv-range").to_async_borrowing(range);
        route.get("/kv-watch").to_async_borrowing(watch);
        route.post("/kv-txn").to_async_borrowing(txn);
        route.post("/kv-lease").to_async_borrowing(grant_lease);
        route.post("/kv-keep/:id").to_async_borrowing(renew_lease);
        route
            .request(vec![Method::DELETE], "/kv-lease-end/:id")
            .to_async_borrowing(revoke_lease);
    })
}

/// Applies the simulated fault: returns an error response if the store is unavailable, and waits while it
/// is unresponsive.
async fn apply_fault(state: &mut State) -> Result<SharedKv, Response<Body>> {
    let shared = SharedKv::borrow_from(state).clone();
    let mut changed = shared.changed.subscribe();
    loop {
        match shared.with(|kv| kv.fault) {
            StoreFault::Unresponsive => {
                if changed.changed().await.is_err() {
                    return Err(respond(state, StatusCode::SERVICE_UNAVAILABLE, &json!({})));
                }
            }
            StoreFault::Unavailable => {
                return Err(respond(state, StatusCode::SERVICE_UNAVAILABLE, &json!({})));
            }
            StoreFault::None | StoreFault::DropsReplies => return Ok(shared),
        }
    }
}

fn respond(state: &State, status: StatusCode, body: &Value) -> Response<Body> {
    json_response(state, status, body)
}

fn query(state: &State) -> HashMap<String, String> {
    let uri = Uri::borrow_from(state);
    uri.query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| {
            let value = percent_decode_str(value).decode_utf8_lossy().into_owned();
            (name.to_owned(), value)
        })
        .collect()
}

fn item_json(key: &str, item: &KvItem) -> Value {
    json!({
        "Key": key,
        "Value": STANDARD.encode(&item.value),
        "Revision": item.revision,
        "Created": item.created,
        "Lease": item.lease,
    })
}

async fn key(state: &mut State) -> SimpleHandlerResult {
    let shared = match apply_fault(state).await {
        Ok(shared) => shared,
        Err(response) => return Ok(response),
    };
    let query = query(state);
    let name = query.get("Key").cloned().unwrap_or_default();
    let found = shared.with(|kv| kv.items.get(&name).map(|item| item_json(&name, item)));
    Ok(match found {
        Some(item) => respond(state, StatusCode::OK, &item),
        None => respond(state, StatusCode::NOT_FOUND, &json!({})),
    })
}

async fn range(state: &mut State) -> SimpleHandlerResult {
    let shared = match apply_fault(state).await {
        Ok(shared) => shared,
        Err(response) => return Ok(response),
    };
    let query = query(state);
    let prefix = query.get("Prefix").cloned().unwrap_or_default();
    let after = query.get("After").cloned().unwrap_or_default();
    let body = shared.with(|kv| {
        let matching = kv
            .items
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&prefix))
            .filter(|(key, _)| **key > after);
        let mut page_bytes = 0;
        let is_in_page = |(_, item): &(&String, &KvItem)| {
            let is_in_page = page_bytes < MAX_PAGE_BYTES;
            page_bytes += item.value.len();
            is_in_page
        };
        let items: Vec<Value> = matching
            .clone()
            .take(MAX_PAGE_ITEMS)
            .take_while(is_in_page)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let is_truncated = matching.count() > items.len();
        json!({"items": items, "Truncated": is_truncated, "AsOf": kv.revision})
    });
    Ok(respond(state, StatusCode::OK, &body))
}

async fn watch(state: &mut State) -> SimpleHandlerResult {
    let shared = match apply_fault(state).await {
        Ok(shared) => shared,
        Err(response) => return Ok(response),
    };
    let query = query(state);
    let prefix = query.get("Prefix").cloned().unwrap_or_default();
    let parameter = |name: &str| -> u64 {
        let value = query.get(name).and_then(|text| text.parse().ok());
        value.unwrap_or(0)
    };
    let after = parameter("After");
    let deadline = now() + DurationMs(parameter("WaitMs"));
    let mut changed = shared.changes_under(&prefix);
    loop {
        changed.mark_unchanged();
        if let Err(response) = apply_fault(state).await {
            return Ok(response);
        }
        let (is_compacted, events, as_of) = shared.with(|kv| events_after(kv, &prefix, after));
        if is_compacted {
            return Ok(respond(state, StatusCode::GONE, &json!({})));
        }
        let remaining_ms = deadline.since(now());
        if !events.is_empty() || remaining_ms == DurationMs(0) {
            let body = json!({"events": events, "AsOf": as_of});
            return Ok(respond(state, StatusCode::OK, &body));
        }
        // Checks again after a change or at the deadline.
        drop(timeout(remaining_ms.into(), changed.changed()).await);
    }
}

fn events_after(kv: &Kv, prefix: &str, after: u64) -> (bool, Vec<Value>, u64) {
    let first = kv.history.partition_point(|event| event.revision <= after);
    let events = kv
        .history
        .range(first..)
        .filter(|event| event.key.starts_with(prefix))
        .map(|event| match &event.item {
            Some(item) => item_json(&event.key, item),
            None => json!({"Key": event.key, "Revision": event.revision, "Deleted": true}),
        })
        .collect();
    (after < kv.compacted_revision, events, kv.revision)
}

async fn txn(state: &mut State) -> SimpleHandlerResult {
    let shared = match apply_fault(state).await {
        Ok(shared) => shared,
        Err(response) => return Ok(response),
    };
    let body = match read_json::<Value>(state, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal.into_response(state)),
    };
    if shared.with(|kv| defer(kv, &body)) {
        std::future::pending::<()>().await;
    }
    let (status, body, is_reply_dropped) = shared.with(|kv| {
        let (status, body) = apply_txn(kv, &body);
        kv.transactions += 1;
        let is_reply_dropped = kv.fault == StoreFault::DropsReplies && kv.transactions % 2 == 0;
        (status, body, is_reply_dropped)
    });
    if is_reply_dropped {
        std::future::pending::<()>().await;
    }
    Ok(respond(state, status, &body))
}

/// Holds a transaction back if it writes the key whose writes are deferred; returns whether it does.
fn defer(kv: &mut Kv, body: &Value) -> bool {
    let Some(key) = &kv.deferred_key else {
        return false;
    };
    let is_deferred = rows(body, "Puts")
        .iter()
        .any(|row| row["Key"].as_str() == Some(key));
    if is_deferred {
        kv.deferred.push(body.clone());
    }
    is_deferred
}

fn rows<'a>(body: &'a Value, name: &str) -> Vec<&'a Value> {
    body[name]
        .as_array()
        .map(|rows| rows.iter().collect())
        .unwrap_or_default()
}

pub(super) fn apply_txn(kv: &mut Kv, body: &Value) -> (StatusCode, Value) {
    let (expect, puts, removes) = (
        rows(body, "Expect"),
        rows(body, "Puts"),
        rows(body, "Remove"),
    );
    let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
    if expect.len() + puts.len() + removes.len() > MAX_ENTRIES {
        return (
            StatusCode::BAD_REQUEST,
            json!({"Error": "too many entries"}),
        );
    }
    let is_expected = expect.iter().all(|row| {
        let current = kv.items.get(&text(row, "Key"));
        current.map_or(0, |item| item.revision) == row["Revision"].as_u64().unwrap_or(0)
    });
    if !is_expected {
        let items: Vec<Value> = expect
            .iter()
            .filter_map(|row| {
                let key = text(row, "Key");
                kv.items.get(&key).map(|item| item_json(&key, item))
            })
            .collect();
        return (StatusCode::PRECONDITION_FAILED, json!({"items": items}));
    }
    let lease_of = |row: &Value| row["Lease"].as_u64().unwrap_or(0);
    let has_leases = puts
        .iter()
        .map(|row| lease_of(row))
        .all(|lease| lease == 0 || kv.has_lease(lease));
    if !has_leases {
        return (StatusCode::NOT_FOUND, json!({}));
    }
    // All changes of a transaction share one revision.
    let revision = kv.revision + 1;
    for row in puts {
        kv.revision = revision - 1;
        let value = STANDARD.decode(text(row, "Value")).unwrap_or_default();
        kv.put(&text(row, "Key"), value, lease_of(row));
    }
    for row in removes {
        kv.revision = revision - 1;
        kv.remove(row.as_str().unwrap_or_default());
    }
    kv.revision = revision;
    (StatusCode::OK, json!({"Revision": revision}))
}

async fn grant_lease(state: &mut State) -> SimpleHandlerResult {
    let shared = match apply_fault(state).await {
        Ok(shared) => shared,
        Err(response) => return Ok(response),
    };
    let body = match read_json::<Value>(state, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return Ok(refusal.into_response(state)),
    };
    let ttl_ms = body["TtlMs"].as_u64().unwrap_or(1_000);
    let lease = shared.with(|kv| kv.grant_lease(now(), DurationMs(ttl_ms)));
    let body = json!({"Lease": lease, "TtlMs": ttl_ms});
    Ok(respond(state, StatusCode::OK, &body))
}

/// Returns the lease id in the last segment of the request path.
fn lease_id(state: &State) -> u64 {
    let path = Uri::borrow_from(state).path();
    let last = path.rsplit('/').next();
    last.and_then(|text| text.parse().ok()).unwrap_or(0)
}

async fn renew_lease(state: &mut State) -> SimpleHandlerResult {
    let shared = match apply_fault(state).await {
        Ok(shared) => shared,
        Err(response) => return Ok(response),
    };
    let id = lease_id(state);
    Ok(match shared.with(|kv| kv.renew_lease(now(), id)) {
        Some(ttl_ms) => respond(state, StatusCode::OK, &json!({"TtlMs": ttl_ms.0})),
        None => respond(state, StatusCode::NOT_FOUND, &json!({})),
    })
}

async fn revoke_lease(state: &mut State) -> SimpleHandlerResult {
    let shared = match apply_fault(state).await {
        Ok(shared) => shared,
        Err(response) => return Ok(response),
    };
    let id = lease_id(state);
    shared.with(|kv| kv.revoke_lease(id));
    Ok(respond(state, StatusCode::OK, &json!({})))
}
