//! Error type of the shared packages, with its `Result` alias and constructors.

use displaydoc::Display;

/// `Result` is the result type of the shared packages.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is an expected failure in a shared package.
#[derive(Debug, Display)]
pub enum Error {
    /// {field}: {expected}
    Invalid {
        /// Path of the invalid field, such as `customers[2].weight`.
        field: String,
        /// Expected value.
        expected: String,
    },
    /// state chart {chart}: {problem}
    Chart {
        /// Name of the chart.
        chart: String,
        /// Problem found in the chart.
        problem: String,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// `invalid` builds an error from the path of a field and the value expected there.
    pub fn invalid(field: impl Into<String>, expected: impl Into<String>) -> Self {
        Self::Invalid {
            field: field.into(),
            expected: expected.into(),
        }
    }

    /// `chart` builds an error from the name of a state chart and the problem found in it.
    pub fn chart(chart: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::Chart {
            chart: chart.into(),
            problem: problem.into(),
        }
    }
}
