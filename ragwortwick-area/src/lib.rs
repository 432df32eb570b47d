//! Scheduling of job graphs over the workers of one area, as a state machine without I/O.
//!
//! The coordinator receives events and returns actions; the current time is an argument. Its guarantees and
//! the reasons for its safeguards are described in docs/design/0050-platform.md.

mod accounting;
mod admission;
mod advice;
mod allocation;
mod backoff;
mod candidates;
mod colocation;
mod coordinator;
mod crashes;
mod desired;
mod draining;
mod evacuation;
mod fair_share;
mod headroom;
mod job;
mod job_memory;
mod job_state;
mod late_completions;
mod limits;
mod load_picture;
mod losses;
mod messages;
mod outcome;
mod packing;
mod persistence;
mod placement;
mod polls;
mod pool_capacity;
mod preemption;
mod preemption_plan;
mod progress;
mod progress_tracker;
mod reachability;
mod record_batches;
mod recovery;
mod reservation;
mod restarts;
mod run_ends;
mod run_progress;
mod speed;
mod speed_model;
mod speed_record;
mod starts;
mod stop_progress;
mod stops;
mod unstored_results;
mod untracked_runs;
mod validation;
mod value;
mod victims;
mod worker;

#[cfg(test)]
mod tests;

pub use accounting::{JobAccounting, LostWork, RunEndReason};
pub use admission::{Admission, LoadPicture, QueueLoad};
pub use coordinator::{Coordinator, Now, RecoveredJob};
pub use desired::{Customer, DesiredState, Queue};
pub use evacuation::{EvacuatedZones, EvacuationChange};
pub use fair_share::CustomerWeights;
pub use job::{
    AdvisorTiming, JobRecord, QueuePolicy, Resources, Schedule, StepId, StepSpec, TaskId,
};
pub use limits::{Limits, Weights};
pub use losses::{ContactLoss, ContactLossKind, LostRun, WorkerLossCause, WorkerLossReport};
pub use messages::{
    Action, AdviceReply, EndKind, EndedTask, Event, OrderReply, PollFailure, ProgressRecord,
    RefusalCause, RunEndEvidence, RunEnded, RunningTask, WorkerEntry, WorkerReport,
};
pub use preemption::Preemption;
pub use progress::{GangProgress, JobPhase, JobProgress, TaskProgress};
pub use record_batches::MAX_BATCH_RECORDS;
pub use speed_record::{RecordedSpeed, SpeedCounts, SpeedRecord, SpeedRecordError};
pub use unstored_results::{RunResult, RunResultKind, UnstoredResults};
pub use untracked_runs::UntrackedRun;
pub use validation::JobValidationError;
pub use victims::VictimKind;
