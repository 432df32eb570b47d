//! What was sent, answered and run, with the time since the start: the file `record.txt`, and the facts to check.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// One start of a subtask, as its runner saw it.
#[derive(Clone, Debug)]
pub struct Start {
    pub at_ms: u64,
    pub runner: String,
    pub task: String,
    pub run: u64,
}

/// One end of a subtask, as its runner listed it.
#[derive(Clone, Debug)]
pub struct End {
    pub at_ms: u64,
    pub runner: String,
    pub incarnation: u32,
    pub number: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    /// When `LastSeen` reached it.
    pub seen_at_ms: Option<u64>,
    /// Whether the runner's lease lapsed between the end and that.
    pub is_lapsed: bool,
}

#[derive(Debug)]
struct Facts {
    file: File,
    starts: Vec<Start>,
    ends: Vec<End>,
}

#[derive(Clone, Debug)]
pub struct Record {
    began: Instant,
    facts: Arc<Mutex<Facts>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let facts = Facts { file: File::create(path)?, starts: Vec::new(), ends: Vec::new() };
        Ok(Self { began: Instant::now(), facts: Arc::new(Mutex::new(facts)) })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn facts(&self) -> MutexGuard<'_, Facts> {
        self.facts.lock().unwrap()
    }

    fn write(&self, facts: &mut Facts, text: &str) {
        let now_ms = self.now_ms();
        let _ = writeln!(facts.file, "{:>3}.{:03} {text}", now_ms / 1_000, now_ms % 1_000);
    }

    pub fn line(&self, text: &str) {
        let mut facts = self.facts();
        self.write(&mut facts, text);
    }

    pub fn started(&self, runner: &str, _incarnation: u32, task: &str, run: u64) {
        let at_ms = self.now_ms();
        let mut facts = self.facts();
        self.write(&mut facts, &format!("runner {runner} starts {task} run {run}"));
        facts.starts.push(Start { at_ms, runner: runner.to_owned(), task: task.to_owned(), run });
    }

    pub fn ended(&self, runner: &str, incarnation: u32, number: u64, task: &str, run: u64, how: &'static str) {
        let at_ms = self.now_ms();
        let mut facts = self.facts();
        self.write(&mut facts, &format!("runner {runner} lists end {number}: {task} run {run} {how}"));
        facts.ends.push(End {
            at_ms,
            runner: runner.to_owned(),
            incarnation,
            number,
            task: task.to_owned(),
            run,
            how,
            seen_at_ms: None,
            is_lapsed: false,
        });
    }

    /// `LastSeen` of a call that a runner received.
    pub fn seen(&self, runner: &str, incarnation: u32, last_seen: u64) {
        let at_ms = self.now_ms();
        let mut facts = self.facts();
        let mut is_new = false;
        for end in &mut facts.ends {
            let is_listed = end.runner == runner && end.incarnation == incarnation && end.number <= last_seen;
            if is_listed && end.seen_at_ms.is_none() {
                end.seen_at_ms = Some(at_ms);
                is_new = true;
            }
        }
        if is_new {
            self.write(&mut facts, &format!("runner {runner} is told LastSeen {last_seen}"));
        }
    }

    pub fn lapsed(&self, runner: &str, incarnation: u32) {
        let mut facts = self.facts();
        self.write(&mut facts, &format!("the lease of runner {runner} lapses"));
        for end in &mut facts.ends {
            let is_open = end.runner == runner && end.incarnation == incarnation && end.seen_at_ms.is_none();
            end.is_lapsed |= is_open;
        }
    }

    pub fn starts(&self) -> Vec<Start> {
        self.facts().starts.clone()
    }

    pub fn ends(&self) -> Vec<End> {
        self.facts().ends.clone()
    }
}
