//! The paths between zones and to the platform, each through a relay that can be cut.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use ragwortwick_border::{HostEntry, HostKind};
use ragwortwick_core::{HostName, ZoneName, common};
use tokio::sync::Mutex;

use crate::{Relay, RelayMode, Store};

/// `ZonePaths` gives each zone its own path to the platform and to every listed host.
///
/// Each zone sees a host list of its own, in which each host stands with the address of a relay for
/// that zone. So a cut between zones leaves the paths inside each zone alone.
#[derive(Debug)]
pub struct ZonePaths {
    views: BTreeMap<ZoneName, View>,
    between: Mutex<Vec<Between>>,
}

#[derive(Debug)]
struct View {
    hosts: Store,
    to_hosts: Relay,
    to_store: Relay,
}

#[derive(Debug)]
struct Between {
    from: ZoneName,
    to: ZoneName,
    host: HostName,
    kind: HostKind,
    relay: Relay,
}

/// `PathBytes` counts bytes by the kind of the other end.
#[common]
#[derive(Copy, Default)]
pub struct PathBytes {
    /// To and from the store.
    pub store: u64,
    /// To and from the host list.
    pub host_list: u64,
    /// Between entry hosts.
    pub entry_hosts: u64,
    /// To and from runners.
    pub runners: u64,
    /// To and from workers.
    pub workers: u64,
}

impl ZonePaths {
    /// `open` starts the relays from each zone to the platform.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn open(zones: &[ZoneName], store: SocketAddr) -> io::Result<Self> {
        let mut views = BTreeMap::new();
        for zone in zones {
            let hosts = Store::bind("127.0.0.1:0").await?;
            let view = View {
                to_hosts: Relay::bind("127.0.0.1:0", hosts.address()).await?,
                to_store: Relay::bind("127.0.0.1:0", store).await?,
                hosts,
            };
            views.insert(zone.clone(), view);
        }
        Ok(Self {
            views,
            between: Mutex::default(),
        })
    }

    /// `store_address` is where hosts of the zone reach the store.
    #[must_use]
    pub fn store_address(&self, zone: &ZoneName) -> String {
        self.views[zone].to_store.address().to_string()
    }

    /// `hosts_address` is where hosts of the zone reach the host list.
    #[must_use]
    pub fn hosts_address(&self, zone: &ZoneName) -> String {
        self.views[zone].to_hosts.address().to_string()
    }

    /// `put_host` lists a host in the view of every zone.
    ///
    /// # Errors
    ///
    /// Fails if no port is free or the host has no usable address.
    pub async fn put_host(&self, host: &HostEntry) -> io::Result<()> {
        for (zone, view) in &self.views {
            view.hosts.put_host(self.through_relay(zone, host).await?);
        }
        Ok(())
    }

    /// `set_platform` changes the paths from the zone to the store and the host list.
    pub fn set_platform(&self, zone: &ZoneName, mode: RelayMode) {
        let view = &self.views[zone];
        view.to_store.set_mode(mode);
        view.to_hosts.set_mode(mode);
    }

    /// `set_between` changes the paths between the zone and all others, both ways.
    pub async fn set_between(&self, zone: &ZoneName, mode: RelayMode) {
        for path in self.between.lock().await.iter() {
            if (path.from == *zone) != (path.to == *zone) {
                path.relay.set_mode(mode);
            }
        }
    }

    /// `bytes` counts the bytes on all paths, both ways.
    pub async fn bytes(&self) -> PathBytes {
        let mut bytes = PathBytes::default();
        for view in self.views.values() {
            bytes.store += view.to_store.bytes();
            bytes.host_list += view.to_hosts.bytes();
        }
        for path in self.between.lock().await.iter() {
            let kind = match path.kind {
                HostKind::Entry => &mut bytes.entry_hosts,
                HostKind::Runner => &mut bytes.runners,
                HostKind::Worker => &mut bytes.workers,
            };
            *kind += path.relay.bytes();
        }
        bytes
    }

    /// `close` ends all relays and host lists.
    pub async fn close(self) {
        for path in self.between.into_inner() {
            path.relay.close();
        }
        for view in self.views.into_values() {
            view.to_store.close();
            view.to_hosts.close();
            view.hosts.close().await;
        }
    }

    async fn through_relay(&self, from: &ZoneName, host: &HostEntry) -> io::Result<HostEntry> {
        let mut seen = host.clone();
        let address = match host.kind {
            HostKind::Entry => seen.peer_address.as_mut(),
            HostKind::Runner | HostKind::Worker => Some(&mut seen.address),
        };
        let Some(address) = address else {
            return Ok(seen);
        };
        let target = address.parse().map_err(io::Error::other)?;
        let relay = Relay::bind("127.0.0.1:0", target).await?;
        *address = relay.address().to_string();
        let mut between = self.between.lock().await;
        between.retain(|path| path.from != *from || path.host != host.name);
        between.push(Between {
            from: from.clone(),
            to: host.zone.clone(),
            host: host.name.clone(),
            kind: host.kind,
            relay,
        });
        Ok(seen)
    }
}
