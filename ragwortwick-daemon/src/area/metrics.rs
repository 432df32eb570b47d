//! Counters and histograms of an area's entry host, served as Prometheus text.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use gotham::handler::SimpleHandlerResult;
use gotham::helpers::http::response::create_response;
use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{single_middleware, single_pipeline};
use gotham::prelude::{DefineSingleRoute, DrawRoutes, FromState, StateData};
use gotham::router::Router;
use gotham::router::builder::build_router;
use gotham::state::State;
use http::StatusCode;
use prometheus::core::Collector;
use prometheus::{
    CounterVec, Encoder, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use ragwortwick_adapter::StoreCallCounts;
use ragwortwick_area::{LoadPicture, SpeedCounts};
use ragwortwick_core::ZoneName;
use ragwortwick_http::{MemoryBudget, ServerCounts};

use super::replica::JobReplica;

/// Buckets of the time to accept a job, from a round trip to the store to the client's deadline.
const ACCEPT_BUCKETS_S: [f64; 8] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 1.0, 3.0];

/// Buckets of a job's time from acceptance to its end, from seconds to hours.
const END_BUCKETS_S: [f64; 10] = [
    1.0, 2.5, 5.0, 10.0, 20.0, 60.0, 300.0, 1_800.0, 7_200.0, 28_800.0,
];

/// Buckets of the time a job spends queued, requeued, starting or running, from a round trip to a worker to
/// hours.
const PART_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 20.0, 300.0, 7_200.0];

/// Buckets of the time until a cancel arrives at the coordinator, from one watch to several that time out.
const CANCEL_BUCKETS_S: [f64; 8] = [0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 2.5, 5.0];

/// `AreaMetrics` holds the metrics of one host; clones share them.
#[derive(Clone, Debug)]
pub(super) struct AreaMetrics {
    registry: Registry,
    /// Submitted jobs, by customer and outcome.
    pub(super) submissions: IntCounterVec,
    /// Time to accept a job, by customer.
    pub(super) accept_seconds: HistogramVec,
    /// Time from acceptance to the end, by customer and phase; recorded by the coordinator.
    pub(super) job_end_seconds: HistogramVec,
    /// Time from a host's storing a cancel to its arrival at the coordinator; recorded by the coordinator.
    pub(super) cancel_seconds: Histogram,
    /// Time a job spent queued, requeued, starting and running, by customer, queue and part; recorded by the
    /// coordinator.
    pub(super) job_part_seconds: HistogramVec,
    /// Ended runs, by cause; counted by the coordinator.
    pub(super) runs_ended: IntCounterVec,
    pub(super) run_end_evidence: IntCounterVec,
    /// Tasks and gangs stopped for other steps, by why they could be; counted by the coordinator.
    pub(super) preemptions: IntCounterVec,
    /// Workers lost with runs on them, by cause; counted by the coordinator.
    pub(super) workers_lost: IntCounterVec,
    /// Runs reported without an allocation, by phase of their job; counted by the coordinator.
    pub(super) untracked_runs: IntCounterVec,
    /// Lost work, which has to be redone, by cause; counted by the coordinator.
    pub(super) lost_core_seconds: CounterVec,
    /// Requests refused because a limit of this host is reached, by limit.
    pub(super) limit_refusals: IntCounterVec,
    /// Calls to the store without a usable reply, by feed.
    pub(super) feed_failures: IntCounterVec,
    /// Version of the desired state in force on this host; zero before the first.
    pub(super) desired_version: IntGauge,
    /// Whether a zone is evacuated, as this host knows it, by zone.
    evacuated_zones: IntGaugeVec,
    /// Workers by what is known of their speed; set by the coordinator.
    workers_by_speed: IntGaugeVec,
    /// Expected wait by queue, for queues that are short of capacity; set by the coordinator.
    queue_wait_seconds: GaugeVec,
    /// Whether this host is the coordinator.
    pub(super) is_coordinator: IntGauge,
    store_calls: IntGaugeVec,
    closed_connections: IntGaugeVec,
    memory_bytes: IntGaugeVec,
    usage: UsageSources,
}

/// `UsageSources` are the counters that are read when the metrics are shown.
#[derive(Clone, Debug)]
pub(super) struct UsageSources {
    pub(super) store_calls: Arc<StoreCallCounts>,
    pub(super) server: Arc<ServerCounts>,
    pub(super) request_memory: MemoryBudget,
    pub(super) replica: JobReplica,
}

impl AreaMetrics {
    /// `open` registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub(super) fn open(usage: UsageSources) -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            register(
                &registry,
                IntCounterVec::new(Opts::new(name, help), labels)?,
            )
        };
        let histogram = |name: &str, help: &str, labels: &[&str], buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            register(&registry, HistogramVec::new(options, labels)?)
        };
        let submissions = counter(
            "ragwortwick_area_jobs_total",
            "Jobs handed in at this host",
            &["customer", "outcome"],
        )?;
        let runs_ended = counter(
            "ragwortwick_area_runs_over_total",
            "Runs that are over, by this host as coordinator",
            &["cause"],
        )?;
        let run_end_evidence = counter(
            "ragwortwick_area_run_end_evidence_total",
            "What showed that runs are over, by this host as coordinator",
            &["evidence"],
        )?;
        let preemptions = counter(
            "ragwortwick_area_preemptions_total",
            "Tasks and gangs stopped in favor of other steps, by this host as coordinator",
            &["kind", "is_guaranteed"],
        )?;
        let workers_lost = counter(
            "ragwortwick_area_workers_lost_total",
            "Workers that were lost with runs, by this host as coordinator",
            &["cause"],
        )?;
        let untracked_runs = counter(
            "ragwortwick_area_untracked_runs_total",
            "Runs that workers reported and that this host, as coordinator, had not placed",
            &["job_phase"],
        )?;
        let lost_core_seconds = lost_work_counter(&registry)?;
        let limit_refusals = counter(
            "ragwortwick_area_limit_refusals_total",
            "Requests refused because a limit of this host is reached",
            &["limit"],
        )?;
        let feed_failures = counter(
            "ragwortwick_area_feed_failures_total",
            "Calls of a reader of the store without a usable answer",
            &["feed"],
        )?;
        let accept_seconds = histogram(
            "ragwortwick_area_accept_seconds",
            "Time to take a job in",
            &["customer"],
            &ACCEPT_BUCKETS_S,
        )?;
        let job_end_seconds = histogram(
            "ragwortwick_area_job_end_seconds",
            "Time from a job's acceptance to its end, by this host as coordinator",
            &["customer", "phase"],
            &END_BUCKETS_S,
        )?;
        let cancel_seconds = cancel_histogram(&registry)?;
        let job_part_seconds = histogram(
            "ragwortwick_area_job_part_seconds",
            "Time that a job spent in a part of its way, by this host as coordinator",
            &["customer", "queue", "part"],
            &PART_BUCKETS_S,
        )?;
        let gauges = Gauges::open(&registry)?;
        Ok(Self {
            registry,
            submissions,
            accept_seconds,
            job_end_seconds,
            cancel_seconds,
            job_part_seconds,
            runs_ended,
            run_end_evidence,
            preemptions,
            workers_lost,
            untracked_runs,
            lost_core_seconds,
            limit_refusals,
            feed_failures,
            desired_version: gauges.desired_version,
            evacuated_zones: gauges.evacuated_zones,
            workers_by_speed: gauges.workers_by_speed,
            queue_wait_seconds: gauges.queue_wait_seconds,
            is_coordinator: gauges.is_coordinator,
            store_calls: gauges.store_calls,
            closed_connections: gauges.closed_connections,
            memory_bytes: gauges.memory_bytes,
            usage,
        })
    }

    pub(super) fn set_evacuated(&self, zone: &ZoneName, is_evacuated: bool) {
        self.evacuated_zones
            .with_label_values(&[zone.as_str()])
            .set(i64::from(is_evacuated));
    }

    pub(super) fn set_workers_by_speed(&self, counts: SpeedCounts) {
        let rows = [
            ("fast", counts.fast),
            ("normal", counts.normal),
            ("slow", counts.slow),
        ];
        for (speed, count) in rows {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.workers_by_speed.with_label_values(&[speed]).set(count);
        }
    }

    pub(super) fn set_queue_waits(&self, picture: &LoadPicture) {
        self.queue_wait_seconds.reset();
        for (queue, load) in &picture.queues {
            let wait = self.queue_wait_seconds.with_label_values(&[queue.as_str()]);
            wait.set(load.wait_ms.as_secs_f64());
        }
    }

    fn render(&self) -> prometheus::Result<Vec<u8>> {
        let calls = &self.usage.store_calls;
        let kinds = [
            ("read", &calls.reads),
            ("watch", &calls.watches),
            ("write", &calls.writes),
            ("renewal", &calls.renewals),
        ];
        set_all(&self.store_calls, kinds);
        let server = &self.usage.server;
        let reasons = [
            ("connections", &server.evicted_connections),
            ("memory", &server.evicted_bodies),
            ("no_memory", &server.requests_without_memory),
        ];
        set_all(&self.closed_connections, reasons);
        let uses = [
            ("requests", self.usage.request_memory.used_bytes()),
            ("jobs", self.usage.replica.memory_bytes()),
        ];
        for (label, bytes) in uses {
            let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
            self.memory_bytes.with_label_values(&[label]).set(bytes);
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Shows counters by label.
fn set_all<const N: usize>(gauges: &IntGaugeVec, counters: [(&str, &AtomicU64); N]) {
    for (label, counter) in counters {
        let count = i64::try_from(counter.load(Ordering::Relaxed)).unwrap_or(i64::MAX);
        gauges.with_label_values(&[label]).set(count);
    }
}

/// `Gauges` are the metrics that show a state rather than count events.
struct Gauges {
    desired_version: IntGauge,
    evacuated_zones: IntGaugeVec,
    workers_by_speed: IntGaugeVec,
    queue_wait_seconds: GaugeVec,
    is_coordinator: IntGauge,
    store_calls: IntGaugeVec,
    closed_connections: IntGaugeVec,
    memory_bytes: IntGaugeVec,
}

impl Gauges {
    fn open(registry: &Registry) -> prometheus::Result<Self> {
        let gauge = |name: &str, help: &str| register(registry, IntGauge::new(name, help)?);
        let gauges = |name: &str, help: &str, label: &str| {
            register(registry, IntGaugeVec::new(Opts::new(name, help), &[label])?)
        };
        let desired_version = gauge(
            "ragwortwick_area_desired_version",
            "Version of the desired state in force here",
        )?;
        let evacuated_zones = gauges(
            "ragwortwick_area_zone_evacuated",
            "Whether a zone is evacuated, as known here",
            "zone",
        )?;
        let workers_by_speed = gauges(
            "ragwortwick_area_workers_by_speed",
            "Workers by what this host, as coordinator, has learned of their speed",
            "speed",
        )?;
        let options = Opts::new(
            "ragwortwick_area_queue_wait_seconds",
            "Expected wait for a start in queues that are short of capacity",
        );
        let queue_wait_seconds = register(registry, GaugeVec::new(options, &["queue"])?)?;
        let is_coordinator = gauge(
            "ragwortwick_area_is_coordinator",
            "Whether this host coordinates",
        )?;
        let store_calls = gauges("ragwortwick_area_store_calls", "Calls to the store", "kind")?;
        let closed_connections = gauges(
            "ragwortwick_area_closed_connections",
            "Connections closed, and bodies refused, for want of connections or memory",
            "reason",
        )?;
        let memory_bytes = gauges(
            "ragwortwick_area_memory_bytes",
            "Memory that clients take of this host, as far as it is limited",
            "use",
        )?;
        Ok(Self {
            desired_version,
            evacuated_zones,
            workers_by_speed,
            queue_wait_seconds,
            is_coordinator,
            store_calls,
            closed_connections,
            memory_bytes,
        })
    }
}

fn cancel_histogram(registry: &Registry) -> prometheus::Result<Histogram> {
    let options = HistogramOpts::new(
        "ragwortwick_area_cancel_seconds",
        "Time from a cancel to its arrival at this host as coordinator",
    );
    let options = options.buckets(CANCEL_BUCKETS_S.to_vec());
    register(registry, Histogram::with_opts(options)?)
}

fn lost_work_counter(registry: &Registry) -> prometheus::Result<CounterVec> {
    let options = Opts::new(
        "ragwortwick_area_lost_core_seconds_total",
        "Core-equivalent seconds of work to do again, by this host as coordinator",
    );
    register(registry, CounterVec::new(options, &["cause"])?)
}

/// Registers a metric and returns it.
fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    metric: C,
) -> prometheus::Result<C> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

/// The metrics as gotham state. A panic ends the process, so no handler sees half-changed state.
#[derive(Clone, Debug, StateData)]
struct SharedMetrics(Arc<AssertUnwindSafe<AreaMetrics>>);

pub(super) fn router(metrics: AreaMetrics) -> Router {
    let shared = SharedMetrics(Arc::new(AssertUnwindSafe(metrics)));
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(shared)));
    build_router(chain, pipelines, |route| {
        route.get("/metrics").to_async_borrowing(show);
    })
}

async fn show(state: &mut State) -> SimpleHandlerResult {
    let text = SharedMetrics::borrow_from(state).0.render()?;
    Ok(create_response(
        state,
        StatusCode::OK,
        mime::TEXT_PLAIN,
        text,
    ))
}
