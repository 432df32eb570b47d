//! Entries and reports of workers with values at their limits.

mod rig;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use ragwortwick_area::{Event, Resources, RunningTask, WorkerEntry, WorkerReport};
use ragwortwick_core::{DurationMs, WorkerName};
use rig::{Rig, gang, running, step, worker};

/// Number of random areas.
const CASES: u64 = 200;

/// Sizes from none to the largest that a worker's entry may hold.
#[derive(Clone, Copy, Debug)]
struct AnySize(u64);

impl Arbitrary for AnySize {
    fn arbitrary(g: &mut Gen) -> Self {
        let sizes = [0, 1, 8, 32_000, Resources::MAX.accelerators];
        Self(*g.choose(&sizes).expect("there are sizes"))
    }
}

/// Times from none to the largest number that can be written.
#[derive(Clone, Copy, Debug)]
struct AnyTime(u64);

impl Arbitrary for AnyTime {
    fn arbitrary(g: &mut Gen) -> Self {
        let times = [0, 1, 100_000, u64::MAX / 2, u64::MAX];
        Self(*g.choose(&times).expect("there are times"))
    }
}

/// What one worker writes and reports.
#[derive(Clone, Copy, Debug)]
struct AnyWorker {
    cpu_millis: AnySize,
    memory_mb: AnySize,
    accelerators: AnySize,
    remaining_ms: AnyTime,
    entry_clock_ms: AnyTime,
    report_clock_ms: AnyTime,
    is_draining: bool,
    percent: u32,
}

impl Arbitrary for AnyWorker {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            cpu_millis: AnySize::arbitrary(g),
            memory_mb: AnySize::arbitrary(g),
            accelerators: AnySize::arbitrary(g),
            remaining_ms: AnyTime::arbitrary(g),
            entry_clock_ms: AnyTime::arbitrary(g),
            report_clock_ms: AnyTime::arbitrary(g),
            is_draining: bool::arbitrary(g),
            percent: u32::arbitrary(g),
        }
    }
}

impl AnyWorker {
    fn entry(&self, name: &str) -> WorkerEntry {
        WorkerEntry {
            capacity: Resources {
                cpu_millis: self.cpu_millis.0,
                memory_mb: self.memory_mb.0,
                accelerators: self.accelerators.0,
            },
            is_draining: self.is_draining,
            remaining_ms: Some(DurationMs(self.remaining_ms.0)),
            clock_ms: Some(self.entry_clock_ms.0),
            ..worker(name, "r1")
        }
    }

    fn report(&self, rig: &mut Rig, name: &str, running: Vec<RunningTask>) {
        rig.send(Event::PollReplied {
            worker: WorkerName::new(name),
            sent_at: rig.now,
            report: WorkerReport {
                clock_ms: self.report_clock_ms.0,
                running,
                ended: Vec::new(),
                has_more_ends: false,
            },
        });
    }
}

fn area_without_panic(first: AnyWorker, second: AnyWorker) -> bool {
    let mut rig = Rig::new(&[worker("w0", "r1")]);
    for (name, any) in [("w1", &first), ("w2", &second)] {
        rig.send(Event::WorkerUpdated(any.entry(name)));
        any.report(&mut rig, name, Vec::new());
    }
    rig.submit("00000000000000e2", "urgent", gang(3, 4));
    rig.submit("00000000000000e3", "patient", step(6, 3));
    let starts = rig.start_all();
    for (name, any) in [("w1", &first), ("w2", &second)] {
        let here = starts.iter().filter(|start| start.0.as_str() == name);
        let rows = here.map(|start| RunningTask {
            percent: any.percent,
            ..running(start)
        });
        any.report(&mut rig, name, rows.collect());
    }
    rig.advance(1_000);
    rig.start_all();
    true
}

/// Guards against an entry or a report of one worker that ends the coordinator, and each of its successors.
#[test]
fn verify_no_worker_ends_the_coordinator_by_what_it_writes() {
    QuickCheck::new()
        .tests(CASES)
        .quickcheck(area_without_panic as fn(AnyWorker, AnyWorker) -> bool);
}
