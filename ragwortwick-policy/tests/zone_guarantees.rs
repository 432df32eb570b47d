//! Checks after every event that all unused guaranteed cells can be reclaimed at the same time.

mod fake_zone;

use fake_zone::tables::table;
use fake_zone::{ActualRun, FakeZone, job};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use ragwortwick_core::{JobId, WorkerName};
use ragwortwick_policy::GuaranteeAudit;

const RACKS: &[&[u32]] = &[&[8, 8, 8], &[8, 4, 8]];

/// Guarantees that fit the racks above when all workers are up.
const GUARANTEES: [&[(&str, u32, u32)]; 4] = [
    &[("a", 1, 16), ("b", 1, 8), ("b", 2, 2)],
    &[("a", 2, 8), ("b", 1, 16)],
    &[("a", 1, 4), ("a", 1, 1), ("b", 1, 16), ("b", 1, 2)],
    &[("b", 2, 16)],
];

#[derive(Clone, Debug)]
enum Step {
    Submit {
        customer: u8,
        urgent: bool,
        cells: u8,
        size: u8,
        run_s: u8,
    },
    Burst {
        customer: u8,
        size: u8,
    },
    CancelWave {
        keep: u8,
    },
    Kill(u8),
    LoseRack(u8),
    Unlist(u8),
    Revive(u8),
    Break(u8),
    EditTable(u8),
    TakeOver,
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = u8::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=4 => Self::Submit {
                customer: byte,
                urgent: bool::arbitrary(g),
                cells: u8::arbitrary(g),
                size: u8::arbitrary(g),
                run_s: u8::arbitrary(g),
            },
            5 => Self::Burst {
                customer: byte,
                size: u8::arbitrary(g),
            },
            6 => Self::CancelWave { keep: byte },
            7 => Self::Kill(byte),
            8 => Self::LoseRack(byte),
            9 => Self::Unlist(byte),
            10 => Self::Revive(byte),
            11 => Self::Break(byte),
            12 => Self::EditTable(byte),
            13 => Self::TakeOver,
            _ => Self::Wait(byte),
        }
    }
}

/// Tries every position for every cell, largest first.
fn brute_force(workers: &mut Vec<(usize, u32)>, cells: &[u32], from: usize) -> bool {
    let Some((size, rest)) = cells.split_first() else {
        return true;
    };
    // Equal cells are interchangeable, so the next one starts its search at this position.
    let next_from = |place: usize| if rest.first() == Some(size) { place } else { 0 };
    if *size > 8 {
        return brute_force_rack(workers, *size, rest);
    }
    let blocks = 8 / *size as usize;
    for place in from..workers.len() * blocks {
        let (worker, block) = (place / blocks, place % blocks);
        let mask = ((1u32 << size) - 1) << (block * *size as usize);
        if workers[worker].1 & mask == mask {
            workers[worker].1 &= !mask;
            if brute_force(workers, rest, next_from(place)) {
                return true;
            }
            workers[worker].1 |= mask;
        }
    }
    false
}

fn brute_force_rack(workers: &mut Vec<(usize, u32)>, size: u32, rest: &[u32]) -> bool {
    for rack in 0..4 {
        let whole: Vec<usize> = (0..workers.len())
            .filter(|worker| workers[*worker].0 == rack && workers[*worker].1 == 0xff)
            .collect();
        let need = (size / 8) as usize;
        if whole.len() < need {
            continue;
        }
        for worker in &whole[..need] {
            workers[*worker].1 = 0;
        }
        if brute_force(workers, rest, 0) {
            return true;
        }
        for worker in &whole[..need] {
            workers[*worker].1 = 0xff;
        }
    }
    false
}

fn packs(audit: &GuaranteeAudit, include_short: bool) -> bool {
    let mut workers: Vec<(usize, u32)> = audit
        .workers
        .iter()
        .map(|worker| (worker.rack, worker.reclaimable))
        .collect();
    let short = audit.short.iter().filter(|_| include_short);
    let mut cells: Vec<u32> = audit
        .unused
        .iter()
        .chain(short)
        .map(|cell| cell.size)
        .collect();
    cells.sort_unstable_by(|a, b| b.cmp(a));
    brute_force(&mut workers, &cells, 0)
}

fn check(zone: &FakeZone) {
    let audit = zone.placer.audit_guarantees();
    assert!(audit.violations.is_empty(), "{:?}", audit.violations);
    assert!(packs(&audit, false), "cannot be reclaimed: {audit:?}");
}

fn worker_name(index: u8) -> WorkerName {
    let index = usize::from(index) % 6;
    WorkerName::new(format!("r{:02}w{}", index / 3, index % 3))
}

fn apply(zone: &mut FakeZone, number: usize, step: &Step, jobs: &mut Vec<JobId>) {
    let customer_of = |byte: u8| ["a", "b"][usize::from(byte % 2)];
    match step {
        Step::Submit {
            customer,
            urgent,
            cells,
            size,
            run_s,
        } => {
            let class = if *urgent { "urgent" } else { "batch" };
            let size = 1 << (size % 5);
            let cells = u32::from(cells % 3) + 1;
            let spec = job(
                &format!("j{number}"),
                customer_of(*customer),
                class,
                cells,
                size,
            );
            let actual_run = ActualRun {
                run_ms: u64::from(*run_s) * 1_000 + 500,
                fails: run_s % 16 == 15,
            };
            jobs.push(zone.submit_job(spec, actual_run));
        }
        Step::Burst { customer, size } => {
            for index in 0..12 {
                let id = format!("j{number}b{index}");
                let spec = job(&id, customer_of(*customer), "batch", 1, 1 << (size % 4));
                let actual_run = ActualRun {
                    run_ms: 30_000,
                    fails: false,
                };
                jobs.push(zone.submit_job(spec, actual_run));
            }
        }
        Step::CancelWave { keep } => {
            let kept = usize::from(*keep) % (jobs.len() + 1);
            for job_id in jobs.split_off(kept) {
                zone.cancel(&job_id);
            }
        }
        Step::Kill(index) => zone.kill(&worker_name(*index)),
        Step::LoseRack(rack) => {
            for index in 0..3 {
                zone.kill(&worker_name(rack % 2 * 3 + index));
            }
        }
        Step::Unlist(index) => zone.unlist(&worker_name(*index)),
        Step::Revive(index) => zone.revive(&worker_name(*index)),
        Step::Break(index) => {
            let worker = zone
                .workers
                .get_mut(&worker_name(*index))
                .expect("known worker");
            worker.is_broken = !worker.is_broken;
        }
        Step::EditTable(index) => {
            zone.accept(table(GUARANTEES[usize::from(*index) % GUARANTEES.len()]));
        }
        Step::TakeOver => zone.take_over(),
        Step::Wait(span) => zone.run_for(u64::from(*span) * 200),
    }
}

#[test]
fn verify_unused_guarantees_pack_after_every_event() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands over owned values"
    )]
    fn holds(steps: Vec<Step>) -> bool {
        run(&steps);
        true
    }
    QuickCheck::new()
        .tests(150)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

fn submit(customer: u8, urgent: bool, cells: u8, size: u8, run_s: u8) -> Step {
    Step::Submit {
        customer,
        urgent,
        cells,
        size,
        run_s,
    }
}

fn run(steps: &[Step]) {
    let mut zone = FakeZone::started(RACKS, table(GUARANTEES[0]));
    zone.after_event = Some(check);
    let mut jobs = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        apply(&mut zone, number, step, &mut jobs);
        zone.run_for(50);
    }
    for index in 0..6 {
        zone.revive(&worker_name(index));
    }
    zone.run_for(150_000);
    // A recently failed member is detected at the next renewal; after that no partial gang may remain.
    let before = zone.partial_gangs();
    zone.run_for(20_000);
    let lasting: Vec<_> = zone
        .partial_gangs()
        .intersection(&before)
        .cloned()
        .collect();
    assert!(lasting.is_empty(), "{lasting:?}");
    // With all workers up and none quarantined, all guaranteed cells that fit must be bound.
    let audit = zone.placer.audit_guarantees();
    let is_any_worker_not_live = zone
        .placer
        .status(None)
        .workers
        .iter()
        .any(|worker| worker.state != "live");
    assert!(
        is_any_worker_not_live || audit.short.is_empty() || !packs(&audit, true),
        "{audit:?}"
    );
}

#[test]
fn verify_end_of_a_gang_frees_no_home_that_another_uses() {
    // Found by quickcheck: racks and workers are lost around guaranteed work and a table edit moves the
    // guarantees, then the end of one gang marked accelerators of a later gang as unused.
    run(&[
        submit(201, true, 3, 131, 190),
        Step::TakeOver,
        submit(22, true, 0, 219, 238),
        Step::LoseRack(1),
        submit(0, false, 1, 136, 26),
        Step::Wait(70),
        Step::Unlist(182),
        Step::Wait(160),
        Step::EditTable(189),
        submit(120, true, 36, 0, 81),
        submit(22, false, 33, 1, 17),
        Step::Unlist(144),
        submit(84, false, 45, 122, 104),
        Step::Wait(20),
        Step::Wait(118),
    ]);
}

/// A worker unlisted during a cancel reported its member to the next owner, which freed another gang's cell.
#[test]
fn verify_gang_of_a_cancelled_job_shown_late_frees_no_home_of_a_later_one() {
    run(&[
        Step::Unlist(91),
        submit(36, false, 134, 235, 196),
        submit(193, true, 104, 1, 158),
        Step::Unlist(165),
        Step::CancelWave { keep: 145 },
        Step::Wait(237),
        submit(75, true, 168, 172, 97),
        Step::Wait(229),
        Step::TakeOver,
    ]);
}

/// A cell that did not fit around guaranteed work stayed unbound after that work had ended.
#[test]
fn verify_short_home_is_laid_anew_once_covered_work_ends() {
    run(&[
        submit(160, false, 196, 51, 220),
        submit(166, false, 205, 61, 250),
        submit(138, true, 1, 25, 160),
        Step::Burst {
            customer: 157,
            size: 177,
        },
        submit(76, true, 104, 160, 137),
        Step::Kill(52),
        submit(161, true, 214, 241, 162),
        Step::Burst {
            customer: 115,
            size: 168,
        },
        Step::Wait(105),
        Step::LoseRack(1),
        submit(189, true, 186, 0, 217),
        submit(223, false, 40, 5, 88),
        Step::Wait(193),
    ]);
}

/// A cell stayed unbound after guaranteed work had released the rack that the cell needed.
#[test]
fn verify_short_home_is_laid_anew_once_a_rack_is_free() {
    run(&[
        submit(27, true, 120, 0, 3),
        Step::LoseRack(12),
        submit(199, false, 126, 226, 79),
        submit(147, false, 11, 81, 194),
        Step::LoseRack(101),
        submit(243, true, 18, 108, 209),
        Step::Revive(255),
        Step::TakeOver,
        submit(255, true, 198, 91, 117),
        Step::Revive(0),
        Step::Wait(107),
        Step::Unlist(21),
        Step::Wait(255),
        Step::Revive(127),
        Step::Wait(11),
    ]);
}

/// Work that had lost its guarantee kept another customer's cell unbound.
#[test]
fn verify_work_without_its_guarantee_keeps_no_home_short() {
    run(&[
        Step::EditTable(139),
        submit(131, false, 89, 203, 37),
        Step::Unlist(191),
        Step::CancelWave { keep: 184 },
        Step::Wait(91),
        Step::Wait(253),
        Step::TakeOver,
        submit(255, true, 42, 101, 200),
        submit(239, true, 62, 196, 94),
        Step::EditTable(193),
        submit(255, true, 75, 204, 183),
        submit(190, false, 116, 20, 209),
    ]);
}
