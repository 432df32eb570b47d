//! Scheduling of job graphs over the workers of one area, as a state machine without I/O.
//!
//! The coordinator learns by events and asks for actions; the present time is an argument. What it
//! promises and why each safeguard is enough stands in docs/design/0050-platform.md.

mod account;
mod advice;
mod allocation;
mod backoff;
mod candidates;
mod check;
mod colocation;
mod coordinator;
mod crashes;
mod desired;
mod headroom;
mod job;
mod job_state;
mod late_completions;
mod leaving;
mod limits;
mod losses;
mod messages;
mod outcome;
mod packing;
mod placement;
mod polls;
mod pool_capacity;
mod preemption;
mod preemption_plan;
mod progress;
mod records;
mod recovery;
mod reservation;
mod run_ends;
mod speed;
mod stalls;
mod starts;
mod stops;
mod stored;
mod value;
mod watch;
mod worker;

pub use account::{JobAccount, Loss, OverWhy};
pub use check::JobProblem;
pub use coordinator::{Coordinator, Now, RecoveredJob};
pub use desired::{Customer, DesiredState, Queue};
pub use job::{
    AdvisorTiming, JobRecord, QueuePolicy, Resources, Schedule, StepId, StepSpec, TaskId,
};
pub use limits::{Limits, Weights};
pub use losses::{Silence, SilenceKind, WorkerLoss, WorkerLost};
pub use messages::{
    Action, AdviceReply, EndKind, EndedTask, Event, OrderReply, PollFailure, ProgressRecord,
    RefusalCause, RunEnded, RunningTask, WorkerEntry, WorkerReport,
};
pub use progress::{GangProgress, JobPhase, JobProgress, TaskProgress};
pub use records::MAX_BATCH_RECORDS;
