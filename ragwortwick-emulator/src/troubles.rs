//! Troubles that begin and end.

use crate::faults::FaultKind;
use crate::host::Host;
use crate::world::World;

impl World {
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
        let third: Vec<usize> = (0..self.workers.len())
            .filter(|number| (number + index).is_multiple_of(3))
            .collect();
        let few: Vec<usize> = (0..self.workers.len())
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
                self.hosts[leader].is_cut_from_store = true;
            }
            FaultKind::CoordinatorCutFromWorkers if is_on => {
                let names = third.iter().map(|&at| self.workers[at].name.clone());
                self.hosts[leader].cut_workers = names.collect();
            }
            FaultKind::AnswersCut if is_on => self.hosts[leader].loses_answers = true,
            FaultKind::CoordinatorCutFromStore
            | FaultKind::CoordinatorCutFromWorkers
            | FaultKind::AnswersCut => {
                for host in &mut self.hosts {
                    host.is_cut_from_store = false;
                    host.cut_workers.clear();
                    host.loses_answers = false;
                }
            }
            FaultKind::CoordinatorKilled | FaultKind::CoordinatorFrozen => {}
            FaultKind::StoreAway => self.store.is_away = is_on,
            FaultKind::StoreAnswersLost => self.store.loses_answers = is_on,
            FaultKind::WorkersCrash => {
                for at in few {
                    if is_on {
                        self.workers[at].is_up = false;
                        self.crash(at);
                    } else {
                        self.workers[at].is_up = true;
                    }
                }
            }
            FaultKind::OrdersLate => self.orders_late = is_on,
            FaultKind::WorkersLeave => {
                for at in few {
                    if is_on {
                        self.workers[at].draining_since = Some(self.now);
                        self.workers[at].leaves_at = Some(until);
                    } else {
                        self.workers[at].draining_since = None;
                        self.workers[at].leaves_at = None;
                        if self.workers[at].is_up {
                            self.crash(at);
                        }
                        self.workers[at].is_up = true;
                    }
                }
            }
            FaultKind::WorkersSlow => {
                for at in few {
                    self.workers[at].slowness = if is_on { 5 } else { 1 };
                }
            }
            FaultKind::WorkersHang => self.hang(&few, is_on),
            FaultKind::WorkersFailing => {
                for at in few {
                    self.workers[at].is_failing = is_on;
                }
            }
        }
    }
}
