//! Claims on request ids that callers chose: one create in the store before the request is sent.

use std::sync::{Arc, Mutex, PoisonError};

use ragwortwick_border::{
    LeaseGrant, LeaseReply, StoreCas, StoreCasReply, StoreEntry, StoreGet, StoreGetReply,
};
use ragwortwick_core::{DurationMs, HostName, TimeMs};
use ragwortwick_http::{HttpClient, HttpClientOptions, HttpError};
use ragwortwick_policy::ClaimOutcome;
use serde::{Deserialize, Serialize};

use crate::Clock;

/// Time to live of the lease that claims are written under; it is never renewed.
///
/// The lease only clears old claims away, it says nothing of the holder's life. A repeat that comes
/// after the claim is gone would run a second time, so it must outlast every repeat: a caller that
/// lost its answer in the evening asks again in the morning, not days later.
const CLAIM_LEASE_MS: DurationMs = DurationMs(25 * 3_600_000);

/// A lease is used for new claims this long; each claim then lives for at least the rest, a day.
const LEASE_USE_MS: DurationMs = DurationMs(3_600_000);

/// Longest wait for one call of the store, which answers in milliseconds.
const STORE_TIMEOUT_MS: DurationMs = DurationMs(400);

/// After a failed call the store counts as away this long: callers are told at once, and a store
/// that comes back is not met by all that waited.
const STORE_PAUSE_MS: DurationMs = DurationMs(300);

/// `ClaimStore` claims request ids for one entry host among all.
pub trait ClaimStore: Clone + Send + Sync + 'static {
    /// `claim` creates the claim, or finds out who holds it.
    ///
    /// A repeat with the same nonce is the same claim.
    fn claim(
        &self,
        id: &str,
        host: &HostName,
        nonce: &str,
    ) -> impl Future<Output = ClaimOutcome> + Send;

    /// `release` removes a claim that has this nonce, after its request was not run.
    fn release(&self, id: &str, nonce: &str) -> impl Future<Output = ()> + Send;
}

/// `StoreClaims` keeps claims in the platform's store.
#[derive(Clone, Debug)]
pub struct StoreClaims {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    http: HttpClient,
    address: String,
    clock: Clock,
    lease: Mutex<Option<Lease>>,
    away_until: Mutex<TimeMs>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    lease_id: u64,
    use_until: TimeMs,
}

#[derive(Debug, Serialize, Deserialize)]
struct ClaimValue {
    host: HostName,
    nonce: String,
}

impl StoreClaims {
    /// `open` makes the client; it must be used inside a tokio runtime.
    #[must_use]
    pub fn open(address: &str, clock: Clock) -> Self {
        let options = HttpClientOptions {
            connect_timeout_ms: STORE_TIMEOUT_MS,
            max_idle_per_host: 4,
            max_body_bytes: 64 << 10,
            ..HttpClientOptions::default()
        };
        Self {
            shared: Arc::new(Shared {
                http: HttpClient::new(&options),
                address: address.to_owned(),
                clock,
                lease: Mutex::new(None),
                away_until: Mutex::new(TimeMs(0)),
            }),
        }
    }
}

impl ClaimStore for StoreClaims {
    async fn claim(&self, id: &str, host: &HostName, nonce: &str) -> ClaimOutcome {
        let shared = &self.shared;
        if shared.is_away() {
            return ClaimOutcome::StoreAway;
        }
        match shared.claim(id, host, nonce).await {
            Ok(outcome) => outcome,
            Err(_cause) => {
                shared.note_away();
                ClaimOutcome::StoreAway
            }
        }
    }

    async fn release(&self, id: &str, nonce: &str) {
        // A claim that stays is only a request whose repeat is told "may have run" for a while.
        drop(self.shared.release(id, nonce).await);
    }
}

impl Shared {
    fn is_away(&self) -> bool {
        let away_until = self.away_until.lock();
        self.clock.now() < *away_until.unwrap_or_else(PoisonError::into_inner)
    }

    fn note_away(&self) {
        let mut away_until = self
            .away_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *away_until = self.clock.now() + STORE_PAUSE_MS;
    }

    async fn claim(
        &self,
        id: &str,
        host: &HostName,
        nonce: &str,
    ) -> Result<ClaimOutcome, HttpError> {
        match self.create(id, host, nonce).await {
            Ok(reply) if reply.applied => Ok(ClaimOutcome::Made),
            // Refused though nobody holds the id: the lease is gone, so a new one is taken.
            Ok(reply) if reply.entry.is_none() => {
                self.drop_lease();
                let reply = self.create(id, host, nonce).await?;
                Ok(judge(reply.entry.as_ref(), nonce))
            }
            Ok(reply) => Ok(judge(reply.entry.as_ref(), nonce)),
            // The answer may be lost after the write took effect: the nonce tells whose claim it is.
            Err(_cause) => self.read_back(id, nonce).await,
        }
    }

    async fn create(
        &self,
        id: &str,
        host: &HostName,
        nonce: &str,
    ) -> Result<StoreCasReply, HttpError> {
        let value = serde_json::to_string(&ClaimValue {
            host: host.clone(),
            nonce: nonce.to_owned(),
        })
        .map_err(|e| HttpError::NotSent {
            address: self.address.clone(),
            cause: e.to_string(),
            is_closed: false,
        })?;
        let create = StoreCas {
            key: key(id),
            expected_revision: ragwortwick_core::Revision(0),
            value: Some(value),
            lease_id: Some(self.lease().await?),
        };
        self.post("/v1/cas", &create).await
    }

    /// An absent claim after a lost answer may still be written late, so it is not ours to use.
    async fn read_back(&self, id: &str, nonce: &str) -> Result<ClaimOutcome, HttpError> {
        let get = StoreGet { key: key(id) };
        let reply: StoreGetReply = self.post("/v1/get", &get).await?;
        Ok(judge(reply.entry.as_ref(), nonce))
    }

    async fn release(&self, id: &str, nonce: &str) -> Result<(), HttpError> {
        let get = StoreGet { key: key(id) };
        let reply: StoreGetReply = self.post("/v1/get", &get).await?;
        let Some(entry) = reply.entry.filter(|entry| is_ours(entry, nonce)) else {
            return Ok(());
        };
        let delete = StoreCas {
            key: entry.key,
            expected_revision: entry.revision,
            value: None,
            lease_id: None,
        };
        self.post::<_, StoreCasReply>("/v1/cas", &delete).await?;
        Ok(())
    }

    fn drop_lease(&self) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    async fn lease(&self) -> Result<u64, HttpError> {
        let now = self.clock.now();
        if let Some(lease) = *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
            && now < lease.use_until
        {
            return Ok(lease.lease_id);
        }
        let grant = LeaseGrant {
            ttl_ms: CLAIM_LEASE_MS,
        };
        let reply: LeaseReply = self.post("/v1/lease/grant", &grant).await?;
        let lease = Lease {
            lease_id: reply.lease_id,
            use_until: now + LEASE_USE_MS,
        };
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = Some(lease);
        Ok(lease.lease_id)
    }

    async fn post<Q: Serialize + Sync, R: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<R, HttpError> {
        let http = &self.http;
        http.post(&self.address, path, body, STORE_TIMEOUT_MS).await
    }
}

fn key(id: &str) -> String {
    format!("claims/{id}")
}

fn judge(entry: Option<&StoreEntry>, nonce: &str) -> ClaimOutcome {
    match entry {
        Some(entry) if is_ours(entry, nonce) => ClaimOutcome::Made,
        Some(_) => ClaimOutcome::HeldElsewhere,
        None => ClaimOutcome::StoreAway,
    }
}

fn is_ours(entry: &StoreEntry, nonce: &str) -> bool {
    serde_json::from_str::<ClaimValue>(&entry.value).is_ok_and(|claim| claim.nonce == nonce)
}
