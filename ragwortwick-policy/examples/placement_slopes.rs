//! Time and counted steps of one placement decision, from 50 to 350 workers and gang 8 to 1024.
//!
//! `cargo run --release --example placement_slopes`

#[path = "../tests/fake_zone/mod.rs"]
mod fake_zone;

use std::time::Instant;

use fake_zone::tables::table;
use fake_zone::{ActualRun, FakeZone, job};
use ragwortwick_border::JobRecord;
use ragwortwick_policy::ZoneEvent;

const SAMPLES: usize = 11;

fn main() {
    for (workers, gangs) in [(50, 350), (350, 350), (350, 2450)] {
        measure_steady(workers, gangs);
    }
    println!("workers,gang_accelerators,cell,running_gangs,decision_us,steps");
    for workers in [50, 100, 200, 350] {
        measure(workers, 8, 8);
    }
    for gang in [8, 64, 256, 1024] {
        measure(350, gang, 8);
        measure(350, gang, 1);
    }
}

/// Share of a core that a steady zone takes: renewals and ticks, nothing arriving.
fn measure_steady(workers: usize, gangs: usize) {
    let rows: Vec<Vec<u32>> = (0..workers.div_ceil(8))
        .map(|rack| vec![8; 8.min(workers - rack * 8)])
        .collect();
    let racks: Vec<&[u32]> = rows.iter().map(Vec::as_slice).collect();
    let mut zone = FakeZone::started(&racks, table(&[("a", 4, 32)]));
    let actual_run = ActualRun {
        run_ms: 36_000_000,
        fails: false,
    };
    for number in 0..gangs {
        zone.submit_job(job(&format!("j{number}"), "a", "batch", 1, 1), actual_run);
    }
    zone.run_for(10_000);
    zone.placer_time = std::time::Duration::ZERO;
    let sent_before = zone.orders_sent;
    zone.run_for(10_000);
    let percent = zone.placer_time.as_secs_f64() * 10.0;
    let orders_per_s = (zone.orders_sent - sent_before) / 10;
    println!(
        "steady: {workers} workers, {gangs} gangs: {percent:.2} % of a core, {orders_per_s} orders/s"
    );
}

/// Loads a zone to about half with small gangs and measures the event that places one more.
fn measure(workers: usize, gang_accelerators: u32, cell: u32) {
    let rows: Vec<Vec<u32>> = (0..workers.div_ceil(8))
        .map(|rack| vec![8; 8.min(workers - rack * 8)])
        .collect();
    let racks: Vec<&[u32]> = rows.iter().map(Vec::as_slice).collect();
    let cells = u32::try_from(workers / 16).unwrap_or(1);
    let mut zone = FakeZone::started(&racks, table(&[("a", cells, 32), ("b", cells, 8)]));
    let actual_run = ActualRun {
        run_ms: 36_000_000,
        fails: false,
    };
    for number in 0..workers * 2 {
        let customer = ["a", "b"][number % 2];
        zone.submit_job(
            job(
                &format!("j{number}"),
                customer,
                "batch",
                1,
                1 << (number % 2),
            ),
            actual_run,
        );
    }
    zone.run_for(5_000);
    let running = zone.placer.status(None).jobs_running;
    let mut times = Vec::new();
    let mut steps = 0;
    for number in 0..SAMPLES {
        let spec = job(
            &format!("p{number}"),
            "a",
            "batch",
            gang_accelerators / 8,
            8,
        );
        let record = record_of(&mut zone, spec);
        let steps_before = zone.placer.placement_steps();
        let started = Instant::now();
        let actions = zone
            .placer
            .on_event(zone.now, ZoneEvent::JobFound(record.clone()));
        times.push(started.elapsed());
        steps = zone.placer.placement_steps() - steps_before;
        assert!(
            !actions.is_empty(),
            "the gang of {gang_accelerators} found a place"
        );
        zone.placer
            .on_event(zone.now, ZoneEvent::JobCancelled(record.job_id));
        zone.run_for(1);
        drop(actions);
        settle_releases(&mut zone);
    }
    times.sort();
    let median_us = times[SAMPLES / 2].as_secs_f64() * 1e6;
    println!("{workers},{gang_accelerators},{cell},{running},{median_us:.0},{steps}");
}

/// The measured events bypass the fake's workers; a new owner starts from what they really hold.
fn settle_releases(zone: &mut FakeZone) {
    zone.records
        .retain(|_, record| !record.job_id.as_str().starts_with('p'));
    zone.take_over();
    zone.run_for(3_000);
}

fn record_of(zone: &mut FakeZone, spec: ragwortwick_border::JobSubmit) -> JobRecord {
    JobRecord {
        accepted_at_ms: zone.now,
        attempt: 0,
        cancel_requested: false,
        job_id: spec.job_id.clone().expect("named"),
        nonce: String::new(),
        phase: ragwortwick_border::JobPhase::Waiting,
        reason: String::new(),
        spec,
        zone: fake_zone::ZONE.into(),
    }
}
