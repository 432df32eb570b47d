// Generated from schema/*.json by the example `generate`; do not edit.

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
/// `AcceptedTable` is one accepted version of the table with its history entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AcceptedTable {
    /// When, in Unix time.
    pub accepted_at_ms: ragwortwick_core::TimeMs,
    /// Who accepted it.
    pub accepted_by: ::std::string::String,
    /// Chosen by the operator's client; tells a repeat of the same acceptance.
    pub nonce: ::std::string::String,
    /// Counts acceptances from 1; the higher number is in force.
    pub number: u64,
    /// Why, in the operator's words.
    pub reason: ::std::string::String,
    /// The rows.
    pub table: Table,
}
impl ::std::convert::From<&AcceptedTable> for AcceptedTable {
    fn from(value: &AcceptedTable) -> Self {
        value.clone()
    }
}
/// `ClassRow` ranks one class of work of one customer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClassRow {
    /// Name of the class, such as `pass-plan`.
    pub class: ragwortwick_core::ClassName,
    /// A customer of the table.
    pub customer: ragwortwick_core::CustomerName,
    /// Deadline given to work that states none.
    pub deadline_ms: ragwortwick_core::DurationMs,
    /// Most requests running at once per entry host.
    pub max_in_flight: u32,
    /// Most requests waiting at once per entry host.
    pub max_queued: u32,
    pub rate_per_s: f64,
    /// Urgent work goes before all other work and starts within 5 s when its guarantee covers it.
    pub urgent: bool,
    pub weight: f64,
    pub worth: f64,
}
impl ::std::convert::From<&ClassRow> for ClassRow {
    fn from(value: &ClassRow) -> Self {
        value.clone()
    }
}
/// `CommitCommand` starts a reserved member.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CommitCommand {
    /// The gang.
    pub gang_id: ragwortwick_core::GangId,
    /// The task stops after this without renewal.
    pub lease_ms: ragwortwick_core::DurationMs,
}
impl ::std::convert::From<&CommitCommand> for CommitCommand {
    fn from(value: &CommitCommand) -> Self {
        value.clone()
    }
}
/// `CustomerJobs` counts a customer's waiting jobs in the zone that the speaker owns.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CustomerJobs {
    /// The customer.
    pub customer: ragwortwick_core::CustomerName,
    /// Its jobs that wait.
    pub waiting: u32,
}
impl ::std::convert::From<&CustomerJobs> for CustomerJobs {
    fn from(value: &CustomerJobs) -> Self {
        value.clone()
    }
}
/// `CustomerRow` creates a customer and ranks its work.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CustomerRow {
    /// The customer's name.
    pub customer: ragwortwick_core::CustomerName,
    /// Most jobs that may wait at once; further ones are refused.
    pub max_queued_jobs: u32,
    pub weight: f64,
}
impl ::std::convert::From<&CustomerRow> for CustomerRow {
    fn from(value: &CustomerRow) -> Self {
        value.clone()
    }
}
/// `FleetStatus` is one entry host's view with those of the peers it reached.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FleetStatus {
    /// One row per entry host reached.
    pub hosts: ::std::vec::Vec<HostStatus>,
    /// Listed entry hosts that did not answer.
    pub unreachable: ::std::vec::Vec<ragwortwick_core::HostName>,
}
impl ::std::convert::From<&FleetStatus> for FleetStatus {
    fn from(value: &FleetStatus) -> Self {
        value.clone()
    }
}
/// `ForwardRequest` hands a request to its home entry host.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ForwardRequest {
    /// Time left until the deadline.
    pub remaining_ms: ragwortwick_core::DurationMs,
    /// The request.
    pub request: RequestSubmit,
}
impl ::std::convert::From<&ForwardRequest> for ForwardRequest {
    fn from(value: &ForwardRequest) -> Self {
        value.clone()
    }
}
/// `GangMember` is the part of a gang on one worker.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GangMember {
    /// Bit i stands for accelerator i.
    pub device_mask: u32,
    /// Tasks to start there.
    pub tasks: u32,
    /// The worker.
    pub worker: ragwortwick_core::WorkerName,
}
impl ::std::convert::From<&GangMember> for GangMember {
    fn from(value: &GangMember) -> Self {
        value.clone()
    }
}
/// `GangOnWorker` is one member as its worker sees it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GangOnWorker {
    /// Accelerators held here.
    pub device_mask: u32,
    /// Time until the worker acts without a renewal.
    pub lease_left_ms: ragwortwick_core::DurationMs,
    /// The member's phase.
    pub phase: GangPhase,
    pub progress: f64,
    /// Why it ended, empty if it has not.
    pub reason: ::std::string::String,
    /// The whole gang.
    pub spec: GangSpec,
}
impl ::std::convert::From<&GangOnWorker> for GangOnWorker {
    fn from(value: &GangOnWorker) -> Self {
        value.clone()
    }
}
/// `GangPhase` is the phase of a gang's member on a worker.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum GangPhase {
    #[serde(rename = "reserved")]
    Reserved,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "checkpointing")]
    Checkpointing,
    #[serde(rename = "finished")]
    Finished,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "stopped")]
    Stopped,
}
impl ::std::convert::From<&Self> for GangPhase {
    fn from(value: &GangPhase) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for GangPhase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Reserved => f.write_str("reserved"),
            Self::Running => f.write_str("running"),
            Self::Checkpointing => f.write_str("checkpointing"),
            Self::Finished => f.write_str("finished"),
            Self::Failed => f.write_str("failed"),
            Self::Stopped => f.write_str("stopped"),
        }
    }
}
impl ::std::str::FromStr for GangPhase {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "reserved" => Ok(Self::Reserved),
            "running" => Ok(Self::Running),
            "checkpointing" => Ok(Self::Checkpointing),
            "finished" => Ok(Self::Finished),
            "failed" => Ok(Self::Failed),
            "stopped" => Ok(Self::Stopped),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for GangPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for GangPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for GangPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
/// `GangRef` names a gang on the worker.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GangRef {
    /// The gang.
    pub gang_id: ragwortwick_core::GangId,
}
impl ::std::convert::From<&GangRef> for GangRef {
    fn from(value: &GangRef) -> Self {
        value.clone()
    }
}
/// `GangSpec` names a whole gang, so that any owner can finish or stop what it finds.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GangSpec {
    /// Its attempt, from 1.
    pub attempt: u32,
    /// The customer.
    pub customer: ragwortwick_core::CustomerName,
    /// The gang.
    pub gang_id: ragwortwick_core::GangId,
    /// Whether it runs beyond the customer's guarantee.
    pub is_borrowed: bool,
    /// Its job.
    pub job_id: ragwortwick_core::JobId,
    /// Every member, in worker order.
    pub members: ::std::vec::Vec<GangMember>,
    /// Passed to the tasks.
    pub payload: ::std::string::String,
}
impl ::std::convert::From<&GangSpec> for GangSpec {
    fn from(value: &GangSpec) -> Self {
        value.clone()
    }
}
/// `GuaranteeRow` promises a customer a shape of accelerators in a zone.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GuaranteeRow {
    /// A customer of the table.
    pub customer: ragwortwick_core::CustomerName,
    /// The cells promised.
    pub shape: Shape,
    /// The availability zone that holds the cells.
    pub zone: ragwortwick_core::ZoneName,
}
impl ::std::convert::From<&GuaranteeRow> for GuaranteeRow {
    fn from(value: &GuaranteeRow) -> Self {
        value.clone()
    }
}
/// `GuaranteeStatus` tells how a guarantee stands in its zone.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GuaranteeStatus {
    /// Cells that no longer fit on the workers left.
    pub cells_short: u32,
    /// Cells in use by the customer's own work.
    pub cells_used: u32,
    /// The customer.
    pub customer: ragwortwick_core::CustomerName,
    /// Guaranteed.
    pub shape: Shape,
    /// The zone.
    pub zone: ragwortwick_core::ZoneName,
}
impl ::std::convert::From<&GuaranteeStatus> for GuaranteeStatus {
    fn from(value: &GuaranteeStatus) -> Self {
        value.clone()
    }
}
/// `HostEntry` is one line of the platform's list of hosts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HostEntry {
    /// Accelerators of a worker.
    pub accelerators: u32,
    /// ip:port of its HTTP side.
    pub address: ::std::string::String,
    /// What it does.
    pub kind: HostKind,
    /// The host's name; for workers, the worker's name.
    pub name: ragwortwick_core::HostName,
    /// ip:port for other entry hosts.
    pub peer_address: ::std::option::Option<::std::string::String>,
    /// Rack of a worker.
    pub rack: ::std::option::Option<ragwortwick_core::RackName>,
    /// Slots of a runner.
    pub slots: u32,
    /// Whether it is leaving.
    pub state: HostState,
    /// Its zone.
    pub zone: ragwortwick_core::ZoneName,
}
impl ::std::convert::From<&HostEntry> for HostEntry {
    fn from(value: &HostEntry) -> Self {
        value.clone()
    }
}
/// `HostKind` tells what a listed host does.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum HostKind {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "runner")]
    Runner,
    #[serde(rename = "worker")]
    Worker,
}
impl ::std::convert::From<&Self> for HostKind {
    fn from(value: &HostKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for HostKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Runner => f.write_str("runner"),
            Self::Worker => f.write_str("worker"),
        }
    }
}
impl ::std::str::FromStr for HostKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "runner" => Ok(Self::Runner),
            "worker" => Ok(Self::Worker),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for HostKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for HostKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for HostKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
/// `HostList` is the platform's lagging list of hosts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HostList {
    /// Unix time of the state shown.
    pub as_of_ms: ragwortwick_core::TimeMs,
    /// The hosts, live and leaving.
    pub hosts: ::std::vec::Vec<HostEntry>,
}
impl ::std::convert::From<&HostList> for HostList {
    fn from(value: &HostList) -> Self {
        value.clone()
    }
}
/// `HostState` tells whether a listed host is leaving.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum HostState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::convert::From<&Self> for HostState {
    fn from(value: &HostState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for HostState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for HostState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
/// `HostStatus` is what one entry host knows.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HostStatus {
    /// The entry host.
    pub host: ragwortwick_core::HostName,
    /// Whether a planned stop is under way.
    pub is_stopping: bool,
    /// Its view of the zone it owns, if it owns one.
    pub owned_zone: ::std::option::Option<ZoneStatus>,
    /// Entry hosts reached.
    pub peers: ::std::vec::Vec<ragwortwick_core::HostName>,
    /// Requests running.
    pub requests_in_flight: u32,
    /// Requests waiting.
    pub requests_queued: u32,
    /// Runners known.
    pub runners: ::std::vec::Vec<RunnerStatus>,
    /// Whether the store answered last time.
    pub store_is_reachable: bool,
    /// Number of the table in force here; 0 for none.
    pub table_number: u64,
    /// Version of the program.
    pub version: ::std::string::String,
    /// Its zone.
    pub zone: ragwortwick_core::ZoneName,
}
impl ::std::convert::From<&HostStatus> for HostStatus {
    fn from(value: &HostStatus) -> Self {
        value.clone()
    }
}
/// `IssuedIds` are fresh request ids whose home is the entry host that issued them.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct IssuedIds {
    /// The ids.
    pub request_ids: ::std::vec::Vec<ragwortwick_core::RequestId>,
}
impl ::std::convert::From<&IssuedIds> for IssuedIds {
    fn from(value: &IssuedIds) -> Self {
        value.clone()
    }
}
/// `JobAccepted` is the 202 answer to a job.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JobAccepted {
    /// The job.
    pub job_id: ragwortwick_core::JobId,
    /// Its zone.
    pub zone: ragwortwick_core::ZoneName,
}
impl ::std::convert::From<&JobAccepted> for JobAccepted {
    fn from(value: &JobAccepted) -> Self {
        value.clone()
    }
}
/// `JobCall` asks a zone's owner about a job.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JobCall {
    /// Cancel it, or only explain it.
    pub is_cancel: bool,
    /// The job.
    pub job_id: ragwortwick_core::JobId,
}
impl ::std::convert::From<&JobCall> for JobCall {
    fn from(value: &JobCall) -> Self {
        value.clone()
    }
}
/// `JobList` is a page of jobs.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JobList {
    /// The jobs.
    pub jobs: ::std::vec::Vec<JobStatus>,
}
impl ::std::convert::From<&JobList> for JobList {
    fn from(value: &JobList) -> Self {
        value.clone()
    }
}
/// `JobPhase` is the phase of an accepted job.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum JobPhase {
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "starting")]
    Starting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "stopping")]
    Stopping,
    #[serde(rename = "finished")]
    Finished,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "cancelled")]
    Cancelled,
    #[serde(rename = "may_have_run")]
    MayHaveRun,
}
impl ::std::convert::From<&Self> for JobPhase {
    fn from(value: &JobPhase) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for JobPhase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Waiting => f.write_str("waiting"),
            Self::Starting => f.write_str("starting"),
            Self::Running => f.write_str("running"),
            Self::Stopping => f.write_str("stopping"),
            Self::Finished => f.write_str("finished"),
            Self::Failed => f.write_str("failed"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::MayHaveRun => f.write_str("may_have_run"),
        }
    }
}
impl ::std::str::FromStr for JobPhase {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "waiting" => Ok(Self::Waiting),
            "starting" => Ok(Self::Starting),
            "running" => Ok(Self::Running),
            "stopping" => Ok(Self::Stopping),
            "finished" => Ok(Self::Finished),
            "failed" => Ok(Self::Failed),
            "cancelled" => Ok(Self::Cancelled),
            "may_have_run" => Ok(Self::MayHaveRun),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for JobPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for JobPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for JobPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
/// `JobRecord` is the store's record of an accepted job.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JobRecord {
    /// When it was accepted, in Unix time.
    pub accepted_at_ms: ragwortwick_core::TimeMs,
    /// Attempts started so far.
    pub attempt: u32,
    /// Whether its caller asked to cancel it.
    pub cancel_requested: bool,
    /// The job.
    pub job_id: ragwortwick_core::JobId,
    /// Writer's nonce of the last write.
    pub nonce: ::std::string::String,
    /// Its phase as last recorded.
    pub phase: JobPhase,
    /// Why it is in that phase, as one sentence.
    pub reason: ::std::string::String,
    /// What the caller asked for.
    pub spec: JobSubmit,
    /// The zone whose owner places it.
    pub zone: ragwortwick_core::ZoneName,
}
impl ::std::convert::From<&JobRecord> for JobRecord {
    fn from(value: &JobRecord) -> Self {
        value.clone()
    }
}
/// `JobStatus` is what callers and operators see of a job.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JobStatus {
    /// The store's record.
    pub record: JobRecord,
    /// Why it waits, or where it runs, in words.
    pub why: ::std::string::String,
}
impl ::std::convert::From<&JobStatus> for JobStatus {
    fn from(value: &JobStatus) -> Self {
        value.clone()
    }
}
/// `JobSubmit` is a gang job of a caller.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct JobSubmit {
    /// Class of the work.
    pub class: ragwortwick_core::ClassName,
    /// Customer that the work belongs to.
    pub customer: ragwortwick_core::CustomerName,
    /// Time from now until finishing is worthless; none if absent.
    pub deadline_ms: ::std::option::Option<ragwortwick_core::DurationMs>,
    /// Id chosen by the caller, so that a repeat is recognised; issued if absent.
    pub job_id: ::std::option::Option<ragwortwick_core::JobId>,
    /// Passed to the tasks as it is.
    pub payload: ::std::string::String,
    /// Whether the job may be started again.
    pub repeatable: bool,
    /// The caller's estimate; a hint only.
    pub run_time_estimate_ms: ragwortwick_core::DurationMs,
    /// Accelerators that the gang needs, all at once.
    pub shape: Shape,
    /// Tasks started in each cell, at least 1.
    pub tasks_per_cell: u32,
    /// Zone to run in; chosen by the scheduler if absent.
    pub zone: ::std::option::Option<ragwortwick_core::ZoneName>,
}
impl ::std::convert::From<&JobSubmit> for JobSubmit {
    fn from(value: &JobSubmit) -> Self {
        value.clone()
    }
}
/// `JobWhy` is an owner's explanation of a job.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JobWhy {
    /// Whether the owner knows the job.
    pub is_known: bool,
    /// The explanation.
    pub why: ::std::string::String,
}
impl ::std::convert::From<&JobWhy> for JobWhy {
    fn from(value: &JobWhy) -> Self {
        value.clone()
    }
}
/// `LeaseGrant` asks for a lease.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseGrant {
    /// Time to live without renewal.
    pub ttl_ms: ragwortwick_core::DurationMs,
}
impl ::std::convert::From<&LeaseGrant> for LeaseGrant {
    fn from(value: &LeaseGrant) -> Self {
        value.clone()
    }
}
/// `LeaseRenew` keeps a lease alive.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseRenew {
    /// The lease.
    pub lease_id: u64,
}
impl ::std::convert::From<&LeaseRenew> for LeaseRenew {
    fn from(value: &LeaseRenew) -> Self {
        value.clone()
    }
}
/// `LeaseReply` answers a lease call.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LeaseReply {
    /// Whether it is alive after the call.
    pub is_alive: bool,
    /// The lease.
    pub lease_id: u64,
    /// Time to live from now.
    pub ttl_ms: ragwortwick_core::DurationMs,
}
impl ::std::convert::From<&LeaseReply> for LeaseReply {
    fn from(value: &LeaseReply) -> Self {
        value.clone()
    }
}
/// `PeerCall` is a call between entry hosts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum PeerCall {
    /// Heartbeat and handshake.
    Hello(PeerHello),
    /// Serve a request whose home is there.
    Forward(ForwardRequest),
    /// Send the table in force.
    FetchTable,
    /// A newer table is in force.
    PushTable(AcceptedTable),
    /// Explain or cancel a job.
    Job(JobCall),
    /// A job was accepted for the zone that is owned there.
    NewJob(JobRecord),
    /// Send the own status.
    Status,
    /// Tell whether a request may have run there.
    Seen(SeenRequest),
}
impl ::std::convert::From<&Self> for PeerCall {
    fn from(value: &PeerCall) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<PeerHello> for PeerCall {
    fn from(value: PeerHello) -> Self {
        Self::Hello(value)
    }
}
impl ::std::convert::From<ForwardRequest> for PeerCall {
    fn from(value: ForwardRequest) -> Self {
        Self::Forward(value)
    }
}
impl ::std::convert::From<AcceptedTable> for PeerCall {
    fn from(value: AcceptedTable) -> Self {
        Self::PushTable(value)
    }
}
impl ::std::convert::From<JobCall> for PeerCall {
    fn from(value: JobCall) -> Self {
        Self::Job(value)
    }
}
impl ::std::convert::From<JobRecord> for PeerCall {
    fn from(value: JobRecord) -> Self {
        Self::NewJob(value)
    }
}
impl ::std::convert::From<SeenRequest> for PeerCall {
    fn from(value: SeenRequest) -> Self {
        Self::Seen(value)
    }
}
/// `PeerHello` opens a peer connection and is repeated as a heartbeat.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PeerHello {
    /// Who speaks.
    pub host: ragwortwick_core::HostName,
    /// Start of this process; changes with each start.
    pub incarnation: u64,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// Runners that it saw leaving.
    pub leaving_runners: ::std::vec::Vec<ragwortwick_core::HostName>,
    /// Epoch under which it owns its zone; 0 if it owns none.
    pub owned_epoch: ragwortwick_core::Epoch,
    /// Version of the peer protocol.
    pub protocol: u32,
    /// Requests it runs now.
    pub running_share: u32,
    /// Table in force there.
    pub table_number: u64,
    /// Requests that wait there.
    pub waiting: u32,
    /// Waiting jobs of the zone that it owns, by customer; empty if it owns none.
    pub waiting_jobs: ::std::vec::Vec<CustomerJobs>,
    /// Its zone.
    pub zone: ragwortwick_core::ZoneName,
}
impl ::std::convert::From<&PeerHello> for PeerHello {
    fn from(value: &PeerHello) -> Self {
        value.clone()
    }
}
/// `PeerRefusal` tells why a peer did not serve a call.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PeerRefusal {
    /// Why.
    pub reason: ::std::string::String,
}
impl ::std::convert::From<&PeerRefusal> for PeerRefusal {
    fn from(value: &PeerRefusal) -> Self {
        value.clone()
    }
}
/// `PeerReply` answers a peer call.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum PeerReply {
    /// The own heartbeat.
    Hello(PeerHello),
    /// Final answer of a forwarded request.
    Outcome(RequestOutcome),
    /// The table in force.
    Table(AcceptedTable),
    /// Taken.
    Done,
    /// About the job.
    JobWhy(JobWhy),
    /// The own status.
    Status(HostStatus),
    /// Not served.
    Refused(PeerRefusal),
    /// Whether a request may have run there.
    Seen(SeenReply),
}
impl ::std::convert::From<&Self> for PeerReply {
    fn from(value: &PeerReply) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<PeerHello> for PeerReply {
    fn from(value: PeerHello) -> Self {
        Self::Hello(value)
    }
}
impl ::std::convert::From<RequestOutcome> for PeerReply {
    fn from(value: RequestOutcome) -> Self {
        Self::Outcome(value)
    }
}
impl ::std::convert::From<AcceptedTable> for PeerReply {
    fn from(value: AcceptedTable) -> Self {
        Self::Table(value)
    }
}
impl ::std::convert::From<JobWhy> for PeerReply {
    fn from(value: JobWhy) -> Self {
        Self::JobWhy(value)
    }
}
impl ::std::convert::From<HostStatus> for PeerReply {
    fn from(value: HostStatus) -> Self {
        Self::Status(value)
    }
}
impl ::std::convert::From<PeerRefusal> for PeerReply {
    fn from(value: PeerRefusal) -> Self {
        Self::Refused(value)
    }
}
impl ::std::convert::From<SeenReply> for PeerReply {
    fn from(value: SeenReply) -> Self {
        Self::Seen(value)
    }
}
/// `PolicyWeights` trades completion time against fragmentation in placement.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PolicyWeights {
    pub completion: f64,
    pub fragmentation: f64,
}
impl ::std::convert::From<&PolicyWeights> for PolicyWeights {
    fn from(value: &PolicyWeights) -> Self {
        value.clone()
    }
}
/// `Problem` is the body of a 4xx answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Problem {
    /// Field at fault.
    pub field: ::std::string::String,
    /// One sentence: what was expected.
    pub problem: ::std::string::String,
}
impl ::std::convert::From<&Problem> for Problem {
    fn from(value: &Problem) -> Self {
        value.clone()
    }
}
/// `RefusalVerdict` says whether a refused request may have run.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum RefusalVerdict {
    #[serde(rename = "not_run")]
    NotRun,
    #[serde(rename = "may_have_run")]
    MayHaveRun,
}
impl ::std::convert::From<&Self> for RefusalVerdict {
    fn from(value: &RefusalVerdict) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RefusalVerdict {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not_run"),
            Self::MayHaveRun => f.write_str("may_have_run"),
        }
    }
}
impl ::std::str::FromStr for RefusalVerdict {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_run" => Ok(Self::NotRun),
            "may_have_run" => Ok(Self::MayHaveRun),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RefusalVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RefusalVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RefusalVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
/// `RenewCommand` extends the leases of members.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RenewCommand {
    /// The gangs.
    pub gang_ids: ::std::vec::Vec<ragwortwick_core::GangId>,
    /// New time to live.
    pub lease_ms: ragwortwick_core::DurationMs,
}
impl ::std::convert::From<&RenewCommand> for RenewCommand {
    fn from(value: &RenewCommand) -> Self {
        value.clone()
    }
}
/// `RequestAnswer` is the whole answer to a request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RequestAnswer {
    /// The runner's answer, whole.
    pub answer: ::std::string::String,
    /// Id of the request.
    pub request_id: ragwortwick_core::RequestId,
}
impl ::std::convert::From<&RequestAnswer> for RequestAnswer {
    fn from(value: &RequestAnswer) -> Self {
        value.clone()
    }
}
/// `RequestOutcome` is the final answer to a request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// It ran.
    Answered(RequestAnswer),
    /// It was refused or its outcome is unknown.
    Refused(RequestRefusal),
}
impl ::std::convert::From<&Self> for RequestOutcome {
    fn from(value: &RequestOutcome) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<RequestAnswer> for RequestOutcome {
    fn from(value: RequestAnswer) -> Self {
        Self::Answered(value)
    }
}
impl ::std::convert::From<RequestRefusal> for RequestOutcome {
    fn from(value: RequestRefusal) -> Self {
        Self::Refused(value)
    }
}
/// `RequestRefusal` says truthfully whether a request may have run.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RequestRefusal {
    /// Why, as one sentence.
    pub reason: ::std::string::String,
    /// Id of the request, if it had one.
    pub request_id: ::std::option::Option<ragwortwick_core::RequestId>,
    /// When to come back, for `not_run`.
    pub retry_after_ms: ::std::option::Option<ragwortwick_core::DurationMs>,
    /// Whether it may have run.
    pub verdict: RefusalVerdict,
}
impl ::std::convert::From<&RequestRefusal> for RequestRefusal {
    fn from(value: &RequestRefusal) -> Self {
        value.clone()
    }
}
/// `RequestSubmit` is a short request of a caller.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RequestSubmit {
    /// Class of the work.
    pub class: ragwortwick_core::ClassName,
    /// Customer that the work belongs to.
    pub customer: ragwortwick_core::CustomerName,
    /// Time from now until the answer is worthless; the class's deadline if absent.
    pub deadline_ms: ::std::option::Option<ragwortwick_core::DurationMs>,
    /// Passed to the runner as it is.
    pub payload: ::std::string::String,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Id of the request; required where `repeatable` is false.
    pub request_id: ::std::option::Option<ragwortwick_core::RequestId>,
}
impl ::std::convert::From<&RequestSubmit> for RequestSubmit {
    fn from(value: &RequestSubmit) -> Self {
        value.clone()
    }
}
/// `ReserveCommand` holds accelerators for a gang.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReserveCommand {
    /// The reservation lapses after this.
    pub lease_ms: ragwortwick_core::DurationMs,
    /// The whole gang.
    pub spec: GangSpec,
}
impl ::std::convert::From<&ReserveCommand> for ReserveCommand {
    fn from(value: &ReserveCommand) -> Self {
        value.clone()
    }
}
/// `RunnerAnswer` is a runner's whole answer, with its load.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RunnerAnswer {
    /// The answer.
    pub answer: ::std::string::String,
    /// Load after this request.
    pub load: RunnerLoad,
    /// The request answered.
    pub request_id: ragwortwick_core::RequestId,
}
impl ::std::convert::From<&RunnerAnswer> for RunnerAnswer {
    fn from(value: &RunnerAnswer) -> Self {
        value.clone()
    }
}
/// `RunnerLoad` is what a runner reports of itself with each answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RunnerLoad {
    /// Slots in use.
    pub busy: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Slots in all.
    pub slots: u32,
}
impl ::std::convert::From<&RunnerLoad> for RunnerLoad {
    fn from(value: &RunnerLoad) -> Self {
        value.clone()
    }
}
/// `RunnerRefusal` says that a request did not start.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RunnerRefusal {
    /// Load now.
    pub load: RunnerLoad,
    /// Why.
    pub reason: RunnerRefusalReason,
    /// The request refused.
    pub request_id: ragwortwick_core::RequestId,
}
impl ::std::convert::From<&RunnerRefusal> for RunnerRefusal {
    fn from(value: &RunnerRefusal) -> Self {
        value.clone()
    }
}
/// `RunnerRefusalReason` is why a runner did not start a request.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum RunnerRefusalReason {
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "leaving")]
    Leaving,
    #[serde(rename = "failing")]
    Failing,
}
impl ::std::convert::From<&Self> for RunnerRefusalReason {
    fn from(value: &RunnerRefusalReason) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RunnerRefusalReason {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Busy => f.write_str("busy"),
            Self::Leaving => f.write_str("leaving"),
            Self::Failing => f.write_str("failing"),
        }
    }
}
impl ::std::str::FromStr for RunnerRefusalReason {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "busy" => Ok(Self::Busy),
            "leaving" => Ok(Self::Leaving),
            "failing" => Ok(Self::Failing),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RunnerRefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RunnerRefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RunnerRefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
/// `RunnerRequest` is a request on its way to a runner.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RunnerRequest {
    /// The class.
    pub class: ragwortwick_core::ClassName,
    /// The customer.
    pub customer: ragwortwick_core::CustomerName,
    /// As the caller gave it.
    pub payload: ::std::string::String,
    /// Time left until the deadline.
    pub remaining_ms: ragwortwick_core::DurationMs,
    /// Echoed in the answer.
    pub request_id: ragwortwick_core::RequestId,
}
impl ::std::convert::From<&RunnerRequest> for RunnerRequest {
    fn from(value: &RunnerRequest) -> Self {
        value.clone()
    }
}
/// `RunnerStatus` tells how an entry host sees a runner.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RunnerStatus {
    /// Slots in use as reported last.
    pub busy: u32,
    /// The runner.
    pub runner: ragwortwick_core::HostName,
    /// Slots in all.
    pub slots: u32,
    /// `live`, `leaving`, `left_out` or `lost`.
    pub state: ::std::string::String,
    /// Its zone.
    pub zone: ragwortwick_core::ZoneName,
}
impl ::std::convert::From<&RunnerStatus> for RunnerStatus {
    fn from(value: &RunnerStatus) -> Self {
        value.clone()
    }
}
/// `SeenReply` tells whether a peer ran or runs a request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SeenReply {
    /// Whether it may have run there.
    pub is_known: bool,
}
impl ::std::convert::From<&SeenReply> for SeenReply {
    fn from(value: &SeenReply) -> Self {
        value.clone()
    }
}
/// `SeenRequest` asks whether a peer ran or runs a request that must not be repeated.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SeenRequest {
    /// Its customer.
    pub customer: ragwortwick_core::CustomerName,
    /// Its id.
    pub request_id: ragwortwick_core::RequestId,
}
impl ::std::convert::From<&SeenRequest> for SeenRequest {
    fn from(value: &SeenRequest) -> Self {
        value.clone()
    }
}
/// `Shape` is a number of equal cells; a cell is accelerators that are adjacent (1, 2, 4, 8, 16, 32 or 64).
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Accelerators in one cell: a power of two up to 64, which is a whole rack.
    pub cell_accelerators: u32,
    /// Number of cells, at least 1.
    pub cells: u32,
}
impl ::std::convert::From<&Shape> for Shape {
    fn from(value: &Shape) -> Self {
        value.clone()
    }
}
/// `StopCommand` ends a member.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StopCommand {
    /// The gang.
    pub gang_id: ragwortwick_core::GangId,
    /// Time for a checkpoint before the hard stop.
    pub grace_ms: ragwortwick_core::DurationMs,
}
impl ::std::convert::From<&StopCommand> for StopCommand {
    fn from(value: &StopCommand) -> Self {
        value.clone()
    }
}
/// `StoreAway` tells that the store did not answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreAway {
    /// Whether the write may have taken effect.
    pub may_have_taken_effect: bool,
    /// When to ask again.
    pub retry_after_ms: ragwortwick_core::DurationMs,
}
impl ::std::convert::From<&StoreAway> for StoreAway {
    fn from(value: &StoreAway) -> Self {
        value.clone()
    }
}
/// `StoreCas` writes a key if its revision is the expected one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreCas {
    /// Revision seen last; 0 to create.
    pub expected_revision: ragwortwick_core::Revision,
    /// The key.
    pub key: ::std::string::String,
    /// Lease that the key is deleted with.
    pub lease_id: ::std::option::Option<u64>,
    /// The new value; absent to delete.
    pub value: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&StoreCas> for StoreCas {
    fn from(value: &StoreCas) -> Self {
        value.clone()
    }
}
/// `StoreCasReply` answers a conditional write.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreCasReply {
    /// Whether it was written.
    pub applied: bool,
    /// The entry after the call, if the key exists.
    pub entry: ::std::option::Option<StoreEntry>,
    /// The store's revision now.
    pub revision: ragwortwick_core::Revision,
}
impl ::std::convert::From<&StoreCasReply> for StoreCasReply {
    fn from(value: &StoreCasReply) -> Self {
        value.clone()
    }
}
/// `StoreChange` is one change of a key.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreChange {
    /// The entry now, absent if deleted.
    pub entry: ::std::option::Option<StoreEntry>,
    /// The key.
    pub key: ::std::string::String,
    /// Revision of the change.
    pub revision: ragwortwick_core::Revision,
}
impl ::std::convert::From<&StoreChange> for StoreChange {
    fn from(value: &StoreChange) -> Self {
        value.clone()
    }
}
/// `StoreEntry` is one value of the store.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreEntry {
    /// Its key.
    pub key: ::std::string::String,
    /// The store's revision at its last write.
    pub revision: ragwortwick_core::Revision,
    /// Its value, at most 1 MB.
    pub value: ::std::string::String,
}
impl ::std::convert::From<&StoreEntry> for StoreEntry {
    fn from(value: &StoreEntry) -> Self {
        value.clone()
    }
}
/// `StoreGet` reads one key.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreGet {
    /// The key.
    pub key: ::std::string::String,
}
impl ::std::convert::From<&StoreGet> for StoreGet {
    fn from(value: &StoreGet) -> Self {
        value.clone()
    }
}
/// `StoreGetReply` answers a read.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreGetReply {
    /// The entry, if the key exists.
    pub entry: ::std::option::Option<StoreEntry>,
    /// The store's revision now.
    pub revision: ragwortwick_core::Revision,
}
impl ::std::convert::From<&StoreGetReply> for StoreGetReply {
    fn from(value: &StoreGetReply) -> Self {
        value.clone()
    }
}
/// `StoreList` reads the keys that start with a prefix, in order.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreList {
    /// Continue after this key.
    pub after_key: ::std::option::Option<::std::string::String>,
    /// Most entries to return.
    pub limit: u32,
    /// The prefix.
    pub prefix: ::std::string::String,
}
impl ::std::convert::From<&StoreList> for StoreList {
    fn from(value: &StoreList) -> Self {
        value.clone()
    }
}
/// `StoreListReply` answers a listing.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreListReply {
    /// The entries in key order.
    pub entries: ::std::vec::Vec<StoreEntry>,
    /// Whether entries were left out.
    pub has_more: bool,
    /// The store's revision at the listing.
    pub revision: ragwortwick_core::Revision,
}
impl ::std::convert::From<&StoreListReply> for StoreListReply {
    fn from(value: &StoreListReply) -> Self {
        value.clone()
    }
}
/// `StoreWatch` waits for changes under a prefix.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreWatch {
    /// Report changes after this revision.
    pub after_revision: ragwortwick_core::Revision,
    /// The prefix.
    pub prefix: ::std::string::String,
    /// Longest wait.
    pub timeout_ms: ragwortwick_core::DurationMs,
}
impl ::std::convert::From<&StoreWatch> for StoreWatch {
    fn from(value: &StoreWatch) -> Self {
        value.clone()
    }
}
/// `StoreWatchReply` answers a watch.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreWatchReply {
    /// The changes in order; empty after the longest wait.
    pub changes: ::std::vec::Vec<StoreChange>,
    /// Changes were lost; list again.
    pub is_gap: bool,
    /// Continue after this revision.
    pub revision: ragwortwick_core::Revision,
}
impl ::std::convert::From<&StoreWatchReply> for StoreWatchReply {
    fn from(value: &StoreWatchReply) -> Self {
        value.clone()
    }
}
/// `Table` is the operators' table of customers, guarantees, classes and weights.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// The classes of work.
    pub classes: ::std::vec::Vec<ClassRow>,
    /// The customers.
    pub customers: ::std::vec::Vec<CustomerRow>,
    /// The guaranteed shapes.
    pub guarantees: ::std::vec::Vec<GuaranteeRow>,
    /// The placement weights.
    pub weights: PolicyWeights,
}
impl ::std::convert::From<&Table> for Table {
    fn from(value: &Table) -> Self {
        value.clone()
    }
}
/// `TableAccept` asks to put a reviewed table in force.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TableAccept {
    /// Who accepts.
    pub accepted_by: ::std::string::String,
    /// Number of the table that the operator reviewed against; 0 for none.
    pub based_on_number: u64,
    /// A fresh random text; the same on a repeat.
    pub nonce: ::std::string::String,
    /// Why.
    pub reason: ::std::string::String,
    /// The whole new table.
    pub table: Table,
}
impl ::std::convert::From<&TableAccept> for TableAccept {
    fn from(value: &TableAccept) -> Self {
        value.clone()
    }
}
/// `TableAcceptReply` is the outcome of an acceptance.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum TableAcceptReply {
    /// It is in the store and goes into force.
    Accepted(AcceptedTable),
    /// Someone else accepted first.
    Conflict(TableConflict),
    /// The table has mistakes.
    Invalid(TableReview),
    /// The store could not be reached or its answer is unknown.
    StoreAway(StoreAway),
}
impl ::std::convert::From<&Self> for TableAcceptReply {
    fn from(value: &TableAcceptReply) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<AcceptedTable> for TableAcceptReply {
    fn from(value: AcceptedTable) -> Self {
        Self::Accepted(value)
    }
}
impl ::std::convert::From<TableConflict> for TableAcceptReply {
    fn from(value: TableConflict) -> Self {
        Self::Conflict(value)
    }
}
impl ::std::convert::From<TableReview> for TableAcceptReply {
    fn from(value: TableReview) -> Self {
        Self::Invalid(value)
    }
}
impl ::std::convert::From<StoreAway> for TableAcceptReply {
    fn from(value: StoreAway) -> Self {
        Self::StoreAway(value)
    }
}
/// `TableConflict` shows what changed under the operator.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TableConflict {
    /// What changed since the reviewed table, one row a line.
    pub changes: ::std::vec::Vec<::std::string::String>,
    /// The table in force.
    pub current: AcceptedTable,
}
impl ::std::convert::From<&TableConflict> for TableConflict {
    fn from(value: &TableConflict) -> Self {
        value.clone()
    }
}
/// `TableProblem` is one mistake in a table.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TableProblem {
    /// Column at fault, empty for the whole row.
    pub column: ::std::string::String,
    /// What is wrong and what was expected.
    pub problem: ::std::string::String,
    /// Row in that part, from 1; 0 for the whole part.
    pub row: u32,
    /// `customers`, `guarantees`, `classes` or `weights`.
    pub sheet: ::std::string::String,
}
impl ::std::convert::From<&TableProblem> for TableProblem {
    fn from(value: &TableProblem) -> Self {
        value.clone()
    }
}
/// `TableReview` tells what an acceptance would do.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TableReview {
    /// The difference, one row a line.
    pub changes: ::std::vec::Vec<::std::string::String>,
    /// Number of the table in force.
    pub current_number: u64,
    /// What it will do to guarantees and running work.
    pub effects: ::std::vec::Vec<::std::string::String>,
    /// Mistakes; any of them prevents acceptance.
    pub problems: ::std::vec::Vec<TableProblem>,
}
impl ::std::convert::From<&TableReview> for TableReview {
    fn from(value: &TableReview) -> Self {
        value.clone()
    }
}
/// `ThrottleCommand` slows a member down.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ThrottleCommand {
    /// The gang.
    pub gang_id: ragwortwick_core::GangId,
    /// Share of full speed, 0 to 100.
    pub percent: u32,
}
impl ::std::convert::From<&ThrottleCommand> for ThrottleCommand {
    fn from(value: &ThrottleCommand) -> Self {
        value.clone()
    }
}
/// `WorkerCommand` is what an order asks for.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum WorkerCommand {
    /// Report all members; also raises the worker's epoch.
    Inventory,
    /// Hold accelerators for a gang.
    Reserve(ReserveCommand),
    /// Start a reserved member.
    Commit(CommitCommand),
    /// Drop a reservation that was not committed.
    Release(GangRef),
    /// Extend leases.
    Renew(RenewCommand),
    /// Write a checkpoint and go on.
    Checkpoint(GangRef),
    /// End a member.
    Stop(StopCommand),
    /// Slow a member down.
    Throttle(ThrottleCommand),
    /// Drop the report of an ended member.
    Forget(GangRef),
}
impl ::std::convert::From<&Self> for WorkerCommand {
    fn from(value: &WorkerCommand) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<ReserveCommand> for WorkerCommand {
    fn from(value: ReserveCommand) -> Self {
        Self::Reserve(value)
    }
}
impl ::std::convert::From<CommitCommand> for WorkerCommand {
    fn from(value: CommitCommand) -> Self {
        Self::Commit(value)
    }
}
impl ::std::convert::From<RenewCommand> for WorkerCommand {
    fn from(value: RenewCommand) -> Self {
        Self::Renew(value)
    }
}
impl ::std::convert::From<StopCommand> for WorkerCommand {
    fn from(value: StopCommand) -> Self {
        Self::Stop(value)
    }
}
impl ::std::convert::From<ThrottleCommand> for WorkerCommand {
    fn from(value: ThrottleCommand) -> Self {
        Self::Throttle(value)
    }
}
/// `WorkerOrder` is a command under an epoch of the zone's ownership.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WorkerOrder {
    /// What to do.
    pub command: WorkerCommand,
    /// Refused if below the highest seen.
    pub epoch: ragwortwick_core::Epoch,
}
impl ::std::convert::From<&WorkerOrder> for WorkerOrder {
    fn from(value: &WorkerOrder) -> Self {
        value.clone()
    }
}
/// `WorkerOutcome` is a worker's answer to an order.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum WorkerOutcome {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stale_epoch")]
    StaleEpoch,
    #[serde(rename = "occupied")]
    Occupied,
    #[serde(rename = "unknown_gang")]
    UnknownGang,
    #[serde(rename = "failing")]
    Failing,
}
impl ::std::convert::From<&Self> for WorkerOutcome {
    fn from(value: &WorkerOutcome) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for WorkerOutcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Done => f.write_str("done"),
            Self::StaleEpoch => f.write_str("stale_epoch"),
            Self::Occupied => f.write_str("occupied"),
            Self::UnknownGang => f.write_str("unknown_gang"),
            Self::Failing => f.write_str("failing"),
        }
    }
}
impl ::std::str::FromStr for WorkerOutcome {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "done" => Ok(Self::Done),
            "stale_epoch" => Ok(Self::StaleEpoch),
            "occupied" => Ok(Self::Occupied),
            "unknown_gang" => Ok(Self::UnknownGang),
            "failing" => Ok(Self::Failing),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for WorkerOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for WorkerOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for WorkerOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
/// `WorkerReply` answers an order.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WorkerReply {
    /// Members held here, for `Inventory` and `Renew`; else empty.
    pub gangs: ::std::vec::Vec<GangOnWorker>,
    /// Highest epoch seen.
    pub highest_epoch: ragwortwick_core::Epoch,
    /// What happened.
    pub outcome: WorkerOutcome,
}
impl ::std::convert::From<&WorkerReply> for WorkerReply {
    fn from(value: &WorkerReply) -> Self {
        value.clone()
    }
}
/// `WorkerStatus` tells how a worker stands.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WorkerStatus {
    /// In all.
    pub accelerators: u32,
    /// Free accelerators.
    pub free: u32,
    /// Its rack.
    pub rack: ragwortwick_core::RackName,
    /// Evidence for the state.
    pub reason: ::std::string::String,
    /// `live`, `lost`, `quarantined`, `trial` or `leaving`.
    pub state: ::std::string::String,
    /// The worker.
    pub worker: ragwortwick_core::WorkerName,
}
impl ::std::convert::From<&WorkerStatus> for WorkerStatus {
    fn from(value: &WorkerStatus) -> Self {
        value.clone()
    }
}
/// `ZoneEpoch` is the last epoch given in a zone; it outlives every lease.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ZoneEpoch {
    /// The epoch.
    pub epoch: ragwortwick_core::Epoch,
    /// Writer's nonce.
    pub nonce: ::std::string::String,
}
impl ::std::convert::From<&ZoneEpoch> for ZoneEpoch {
    fn from(value: &ZoneEpoch) -> Self {
        value.clone()
    }
}
/// `ZoneOwner` names the entry host that places in a zone; its key is held by a lease.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ZoneOwner {
    /// Epoch of its ownership.
    pub epoch: ragwortwick_core::Epoch,
    /// The owner.
    pub host: ragwortwick_core::HostName,
    /// Writer's nonce.
    pub nonce: ::std::string::String,
}
impl ::std::convert::From<&ZoneOwner> for ZoneOwner {
    fn from(value: &ZoneOwner) -> Self {
        value.clone()
    }
}
/// `ZoneStatus` is an owner's view of its zone.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ZoneStatus {
    /// Its epoch.
    pub epoch: ragwortwick_core::Epoch,
    pub fragmentation: f64,
    /// Free accelerators.
    pub free_accelerators: u32,
    /// The zone's guarantees.
    pub guarantees: ::std::vec::Vec<GuaranteeStatus>,
    /// Gangs running.
    pub jobs_running: u32,
    /// Jobs waiting.
    pub jobs_waiting: u32,
    /// The entry host that places there.
    pub owner: ::std::option::Option<ragwortwick_core::HostName>,
    /// The zone's workers.
    pub workers: ::std::vec::Vec<WorkerStatus>,
    /// The zone.
    pub zone: ragwortwick_core::ZoneName,
}
impl ::std::convert::From<&ZoneStatus> for ZoneStatus {
    fn from(value: &ZoneStatus) -> Self {
        value.clone()
    }
}
