//! What is known of each runner, and which one takes the next request.

use std::collections::BTreeMap;

use ragwortwick_core::{DurationMs, HostName, TimeMs, ZoneName};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::messages::{RunnerInfo, RunnerLoadSeen};
use super::standing::{Change, Standing};

/// A reported load is trusted this long; then what others hold there is guessed to halve as often.
///
/// Longer leaves slots idle that others have given back, shorter sends into full runners.
const REPORT_FRESH_MS: DurationMs = DurationMs(250);

/// Slots that routine work leaves free on a runner, as a divisor: one in ten.
///
/// Routine work that came in through another entry host can't be called back, so without free slots
/// an urgent request waits until some routine one ends.
const RESERVE_DIVISOR: u32 = 10;

/// Runners with fewer slots keep none back: one slot of three would cost a third of the fleet.
const RESERVE_MIN_SLOTS: u32 = 4;

/// Load that a runner of another zone counts as more, in hundredths of its slots.
const OTHER_ZONE_PENALTY: u32 = 10;

/// `Runners` holds every listed runner in name order.
#[derive(Debug)]
pub(super) struct Runners {
    zone: ZoneName,
    by_name: BTreeMap<HostName, Runner>,
    entry_hosts: u32,
}

/// `Runner` is one runner as this host sees it.
#[derive(Debug)]
pub(super) struct Runner {
    zone: ZoneName,
    slots: u32,
    own: u32,
    others: u32,
    reported_at: Option<TimeMs>,
    pub(super) standing: Standing,
}

impl Runners {
    pub(super) fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            by_name: BTreeMap::new(),
            entry_hosts: 1,
        }
    }

    pub(super) fn set_entry_hosts(&mut self, entry_hosts: u32) {
        self.entry_hosts = entry_hosts.max(1);
    }

    /// `set_list` takes in the platform's list and tells whose standing it changed.
    pub(super) fn set_list(&mut self, list: Vec<RunnerInfo>) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut unlisted: BTreeMap<HostName, Runner> = std::mem::take(&mut self.by_name);
        for info in list {
            let mut runner = unlisted
                .remove(&info.runner)
                .unwrap_or_else(|| Runner::new(&info));
            runner.slots = info.slots.max(1);
            runner.zone = info.zone;
            changes.extend(runner.standing.on_listed(&info.runner, info.is_leaving));
            self.by_name.insert(info.runner, runner);
        }
        for (name, mut runner) in unlisted {
            changes.extend(runner.standing.on_listed(&name, true));
            // Kept while its last answers may still come; it takes nothing new.
            if runner.own > 0 {
                self.by_name.insert(name, runner);
            }
        }
        changes
    }

    pub(super) fn get_mut(&mut self, name: &HostName) -> Option<&mut Runner> {
        self.by_name.get_mut(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&HostName, &Runner)> {
        self.by_name.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&HostName, &mut Runner)> {
        self.by_name.iter_mut()
    }

    /// `slots` counts the slots that this host may count on: its share of all usable ones.
    pub(super) fn slots(&self) -> u32 {
        let usable = self.by_name.values().filter(|r| r.standing.is_usable());
        let slots: u32 = usable.map(|r| r.slots).sum();
        slots.div_ceil(self.entry_hosts)
    }

    pub(super) fn is_any_usable(&self) -> bool {
        self.by_name.values().any(|r| r.standing.is_usable())
    }

    pub(super) fn has_room(&self, now: TimeMs, is_urgent: bool) -> bool {
        let mut runners = self.by_name.values();
        runners.any(|r| r.has_room(now, is_urgent, self.entry_hosts))
    }

    /// `choose` takes the less loaded of two random runners that have room.
    ///
    /// Always taking the least loaded one would send all entry hosts to the same runner, since they
    /// see the same reports.
    pub(super) fn choose(
        &self,
        now: TimeMs,
        is_urgent: bool,
        tried: &[HostName],
        random: &mut Pcg64Mcg,
    ) -> Option<HostName> {
        let with_room: Vec<(&HostName, &Runner)> = self
            .by_name
            .iter()
            .filter(|(_, r)| r.has_room(now, is_urgent, self.entry_hosts))
            .collect();
        let fresh: Vec<_> = with_room
            .iter()
            .copied()
            .filter(|(name, _)| !tried.contains(name))
            .collect();
        let pool = if fresh.is_empty() { &with_room } else { &fresh };
        if pool.is_empty() {
            return None;
        }
        let first = pool[random.random_range(0..pool.len())];
        let second = pool[random.random_range(0..pool.len())];
        let load = |runner: &Runner| runner.relative_load(now, &self.zone);
        let better = if load(second.1) < load(first.1) {
            second
        } else {
            first
        };
        Some(better.0.clone())
    }

    /// `next_return` tells when a left-out runner is tried again, or is being tried now.
    pub(super) fn next_return(&self, now: TimeMs) -> Option<TimeMs> {
        let runners = self.by_name.values();
        runners.filter_map(|r| r.standing.returns_at(now)).min()
    }
}

impl Runner {
    fn new(info: &RunnerInfo) -> Self {
        Self {
            zone: info.zone.clone(),
            slots: info.slots.max(1),
            own: 0,
            others: 0,
            reported_at: None,
            standing: Standing::new(),
        }
    }

    pub(super) fn zone(&self) -> &ZoneName {
        &self.zone
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    pub(super) fn busy(&self, now: TimeMs) -> u32 {
        self.own + self.others(now)
    }

    pub(super) fn begin(&mut self) {
        self.own += 1;
    }

    pub(super) fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    pub(super) fn report(&mut self, now: TimeMs, load: RunnerLoadSeen) {
        self.slots = load.slots.max(1);
        self.others = load.busy.saturating_sub(self.own);
        self.reported_at = Some(now);
    }

    /// `mark_full` notes a refusal for want of slots, whatever the load that came with it.
    pub(super) fn mark_full(&mut self, now: TimeMs) {
        self.others = self.slots.saturating_sub(self.own);
        self.reported_at = Some(now);
    }

    fn is_fresh(&self, now: TimeMs) -> bool {
        self.reported_at
            .is_some_and(|at| now.since(at) < REPORT_FRESH_MS)
    }

    /// What others hold there: as reported, halved for each time that the report has grown stale.
    fn others(&self, now: TimeMs) -> u32 {
        let age_ms = self.reported_at.map_or(0, |at| now.since(at).0);
        let halvings = u32::try_from(age_ms / REPORT_FRESH_MS.0).unwrap_or(u32::MAX);
        self.others.checked_shr(halvings).unwrap_or(0)
    }

    fn reserve(&self) -> u32 {
        if self.slots < RESERVE_MIN_SLOTS {
            return 0;
        }
        self.slots.div_ceil(RESERVE_DIVISOR)
    }

    /// Urgent work may take any free slot. Routine work stays below the reserve, and beyond this
    /// host's equal share of the slots it borrows only while a fresh report shows slots to spare.
    fn has_room(&self, now: TimeMs, is_urgent: bool, entry_hosts: u32) -> bool {
        if !self.standing.is_usable() || self.own >= self.standing.limit() {
            return false;
        }
        let busy = self.busy(now);
        if is_urgent {
            return busy < self.slots;
        }
        let open = self.slots - self.reserve();
        let share = (open / entry_hosts).max(1);
        let may_borrow = entry_hosts == 1 || (self.is_fresh(now) && busy + 1 < open);
        busy < open && (self.own < share || may_borrow)
    }

    fn relative_load(&self, now: TimeMs, home: &ZoneName) -> u32 {
        let penalty = if self.zone == *home {
            0
        } else {
            OTHER_ZONE_PENALTY
        };
        self.busy(now) * 100 / self.slots + penalty
    }
}
