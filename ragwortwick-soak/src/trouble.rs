//! Troubles that are brought about from outside the processes, in overlapping series.

use std::time::Duration;

use ragwortwick_core::TimeMs;
use ragwortwick_standin::{AreaFleet, RelayMode, StoreFault, desired, now};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// `Trouble` is one thing that goes wrong; most are undone by a later step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// A host is killed and an empty one takes its place.
    Kill(usize),
    /// A host stands still until it is woken.
    Freeze(usize),
    /// A host that stands still goes on.
    Wake(usize),
    /// A host is told that its settings file changed.
    HangUp(usize),
    /// A host is stopped as planned, and an empty one takes its place.
    Stop(usize),
    /// The store misbehaves.
    Store(StoreFault),
    /// The store drops its history.
    Forget,
    /// A worker takes calls without an answer, or answers again.
    Worker(usize, bool),
    /// A host's path to the store changes.
    StorePath(usize, RelayMode),
    /// The path to a worker changes.
    WorkerPath(usize, RelayMode),
    /// The operators put another version of the desired state in force.
    Change(u64),
    /// The operators evacuate a zone.
    Evacuate(&'static str),
    /// The operators take an evacuated zone back.
    TakeBack(&'static str),
}

/// What happens to paths: cut, one way only, silent, slow, or reset.
const PATH_TROUBLES: [RelayMode; 7] = [
    RelayMode::Cut,
    RelayMode::Blackhole,
    RelayMode::SilenceOpen,
    RelayMode::ResetOpen,
    RelayMode::Slow,
    RelayMode::DropCalls,
    RelayMode::DropAnswers,
];

/// Zones of the workers.
const ZONES: [&str; 2] = ["z-0", "z-1"];

/// `Evacuation` is a span in which a zone was evacuated, from the store's confirmation on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Evacuation {
    pub(crate) zone: &'static str,
    pub(crate) began_at: TimeMs,
    /// When it ended; none while it goes on.
    pub(crate) ended_at: Option<TimeMs>,
}

/// `Step` is a trouble after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) pause: Duration,
    pub(crate) trouble: Trouble,
}

/// Draws a series; what has to be undone is undone at its end.
pub(crate) fn draw(rng: &mut Pcg64Mcg, steps: usize, hosts: usize, workers: usize) -> Vec<Step> {
    let mut series = Vec::new();
    for number in 0..steps {
        let host = rng.random_range(0..hosts);
        let worker = rng.random_range(0..workers);
        let path = PATH_TROUBLES[rng.random_range(0..PATH_TROUBLES.len())];
        let zone = ZONES[rng.random_range(0..ZONES.len())];
        let trouble = match rng.random_range(0..17) {
            0 => Trouble::Kill(host),
            1 | 2 => Trouble::Freeze(host),
            3 => Trouble::Wake(host),
            4 => Trouble::HangUp(host),
            5 => Trouble::Stop(host),
            6 => Trouble::Store(StoreFault::Unresponsive),
            7 => Trouble::Store([StoreFault::Unavailable, StoreFault::DropsReplies][host % 2]),
            8 => Trouble::Forget,
            9 => Trouble::Worker(worker, rng.random_bool(0.6)),
            10 | 11 => Trouble::StorePath(host, path),
            12 | 13 => Trouble::WorkerPath(worker, path),
            14 => Trouble::Change(2 + number as u64),
            _ => Trouble::Evacuate(zone),
        };
        series.push(Step {
            pause: Duration::from_millis(rng.random_range(50..1_800)),
            trouble,
        });
        // An outage that never ended would leave nothing to see.
        let undo = match trouble {
            Trouble::Store(_) => Some(Trouble::Store(StoreFault::None)),
            Trouble::Freeze(host) => Some(Trouble::Wake(host)),
            Trouble::Evacuate(zone) => Some(Trouble::TakeBack(zone)),
            Trouble::StorePath(host, _) => Some(Trouble::StorePath(host, RelayMode::Pass)),
            Trouble::WorkerPath(worker, _) => Some(Trouble::WorkerPath(worker, RelayMode::Pass)),
            _ => None,
        };
        series.extend(undo.map(|trouble| Step {
            pause: undo_pause(rng, trouble),
            trouble,
        }));
    }
    series.extend((0..hosts).map(|host| Step {
        pause: Duration::ZERO,
        trouble: Trouble::Wake(host),
    }));
    series.extend((0..workers).map(|worker| Step {
        pause: Duration::ZERO,
        trouble: Trouble::Worker(worker, false),
    }));
    series
}

/// Draws how long a trouble lasts. An evacuation has to outlast the time that is allowed for it to be seen.
fn undo_pause(rng: &mut Pcg64Mcg, trouble: Trouble) -> Duration {
    let range_ms = match trouble {
        Trouble::TakeBack(_) => 3_000..9_000,
        _ => 200..3_500,
    };
    Duration::from_millis(rng.random_range(range_ms))
}

/// Brings a trouble about.
pub(crate) async fn bring(
    fleet: &mut AreaFleet,
    trouble: Trouble,
    evacuations: &mut Vec<Evacuation>,
) {
    match trouble {
        // A host that has just ended takes no signal, and needs none.
        Trouble::Freeze(host) => drop(fleet.hosts[host].freeze()),
        Trouble::Wake(host) => drop(fleet.hosts[host].wake()),
        Trouble::HangUp(host) => drop(fleet.hosts[host].hang_up()),
        Trouble::Store(trouble) => fleet.store.set_fault(trouble),
        Trouble::Forget => fleet.store.compact(),
        Trouble::StorePath(host, mode) => fleet.set_store_path(host, mode),
        Trouble::WorkerPath(worker, mode) => fleet.workers.set_path(worker, mode),
        Trouble::Change(version) => {
            fleet.store.put("op/config", desired(version).to_string());
        }
        Trouble::Evacuate(zone) => {
            fleet.evacuate(zone);
            evacuations.push(Evacuation {
                zone,
                began_at: now(),
                ended_at: None,
            });
        }
        Trouble::TakeBack(zone) => {
            fleet.take_back(zone);
            let of_zone = evacuations.iter_mut().filter(|span| span.zone == zone);
            for span in of_zone {
                span.ended_at.get_or_insert(now());
            }
        }
        Trouble::Worker(worker, is_silent) => fleet.workers.set_unresponsive(worker, is_silent),
        Trouble::Kill(host) => {
            drop(fleet.hosts[host].kill());
            replace(fleet, host).await;
        }
        Trouble::Stop(host) => {
            drop(fleet.hosts[host].wake());
            drop(fleet.hosts[host].terminate());
            replace(fleet, host).await;
        }
    }
}

async fn replace(fleet: &mut AreaFleet, host: usize) {
    if let Ok(new) = fleet.spawn_host().await {
        let old = std::mem::replace(&mut fleet.hosts[host], new);
        // A host that was told to stop ends by itself; it is waited for beside the series.
        tokio::spawn(async move {
            let mut old = old;
            drop(old.wait().await);
        });
    }
}
