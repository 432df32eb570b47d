//! Decisions on short requests: admission, order, runner choice, retries.
