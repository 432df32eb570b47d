//! Checks of the request path of one entry host against stand-in runners and a stand-in store.

mod answers;
mod claims;
mod rig;
mod silent;
mod verdicts;
