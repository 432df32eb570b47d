//! Polling of the platform's lagging list of hosts.

use std::sync::Arc;

use ragwortwick_border::HostList;
use ragwortwick_core::{DurationMs, TimeMs, log_event};
use ragwortwick_http::{ConditionalResponse, HttpClient, HttpClientOptions};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::{Backoff, BackoffOptions};

/// `HostListOptions` sets where and how often the list is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostListOptions {
    /// ip:port of the list.
    pub address: String,
    /// Longest time between two reads; a leaving runner gets no work 3 s after it is listed so.
    pub interval_ms: DurationMs,
    /// Longest wait for an answer.
    pub timeout_ms: DurationMs,
    /// Seed of the jitter.
    pub seed: u64,
}

impl HostListOptions {
    /// `new` gives the intervals used in production.
    pub fn new(address: impl Into<String>, seed: u64) -> Self {
        Self {
            address: address.into(),
            interval_ms: DurationMs(1_000),
            timeout_ms: DurationMs(1_500),
            seed,
        }
    }
}

/// `HostListPoller` is a running poller.
#[derive(Debug)]
pub struct HostListPoller {
    hosts: watch::Receiver<Arc<HostList>>,
    task: JoinHandle<()>,
}

impl HostListPoller {
    /// `spawn` starts polling; the list is empty until the first answer.
    #[must_use]
    pub fn spawn(options: HostListOptions) -> Self {
        let empty = HostList {
            hosts: Vec::new(),
            as_of_ms: TimeMs(0),
        };
        let (sender, hosts) = watch::channel(Arc::new(empty));
        let task = tokio::spawn(poll(options, sender));
        Self { hosts, task }
    }

    /// `hosts` follows the latest list.
    #[must_use]
    pub fn hosts(&self) -> watch::Receiver<Arc<HostList>> {
        self.hosts.clone()
    }

    /// `close` ends the polling.
    pub async fn close(self) {
        self.task.abort();
        // The task was told to end; how it ended says nothing more.
        drop(self.task.await);
    }
}

async fn poll(options: HostListOptions, sender: watch::Sender<Arc<HostList>>) {
    let http = HttpClient::new(&HttpClientOptions {
        max_idle_per_host: 2,
        ..HttpClientOptions::default()
    });
    let mut jitter = Backoff::new(BackoffOptions::default(), options.seed);
    let mut has_failed = false;
    // The list grows with the fleet and rarely changes: read whole each second it would cost an
    // entry host more bytes than all its other control traffic together.
    let mut known_etag: Option<String> = None;
    loop {
        let answer = http
            .get_if_modified::<HostList>(
                &options.address,
                "/v1/hosts",
                known_etag.as_deref(),
                options.timeout_ms,
            )
            .await;
        match answer {
            Ok(ConditionalResponse::NotModified) => has_failed = false,
            Ok(ConditionalResponse::Modified { value, etag }) => {
                has_failed = false;
                known_etag = etag;
                offer(&sender, value);
            }
            Err(error) => {
                if !has_failed {
                    log_event!(Warn, "host_list_unreachable", cause = error);
                }
                has_failed = true;
            }
        }
        tokio::time::sleep(jitter.spread(options.interval_ms).into()).await;
    }
}

/// The list may be answered by several servers that lag differently; an older one must not bring
/// back a runner that is already known to leave.
fn offer(sender: &watch::Sender<Arc<HostList>>, list: HostList) {
    sender.send_if_modified(|known| {
        if list.as_of_ms < known.as_of_ms {
            return false;
        }
        let has_changed = list.hosts != known.hosts;
        *known = Arc::new(list);
        has_changed
    });
}
