//! Paths for operators.

use super::RouteBuilder;

pub(super) fn routes(_route: &mut RouteBuilder<'_>) {}
