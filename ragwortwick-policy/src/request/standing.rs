//! Whether a runner may take new work: listed, leaving, left out on evidence, or returning.

use ragwortwick_core::{DurationMs, HostName, TimeMs};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Failures in a row that leave a runner out; one or two may be the request's own fault.
const STRIKES_TO_LEAVE_OUT: u32 = 3;

/// First time that a runner is left out; doubled each time that it fails again.
const LEFT_OUT_FIRST_MS: u64 = 500;

/// Longest time that a runner is left out; it bounds how late a healed runner is used again.
const LEFT_OUT_MOST_MS: u64 = 10_000;

/// Interval of asking a runner that said it was leaving whether it still is.
const LEAVING_CHECK_MS: DurationMs = DurationMs(5_000);

/// A probe without an answer counts as failed after this.
const PROBE_PATIENCE_MS: DurationMs = DurationMs(2_000);

/// `Change` is a new standing of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Change {
    pub(super) runner: HostName,
    pub(super) state: &'static str,
    pub(super) reason: &'static str,
}

/// `Standing` is one runner's right to new work.
#[derive(Debug)]
pub(super) struct Standing {
    is_listed_leaving: bool,
    /// The earliest of three signs counts: the list lags, so a runner that said itself that it
    /// leaves stays out until it is asked again and says otherwise, whatever the list shows.
    leaving_check_at: Option<TimeMs>,
    strikes: u32,
    times_left_out: u32,
    health: Health,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Good,
    /// Few requests at once, one more with each answer: a healed runner that got all the work that
    /// waited for it would fail at once.
    Returning {
        limit: u32,
    },
    LeftOut {
        until: TimeMs,
    },
    Probing {
        until: TimeMs,
    },
}

impl Standing {
    pub(super) fn new() -> Self {
        Self {
            is_listed_leaving: false,
            leaving_check_at: None,
            strikes: 0,
            times_left_out: 0,
            health: Health::Good,
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_listed_leaving || self.leaving_check_at.is_some()
    }

    pub(super) fn is_usable(&self) -> bool {
        !self.is_leaving() && matches!(self.health, Health::Good | Health::Returning { .. })
    }

    pub(super) fn limit(&self) -> u32 {
        match self.health {
            Health::Good => u32::MAX,
            Health::Returning { limit } => limit,
            Health::LeftOut { .. } | Health::Probing { .. } => 0,
        }
    }

    pub(super) fn name(&self) -> &'static str {
        match self.health {
            _ if self.is_leaving() => "leaving",
            Health::Good => "live",
            Health::Returning { .. } => "returning",
            Health::LeftOut { .. } | Health::Probing { .. } => "left_out",
        }
    }

    pub(super) fn returns_at(&self, now: TimeMs) -> Option<TimeMs> {
        match self.health {
            _ if self.is_leaving() => None,
            Health::LeftOut { until } => Some(until.max(now)),
            Health::Probing { .. } => Some(now),
            Health::Good | Health::Returning { .. } => None,
        }
    }

    pub(super) fn on_listed(&mut self, runner: &HostName, is_leaving: bool) -> Option<Change> {
        let was_leaving = std::mem::replace(&mut self.is_listed_leaving, is_leaving);
        if was_leaving && !is_leaving {
            // Listed as live again after leaving: the platform has replaced it.
            self.leaving_check_at = None;
        }
        (was_leaving != is_leaving).then(|| self.change(runner, "the platform's host list"))
    }

    pub(super) fn on_own_leaving(&mut self, now: TimeMs, runner: &HostName) -> Option<Change> {
        let was_leaving = self.is_leaving();
        self.leaving_check_at = Some(now + LEAVING_CHECK_MS);
        (!was_leaving).then(|| self.change(runner, "its own answer"))
    }

    pub(super) fn on_peer_saw_leaving(&mut self, now: TimeMs, runner: &HostName) -> Option<Change> {
        if self.is_leaving() {
            return None;
        }
        self.leaving_check_at = Some(now + LEAVING_CHECK_MS);
        Some(self.change(runner, "another entry host"))
    }

    /// `on_closed` notes that the runner shut an idle connection; only a probe tells why.
    pub(super) fn on_closed(&mut self, now: TimeMs) -> bool {
        if !self.is_usable() {
            return false;
        }
        self.health = Health::Probing {
            until: now + PROBE_PATIENCE_MS,
        };
        true
    }

    pub(super) fn on_success(&mut self, runner: &HostName, slots: u32) -> Option<Change> {
        self.strikes = 0;
        let Health::Returning { limit } = self.health else {
            return None;
        };
        if limit + 1 < slots {
            self.health = Health::Returning { limit: limit + 1 };
            return None;
        }
        self.health = Health::Good;
        self.times_left_out = 0;
        Some(self.change(runner, "it answers again"))
    }

    pub(super) fn on_failure(
        &mut self,
        now: TimeMs,
        runner: &HostName,
        random: &mut Pcg64Mcg,
    ) -> Option<Change> {
        self.strikes += 1;
        let is_out = match self.health {
            Health::Good => self.strikes >= STRIKES_TO_LEAVE_OUT,
            Health::Returning { .. } => true,
            Health::LeftOut { .. } | Health::Probing { .. } => false,
        };
        if !is_out {
            return None;
        }
        self.leave_out(now, random);
        Some(self.change(runner, "failures in a row"))
    }

    /// `on_probed` takes in a probe's end: `Some(is_leaving)` if the runner answered.
    pub(super) fn on_probed(
        &mut self,
        now: TimeMs,
        runner: &HostName,
        is_leaving: Option<bool>,
        random: &mut Pcg64Mcg,
    ) -> Option<Change> {
        let before = self.name();
        match is_leaving {
            Some(true) => self.leaving_check_at = Some(now + LEAVING_CHECK_MS),
            Some(false) => {
                self.leaving_check_at = None;
                self.on_probe_answered();
            }
            None => self.on_probe_lost(now, random),
        }
        (self.name() != before).then(|| self.change(runner, "a probe"))
    }

    fn on_probe_answered(&mut self) {
        if matches!(self.health, Health::Probing { .. }) {
            let has_failed = self.times_left_out > 0;
            self.health = if has_failed {
                Health::Returning { limit: 1 }
            } else {
                Health::Good
            };
        }
    }

    fn on_probe_lost(&mut self, now: TimeMs, random: &mut Pcg64Mcg) {
        if let Some(check_at) = &mut self.leaving_check_at {
            *check_at = now + LEAVING_CHECK_MS;
        }
        if matches!(self.health, Health::Probing { .. }) {
            self.leave_out(now, random);
        }
    }

    /// `probe_due` tells whether the runner is to be asked now, and notes that it is.
    pub(super) fn probe_due(&mut self, now: TimeMs, random: &mut Pcg64Mcg) -> bool {
        if let Some(check_at) = &mut self.leaving_check_at {
            let is_due = *check_at <= now && !self.is_listed_leaving;
            if is_due {
                *check_at = now + LEAVING_CHECK_MS;
            }
            return is_due;
        }
        match self.health {
            Health::LeftOut { until } if until <= now => {
                self.health = Health::Probing {
                    until: now + PROBE_PATIENCE_MS,
                };
                true
            }
            Health::Probing { until } if until <= now => {
                self.leave_out(now, random);
                false
            }
            _ => false,
        }
    }

    pub(super) fn next_probe_at(&self) -> Option<TimeMs> {
        if self.is_listed_leaving {
            return None;
        }
        self.leaving_check_at.or(match self.health {
            Health::LeftOut { until } | Health::Probing { until } => Some(until),
            Health::Good | Health::Returning { .. } => None,
        })
    }

    /// The random part keeps the entry hosts from all coming back to a healed runner at once.
    fn leave_out(&mut self, now: TimeMs, random: &mut Pcg64Mcg) {
        let doublings = self.times_left_out.min(8);
        let full_ms = (LEFT_OUT_FIRST_MS << doublings).min(LEFT_OUT_MOST_MS);
        let out_ms = random.random_range(full_ms / 2..=full_ms);
        self.times_left_out += 1;
        self.strikes = 0;
        self.health = Health::LeftOut {
            until: now + DurationMs(out_ms),
        };
    }

    fn change(&self, runner: &HostName, reason: &'static str) -> Change {
        Change {
            runner: runner.clone(),
            state: self.name(),
            reason,
        }
    }
}
