//! Calls to entry hosts as callers and operators make them.

use bytes::Bytes;
use http::{Method, StatusCode};
use ragwortwick_border::{
    AcceptedTable, FleetStatus, JobAccepted, JobStatus, JobSubmit, RequestAnswer, RequestOutcome,
    RequestRefusal, RequestSubmit, TableAccept, TableAcceptReply,
};
use ragwortwick_core::{DurationMs, JobId};
use ragwortwick_http::{HttpClient, HttpClientOptions, HttpError, HttpResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest wait for an answer; above every deadline of a test.
const ANSWER_LIMIT_MS: DurationMs = DurationMs(60_000);

/// `Caller` sends requests and jobs to entry hosts; clones share its connections.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
}

impl Caller {
    /// `open` makes a caller; it must be used inside a tokio runtime.
    #[must_use]
    pub fn open() -> Self {
        Self {
            http: HttpClient::new(&HttpClientOptions::default()),
        }
    }

    /// `http` lends the client below.
    #[must_use]
    pub fn http(&self) -> &HttpClient {
        &self.http
    }

    /// `request` submits a request and reads its final outcome.
    ///
    /// # Errors
    ///
    /// Fails if there is no whole outcome.
    pub async fn request(
        &self,
        address: &str,
        request: &RequestSubmit,
    ) -> Result<RequestOutcome, HttpError> {
        let reply = self.post(address, "/v1/requests", request).await?;
        match reply.status {
            StatusCode::OK => read::<RequestAnswer>(address, &reply).map(RequestOutcome::Answered),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
                read::<RequestRefusal>(address, &reply).map(RequestOutcome::Refused)
            }
            _ => Err(unexpected(address, &reply)),
        }
    }

    /// `job` submits a job and reads its acceptance.
    ///
    /// # Errors
    ///
    /// Fails with the status if the job was not accepted.
    pub async fn job(&self, address: &str, job: &JobSubmit) -> Result<JobAccepted, HttpError> {
        let reply = self.post(address, "/v1/jobs", job).await?;
        match reply.status {
            StatusCode::ACCEPTED => read(address, &reply),
            _ => Err(unexpected(address, &reply)),
        }
    }

    /// `job_status` reads where a job stands.
    ///
    /// # Errors
    ///
    /// Fails if the host does not know.
    pub async fn job_status(&self, address: &str, job: &JobId) -> Result<JobStatus, HttpError> {
        let path = format!("/v1/jobs/{job}");
        self.http.get(address, &path, ANSWER_LIMIT_MS).await
    }

    /// `cancel_job` asks to cancel a job.
    ///
    /// # Errors
    ///
    /// Fails if the wish could not be recorded.
    pub async fn cancel_job(&self, address: &str, job: &JobId) -> Result<JobStatus, HttpError> {
        let path = format!("/v1/jobs/{job}");
        let sent = self
            .http
            .send(Method::DELETE, address, &path, None, ANSWER_LIMIT_MS);
        read(address, &sent.await?)
    }

    /// `accept_table` puts a table in force.
    ///
    /// # Errors
    ///
    /// Fails if there is no whole reply.
    pub async fn accept_table(
        &self,
        address: &str,
        accept: &TableAccept,
    ) -> Result<TableAcceptReply, HttpError> {
        let reply = self.post(address, "/v1/table/accept", accept).await?;
        read(address, &reply)
    }

    /// `table` reads the table in force at a host.
    ///
    /// # Errors
    ///
    /// Fails if the host has none.
    pub async fn table(&self, address: &str) -> Result<AcceptedTable, HttpError> {
        self.http.get(address, "/v1/table", ANSWER_LIMIT_MS).await
    }

    /// `status` reads a host's view of the fleet.
    ///
    /// # Errors
    ///
    /// Fails if the host does not answer.
    pub async fn status(&self, address: &str) -> Result<FleetStatus, HttpError> {
        self.http.get(address, "/v1/status", ANSWER_LIMIT_MS).await
    }

    async fn post<Q: Serialize>(
        &self,
        address: &str,
        path: &str,
        body: &Q,
    ) -> Result<HttpResponse, HttpError> {
        let body = serde_json::to_vec(body).map_err(|e| HttpError::NotSent {
            address: address.to_owned(),
            cause: e.to_string(),
            is_closed: false,
        })?;
        let body = Some(Bytes::from(body));
        self.http
            .send(Method::POST, address, path, body, ANSWER_LIMIT_MS)
            .await
    }
}

fn read<T: DeserializeOwned>(address: &str, reply: &HttpResponse) -> Result<T, HttpError> {
    match serde_json::from_slice(&reply.body) {
        Ok(value) => Ok(value),
        // A body of another type is shown whole, with its status: it says more than the parser.
        Err(_) => Err(unexpected(address, reply)),
    }
}

fn unexpected(address: &str, reply: &HttpResponse) -> HttpError {
    HttpError::Status {
        address: address.to_owned(),
        status: reply.status.as_u16(),
        body: String::from_utf8_lossy(&reply.body).into_owned(),
    }
}
