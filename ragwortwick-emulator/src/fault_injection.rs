//! Injection of faults: the beginning and the end of each.

use ragwortwick_area::{PollFailure, Resources};

use crate::faults::FaultKind;
use crate::host::Host;
use crate::simulation::Simulation;
use crate::worker::{Reachability, zone_name};

impl Simulation {
    pub(crate) fn set_fault(&mut self, index: usize, is_active: bool) {
        let fault = self.faults[index];
        let until = fault.at + fault.for_ms;
        let holder = self.store.coordinator.map(|(term, _)| term);
        let coordinator_host = (0..self.hosts.len())
            .find(|&host| {
                let term = self.hosts[host].term.as_ref();
                term.is_some_and(|term| Some(term.number) == holder)
            })
            .unwrap_or(0);
        let every_third: Vec<usize> = (0..self.workers.len())
            .filter(|number| (number + index).is_multiple_of(3))
            .collect();
        let every_eighth: Vec<usize> = (0..self.workers.len())
            .filter(|number| (number + index).is_multiple_of(8))
            .collect();
        match fault.kind {
            FaultKind::CoordinatorKilled if is_active => {
                self.hosts[coordinator_host] = Host {
                    down_until: Some(until),
                    ..Host::default()
                };
            }
            FaultKind::CoordinatorFrozen if is_active => {
                self.hosts[coordinator_host].frozen_until = Some(until);
            }
            FaultKind::CoordinatorCutFromStore if is_active => {
                self.hosts[coordinator_host].is_partitioned_from_store = true;
            }
            FaultKind::CoordinatorCutFromWorkers if is_active => {
                let names = every_third
                    .iter()
                    .map(|&worker_index| self.workers[worker_index].name.clone());
                self.hosts[coordinator_host].unreachable_workers = names.collect();
            }
            FaultKind::AnswersCut if is_active => self.hosts[coordinator_host].loses_replies = true,
            FaultKind::CoordinatorCutFromStore
            | FaultKind::CoordinatorCutFromWorkers
            | FaultKind::AnswersCut => {
                for host in &mut self.hosts {
                    host.is_partitioned_from_store = false;
                    host.unreachable_workers.clear();
                    host.loses_replies = false;
                }
            }
            FaultKind::CoordinatorKilled | FaultKind::CoordinatorFrozen => {}
            FaultKind::StoreAway => self.store.is_unavailable = is_active,
            FaultKind::StoreAnswersLost => self.store.loses_replies = is_active,
            FaultKind::WorkersCrash => self.set_power_loss(&every_eighth, is_active),
            FaultKind::RackOut => {
                let first = index * self.options.workers_per_rack as usize % self.workers.len();
                let rack = &self.workers[first].rack;
                let is_in_rack = |worker_index: &usize| self.workers[*worker_index].rack == *rack;
                let in_rack: Vec<usize> = (0..self.workers.len()).filter(is_in_rack).collect();
                self.set_power_loss(&in_rack, is_active);
            }
            FaultKind::CapacityShrinks => self.set_shrunk(&every_third, is_active),
            FaultKind::OrdersLate => self.is_delaying_orders = is_active,
            FaultKind::WorkersLeave => {
                for worker_index in every_eighth {
                    if is_active {
                        self.workers[worker_index].draining_since = Some(self.now);
                        self.workers[worker_index].leaves_at = Some(until);
                    } else {
                        self.workers[worker_index].draining_since = None;
                        self.workers[worker_index].leaves_at = None;
                        if self.workers[worker_index].is_up() {
                            self.crash_worker(worker_index, PollFailure::NoAnswer);
                        }
                        self.workers[worker_index].restore();
                    }
                }
            }
            FaultKind::WorkersSlow => {
                for worker_index in every_eighth {
                    self.workers[worker_index].fault_slowdown = if is_active { 5 } else { 1 };
                }
            }
            FaultKind::WorkersRefuse => {
                for worker_index in every_third {
                    self.workers[worker_index].is_refusing = is_active;
                }
            }
            FaultKind::ZoneEvacuated => {
                let zone = zone_name(index);
                if is_active {
                    self.store.evacuated.entry(zone).or_insert(self.now);
                } else {
                    self.store.evacuated.remove(&zone);
                }
            }
            FaultKind::WorkersHang => self.set_hung(&every_eighth, is_active),
            FaultKind::WorkersFailing => {
                for worker_index in every_eighth {
                    self.workers[worker_index].is_failing = is_active;
                }
            }
        }
    }

    /// Cuts or restores the power of workers.
    fn set_power_loss(&mut self, workers: &[usize], is_active: bool) {
        for &worker_index in workers {
            if is_active {
                self.workers[worker_index].reachability = Reachability::Unresponsive;
                self.crash_worker(worker_index, PollFailure::NoAnswer);
            } else {
                self.workers[worker_index].restore();
            }
        }
    }

    /// Halves or restores the capacity of workers.
    fn set_shrunk(&mut self, workers: &[usize], is_active: bool) {
        let full = self.options.workload.capacity;
        for &worker_index in workers {
            self.workers[worker_index].capacity = if is_active { halved(full) } else { full };
            self.workers[worker_index].shrunk_at = is_active.then_some(self.now);
        }
    }
}

fn halved(full: Resources) -> Resources {
    Resources {
        cpu_millis: full.cpu_millis / 2,
        memory_mb: full.memory_mb / 2,
        accelerators: full.accelerators / 2,
    }
}
