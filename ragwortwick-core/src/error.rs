//! The error enum of the shared packages, with its `Result` alias and short constructors.

use displaydoc::Display;

/// `Result` is the result type of the shared packages.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is an expected failure of a shared package.
#[derive(Debug, Display)]
pub enum Error {
    /// {field}: {expected}
    Invalid {
        /// Path of the field at fault, such as `customers[2].weight`.
        field: String,
        /// What was expected there.
        expected: String,
    },
    /// state chart {chart}: {problem}
    Chart {
        /// Name of the chart.
        chart: String,
        /// What is wrong with it.
        problem: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// `invalid` names a field and what was expected there.
    pub fn invalid(field: impl Into<String>, expected: impl Into<String>) -> Self {
        Self::Invalid {
            field: field.into(),
            expected: expected.into(),
        }
    }

    /// `chart` names a state chart and what is wrong with it.
    pub fn chart(chart: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::Chart {
            chart: chart.into(),
            problem: problem.into(),
        }
    }
}
