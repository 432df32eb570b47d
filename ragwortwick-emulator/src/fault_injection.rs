//! Injection of faults: the beginning and the end of each.

use ragwortwick_area::{PollFailure, Resources};
use ragwortwick_core::TimeMs;

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
        match fault.kind {
            FaultKind::CoordinatorKilled if is_active => {
                self.hosts[coordinator_host] = Host {
                    down_until: Some(until),
                    ..Host::default()
                };
            }
            FaultKind::CoordinatorFrozen | FaultKind::CoordinatorStalled if is_active => {
                self.hosts[coordinator_host].frozen_until = Some(until);
            }
            FaultKind::CoordinatorCutFromStore if is_active => {
                self.hosts[coordinator_host].is_partitioned_from_store = true;
            }
            FaultKind::CoordinatorCutFromWorkers if is_active => {
                let names = self
                    .every_nth_worker(index, 3)
                    .into_iter()
                    .map(|worker_index| self.workers[worker_index].name.clone())
                    .collect();
                self.hosts[coordinator_host].unreachable_workers = names;
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
            FaultKind::CoordinatorKilled
            | FaultKind::CoordinatorFrozen
            | FaultKind::CoordinatorStalled
            | FaultKind::CoordinatorSlow
            | FaultKind::OrdersQueued
            | FaultKind::EventsQueued
            | FaultKind::ZoneCut
            | FaultKind::ZoneOrdersHeld
            | FaultKind::ZoneRepliesHeld => {}
            FaultKind::StarterRemoved if is_active => self.starter_removal = Some(index),
            FaultKind::StarterRemoved => {
                if self.starter_removal == Some(index) {
                    self.starter_removal = None;
                }
            }
            FaultKind::StoreAway => self.store.is_unavailable = is_active,
            FaultKind::StoreAnswersLost => self.store.loses_replies = is_active,
            FaultKind::OrdersLate => self.is_delaying_orders = is_active,
            FaultKind::MessagesReordered => self.is_reordering_messages = is_active,
            FaultKind::ZoneEvacuated => {
                let zone = zone_name(index);
                if is_active {
                    self.store.evacuated.entry(zone).or_insert(self.now);
                } else {
                    self.store.evacuated.remove(&zone);
                }
            }
            FaultKind::ZoneUnlisted => {
                let zone = zone_name(index);
                for worker in self.workers.iter_mut().filter(|worker| worker.zone == zone) {
                    worker.is_unlisted = is_active;
                }
            }
            FaultKind::WorkersCrash
            | FaultKind::WorkersRestart
            | FaultKind::RackOut
            | FaultKind::CapacityShrinks
            | FaultKind::WorkersLeave
            | FaultKind::WorkersSlow
            | FaultKind::WorkersRefuse
            | FaultKind::StopsRefused
            | FaultKind::WorkersUnlisted
            | FaultKind::WorkersSuspended
            | FaultKind::WorkersHang
            | FaultKind::WorkersFailing => self.set_worker_fault(index, is_active),
        }
    }

    /// Begins or ends a fault of some of the workers.
    fn set_worker_fault(&mut self, index: usize, is_active: bool) {
        let fault = self.faults[index];
        let every_third = self.every_nth_worker(index, 3);
        let every_eighth = self.every_nth_worker(index, 8);
        match fault.kind {
            FaultKind::WorkersCrash => self.set_power_loss(&every_eighth, is_active),
            FaultKind::WorkersRestart => {
                for worker_index in every_third {
                    self.set_restarted(worker_index, is_active);
                }
            }
            FaultKind::RackOut => {
                let first = index * self.options.workers_per_rack as usize % self.workers.len();
                let rack = &self.workers[first].rack;
                let is_in_rack = |worker_index: &usize| self.workers[*worker_index].rack == *rack;
                let in_rack: Vec<usize> = (0..self.workers.len()).filter(is_in_rack).collect();
                self.set_power_loss(&in_rack, is_active);
            }
            FaultKind::CapacityShrinks => self.set_shrunk(&every_third, is_active),
            FaultKind::WorkersLeave => {
                let until = fault.at + fault.for_ms;
                for worker_index in every_eighth {
                    self.set_leaving(worker_index, is_active.then_some(until));
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
            FaultKind::StopsRefused => {
                for worker_index in every_third {
                    self.workers[worker_index].is_refusing_stops = is_active;
                }
            }
            FaultKind::WorkersUnlisted => {
                for worker_index in every_third {
                    self.workers[worker_index].is_unlisted = is_active;
                }
            }
            FaultKind::WorkersSuspended => {
                for worker_index in every_eighth {
                    self.set_suspended(worker_index, is_active);
                }
            }
            FaultKind::WorkersHang => self.set_hung(&every_eighth, is_active),
            FaultKind::WorkersFailing => {
                for worker_index in every_eighth {
                    self.workers[worker_index].is_failing = is_active;
                }
            }
            _ => {}
        }
    }

    /// Returns every n-th worker, from one that depends on the number of the fault.
    fn every_nth_worker(&self, fault: usize, n: usize) -> Vec<usize> {
        (0..self.workers.len())
            .filter(|number| (number + fault).is_multiple_of(n))
            .collect()
    }

    /// Lets a worker drain until it leaves at the given time, or restarts it without one.
    fn set_leaving(&mut self, worker_index: usize, leaves_at: Option<TimeMs>) {
        let now = self.now;
        let worker = &mut self.workers[worker_index];
        worker.draining_since = leaves_at.map(|_| now);
        worker.leaves_at = leaves_at;
        if leaves_at.is_some() {
            return;
        }
        if worker.is_up() || worker.is_suspended() {
            self.crash_worker(worker_index, PollFailure::NoAnswer);
        }
        self.workers[worker_index].restore();
    }

    /// Removes a host for good and adds another; the impairment ends with the removal.
    pub(crate) fn remove_host(&mut self, host: usize, fault: usize) {
        self.hosts[host] = Host {
            is_removed: true,
            ..Host::default()
        };
        self.hosts.push(Host::default());
        let fault = &mut self.faults[fault];
        fault.for_ms = self.now.since(fault.at);
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

    /// Restarts the process of a worker, or lets the later incarnation register.
    fn set_restarted(&mut self, worker_index: usize, is_active: bool) {
        let worker = &mut self.workers[worker_index];
        if !is_active {
            worker.registered_name = worker.name.clone();
        } else if worker.is_up() {
            let registered_name = worker.registered_name.clone();
            self.crash_worker(worker_index, PollFailure::Closed);
            self.workers[worker_index].registered_name = registered_name;
        }
    }

    /// Suspends or resumes the machine of a worker.
    fn set_suspended(&mut self, worker_index: usize, is_active: bool) {
        let now = self.now;
        let worker = &mut self.workers[worker_index];
        if is_active && worker.is_up() {
            worker.suspend(now);
            self.fail_pending_poll(worker_index, PollFailure::NoAnswer);
        } else if !is_active {
            worker.resume(now);
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
