//! The queues that are short of capacity, as this host last heard of them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_adapter::{KeyValue, WatchEvent};
use ragwortwick_area::LoadPicture;
use ragwortwick_core::{DurationMs, TimeMs, log_event};

use super::keys::LOAD_KEY;

/// `SharedLoadPicture` holds the newest picture; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedLoadPicture(Arc<Mutex<Option<HeardPicture>>>);

#[derive(Debug)]
struct HeardPicture {
    picture: Arc<LoadPicture>,
    heard_at: TimeMs,
}

impl SharedLoadPicture {
    fn lock(&self) -> MutexGuard<'_, Option<HeardPicture>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a change of the store; one that can't be read counts as no picture.
    pub(super) fn apply(&self, now: TimeMs, event: &WatchEvent) {
        match event {
            WatchEvent::Written(item) if item.key == LOAD_KEY => {
                let picture = decode(item);
                *self.lock() = picture.map(|picture| HeardPicture {
                    picture: Arc::new(picture),
                    heard_at: now,
                });
            }
            WatchEvent::Removed { key, .. } if key == LOAD_KEY => *self.lock() = None,
            _ => {}
        }
    }

    /// Returns the newest picture and how long ago this host heard of it.
    pub(super) fn newest(&self, now: TimeMs) -> Option<(Arc<LoadPicture>, DurationMs)> {
        let heard = self.lock();
        let heard = heard.as_ref()?;
        Some((Arc::clone(&heard.picture), now.since(heard.heard_at)))
    }
}

fn decode(item: &KeyValue) -> Option<LoadPicture> {
    match serde_json::from_slice::<LoadPicture>(&item.value) {
        Ok(picture) if picture.is_known_layout() => Some(picture),
        Ok(picture) => {
            let version = picture.version;
            log_event!(Info, "load_unreadable", version = version);
            None
        }
        Err(error) => {
            log_event!(Info, "load_unreadable", cause = error);
            None
        }
    }
}
