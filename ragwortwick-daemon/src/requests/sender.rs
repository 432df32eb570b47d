//! Sends requests to runners over few connections that are proven alive before they are used.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use ragwortwick_border::{RunnerAnswer, RunnerLoad, RunnerRefusal, RunnerRequest};
use ragwortwick_core::{DurationMs, HostName, TimeMs};
use ragwortwick_policy::{RequestEvent, RunnerLoadSeen, TryOutcome};
use tokio::time::{sleep, timeout};

use super::connection::{Connection, ExchangeError, Reply};
use super::duty::{DutyEvent, DutyRing};
use super::probe::ask_load;
use crate::Clock;

/// Idle connections kept per runner: with 60 connections per runner and up to 9 entry hosts, 6 is
/// each one's part.
const MAX_IDLE: usize = 6;

/// An idle connection that last answered longer ago is asked for the load before it is used.
///
/// Something between the two ends can lose track of a connection; what is sent on it then vanishes
/// without an error. A request that can't be repeated would be lost to "may have run", so the
/// connection has to show first that it still works.
const PROVEN_FOR_MS: DurationMs = DurationMs(1_000);

/// First time without an answer after which the runner is asked over a second connection.
const SILENCE_FIRST: Duration = Duration::from_millis(300);

/// Longest time between two such questions.
const SILENCE_MOST: Duration = Duration::from_secs(5);

/// Time for an answer that was on its way while the runner was asked.
const SILENCE_GRACE: Duration = Duration::from_millis(150);

/// `Sender` sends tries and probes; clones share the connections.
#[derive(Clone, Debug)]
pub(super) struct Sender {
    clock: Clock,
    ring: DutyRing,
    links: Arc<Mutex<BTreeMap<HostName, Arc<Link>>>>,
}

#[derive(Debug)]
struct Link {
    runner: HostName,
    address: String,
    idle: Mutex<Vec<Connection>>,
}

/// `Try` is one request on its way to one runner.
#[derive(Clone, Debug)]
pub(super) struct Try {
    pub(super) runner: HostName,
    pub(super) request: Arc<RunnerRequest>,
    pub(super) answer_by: TimeMs,
    pub(super) deadline: TimeMs,
}

/// `TryEnd` is how a try ended, with the answer if there is one.
#[derive(Clone, Debug)]
pub(super) struct TryEnd {
    pub(super) outcome: TryOutcome,
    pub(super) answer: Option<String>,
}

impl Sender {
    pub(super) fn new(clock: Clock, ring: DutyRing) -> Self {
        Self {
            clock,
            ring,
            links: Arc::default(),
        }
    }

    /// `set_addresses` takes in where each listed runner is.
    pub(super) fn set_addresses(&self, addresses: &BTreeMap<HostName, String>) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|runner, link| addresses.get(runner) == Some(&link.address));
        for (runner, address) in addresses {
            if !links.contains_key(runner) {
                let link = Link {
                    runner: runner.clone(),
                    address: address.clone(),
                    idle: Mutex::new(Vec::new()),
                };
                links.insert(runner.clone(), Arc::new(link));
            }
        }
    }

    /// `run` sends a try and waits for its end.
    pub(super) async fn run(&self, attempt: Try) -> TryEnd {
        let Some(link) = self.link(&attempt.runner) else {
            return TryEnd::of(TryOutcome::Unreachable);
        };
        let Some(mut connection) = self.proven(&link, &attempt.request).await else {
            return TryEnd::of(TryOutcome::Unreachable);
        };
        let now = self.clock.now();
        let mut request = RunnerRequest::clone(&attempt.request);
        request.remaining_ms = attempt.deadline.since(now);
        let Ok(body) = serde_json::to_vec(&request) else {
            return TryEnd::of(TryOutcome::TooLate);
        };
        connection.last_id = Some(request.request_id.clone());
        let exchange = connection.exchange(
            self.clock,
            Method::POST,
            "/v1/run",
            Bytes::from(body),
            attempt.answer_by,
        );
        let wait_ms = attempt.answer_by.since(now);
        let result = tokio::select! {
            result = timeout(wait_ms.into(), exchange) => result.unwrap_or_else(|_elapsed| {
                Err(ExchangeError::Lost(format!("no answer within {wait_ms} ms")))
            }),
            reason = self.until_silent(&link) => Err(ExchangeError::Lost(reason)),
        };
        let end = read_end(&request, result);
        // Only a connection whose last exchange is whole can carry another one.
        if end.is_whole() {
            link.keep(connection);
        }
        end
    }

    /// `probe` asks the runner for its load over a new connection.
    pub(super) async fn probe(&self, runner: &HostName) -> Option<RunnerLoad> {
        let link = self.link(runner)?;
        self.probe_link(&link).await
    }

    async fn probe_link(&self, link: &Arc<Link>) -> Option<RunnerLoad> {
        let mut connection = self.connect(link).await.ok()?;
        let load = ask_load(self.clock, &mut connection).await?;
        link.keep(connection);
        Some(load)
    }

    fn link(&self, runner: &HostName) -> Option<Arc<Link>> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.get(runner).cloned()
    }

    /// Gives an idle connection that answered lately or answers now, else a new one that does.
    async fn proven(&self, link: &Arc<Link>, request: &RunnerRequest) -> Option<Connection> {
        while let Some(mut connection) = link.take_idle() {
            if !connection.is_open() || connection.last_id.as_ref() == Some(&request.request_id) {
                continue;
            }
            if self.clock.now().since(connection.proven_at) < PROVEN_FOR_MS {
                return Some(connection);
            }
            if ask_load(self.clock, &mut connection).await.is_some() {
                return Some(connection);
            }
            // One silent connection is a sign for all that have been idle for as long.
            link.drop_idle();
        }
        // That a connection opens shows only that something in between took it.
        let mut connection = self.connect(link).await.ok()?;
        ask_load(self.clock, &mut connection).await?;
        Some(connection)
    }

    async fn connect(&self, link: &Arc<Link>) -> Result<Connection, String> {
        let (ring, runner) = (self.ring.clone(), link.runner.clone());
        Connection::open(&link.address, self.clock.now(), move || {
            ring.send(DutyEvent::Policy(RequestEvent::ConnectionClosed(runner)));
        })
        .await
    }

    /// Ends once the runner says over another connection that it runs nothing, though it has not
    /// answered on this one: the answer, or the request, went into a connection that is silent.
    async fn until_silent(&self, link: &Arc<Link>) -> String {
        let mut wait = SILENCE_FIRST;
        loop {
            sleep(wait).await;
            wait = (wait * 2).min(SILENCE_MOST);
            let load = self.probe_link(link).await;
            if load.is_some_and(|load| load.busy == 0) {
                sleep(SILENCE_GRACE).await;
                return "the runner runs nothing and its connection is silent".to_owned();
            }
        }
    }
}

impl Link {
    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE && connection.is_open() {
            connection.set_idle(true);
            idle.push(connection);
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connection = idle.pop()?;
        connection.set_idle(false);
        Some(connection)
    }

    fn drop_idle(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connection in idle.drain(..) {
            connection.set_idle(false);
        }
    }
}

impl TryEnd {
    fn of(outcome: TryOutcome) -> Self {
        Self {
            outcome,
            answer: None,
        }
    }

    fn lost(reason: impl Into<String>) -> Self {
        Self::of(TryOutcome::NoAnswer {
            reason: reason.into(),
        })
    }

    fn is_whole(&self) -> bool {
        matches!(
            self.outcome,
            TryOutcome::Answered { .. } | TryOutcome::Refused { .. }
        )
    }
}

fn read_end(request: &RunnerRequest, result: Result<Reply, ExchangeError>) -> TryEnd {
    let reply = match result {
        Ok(reply) => reply,
        Err(ExchangeError::NotSent(_)) => return TryEnd::of(TryOutcome::Unreachable),
        Err(ExchangeError::TooLate) => return TryEnd::of(TryOutcome::TooLate),
        Err(ExchangeError::Lost(reason)) => return TryEnd::lost(reason),
    };
    match reply.status {
        StatusCode::OK => read_answer(request, &reply.body),
        StatusCode::SERVICE_UNAVAILABLE => read_refusal(request, &reply.body),
        status => TryEnd::lost(format!("the runner answered {status}")),
    }
}

/// A connection could carry the answer to an earlier request: the echoed id shows whose it is.
fn read_answer(request: &RunnerRequest, body: &[u8]) -> TryEnd {
    match serde_json::from_slice::<RunnerAnswer>(body) {
        Ok(answer) if answer.request_id == request.request_id => TryEnd {
            outcome: TryOutcome::Answered {
                load: RunnerLoadSeen::from(&answer.load),
            },
            answer: Some(answer.answer),
        },
        Ok(_) => TryEnd::lost("the runner answered another request"),
        Err(error) => TryEnd::lost(format!("the runner's answer is malformed: {error}")),
    }
}

/// Only the runner's own word for this very request makes it "not run".
fn read_refusal(request: &RunnerRequest, body: &[u8]) -> TryEnd {
    match serde_json::from_slice::<RunnerRefusal>(body) {
        Ok(refusal) if refusal.request_id == request.request_id => {
            TryEnd::of(TryOutcome::Refused {
                reason: refusal.reason.into(),
                load: RunnerLoadSeen::from(&refusal.load),
            })
        }
        Ok(_) => TryEnd::lost("the runner refused another request"),
        Err(error) => TryEnd::lost(format!("the runner's refusal is malformed: {error}")),
    }
}
