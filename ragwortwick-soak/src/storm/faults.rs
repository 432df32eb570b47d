//! Faults of a large area, each kind in a series of its own, so that they overlap.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ragwortwick_standin::RelayMode;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::{Storm, StormFault, WORKERS_PER_RACK, ZONES, limit, seeded};

/// Longest wait for the end of a host that was told to stop.
const STOP_LIMIT: Duration = Duration::from_secs(10);

impl Storm {
    /// Starts the series of each kind of fault in the plan.
    pub(super) fn spawn_faults(self: &Arc<Self>, tasks: &mut JoinSet<()>) {
        for (part, fault) in (2..).zip(&self.plan.faults) {
            let (storm, rng) = (Arc::clone(self), seeded(self.plan.seed, part));
            match fault {
                StormFault::Zones => drop(tasks.spawn(storm.cut_zones(rng))),
                StormFault::Workers => drop(tasks.spawn(storm.cut_workers(rng))),
                StormFault::Store => drop(tasks.spawn(storm.harm_store_paths(rng))),
                StormFault::Coordinators => drop(tasks.spawn(storm.change_coordinators(rng))),
                StormFault::Entries => drop(tasks.spawn(storm.change_entries(rng))),
                StormFault::Restarts => drop(tasks.spawn(storm.restart_workers(rng))),
                StormFault::UnlistedStops | StormFault::LateStarts => {}
            }
        }
    }

    /// Sleeps for a drawn time; returns whether the storm goes on.
    async fn pause(&self, rng: &mut Pcg64Mcg, range_ms: Range<u64>) -> bool {
        sleep(drawn(rng, range_ms)).await;
        !self.is_over.load(Ordering::Relaxed)
    }

    async fn set_paths(&self, numbers: &[usize], mode: RelayMode) {
        let fleet = self.fleet.read().await;
        for number in numbers {
            fleet.workers.set_path(*number, mode);
        }
    }

    fn workers_of_zone(&self, zone: usize) -> Vec<usize> {
        let racks = |number: &usize| (number / WORKERS_PER_RACK) % ZONES == zone;
        (0..self.plan.workers).filter(racks).collect()
    }

    /// Cuts off a zone for a time, both ways or one way.
    async fn cut_zones(self: Arc<Self>, mut rng: Pcg64Mcg) {
        while self.pause(&mut rng, 2_000..7_000).await {
            let zone = rng.random_range(0..ZONES);
            let workers = self.workers_of_zone(zone);
            let mode = draw_cut(&mut rng);
            self.set_paths(&workers, mode).await;
            sleep(drawn(&mut rng, 2_000..14_000)).await;
            self.set_paths(&workers, RelayMode::Pass).await;
        }
    }

    /// Cuts off some workers of a rack for a time.
    async fn cut_workers(self: Arc<Self>, mut rng: Pcg64Mcg) {
        while self.pause(&mut rng, 500..3_000).await {
            let first = rng.random_range(0..self.plan.workers);
            let count = rng.random_range(1..30);
            let workers: Vec<usize> = (first..self.plan.workers).take(count).collect();
            let mode = draw_cut(&mut rng);
            self.set_paths(&workers, mode).await;
            sleep(drawn(&mut rng, 200..9_000)).await;
            self.set_paths(&workers, RelayMode::Pass).await;
        }
    }

    /// Cuts or harms the path of some hosts to the store; the coordinator's lease may end at once.
    async fn harm_store_paths(self: Arc<Self>, mut rng: Pcg64Mcg) {
        while self.pause(&mut rng, 2_000..8_000).await {
            let modes = [
                RelayMode::Hold,
                RelayMode::HoldAnswers,
                RelayMode::HoldCalls,
                RelayMode::Unavailable,
                RelayMode::TooManyRequests,
                RelayMode::Cut,
                RelayMode::SilenceOpen,
            ];
            let mode = modes[rng.random_range(0..modes.len())];
            let fleet = self.fleet.read().await;
            let holder = fleet.key_holder();
            let mut hosts: Vec<usize> = (0..fleet.hosts.len())
                .filter(|_| rng.random_bool(0.15))
                .collect();
            if rng.random_bool(0.6) {
                hosts.extend(holder);
            }
            for host in &hosts {
                fleet.set_store_path(*host, mode);
            }
            if holder.is_some_and(|host| hosts.contains(&host)) && rng.random_bool(0.5) {
                fleet.expire_coordinator_lease();
            }
            drop(fleet);
            sleep(drawn(&mut rng, 300..6_000)).await;
            let fleet = self.fleet.read().await;
            for host in hosts {
                fleet.set_store_path(host, RelayMode::Pass);
            }
        }
    }

    /// Kills, freezes or stops the coordinator.
    async fn change_coordinators(self: Arc<Self>, mut rng: Pcg64Mcg) {
        while self.pause(&mut rng, 4_000..14_000).await {
            let fleet = self.fleet.read().await;
            let Some(host) = fleet.key_holder() else {
                continue;
            };
            let pid = fleet.hosts[host].pid();
            drop(fleet);
            let Some(pid) = pid else { continue };
            match rng.random_range(0..10) {
                0..6 => {
                    self.shares.set_frozen(pid, true);
                    self.freeze(host, true).await;
                    sleep(drawn(&mut rng, 500..5_000)).await;
                    self.freeze(host, false).await;
                    self.shares.set_frozen(pid, false);
                }
                6..8 => self.replace(host, pid, true, &mut rng).await,
                _ => self.replace(host, pid, false, &mut rng).await,
            }
        }
    }

    async fn freeze(&self, host: usize, is_frozen: bool) {
        let fleet = self.fleet.read().await;
        // A process that has just ended takes no signal, and needs none.
        drop(if is_frozen {
            fleet.hosts[host].freeze()
        } else {
            fleet.hosts[host].wake()
        });
    }

    async fn replace(&self, host: usize, pid: u32, is_killed: bool, rng: &mut Pcg64Mcg) {
        self.shares.remove(pid);
        let mut fleet = self.fleet.write().await;
        if is_killed {
            drop(fleet.hosts[host].kill());
        } else {
            drop(fleet.hosts[host].terminate());
        }
        if let Ok(new) = fleet.spawn_host().await {
            limit(&self.shares, &self.plan, new.pid(), rng);
            let mut old = std::mem::replace(&mut fleet.hosts[host], new);
            drop(fleet);
            // A host that was told to stop ends by itself.
            drop(timeout(STOP_LIMIT, old.wait()).await);
            let name = old.host().as_str().to_owned();
            self.replaced_logs.lock().await.push((name, old.lines()));
        }
    }

    /// Lets entries expire while their workers go on.
    async fn change_entries(self: Arc<Self>, mut rng: Pcg64Mcg) {
        while self.pause(&mut rng, 500..3_000).await {
            let first = rng.random_range(0..self.plan.workers);
            let count = rng.random_range(1..20);
            let numbers: Vec<usize> = (first..self.plan.workers).take(count).collect();
            self.set_listed(&numbers, false).await;
            sleep(drawn(&mut rng, 300..6_000)).await;
            self.set_listed(&numbers, true).await;
        }
    }

    /// Restarts workers of a rack under their name.
    async fn restart_workers(self: Arc<Self>, mut rng: Pcg64Mcg) {
        while self.pause(&mut rng, 500..3_000).await {
            let first = rng.random_range(0..self.plan.workers);
            let count = rng.random_range(1..=WORKERS_PER_RACK);
            let fleet = self.fleet.read().await;
            for number in (first..self.plan.workers).take(count) {
                fleet.workers.restart_in_place(&format!("w-{number}"));
            }
        }
    }

    async fn set_listed(&self, numbers: &[usize], is_listed: bool) {
        let fleet = self.fleet.read().await;
        for number in numbers {
            fleet.workers.set_listed(*number, is_listed, &fleet.store);
        }
    }
}

fn draw_cut(rng: &mut Pcg64Mcg) -> RelayMode {
    let modes = [
        RelayMode::Hold,
        RelayMode::Hold,
        RelayMode::HoldAnswers,
        RelayMode::HoldCalls,
        RelayMode::Slow,
    ];
    modes[rng.random_range(0..modes.len())]
}

fn drawn(rng: &mut Pcg64Mcg, range_ms: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range_ms))
}
