//! Why a call to the store has no usable answer.

use displaydoc::Display;
use ragwortwick_http::HttpError;

/// `StoreError` says why there is no answer and whether the call may have had an effect.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StoreError {
    /// the store did not get the call: {0}
    NotSent(String),
    /// the store gave no whole answer, the call may have had an effect: {0}
    NoAnswer(String),
    /// the store refused the call: {0}
    Refused(String),
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// `may_have_taken_effect` tells whether the call may have been carried out.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::NoAnswer(_))
    }

    /// `is_away` tells whether the store could not serve, as opposed to refusing this call.
    #[must_use]
    pub fn is_away(&self) -> bool {
        !matches!(self, Self::Refused(_))
    }
}

/// Status of a store that turns a call away before it acts on it.
const UNAVAILABLE: u16 = 503;

/// Status of a store that is asked too often.
const TOO_MANY: u16 = 429;

impl From<HttpError> for StoreError {
    fn from(error: HttpError) -> Self {
        let text = error.to_string();
        match error {
            HttpError::NotSent { .. } => Self::NotSent(text),
            HttpError::NoResponse { .. }
            | HttpError::TooLarge { .. }
            | HttpError::Malformed { .. } => Self::NoAnswer(text),
            HttpError::Status { status, .. } => match status {
                UNAVAILABLE | TOO_MANY => Self::NotSent(text),
                400..500 => Self::Refused(text),
                _ => Self::NoAnswer(text),
            },
        }
    }
}
