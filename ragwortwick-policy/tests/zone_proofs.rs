//! Fault injection: no gang runs partially, and a guarantee can always be reclaimed in time.

mod fake_zone;

use std::collections::{BTreeMap, BTreeSet};

use fake_zone::tables::table;
use fake_zone::{ActualRun, Delivery, FakeZone, job};
use quickcheck::QuickCheck;
use ragwortwick_border::{JobPhase, WorkerCommand, WorkerOutcome};
use ragwortwick_core::{Epoch, GangId, JobId, WorkerName};
use ragwortwick_policy::{ZoneAction, ZoneEvent, ZoneNotice};

const RACK: &[u32] = &[8, 8, 8, 8];

const LONG_RUN: ActualRun = ActualRun {
    run_ms: 3_600_000,
    fails: false,
};

/// Returns gangs that are partial now and after the time in which every lost member is detected.
fn lasting_partial(zone: &mut FakeZone) -> Vec<GangId> {
    let before = zone.partial_gangs();
    zone.run_for(20_000);
    zone.partial_gangs()
        .intersection(&before)
        .cloned()
        .collect()
}

#[test]
fn verify_unanswered_reservation_releases_the_others() {
    // One worker never receives its reservation, while the others accept theirs. The order times out, the
    // owner aborts the gang before any commit, and the accelerators of the others are freed.
    let mut zone = FakeZone::started(&[RACK], table(&[]));
    zone.set_delivery(|worker, command| {
        let is_reserve = matches!(command, WorkerCommand::Reserve(_));
        if is_reserve && worker.as_str() == "r00w0" {
            Delivery::LoseOrder
        } else {
            Delivery::Deliver
        }
    });
    zone.submit_job(job("j1", "a", "batch", 4, 8), LONG_RUN);
    zone.run_for(1_200);
    assert!(zone.commits.is_empty());
    assert!(zone.workers.values().all(|worker| worker.gangs.is_empty()));
}

#[test]
fn verify_lost_answer_to_a_commit_starts_the_member_once() {
    // The commit takes effect but its reply is lost. The owner repeats the commit; the worker already
    // runs the member, so nothing starts twice and the gang counts as whole.
    let mut zone = FakeZone::started(&[RACK], table(&[]));
    let mut is_lost = false;
    zone.set_delivery(move |_, command| {
        if matches!(command, WorkerCommand::Commit(_)) && !is_lost {
            is_lost = true;
            return Delivery::LoseReply;
        }
        Delivery::Deliver
    });
    let job_id = zone.submit_job(job("j1", "a", "batch", 2, 8), LONG_RUN);
    zone.run_for(5_000);
    assert_eq!(zone.start_count(&job_id), 1);
    // The first attempt continues; stopping it because of a lost reply would lose its work.
    assert_eq!(zone.running(&job_id), BTreeSet::from([GangId::new("j1.1")]));
    assert!(zone.partial_gangs().is_empty());
}

#[test]
fn verify_commit_that_never_arrives_stops_the_whole_gang() {
    // All commits to one worker are lost, though it replies to all other orders, and the other members run.
    // Its reservation expires, the worker no longer knows the gang, and the owner stops the rest.
    let mut zone = FakeZone::started(&[RACK], table(&[]));
    zone.set_delivery(|worker, command| {
        let is_commit = matches!(command, WorkerCommand::Commit(_));
        if is_commit && worker.as_str() == "r00w0" {
            Delivery::LoseOrder
        } else {
            Delivery::Deliver
        }
    });
    let job_id = zone.submit_job(job("j1", "a", "batch", 4, 8), LONG_RUN);
    zone.run_for(30_000);
    assert!(lasting_partial(&mut zone).is_empty());
    zone.set_delivery(|_, _| Delivery::Deliver);
    zone.run_for(120_000);
    assert_eq!(zone.running(&job_id).len(), 1);
    assert!(zone.partial_gangs().is_empty());
}

#[test]
fn verify_uncommitted_gang_of_a_dead_owner_is_released() {
    // The owner dies after the reservations and before any commit. Nothing has run, so the new owner
    // releases all members and starts the job again without waiting for leases to expire.
    let mut zone = FakeZone::started(&[RACK], table(&[]));
    zone.set_delivery(|_, command| {
        if matches!(command, WorkerCommand::Commit(_)) {
            Delivery::LoseOrder
        } else {
            Delivery::Deliver
        }
    });
    let job_id = zone.submit_job(job("j1", "a", "batch", 4, 8), LONG_RUN);
    zone.run_for(10);
    zone.set_delivery(|_, _| Delivery::Deliver);
    zone.take_over();
    zone.run_for(2_000);
    assert_eq!(zone.running(&job_id).len(), 1);
    assert_eq!(zone.commits.len(), 4);
}

#[test]
fn verify_paused_owner_that_wakes_is_fenced_and_stops_acting() {
    // An owner is paused after its first commit, and another takes the zone and completes the start. When
    // the old owner resumes, a worker refuses its epoch, and it must send no further order.
    let mut zone = FakeZone::started(&[RACK], table(&[]));
    let job_id = zone.submit_job(job("j1", "a", "batch", 2, 8), LONG_RUN);
    zone.run_for(10);
    let placer = ragwortwick_policy::ZonePlacer::new(
        fake_zone::ZONE.into(),
        ragwortwick_policy::ZoneOptions::default(),
        1,
    );
    let mut old = std::mem::replace(&mut zone.placer, placer);
    zone.take_over();
    zone.run_for(2_000);
    let now = zone.now;
    let actions = old.on_event(now, ZoneEvent::Tick);
    let Some(ZoneAction::Order {
        order,
        worker,
        command,
    }) = actions.into_iter().next()
    else {
        panic!("the old owner renews its workers");
    };
    let actual_runs = BTreeMap::new();
    let replying_worker = zone.workers.get_mut(&worker).expect("known worker");
    let reply = replying_worker.execute(now, Epoch(1), &command, &actual_runs);
    assert_eq!(reply.outcome, WorkerOutcome::StaleEpoch);
    let after = old.on_event(
        now,
        ZoneEvent::WorkerReplied {
            worker,
            order,
            reply,
        },
    );
    assert_eq!(
        after,
        vec![ZoneAction::Notice(ZoneNotice::Fenced { epoch: Epoch(2) })]
    );
    assert!(old.on_event(now, ZoneEvent::Tick).is_empty());
    assert_eq!(zone.running(&job_id).len(), 1);
}

#[test]
fn verify_death_of_a_worker_in_any_phase_leaves_no_partial_gang() {
    // One worker of a gang dies at various times between its reservation and its stop. The other members
    // are released or stopped, and a later attempt runs all members.
    for kill_after_ms in [0, 1, 2, 3, 5, 100, 1_500, 2_001, 2_500, 4_000] {
        let mut zone = FakeZone::started(&[RACK], table(&[("b", 2, 8)]));
        let job_id = zone.submit_job(job("j1", "a", "batch", 3, 8), LONG_RUN);
        if kill_after_ms > 2_000 {
            // At this time the gang is being preempted for a guarantee.
            zone.run_for(2_000);
            zone.submit_job(job("u1", "b", "urgent", 2, 8), LONG_RUN);
            zone.run_for(kill_after_ms - 2_000);
        } else {
            zone.run_for(kill_after_ms);
        }
        let holds = |name: &&WorkerName| {
            let gangs = &zone.workers[*name].gangs;
            gangs
                .values()
                .any(|allocation| allocation.spec.job_id == job_id)
        };
        let victim = zone
            .workers
            .keys()
            .find(holds)
            .cloned()
            .expect("the gang is placed");
        zone.kill(&victim);
        zone.run_for(20_000);
        assert!(
            zone.partial_gangs().is_empty(),
            "killed after {kill_after_ms} ms"
        );
        zone.revive(&victim);
        zone.cancel(&JobId::new("u1"));
        zone.run_for(120_000);
        assert_eq!(
            zone.running(&job_id).len(),
            1,
            "killed after {kill_after_ms} ms"
        );
    }
}

#[test]
fn verify_no_partial_gang_and_no_second_start_under_random_loss() {
    // Orders and replies are lost or refused at random while owners change. Afterwards no gang is partial,
    // every repeatable job has finished, and no other job was committed in two gangs.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands over owned values"
    )]
    fn holds(delivery_rule: Vec<u8>, takeovers: Vec<u16>) -> bool {
        let mut zone = FakeZone::started(&[RACK, RACK], table(&[("a", 1, 16), ("b", 2, 8)]));
        let mut next = delivery_rule.into_iter();
        zone.set_delivery(move |_, _| match next.next().unwrap_or(0) % 8 {
            5 => Delivery::LoseOrder,
            6 => Delivery::LoseReply,
            7 => Delivery::Refuse,
            _ => Delivery::Deliver,
        });
        let mut jobs = Vec::new();
        for number in 0..6 {
            let customer = ["a", "b"][number % 2];
            let mut spec = job(&format!("j{number}"), customer, "batch", 2, 8);
            spec.repeatable = number % 3 != 0;
            let actual_run = ActualRun {
                run_ms: 20_000,
                fails: false,
            };
            jobs.push((zone.submit_job(spec.clone(), actual_run), spec.repeatable));
        }
        for span in takeovers.iter().take(3) {
            zone.run_for(u64::from(*span % 4_000));
            zone.take_over();
        }
        zone.run_for(400_000);
        assert!(lasting_partial(&mut zone).is_empty());
        let mut committed: BTreeMap<JobId, BTreeSet<GangId>> = BTreeMap::new();
        for (gang_id, _) in &zone.commits {
            let (job_id, _) = gang_id.job_and_attempt().expect("a gang's id");
            committed.entry(job_id).or_default().insert(gang_id.clone());
        }
        for (job_id, is_repeatable) in jobs {
            let phase = zone.phase(&job_id);
            let gangs = committed.get(&job_id).map_or(0, BTreeSet::len);
            if is_repeatable {
                assert_eq!(phase, JobPhase::Finished, "{job_id}");
            } else {
                assert!(gangs <= 1, "{job_id} was started {gangs} times");
                let is_ended = matches!(phase, JobPhase::Finished | JobPhase::MayHaveRun);
                assert!(is_ended, "{job_id} is {phase}");
            }
        }
        true
    }
    QuickCheck::new()
        .tests(60)
        .quickcheck(holds as fn(Vec<u8>, Vec<u16>) -> bool);
}

#[test]
fn verify_urgent_work_starts_within_five_seconds_on_a_full_zone() {
    // Borrowed work occupies every accelerator when urgent jobs need the guarantee. The grace period,
    // the stop and the start together must take at most five seconds.
    let mut zone = FakeZone::started(&[RACK, RACK], table(&[("a", 1, 16), ("a", 2, 4)]));
    for number in 0..8 {
        zone.submit_job(job(&format!("b{number}"), "b", "batch", 1, 8), LONG_RUN);
    }
    zone.run_for(10_000);
    for number in 0..2 {
        let urgent = zone.submit(&format!("u{number}"), "a", "urgent", 1, 4);
        let submitted = zone.now;
        zone.run_for(5_000);
        let started = zone.starts[&urgent][0].0;
        assert!(started.since(submitted).0 <= 5_000);
    }
    let large = zone.submit("u2", "a", "urgent", 1, 16);
    zone.run_for(5_000);
    assert_eq!(zone.start_count(&large), 1);
}

#[test]
fn verify_lost_rack_is_reported_as_shortage_and_mended_on_return() {
    // A rack with guaranteed cells is lost. The number of cells that no longer fit is reported once,
    // and a shortage of 0 is reported when the rack is back.
    let mut zone = FakeZone::started(&[RACK, RACK], table(&[("a", 2, 32)]));
    for index in 0..4 {
        zone.kill(&WorkerName::new(format!("r01w{index}")));
    }
    zone.run_for(30_000);
    let status = zone.placer.status(None);
    assert_eq!(status.guarantees[0].cells_short, 1);
    for index in 0..4 {
        zone.revive(&WorkerName::new(format!("r01w{index}")));
    }
    zone.run_for(30_000);
    let status = zone.placer.status(None);
    assert_eq!(status.guarantees[0].cells_short, 0);
    let reported: Vec<u32> = zone
        .notices
        .iter()
        .filter_map(|(_, notice)| match notice {
            ZoneNotice::GuaranteeShort { cells_short, .. } => Some(*cells_short),
            _ => None,
        })
        .collect();
    assert_eq!(reported, vec![1, 0]);
}

#[test]
fn verify_worker_that_fails_everything_is_quarantined_and_comes_back_by_a_trial() {
    // A worker fails everything it starts within seconds, so it is always idle and attracts every job.
    // It is quarantined after three different jobs; once repaired, one successful trial ends that.
    let mut zone = FakeZone::started(&[RACK], table(&[]));
    let bad = WorkerName::new("r00w0");
    zone.break_worker(&bad, true);
    let mut jobs = Vec::new();
    for number in 0..12 {
        jobs.push(zone.submit(&format!("j{number}"), "a", "batch", 1, 2));
    }
    zone.run_for(60_000);
    let state_of = |zone: &FakeZone| {
        let workers = zone.placer.status(None).workers;
        workers
            .into_iter()
            .find(|w| w.worker == bad)
            .expect("listed")
            .state
    };
    assert_eq!(state_of(&zone), "quarantined");
    zone.run_for(120_000);
    assert!(
        jobs.iter()
            .all(|job_id| zone.phase(job_id) == JobPhase::Finished)
    );
    zone.break_worker(&bad, false);
    zone.run_for(300_000);
    zone.submit("t1", "a", "batch", 1, 2);
    zone.run_for(80_000);
    assert_eq!(state_of(&zone), "live");
}

#[test]
fn verify_job_that_fails_everywhere_is_stopped_and_blames_no_worker() {
    // A job that always fails is tried on three workers. It ends as failed, and its failures no longer
    // count against these workers.
    let mut zone = FakeZone::started(&[RACK], table(&[]));
    let always_fails = ActualRun {
        run_ms: 1_000,
        fails: true,
    };
    let job_id = zone.submit_job(job("j1", "a", "batch", 1, 8), always_fails);
    zone.run_for(60_000);
    assert_eq!(zone.phase(&job_id), JobPhase::Failed);
    assert_eq!(zone.commits.len(), 3);
    let workers = zone.placer.status(None).workers;
    assert!(
        workers
            .iter()
            .all(|w| w.state == "live" && w.reason.is_empty())
    );
}

#[test]
fn verify_large_job_within_its_guarantee_starts_within_the_stated_bound() {
    // An urgent job splits the customer's large cell, and a steady flow of small jobs of the same customer
    // keeps the rest of it busy. The large job was accepted before them: after ten minutes it reclaims
    // the cell from this younger work, which is requeued.
    let mut zone = FakeZone::started(&[RACK], table(&[("a", 1, 32)]));
    let actual_run = ActualRun {
        run_ms: 30_000,
        fails: false,
    };
    zone.submit_job(job("u", "a", "urgent", 1, 8), actual_run);
    zone.run_for(1_000);
    let large = zone.submit_job(job("large", "a", "batch", 1, 32), LONG_RUN);
    for number in 0..80 {
        let actual_run = ActualRun {
            run_ms: 400_000,
            fails: false,
        };
        zone.submit_job(job(&format!("s{number}"), "a", "batch", 1, 8), actual_run);
        zone.run_for(10_000);
    }
    let submitted = zone.records[&large].accepted_at_ms;
    let started = zone.starts.get(&large).and_then(|starts| starts.first());
    let waited = started.expect("it has started").0.since(submitted);
    assert!(waited.0 <= 610_000, "{waited}");
}

#[test]
fn verify_recorded_start_of_a_dead_owner_is_never_repeated() {
    // The start of an unrepeatable job was recorded and one of its two members committed; its worker is
    // then cut off and the owner dies. The new owner finds only a reservation, which expires. The job
    // may still run on the unresponsive worker, so it must end as "may have run".
    let mut zone = FakeZone::started(&[&[8, 8]], table(&[]));
    let mut commits = 0;
    zone.set_delivery(move |_, command| {
        if matches!(command, WorkerCommand::Commit(_)) {
            commits += 1;
        }
        if commits > 1 {
            Delivery::LoseOrder
        } else {
            Delivery::Deliver
        }
    });
    let mut spec = job("j1", "a", "batch", 2, 8);
    spec.repeatable = false;
    let job_id = zone.submit_job(spec, LONG_RUN);
    zone.run_for(20);
    assert_eq!(zone.commits.len(), 1);
    let cut_off = zone.commits[0].1.clone();
    zone.workers
        .get_mut(&cut_off)
        .expect("known worker")
        .is_down = true;
    zone.set_delivery(|_, _| Delivery::Deliver);
    zone.take_over();
    zone.run_for(70_000);
    zone.workers
        .get_mut(&cut_off)
        .expect("known worker")
        .is_down = false;
    zone.run_for(60_000);
    assert_eq!(zone.phase(&job_id), JobPhase::MayHaveRun);
    assert_eq!(zone.commits.len(), 1);
}
