//! Processor time, memory and orders of a zone's placer with more and more workers and gangs.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ragwortwick_border::{
    AcceptedTable, GangOnWorker, GangPhase, JobPhase, JobRecord, Shape, WorkerCommand, WorkerOrder,
    WorkerOutcome, WorkerReply,
};
use ragwortwick_core::{DurationMs, Epoch, GangId, JobId, TimeMs, WorkerName};
use ragwortwick_policy::{OrderId, WorkerInfo, ZoneAction, ZoneEvent, ZoneOptions, ZonePlacer};

use crate::messages::json_len;
use crate::sample;
use crate::series::Series;

/// Cells of each job: ten whole workers, the average gang of the planned size.
const CELLS: u32 = 10;

/// Workers beside those that the gangs fill, so that every job finds a place.
const SPARE_WORKERS: usize = 20;

/// Virtual seconds over which an idle zone's renewals are counted.
const WINDOW_S: u32 = 60;

pub fn run() {
    let mut place = Series::new("placer_start_of_a_gang", "zone_workers", "us");
    let mut hold = Series::new("placer_holding_gangs", "zone_workers", "us_per_s");
    let mut orders = Series::new("placer_orders_holding", "zone_workers", "orders_per_s");
    let mut bytes = Series::new("placer_bytes_holding", "zone_workers", "bytes_per_s");
    for workers in [60, 120, 360] {
        let mut zone = Zone::open(workers, 1);
        let gangs = (workers - SPARE_WORKERS) / CELLS as usize;
        for job in 0..gangs {
            zone.submit(job, CELLS);
            zone.advance(100);
        }
        assert_eq!(zone.running(), gangs, "every gang should run");
        place.point(workers, micros(zone.busy) / count(gangs));
        zone.reset();
        zone.advance(u64::from(WINDOW_S) * 1_000);
        let seconds = f64::from(WINDOW_S);
        hold.point(workers, micros(zone.busy) / seconds);
        orders.point(workers, count(zone.orders) / seconds);
        bytes.point(workers, count(zone.bytes) / seconds);
    }
    for series in [place, hold, orders, bytes] {
        series.print();
    }
    large_gangs();
    memory();
}

fn large_gangs() {
    let mut place = Series::new("placer_start_of_one_gang_by_size", "gang_workers", "us");
    let mut bytes = Series::new("placer_bytes_of_a_start", "gang_workers", "bytes");
    for cells in [16, 64, 128] {
        let mut zone = Zone::open(350, 1);
        zone.submit(0, cells);
        zone.advance(200);
        assert_eq!(zone.running(), 1, "the gang should run");
        place.point(cells as usize, micros(zone.busy));
        bytes.bytes(cells as usize, zone.bytes);
    }
    place.print();
    bytes.print();
}

fn memory() {
    let mut series = Series::new("placer_memory", "zone_workers", "KB");
    for workers in [350, 700, 1_400] {
        let before = resident_kb();
        // Several placers at once, so that the pages of one are not hidden in what was free before.
        let zones: Vec<Zone> = (0..8).map(|seed| Zone::filled(workers, seed)).collect();
        series.point(workers, (resident_kb() - before) / count(zones.len()));
    }
    series.print();
}

/// A placer with workers that carry out every order at once.
struct Zone {
    now: TimeMs,
    placer: ZonePlacer,
    workers: BTreeMap<WorkerName, Vec<GangOnWorker>>,
    busy: Duration,
    orders: usize,
    bytes: usize,
}

impl Zone {
    fn open(workers: usize, seed: u64) -> Self {
        let names = (0..workers).map(|worker| WorkerName::new(sample::worker_name(worker)));
        let zone = sample::zone_name(0);
        let mut zone = Self {
            now: TimeMs(1_000),
            placer: ZonePlacer::new(zone.as_str().into(), ZoneOptions::default(), seed),
            workers: names.map(|name| (name, Vec::new())).collect(),
            busy: Duration::ZERO,
            orders: 0,
            bytes: 0,
        };
        // No guarantees: every gang is borrowed work, which is placed by the same search.
        let mut accepted = sample::accepted(42, 1);
        accepted.table.guarantees.clear();
        zone.start(accepted, workers);
        zone
    }

    fn filled(workers: usize, seed: u64) -> Self {
        let mut zone = Self::open(workers, seed);
        for job in 0..(workers - SPARE_WORKERS) / CELLS as usize {
            zone.submit(job, CELLS);
            zone.advance(100);
        }
        zone
    }

    fn start(&mut self, accepted: AcceptedTable, workers: usize) {
        self.event(ZoneEvent::TableInForce(Arc::new(accepted)));
        self.event(ZoneEvent::OwnershipGained { epoch: Epoch(1) });
        for worker in 0..workers {
            self.event(ZoneEvent::WorkerListed(WorkerInfo {
                worker: WorkerName::new(sample::worker_name(worker)),
                rack: format!("rack-{:04}", worker / 8).as_str().into(),
                accelerators: 8,
            }));
        }
        self.advance(20_000);
        self.reset();
    }

    fn reset(&mut self) {
        self.busy = Duration::ZERO;
        self.orders = 0;
        self.bytes = 0;
    }

    fn submit(&mut self, job: usize, cells: u32) {
        let mut record = sample::job_record(200);
        record.job_id = JobId::new(format!("customer-001-job-{job:08}"));
        record.phase = JobPhase::Waiting;
        record.attempt = 0;
        record.accepted_at_ms = self.now;
        record.spec.job_id = Some(record.job_id.clone());
        record.spec.run_time_estimate_ms = DurationMs(4 * 3_600_000);
        record.spec.shape = Shape {
            cells,
            cell_accelerators: 8,
        };
        self.event(ZoneEvent::JobFound(record));
    }

    fn advance(&mut self, span_ms: u64) {
        let end = TimeMs(self.now.0 + span_ms);
        loop {
            let next = self.placer.next_wakeup().unwrap_or(end);
            self.now = next.max(self.now + DurationMs(1)).min(end);
            if self.now == end {
                return;
            }
            self.event(ZoneEvent::Tick);
        }
    }

    /// Gives one event to the placer, and then the answers to what it asks for.
    fn event(&mut self, event: ZoneEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let begun = Instant::now();
            let actions = self.placer.on_event(self.now, event);
            self.busy += begun.elapsed();
            events.extend(
                actions
                    .into_iter()
                    .filter_map(|action| self.carry_out(action)),
            );
        }
    }

    fn carry_out(&mut self, action: ZoneAction) -> Option<ZoneEvent> {
        match action {
            ZoneAction::Order {
                order,
                worker,
                command,
            } => Some(self.obey(order, worker, command)),
            ZoneAction::RecordJob(record) => Some(recorded(&record)),
            ZoneAction::Notice(_) => None,
        }
    }

    fn obey(&mut self, order: OrderId, worker: WorkerName, command: WorkerCommand) -> ZoneEvent {
        let gangs = self.workers.entry(worker.clone()).or_default();
        let is_asked = matches!(command, WorkerCommand::Inventory | WorkerCommand::Renew(_));
        match &command {
            WorkerCommand::Reserve(reserve) => {
                let own = reserve.spec.members.iter().find(|m| m.worker == worker);
                gangs.push(GangOnWorker {
                    device_mask: own.map_or(0, |member| member.device_mask),
                    spec: reserve.spec.clone(),
                    phase: GangPhase::Reserved,
                    lease_left_ms: reserve.lease_ms,
                    progress: 0.0,
                    reason: String::new(),
                });
            }
            WorkerCommand::Commit(commit) => set_running(gangs, &commit.gang_id),
            _ => {}
        }
        let reply = WorkerReply {
            outcome: WorkerOutcome::Done,
            highest_epoch: Epoch(1),
            gangs: if is_asked { gangs.clone() } else { Vec::new() },
        };
        self.orders += 1;
        let order_sent = WorkerOrder {
            epoch: Epoch(1),
            command,
        };
        self.bytes += json_len(&order_sent) + json_len(&reply);
        ZoneEvent::WorkerReplied {
            worker,
            order,
            reply,
        }
    }

    fn running(&self) -> usize {
        self.placer.status(None).jobs_running as usize
    }
}

fn set_running(gangs: &mut [GangOnWorker], gang_id: &GangId) {
    for gang in gangs
        .iter_mut()
        .filter(|gang| gang.spec.gang_id == *gang_id)
    {
        gang.phase = GangPhase::Running;
        gang.lease_left_ms = DurationMs(60_000);
    }
}

fn recorded(record: &JobRecord) -> ZoneEvent {
    ZoneEvent::JobRecorded {
        job_id: record.job_id.clone(),
        attempt: record.attempt,
    }
}

fn micros(busy: Duration) -> f64 {
    busy.as_secs_f64() * 1e6
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn count(number: usize) -> f64 {
    number as f64
}

/// Resident memory of this process.
fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or_default()
}
