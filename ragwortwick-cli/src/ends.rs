//! `ragwortwick ends`: from the hosts' logs, how jobs spent their time and what made them late.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;

use ragwortwick_core::DurationMs;
use serde::Serialize;

use crate::grid::Grid;
use crate::shown::Shown;
use crate::{CliError, ExitClass};

/// What marks the line of a job's end.
const MARK: &str = "event=job_over ";

/// `run` reads log files and shows what their jobs' ends tell.
pub(crate) fn run(files: &[PathBuf]) -> Result<Shown, CliError> {
    let mut ends = Ends::default();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| {
            CliError::new(
                ExitClass::Failed,
                format!("{} can't be read: {error}", file.display()),
                "name files with the lines that hosts wrote",
            )
        })?;
        ends.read(&text);
    }
    Shown::new(ends.show(), &ends)
}

/// `Row` sums up the jobs of one queue.
#[derive(Clone, Debug, Default, Serialize)]
struct Row {
    in_time: u32,
    late: u32,
    failed: u32,
    cancelled: u32,
    /// Late jobs by what took the longest, beside the time that their work took.
    late_by: BTreeMap<String, u32>,
    /// Waits for the first room, in milliseconds.
    #[serde(skip)]
    room_ms: Vec<u64>,
    /// Jobs that a term began with or that have set times: their parts don't add up to their time.
    partial: u32,
}

/// `Lost` sums up runs that were over without having done their work.
#[derive(Clone, Debug, Default, Serialize)]
struct Lost {
    runs: u64,
    core_ms: u64,
}

/// `Ends` is what all lines tell together.
#[derive(Debug, Default, Serialize)]
struct Ends {
    queues: BTreeMap<String, Row>,
    lost: BTreeMap<String, Lost>,
    /// Lines of ends without an account.
    unaccounted: u32,
}

impl Ends {
    fn read(&mut self, text: &str) {
        for line in text.lines() {
            let Some((_, rest)) = line.split_once(MARK) else {
                continue;
            };
            let pairs: BTreeMap<&str, &str> = rest
                .split_whitespace()
                .filter_map(|pair| pair.split_once('='))
                .collect();
            if self.take_in(&pairs).is_none() {
                self.unaccounted += 1;
            }
        }
    }

    /// Takes in one end; none if its line has no account.
    fn take_in(&mut self, pairs: &BTreeMap<&str, &str>) -> Option<()> {
        let number = |key: &str| pairs.get(key)?.parse::<u64>().ok();
        let queue = *pairs.get("queue")?;
        let took_ms = number("took_ms")?;
        let stretch = pairs.get("stretch")?.parse::<f64>().ok()?;
        let target_ms = DurationMs(number("target_ms")?);
        let losses: Vec<(&str, u64, u64)> =
            pairs.get("losses")?.split(',').filter_map(loss).collect();
        let lost_ms = number("lost_ms")?;
        // What its work took in the end, without what had to be done again.
        let work_ms = DurationMs(number("run_ms")?.saturating_sub(lost_ms));
        let objective_ms = work_ms.scaled(stretch) + target_ms;
        // Work lost for the same job by several causes is put down to the one that cost the most.
        let stopped_by = losses.iter().max_by_key(|(_, _, core_ms)| *core_ms);
        let stopped_by = stopped_by.map_or("between its runs", |(cause, _, _)| *cause);
        let room_ms = number("room_ms")?;
        let parts = [
            ("room", room_ms),
            ("begin", number("begin_ms")?),
            (stopped_by, number("again_ms")? + lost_ms),
        ];
        let held_up_by = parts.iter().max_by_key(|(_, span_ms)| *span_ms)?.0;
        for &(cause, runs, core_ms) in &losses {
            let lost = self.lost.entry(cause.to_owned()).or_default();
            lost.runs += runs;
            lost.core_ms += core_ms;
        }
        let row = self.queues.entry(queue.to_owned()).or_default();
        let is_partial =
            pairs.get("is_whole") != Some(&"true") || pairs.get("has_set_times") == Some(&"true");
        row.partial += u32::from(is_partial);
        match *pairs.get("phase")? {
            "Completed" if is_partial => {}
            "Completed" => {
                row.room_ms.push(room_ms);
                if took_ms <= objective_ms.0 {
                    row.in_time += 1;
                } else {
                    row.late += 1;
                    *row.late_by.entry(held_up_by.to_owned()).or_default() += 1;
                }
            }
            "Cancelled" => row.cancelled += 1,
            _ => row.failed += 1,
        }
        Some(())
    }

    fn show(&self) -> String {
        let mut text = String::new();
        self.show_jobs(&mut text);
        self.show_late(&mut text);
        let mut lost = Grid::new("work to do again", &["cause", "runs", "core-seconds"]);
        for (cause, sum) in &self.lost {
            lost.row([
                cause.clone(),
                sum.runs.to_string(),
                (sum.core_ms / 1_000).to_string(),
            ]);
        }
        lost.write(&mut text);
        if self.unaccounted > 0 {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{} ends without an account", self.unaccounted);
        }
        text
    }

    fn show_jobs(&self, text: &mut String) {
        let columns = [
            "queue",
            "in time",
            "late",
            "failed",
            "cancelled",
            "partial",
            "half waited ms",
            "95 of 100 ms",
        ];
        let mut jobs = Grid::new("jobs that ended", &columns);
        for (queue, row) in &self.queues {
            let mut room_ms = row.room_ms.clone();
            room_ms.sort_unstable();
            jobs.row([
                queue.clone(),
                row.in_time.to_string(),
                row.late.to_string(),
                row.failed.to_string(),
                row.cancelled.to_string(),
                row.partial.to_string(),
                percentile(&room_ms, 50),
                percentile(&room_ms, 95),
            ]);
        }
        jobs.write(text);
    }

    fn show_late(&self, text: &mut String) {
        let mut late = Grid::new("late jobs", &["queue", "held up most by", "jobs"]);
        for (queue, row) in &self.queues {
            for (cause, jobs) in &row.late_by {
                late.row([queue.clone(), cause.clone(), jobs.to_string()]);
            }
        }
        late.write(text);
    }
}

/// One cause with its runs and what they had done, as the line tells it.
fn loss(text: &str) -> Option<(&str, u64, u64)> {
    let mut words = text.split(':');
    let cause = words.next()?;
    let runs = words.next()?.parse().ok()?;
    let core_ms = words.next()?.parse().ok()?;
    Some((cause, runs, core_ms))
}

/// The value that so many of a hundred don't exceed; `-` of nothing.
fn percentile(sorted: &[u64], percent: usize) -> String {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted
        .get(index)
        .map_or_else(|| "-".to_owned(), ToString::to_string)
}
