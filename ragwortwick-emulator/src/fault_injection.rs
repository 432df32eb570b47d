//! Injection of faults: the begin and the end of each.

use ragwortwick_area::{PollFailure, Resources};

use crate::faults::FaultKind;
use crate::host::Host;
use crate::simulation::Simulation;
use crate::worker::Reachability;

impl Simulation {
    pub(crate) fn set_fault(&mut self, index: usize, is_on: bool) {
        let fault = self.faults[index];
        let until = fault.at + fault.for_ms;
        let holder = self.store.coordinator.map(|(term, _)| term);
        let leader = (0..self.hosts.len())
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
            FaultKind::CoordinatorKilled if is_on => {
                self.hosts[leader] = Host {
                    down_until: Some(until),
                    ..Host::default()
                };
            }
            FaultKind::CoordinatorFrozen if is_on => {
                self.hosts[leader].frozen_until = Some(until);
            }
            FaultKind::CoordinatorCutFromStore if is_on => {
                self.hosts[leader].is_partitioned_from_store = true;
            }
            FaultKind::CoordinatorCutFromWorkers if is_on => {
                let names = every_third.iter().map(|&at| self.workers[at].name.clone());
                self.hosts[leader].unreachable_workers = names.collect();
            }
            FaultKind::RepliesDropped if is_on => self.hosts[leader].loses_replies = true,
            FaultKind::CoordinatorCutFromStore
            | FaultKind::CoordinatorCutFromWorkers
            | FaultKind::RepliesDropped => {
                for host in &mut self.hosts {
                    host.is_partitioned_from_store = false;
                    host.unreachable_workers.clear();
                    host.loses_replies = false;
                }
            }
            FaultKind::CoordinatorKilled | FaultKind::CoordinatorFrozen => {}
            FaultKind::StoreUnavailable => self.store.is_unavailable = is_on,
            FaultKind::StoreRepliesLost => self.store.loses_replies = is_on,
            FaultKind::WorkersCrash => self.set_power_loss(&every_eighth, is_on),
            FaultKind::RackPowerLoss => {
                let first = index * self.options.workers_per_rack as usize % self.workers.len();
                let rack = &self.workers[first].rack;
                let is_in_rack = |at: &usize| self.workers[*at].rack == *rack;
                let in_rack: Vec<usize> = (0..self.workers.len()).filter(is_in_rack).collect();
                self.set_power_loss(&in_rack, is_on);
            }
            FaultKind::CapacityShrinks => self.set_shrunk(&every_third, is_on),
            FaultKind::OrdersLate => self.is_delaying_orders = is_on,
            FaultKind::WorkersLeave => {
                for at in every_eighth {
                    if is_on {
                        self.workers[at].draining_since = Some(self.now);
                        self.workers[at].leaves_at = Some(until);
                    } else {
                        self.workers[at].draining_since = None;
                        self.workers[at].leaves_at = None;
                        if self.workers[at].is_up() {
                            self.crash_worker(at, PollFailure::NoAnswer);
                        }
                        self.workers[at].restore();
                    }
                }
            }
            FaultKind::WorkersSlow => {
                for at in every_eighth {
                    self.workers[at].fault_slowdown = if is_on { 5 } else { 1 };
                }
            }
            FaultKind::WorkersHang => self.set_hung(&every_eighth, is_on),
            FaultKind::WorkersFailing => {
                for at in every_eighth {
                    self.workers[at].is_failing = is_on;
                }
            }
        }
    }

    /// Cuts or restores the power of workers.
    fn set_power_loss(&mut self, workers: &[usize], is_on: bool) {
        for &at in workers {
            if is_on {
                self.workers[at].reachability = Reachability::Unresponsive;
                self.crash_worker(at, PollFailure::NoAnswer);
            } else {
                self.workers[at].restore();
            }
        }
    }

    /// Halves or restores the capacity of workers.
    fn set_shrunk(&mut self, workers: &[usize], is_on: bool) {
        let full = self.options.workload.capacity;
        for &at in workers {
            self.workers[at].capacity = if is_on { halved(full) } else { full };
            self.workers[at].shrunk_at = is_on.then_some(self.now);
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
