//! The store's paths.

use std::hash::{DefaultHasher, Hash, Hasher};

use gotham::handler::SimpleHandlerResult;
use gotham::helpers::http::response::create_empty_response;
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState};
use gotham::state::State;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use ragwortwick_border::{
    HostEntry, LeaseGrant, LeaseRenew, Problem, StoreCas, StoreGet, StoreList, StoreWatch,
    StoreWatchReply,
};
use ragwortwick_core::{DurationMs, HostName, TimeMs};
use ragwortwick_http::json_response;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::{StoreShared, StoreState};
use crate::admin::{Answer, RouteBuilder, call, pass};
use crate::now;

/// The platform's bound on a value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// `HostRemoval` names a host to take off the list.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HostRemoval {
    name: HostName,
}

pub(super) fn draw(route: &mut RouteBuilder<'_, StoreShared>) {
    route.post("/v1/get").to_async_borrowing(get);
    route.post("/v1/list").to_async_borrowing(list);
    route.post("/v1/cas").to_async_borrowing(cas);
    route.post("/v1/watch").to_async_borrowing(watch);
    route.post("/v1/lease/grant").to_async_borrowing(grant);
    route.post("/v1/lease/renew").to_async_borrowing(renew);
    route.post("/v1/lease/revoke").to_async_borrowing(revoke);
    route.get("/v1/hosts").to_async_borrowing(hosts);
    route.post("/admin/hosts").to_async_borrowing(put_host);
    route
        .post("/admin/hosts/remove")
        .to_async_borrowing(remove_host);
}

/// `on_state` answers a call by one step on the store's content.
async fn on_state<Q: for<'a> Deserialize<'a>, R: Serialize>(
    state: &mut State,
    kind: &str,
    step: impl FnOnce(&mut StoreState, TimeMs, Q) -> R,
) -> SimpleHandlerResult {
    call(
        state,
        "",
        kind,
        |store: StoreShared, question: Q| async move {
            Answer::ok(store.with(|state| step(state, now(), question)))
        },
    )
    .await
}

async fn get(state: &mut State) -> SimpleHandlerResult {
    on_state(state, "get", |store, now, question: StoreGet| {
        store.get(now, &question)
    })
    .await
}

async fn list(state: &mut State) -> SimpleHandlerResult {
    on_state(state, "list", |store, now, question: StoreList| {
        store.list(now, &question)
    })
    .await
}

async fn grant(state: &mut State) -> SimpleHandlerResult {
    on_state(state, "lease_grant", |store, now, question: LeaseGrant| {
        store.grant(now, question.ttl_ms)
    })
    .await
}

async fn renew(state: &mut State) -> SimpleHandlerResult {
    on_state(state, "lease_renew", |store, now, question: LeaseRenew| {
        store.renew(now, question.lease_id)
    })
    .await
}

async fn revoke(state: &mut State) -> SimpleHandlerResult {
    on_state(state, "lease_revoke", |store, now, question: LeaseRenew| {
        store.revoke(now, question.lease_id)
    })
    .await
}

/// `CasAnswer` is the outcome of a write or the mistake in it.
#[derive(Serialize)]
#[serde(untagged)]
enum CasAnswer {
    Reply(ragwortwick_border::StoreCasReply),
    Mistake(Problem),
}

async fn cas(state: &mut State) -> SimpleHandlerResult {
    call(
        state,
        "",
        "cas",
        |store: StoreShared, question: StoreCas| async move {
            let length = question.value.as_ref().map_or(0, String::len);
            if length > MAX_VALUE_BYTES {
                let problem = Problem {
                    field: "value".to_owned(),
                    problem: format!("expected at most {MAX_VALUE_BYTES} bytes"),
                };
                return Answer {
                    status: StatusCode::PAYLOAD_TOO_LARGE,
                    body: CasAnswer::Mistake(problem),
                };
            }
            let reply = store.with(|state| state.cas(now(), question));
            Answer::ok(CasAnswer::Reply(reply))
        },
    )
    .await
}

async fn watch(state: &mut State) -> SimpleHandlerResult {
    call(
        state,
        "",
        "watch",
        |store: StoreShared, question: StoreWatch| async move {
            match wait_for_change(&store, &question).await {
                Some(reply) => Answer::ok(Some(reply)),
                None => Answer {
                    status: StatusCode::SERVICE_UNAVAILABLE,
                    body: None,
                },
            }
        },
    )
    .await
}

/// `wait_for_change` answers once there is a change or the wait is over; `None` if the store went
/// down meanwhile.
async fn wait_for_change(store: &StoreShared, question: &StoreWatch) -> Option<StoreWatchReply> {
    let ends_at = now() + question.timeout_ms;
    let mut changed = store.changed.subscribe();
    loop {
        changed.mark_unchanged();
        if store.gate.faults("", "watch").down {
            return None;
        }
        let reply = store.with(|state| state.changes_since(now(), question));
        let reply = disturb(store, reply);
        let left_ms = ends_at.since(now());
        if !reply.changes.is_empty() || reply.is_gap || left_ms == DurationMs(0) {
            return Some(reply);
        }
        // Either a change or the end of the wait: both lead to another look.
        drop(timeout(left_ms.into(), changed.changed()).await);
    }
}

/// `disturb` applies the faults of watches.
fn disturb(store: &StoreShared, mut reply: StoreWatchReply) -> StoreWatchReply {
    while !reply.changes.is_empty() && store.gate.take("", "watch", |f| &mut f.miss_changes) {
        reply.changes.remove(0);
    }
    if store.gate.faults("", "watch").repeat_changes {
        reply.changes.extend(reply.changes.last().cloned());
    }
    reply
}

async fn hosts(state: &mut State) -> SimpleHandlerResult {
    let store = StoreShared::borrow_from(state).clone();
    if let Some(refusal) = pass(state, &store.gate, "", "hosts").await {
        return Ok(refusal);
    }
    let lag_ms = store.gate.faults("", "hosts").host_list_lag_ms;
    let list = store.with(|content| content.hosts(now(), lag_ms));
    let tag = tag_of(&list.hosts);
    let known = HeaderMap::borrow_from(state).get(header::IF_NONE_MATCH);
    let mut response = if known == Some(&tag) {
        create_empty_response(state, StatusCode::NOT_MODIFIED)
    } else {
        json_response(state, StatusCode::OK, &list)
    };
    response.headers_mut().insert(header::ETAG, tag);
    Ok(store.gate.leave("", "hosts", response).await)
}

/// The tag names the hosts, not the time at which they were asked for.
fn tag_of(hosts: &[HostEntry]) -> HeaderValue {
    let mut hasher = DefaultHasher::new();
    serde_json::to_string(hosts)
        .unwrap_or_default()
        .hash(&mut hasher);
    HeaderValue::from_str(&format!("\"{:x}\"", hasher.finish()))
        .unwrap_or(HeaderValue::from_static("\"\""))
}

async fn put_host(state: &mut State) -> SimpleHandlerResult {
    on_state(state, "admin", |store, now, host: HostEntry| {
        store.put_host(now, host);
    })
    .await
}

async fn remove_host(state: &mut State) -> SimpleHandlerResult {
    on_state(state, "admin", |store, now, removal: HostRemoval| {
        store.remove_host(now, &removal.name);
    })
    .await
}
