//! A dispatcher with a table and runners, and short ways to make events for it.

use std::sync::Arc;

use ragwortwick_border::{AcceptedTable, ClassRow, CustomerRow, PolicyWeights, Table};
use ragwortwick_core::{DurationMs, HostName, TimeMs, Verdict, ZoneName};
use ragwortwick_policy::{
    Arrival, Dispatcher, DispatcherOptions, RefusalSeen, RequestAction, RequestEvent, RunnerInfo,
    RunnerLoadSeen, Ticket, TryOutcome,
};

pub struct Rig {
    pub dispatcher: Dispatcher,
    pub now: TimeMs,
    next_ticket: u64,
}

pub fn class(customer: &str, class: &str) -> ClassRow {
    ClassRow {
        customer: customer.into(),
        class: class.into(),
        urgent: false,
        weight: 1.0,
        worth: 1.0,
        deadline_ms: DurationMs(10_000),
        max_in_flight: 1_000,
        max_queued: 10_000,
        rate_per_s: 100_000.0,
    }
}

pub fn urgent(customer: &str, name: &str) -> ClassRow {
    ClassRow {
        urgent: true,
        ..class(customer, name)
    }
}

pub fn table(customers: &[(&str, f64)], classes: Vec<ClassRow>) -> RequestEvent {
    let customers = customers.iter().map(|(name, weight)| CustomerRow {
        customer: (*name).into(),
        weight: *weight,
        max_queued_jobs: 10,
    });
    RequestEvent::TableInForce(Arc::new(AcceptedTable {
        number: 1,
        nonce: "n".to_owned(),
        accepted_by: "operator".to_owned(),
        accepted_at_ms: TimeMs(0),
        reason: "test".to_owned(),
        table: Table {
            customers: customers.collect(),
            guarantees: Vec::new(),
            classes,
            weights: PolicyWeights {
                completion: 1.0,
                fragmentation: 1.0,
            },
        },
    }))
}

pub fn runner(name: &str, slots: u32) -> RunnerInfo {
    RunnerInfo {
        runner: name.into(),
        zone: ZoneName::new("east"),
        slots,
        is_leaving: false,
    }
}

pub fn load(slots: u32, busy: u32) -> RunnerLoadSeen {
    RunnerLoadSeen {
        slots,
        busy,
        is_leaving: false,
    }
}

pub fn answered(slots: u32, busy: u32) -> TryOutcome {
    TryOutcome::Answered {
        load: load(slots, busy),
    }
}

pub fn refused(reason: RefusalSeen) -> TryOutcome {
    TryOutcome::Refused {
        reason,
        load: load(10, 0),
    }
}

pub fn lost() -> TryOutcome {
    TryOutcome::NoAnswer {
        reason: "test".to_owned(),
    }
}

impl Rig {
    /// One customer `padana` with the routine class `check` and the urgent class `plan`.
    pub fn new(runners: Vec<RunnerInfo>) -> Self {
        let classes = vec![class("padana", "check"), urgent("padana", "plan")];
        Self::with_table(runners, table(&[("padana", 1.0)], classes))
    }

    pub fn with_table(runners: Vec<RunnerInfo>, table: RequestEvent) -> Self {
        Self::seeded(runners, table, 7)
    }

    pub fn seeded(runners: Vec<RunnerInfo>, table: RequestEvent, seed: u64) -> Self {
        let zone = ZoneName::new("east");
        let mut rig = Self {
            dispatcher: Dispatcher::new(zone, DispatcherOptions::default(), seed),
            now: TimeMs(1_000_000),
            next_ticket: 0,
        };
        rig.on(table);
        rig.on(RequestEvent::RunnersListed(runners));
        rig
    }

    pub fn on(&mut self, event: RequestEvent) -> Vec<RequestAction> {
        self.dispatcher.on_event(self.now, event)
    }

    pub fn pass(&mut self, ms: u64) -> Vec<RequestAction> {
        self.now = self.now + DurationMs(ms);
        self.on(RequestEvent::Tick)
    }

    pub fn arrival(&mut self, customer: &str, class: &str) -> Arrival {
        self.next_ticket += 1;
        Arrival {
            ticket: Ticket(self.next_ticket),
            customer: customer.into(),
            class: class.into(),
            deadline_ms: None,
            is_repeatable: true,
            needs_claim: false,
        }
    }

    pub fn arrive(&mut self, customer: &str, class: &str) -> (Ticket, Vec<RequestAction>) {
        let arrival = self.arrival(customer, class);
        let ticket = arrival.ticket;
        (ticket, self.on(RequestEvent::Arrived(arrival)))
    }

    pub fn ended(&mut self, ticket: Ticket, outcome: TryOutcome) -> Vec<RequestAction> {
        self.on(RequestEvent::TryEnded { ticket, outcome })
    }
}

pub fn sends(actions: &[RequestAction]) -> Vec<(Ticket, HostName)> {
    actions
        .iter()
        .filter_map(|action| match action {
            RequestAction::Send { ticket, runner, .. } => Some((*ticket, runner.clone())),
            _ => None,
        })
        .collect()
}

pub fn probes(actions: &[RequestAction]) -> Vec<HostName> {
    actions
        .iter()
        .filter_map(|action| match action {
            RequestAction::Probe(runner) => Some(runner.clone()),
            _ => None,
        })
        .collect()
}

pub fn finishes(actions: &[RequestAction]) -> Vec<(Ticket, Verdict<()>)> {
    actions
        .iter()
        .filter_map(|action| match action {
            RequestAction::Finish { ticket, verdict } => Some((*ticket, verdict.clone())),
            _ => None,
        })
        .collect()
}

pub fn is_not_run(verdict: &Verdict<()>) -> bool {
    matches!(verdict, Verdict::NotRun { .. })
}

pub fn is_may_have_run(verdict: &Verdict<()>) -> bool {
    matches!(verdict, Verdict::MayHaveRun { .. })
}
