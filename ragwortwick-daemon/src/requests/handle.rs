//! The running request duty and the handle that submits to it.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use displaydoc::Display;
use ragwortwick_border::{
    IssuedIds, Problem, RequestOutcome, RequestSubmit, RunnerRequest, RunnerStatus,
};
use ragwortwick_core::{DurationMs, HostName, RequestId, TimeMs};
use ragwortwick_policy::{Arrival, Dispatcher, DispatcherOptions, IssuedId, RequestEvent, Ticket};
use rand::Rng;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::answers::{may_have_run, not_run, outcome, verdict_label};
use super::check::check;
use super::claims::ClaimStore;
use super::duty::{Claim, DutyEvent, DutyRing, RequestMachine, Submission};
use super::feed::{follow_hosts, follow_peers, follow_table};
use super::once::OnceLog;
use super::sender::Sender;
use crate::peers::PeerClient;
use crate::{Clock, EventLoop, Lifecycle, Metrics, Settings, StateWatches};

/// Time to come back while no table is in force; the table arrives with the first peer or read.
const NO_TABLE_RETRY_MS: DurationMs = DurationMs(1_000);

/// Time to come back when the duty's ring is full.
const RING_FULL_RETRY_MS: DurationMs = DurationMs(500);

/// Most ids issued in one call.
const MAX_IDS_PER_CALL: u32 = 1_000;

/// `RequestLoad` is what operators and peers see of the request duty.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestLoad {
    /// Requests on runners.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Runners known.
    pub runners: Vec<RunnerStatus>,
}

/// `IdsRefused` says why no ids were issued.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum IdsRefused {
    /// expected a number from 1 to 1000
    Count,
    /// this entry host is stopping
    Stopping,
}

impl std::error::Error for IdsRefused {}

/// `Requests` is the running request duty.
#[derive(Debug)]
pub struct Requests {
    handle: RequestsHandle,
    duty: EventLoop<DutyEvent>,
    followers: Vec<JoinHandle<()>>,
}

/// `RequestsHandle` submits requests to the request duty; clones reach the same duty.
#[derive(Clone, Debug)]
pub struct RequestsHandle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    host: HostName,
    clock: Clock,
    feeds: StateWatches,
    metrics: Metrics,
    peers: PeerClient,
    ring: DutyRing,
    load: Arc<ArcSwap<RequestLoad>>,
    once: OnceLog,
    next_ticket: AtomicU64,
    next_id: AtomicU64,
}

impl Requests {
    /// `open` starts the duty and follows the table, the host list and the peers.
    ///
    /// # Errors
    ///
    /// Fails if the system gives no thread.
    pub fn open<C: ClaimStore>(
        settings: &Settings,
        clock: Clock,
        metrics: Metrics,
        feeds: StateWatches,
        peers: PeerClient,
        claims: C,
    ) -> io::Result<Self> {
        let ring = DutyRing::default();
        let sender = Sender::new(clock, ring.clone());
        let load = Arc::new(ArcSwap::from_pointee(RequestLoad::default()));
        let options = DispatcherOptions::default();
        let machine = RequestMachine {
            host: settings.host.clone(),
            dispatcher: Dispatcher::new(settings.zone.clone(), options, rand::random()),
            sender: sender.clone(),
            claims,
            ring: ring.clone(),
            runtime: Handle::current(),
            peers: peers.clone(),
            load: Arc::clone(&load),
            open: BTreeMap::new(),
            published_at: TimeMs(0),
            is_changed: false,
            next_tick: None,
        };
        let duty = EventLoop::spawn("requests", settings.ring_length, clock, machine)?;
        ring.set(duty.sender());
        let followers = vec![
            tokio::spawn(follow_table(feeds.clone(), ring.clone())),
            tokio::spawn(follow_hosts(feeds.clone(), ring.clone(), sender)),
            tokio::spawn(follow_peers(peers.clone(), ring.clone())),
        ];
        let shared = Shared {
            host: settings.host.clone(),
            clock,
            feeds,
            metrics,
            peers,
            ring,
            load,
            once: OnceLog::new(),
            next_ticket: AtomicU64::new(0),
            next_id: AtomicU64::new(0),
        };
        Ok(Self {
            handle: RequestsHandle {
                shared: Arc::new(shared),
            },
            duty,
            followers,
        })
    }

    /// `handle` gives a handle that submits to the duty.
    #[must_use]
    pub fn handle(&self) -> RequestsHandle {
        self.handle.clone()
    }

    /// `close` ends the duty; the callers' and the peers' side must have ended before.
    pub fn close(self) {
        for follower in self.followers {
            follower.abort();
        }
        self.duty.close();
    }
}

impl RequestsHandle {
    /// `check` finds the first mistake in a request.
    ///
    /// # Errors
    ///
    /// Names the field at fault and what was expected.
    pub fn check(&self, request: &RequestSubmit) -> Result<(), Problem> {
        let table = self.shared.feeds.table.borrow().clone();
        // Without a table there is nothing to check against, and the request is refused anyway.
        table.map_or(Ok(()), |table| check(request, &table))
    }

    /// `submit` runs a request to its final outcome.
    ///
    /// `is_forwarded` marks one that another entry host sent here because its home is here.
    pub async fn submit(&self, request: RequestSubmit, is_forwarded: bool) -> RequestOutcome {
        let arrived_at = self.now();
        let (customer, class) = (request.customer.clone(), request.class.clone());
        let outcome = self.decide(request, is_forwarded).await;
        let took_ms = self.now().since(arrived_at);
        let labels = [customer.as_str(), class.as_str(), verdict_label(&outcome)];
        let histogram = &self.shared.metrics.request_completion_seconds;
        histogram
            .with_label_values(&labels)
            .observe(std::time::Duration::from(took_ms).as_secs_f64());
        outcome
    }

    /// `issue_ids` gives ids whose home is this host: only this host runs them, without the store.
    ///
    /// # Errors
    ///
    /// Fails for a wrong count, and on a stopping host, since ids die with their home.
    pub fn issue_ids(&self, count: u32) -> Result<IssuedIds, IdsRefused> {
        if *self.shared.feeds.lifecycle.borrow() == Lifecycle::Stopping {
            return Err(IdsRefused::Stopping);
        }
        if count == 0 || count > MAX_IDS_PER_CALL {
            return Err(IdsRefused::Count);
        }
        let first = self
            .shared
            .next_id
            .fetch_add(u64::from(count), Ordering::Relaxed);
        let issued_at = self.now();
        let ids = (first..first + u64::from(count)).map(|sequence| {
            IssuedId {
                home: self.shared.host.clone(),
                incarnation: self.incarnation(),
                issued_at,
                sequence,
            }
            .to_request_id()
        });
        Ok(IssuedIds {
            request_ids: ids.collect(),
        })
    }

    /// `load` gives the duty's counts and runners, at most a moment old.
    #[must_use]
    pub fn load(&self) -> RequestLoad {
        RequestLoad::clone(&self.shared.load.load())
    }

    async fn decide(&self, request: RequestSubmit, is_forwarded: bool) -> RequestOutcome {
        let id = request.request_id.clone();
        if self.shared.feeds.table.borrow().is_none() {
            let reason = "no table was accepted yet";
            return not_run(id.as_ref(), reason, NO_TABLE_RETRY_MS);
        }
        match (request.repeatable, id) {
            (false, Some(id)) => self.submit_once(id, request, is_forwarded).await,
            (false, None) => {
                let reason = "a request that is not repeatable needs an id";
                not_run(None, reason, DurationMs(0))
            }
            (true, Some(id)) => self.run(id, request, None).await,
            (true, None) => self.run(self.fresh_id(), request, None).await,
        }
    }

    /// `run` hands a request to the dispatcher and waits for its verdict.
    pub(super) async fn run(
        &self,
        id: RequestId,
        request: RequestSubmit,
        claim: Option<Claim>,
    ) -> RequestOutcome {
        let ticket = Ticket(self.shared.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (reply, verdict) = oneshot::channel();
        let submission = Submission {
            arrival: Arrival {
                ticket,
                customer: request.customer.clone(),
                class: request.class.clone(),
                deadline_ms: request.deadline_ms,
                is_repeatable: request.repeatable,
                needs_claim: claim.is_some(),
            },
            request: Arc::new(RunnerRequest {
                request_id: id.clone(),
                customer: request.customer,
                class: request.class,
                remaining_ms: DurationMs(0),
                payload: request.payload,
            }),
            claim,
            reply,
        };
        let event = DutyEvent::Arrived(Box::new(submission));
        if self.shared.ring.offer(event).is_err() {
            let reason = "this entry host has too many requests at once";
            return not_run(Some(&id), reason, RING_FULL_RETRY_MS);
        }
        let mut presence = Presence {
            ring: &self.shared.ring,
            ticket: Some(ticket),
        };
        let verdict = verdict.await;
        presence.ticket = None;
        match verdict {
            Ok(verdict) => outcome(&id, verdict),
            Err(_lost) => may_have_run(Some(&id), "this host lost track of the request"),
        }
    }

    pub(super) fn now(&self) -> TimeMs {
        self.shared.clock.now()
    }

    pub(super) fn host(&self) -> &HostName {
        &self.shared.host
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.shared.clock.incarnation()
    }

    pub(super) fn issued_so_far(&self) -> u64 {
        self.shared.next_id.load(Ordering::Relaxed)
    }

    pub(super) fn peers(&self) -> &PeerClient {
        &self.shared.peers
    }

    pub(super) fn once(&self) -> &OnceLog {
        &self.shared.once
    }

    /// `deadline_ms` is the request's own deadline, or that of its class.
    pub(super) fn deadline_ms(&self, request: &RequestSubmit) -> DurationMs {
        let of_class = || {
            let table = self.shared.feeds.table.borrow();
            let rows = &table.as_ref()?.table.classes;
            rows.iter()
                .find(|row| row.customer == request.customer && row.class == request.class)
                .map(|row| row.deadline_ms)
        };
        request.deadline_ms.or_else(of_class).unwrap_or_default()
    }

    pub(super) fn fresh_nonce(&self) -> String {
        format!("{}.{:032x}", self.shared.host, rand::rng().random::<u128>())
    }

    fn fresh_id(&self) -> RequestId {
        let sequence = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        IssuedId {
            home: self.shared.host.clone(),
            incarnation: self.incarnation(),
            issued_at: self.now(),
            sequence,
        }
        .to_request_id()
    }
}

/// Tells the duty when the caller goes away before the verdict.
struct Presence<'a> {
    ring: &'a DutyRing,
    ticket: Option<Ticket>,
}

impl Drop for Presence<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.ring
                .send(DutyEvent::Policy(RequestEvent::CallerLeft(ticket)));
        }
    }
}
