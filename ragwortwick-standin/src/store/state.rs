//! The store's content: keys with revisions, leases, the log of changes and the host list.

use std::collections::{BTreeMap, VecDeque};

use ragwortwick_border::{
    HostEntry, HostList, LeaseReply, StoreCas, StoreCasReply, StoreChange, StoreEntry, StoreGet,
    StoreGetReply, StoreList, StoreListReply, StoreWatch, StoreWatchReply,
};
use ragwortwick_core::{DurationMs, HostName, Revision, TimeMs};

/// Changes kept for watches; a watch that is further behind is told to list again.
const KEPT_CHANGES: usize = 16_384;

/// Host lists kept to show an old one; more than any test changes within its lag.
const KEPT_HOST_LISTS: usize = 4_096;

/// `StoreState` is the content of the store at one moment.
#[derive(Clone, Debug, Default)]
pub struct StoreState {
    revision: Revision,
    values: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    changes: VecDeque<StoreChange>,
    dropped_through: Revision,
    host_lists: VecDeque<HostList>,
}

#[derive(Clone, Debug)]
struct StoredValue {
    text: String,
    revision: Revision,
    lease_id: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: DurationMs,
    lapses_at_ms: TimeMs,
}

impl StoreState {
    /// `revision` is the number of the last change of a key.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// `get` reads one key.
    pub fn get(&mut self, now: TimeMs, question: &StoreGet) -> StoreGetReply {
        self.advance(now);
        StoreGetReply {
            entry: self.entry(&question.key),
            revision: self.revision,
        }
    }

    /// `list` reads the keys under a prefix in order.
    pub fn list(&mut self, now: TimeMs, question: &StoreList) -> StoreListReply {
        self.advance(now);
        let limit = usize::try_from(question.limit).unwrap_or(usize::MAX);
        let mut entries: Vec<_> = self
            .values
            .range(question.prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&question.prefix))
            .filter(|(key, _)| question.after_key.as_ref().is_none_or(|after| *key > after))
            .take(limit.saturating_add(1))
            .map(|(key, value)| value.entry(key))
            .collect();
        let has_more = entries.len() > limit;
        entries.truncate(limit);
        StoreListReply {
            entries,
            has_more,
            revision: self.revision,
        }
    }

    /// `cas` writes or deletes a key if its revision is the expected one.
    pub fn cas(&mut self, now: TimeMs, question: StoreCas) -> StoreCasReply {
        self.advance(now);
        let held = self
            .values
            .get(&question.key)
            .map_or(Revision(0), |value| value.revision);
        let lease_is_alive = question
            .lease_id
            .is_none_or(|id| self.leases.contains_key(&id));
        let is_expected = held == question.expected_revision;
        let deletes_nothing = question.value.is_none() && held == Revision(0);
        let applied = is_expected && lease_is_alive && !deletes_nothing;
        let key = question.key.clone();
        if applied {
            self.write(question.key, question.value, question.lease_id);
        }
        StoreCasReply {
            applied: applied || (is_expected && deletes_nothing),
            entry: self.entry(&key),
            revision: self.revision,
        }
    }

    /// `changes_since` gives the changes under the prefix after the revision.
    pub fn changes_since(&mut self, now: TimeMs, question: &StoreWatch) -> StoreWatchReply {
        self.advance(now);
        let is_gap = question.after_revision < self.dropped_through;
        let changes = self
            .changes
            .iter()
            .filter(|change| change.revision > question.after_revision)
            .filter(|change| change.key.starts_with(&question.prefix))
            .cloned()
            .collect();
        StoreWatchReply {
            changes,
            is_gap,
            revision: self.revision,
        }
    }

    /// `grant` starts a lease.
    pub fn grant(&mut self, now: TimeMs, ttl_ms: DurationMs) -> LeaseReply {
        self.advance(now);
        self.last_lease_id += 1;
        let lease = Lease {
            ttl_ms,
            lapses_at_ms: now + ttl_ms,
        };
        self.leases.insert(self.last_lease_id, lease);
        reply(self.last_lease_id, Some(ttl_ms))
    }

    /// `renew` starts a lease's time again.
    pub fn renew(&mut self, now: TimeMs, lease_id: u64) -> LeaseReply {
        self.advance(now);
        let ttl_ms = self.leases.get_mut(&lease_id).map(|lease| {
            lease.lapses_at_ms = now + lease.ttl_ms;
            lease.ttl_ms
        });
        reply(lease_id, ttl_ms)
    }

    /// `revoke` ends a lease and deletes its keys.
    pub fn revoke(&mut self, now: TimeMs, lease_id: u64) -> LeaseReply {
        self.advance(now);
        self.end_lease(lease_id);
        reply(lease_id, None)
    }

    /// `lapse_all` ends every lease, as a long pause of every holder would.
    pub fn lapse_all(&mut self) {
        for lease_id in self.leases.keys().copied().collect::<Vec<_>>() {
            self.end_lease(lease_id);
        }
    }

    /// `advance` ends the leases that lapsed; it tells whether a key changed.
    pub fn advance(&mut self, now: TimeMs) -> bool {
        let before = self.revision;
        let lapsed: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.lapses_at_ms <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease_id in lapsed {
            self.end_lease(lease_id);
        }
        self.revision != before
    }

    /// `put_host` adds a host to the list or replaces it.
    pub fn put_host(&mut self, now: TimeMs, host: HostEntry) {
        self.change_hosts(now, |hosts| {
            hosts.retain(|other| other.name != host.name);
            hosts.push(host);
        });
    }

    /// `remove_host` takes a host off the list.
    pub fn remove_host(&mut self, now: TimeMs, name: &HostName) {
        self.change_hosts(now, |hosts| hosts.retain(|other| other.name != *name));
    }

    /// `hosts` gives the list as it stood `lag_ms` ago.
    #[must_use]
    pub fn hosts(&self, now: TimeMs, lag_ms: DurationMs) -> HostList {
        let shown_at = now - lag_ms;
        let hosts = self
            .host_lists
            .iter()
            .rev()
            .find(|list| list.as_of_ms <= shown_at)
            .map_or_else(Vec::new, |list| list.hosts.clone());
        HostList {
            as_of_ms: shown_at,
            hosts,
        }
    }

    fn change_hosts(&mut self, now: TimeMs, change: impl FnOnce(&mut Vec<HostEntry>)) {
        let mut hosts = self
            .host_lists
            .back()
            .map_or_else(Vec::new, |list| list.hosts.clone());
        change(&mut hosts);
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        let as_of_ms = now;
        self.host_lists.push_back(HostList { as_of_ms, hosts });
        if self.host_lists.len() > KEPT_HOST_LISTS {
            self.host_lists.pop_front();
        }
    }

    fn entry(&self, key: &str) -> Option<StoreEntry> {
        self.values.get(key).map(|value| value.entry(key))
    }

    fn end_lease(&mut self, lease_id: u64) {
        self.leases.remove(&lease_id);
        let keys: Vec<String> = self
            .values
            .iter()
            .filter(|(_, value)| value.lease_id == Some(lease_id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.write(key, None, None);
        }
    }

    fn write(&mut self, key: String, value: Option<String>, lease_id: Option<u64>) {
        self.revision = Revision(self.revision.0 + 1);
        match value {
            Some(text) => {
                let value = StoredValue {
                    text,
                    revision: self.revision,
                    lease_id,
                };
                self.values.insert(key.clone(), value);
            }
            None => {
                self.values.remove(&key);
            }
        }
        let change = StoreChange {
            entry: self.entry(&key),
            revision: self.revision,
            key,
        };
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES
            && let Some(dropped) = self.changes.pop_front()
        {
            self.dropped_through = dropped.revision;
        }
    }
}

impl StoredValue {
    fn entry(&self, key: &str) -> StoreEntry {
        StoreEntry {
            key: key.to_owned(),
            revision: self.revision,
            value: self.text.clone(),
        }
    }
}

fn reply(lease_id: u64, ttl_ms: Option<DurationMs>) -> LeaseReply {
    LeaseReply {
        lease_id,
        is_alive: ttl_ms.is_some(),
        ttl_ms: ttl_ms.unwrap_or_default(),
    }
}
