//! Faults that can be set on a stand-in, and the gate that every call passes.

use std::collections::BTreeMap;
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use gotham::helpers::http::Body;
use http::Response;
use ragwortwick_core::{DurationMs, common};
use tokio::sync::watch;

use crate::body;
use crate::clock::pause;

/// `Faults` is what goes wrong; the default is nothing.
#[common(wire)]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is on or off independently of the others"
)]
pub struct Faults {
    /// Names of workers or runners, or kinds of calls, to set these faults for; empty for all.
    pub only: Vec<String>,
    /// Wait before the effect.
    pub delay_ms: DurationMs,
    /// Wait between the effect and its answer.
    pub answer_delay_ms: DurationMs,
    /// Accept calls, do nothing and never answer.
    pub silent: bool,
    /// Refuse every call with 503 before any effect.
    pub down: bool,
    /// Close the connection before any effect.
    pub closing: bool,
    /// Answers to lose after the effect took place.
    pub lose_answers: u32,
    /// Answers to truncate in the middle after the effect took place.
    pub cut_answers: u32,
    /// Requests that a runner answers with its previous answer, for another request.
    pub stale_answers: u32,
    /// Workers and runners fail all that they start.
    pub fail_starts: bool,
    /// Workers carry out orders of any epoch, to show what the refusal is for.
    pub without_fencing: bool,
    /// Runners leave: they finish what runs and refuse new work.
    pub leaving: bool,
    /// Lapse every lease once, at the moment of setting.
    pub lapse_leases: bool,
    /// How far the host list lags behind.
    pub host_list_lag_ms: DurationMs,
    /// Watches report these many of the next changes not at all and do not mark the gap.
    pub miss_changes: u32,
    /// Watches report their last change once more.
    pub repeat_changes: bool,
}

/// `Gate` counts calls and lets the faults act on them; clones share both.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    inner: Arc<Mutex<GateState>>,
    closed: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct GateState {
    for_all: Faults,
    by_target: BTreeMap<String, Faults>,
    calls: BTreeMap<String, u64>,
}

/// `Entry` tells whether a call goes on to its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Entry {
    /// It goes on.
    Open,
    /// It is refused with 503.
    Down,
    /// Its connection is closed.
    Closing,
}

impl Gate {
    /// `set` replaces the faults of the targets named in `only`, or of all.
    pub fn set(&self, faults: Faults) {
        let mut state = self.lock();
        if faults.only.is_empty() {
            state.by_target.clear();
            state.for_all = faults;
            return;
        }
        for target in &faults.only {
            state.by_target.insert(target.clone(), faults.clone());
        }
    }

    /// `faults` gives the faults in force for a name and kind of call.
    #[must_use]
    pub fn faults(&self, name: &str, kind: &str) -> Faults {
        self.lock().current(name, kind).clone()
    }

    /// `calls` gives the number of calls by kind.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.lock().calls.clone()
    }

    /// `close` ends every call that a fault holds up.
    pub(crate) fn close(&self) {
        self.closed.send_replace(true);
    }

    /// `enter` counts the call and waits out the faults that act before the effect.
    pub(crate) async fn enter(&self, name: &str, kind: &str) -> Entry {
        *self.lock().calls.entry(kind.to_owned()).or_default() += 1;
        let faults = self.faults(name, kind);
        let mut closed = self.closed.subscribe();
        let hold = async {
            if faults.silent {
                pending::<()>().await;
            }
            pause(faults.delay_ms).await;
        };
        // Without the close a stand-in with silent calls could never end.
        tokio::select! {
            () = hold => {}
            _ = closed.wait_for(|closed| *closed) => return Entry::Closing,
        }
        match (faults.closing, faults.down) {
            (true, _) => Entry::Closing,
            (false, true) => Entry::Down,
            (false, false) => Entry::Open,
        }
    }

    /// `leave` lets the faults act on the answer.
    pub(crate) async fn leave(
        &self,
        name: &str,
        kind: &str,
        response: Response<Body>,
    ) -> Response<Body> {
        let faults = self.faults(name, kind);
        pause(faults.answer_delay_ms).await;
        if self.take(name, kind, |faults| &mut faults.lose_answers) {
            return body::cut(response, false).await;
        }
        if self.take(name, kind, |faults| &mut faults.cut_answers) {
            return body::cut(response, true).await;
        }
        response
    }

    /// `take` counts one use of a fault that is set for a number of calls.
    pub(crate) fn take(
        &self,
        name: &str,
        kind: &str,
        count: impl Fn(&mut Faults) -> &mut u32,
    ) -> bool {
        let mut state = self.lock();
        let left = count(state.current_mut(name, kind));
        let is_set = *left > 0;
        *left = left.saturating_sub(1);
        is_set
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        lock(&self.inner)
    }
}

impl GateState {
    fn current(&self, name: &str, kind: &str) -> &Faults {
        self.by_target
            .get(name)
            .or_else(|| self.by_target.get(kind))
            .unwrap_or(&self.for_all)
    }

    fn current_mut(&mut self, name: &str, kind: &str) -> &mut Faults {
        for target in [name, kind] {
            if self.by_target.contains_key(target) {
                return self.by_target.entry(target.to_owned()).or_default();
            }
        }
        &mut self.for_all
    }
}

/// `lock` locks also after a panic elsewhere: the test that panicked fails already.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
