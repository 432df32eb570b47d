//! Final answers to callers, built from verdicts.

use ragwortwick_border::{RefusalVerdict, RequestAnswer, RequestOutcome, RequestRefusal};
use ragwortwick_core::{DurationMs, RequestId, Verdict};

/// `not_run` refuses a request that no byte of left this host.
pub(super) fn not_run(
    request_id: Option<&RequestId>,
    reason: impl Into<String>,
    retry_after_ms: DurationMs,
) -> RequestOutcome {
    RequestOutcome::Refused(RequestRefusal {
        request_id: request_id.cloned(),
        verdict: RefusalVerdict::NotRun,
        reason: reason.into(),
        retry_after_ms: Some(retry_after_ms),
    })
}

/// `may_have_run` says that the outcome of a request is unknown.
pub(super) fn may_have_run(
    request_id: Option<&RequestId>,
    reason: impl Into<String>,
) -> RequestOutcome {
    RequestOutcome::Refused(RequestRefusal {
        request_id: request_id.cloned(),
        verdict: RefusalVerdict::MayHaveRun,
        reason: reason.into(),
        retry_after_ms: None,
    })
}

/// `outcome` turns a verdict into the caller's answer.
pub(super) fn outcome(request_id: &RequestId, verdict: Verdict<String>) -> RequestOutcome {
    match verdict {
        Verdict::Done(answer) => RequestOutcome::Answered(RequestAnswer {
            request_id: request_id.clone(),
            answer,
        }),
        Verdict::NotRun {
            reason,
            retry_after_ms,
        } => not_run(Some(request_id), reason.to_string(), retry_after_ms),
        Verdict::MayHaveRun { reason } => may_have_run(Some(request_id), reason),
    }
}

/// `verdict_label` names an outcome in metrics and logs.
pub(super) fn verdict_label(outcome: &RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Answered(_) => "done",
        RequestOutcome::Refused(refusal) => match refusal.verdict {
            RefusalVerdict::NotRun => "not_run",
            RefusalVerdict::MayHaveRun => "may_have_run",
        },
    }
}
