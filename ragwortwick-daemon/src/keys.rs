//! Keys in the platform's store.

use ragwortwick_core::{JobId, ZoneName};

/// Key of the accepted table.
pub(crate) const TABLE_CURRENT: &str = "table/current";

/// Prefix of the accepted tables by number.
pub(crate) const TABLE_HISTORY_PREFIX: &str = "table/history/";

/// Prefix of the records of accepted jobs.
pub(crate) const JOBS_PREFIX: &str = "jobs/";

/// `table_history` returns the key of an accepted table; padding to ten digits sorts the keys by number.
pub(crate) fn table_history(number: u64) -> String {
    format!("{TABLE_HISTORY_PREFIX}{number:010}")
}

/// `job` returns the key of a job's record.
pub(crate) fn job(job_id: &JobId) -> String {
    format!("{JOBS_PREFIX}{job_id}")
}

/// `zone_owner` returns the key that the owner of a zone holds under a lease.
pub(crate) fn zone_owner(zone: &ZoneName) -> String {
    format!("zones/{zone}/owner")
}

/// `zone_epoch` returns the key of the last epoch issued in a zone.
pub(crate) fn zone_epoch(zone: &ZoneName) -> String {
    format!("zones/{zone}/epoch")
}
