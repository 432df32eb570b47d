//! Log lines of what the placer reports.

use ragwortwick_core::{ZoneName, log_event};
use ragwortwick_policy::ZoneNotice;

/// `log_notice` writes one line for a fact that the placer reports.
pub(super) fn log_notice(zone: &ZoneName, notice: &ZoneNotice) {
    match notice {
        ZoneNotice::GangStarted {
            gang_id,
            customer,
            wait_ms,
            is_borrowed,
        } => log_event!(
            Info,
            "gang_started",
            zone = zone,
            gang_id = gang_id,
            customer = customer,
            wait_ms = wait_ms,
            is_borrowed = is_borrowed
        ),
        ZoneNotice::GangEnded {
            gang_id,
            customer,
            reason,
        } => log_event!(
            Info,
            "gang_ended",
            zone = zone,
            gang_id = gang_id,
            customer = customer,
            reason = reason
        ),
        ZoneNotice::Reclaimed {
            customer,
            reclaim_ms,
        } => log_event!(
            Info,
            "guarantee_reclaimed",
            zone = zone,
            customer = customer,
            reclaim_ms = reclaim_ms
        ),
        ZoneNotice::GuaranteeShort {
            customer,
            cells_short,
        } => log_event!(
            Warn,
            "guarantee_short",
            zone = zone,
            customer = customer,
            cells_short = cells_short
        ),
        ZoneNotice::WorkerHealthChanged {
            worker,
            state,
            reason,
        } => log_event!(
            Warn,
            "worker_judged",
            zone = zone,
            worker = worker,
            state = state,
            reason = reason
        ),
        ZoneNotice::Fenced { epoch } => {
            log_event!(Warn, "zone_fenced", zone = zone, highest_epoch = epoch);
        }
    }
}
