//! Paths for gang jobs.

use super::RouteBuilder;

pub(super) fn routes(_route: &mut RouteBuilder<'_>) {}
