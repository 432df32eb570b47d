//! A gang, its members and its state chart.

use displaydoc::Display;
use ragwortwick_border::{GangPhase, GangSpec};
use ragwortwick_core::{ChartSymbol, JobId, StateChart, TimeMs, common};

use super::cells::Part;

/// `GangState` is the phase of a gang as its owner drives it.
#[common(key)]
pub(super) enum GangState {
    Reserving,
    Claiming,
    Recording,
    Committing,
    Running,
    Releasing,
    Stopping,
    Ended,
}

/// `GangEvent` is what moves a gang to its next state.
#[common(key)]
pub(super) enum GangEvent {
    Blocked,
    Unblocked,
    FoundCommitted,
    AllReserved,
    Recorded,
    AllRunning,
    Abort,
    AllEnded,
}

/// `GangGuard` is a condition of a transition.
#[common(key)]
pub(super) enum GangGuard {
    StartUnrecorded,
    ReservationsFresh,
}

/// `GangAct` is what a transition does.
#[common(key)]
pub(super) enum GangAct {
    ReserveMembers,
    ReleaseMembers,
    RecordStart,
    CommitReserved,
    AnnounceStart,
    StopMembers,
    Settle,
}

impl ChartSymbol for GangState {
    const ALL: &'static [(&'static str, Self)] = &[
        ("reserving", Self::Reserving),
        ("claiming", Self::Claiming),
        ("recording", Self::Recording),
        ("committing", Self::Committing),
        ("running", Self::Running),
        ("releasing", Self::Releasing),
        ("stopping", Self::Stopping),
        ("ended", Self::Ended),
    ];
}

impl ChartSymbol for GangEvent {
    const ALL: &'static [(&'static str, Self)] = &[
        ("blocked", Self::Blocked),
        ("unblocked", Self::Unblocked),
        ("found_committed", Self::FoundCommitted),
        ("all_reserved", Self::AllReserved),
        ("recorded", Self::Recorded),
        ("all_running", Self::AllRunning),
        ("abort", Self::Abort),
        ("all_ended", Self::AllEnded),
    ];
}

impl ChartSymbol for GangGuard {
    const ALL: &'static [(&'static str, Self)] = &[
        ("start_unrecorded", Self::StartUnrecorded),
        ("reservations_fresh", Self::ReservationsFresh),
    ];
}

impl ChartSymbol for GangAct {
    const ALL: &'static [(&'static str, Self)] = &[
        ("reserve_members", Self::ReserveMembers),
        ("release_members", Self::ReleaseMembers),
        ("record_start", Self::RecordStart),
        ("commit_reserved", Self::CommitReserved),
        ("announce_start", Self::AnnounceStart),
        ("stop_members", Self::StopMembers),
        ("settle", Self::Settle),
    ];
}

/// `GangChart` is the chart of `charts/gang.json`.
pub(super) type GangChart = StateChart<GangState, GangEvent, GangGuard, GangAct>;

/// `gang_chart` reads the committed chart file.
///
/// # Panics
///
/// Panics if the committed file is faulty, which a test rules out.
pub(super) fn gang_chart() -> GangChart {
    GangChart::parse(include_str!("../../charts/gang.json")).expect("the committed chart is valid")
}

/// `MemberState` is what is known of one member.
#[common(key)]
pub(super) enum MemberState {
    /// Named by the gang; its worker has not answered yet.
    Unknown,
    /// Nothing was sent to its worker yet.
    Idle,
    Reserving,
    Reserved,
    Committing,
    Running,
    /// A stop or release is under way.
    Leaving,
    /// It ended and its worker says how.
    Ended(GangPhase),
    /// Its worker has nothing of it, or its lease has lapsed.
    Gone,
}

impl MemberState {
    pub(super) fn is_over(self) -> bool {
        matches!(self, Self::Ended(_) | Self::Gone | Self::Idle)
    }
}

/// `Member` is a gang's part on one worker.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) part: Part,
    pub(super) state: MemberState,
    /// Answers to orders below this number are older than the state.
    pub(super) since_order: u64,
    /// It runs no longer than this without a renewal.
    pub(super) lease_until: TimeMs,
}

/// `EndCause` is why a gang ends.
#[common]
#[derive(Display)]
pub(super) enum EndCause {
    /// it finished
    Finished,
    /// it failed: {0}
    Failed(String),
    /// its caller cancelled it
    Cancelled,
    /// a guarantee called back its accelerators
    Reclaimed,
    /// it is moved so that large cells become whole
    Moved,
    /// it was stopped whole: {0}
    MemberLost(String),
    /// a worker did not take it: {0}
    Refused(String),
}

/// `Gang` is one attempt of a job.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "facts about a gang that hold in any of its states"
)]
pub(super) struct Gang {
    pub(super) spec: GangSpec,
    pub(super) job_id: JobId,
    pub(super) state: GangState,
    pub(super) members: Vec<Member>,
    pub(super) is_borrowed: bool,
    pub(super) cause: Option<EndCause>,
    /// Any member was sent a commit: it may have run.
    pub(super) may_have_run: bool,
    /// It was found on workers after a change of owner.
    pub(super) is_found: bool,
    /// No record of its job came up; it is stopped and forgotten.
    pub(super) is_orphan: bool,
    /// When it entered its state.
    pub(super) since: TimeMs,
    /// When its oldest reservation was asked for.
    pub(super) reserved_at: TimeMs,
}

impl Gang {
    pub(super) fn parts(&self) -> Vec<Part> {
        self.members.iter().map(|member| member.part).collect()
    }

    pub(super) fn member_on(&mut self, worker: usize) -> Option<&mut Member> {
        self.members
            .iter_mut()
            .find(|member| member.part.worker == worker)
    }

    pub(super) fn all(&self, holds: impl Fn(MemberState) -> bool) -> bool {
        self.members.iter().all(|member| holds(member.state))
    }

    pub(super) fn any(&self, holds: impl Fn(MemberState) -> bool) -> bool {
        self.members.iter().any(|member| holds(member.state))
    }
}
