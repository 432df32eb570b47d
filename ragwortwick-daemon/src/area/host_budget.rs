//! Divides the memory and the descriptors of a host among all that clients can make it keep.
//!
//! The load: clients that open many connections, send large bodies, complete them late or never, submit jobs that take
//! many times the memory of their bodies, and do not read their responses. What is left out here remains for the host's
//! own work: the program, the coordinator's workers and its calls, and the reads of the store.

use ragwortwick_core::DurationMs;

/// Descriptors that the system reserves for files.
const FILE_FDS: u64 = 200;

/// Memory of one connection: a request head, its parsed form, and what the system has received and not passed on.
pub(super) const CONNECTION_BYTES: u64 = 48 << 10;

/// Bytes that the system keeps for one connection in each direction.
pub(super) const SOCKET_BUFFER_BYTES: u32 = 16 << 10;

/// Connections that the system accepts before the host does, each with bytes that nobody has read.
pub(super) const LISTEN_QUEUE_LENGTH: u32 = 256;

/// Connections to the readiness probe, which the load balancer opens once per second.
pub(super) const PROBE_CONNECTIONS: usize = 32;

/// Connections to the metrics, each of which may hold a whole response.
pub(super) const METRICS_CONNECTIONS: usize = 8;

/// Response bodies of the store for clients that are read at the same time, apart from small ones.
pub(super) const LARGE_RESPONSES: usize = 2;

/// Bytes of a small response body of the store.
pub(super) const SMALL_RESPONSE_BYTES: usize = 16 << 10;

/// Memory with which a request of the largest size can be served.
const MIN_REQUEST_BYTES: usize = 8_000_000;

const BYTES_PER_MB: f64 = 1_000_000.0;

/// `HostBudget` is what clients may take of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HostBudget {
    /// Connections of clients.
    pub(super) client_connections: usize,
    /// Requests of clients that may use the store at the same time.
    pub(super) store_calls: usize,
    /// Memory of request bodies, and of jobs that are decoded and not stored yet.
    pub(super) request_bytes: usize,
    /// Memory of accepted jobs.
    pub(super) job_bytes: usize,
}

impl HostBudget {
    /// Divides a host's memory and descriptors.
    ///
    /// A quarter of the memory is for connections, an eighth for requests, and a quarter for accepted jobs. Half of the
    /// sockets are for clients, an eighth for their calls of the store, and the rest for workers and feeds. At most half
    /// of the clients use the store at the same time.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a memory is a positive number of bytes far below the limit"
    )]
    pub(super) fn divide(memory_mb: f64, max_fds: u64) -> Self {
        let memory_bytes = (memory_mb * BYTES_PER_MB) as u64;
        let sockets = max_fds.saturating_sub(FILE_FDS);
        let connections_by_memory = memory_bytes / 4 / CONNECTION_BYTES;
        let client_connections = as_usize(connections_by_memory.min(sockets / 2)).max(4);
        Self {
            client_connections,
            // A connection whose request uses the store can't be closed for a new one.
            store_calls: as_usize(sockets / 8).clamp(2, client_connections / 2),
            request_bytes: as_usize(memory_bytes / 8).max(MIN_REQUEST_BYTES),
            job_bytes: as_usize(memory_bytes / 4),
        }
    }
}

fn as_usize(amount: u64) -> usize {
    usize::try_from(amount).unwrap_or(usize::MAX)
}

/// `HostLimit` is a limit of the host for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostLimit {
    /// Too many requests use the store.
    StoreCalls,
    /// Accepted jobs take the memory for jobs.
    JobMemory,
    /// Requests take the memory for requests.
    RequestMemory,
}

impl HostLimit {
    /// `name` returns the limit as a metric label.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::StoreCalls => "store_calls",
            Self::JobMemory => "job_memory",
            Self::RequestMemory => "request_memory",
        }
    }

    /// What the refused client is told.
    pub(super) fn problem(self) -> &'static str {
        match self {
            Self::StoreCalls => "too many requests wait for the store",
            Self::JobMemory => "accepted jobs leave no memory for this one",
            Self::RequestMemory => "no memory is left for the request",
        }
    }

    /// Returns the seconds after which the client may come back; `spread` is a random number from 0 to 1.
    pub(super) fn retry_after_s(self, spread: f64) -> u64 {
        let shortest_ms = match self {
            Self::StoreCalls | Self::RequestMemory => DurationMs(1_000),
            // Jobs leave the memory when they are forgotten, some time after their end.
            Self::JobMemory => DurationMs(5_000),
        };
        (shortest_ms + shortest_ms.scaled(spread)).0.div_ceil(1_000)
    }
}
