//! Ends that a worker lists after its runs were given up.

mod rig;

use ragwortwick_area::{EndKind, Event, JobPhase, StepSpec, TaskId};
use ragwortwick_core::{JobId, WorkerName};
use rig::{Rig, ended, gang, job, step, worker};

const ID: &str = "00000000000000b7";

/// A run that its coordinator gave up for want of any answer.
struct GivenUp {
    rig: Rig,
    starts: Vec<(WorkerName, TaskId, u32)>,
}

impl GivenUp {
    /// Lets all workers but the last be out of reach until their runs are given up.
    fn play(workers: &[&str], spec: StepSpec) -> Self {
        Self::play_steps(workers, vec![spec])
    }

    fn play_steps(workers: &[&str], steps: Vec<StepSpec>) -> Self {
        let entries: Vec<_> = workers.iter().map(|name| worker(name, "r1")).collect();
        let mut rig = Rig::new(&entries[..1]);
        rig.send(Event::JobAccepted(job(ID, "middle", steps)));
        let starts = rig.start_all();
        assert!(!starts.is_empty());
        for _ in 0..15 {
            rig.poll_fails(&starts[0].0);
            rig.advance(1_000);
        }
        for entry in &entries[1..] {
            rig.send(Event::WorkerUpdated(entry.clone()));
        }
        rig.advance(20);
        Self { rig, starts }
    }

    /// The first worker is back in reach, and lists that its runs had done their work.
    fn list_ends(&mut self) {
        let ends = (1..).zip(&self.starts);
        let ends = ends.map(|(number, start)| ended(number, start, EndKind::Done));
        let ends = ends.collect();
        self.rig.poll_reply(self.starts[0].0.as_str(), vec![], ends);
    }

    fn phase(&self) -> Option<JobPhase> {
        self.rig.coordinator.phase(&JobId::new(ID))
    }
}

/// A task that waits again has done its work on a worker that was out of reach: it must not be done twice.
#[test]
fn verify_an_end_that_is_listed_late_counts_while_its_task_waits() {
    for spec in [step(2, 4), gang(2, 4)] {
        let mut play = GivenUp::play(&["w1"], spec);
        play.list_ends();
        play.rig.advance(100);
        play.rig.store_batches();
        assert_eq!(play.rig.starts(), vec![]);
        assert_eq!(play.phase(), Some(JobPhase::Completed));
    }
}

/// A start that waits for its record is withdrawn when the end of an earlier run is listed.
#[test]
fn verify_an_end_that_is_listed_late_withdraws_a_start_that_was_not_sent() {
    for spec in [step(2, 4), gang(2, 4)] {
        let mut play = GivenUp::play(&["w1", "w2"], spec);
        play.list_ends();
        play.rig.store_batches();
        play.rig.advance(100);
        play.rig.store_batches();
        assert_eq!(play.rig.starts(), vec![]);
        assert_eq!(play.phase(), Some(JobPhase::Completed));
    }
}

/// What was started again for a task that is done would do its work a second time.
#[test]
fn verify_an_end_that_is_listed_late_stops_what_was_started_again() {
    for spec in [step(2, 4), gang(2, 4)] {
        let mut play = GivenUp::play(&["w1", "w2"], spec);
        assert_eq!(play.rig.start_all().len(), 2);
        play.list_ends();
        play.rig.advance(100);
        assert_eq!(play.rig.stops().len(), 2);
        play.rig.store_batches();
        assert_eq!(play.phase(), Some(JobPhase::Completed));
        assert_eq!(play.rig.start_all(), vec![]);
    }
}

/// What has to last is started again however it ends.
#[test]
fn verify_a_late_end_of_a_lasting_task_stops_nothing() {
    let spec = StepSpec {
        is_long_running: true,
        ..step(1, 4)
    };
    let mut play = GivenUp::play(&["w1", "w2"], spec);
    assert_eq!(play.rig.start_all().len(), 1);
    play.list_ends();
    play.rig.advance(100);
    assert_eq!(play.rig.stops(), vec![]);
    assert_eq!(play.phase(), Some(JobPhase::Running));
}

/// An end that is listed once more would store its job again, and stop what runs of its gang.
#[test]
fn verify_an_end_that_is_known_stores_and_stops_nothing() {
    let second = StepSpec {
        after: vec![0],
        ..step(1, 8)
    };
    let mut play = GivenUp::play_steps(&["w1", "w2"], vec![gang(2, 4), second]);
    play.list_ends();
    assert_eq!(play.rig.start_all().len(), 1, "the next step begins");
    play.rig.store_batches();
    let ends = (11..).zip(&play.starts);
    let ends = ends.map(|(number, start)| ended(number, start, EndKind::Done));
    let ends = ends.collect();
    play.rig.stops();
    play.rig.poll_reply("w1", vec![], ends);
    play.rig.advance(100);
    assert!(play.rig.batches().is_empty());
    assert_eq!(play.rig.stops(), vec![]);
}
