//! Orders to workers: the permission to send them and the workers' refusal of old epochs.

use ragwortwick_border::{
    CommitCommand, GangMember, GangSpec, ReserveCommand, WorkerCommand, WorkerOutcome,
};
use ragwortwick_core::{CustomerName, DurationMs, GangId, JobId, WorkerName, ZoneName};
use ragwortwick_standin::{LogEvent, WorkerSpec, Workers};

use super::{Owner, store};

fn gang(attempt: u32) -> GangSpec {
    let job_id = JobId::new("job");
    GangSpec {
        gang_id: GangId::of_attempt(&job_id, attempt),
        job_id,
        attempt,
        customer: CustomerName::new("padana"),
        is_borrowed: false,
        members: vec![GangMember {
            worker: WorkerName::new("w"),
            device_mask: 0xff,
            tasks: 1,
        }],
        payload: r#"{"run_ms":60000}"#.to_owned(),
    }
}

fn reserve(attempt: u32) -> WorkerCommand {
    WorkerCommand::Reserve(ReserveCommand {
        spec: gang(attempt),
        lease_ms: DurationMs(10_000),
    })
}

fn commit(attempt: u32) -> WorkerCommand {
    WorkerCommand::Commit(CommitCommand {
        gang_id: gang(attempt).gang_id,
        lease_ms: DurationMs(60_000),
    })
}

async fn one_worker() -> Workers {
    let spec = WorkerSpec {
        name: WorkerName::new("w"),
        rack: "r".into(),
        zone: ZoneName::new("east"),
        accelerators: 8,
    };
    let workers = Workers::bind("127.0.0.1:0", vec![spec]).await;
    workers.expect("a free port")
}

// The first line: an owner whose permission has run out sends no order at all.
#[tokio::test(flavor = "multi_thread")]
async fn verify_no_order_leaves_after_the_permission_ran_out() {
    let store = store().await;
    let workers = one_worker().await;
    let owner = Owner::open(&store, "a", 1);
    owner.tenure.set(owner.epoch, owner.clock.now());
    let orders = owner.sender();
    assert_eq!(owner.order(&orders, &workers, reserve(1)), None);
    assert!(workers.calls().is_empty());
}

// The last line: an owner is frozen between its check and its order, and wakes after the next owner
// has sent its epoch to the worker. Its commit arrives and is refused as stale; the gang that the
// next owner released does not start, and nothing of two owners runs side by side.
#[tokio::test(flavor = "multi_thread")]
async fn verify_worker_refuses_the_order_of_an_owner_that_slept() {
    let store = store().await;
    let workers = one_worker().await;
    let old = Owner::open(&store, "a", 1);
    let new = Owner::open(&store, "b", 2);
    let (old_orders, new_orders) = (old.sender(), new.sender());
    let done = Some(WorkerOutcome::Done);
    assert_eq!(old.order(&old_orders, &workers, reserve(1)), done);
    assert_eq!(
        new.order(&new_orders, &workers, WorkerCommand::Inventory),
        done
    );
    let late = old.order(&old_orders, &workers, commit(1));
    assert_eq!(late, Some(WorkerOutcome::StaleEpoch));
    assert_eq!(workers.log().count("job.1", LogEvent::Started), 0);
}

// What the fence is for: the same order of events with the old owner using the new owner's epoch,
// as if workers looked at no epoch. The late commit starts the gang although the new owner counts
// its accelerators as free.
#[tokio::test(flavor = "multi_thread")]
async fn verify_without_the_fence_the_order_of_an_owner_that_slept_starts_a_gang() {
    let store = store().await;
    let workers = one_worker().await;
    let old = Owner::open(&store, "a", 2);
    let new = Owner::open(&store, "b", 2);
    let (old_orders, new_orders) = (old.sender(), new.sender());
    let done = Some(WorkerOutcome::Done);
    assert_eq!(old.order(&old_orders, &workers, reserve(1)), done);
    assert_eq!(
        new.order(&new_orders, &workers, WorkerCommand::Inventory),
        done
    );
    assert_eq!(old.order(&old_orders, &workers, commit(1)), done);
    assert_eq!(workers.log().count("job.1", LogEvent::Started), 1);
}
