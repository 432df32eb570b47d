//! Runners (backend servers): slots, load reports, leaving and faults.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::panic::RefUnwindSafe;
use std::sync::{Arc, Mutex};

use gotham::handler::SimpleHandlerResult;
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState, StateData};
use gotham::state::State;
use http::StatusCode;
use ragwortwick_border::{
    HostEntry, HostKind, HostState, RunnerAnswer, RunnerLoad, RunnerRefusal, RunnerRefusalReason,
    RunnerRequest,
};
use ragwortwick_core::{DurationMs, Epoch, HostName, ZoneName, common};
use ragwortwick_http::{Server, ServerOptions, json_response};
use serde::{Deserialize, Serialize};

use crate::admin::{self, Answer, Role, RouteBuilder, call, pass};
use crate::clock::pause;
use crate::faults::{Faults, Gate, lock};
use crate::now;
use crate::start_log::{LogEntry, LogEvent, StartLog};

/// `RunnerOptions` describes one runner.
#[common]
pub struct RunnerOptions {
    /// Its name.
    pub name: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// `RunnersOptions` describes runners that differ only in their number and zone.
#[common]
pub struct RunnersOptions {
    /// The zones; runners are dealt out to them in turn.
    pub zones: Vec<ZoneName>,
    /// Number of runners.
    pub count: usize,
    /// Slots of each.
    pub slots: u32,
}

/// `Runner` is one running runner.
#[derive(Debug)]
pub struct Runner {
    shared: RunnerShared,
    options: RunnerOptions,
    server: Server,
}

/// `Runners` is a set of running runners, each with its own address.
#[derive(Debug)]
pub struct Runners {
    /// The runners in the order of their names.
    pub all: Vec<Runner>,
}

#[derive(Clone, Debug, StateData)]
struct RunnerShared {
    gate: Gate,
    log: StartLog,
    name: HostName,
    slots: u32,
    busy: Arc<Mutex<u32>>,
    last_answer: Arc<Mutex<Option<RunnerAnswer>>>,
}

// gotham asks for this mark; a panic of a stand-in fails its test anyway.
impl RefUnwindSafe for RunnerShared {}

impl Role for RunnerShared {
    fn gate(&self) -> &Gate {
        &self.gate
    }

    fn log(&self) -> &StartLog {
        &self.log
    }

    fn on_faults(&self, _faults: &Faults) {}
}

/// `Work` is what a request's payload asks the stand-in to do.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Work {
    work_ms: DurationMs,
    echo: String,
}

impl RunnerShared {
    fn load(&self) -> RunnerLoad {
        RunnerLoad {
            slots: self.slots,
            busy: *lock(&self.busy),
            is_leaving: self.gate.faults("", "run").leaving,
        }
    }

    /// `admit` takes a slot, or says why the request does not start.
    fn admit(&self) -> Option<RunnerRefusalReason> {
        let faults = self.gate.faults("", "run");
        let mut busy = lock(&self.busy);
        if faults.leaving {
            return Some(RunnerRefusalReason::Leaving);
        }
        if faults.fail_starts {
            return Some(RunnerRefusalReason::Failing);
        }
        if *busy >= self.slots {
            return Some(RunnerRefusalReason::Busy);
        }
        *busy += 1;
        None
    }

    async fn work(self, request: RunnerRequest) -> RunnerAnswer {
        self.note(&request, LogEvent::Started);
        // A payload that is no JSON of ours is answered with itself.
        let work: Work = serde_json::from_str(&request.payload).unwrap_or_else(|_| Work {
            echo: request.payload.clone(),
            ..Work::default()
        });
        pause(work.work_ms).await;
        *lock(&self.busy) -= 1;
        self.note(&request, LogEvent::Finished);
        let answer = RunnerAnswer {
            request_id: request.request_id,
            answer: work.echo,
            load: self.load(),
        };
        let earlier = lock(&self.last_answer).replace(answer.clone());
        match earlier {
            Some(earlier) if self.gate.take("", "run", |f| &mut f.stale_answers) => earlier,
            _ => answer,
        }
    }

    fn note(&self, request: &RunnerRequest, event: LogEvent) {
        self.log.push(LogEntry {
            at_ms: now(),
            place: self.name.to_string(),
            id: request.request_id.to_string(),
            event,
            epoch: Epoch(0),
        });
    }
}

impl Runner {
    /// `bind` starts a runner.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: &str, options: RunnerOptions) -> io::Result<Self> {
        let shared = RunnerShared {
            gate: Gate::default(),
            log: StartLog::default(),
            name: options.name.clone(),
            slots: options.slots,
            busy: Arc::default(),
            last_answer: Arc::default(),
        };
        let router = admin::router(shared.clone(), draw);
        let server = Server::bind(address, router, ServerOptions::default()).await?;
        Ok(Self {
            shared,
            options,
            server,
        })
    }

    /// `address` is where the runner answers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// `name` is the runner's name.
    #[must_use]
    pub fn name(&self) -> &HostName {
        &self.options.name
    }

    /// `entry` is the runner's line in the platform's host list.
    #[must_use]
    pub fn entry(&self) -> HostEntry {
        HostEntry {
            name: self.options.name.clone(),
            kind: HostKind::Runner,
            zone: self.options.zone.clone(),
            address: self.address().to_string(),
            peer_address: None,
            rack: None,
            accelerators: 0,
            slots: self.options.slots,
            state: HostState::Live,
        }
    }

    /// `set_faults` replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// `calls` counts calls by kind.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.shared.gate.calls()
    }

    /// `log` shows what was started and ended.
    #[must_use]
    pub fn log(&self) -> &StartLog {
        &self.shared.log
    }

    /// `close` lets begun requests finish and ends the runner.
    pub async fn close(self) {
        self.shared.gate.close();
        self.server.close().await;
    }
}

impl Runners {
    /// `bind` starts the runners, each on a port of its own.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn bind(ip: &str, options: &RunnersOptions) -> io::Result<Self> {
        let mut all = Vec::with_capacity(options.count);
        let zones = options.zones.iter().cycle();
        for (index, zone) in zones.take(options.count).enumerate() {
            let runner = RunnerOptions {
                name: HostName::new(format!("runner-{index}")),
                zone: zone.clone(),
                slots: options.slots,
            };
            all.push(Runner::bind(&format!("{ip}:0"), runner).await?);
        }
        Ok(Self { all })
    }

    /// `starts` counts the starts of a request on all runners.
    #[must_use]
    pub fn starts(&self, request_id: &str) -> usize {
        self.all
            .iter()
            .map(|runner| runner.log().count(request_id, LogEvent::Started))
            .sum()
    }

    /// `close` ends all runners.
    pub async fn close(self) {
        for runner in self.all {
            runner.close().await;
        }
    }
}

fn draw(route: &mut RouteBuilder<'_, RunnerShared>) {
    route.post("/v1/run").to_async_borrowing(run);
    route.get("/v1/load").to_async_borrowing(load);
}

/// `RunOutcome` is the body of an answer to a request.
#[derive(Serialize)]
#[serde(untagged)]
enum RunOutcome {
    Answer(RunnerAnswer),
    Refusal(RunnerRefusal),
}

async fn run(state: &mut State) -> SimpleHandlerResult {
    call(
        state,
        "",
        "run",
        |runner: RunnerShared, request: RunnerRequest| async move {
            if let Some(reason) = runner.admit() {
                return refuse(&runner, request, reason);
            }
            // The work goes on when the caller's connection breaks, as in a real runner.
            let work = tokio::spawn(runner.clone().work(request.clone()));
            match work.await {
                Ok(answer) => Answer::ok(RunOutcome::Answer(answer)),
                Err(_) => refuse(&runner, request, RunnerRefusalReason::Failing),
            }
        },
    )
    .await
}

fn refuse(
    runner: &RunnerShared,
    request: RunnerRequest,
    reason: RunnerRefusalReason,
) -> Answer<RunOutcome> {
    Answer {
        status: StatusCode::SERVICE_UNAVAILABLE,
        body: RunOutcome::Refusal(RunnerRefusal {
            request_id: request.request_id,
            reason,
            load: runner.load(),
        }),
    }
}

async fn load(state: &mut State) -> SimpleHandlerResult {
    let runner = RunnerShared::borrow_from(state).clone();
    if let Some(refusal) = pass(state, &runner.gate, "", "load").await {
        return Ok(refusal);
    }
    let response = json_response(state, StatusCode::OK, &runner.load());
    Ok(runner.gate.leave("", "load", response).await)
}
