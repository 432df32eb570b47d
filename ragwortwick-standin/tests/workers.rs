//! The workers' stand-in: fencing, leases, checkpoints and the log of starts.

use ragwortwick_border::{
    CommitCommand, GangMember, GangPhase, GangRef, GangSpec, ReserveCommand, StopCommand,
    WorkerCommand, WorkerOrder, WorkerOutcome, WorkerReply,
};
use ragwortwick_core::{CustomerName, DurationMs, Epoch, GangId, JobId, TimeMs, WorkerName};
use ragwortwick_standin::{Faults, LogEvent, StartLog, WorkersState};

const LEASE_MS: DurationMs = DurationMs(1_000);

struct Bench {
    state: WorkersState,
    log: StartLog,
    worker: WorkerName,
}

impl Bench {
    fn open() -> Self {
        let log = StartLog::default();
        let worker = WorkerName::new("w1");
        Self {
            state: WorkersState::new([(worker.clone(), 8)], log.clone()),
            log,
            worker,
        }
    }

    fn order(&mut self, now: u64, epoch: u64, command: WorkerCommand) -> WorkerReply {
        let order = WorkerOrder {
            epoch: Epoch(epoch),
            command,
        };
        self.state
            .order(TimeMs(now), &self.worker, &order, &Faults::default())
            .expect("the worker exists")
    }

    fn reserve(&mut self, now: u64, epoch: u64, attempt: u32, mask: u32) -> WorkerOutcome {
        let spec = self.spec(attempt, mask);
        let lease_ms = LEASE_MS;
        let command = WorkerCommand::Reserve(ReserveCommand { spec, lease_ms });
        self.order(now, epoch, command).outcome
    }

    fn commit(&mut self, now: u64, epoch: u64, attempt: u32) -> WorkerOutcome {
        let commit = CommitCommand {
            gang_id: gang(attempt),
            lease_ms: LEASE_MS,
        };
        self.order(now, epoch, WorkerCommand::Commit(commit))
            .outcome
    }

    fn phase(&mut self, now: u64, epoch: u64) -> Option<GangPhase> {
        let reply = self.order(now, epoch, WorkerCommand::Inventory);
        reply.gangs.last().map(|gang| gang.phase)
    }

    fn spec(&self, attempt: u32, device_mask: u32) -> GangSpec {
        GangSpec {
            gang_id: gang(attempt),
            job_id: JobId::new("j"),
            attempt,
            customer: CustomerName::new("padana"),
            is_borrowed: false,
            members: vec![GangMember {
                worker: self.worker.clone(),
                device_mask,
                tasks: 1,
            }],
            payload: r#"{"run_ms":800,"exit":"ok"}"#.to_owned(),
        }
    }
}

fn gang(attempt: u32) -> GangId {
    GangId::of_attempt(&JobId::new("j"), attempt)
}

#[test]
fn verify_an_order_of_a_lower_epoch_changes_nothing() {
    let mut bench = Bench::open();
    assert_eq!(bench.reserve(0, 2, 1, 1), WorkerOutcome::Done);
    assert_eq!(bench.commit(0, 1, 1), WorkerOutcome::StaleEpoch);
    assert_eq!(bench.log.count("j.1", LogEvent::Started), 0);
    assert_eq!(bench.commit(0, 2, 1), WorkerOutcome::Done);
}

#[test]
fn verify_a_repeated_commit_starts_once() {
    let mut bench = Bench::open();
    bench.reserve(0, 1, 1, 1);
    assert_eq!(bench.commit(0, 1, 1), WorkerOutcome::Done);
    assert_eq!(bench.commit(10, 1, 1), WorkerOutcome::Done);
    assert_eq!(bench.log.count("j.1", LogEvent::Started), 1);
    assert_eq!(bench.phase(900, 1), Some(GangPhase::Finished));
    assert_eq!(bench.commit(910, 1, 1), WorkerOutcome::Done);
    assert_eq!(bench.log.count("j.1", LogEvent::Started), 1);
}

#[test]
fn verify_held_accelerators_are_not_given_twice() {
    let mut bench = Bench::open();
    assert_eq!(bench.reserve(0, 1, 1, 0b11), WorkerOutcome::Done);
    assert_eq!(bench.reserve(0, 1, 2, 0b10), WorkerOutcome::Occupied);
    assert_eq!(bench.reserve(0, 1, 2, 1 << 8), WorkerOutcome::Occupied);
    assert_eq!(bench.reserve(1_001, 1, 2, 0b10), WorkerOutcome::Done);
}

#[test]
fn verify_a_running_member_stops_without_renewal() {
    let mut bench = Bench::open();
    bench.reserve(0, 1, 1, 1);
    let commit = CommitCommand {
        gang_id: gang(1),
        lease_ms: DurationMs(500),
    };
    bench.order(0, 1, WorkerCommand::Commit(commit));
    assert_eq!(bench.phase(499, 1), Some(GangPhase::Running));
    assert_eq!(bench.phase(5_000, 1), Some(GangPhase::Stopped));
    assert_eq!(bench.log.count("j.1", LogEvent::Lapsed), 1);
    assert_eq!(bench.log.count("j.1", LogEvent::Finished), 0);
}

#[test]
fn verify_a_checkpoint_shortens_the_next_attempt() {
    let mut bench = Bench::open();
    bench.reserve(0, 1, 1, 1);
    bench.commit(0, 1, 1);
    let stop = StopCommand {
        gang_id: gang(1),
        grace_ms: DurationMs(100),
    };
    bench.order(600, 1, WorkerCommand::Stop(stop));
    assert_eq!(bench.phase(700, 1), Some(GangPhase::Stopped));
    let forget = GangRef { gang_id: gang(1) };
    bench.order(700, 1, WorkerCommand::Forget(forget));
    bench.reserve(700, 1, 2, 1);
    bench.commit(700, 1, 2);
    assert_eq!(bench.phase(899, 1), Some(GangPhase::Running));
    assert_eq!(bench.phase(900, 1), Some(GangPhase::Finished));
}
