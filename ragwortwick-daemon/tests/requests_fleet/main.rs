//! Checks of the request path over several entry host processes, under kills, cuts and stops.

mod cut;
mod fleet;
mod leaving;
mod once;
mod peers;
mod stop;
