//! The cases. Each returns the ways in which its rule was broken; none if it held.

use crate::record::Record;
use crate::runner::Shape;
use crate::site::{Route, Site, ZONES, desired};

pub fn play(case: &str, record: &str, has_trouble: bool) -> Result<Vec<String>, String> {
    match case {
        "many-ends" => many_ends(record, has_trouble),
        "many-ends-killed" => many_ends_killed(record, has_trouble),
        "rack-taken-away" => rack_taken_away(record, has_trouble),
        "flapping-runner" => flapping_runner(record, has_trouble),
        "route-dropped" => route_dropped(record, has_trouble),
        "pending" => pending(record, has_trouble),
        _ => Err(format!("no such case: {case}")),
    }
}

/// Runners of about 32 cores and 64 GB, eight a rack.
fn runners(count: usize, gpu: u64) -> Vec<Shape> {
    let shapes = (0..count).map(|number| Shape {
        service: "booking-desk".to_owned(),
        kind: "a".to_owned(),
        zone: ZONES[number / 8 % 3].to_owned(),
        rack: format!("r1-{}", number / 8 + 1),
        cpu: 32_000,
        mem_mb: 65_536,
        gpu,
    });
    shapes.collect()
}

const REFINE: Route = Route { name: "orbit-refine", prefix: "/refine/", service: "booking-desk", priority: 2 };

/// Starts of a subtask after a run of it ended `done`, where that end was taken note of.
fn doubled(record: &Record) -> Vec<String> {
    let ends = record.ends();
    let done = ends.iter().filter(|end| end.how == "done" && end.seen_at_ms.is_some() && !end.is_lapsed);
    let done: Vec<_> = done.collect();
    let mut broken = Vec::new();
    for start in record.starts() {
        let earlier = done.iter().find(|end| end.task == start.task && end.at_ms < start.at_ms);
        if let Some(end) = earlier {
            broken.push(format!(
                "{} run {} started at {} ms on {}; run {} had ended done at {} ms on {} as end {}, LastSeen reached it at {} ms",
                start.task,
                start.run,
                start.at_ms,
                start.runner,
                end.run,
                end.at_ms,
                end.runner,
                end.number,
                end.seen_at_ms.unwrap_or(0)
            ));
        }
    }
    broken
}

const MANY_ENDS_JOB: &str = "/refine/5c0e7a21d94b36f8";

/// A job of 1,250 small subtasks that all run on one runner for 7 s; returns when the first of them started.
fn start_many(site: &Site) -> Result<u64, String> {
    let body = "{\"Spec\":\"7000\",\"Steps\":[{\"Count\":1250,\"Cpu\":25,\"MemMb\":50,\"EstimateMs\":7000}]}";
    site.hand_in(MANY_ENDS_JOB, body)?;
    site.wait("all subtasks run", 6, |site| site.runners.iter().map(|runner| runner.running()).sum::<usize>() == 1_250)?;
    Ok(site.record.starts().iter().map(|start| start.at_ms).min().unwrap_or(0))
}

/// Waits for the end of the job, and for its ends to be taken note of.
fn finish_many(site: &Site) -> Result<Vec<String>, String> {
    site.wait("the job is completed", 40, |site| site.hosts[0].state(MANY_ENDS_JOB).as_deref() == Some("completed"))?;
    site.pause(8_000);
    Ok(doubled(&site.record))
}

/// More than 500 runs end on a runner that is cut off for 5.5 s: two answers and a half list them all.
fn many_ends(record: &str, has_trouble: bool) -> Result<Vec<String>, String> {
    let site = Site::open(record, &desired(1, &[REFINE], &["booking-desk"]), &runners(17, 8))?;
    let first_start_ms = start_many(&site)?;
    let busiest = site.runners.iter().max_by_key(|runner| runner.running()).ok_or("no runner")?;
    site.record.line(&format!("runner {} has {} runs", busiest.name, busiest.running()));
    // The work takes 7 s, and the cut spans its end.
    site.pause((first_start_ms + 6_000).saturating_sub(site.record.now_ms()));
    if has_trouble {
        site.record.line(&format!("runner {} is cut off", busiest.name));
        busiest.link.cut();
    }
    site.pause(5_500);
    if has_trouble {
        site.record.line(&format!("runner {} is back", busiest.name));
        busiest.link.heal();
    }
    finish_many(&site)
}

/// The same runs end while the coordinator's process has been killed and no other coordinates yet.
fn many_ends_killed(record: &str, has_trouble: bool) -> Result<Vec<String>, String> {
    let mut site = Site::open(record, &desired(1, &[REFINE], &["booking-desk"]), &runners(17, 8))?;
    let first_start_ms = start_many(&site)?;
    site.pause((first_start_ms + 6_800).saturating_sub(site.record.now_ms()));
    if has_trouble {
        let coordinator = site.coordinator().ok_or("no host coordinates")?;
        site.hosts[coordinator].kill();
        site.pause(3_500);
        site.hosts[coordinator].start_again().map_err(|error| error.to_string())?;
    }
    finish_many(&site)
}

/// A rack's only runner is emptied and taken away while a job is on its way to it.
fn rack_taken_away(record: &str, has_trouble: bool) -> Result<Vec<String>, String> {
    const JOB: &str = "00a1b2c3d4e5f607";
    const OTHER: &str = "00a1b2c3d4e5f608";
    let site = Site::open(record, &desired(1, &[REFINE], &["booking-desk"]), &runners(17, 0))?;
    let path = format!("/refine/{JOB}");
    let body = "{\"Spec\":\"5000\",\"Steps\":[{\"Count\":2,\"Cpu\":2800,\"MemMb\":7400,\"EstimateMs\":5000},\
                {\"Count\":2,\"Cpu\":2800,\"MemMb\":7400,\"EstimateMs\":5000,\"DataRack\":\"r1-3\",\"After\":[0]}]}";
    site.hand_in(&path, body)?;
    let last = &site.runners[16];
    if has_trouble {
        last.drain();
    }
    // `DrainMs`, and a little longer.
    site.pause(3_000);
    if has_trouble {
        last.leave();
    }
    site.wait("the first step is done", 20, |site| {
        site.record.ends().iter().filter(|end| end.how == "done" && end.seen_at_ms.is_some()).count() >= 2
    })?;
    let turn_at_ms = site.record.now_ms();
    // The traffic goes on for a while; another job shows that the service works.
    let other = format!("/refine/{OTHER}");
    site.hand_in(&other, "{\"Spec\":\"1000\",\"Steps\":[{\"Count\":2,\"Cpu\":2800,\"MemMb\":7400,\"EstimateMs\":1000}]}")?;
    site.wait("the other job is completed", 20, |site| site.hosts[0].state(&other).as_deref() == Some("completed"))?;
    // `finish_s` is 14; remote work takes three times as long.
    let until_ms = site.record.now_ms() + 14_000 + 16_000;
    while site.record.now_ms() < until_ms {
        if site.hosts[0].state(&path).as_deref() == Some("completed") {
            return Ok(Vec::new());
        }
        site.pause(1_000);
    }
    let starts = site.record.starts();
    let began = starts.iter().any(|start| start.task.starts_with(&format!("{JOB}.0.1.")));
    let waited_ms = site.record.now_ms() - turn_at_ms;
    if began {
        return Err("the second step has begun and is not over".to_owned());
    }
    Ok(vec![format!(
        "{JOB} is {:?}: no subtask of its second step has started for {waited_ms} ms after its turn, and all {} runners are idle",
        site.hosts[0].state(&path),
        site.runners.len() - 1
    )])
}

/// The only runner of its kind goes down and up by turns, and is back for good then.
fn flapping_runner(record: &str, has_trouble: bool) -> Result<Vec<String>, String> {
    const JOB: &str = "00f1a2b3c4d5e6f7";
    /// `gap_s` 1.6 and `for_s` 7.8 of `srv_flap`.
    const PERIOD_MS: u64 = 1_600;
    const FLAPS_MS: u64 = 7_800;
    let mut shapes = runners(17, 8);
    shapes[16].kind = "b".to_owned();
    let site = Site::open(record, &desired(1, &[REFINE], &["booking-desk"]), &shapes)?;
    let path = format!("/refine/{JOB}");
    let body = "{\"Spec\":\"600000\",\"Steps\":[{\"Count\":1,\"Cpu\":2800,\"MemMb\":7400,\"Gpu\":1,\"EstimateMs\":3000,\
                \"Requires\":\"b\",\"LongRunning\":true}]}";
    site.hand_in(&path, body)?;
    let runner = &site.runners[16];
    site.wait("the subtask runs", 5, |_| runner.running() == 1)?;
    site.pause(500);
    if has_trouble {
        let until_ms = site.record.now_ms() + FLAPS_MS;
        while site.record.now_ms() + PERIOD_MS <= until_ms {
            runner.crash();
            site.pause(PERIOD_MS / 2);
            runner.restart();
            site.pause(PERIOD_MS / 2);
        }
    }
    // The runner is back; a subtask that lasts has to run again within seconds.
    site.pause(20_000);
    let state = site.hosts[0].state(&path);
    let failed = site.record.ends().iter().filter(|end| end.how == "failed").count();
    let running = runner.running();
    if state.as_deref() == Some("running") && running == 1 {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "{JOB} is {state:?} though nobody cancelled it and {failed} runs ended failed; the runner has been back for 20 s and runs {running}"
    )])
}

/// A route is dropped while a job of it waits for its time, and the hosts are restarted in turn.
fn route_dropped(record: &str, has_trouble: bool) -> Result<Vec<String>, String> {
    const JOB: &str = "00c1a2b3c4d5e6f7";
    const PLAN: Route = Route { name: "pass-plan", prefix: "/plan/", service: "plan-desk", priority: 1 };
    let mut shapes = runners(9, 8);
    for shape in &mut shapes[6..] {
        shape.service = "plan-desk".to_owned();
    }
    let mut site = Site::open(record, &desired(1, &[REFINE, PLAN], &["booking-desk", "plan-desk"]), &shapes)?;
    let due_ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_err(|e| e.to_string())?.as_millis() as u64 + 25_000;
    let body = format!("{{\"Spec\":\"1000\",\"Steps\":[{{\"Count\":2,\"Cpu\":2800,\"MemMb\":7400,\"Gpu\":1,\"EstimateMs\":1000}}],\"Times\":2,\"StartAtMs\":{due_ms},\"IntervalMs\":3000}}");
    site.hand_in(&format!("/plan/{JOB}"), &body)?;
    let began_ms = site.record.now_ms();
    if has_trouble {
        site.operator_writes(&desired(2, &[REFINE], &["booking-desk", "plan-desk"]));
        site.pause(3_000);
        for number in 0..site.hosts.len() {
            site.hosts[number].stop();
            site.hosts[number].start_again().map_err(|e| e.to_string())?;
            site.pause(1_300);
        }
    }
    let until_ms = began_ms + 25_000 + 14_000;
    site.pause(until_ms.saturating_sub(site.record.now_ms()));
    let starts = site.record.starts();
    let count = starts.iter().filter(|start| start.task.starts_with(JOB)).count();
    if count == 4 {
        return Ok(Vec::new());
    }
    Ok(vec![format!("{JOB} was accepted, its times came 14 s and 11 s ago, and {count} of 4 subtasks have started")])
}

/// A job is placed on a runner that was just cut off.
fn pending(record: &str, has_trouble: bool) -> Result<Vec<String>, String> {
    const JOB: &str = "00d1a2b3c4d5e6f7";
    let mut shapes = runners(6, 8);
    shapes[5].kind = "b".to_owned();
    let site = Site::open(record, &desired(1, &[REFINE], &["booking-desk"]), &shapes)?;
    let runner = &site.runners[5];
    if has_trouble {
        runner.link.cut();
    }
    let cut_ms = site.record.now_ms();
    site.hand_in(&format!("/refine/{JOB}"), "{\"Spec\":\"3000\",\"Steps\":[{\"Count\":1,\"Cpu\":2800,\"MemMb\":7400,\"Gpu\":1,\"EstimateMs\":3000,\"Requires\":\"b\"}]}")?;
    let accepted_ms = site.record.now_ms();
    let mut broken = Vec::new();
    while site.record.now_ms() < cut_ms + 5_450 {
        let asked_ms = site.record.now_ms();
        let pending = site.hosts[0].pending("/refine/");
        let has_begun = !site.record.starts().is_empty();
        if asked_ms > accepted_ms + 5_000 && !has_begun && pending == Some(0) {
            broken.push(format!("Pending is 0 at {asked_ms} ms; {JOB} was accepted at {accepted_ms} ms and has not begun"));
        }
        site.pause(30);
    }
    if has_trouble {
        runner.link.heal();
    }
    site.wait("the job is completed", 30, |site| site.hosts[0].state(&format!("/refine/{JOB}")).as_deref() == Some("completed"))?;
    Ok(broken)
}
