//! Guaranteed accelerators are returned to their customer, whatever runs on them.

mod rig;

use ragwortwick_area::{EndKind, Event, OrderReply, StepSpec, TaskId};
use ragwortwick_core::WorkerName;
use rig::{Rig, ended, gang, job, step, worker};

/// Guards against unnecessary stops: patient tasks fill the workers when an urgent gang is submitted. Only as
/// many stop as the gang needs, and the gang gets the capacity although other tasks wait for it as well.
#[test]
fn verify_urgent_gang_displaces_patient_work() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let mut rig = Rig::new(&workers);
    rig.submit("00000000000000c0", "patient", step(40, 1));
    rig.advance(20);
    rig.store_batches();
    let patient = rig.starts();
    assert_eq!(patient.len(), 16, "all accelerators are in use");
    for start in &patient {
        rig.accept(start);
    }
    rig.advance(500);
    rig.submit("00000000000000c1", "urgent", gang(1, 4));
    rig.advance(20);
    rig.store_batches();
    let stops = rig.stops();
    assert_eq!(stops.len(), 4, "no more stops than the gang needs");
    let worker_name = stops[0].0.clone();
    let mut ends = Vec::new();
    for (number, stop) in (1..).zip(&stops) {
        assert_eq!(stop.0, worker_name);
        rig.send(Event::StopReplied {
            worker: stop.0.clone(),
            task: stop.1.clone(),
            run: stop.2,
            reply: OrderReply::Accepted { clock_ms: 200_000 },
        });
        ends.push(ended(number, stop, EndKind::Stopped));
    }
    let still_running: Vec<_> = patient
        .iter()
        .filter(|start| start.0 == worker_name && !stops.contains(start))
        .map(rig::running)
        .collect();
    rig.poll_reply(worker_name.as_str(), still_running, ends);
    rig.advance(30);
    rig.store_batches();
    let starts = rig.starts();
    let urgent = starts
        .iter()
        .filter(|start| start.1.job_id.as_str() == "00000000000000c1")
        .count();
    assert_eq!(urgent, 1);
    assert_eq!(starts.len(), 1, "the freed capacity goes to no other task");
}

/// Urgent work beyond its customer's share that can meet its objective preempts patient work only while
/// little work is lost: here the patient tasks have just started.
#[test]
fn verify_urgent_work_beyond_the_share_displaces_cheap_work() {
    let workers = [worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")];
    let mut rig = Rig::new(&workers);
    let patient = job("00000000000000c2", "patient", vec![step(24, 1)]);
    rig.send(Event::JobAccepted(patient));
    rig.start_all();
    rig.advance(200);
    rig.submit_as("00000000000000c3", "c", "urgent", gang(3, 8));
    rig.advance(200);
    rig.store_batches();
    assert_eq!(rig.stops().len(), 24);
}

/// Urgent work beyond its customer's share waits and preempts nothing if seconds of work would be lost.
#[test]
fn verify_urgent_work_beyond_the_share_displaces_no_costly_work() {
    let workers = [worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")];
    let mut rig = Rig::new(&workers);
    let patient = job("00000000000000c2", "patient", vec![step(24, 1)]);
    rig.send(Event::JobAccepted(patient));
    rig.start_all();
    rig.advance(4_000);
    rig.submit_as("00000000000000c3", "c", "urgent", gang(3, 8));
    rig.advance(500);
    rig.store_batches();
    assert_eq!(rig.stops(), vec![]);
    assert_eq!(rig.starts(), vec![]);
}

/// Urgent work that can no longer meet its objective preempts nothing, however little work would be lost.
#[test]
fn verify_late_urgent_work_displaces_nobody() {
    let workers = [worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")];
    let mut rig = Rig::new(&workers);
    rig.advance(60_000);
    let patient = job("00000000000000c2", "patient", vec![step(24, 1)]);
    rig.send(Event::JobAccepted(patient));
    rig.start_all();
    // Its record says that it was accepted a minute ago.
    rig.submit("00000000000000c3", "urgent", gang(3, 8));
    rig.advance(200);
    rig.store_batches();
    assert_eq!(rig.stops(), vec![]);
}

/// Guards against a guarantee that is blocked by other urgent work: one customer's urgent runs exceed its
/// share when another claims its own. The youngest run beyond the share is preempted, although all of them
/// are urgent.
#[test]
fn verify_guarantee_takes_back_what_urgent_work_borrowed() {
    let workers = [worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")];
    let mut rig = Rig::new(&workers);
    for number in 0..3 {
        let id = format!("{:016x}", 0xd0 + number);
        rig.submit_as(&id, "c", "urgent", gang(1, 8));
        assert_eq!(rig.start_all().len(), 1);
        rig.advance(1_000);
    }
    rig.submit_as("00000000000000df", "d", "urgent", gang(1, 8));
    rig.advance(100);
    rig.store_batches();
    let stops = rig.stops();
    assert_eq!(stops.len(), 1, "only what exceeds the share of 16");
    assert_eq!(stops[0].1.job_id.as_str(), "00000000000000d2");
}

/// A draining worker gets no new work, and a start that has not been sent is withdrawn.
#[test]
fn verify_leaving_worker_gets_no_start() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit("00000000000000c4", "middle", step(1, 1));
    rig.advance(20);
    let mut entry = worker("w1", "r1");
    entry.is_draining = true;
    rig.send(Event::WorkerUpdated(entry));
    rig.store_batches();
    rig.advance(100);
    rig.store_batches();
    assert_eq!(rig.starts(), vec![]);
}

/// Guards against small urgent jobs that starve a wide gang: the gang waits for the second of two workers
/// that are being cleared for it when a small urgent job is submitted. The worker that is already free stays
/// reserved for the gang; otherwise it would wait as long as small jobs keep arriving.
#[test]
fn verify_small_urgent_work_does_not_take_what_a_wide_gang_waits_for() {
    let workers = [worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")];
    let mut rig = Rig::new(&workers);
    let patient = job("00000000000000e0", "patient", vec![step(24, 1)]);
    rig.send(Event::JobAccepted(patient));
    let patient = rig.start_all();
    rig.advance(300);
    rig.submit_as("00000000000000e1", "c", "urgent", gang(2, 8));
    rig.advance(20);
    rig.store_batches();
    let stops = rig.stops();
    assert_eq!(stops.len(), 16);
    let first = stops[0].0.clone();
    let clear = |rig: &mut Rig, name: &WorkerName| {
        let ends = (1..)
            .zip(patient.iter().filter(|start| start.0 == *name))
            .map(|(number, start)| ended(number, start, EndKind::Stopped));
        let ends = ends.collect();
        rig.poll_reply(name.as_str(), vec![], ends);
        rig.advance(30);
        rig.store_batches();
    };
    clear(&mut rig, &first);
    rig.submit_as("00000000000000e2", "d", "urgent", gang(1, 8));
    rig.advance(30);
    rig.store_batches();
    assert_eq!(
        rig.starts(),
        vec![],
        "the free worker is reserved for the gang"
    );
    let second = stops
        .iter()
        .find(|stop| stop.0 != first)
        .map(|stop| stop.0.clone());
    clear(&mut rig, &second.expect("two workers are cleared"));
    let starts = rig.starts();
    assert_eq!(starts.len(), 2);
    let is_wide = |start: &(WorkerName, TaskId, u32)| start.1.job_id.as_str() == "00000000000000e1";
    assert!(starts.iter().all(is_wide));
}

/// Guards against a guarantee that is not returned: urgent work that may not be preempted uses its customer's share, and
/// what runs beyond that share has to count as borrowed all the same.
#[test]
fn verify_work_that_is_never_preempted_uses_its_customers_share() {
    let workers = [worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")];
    let mut rig = Rig::new(&workers);
    let lasting = StepSpec {
        is_long_running: true,
        may_miss: Some(1),
        ..step(2, 8)
    };
    rig.submit_as("00000000000000f0", "c", "urgent", lasting);
    assert_eq!(rig.start_all().len(), 2);
    rig.submit_as("00000000000000f1", "c", "urgent", gang(1, 8));
    assert_eq!(rig.start_all().len(), 1);
    rig.submit_as("00000000000000f2", "d", "urgent", gang(1, 8));
    rig.advance(100);
    rig.store_batches();
    let stops = rig.stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].1.job_id.as_str(), "00000000000000f1");
}
