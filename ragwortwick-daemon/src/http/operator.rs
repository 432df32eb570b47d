//! Paths for operators.

use gotham::handler::{IntoResponse, SimpleHandlerResult};
use gotham::prelude::{
    DefineSingleRoute, DrawRoutes, FromState, StateData, StaticResponseExtender,
};
use gotham::state::State;
use http::StatusCode;
use ragwortwick_border::{Table, TableAccept, TableAcceptReply};
use ragwortwick_http::{RequestError, json_response, read_json};
use serde::Deserialize;

use super::RouteBuilder;
use crate::App;
use crate::status::fleet_status;

/// Accepted tables sent when the caller names no limit: a screenful.
const HISTORY_DEFAULT: u32 = 20;

/// Most accepted tables sent at once; each may have hundreds of rows.
const HISTORY_MOST: u32 = 200;

#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
struct HistoryQuery {
    limit: Option<u32>,
}

pub(super) fn routes(route: &mut RouteBuilder<'_>) {
    route.get("/v1/status").to_async_borrowing(status);
    route.get("/v1/table").to_async_borrowing(table);
    route.post("/v1/table/review").to_async_borrowing(review);
    route.post("/v1/table/accept").to_async_borrowing(accept);
    route
        .get("/v1/table/history")
        .with_query_string_extractor::<HistoryQuery>()
        .to_async_borrowing(history);
}

async fn status(state: &mut State) -> SimpleHandlerResult {
    let app = App::borrow_from(state).clone();
    let fleet = fleet_status(&app).await;
    Ok(json_response(state, StatusCode::OK, &fleet))
}

async fn table(state: &mut State) -> SimpleHandlerResult {
    let current = App::borrow_from(state).config.current();
    if let Some(table) = current {
        return Ok(json_response(state, StatusCode::OK, table.as_ref()));
    }
    let refusal = RequestError::new(
        StatusCode::NOT_FOUND,
        "table",
        "no table is in force on this host yet",
    );
    Ok(refusal.into_response(state))
}

async fn review(state: &mut State) -> SimpleHandlerResult {
    let app = App::borrow_from(state).clone();
    match read_json::<Table>(state, app.settings.max_body_bytes).await {
        Ok(table) => {
            let review = app.config.review(&table);
            Ok(json_response(state, StatusCode::OK, &review))
        }
        Err(refusal) => Ok(refusal.into_response(state)),
    }
}

async fn accept(state: &mut State) -> SimpleHandlerResult {
    let app = App::borrow_from(state).clone();
    let accept = match read_json::<TableAccept>(state, app.settings.max_body_bytes).await {
        Ok(accept) => accept,
        Err(refusal) => return Ok(refusal.into_response(state)),
    };
    if let Err(refusal) = check_signature(&accept) {
        return Ok(refusal.into_response(state));
    }
    let reply = app.config.accept(accept).await;
    let status = match reply {
        TableAcceptReply::Accepted(_) => StatusCode::OK,
        TableAcceptReply::Conflict(_) => StatusCode::CONFLICT,
        TableAcceptReply::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
        TableAcceptReply::StoreAway(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    Ok(json_response(state, status, &reply))
}

/// The history must name who accepted and why, and a repeat is told by its nonce.
fn check_signature(accept: &TableAccept) -> Result<(), RequestError> {
    let texts = [
        ("accepted_by", &accept.accepted_by),
        ("reason", &accept.reason),
        ("nonce", &accept.nonce),
    ];
    for (field, text) in texts {
        if text.trim().is_empty() {
            return Err(RequestError::new(
                StatusCode::BAD_REQUEST,
                field,
                "expected a text that is not empty",
            ));
        }
    }
    Ok(())
}

async fn history(state: &mut State) -> SimpleHandlerResult {
    let app = App::borrow_from(state).clone();
    let limit = HistoryQuery::borrow_from(state)
        .limit
        .unwrap_or(HISTORY_DEFAULT)
        .clamp(1, HISTORY_MOST);
    match app.config.history(limit).await {
        Ok(tables) => Ok(json_response(state, StatusCode::OK, &tables)),
        Err(away) => Ok(json_response(state, StatusCode::SERVICE_UNAVAILABLE, &away)),
    }
}
