//! Calls to entry hosts; when one does not answer, the next address is tried.

use std::time::Duration;

use http::{Method, StatusCode};
use ragwortwick_border::{Problem, RequestRefusal, StoreAway};
use ragwortwick_core::DurationMs;
use ragwortwick_http::{HttpClient, HttpClientOptions, HttpError, HttpResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{CliError, ExitClass};

/// Longest time to open a connection; a host that was replaced answers nothing at its address.
const CONNECT_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// `EntryHosts` is the list of addresses that a command may call.
#[derive(Debug)]
pub(crate) struct EntryHosts {
    addresses: Vec<String>,
    timeout_ms: DurationMs,
    client: HttpClient,
}

impl EntryHosts {
    /// `open` makes a client; it must be used inside a tokio runtime.
    pub(crate) fn open(addresses: Vec<String>, timeout_ms: DurationMs) -> Self {
        let options = HttpClientOptions {
            connect_timeout_ms: CONNECT_TIMEOUT_MS.min(timeout_ms),
            ..HttpClientOptions::default()
        };
        Self {
            addresses,
            timeout_ms,
            client: HttpClient::new(&options),
        }
    }

    /// `get` reads a JSON answer of status 2xx from the first host that answers.
    pub(crate) async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, CliError> {
        decode(&self.exchange(Method::GET, path, None).await?)
    }

    /// `exchange` gets one whole answer, whatever its status.
    ///
    /// Every call of an operator is idempotent (reads, reviews, cancellations, acceptances with
    /// their nonce), so a host that took the call and fell silent doesn't stop the next try.
    pub(crate) async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<HttpResponse, CliError> {
        let mut failures = Vec::new();
        for address in &self.addresses {
            let body = body.clone().map(Into::into);
            let sent = self
                .client
                .send(method.clone(), address, path, body, self.timeout_ms);
            // The client's own timeout ends the call; this one also bounds a resolver that hangs.
            let outer = Duration::from(self.timeout_ms) + Duration::from_secs(1);
            match tokio::time::timeout(outer, sent).await {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(error)) => failures.push(describe(&error)),
                Err(_) => failures.push(format!("no answer from {address}")),
            }
        }
        Err(CliError::new(
            ExitClass::NoEntryHost,
            format!("no entry host answers: {}", failures.join("; ")),
            "check the network, or name other hosts with --entry ADDRESS[,ADDRESS] or RAGWORTWICK_ENTRY",
        ))
    }
}

/// `encode` writes a body.
pub(crate) fn encode<T: Serialize>(body: &T) -> Result<Vec<u8>, CliError> {
    serde_json::to_vec(body).map_err(|error| {
        CliError::new(
            ExitClass::Failed,
            format!("the call can't be written as JSON: {error}"),
            "report this as a bug of ragwortwick",
        )
    })
}

/// `decode` reads a 2xx answer and turns any other into a sentence.
pub(crate) fn decode<R: DeserializeOwned>(reply: &HttpResponse) -> Result<R, CliError> {
    if !reply.status.is_success() {
        return Err(refusal(reply));
    }
    parse(reply)
}

/// `parse` reads an answer's body whatever its status.
pub(crate) fn parse<R: DeserializeOwned>(reply: &HttpResponse) -> Result<R, CliError> {
    serde_json::from_slice(&reply.body).map_err(|error| {
        CliError::new(
            ExitClass::Failed,
            format!("the entry host's answer can't be read: {error}"),
            "check that ragwortwick and the entry hosts have the same version (ragwortwick status shows theirs)",
        )
    })
}

fn refusal(reply: &HttpResponse) -> CliError {
    let text = reason(&reply.body);
    match reply.status {
        StatusCode::NOT_FOUND => CliError::new(ExitClass::NotFound, text, "check the name"),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => CliError::new(
            ExitClass::StoreAway,
            format!("the store is away: {text}"),
            "nothing in force changes meanwhile; try again in a minute",
        ),
        status if status.is_client_error() => {
            CliError::new(ExitClass::Mistakes, text, "correct the field and try again")
        }
        status => CliError::new(
            ExitClass::Failed,
            format!("the entry host answered {status}: {text}"),
            "look at the host's log for an event=… line of that time",
        ),
    }
}

/// The sentence in a refusal: a field's problem, a reason, or that the store is away.
fn reason(body: &[u8]) -> String {
    if let Ok(problem) = serde_json::from_slice::<Problem>(body) {
        return format!("{}: {}", problem.field, problem.problem);
    }
    if let Ok(refusal) = serde_json::from_slice::<RequestRefusal>(body) {
        return refusal.reason;
    }
    if let Ok(away) = serde_json::from_slice::<StoreAway>(body) {
        return format!("it can be asked again in {} ms", away.retry_after_ms);
    }
    String::from_utf8_lossy(body).into_owned()
}

fn describe(error: &HttpError) -> String {
    error.to_string()
}
