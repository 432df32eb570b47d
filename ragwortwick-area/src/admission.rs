//! Admission control of queues for which there is too little capacity.
//!
//! The load: jobs of a queue arrive faster than they are started, for longer than their callers have any use for the
//! result. Such a job waits, is asked for again and again, and ends in nothing. It is refused when it is handed in, with the
//! time when capacity is expected for it; in a shortage of seconds waiting is better than coming back, so it is accepted.

use std::collections::BTreeMap;

use ragwortwick_core::{ClassName, DurationMs, TimeMs, common};

use crate::job::JobRecord;

/// Version of the picture's layout.
const LAYOUT_VERSION: u32 = 1;

/// Age of a picture from which a host accepts everything: the shortage may be over.
pub(crate) const MAX_PICTURE_AGE_MS: DurationMs = DurationMs(4_000);

/// Time constant over which starts are averaged.
const RATE_WINDOW_MS: DurationMs = DurationMs(10_000);

/// How long jobs must have waited without a break before their queue counts as short of capacity.
const SHORT_AFTER_MS: DurationMs = DurationMs(3_000);

/// Number of waiting jobs below which a queue is not short of capacity: some wait only for a gap of their shape.
const MIN_WAITING_JOBS: usize = 3;

/// Longest time that callers are told to stay away for: by then the load may be another.
const MAX_RETRY_AFTER_MS: DurationMs = DurationMs(30_000);

/// A job that ends later than this many times its latency objective is of no use to its caller.
const MAX_LATENESS_FACTOR: f64 = 3.0;

/// Share of the time to come back over which it is spread, so that callers don't return together.
const SPREAD_SHARE: f64 = 0.5;

/// Weight of the newest job in the average of how long jobs take against their customers' estimates.
const RATIO_WEIGHT: f64 = 0.1;

/// `QueueLoad` is the load of one queue, as the coordinator tells the hosts.
#[common(wire)]
#[derive(Copy, Eq)]
pub struct QueueLoad {
    /// Expected time until a job that is handed in now is started.
    pub wait_ms: DurationMs,
    /// How long jobs take in per cent of their customers' estimates.
    pub duration_percent: u32,
}

/// `LoadPicture` is the load of the queues that are short of capacity.
#[common(wire)]
#[derive(Eq, Default)]
pub struct LoadPicture {
    /// Version of the layout.
    pub version: u32,
    /// Queues that are short of capacity.
    pub queues: BTreeMap<ClassName, QueueLoad>,
}

/// `Admission` is the decision on a job that is handed in.
#[common]
#[derive(Copy)]
pub enum Admission {
    /// The job is accepted.
    Accepted,
    /// It would be of no use to its caller by the time it ends.
    Refused {
        /// Time after which capacity is expected for it.
        retry_after_ms: DurationMs,
    },
}

impl LoadPicture {
    /// `is_known_layout` reports whether this version of the program can read the picture.
    #[must_use]
    pub fn is_known_layout(&self) -> bool {
        self.version == LAYOUT_VERSION
    }

    /// `admit` decides whether a job is accepted, by a picture of the given age.
    ///
    /// A job that its customer's guarantee may cover is always accepted. `spread` is a random number from 0 to 1.
    #[must_use]
    pub fn admit(
        &self,
        age_ms: DurationMs,
        record: &JobRecord,
        guaranteed_accelerators: u64,
        spread: f64,
    ) -> Admission {
        let load = self.queues.get(&record.queue);
        let Some(load) = load.filter(|_| age_ms <= MAX_PICTURE_AGE_MS) else {
            return Admission::Accepted;
        };
        let may_be_guaranteed = record.policy.priority == 0
            && widest_step_accelerators(record) <= guaranteed_accelerators;
        if may_be_guaranteed || record.schedule.is_some() || has_lasting_step(record) {
            return Admission::Accepted;
        }
        let duration_ms = record
            .critical_path_ms()
            .scaled(f64::from(load.duration_percent) / 100.0);
        let value_ends_ms = record
            .policy
            .objective_ms(duration_ms)
            .scaled(MAX_LATENESS_FACTOR);
        let ends_ms = load.wait_ms + duration_ms;
        if ends_ms <= value_ends_ms {
            return Admission::Accepted;
        }
        let too_long_ms = DurationMs(ends_ms.0 - value_ends_ms.0);
        // The spread counts after the limit, so that callers of a long shortage don't return together either.
        let retry_after_ms = too_long_ms.min(MAX_RETRY_AFTER_MS);
        Admission::Refused {
            retry_after_ms: retry_after_ms + retry_after_ms.scaled(SPREAD_SHARE * spread),
        }
    }
}

fn widest_step_accelerators(record: &JobRecord) -> u64 {
    let steps = record.steps.iter();
    let accelerators = steps.map(|step| step.need.accelerators * u64::from(step.count));
    accelerators.max().unwrap_or(0)
}

fn has_lasting_step(record: &JobRecord) -> bool {
    record.steps.iter().any(|step| step.is_long_running)
}

/// `ServiceRate` is the recent rate of starts of one queue.
#[derive(Clone, Copy, Debug)]
struct ServiceRate {
    observed_since: TimeMs,
    /// Number of recent starts, each weighted by its age.
    weighted_starts: f64,
    updated_at: TimeMs,
}

impl ServiceRate {
    fn new(now: TimeMs) -> Self {
        Self {
            observed_since: now,
            weighted_starts: 0.0,
            updated_at: now,
        }
    }

    fn record(&mut self, now: TimeMs) {
        self.weighted_starts = self.weighted_starts(now) + 1.0;
        self.updated_at = now;
    }

    fn weighted_starts(&self, now: TimeMs) -> f64 {
        self.weighted_starts * decay(now.since(self.updated_at))
    }

    /// Expected time until the given number of jobs has started.
    ///
    /// At least one start is reckoned with: that none was seen for seconds, as after a takeover, does not show that
    /// there will be none.
    fn wait_ms(&self, now: TimeMs, jobs: usize) -> DurationMs {
        let observed = 1.0 - decay(now.since(self.observed_since));
        let jobs = f64::from(u32::try_from(jobs).unwrap_or(u32::MAX));
        let starts = self.weighted_starts(now).max(1.0);
        RATE_WINDOW_MS.scaled(observed * jobs / starts)
    }
}

fn decay(age_ms: DurationMs) -> f64 {
    (-age_ms.as_secs_f64() / RATE_WINDOW_MS.as_secs_f64()).exp()
}

/// `QueueBacklog` tracks the waiting jobs of one queue and how fast they are started.
#[derive(Clone, Copy, Debug)]
struct QueueBacklog {
    starts: ServiceRate,
    waiting_jobs: usize,
    /// Since when jobs have waited without a break.
    waiting_since: Option<TimeMs>,
    is_short: bool,
    /// How long jobs take against their customers' estimates.
    duration_ratio: f64,
}

impl QueueBacklog {
    fn new(now: TimeMs) -> Self {
        Self {
            starts: ServiceRate::new(now),
            waiting_jobs: 0,
            waiting_since: None,
            is_short: false,
            duration_ratio: 1.0,
        }
    }

    /// Updates the number of waiting jobs.
    ///
    /// Hysteresis: a queue becomes short of capacity after seconds with a backlog and stays so until few jobs wait.
    fn update(&mut self, now: TimeMs, waiting_jobs: usize) {
        self.waiting_jobs = waiting_jobs;
        if waiting_jobs < MIN_WAITING_JOBS {
            self.waiting_since = None;
            self.is_short = false;
            return;
        }
        let since = *self.waiting_since.get_or_insert(now);
        self.is_short |= now.since(since) >= SHORT_AFTER_MS;
    }
}

/// `Backlogs` tracks the backlog of all queues.
#[derive(Debug, Default)]
pub(crate) struct Backlogs(BTreeMap<ClassName, QueueBacklog>);

impl Backlogs {
    /// Records that a job of a queue has started for the first time.
    pub(crate) fn record_start(&mut self, now: TimeMs, queue: &ClassName) {
        self.of_queue(now, queue).starts.record(now);
    }

    /// Records how long a job took against its customer's estimate.
    pub(crate) fn record_duration(
        &mut self,
        now: TimeMs,
        queue: &ClassName,
        took_ms: DurationMs,
        estimate_ms: DurationMs,
    ) {
        if estimate_ms == DurationMs(0) {
            return;
        }
        let backlog = self.of_queue(now, queue);
        let ratio = took_ms.as_secs_f64() / estimate_ms.as_secs_f64();
        backlog.duration_ratio += (ratio.clamp(0.1, 10.0) - backlog.duration_ratio) * RATIO_WEIGHT;
    }

    fn of_queue(&mut self, now: TimeMs, queue: &ClassName) -> &mut QueueBacklog {
        let backlog = self.0.entry(queue.clone());
        backlog.or_insert_with(|| QueueBacklog::new(now))
    }

    /// Updates the backlogs by the number of jobs that wait for their first start, by queue.
    pub(crate) fn update(&mut self, now: TimeMs, waiting: &BTreeMap<ClassName, usize>) {
        for queue in waiting.keys() {
            self.of_queue(now, queue);
        }
        for (queue, backlog) in &mut self.0 {
            backlog.update(now, waiting.get(queue).copied().unwrap_or(0));
        }
    }

    /// Whether any queue is short of capacity.
    pub(crate) fn is_any_short(&self) -> bool {
        self.0.values().any(|backlog| backlog.is_short)
    }

    /// Returns the queues that are short of capacity.
    pub(crate) fn picture(&self, now: TimeMs) -> LoadPicture {
        let short = self.0.iter().filter(|(_, backlog)| backlog.is_short);
        let queues = short.map(|(queue, backlog)| {
            let load = QueueLoad {
                wait_ms: backlog.starts.wait_ms(now, backlog.waiting_jobs),
                duration_percent: percent(backlog.duration_ratio),
            };
            (queue.clone(), load)
        });
        LoadPicture {
            version: LAYOUT_VERSION,
            queues: queues.collect(),
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the ratio is limited to a small positive range"
)]
fn percent(ratio: f64) -> u32 {
    (ratio * 100.0).round() as u32
}
