//! The columns of the file and which part uses which.

use super::Part;

/// `Column` is a column of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Column {
    /// Name of the part.
    Part,
    /// Number of the exported table.
    Number,
    /// Customer.
    Customer,
    /// Zone of a guarantee.
    Zone,
    /// Class of work.
    Class,
    /// Accelerators in one cell.
    CellAccelerators,
    /// Guaranteed cells.
    Cells,
    /// Whether a class is urgent.
    Urgent,
    /// Weight of a customer or class.
    Weight,
    /// Worth of one finished request.
    Worth,
    /// Deadline of work that states none.
    DeadlineMs,
    /// Most requests running at once.
    MaxInFlight,
    /// Most requests waiting.
    MaxQueued,
    /// Most requests a second.
    RatePerS,
    /// Most jobs waiting.
    MaxQueuedJobs,
    /// Weight of completion time.
    Completion,
    /// Weight of fragmentation.
    Fragmentation,
}

impl Column {
    /// `ALL` lists the columns in the order of an export.
    pub(crate) const ALL: [Self; 17] = [
        Self::Part,
        Self::Number,
        Self::Customer,
        Self::Zone,
        Self::Class,
        Self::CellAccelerators,
        Self::Cells,
        Self::Urgent,
        Self::Weight,
        Self::Worth,
        Self::DeadlineMs,
        Self::MaxInFlight,
        Self::MaxQueued,
        Self::RatePerS,
        Self::MaxQueuedJobs,
        Self::Completion,
        Self::Fragmentation,
    ];

    /// `name` gives the text of the header.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Part => "part",
            Self::Number => "number",
            Self::Customer => "customer",
            Self::Zone => "zone",
            Self::Class => "class",
            Self::CellAccelerators => "cell_accelerators",
            Self::Cells => "cells",
            Self::Urgent => "urgent",
            Self::Weight => "weight",
            Self::Worth => "worth",
            Self::DeadlineMs => "deadline_ms",
            Self::MaxInFlight => "max_in_flight",
            Self::MaxQueued => "max_queued",
            Self::RatePerS => "rate_per_s",
            Self::MaxQueuedJobs => "max_queued_jobs",
            Self::Completion => "completion",
            Self::Fragmentation => "fragmentation",
        }
    }

    /// `from_name` finds the column with this header.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|column| column.name() == name)
    }

    /// `keys` lists the columns that together identify a row of the part.
    pub(crate) fn keys(part: Part) -> &'static [Self] {
        match part {
            Part::Table | Part::Weights => &[],
            Part::Customers => &[Self::Customer],
            Part::Guarantees => &[Self::Customer, Self::Zone, Self::CellAccelerators],
            Part::Classes => &[Self::Customer, Self::Class],
        }
    }

    /// `values` lists the other columns that the part fills.
    pub(crate) fn values(part: Part) -> &'static [Self] {
        match part {
            Part::Table => &[Self::Number],
            Part::Customers => &[Self::Weight, Self::MaxQueuedJobs],
            Part::Guarantees => &[Self::Cells],
            Part::Classes => &[
                Self::Urgent,
                Self::Weight,
                Self::Worth,
                Self::DeadlineMs,
                Self::MaxInFlight,
                Self::MaxQueued,
                Self::RatePerS,
            ],
            Part::Weights => &[Self::Completion, Self::Fragmentation],
        }
    }

    /// `is_of` tells whether the part fills this column.
    pub(crate) fn is_of(self, part: Part) -> bool {
        self == Self::Part || Self::keys(part).contains(&self) || Self::values(part).contains(&self)
    }
}
