//! Gives host processes a part of the processor only, by stopping and continuing them in turns.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Period in which each process runs once, as that of a processor quota.
const PERIOD_MS: u64 = 100;

/// Step in which processes are stopped and continued.
const STEP: Duration = Duration::from_millis(5);

/// `Share` is the part of a period in which a process runs.
#[derive(Clone, Copy, Debug)]
struct Share {
    run_ms: u64,
    phase_ms: u64,
    /// Whether the process is stopped for longer, so that it is not continued in its turn.
    is_frozen: bool,
    is_stopped: bool,
}

/// `ProcessorShares` runs the thread that stops and continues the processes.
#[derive(Debug)]
pub(crate) struct ProcessorShares {
    shares: Arc<Mutex<BTreeMap<u32, Share>>>,
    has_ended: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl ProcessorShares {
    pub(crate) fn spawn() -> Self {
        let shares: Arc<Mutex<BTreeMap<u32, Share>>> = Arc::default();
        let has_ended = Arc::new(AtomicBool::new(false));
        let (thread_shares, thread_ended) = (Arc::clone(&shares), Arc::clone(&has_ended));
        let thread = thread::spawn(move || {
            let begun = Instant::now();
            while !thread_ended.load(Ordering::Relaxed) {
                let at_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(0);
                for (pid, share) in lock(&thread_shares).iter_mut() {
                    let is_off = (at_ms + share.phase_ms) % PERIOD_MS >= share.run_ms;
                    set_stopped(*pid, share, is_off || share.is_frozen);
                }
                thread::sleep(STEP);
            }
        });
        Self {
            shares,
            has_ended,
            thread,
        }
    }

    pub(crate) fn add(&self, pid: u32, run_ms: u64, phase_ms: u64) {
        let share = Share {
            run_ms,
            phase_ms,
            is_frozen: false,
            is_stopped: false,
        };
        lock(&self.shares).insert(pid, share);
    }

    /// Leaves a process alone from now on, running.
    pub(crate) fn remove(&self, pid: u32) {
        if let Some(mut share) = lock(&self.shares).remove(&pid) {
            set_stopped(pid, &mut share, false);
        }
    }

    pub(crate) fn set_frozen(&self, pid: u32, is_frozen: bool) {
        if let Some(share) = lock(&self.shares).get_mut(&pid) {
            share.is_frozen = is_frozen;
            set_stopped(pid, share, is_frozen);
        }
    }

    pub(crate) fn close(self) {
        self.has_ended.store(true, Ordering::Relaxed);
        // The thread has no result, and a panic of it has been printed.
        drop(self.thread.join());
        for (pid, share) in lock(&self.shares).iter_mut() {
            set_stopped(*pid, share, false);
        }
    }
}

fn set_stopped(pid: u32, share: &mut Share, is_stopped: bool) {
    if share.is_stopped == is_stopped {
        return;
    }
    share.is_stopped = is_stopped;
    let signal = if is_stopped {
        Signal::STOP
    } else {
        Signal::CONT
    };
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
    if let Some(pid) = pid {
        // A process that has just ended takes no signal, and needs none.
        let _ = kill_process(pid, signal);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
