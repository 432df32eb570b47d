//! Names and ids as shared immutable strings that are cheap to clone.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// `new` creates the name from any text; clones share the text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// `as_str` returns the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), &self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type! {
    /// `CustomerName` names a customer, the holder of guaranteed shares.
    CustomerName
}
name_type! {
    /// `ClassName` names a class of work, such as `pass-plan` or `quote`.
    ClassName
}
name_type! {
    /// `ZoneName` names an availability zone.
    ZoneName
}
name_type! {
    /// `RackName` names a rack of workers inside one zone.
    RackName
}
name_type! {
    /// `WorkerName` names one incarnation of a worker, a machine with accelerators that runs tasks.
    ///
    /// A worker may restart under its identity. Where it tells when it started, the name contains that time.
    WorkerName
}
name_type! {
    /// `HostName` names an entry host or a backend server.
    HostName
}
name_type! {
    /// `PoolName` names a pool of workers that run the same service.
    PoolName
}
name_type! {
    /// `LabelName` names a property of a worker that a step may require.
    LabelName
}
name_type! {
    /// `JobId` identifies an accepted job; it is never reused.
    JobId
}
name_type! {
    /// `GangId` identifies one attempt of a job, in the form `<job>.<attempt>`.
    GangId
}
name_type! {
    /// `RequestId` identifies a short request; a retry carries the same id.
    RequestId
}

/// Separates a worker's identity from the time of its start.
const START_SEPARATOR: char = '@';

impl WorkerName {
    /// `of_incarnation` names the incarnation of a worker that started at the given Unix time.
    #[must_use]
    pub fn of_incarnation(identity: &str, started_unix_ms: Option<u64>) -> Self {
        match started_unix_ms {
            Some(started) => Self::new(format!("{identity}{START_SEPARATOR}{started}")),
            None => Self::new(identity),
        }
    }

    /// `identity` is what the worker is addressed by, which a later incarnation may share.
    #[must_use]
    pub fn identity(&self) -> &str {
        self.split_start()
            .map_or(self.as_str(), |(identity, _)| identity)
    }

    /// `started_unix_ms` is when the incarnation started, in Unix milliseconds, if it is known.
    #[must_use]
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.split_start().map(|(_, started)| started)
    }

    /// `is_restart_of` reports whether this is a later incarnation under the same identity.
    #[must_use]
    pub fn is_restart_of(&self, earlier: &Self) -> bool {
        self.identity() == earlier.identity() && self.started_unix_ms() > earlier.started_unix_ms()
    }

    fn split_start(&self) -> Option<(&str, u64)> {
        let (identity, started) = self.as_str().rsplit_once(START_SEPARATOR)?;
        Some((identity, started.parse().ok()?))
    }
}

impl GangId {
    /// `of_attempt` creates the id of the gang that runs the given attempt of a job.
    #[must_use]
    pub fn of_attempt(job: &JobId, attempt: u32) -> Self {
        Self::new(format!("{job}.{attempt}"))
    }

    /// `job_and_attempt` returns the job and the attempt number if the id has the form of `of_attempt`.
    #[must_use]
    pub fn job_and_attempt(&self) -> Option<(JobId, u32)> {
        let (job, attempt) = self.as_str().rsplit_once('.')?;
        Some((JobId::new(job), attempt.parse().ok()?))
    }
}
