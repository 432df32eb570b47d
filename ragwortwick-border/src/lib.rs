//! Wire types towards callers, operators, the platform, runners, workers and peers.
//!
//! The types are generated from `schema/*.json` and committed; run the example `generate` after a
//! change of a schema. Every field is present on the wire between peers; callers may leave out
//! fields that may be null.

#[rustfmt::skip]
#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    clippy::renamed_function_params,
    clippy::map_err_ignore,
    missing_docs,
    reason = "generated code follows the generator's style, not ours"
)]
mod generated;

pub use generated::{
    AcceptedTable, ClassRow, CommitCommand, CustomerJobs, CustomerRow, FleetStatus, ForwardRequest,
    GangMember, GangOnWorker, GangPhase, GangRef, GangSpec, GuaranteeRow, GuaranteeStatus,
    HostEntry, HostKind, HostList, HostState, HostStatus, IssuedIds, JobAccepted, JobCall, JobList,
    JobPhase, JobRecord, JobStatus, JobSubmit, JobWhy, LeaseGrant, LeaseRenew, LeaseReply,
    PeerCall, PeerHello, PeerRefusal, PeerReply, PolicyWeights, Problem, RefusalVerdict,
    RenewCommand, RequestAnswer, RequestOutcome, RequestRefusal, RequestSubmit, ReserveCommand,
    RunnerAnswer, RunnerLoad, RunnerRefusal, RunnerRefusalReason, RunnerRequest, RunnerStatus,
    SeenReply, SeenRequest, Shape, StopCommand, StoreAway, StoreCas, StoreCasReply, StoreChange,
    StoreEntry, StoreGet, StoreGetReply, StoreList, StoreListReply, StoreWatch, StoreWatchReply,
    Table, TableAccept, TableAcceptReply, TableConflict, TableProblem, TableReview,
    ThrottleCommand, WorkerCommand, WorkerOrder, WorkerOutcome, WorkerReply, WorkerStatus,
    ZoneEpoch, ZoneOwner, ZoneStatus,
};
