//! Sends the placer's orders to the workers, a bounded number at once.

use std::sync::Arc;

use ragwortwick_border::{WorkerCommand, WorkerOrder};
use ragwortwick_core::{Epoch, WorkerName, log_event};
use ragwortwick_platform::{WorkerClient, WorkerClientOptions};
use ragwortwick_policy::OrderId;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;

use super::Tenure;
use super::zone_event::{OrderAnswer, ZoneDutyEvent, deliver};
use crate::{Clock, EventLoopSender};

/// Orders under way at once; a zone of 350 workers renewed every 2 s needs far fewer.
const MAX_IN_FLIGHT: usize = 256;

/// `OutgoingOrder` is an order on its way to a worker.
#[derive(Debug)]
pub(crate) struct OutgoingOrder {
    /// Epoch under which it is given.
    pub(crate) epoch: Epoch,
    /// Pairs it with its answer.
    pub(crate) order: OrderId,
    /// The worker.
    pub(crate) worker: WorkerName,
    /// ip:port of the worker's agent.
    pub(crate) address: String,
    /// The command.
    pub(crate) command: WorkerCommand,
}

/// `OrderSender` sends orders and gives their answers to the zone duty.
#[derive(Clone, Debug)]
pub(crate) struct OrderSender {
    client: WorkerClient,
    tenure: Tenure,
    clock: Clock,
    ring: EventLoopSender<ZoneDutyEvent>,
}

impl OrderSender {
    /// `spawn` starts sending what arrives on `orders`, until its other end is dropped.
    pub(crate) fn spawn(
        tenure: Tenure,
        clock: Clock,
        ring: EventLoopSender<ZoneDutyEvent>,
        orders: mpsc::Receiver<OutgoingOrder>,
    ) -> JoinHandle<()> {
        let sender = Self {
            client: WorkerClient::open(&WorkerClientOptions::default()),
            tenure,
            clock,
            ring,
        };
        tokio::spawn(sender.run(orders))
    }

    async fn run(self, mut orders: mpsc::Receiver<OutgoingOrder>) {
        let places = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        while let Some(order) = orders.recv().await {
            let Ok(place) = Arc::clone(&places).acquire_owned().await else {
                return;
            };
            let sender = self.clone();
            tokio::spawn(async move {
                sender.send(order).await;
                drop(place);
            });
        }
    }

    async fn send(&self, outgoing: OutgoingOrder) {
        let reply = if self.tenure.may_act(self.clock.now(), outgoing.epoch) {
            let order = WorkerOrder {
                epoch: outgoing.epoch,
                command: outgoing.command,
            };
            let worker = &outgoing.worker;
            let answer = self.client.order(&outgoing.address, worker, &order).await;
            answer
                .inspect_err(|cause| {
                    log_event!(Debug, "worker_silent", worker = worker, cause = cause);
                })
                .ok()
        } else {
            None
        };
        let answer = OrderAnswer {
            epoch: outgoing.epoch,
            worker: outgoing.worker,
            order: outgoing.order,
            reply,
        };
        deliver(&self.ring, ZoneDutyEvent::Answered(answer)).await;
    }
}
