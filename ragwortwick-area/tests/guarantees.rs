//! Guaranteed accelerators come back to their customer, whatever runs.

mod rig;

use ragwortwick_area::{EndKind, Event, OrderReply};
use rig::{Rig, ended, gang, job, step, worker};

/// Patient work fills the workers when an urgent gang comes in. Just as much stops as the gang needs,
/// and the gang gets the room although other work waits for it too.
#[test]
fn verify_urgent_gang_displaces_patient_work() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let mut rig = Rig::new(&workers);
    rig.tell(Event::JobAccepted(job(
        "00000000000000c0",
        "patient",
        vec![step(40, 1)],
    )));
    rig.pass(20);
    rig.store();
    let patient = rig.starts();
    assert_eq!(patient.len(), 16, "all accelerators are taken");
    for start in &patient {
        rig.accept(start);
    }
    rig.pass(500);
    rig.tell(Event::JobAccepted(job(
        "00000000000000c1",
        "urgent",
        vec![gang(1, 4)],
    )));
    rig.pass(20);
    rig.store();
    let stops = rig.stops();
    assert_eq!(stops.len(), 4, "no more stops than the gang needs");
    let worker_name = stops[0].0.clone();
    let mut ends = Vec::new();
    for (number, stop) in (1..).zip(&stops) {
        assert_eq!(stop.0, worker_name);
        rig.tell(Event::StopReplied {
            worker: stop.0.clone(),
            task: stop.1.clone(),
            run: stop.2,
            reply: OrderReply::Accepted { clock_ms: 200_000 },
        });
        ends.push(ended(number, stop, EndKind::Stopped));
    }
    let still: Vec<_> = patient
        .iter()
        .filter(|start| start.0 == worker_name && !stops.contains(start))
        .map(rig::running)
        .collect();
    rig.look(worker_name.as_str(), still, ends);
    rig.pass(30);
    rig.store();
    let starts = rig.starts();
    let urgent = starts
        .iter()
        .filter(|start| start.1.job_id.as_str() == "00000000000000c1")
        .count();
    assert_eq!(urgent, 1);
    assert_eq!(starts.len(), 1, "the freed room is not given away");
}

/// Urgent work beyond its customer's share takes what is free, and displaces nobody.
#[test]
fn verify_urgent_work_beyond_the_share_displaces_nobody() {
    let workers = [worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")];
    let mut rig = Rig::new(&workers);
    rig.tell(Event::JobAccepted(job(
        "00000000000000c2",
        "patient",
        vec![step(24, 1)],
    )));
    rig.pass(20);
    rig.store();
    for start in rig.starts() {
        rig.accept(&start);
    }
    rig.tell(Event::JobAccepted(job(
        "00000000000000c3",
        "urgent",
        vec![gang(3, 8)],
    )));
    rig.pass(200);
    rig.store();
    assert_eq!(rig.stops(), vec![]);
}

/// A worker that leaves gets no new work, and a start that is not sent yet is not sent any more.
#[test]
fn verify_leaving_worker_gets_no_start() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.tell(Event::JobAccepted(job(
        "00000000000000c4",
        "middle",
        vec![step(1, 1)],
    )));
    rig.pass(20);
    let mut entry = worker("w1", "r1");
    entry.is_draining = true;
    rig.tell(Event::WorkerSeen(entry));
    rig.store();
    rig.pass(100);
    rig.store();
    assert_eq!(rig.starts(), vec![]);
}
