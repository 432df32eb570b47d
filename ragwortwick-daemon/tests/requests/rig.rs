//! One entry host's request duty in this process, with runners behind relays and a store.

use std::sync::Arc;
use std::time::Duration;

use ragwortwick_border::{
    AcceptedTable, ClassRow, CustomerRow, HostEntry, HostList, PolicyWeights, RefusalVerdict,
    RequestOutcome, RequestSubmit, Table,
};
use ragwortwick_core::{DurationMs, HostName, RequestId, TimeMs, ZoneName};
use ragwortwick_daemon::{
    Clock, Lifecycle, Metrics, PeerClient, Requests, RequestsHandle, Settings, StateWatches,
    StoreClaims,
};
use ragwortwick_standin::{LogEvent, Relay, Runner, RunnerOptions, Store};
use serde_json::json;
use tokio::sync::watch;

/// Only a hung test reaches it.
const OUTER_LIMIT: Duration = Duration::from_secs(30);

/// `Host` is the request duty of one entry host.
pub struct Host {
    pub requests: RequestsHandle,
    hosts: watch::Sender<Arc<HostList>>,
    _table: watch::Sender<Option<Arc<AcceptedTable>>>,
    _store_feed: watch::Sender<bool>,
    _lifecycle: watch::Sender<Lifecycle>,
    duty: Requests,
}

/// `Rig` is an entry host with everything around it.
pub struct Rig {
    pub store: Store,
    pub store_relay: Relay,
    pub runners: Vec<Runner>,
    pub relays: Vec<Relay>,
    pub host: Host,
}

impl Rig {
    pub async fn open(runners: usize, slots: u32) -> Self {
        let store = Store::bind("127.0.0.1:0").await.expect("store");
        let store_relay = Relay::bind("127.0.0.1:0", store.address())
            .await
            .expect("relay");
        let mut all = Vec::new();
        let mut relays = Vec::new();
        for index in 0..runners {
            let options = RunnerOptions {
                name: HostName::new(format!("runner-{index}")),
                zone: ZoneName::new("east"),
                slots,
            };
            let runner = Runner::bind("127.0.0.1:0", options).await.expect("runner");
            let relay = Relay::bind("127.0.0.1:0", runner.address()).await;
            relays.push(relay.expect("relay"));
            all.push(runner);
        }
        let host = Host::open("entry-0", &store_relay);
        let rig = Self {
            store,
            store_relay,
            runners: all,
            relays,
            host,
        };
        rig.list_runners(&rig.host).await;
        rig
    }

    /// One more entry host with the same store and runners.
    pub async fn second_host(&self) -> Host {
        let host = Host::open("entry-1", &self.store_relay);
        self.list_runners(&host).await;
        host
    }

    /// Lists the runners under the addresses of their relays and waits until they are known.
    async fn list_runners(&self, host: &Host) {
        let entries = self.runners.iter().zip(&self.relays);
        let entries = entries.map(|(runner, relay)| HostEntry {
            address: relay.address().to_string(),
            ..runner.entry()
        });
        host.hosts.send_replace(Arc::new(HostList {
            hosts: entries.collect(),
            as_of_ms: TimeMs(1),
        }));
        within(async {
            while host.requests.load().runners.len() != self.runners.len() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }

    pub async fn submit(&self, request: RequestSubmit) -> RequestOutcome {
        self.host.submit(request).await
    }

    /// Starts of a request on all runners, by their own logs.
    pub fn starts(&self, id: &str) -> usize {
        let logs = self.runners.iter().map(Runner::log);
        logs.map(|log| log.count(id, LogEvent::Started)).sum()
    }

    pub async fn wait_for_start(&self, id: &str) {
        within(async {
            while self.starts(id) == 0 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
    }

    pub async fn close(self) {
        self.host.close();
        for relay in self.relays {
            relay.close();
        }
        self.store_relay.close();
        self.store.close().await;
        for runner in self.runners {
            runner.close().await;
        }
    }
}

impl Host {
    fn open(name: &str, store: &Relay) -> Self {
        let settings = settings(name, store);
        let clock = Clock::open();
        let (table, table_feed) = watch::channel(Some(Arc::new(table())));
        let (hosts, hosts_feed) = watch::channel(Arc::new(HostList {
            hosts: Vec::new(),
            as_of_ms: TimeMs(0),
        }));
        let (store_feed, store_is_reachable) = watch::channel(true);
        let (lifecycle, lifecycle_feed) = watch::channel(Lifecycle::Running);
        let feeds = StateWatches {
            table: table_feed,
            hosts: hosts_feed,
            is_store_reachable: store_is_reachable,
            waiting_jobs: watch::channel(Arc::default()).1,
            owned_epoch: watch::channel(None).1,
            lifecycle: lifecycle_feed,
        };
        let peers = PeerClient::open(&settings, clock, feeds.clone());
        let claims = StoreClaims::open(&settings.store_address, clock);
        let metrics = Metrics::open().expect("metrics");
        let duty = Requests::open(&settings, clock, metrics, feeds, peers, claims).expect("duty");
        Self {
            requests: duty.handle(),
            hosts,
            _table: table,
            _store_feed: store_feed,
            _lifecycle: lifecycle,
            duty,
        }
    }

    pub async fn submit(&self, request: RequestSubmit) -> RequestOutcome {
        within(self.requests.submit(request, false)).await
    }

    pub fn close(self) {
        self.duty.close();
    }
}

pub async fn within<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(OUTER_LIMIT, work)
        .await
        .expect("the test hangs")
}

/// A request that the stand-in answers with its own id after `work_ms`.
pub fn request(id: &str, work_ms: u64) -> RequestSubmit {
    RequestSubmit {
        request_id: Some(RequestId::new(id)),
        customer: "padana".into(),
        class: "check".into(),
        deadline_ms: Some(DurationMs(5_000)),
        repeatable: true,
        payload: json!({ "work_ms": work_ms, "echo": id }).to_string(),
    }
}

/// The same, marked as not to be repeated.
pub fn order(id: &str, work_ms: u64) -> RequestSubmit {
    RequestSubmit {
        repeatable: false,
        ..request(id, work_ms)
    }
}

pub fn is_answer(outcome: &RequestOutcome, id: &str) -> bool {
    matches!(outcome, RequestOutcome::Answered(answer)
        if answer.request_id.as_str() == id && answer.answer == id)
}

pub fn refusal(outcome: &RequestOutcome) -> Option<RefusalVerdict> {
    match outcome {
        RequestOutcome::Answered(_) => None,
        RequestOutcome::Refused(refusal) => Some(refusal.verdict),
    }
}

fn settings(name: &str, store: &Relay) -> Settings {
    let text = json!({
        "host": name,
        "zone": "east",
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "store_address": store.address().to_string(),
        "hosts_address": store.address().to_string(),
    });
    Settings::parse(&text.to_string()).expect("settings")
}

fn table() -> AcceptedTable {
    let class = ClassRow {
        customer: "padana".into(),
        class: "check".into(),
        urgent: false,
        weight: 1.0,
        worth: 1.0,
        deadline_ms: DurationMs(5_000),
        max_in_flight: 1_000,
        max_queued: 1_000,
        rate_per_s: 100_000.0,
    };
    AcceptedTable {
        number: 1,
        nonce: "n".to_owned(),
        accepted_by: "operator".to_owned(),
        accepted_at_ms: TimeMs(0),
        reason: "test".to_owned(),
        table: Table {
            customers: vec![CustomerRow {
                customer: "padana".into(),
                weight: 1.0,
                max_queued_jobs: 10,
            }],
            guarantees: Vec::new(),
            classes: vec![class],
            weights: PolicyWeights {
                completion: 1.0,
                fragmentation: 1.0,
            },
        },
    }
}
