//! One member of a gang on one worker: its lease, its progress and its end.

use ragwortwick_border::{GangOnWorker, GangPhase, GangSpec};
use ragwortwick_core::{DurationMs, Epoch, TimeMs};
use serde::Deserialize;

use crate::start_log::LogEvent;

/// `Work` is what a task's payload asks the stand-in to do.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub(super) struct Work {
    run_ms: f64,
    exit: String,
    checkpoint_ms: DurationMs,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            run_ms: 200.0,
            exit: "ok".to_owned(),
            checkpoint_ms: DurationMs(0),
        }
    }
}

/// `Member` is one member as its worker holds it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) spec: GangSpec,
    pub(super) device_mask: u32,
    pub(super) phase: GangPhase,
    pub(super) lease_ends_at: TimeMs,
    pub(super) epoch: Epoch,
    reason: String,
    work: Work,
    checkpointed: f64,
    progress: f64,
    progress_at: TimeMs,
    percent: u32,
    is_started: bool,
    checkpoint_at: Option<TimeMs>,
    stop_at: Option<TimeMs>,
}

/// `Advance` is what time did to a member.
#[derive(Default)]
pub(super) struct Advance {
    /// Its end or lapse.
    pub(super) event: Option<LogEvent>,
    /// Progress that a checkpoint holds now.
    pub(super) checkpoint: Option<f64>,
}

impl Member {
    pub(super) fn reserved(
        spec: GangSpec,
        device_mask: u32,
        epoch: Epoch,
        lease_ends_at: TimeMs,
    ) -> Self {
        // A payload that is no JSON of ours runs as the default work.
        let work = serde_json::from_str(&spec.payload).unwrap_or_default();
        Self {
            spec,
            device_mask,
            phase: GangPhase::Reserved,
            lease_ends_at,
            epoch,
            reason: String::new(),
            work,
            checkpointed: 0.0,
            progress: 0.0,
            progress_at: lease_ends_at,
            percent: 100,
            is_started: false,
            checkpoint_at: None,
            stop_at: None,
        }
    }

    pub(super) fn is_held(&self) -> bool {
        matches!(
            self.phase,
            GangPhase::Reserved | GangPhase::Running | GangPhase::Checkpointing
        )
    }

    pub(super) fn start(&mut self, now: TimeMs, epoch: Epoch, lease_ms: DurationMs, from: f64) {
        self.is_started = true;
        self.phase = GangPhase::Running;
        self.epoch = epoch;
        self.lease_ends_at = now + lease_ms;
        self.checkpointed = from;
        self.progress = from;
        self.progress_at = now;
    }

    pub(super) fn was_started(&self) -> bool {
        self.is_started
    }

    pub(super) fn fail(&mut self, reason: &str) {
        self.end(GangPhase::Failed, reason);
    }

    pub(super) fn throttle(&mut self, now: TimeMs, percent: u32) {
        self.progress = self.progress_by(now);
        self.progress_at = now;
        self.percent = percent;
    }

    pub(super) fn checkpoint(&mut self, now: TimeMs) {
        self.phase = GangPhase::Checkpointing;
        self.checkpoint_at
            .get_or_insert(now + self.work.checkpoint_ms);
    }

    pub(super) fn stop(&mut self, now: TimeMs, grace_ms: DurationMs) {
        self.checkpoint(now);
        let written_at = self.checkpoint_at.unwrap_or(now);
        self.stop_at.get_or_insert(written_at.min(now + grace_ms));
    }

    /// `advance` lets time pass: the earliest of finish, lapse and stop ends the member.
    pub(super) fn advance(&mut self, now: TimeMs) -> Advance {
        let mut advance = Advance::default();
        if self.phase == GangPhase::Reserved && self.lease_ends_at <= now {
            self.end(GangPhase::Stopped, "reservation lapsed");
            advance.event = Some(LogEvent::Lapsed);
        }
        if !self.is_held() || self.phase == GangPhase::Reserved {
            return advance;
        }
        let ends_at = self.ends_at();
        if let Some(at) = self.checkpoint_at
            && at <= now
            && at <= ends_at
        {
            self.checkpointed = self.progress_by(at);
            advance.checkpoint = Some(self.checkpointed);
            self.checkpoint_at = None;
            self.phase = GangPhase::Running;
        }
        if ends_at <= now {
            advance.event = Some(self.end_at(ends_at));
        }
        advance
    }

    pub(super) fn report(&self, now: TimeMs) -> GangOnWorker {
        GangOnWorker {
            spec: self.spec.clone(),
            phase: self.phase,
            device_mask: self.device_mask,
            lease_left_ms: self.lease_ends_at.since(now),
            progress: self.checkpointed,
            reason: self.reason.clone(),
        }
    }

    fn finishes_at(&self) -> TimeMs {
        if self.percent == 0 {
            return TimeMs(u64::MAX);
        }
        let left_ms = (1.0 - self.progress) * self.work.run_ms * 100.0 / f64::from(self.percent);
        self.progress_at + whole_ms(left_ms)
    }

    fn ends_at(&self) -> TimeMs {
        self.finishes_at()
            .min(self.lease_ends_at)
            .min(self.stop_at.unwrap_or(TimeMs(u64::MAX)))
    }

    fn end_at(&mut self, at: TimeMs) -> LogEvent {
        if self.finishes_at() <= at {
            let is_ok = self.work.exit == "ok";
            let phase = if is_ok {
                GangPhase::Finished
            } else {
                GangPhase::Failed
            };
            let reason = format!("exit {}", self.work.exit);
            self.end(phase, &reason);
            self.progress = 1.0;
            self.checkpointed = 1.0;
            return if is_ok {
                LogEvent::Finished
            } else {
                LogEvent::Failed
            };
        }
        self.progress = self.progress_by(at);
        if self.lease_ends_at <= at {
            self.end(GangPhase::Stopped, "lease lapsed");
            return LogEvent::Lapsed;
        }
        self.end(GangPhase::Stopped, "stopped by order");
        LogEvent::Stopped
    }

    fn end(&mut self, phase: GangPhase, reason: &str) {
        self.phase = phase;
        reason.clone_into(&mut self.reason);
    }

    fn progress_by(&self, at: TimeMs) -> f64 {
        if !matches!(self.phase, GangPhase::Running | GangPhase::Checkpointing) {
            return self.progress;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "spans of a test are far below 2^52 ms"
        )]
        let elapsed_ms = at.since(self.progress_at).0 as f64;
        let speed = f64::from(self.percent) / 100.0;
        (self.progress + elapsed_ms * speed / self.work.run_ms.max(1.0)).min(1.0)
    }
}

fn whole_ms(ms: f64) -> DurationMs {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rounded up and at least zero; spans of a test fit"
    )]
    let ms = ms.max(0.0).ceil() as u64;
    DurationMs(ms)
}
