//! What must hold at the end of a storm, from what callers and workers saw.

use std::collections::BTreeSet;
use std::time::Duration;

use ragwortwick_standin::{AreaFleet, StartedRun};
use tokio::time::{Instant, sleep};

use super::{Storm, Told};
use crate::play::Found;

/// Pause between two looks at jobs that are not over.
const LOOK_PAUSE: Duration = Duration::from_millis(500);

impl Storm {
    /// Checks what callers were told against what ran.
    pub(super) async fn check(&self) -> Found {
        let told = self.told.lock().await;
        let fleet = self.fleet.read().await;
        let mut found = Found {
            accepted: told.accepted.len(),
            refused: told.refused.len(),
            ..Found::default()
        };
        self.settle(&fleet, &told, &mut found).await;
        let starts = fleet.workers.starts();
        found.starts = starts.len();
        check_overlaps(&fleet, &mut found);
        check_repeats(&fleet, &starts, &mut found);
        let refused: BTreeSet<&str> = told.refused.iter().map(String::as_str).collect();
        for start in &starts {
            let job = start.task.split('.').next().unwrap_or_default();
            if refused.contains(job) {
                found.findings.push(format!("{job} was refused and ran"));
            }
        }
        found
    }

    /// Every accepted job comes to its end.
    async fn settle(&self, fleet: &AreaFleet, told: &Told, found: &mut Found) {
        let until = Instant::now() + self.plan.settle;
        let mut open: Vec<&(&str, String)> = told.accepted.iter().collect();
        while !open.is_empty() && Instant::now() < until {
            let mut left = Vec::new();
            for job in open {
                let is_late = Instant::now() >= until;
                if is_late || fleet.state_in(job.0, 0, &job.1).await.as_deref() != Some("completed")
                {
                    left.push(job);
                }
            }
            open = left;
            sleep(LOOK_PAUSE).await;
        }
        for (queue, id) in open {
            let state = fleet.state_in(queue, 0, id).await;
            let text = format!("{id} was accepted and is {state:?} in the end");
            found.findings.push(text);
        }
    }

    /// Writes the hosts' logs and the runs, if the plan says where.
    pub(super) async fn write_logs(&self) {
        let Some(directory) = &self.plan.log_directory else {
            return;
        };
        let directory = format!("{directory}/seed-{}", self.plan.seed);
        let write = |name: &str, lines: &[String]| {
            let path = format!("{directory}/{name}.log");
            if let Err(error) = std::fs::write(&path, lines.join("\n")) {
                eprintln!("{path}: {error}");
            }
        };
        if let Err(error) = std::fs::create_dir_all(&directory) {
            eprintln!("{directory}: {error}");
            return;
        }
        for (name, lines) in self.replaced_logs.lock().await.iter() {
            write(name, lines);
        }
        let fleet = self.fleet.read().await;
        for host in &fleet.hosts {
            write(host.host().as_str(), &host.lines());
        }
        let starts = fleet.workers.starts();
        let runs: Vec<String> = starts.iter().map(|run| describe(&fleet, run)).collect();
        write("runs", &runs);
    }
}

/// No task has two runs at once, whichever of them was ordered first.
fn check_overlaps(fleet: &AreaFleet, found: &mut Found) {
    for (earlier, later) in fleet.workers.overlapping_runs() {
        found.findings.push(format!(
            "two runs at once: [{}] while [{}]",
            describe(fleet, &later),
            describe(fleet, &earlier)
        ));
    }
}

/// No task runs again after it had completed, and no run begins twice.
fn check_repeats(fleet: &AreaFleet, starts: &[StartedRun], found: &mut Found) {
    for repeated in fleet.workers.repeated_runs() {
        found.findings.push(format!(
            "[{}] began after run {} had completed",
            describe(fleet, &repeated.start),
            repeated.completed_run
        ));
    }
    let mut seen = BTreeSet::new();
    for start in starts {
        if !seen.insert((&start.task, start.run)) {
            let text = format!("began twice: [{}]", describe(fleet, start));
            found.findings.push(text);
        }
    }
}

fn describe(fleet: &AreaFleet, run: &StartedRun) -> String {
    let end = run
        .end
        .map_or_else(|| "none".to_owned(), |(at, kind)| format!("{kind}@{at}"));
    let stop = run
        .stop_at
        .map_or_else(|| "none".to_owned(), |at| at.to_string());
    format!(
        "{} run={} worker={} zone={} token={} start={} stop={stop} end={end} is_end_acknowledged={}",
        run.task,
        run.run,
        run.worker,
        fleet.workers.zone(&run.worker),
        run.token,
        run.started_at,
        run.is_end_acknowledged
    )
}
