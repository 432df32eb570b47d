//! A gang, its members and its state chart.

use displaydoc::Display;
use ragwortwick_border::{GangPhase, GangSpec};
use ragwortwick_core::{ChartSymbol, JobId, StateChart, TimeMs, common};

use super::cells::Part;

/// `GangState` is the state of a gang in its state chart.
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

/// `GangEvent` is an event of the gang's state chart.
#[common(key)]
pub(super) enum GangEvent {
    Blocked,
    Unblocked,
    RecoveredCommitted,
    AllReserved,
    Recorded,
    AllRunning,
    Abort,
    AllEnded,
}

/// `GangGuard` is a condition on a transition.
#[common(key)]
pub(super) enum GangGuard {
    StartUnrecorded,
    ReservationsFresh,
}

/// `GangAction` is an action that a transition runs.
#[common(key)]
pub(super) enum GangAction {
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
        ("found_committed", Self::RecoveredCommitted),
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

impl ChartSymbol for GangAction {
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

/// `GangChart` is the state chart in `charts/gang.json`.
pub(super) type GangChart = StateChart<GangState, GangEvent, GangGuard, GangAction>;

/// `gang_chart` parses the committed chart file.
///
/// # Panics
///
/// Panics if the committed file is invalid; a test checks that it is valid.
pub(super) fn gang_chart() -> GangChart {
    GangChart::parse(include_str!("../../charts/gang.json")).expect("the committed chart is valid")
}

/// `MemberState` is the last known state of one member.
#[common(key)]
pub(super) enum MemberState {
    /// The gang lists the member, but its worker has not reported yet.
    Unknown,
    /// No order was sent to its worker yet.
    Idle,
    Reserving,
    Reserved,
    Committing,
    Running,
    /// A stop or release was sent.
    Stopping,
    /// The member ended in the phase that its worker reported.
    Ended(GangPhase),
    /// Its worker does not have it, or its lease expired.
    Gone,
}

impl MemberState {
    pub(super) fn is_ended(self) -> bool {
        matches!(self, Self::Ended(_) | Self::Gone | Self::Idle)
    }
}

/// `Member` is the part of a gang on one worker.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) part: Part,
    pub(super) state: MemberState,
    /// Replies to orders below this number predate the state and are ignored.
    pub(super) valid_from_order: u64,
    /// Without a renewal the member stops at this time.
    pub(super) lease_until: TimeMs,
}

/// `EndCause` is the reason why a gang ends.
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
    /// Whether a commit was sent to any member, so that the gang may have run.
    pub(super) may_have_run: bool,
    /// Whether the gang was recovered from worker inventories after a change of owner.
    pub(super) is_recovered: bool,
    /// Whether no job record was found for the gang, so that it is stopped and dropped.
    pub(super) is_orphan: bool,
    /// When the gang entered its current state.
    pub(super) entered_at: TimeMs,
    /// When its oldest reservation was ordered.
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
