//! What this host ran or runs of the requests that must not be repeated.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ragwortwick_core::{CustomerName, RequestId, TimeMs, common};

/// `RunLogOptions` bounds the memory of a log.
#[common]
pub struct RunLogOptions {
    /// Most requests remembered; further ones are refused.
    pub max_entries: usize,
    /// Most bytes of answers kept for repeats of their requests; the oldest are dropped first.
    pub max_answer_bytes: usize,
}

/// `RunKey` names a request; two customers may choose the same id.
#[common]
#[derive(PartialOrd, Ord)]
pub struct RunKey {
    /// The customer.
    pub customer: CustomerName,
    /// The id.
    pub request_id: RequestId,
}

/// `Begin` tells whether a request may run here now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin<W, A> {
    /// It is new and is now marked as running.
    Begun,
    /// It runs; a repeat waits for the same answer.
    Running(W),
    /// It ran and this is its answer.
    Answered(A),
    /// It ran or may have run, and no answer is at hand.
    MayHaveRun,
    /// The id stands for another request of this customer.
    OtherRequest,
    /// Too many requests are remembered.
    Full,
}

/// `Settlement` is how a request that had begun ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement<A> {
    /// It certainly did not run, so it may be tried again under its id.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran.
    Answered {
        /// The answer.
        answer: A,
        /// Its size.
        answer_bytes: usize,
    },
}

/// `RunLog` remembers requests for a stated time; `W` lets repeats wait, `A` is an answer.
#[derive(Debug)]
pub struct RunLog<W, A> {
    options: RunLogOptions,
    entries: BTreeMap<RunKey, Entry<W, A>>,
    by_expiry: BTreeSet<(TimeMs, RunKey)>,
    answers: VecDeque<RunKey>,
    answer_bytes: usize,
}

#[derive(Debug)]
struct Entry<W, A> {
    fingerprint: u64,
    forget_at: TimeMs,
    state: State<W, A>,
}

#[derive(Debug)]
enum State<W, A> {
    Running(W),
    Answered { answer: A, answer_bytes: usize },
    MayHaveRun,
}

impl<W: Clone, A: Clone> RunLog<W, A> {
    /// `new` makes an empty log.
    #[must_use]
    pub fn new(options: RunLogOptions) -> Self {
        Self {
            options,
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// `begin` marks a new request as running until it is settled, or tells what is known of it.
    ///
    /// `fingerprint` tells two requests apart that use one id by mistake.
    pub fn begin(
        &mut self,
        now: TimeMs,
        key: &RunKey,
        fingerprint: u64,
        forget_at: TimeMs,
        waiter: W,
    ) -> Begin<W, A> {
        self.forget(now);
        if let Some(entry) = self.entries.get(key) {
            if entry.fingerprint != fingerprint {
                return Begin::OtherRequest;
            }
            return match &entry.state {
                State::Running(waiter) => Begin::Running(waiter.clone()),
                State::Answered { answer, .. } => Begin::Answered(answer.clone()),
                State::MayHaveRun => Begin::MayHaveRun,
            };
        }
        // Forgetting one early would let a repeat of it run again, so a full log refuses instead.
        if self.entries.len() >= self.options.max_entries {
            return Begin::Full;
        }
        self.by_expiry.insert((forget_at, key.clone()));
        self.entries.insert(
            key.clone(),
            Entry {
                fingerprint,
                forget_at,
                state: State::Running(waiter),
            },
        );
        Begin::Begun
    }

    /// `settle` notes how a request that had begun ended.
    pub fn settle(&mut self, key: &RunKey, settlement: Settlement<A>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        match settlement {
            Settlement::NotRun => self.remove(key),
            Settlement::MayHaveRun => entry.state = State::MayHaveRun,
            Settlement::Answered {
                answer,
                answer_bytes,
            } => {
                entry.state = State::Answered {
                    answer,
                    answer_bytes,
                };
                self.answers.push_back(key.clone());
                self.answer_bytes += answer_bytes;
                self.drop_old_answers();
            }
        }
    }

    /// `is_known` tells whether a request runs or may have run here.
    ///
    /// A claim is still being asked for in some that count as running; the caller of the other copy
    /// is then told "may have run", which is the safe side.
    pub fn is_known(&mut self, now: TimeMs, key: &RunKey) -> bool {
        self.forget(now);
        self.entries.contains_key(key)
    }

    /// `len` counts the requests remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// `is_empty` tells whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A running request is never forgotten: its end is still to be noted.
    fn forget(&mut self, now: TimeMs) {
        while let Some((forget_at, key)) = self.by_expiry.first().cloned() {
            if forget_at > now {
                return;
            }
            let entry = self.entries.get(&key);
            if entry.is_some_and(|entry| matches!(entry.state, State::Running(_))) {
                return;
            }
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &RunKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.by_expiry.remove(&(entry.forget_at, key.clone()));
        if let State::Answered { answer_bytes, .. } = entry.state {
            self.answer_bytes -= answer_bytes;
            self.answers.retain(|other| other != key);
        }
    }

    fn drop_old_answers(&mut self) {
        while self.answer_bytes > self.options.max_answer_bytes {
            let Some(key) = self.answers.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if let State::Answered { answer_bytes, .. } = &entry.state {
                self.answer_bytes -= answer_bytes;
                entry.state = State::MayHaveRun;
            }
        }
    }
}
