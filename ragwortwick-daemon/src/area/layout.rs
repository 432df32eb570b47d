//! Version of the layout of this system's keys in the store.
//!
//! A coordinator that looks for progress where another layout does not keep it finds none, and would start
//! every open job from its beginning. A host therefore coordinates only if it knows the layout in the store.

use ragwortwick_adapter::{KeyValue, Precondition, StoreClient, StoreError, WriteItem};
use ragwortwick_core::{Revision, log_event};
use serde::{Deserialize, Serialize};

use super::keys::LAYOUT_KEY;

/// Version of the layout that this host writes. It rises with each change that hosts of the version before can't
/// read.
///
/// From version 2 on, names of workers in stored progress contain their start times: to a host of before, each
/// recorded run would be on a worker that is gone, and it would start the task a second time.
const LAYOUT_VERSION: u32 = 2;

#[derive(Serialize, Deserialize)]
struct LayoutValue {
    version: u32,
}

/// `KnownLayout` is a layout in the store that this host can work with.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct KnownLayout {
    /// Revision of the key; zero if it does not exist.
    revision: Revision,
    /// Whether the key has to be written.
    is_outdated: bool,
}

impl KnownLayout {
    /// The layout of a stored value; none if it is of a later version, or of an unknown form.
    pub(super) fn of(item: Option<&KeyValue>) -> Option<Self> {
        let Some(item) = item else {
            return Some(Self {
                revision: Revision(0),
                is_outdated: true,
            });
        };
        let stored: LayoutValue = serde_json::from_slice(&item.value).ok()?;
        (stored.version <= LAYOUT_VERSION).then_some(Self {
            revision: item.revision,
            is_outdated: stored.version < LAYOUT_VERSION,
        })
    }

    /// The condition that the layout is still the same.
    pub(super) fn precondition(&self) -> Precondition {
        Precondition {
            key: LAYOUT_KEY.to_owned(),
            revision: self.revision,
        }
    }

    /// The write that raises the stored version to that of this host, if it is lower.
    pub(super) fn upgrade(&self) -> Option<WriteItem> {
        let value = format!("{{\"version\":{LAYOUT_VERSION}}}").into_bytes();
        self.is_outdated.then(|| WriteItem {
            key: LAYOUT_KEY.to_owned(),
            value,
            lease: None,
        })
    }
}

/// Reads the layout; none, with a log line, if this host can't work with it.
pub(super) async fn read_layout(store: &StoreClient) -> Result<Option<KnownLayout>, StoreError> {
    let item = store.get(LAYOUT_KEY).await?;
    let layout = KnownLayout::of(item.as_ref());
    if layout.is_none() {
        let stored = item.map(|item| String::from_utf8_lossy(&item.value).into_owned());
        log_event!(
            Warn,
            "layout_unknown",
            stored = stored.unwrap_or_default(),
            own_version = LAYOUT_VERSION
        );
    }
    Ok(layout)
}
