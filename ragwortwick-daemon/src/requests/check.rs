//! Checks on a caller's request before anything is done with it.

use ragwortwick_border::{AcceptedTable, Problem, RequestSubmit};
use ragwortwick_core::{DurationMs, RequestId};
use ragwortwick_policy::IssuedId;

/// Longest request id; it becomes part of a key in the store.
const MAX_ID_BYTES: usize = 200;

/// `check` finds the first mistake in a request.
pub(super) fn check(request: &RequestSubmit, table: &AcceptedTable) -> Result<(), Problem> {
    let customers = &table.table.customers;
    if !customers.iter().any(|c| c.customer == request.customer) {
        let text = format!("expected a customer of the table, not {}", request.customer);
        return Err(problem("customer", text));
    }
    let is_class = table
        .table
        .classes
        .iter()
        .any(|row| row.customer == request.customer && row.class == request.class);
    if !is_class {
        let text = format!(
            "expected a class of customer {}, not {}",
            request.customer, request.class
        );
        return Err(problem("class", text));
    }
    if request.deadline_ms == Some(DurationMs(0)) {
        return Err(problem("deadline_ms", "expected a time in the future"));
    }
    match &request.request_id {
        Some(id) => check_id(id),
        None if request.repeatable => Ok(()),
        None => Err(problem(
            "request_id",
            "expected an id, since the request is not repeatable",
        )),
    }
}

fn check_id(id: &RequestId) -> Result<(), Problem> {
    let text = id.as_str();
    let is_plain = text.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    if text.is_empty() || text.len() > MAX_ID_BYTES || !is_plain {
        let text = format!("expected 1 to {MAX_ID_BYTES} visible ASCII characters without a slash");
        return Err(problem("request_id", text));
    }
    if IssuedId::is_reserved(id) && IssuedId::parse(id).is_none() {
        let text = "expected an id as it was issued, or one that does not begin with rw1~";
        return Err(problem("request_id", text));
    }
    Ok(())
}

fn problem(field: &str, text: impl Into<String>) -> Problem {
    Problem {
        field: field.to_owned(),
        problem: text.into(),
    }
}
