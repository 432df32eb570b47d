//! Metrics of the table in force, of the owned zone and of the store's calls.

use std::collections::BTreeMap;
use std::sync::Arc;

use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounterVec, Opts};
use ragwortwick_border::ZoneStatus;
use ragwortwick_core::{DurationMs, ZoneName};
use ragwortwick_platform::{CallCounts, StoreCallKind};
use ragwortwick_policy::ZoneNotice;

use super::MetricRegistry;

/// Buckets in seconds around the bounds that are promised: 5 s for urgent work, 8 s for a table.
const PROMISE_BUCKETS_S: [f64; 12] = [
    0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 8.0, 30.0, 120.0, 600.0, 3_600.0,
];

/// `StateMetrics` are the metrics of the table, the zone and its jobs; clones share them.
#[derive(Clone, Debug)]
pub struct StateMetrics {
    registry: MetricRegistry,
    /// Time from a job's acceptance to the start of its gang.
    pub job_wait_seconds: HistogramVec,
    /// Time from a call of a guarantee to its free accelerators.
    pub reclaim_seconds: HistogramVec,
    /// Gangs ended by customer.
    pub gangs_ended_total: IntCounterVec,
    /// Time from a table's acceptance until it is in force here.
    pub table_in_force_seconds: Histogram,
    /// Number of the table in force here.
    pub table_number: Gauge,
    /// Share of free accelerators that the largest guaranteed shape can't use.
    pub fragmentation_ratio: GaugeVec,
    /// Cells of a guarantee that do not fit on the workers left.
    pub guarantee_short_cells: GaugeVec,
    /// Jobs by state in the owned zone.
    pub zone_jobs: GaugeVec,
    /// Epoch under which this host owns the zone.
    pub zone_owned_epoch: GaugeVec,
}

impl StateMetrics {
    /// `open` registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have one name.
    pub fn open(registry: &MetricRegistry) -> prometheus::Result<Self> {
        let metrics = Self {
            registry: registry.clone(),
            job_wait_seconds: HistogramVec::new(
                histogram(
                    "job_wait_seconds",
                    "Time from a job's acceptance to its gang's start.",
                ),
                &["zone", "customer"],
            )?,
            reclaim_seconds: HistogramVec::new(
                histogram(
                    "reclaim_seconds",
                    "Time from a call of a guarantee to free accelerators.",
                ),
                &["zone", "customer"],
            )?,
            gangs_ended_total: IntCounterVec::new(
                opts("gangs_ended_total", "Gangs that ended, for any reason."),
                &["zone", "customer"],
            )?,
            table_in_force_seconds: Histogram::with_opts(histogram(
                "table_in_force_seconds",
                "Time from a table's acceptance until it is in force here.",
            ))?,
            table_number: Gauge::with_opts(opts(
                "table_number",
                "Number of the table in force here, 0 for none.",
            ))?,
            fragmentation_ratio: GaugeVec::new(
                opts(
                    "fragmentation_ratio",
                    "Share of free accelerators that the largest guaranteed shape can't use.",
                ),
                &["zone"],
            )?,
            guarantee_short_cells: GaugeVec::new(
                opts(
                    "guarantee_short_cells",
                    "Guaranteed cells that do not fit on the workers left.",
                ),
                &["zone", "customer"],
            )?,
            zone_jobs: GaugeVec::new(
                opts("zone_jobs", "Jobs of the owned zone by state."),
                &["zone", "state"],
            )?,
            zone_owned_epoch: GaugeVec::new(
                opts(
                    "zone_owned_epoch",
                    "Epoch under which this host owns the zone, absent if it does not.",
                ),
                &["zone"],
            )?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        let registry = &self.registry;
        registry.register(Box::new(self.job_wait_seconds.clone()))?;
        registry.register(Box::new(self.reclaim_seconds.clone()))?;
        registry.register(Box::new(self.gangs_ended_total.clone()))?;
        registry.register(Box::new(self.table_in_force_seconds.clone()))?;
        registry.register(Box::new(self.table_number.clone()))?;
        registry.register(Box::new(self.fragmentation_ratio.clone()))?;
        registry.register(Box::new(self.guarantee_short_cells.clone()))?;
        registry.register(Box::new(self.zone_jobs.clone()))?;
        registry.register(Box::new(self.zone_owned_epoch.clone()))
    }

    /// `follow_store` adds the store client's counters to the page.
    ///
    /// # Errors
    ///
    /// Fails if they are there already.
    pub fn follow_store(&self, counts: Arc<CallCounts>) -> prometheus::Result<()> {
        let calls = IntCounterVec::new(
            opts(
                "store_calls_total",
                "Calls to the platform's store by kind.",
            ),
            &["kind"],
        )?;
        self.registry
            .register(Box::new(StoreCalls { counts, calls }))
    }

    /// `observe_table_in_force` notes a table that came into force.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a gauge is a float; table numbers stay far below 2^52"
    )]
    pub fn observe_table_in_force(&self, number: u64, delay_ms: DurationMs) {
        self.table_number.set(number as f64);
        self.table_in_force_seconds.observe(seconds(delay_ms));
    }

    /// `observe_zone_notice` counts what the placer reports.
    pub fn observe_zone_notice(&self, zone: &ZoneName, notice: &ZoneNotice) {
        let zone = zone.as_str();
        match notice {
            ZoneNotice::GangStarted {
                customer, wait_ms, ..
            } => self
                .job_wait_seconds
                .with_label_values(&[zone, customer.as_str()])
                .observe(seconds(*wait_ms)),
            ZoneNotice::GangEnded { customer, .. } => self
                .gangs_ended_total
                .with_label_values(&[zone, customer.as_str()])
                .inc(),
            ZoneNotice::Reclaimed {
                customer,
                reclaim_ms,
            } => self
                .reclaim_seconds
                .with_label_values(&[zone, customer.as_str()])
                .observe(seconds(*reclaim_ms)),
            ZoneNotice::GuaranteeShort {
                customer,
                cells_short,
            } => self
                .guarantee_short_cells
                .with_label_values(&[zone, customer.as_str()])
                .set(f64::from(*cells_short)),
            ZoneNotice::WorkerHealthChanged { .. } | ZoneNotice::Fenced { .. } => {}
        }
    }

    /// `set_zone` sets the gauges of the owned zone.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a gauge is a float; epochs stay far below 2^52"
    )]
    pub fn set_zone(&self, status: &ZoneStatus) {
        let zone = status.zone.as_str();
        self.zone_owned_epoch
            .with_label_values(&[zone])
            .set(status.epoch.0 as f64);
        self.fragmentation_ratio
            .with_label_values(&[zone])
            .set(status.fragmentation);
        self.zone_jobs
            .with_label_values(&[zone, "waiting"])
            .set(f64::from(status.jobs_waiting));
        self.zone_jobs
            .with_label_values(&[zone, "running"])
            .set(f64::from(status.jobs_running));
        // A customer may hold cells of several sizes; the gauge is their sum.
        let mut short_cells = BTreeMap::new();
        for guarantee in &status.guarantees {
            *short_cells
                .entry(guarantee.customer.as_str())
                .or_insert(0.0) += f64::from(guarantee.cells_short);
        }
        for (customer, cells) in short_cells {
            self.guarantee_short_cells
                .with_label_values(&[zone, customer])
                .set(cells);
        }
    }

    /// `clear_zone` removes the gauges of a zone that is owned no longer; its new owner shows them.
    pub fn clear_zone(&self) {
        self.zone_owned_epoch.reset();
        self.fragmentation_ratio.reset();
        self.zone_jobs.reset();
        self.guarantee_short_cells.reset();
    }
}

/// `StoreCalls` copies the store client's counters when the page is read.
struct StoreCalls {
    counts: Arc<CallCounts>,
    calls: IntCounterVec,
}

impl Collector for StoreCalls {
    fn desc(&self) -> Vec<&Desc> {
        self.calls.desc()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        for kind in StoreCallKind::ALL {
            let counter = self.calls.with_label_values(&[kind.label()]);
            let seen = self.counts.of(kind);
            counter.inc_by(seen.saturating_sub(counter.get()));
        }
        self.calls.collect()
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("ragwortwick_{name}"), help)
}

fn histogram(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(format!("ragwortwick_{name}"), help).buckets(PROMISE_BUCKETS_S.to_vec())
}

fn seconds(span_ms: DurationMs) -> f64 {
    std::time::Duration::from(span_ms).as_secs_f64()
}
