//! The dispatcher of one entry host: decides on every short request that is here.

use std::collections::BTreeMap;

use ragwortwick_border::RunnerStatus;
use ragwortwick_core::{DurationMs, HostName, NotRunReason, TimeMs, ZoneName};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::entry::{ClaimState, Ending, Request};
use super::lifecycle::{Happening, Lifecycle, lifecycle};
use super::messages::{Arrival, ClaimOutcome, RequestAction, RequestEvent, RequestNotice, Ticket};
use super::queue::{ClassKey, Queue, Room, Sureness};
use super::runners::Runners;
use super::standing::Change;

/// Shortest time to come back that a refusal names.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// Time to come back where nothing better is known.
pub(super) const RETRY_AFTER_UNKNOWN_MS: u64 = 1_000;

/// Interval of looking for room while requests wait.
const LOOK_AGAIN_MS: DurationMs = DurationMs(50);

/// `DispatcherOptions` sets the bounds of a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatcherOptions {
    /// Most requests waiting at once on this host.
    pub max_waiting: u32,
    /// Longest deadline that a request can have.
    pub longest_deadline_ms: DurationMs,
}

impl Default for DispatcherOptions {
    fn default() -> Self {
        Self {
            max_waiting: 4_096,
            longest_deadline_ms: DurationMs(120_000),
        }
    }
}

/// `DispatcherLoad` counts the requests of a dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatcherLoad {
    /// Requests on runners now.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// `Dispatcher` decides on admission, order, runner, retries and verdict of short requests.
#[derive(Debug)]
pub struct Dispatcher {
    options: DispatcherOptions,
    pub(super) chart: Lifecycle,
    pub(super) random: Pcg64Mcg,
    pub(super) queue: Queue,
    pub(super) runners: Runners,
    pub(super) requests: BTreeMap<Ticket, Request>,
    pub(super) running: u32,
    has_table: bool,
}

impl Dispatcher {
    /// `new` makes a dispatcher that knows neither table nor runners; `seed` drives its randomness.
    #[must_use]
    pub fn new(zone: ZoneName, options: DispatcherOptions, seed: u64) -> Self {
        Self {
            options,
            chart: lifecycle(),
            random: Pcg64Mcg::seed_from_u64(seed),
            queue: Queue::default(),
            runners: Runners::new(zone),
            requests: BTreeMap::new(),
            running: 0,
            has_table: false,
        }
    }

    /// `on_event` takes in one event and returns what to do, in order.
    pub fn on_event(&mut self, now: TimeMs, event: RequestEvent) -> Vec<RequestAction> {
        let mut out = Vec::new();
        match event {
            RequestEvent::TableInForce(table) => {
                self.queue.set_table(now, &table);
                self.has_table = true;
            }
            RequestEvent::RunnersListed(list) => {
                let changes = self.runners.set_list(list);
                out.extend(changes.into_iter().map(notice));
            }
            RequestEvent::EntryHostsKnown(count) => self.runners.set_entry_hosts(count),
            RequestEvent::LeavingSeenByPeer(runner) => {
                let known = self.runners.get_mut(&runner);
                let change = known.and_then(|r| r.standing.on_peer_saw_leaving(now, &runner));
                out.extend(change.map(notice));
            }
            RequestEvent::Arrived(arrival) => self.admit(now, arrival, &mut out),
            RequestEvent::ClaimDecided { ticket, outcome } => {
                self.on_claim(now, ticket, outcome, &mut out);
            }
            RequestEvent::TryEnded { ticket, outcome } => {
                self.on_try_ended(now, ticket, &outcome, &mut out);
            }
            RequestEvent::CallerLeft(ticket) => {
                self.step(now, ticket, Happening::CallerLeft, None, &mut out);
            }
            RequestEvent::ConnectionClosed(runner) => {
                let known = self.runners.get_mut(&runner);
                if known.is_some_and(|r| r.standing.on_closed(now)) {
                    out.push(RequestAction::Probe(runner));
                }
            }
            RequestEvent::Probed { runner, load } => self.on_probed(now, &runner, load, &mut out),
            RequestEvent::Tick => {}
        }
        self.pump(now, &mut out);
        out
    }

    /// `next_wakeup` tells when a `Tick` is due, if anything waits for time to pass.
    #[must_use]
    pub fn next_wakeup(&self, now: TimeMs) -> Option<TimeMs> {
        let probes = self.runners.iter();
        let next_probe = probes.filter_map(|(_, r)| r.standing.next_probe_at()).min();
        let overdue = self.queue.next_overdue_at(now);
        // Slots that other hosts give back are not reported to a host that has nothing there.
        let look_again = (self.queue.waiting() > 0).then(|| now + LOOK_AGAIN_MS);
        let due = next_probe.into_iter().chain(overdue).chain(look_again);
        due.min()
    }

    /// `load` counts what is here.
    #[must_use]
    pub fn load(&self) -> DispatcherLoad {
        DispatcherLoad {
            running: self.running,
            waiting: self.queue.waiting(),
        }
    }

    /// `runners` gives the operators' view of the runners.
    #[must_use]
    pub fn runners(&self, now: TimeMs) -> Vec<RunnerStatus> {
        let runners = self.runners.iter();
        runners
            .map(|(name, runner)| RunnerStatus {
                runner: name.clone(),
                zone: runner.zone().clone(),
                state: runner.standing.name().to_owned(),
                busy: runner.busy(now),
                slots: runner.slots(),
            })
            .collect()
    }

    /// `leaving_runners` lists the runners that are seen leaving here, for the peers.
    #[must_use]
    pub fn leaving_runners(&self) -> Vec<HostName> {
        let runners = self.runners.iter();
        runners
            .filter(|(_, runner)| runner.standing.is_leaving())
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn admit(&mut self, now: TimeMs, arrival: Arrival, out: &mut Vec<RequestAction>) {
        let ticket = arrival.ticket;
        if let Err(ending) = self.try_admit(now, arrival, out) {
            out.push(RequestAction::Finish {
                ticket,
                verdict: ending.verdict(),
            });
        }
    }

    fn try_admit(
        &mut self,
        now: TimeMs,
        arrival: Arrival,
        out: &mut Vec<RequestAction>,
    ) -> Result<(), Ending> {
        let key = ClassKey {
            customer: arrival.customer,
            class: arrival.class,
        };
        let longest_ms = self.options.longest_deadline_ms;
        let max_waiting = self.options.max_waiting;
        let back_after_ms = self.back_after_ms(now);
        let Some(line) = self.queue.open_line(&key) else {
            return Err(Ending::new(NotRunReason::NoRunner, back_after_ms));
        };
        let within_ms = arrival.deadline_ms.unwrap_or(line.row.deadline_ms);
        let deadline = now + within_ms.min(longest_ms);
        let wait_ms = line.pace.wait_ms(now, line.waiting());
        if now + wait_ms + line.run_time.mean_ms(now) >= deadline {
            let reason = NotRunReason::DeadlineUnmeetable;
            return Err(Ending::new(reason, wait_ms.max(back_after_ms)));
        }
        // Every request passes through its line, so even a line of length 0 has one place.
        if line.waiting() >= line.row.max_queued.max(1) {
            let back_ms = wait_ms.max(back_after_ms);
            return Err(Ending::new(NotRunReason::QueueFull, back_ms));
        }
        if let Err(back_ms) = line.rate.take(now) {
            return Err(Ending::new(NotRunReason::RateLimited, back_ms));
        }
        if self.queue.waiting() >= max_waiting {
            let Some(victim) = self.queue.least_worth(max_waiting, &key) else {
                return Err(Ending::new(NotRunReason::Shed, back_after_ms));
            };
            let ending = Ending::new(NotRunReason::Shed, back_after_ms);
            self.step(now, victim, Happening::GivenUp, Some(ending), out);
        }
        let request = Request {
            phase: self.chart.initial(),
            deadline,
            is_repeatable: arrival.is_repeatable,
            claim: if arrival.needs_claim {
                ClaimState::Needed
            } else {
                ClaimState::NotNeeded
            },
            may_have_run: false,
            is_retry: false,
            tries: 0,
            runner: None,
            tried: Vec::new(),
            sent_at: now,
            key: key.clone(),
        };
        self.requests.insert(arrival.ticket, request);
        self.queue.push(&key, deadline, arrival.ticket);
        Ok(())
    }

    fn on_claim(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        outcome: ClaimOutcome,
        out: &mut Vec<RequestAction>,
    ) {
        match outcome {
            ClaimOutcome::Made => {
                if let Some(request) = self.requests.get_mut(&ticket) {
                    request.claim = ClaimState::Held;
                }
                self.step(now, ticket, Happening::ClaimMade, None, out);
            }
            ClaimOutcome::HeldElsewhere => {
                self.release_slot(ticket);
                self.step(now, ticket, Happening::ClaimHeld, None, out);
            }
            ClaimOutcome::StoreAway => {
                self.release_slot(ticket);
                let back_ms = self.jittered(RETRY_AFTER_UNKNOWN_MS);
                let ending = Ending::new(NotRunReason::StoreAway, back_ms);
                self.step(now, ticket, Happening::GivenUp, Some(ending), out);
            }
        }
    }

    /// Sends what can be sent, gives up what is late and asks for probes that are due.
    fn pump(&mut self, now: TimeMs, out: &mut Vec<RequestAction>) {
        let random = &mut self.random;
        for (name, runner) in self.runners.iter_mut() {
            if runner.standing.probe_due(now, random) {
                out.push(RequestAction::Probe(name.clone()));
            }
        }
        self.give_up_overdue(now, Sureness::Probable, out);
        self.start_all(now, out);
        self.give_up_overdue(now, Sureness::AlmostSure, out);
    }

    fn start_all(&mut self, now: TimeMs, out: &mut Vec<RequestAction>) {
        loop {
            let room = Room {
                for_urgent: self.runners.has_room(now, true),
                for_routine: self.runners.has_room(now, false),
                slots: self.runners.slots(),
            };
            let Some(ticket) = self.queue.next(room) else {
                return;
            };
            if !self.start(now, ticket, out) {
                return;
            }
        }
    }

    fn give_up_overdue(&mut self, now: TimeMs, sureness: Sureness, out: &mut Vec<RequestAction>) {
        let back_at = (!self.runners.is_any_usable())
            .then(|| self.runners.next_return(now).unwrap_or(TimeMs(u64::MAX)));
        let reason = match back_at {
            Some(_) => NotRunReason::NoRunner,
            None => NotRunReason::DeadlineUnmeetable,
        };
        while let Some(ticket) = self.queue.overdue(now, back_at, sureness) {
            let ending = Ending::new(reason, self.back_after_ms(now));
            self.step(now, ticket, Happening::GivenUp, Some(ending), out);
        }
    }

    fn start(&mut self, now: TimeMs, ticket: Ticket, out: &mut Vec<RequestAction>) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return false;
        };
        let line = self.queue.line(&request.key);
        let is_urgent = line.is_some_and(|line| line.row.urgent);
        let chosen = self
            .runners
            .choose(now, is_urgent, &request.tried, &mut self.random);
        let Some(name) = chosen else {
            return false;
        };
        if let Some(runner) = self.runners.get_mut(&name) {
            runner.begin();
        }
        request.runner = Some(name);
        self.queue.remove(&request.key, request.deadline, ticket);
        self.queue.begin(now, &request.key);
        self.running += 1;
        request.tries += 1;
        if request.tries == 1
            && let Some(customer) = self.queue.customer(&request.key.customer)
        {
            customer.budget.on_first_try();
        }
        self.step(now, ticket, Happening::Picked, None, out);
        true
    }

    /// When a caller may come back: with the first runner that returns, else soon; spread out, so
    /// that refused callers don't all come back in the same moment.
    pub(super) fn back_after_ms(&mut self, now: TimeMs) -> DurationMs {
        let returns = self.runners.next_return(now);
        let base_ms = match returns {
            _ if !self.has_table => RETRY_AFTER_UNKNOWN_MS,
            _ if self.runners.is_any_usable() => RETRY_AFTER_MIN_MS,
            Some(at) => at.since(now).0.max(RETRY_AFTER_MIN_MS),
            None => RETRY_AFTER_UNKNOWN_MS,
        };
        self.jittered(base_ms)
    }

    fn jittered(&mut self, base_ms: u64) -> DurationMs {
        DurationMs(base_ms + self.random.random_range(0..=base_ms / 2))
    }
}

pub(super) fn notice(change: Change) -> RequestAction {
    RequestAction::Notice(RequestNotice::RunnerJudged {
        runner: change.runner,
        state: change.state,
        reason: change.reason,
    })
}
