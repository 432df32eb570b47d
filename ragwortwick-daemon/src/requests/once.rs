//! Requests that must not be repeated: each id runs on one host, once.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::future::join_all;
use ragwortwick_border::{
    ForwardRequest, PeerCall, PeerReply, RefusalVerdict, RequestOutcome, RequestSubmit, SeenReply,
    SeenRequest,
};
use ragwortwick_core::{DurationMs, RequestId, TimeMs};
use ragwortwick_policy::{
    Begin, HOME_WINDOW_MS, IssuedId, IssuedIdState, RunKey, RunLog, RunLogOptions, Settlement,
};
use tokio::sync::watch;

use super::answers::{may_have_run, not_run};
use super::duty::Claim;
use super::handle::RequestsHandle;

/// Requests remembered for the window: at 100 a second the window of 600 s needs 60,000.
const MAX_REMEMBERED: usize = 100_000;

/// Bytes of answers kept for repeats.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Time to come back when too much is remembered.
const FULL_RETRY_MS: DurationMs = DurationMs(5_000);

/// Longest wait for a peer's word; peers in reach answer in milliseconds.
const SEEN_TIMEOUT_MS: DurationMs = DurationMs(300);

type Waiter = watch::Receiver<Option<RequestOutcome>>;

/// `OnceLog` is the host's memory of requests that must not be repeated.
#[derive(Debug)]
pub(super) struct OnceLog(Mutex<RunLog<Waiter, RequestOutcome>>);

impl OnceLog {
    pub(super) fn new() -> Self {
        Self(Mutex::new(RunLog::new(RunLogOptions {
            max_entries: MAX_REMEMBERED,
            max_answer_bytes: MAX_ANSWER_BYTES,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, RunLog<Waiter, RequestOutcome>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RequestsHandle {
    /// `submit_once` runs a request at most once over all entry hosts.
    pub(super) async fn submit_once(
        &self,
        id: RequestId,
        request: RequestSubmit,
        is_forwarded: bool,
    ) -> RequestOutcome {
        let Some(issued) = IssuedId::parse(&id) else {
            let forget_at = self.now() + HOME_WINDOW_MS;
            return self.run_once(id, request, forget_at, true).await;
        };
        if issued.home != *self.host() {
            if is_forwarded {
                return may_have_run(Some(&id), "this host is not the home of the request id");
            }
            return self.forward(&id, &issued, request).await;
        }
        match issued.state(self.now(), self.incarnation(), self.issued_so_far()) {
            IssuedIdState::Usable => {
                let forget_at = issued.issued_at + HOME_WINDOW_MS;
                self.run_once(id, request, forget_at, false).await
            }
            IssuedIdState::OtherIncarnation => may_have_run(
                Some(&id),
                "the home of the request id has started anew and may have run it before",
            ),
            IssuedIdState::Expired => {
                may_have_run(Some(&id), "the request id is older than its home remembers")
            }
            IssuedIdState::NeverIssued => {
                not_run(Some(&id), "this request id was never issued", DurationMs(0))
            }
        }
    }

    /// Only the home may run an issued id. If it does not answer, it may have run the request for
    /// a copy that reached it before, so nobody else runs it.
    async fn forward(
        &self,
        id: &RequestId,
        issued: &IssuedId,
        request: RequestSubmit,
    ) -> RequestOutcome {
        let remaining_ms = self.deadline_ms(&request);
        let call = PeerCall::Forward(ForwardRequest {
            request,
            remaining_ms,
        });
        let peers = self.peers();
        match peers.call(&issued.home, call, remaining_ms).await {
            Ok(PeerReply::Outcome(outcome)) => outcome,
            Ok(_) => may_have_run(Some(id), "the home of the request id does not serve it"),
            Err(error) => {
                let reason = format!("the home of the request id does not answer: {error}");
                may_have_run(Some(id), reason)
            }
        }
    }

    async fn run_once(
        &self,
        id: RequestId,
        request: RequestSubmit,
        forget_at: TimeMs,
        needs_claim: bool,
    ) -> RequestOutcome {
        let key = RunKey {
            customer: request.customer.clone(),
            request_id: id.clone(),
        };
        let own_id = id.clone();
        let (done, waiter) = watch::channel(None);
        let begin = {
            let mut log = self.once().lock();
            log.begin(
                self.now(),
                &key,
                fingerprint(&request),
                forget_at,
                waiter.clone(),
            )
        };
        match begin {
            Begin::Begun => {
                // The run must be noted even if the caller goes away, so it has its own task.
                let this = self.clone();
                tokio::spawn(async move {
                    let claim = needs_claim.then(|| this.claim_of(&key));
                    let outcome = this.run(id, request, claim.clone()).await;
                    let outcome = this.beyond_store(&key, claim.as_ref(), outcome).await;
                    let settlement = settlement(claim.as_ref(), &outcome);
                    this.once().lock().settle(&key, settlement);
                    done.send_replace(Some(outcome));
                });
                wait(waiter, &own_id).await
            }
            Begin::Running(waiter) => wait(waiter, &id).await,
            Begin::Answered(outcome) => outcome,
            Begin::MayHaveRun => may_have_run(Some(&id), "it was sent before and may have run"),
            Begin::OtherRequest => may_have_run(
                Some(&id),
                "the id stands for another request of this customer, which may have run",
            ),
            Begin::Full => not_run(
                Some(&id),
                "too many requests are remembered that must not be repeated",
                FULL_RETRY_MS,
            ),
        }
    }

    /// With the store away nobody can see the claims, and a peer may have run a copy of the request
    /// before: "not run" would be true of this copy only. So the peers in reach are asked first.
    async fn beyond_store(
        &self,
        key: &RunKey,
        claim: Option<&Claim>,
        outcome: RequestOutcome,
    ) -> RequestOutcome {
        if !claim.is_some_and(|claim| claim.is_store_away.load(Ordering::Acquire)) {
            return outcome;
        }
        let asked = self.peers().reachable().into_iter().map(|peer| async move {
            let call = PeerCall::Seen(SeenRequest {
                customer: key.customer.clone(),
                request_id: key.request_id.clone(),
            });
            let reply = self.peers().call(&peer, call, SEEN_TIMEOUT_MS).await;
            matches!(reply, Ok(PeerReply::Seen(SeenReply { is_known: true })))
        });
        if join_all(asked).await.contains(&true) {
            let reason = "another entry host has taken this request id";
            return may_have_run(Some(&key.request_id), reason);
        }
        outcome
    }

    /// `knows` tells whether a request runs here or may have run here.
    pub(crate) fn knows(&self, seen: &SeenRequest) -> bool {
        let key = RunKey {
            customer: seen.customer.clone(),
            request_id: seen.request_id.clone(),
        };
        self.once().lock().is_known(self.now(), &key)
    }

    fn claim_of(&self, key: &RunKey) -> Claim {
        Claim {
            id: format!("{}/{}", key.customer, key.request_id),
            nonce: self.fresh_nonce(),
            is_held_elsewhere: Arc::default(),
            is_store_away: Arc::default(),
        }
    }
}

async fn wait(mut waiter: Waiter, id: &RequestId) -> RequestOutcome {
    let outcome = waiter.wait_for(Option::is_some).await;
    let outcome = outcome.ok().and_then(|outcome| outcome.clone());
    outcome.unwrap_or_else(|| may_have_run(Some(id), "this host lost track of the request"))
}

fn settlement(claim: Option<&Claim>, outcome: &RequestOutcome) -> Settlement<RequestOutcome> {
    // What other hosts do with an id is in the store and in their logs, not in this one.
    let is_elsewhere = claim.is_some_and(|claim| {
        claim.is_held_elsewhere.load(Ordering::Acquire)
            || claim.is_store_away.load(Ordering::Acquire)
    });
    if is_elsewhere {
        return Settlement::NotRun;
    }
    match outcome {
        RequestOutcome::Answered(answer) => Settlement::Answered {
            answer: outcome.clone(),
            answer_bytes: answer.answer.len(),
        },
        RequestOutcome::Refused(refusal) => match refusal.verdict {
            RefusalVerdict::NotRun => Settlement::NotRun,
            RefusalVerdict::MayHaveRun => Settlement::MayHaveRun,
        },
    }
}

/// Tells two requests apart that carry one id by mistake; it never leaves the process.
fn fingerprint(request: &RequestSubmit) -> u64 {
    let mut hasher = DefaultHasher::new();
    request.class.hash(&mut hasher);
    request.payload.hash(&mut hasher);
    hasher.finish()
}
