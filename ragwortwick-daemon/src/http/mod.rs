//! The HTTP side towards callers, operators and the balancer.

mod caller;
mod health;
mod jobs;
mod operator;

use gotham::middleware::state::StateMiddleware;
use gotham::pipeline::{Pipeline, SinglePipelineChain, single_middleware, single_pipeline};
use gotham::router::Router;
use gotham::router::builder::{RouterBuilder, build_router};

use crate::App;

type AppPipeline = (StateMiddleware<App>, ());

/// `RouteBuilder` is the builder that each module adds its routes to.
type RouteBuilder<'a> =
    RouterBuilder<'a, SinglePipelineChain<AppPipeline>, (Pipeline<AppPipeline>, ())>;

/// `router` routes every path to its handler.
pub(crate) fn router(app: App) -> Router {
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(app)));
    build_router(chain, pipelines, |route| {
        health::routes(route);
        caller::routes(route);
        jobs::routes(route);
        operator::routes(route);
    })
}
