//! Runs the whole path with embedded stand-ins and tells each step in plain words.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use ragwortwick_border::{JobPhase, RequestOutcome, TableAcceptReply};
use ragwortwick_standin::{
    Fleet, FleetOptions, LogEvent, sample_accept, sample_answer, sample_job, sample_request,
};

/// The demo ends within a minute, so that a step that hangs is seen as a failure.
const LIMIT: Duration = Duration::from_secs(50);

/// Pause between two looks at what the processes did.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

type Step = Result<String, String>;

#[tokio::main]
async fn main() -> ExitCode {
    let begun = Instant::now();
    let outcome = match tokio::time::timeout(LIMIT, run()).await {
        Ok(outcome) => outcome,
        Err(_) => Err(format!("not done within {} s", LIMIT.as_secs())),
    };
    match outcome {
        Ok(()) => {
            println!(
                "Every step held, in {:.1} s.",
                begun.elapsed().as_secs_f64()
            );
            ExitCode::SUCCESS
        }
        Err(problem) => {
            println!("FAILED: {problem}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    println!(
        "Starting a small platform: one store, 8 workers with 8 accelerators each, 4 runners,"
    );
    println!("and 3 entry hosts of two availability zones, each a process of its own.");
    let options = FleetOptions::two_zones(daemon_binary()?);
    let mut fleet = Fleet::open(options).await.map_err(|e| e.to_string())?;
    for daemon in &fleet.daemons {
        println!(
            "   {} of zone {} listens on {}",
            daemon.host(),
            daemon.zone(),
            daemon.address()
        );
    }
    tell("An operator accepts the first table", table(&fleet).await)?;
    tell(
        "A caller asks each entry host for a pass plan",
        requests(&fleet).await,
    )?;
    tell(
        "An order that must not run twice goes to two hosts",
        order(&fleet).await,
    )?;
    tell(
        "A customer hands in a gang job for two workers",
        gang(&fleet).await,
    )?;
    tell(
        "An entry host dies while a gang runs",
        kill(&mut fleet).await,
    )?;
    tell(
        "An entry host is stopped as planned under work",
        stop(&mut fleet).await,
    )?;
    fleet.close().await;
    println!("All processes have ended.");
    Ok(())
}

fn tell(what: &str, step: Step) -> Result<(), String> {
    match step {
        Ok(seen) => {
            println!("{what}:\n   {seen}");
            Ok(())
        }
        Err(problem) => Err(format!("{what}: {problem}")),
    }
}

/// The daemon is built into the folder above this example's own.
fn daemon_binary() -> Result<PathBuf, String> {
    let example = std::env::current_exe().map_err(|e| e.to_string())?;
    let folder = example.parent().and_then(|examples| examples.parent());
    let binary = folder.ok_or("no target folder")?.join("ragwortwickd");
    if !binary.exists() {
        return Err(format!(
            "build {} first, or run scripts/demo",
            binary.display()
        ));
    }
    Ok(binary)
}

async fn table(fleet: &Fleet) -> Step {
    let accept = sample_accept(fleet.zones());
    let reply = fleet.caller.accept_table(fleet.address(0), &accept).await;
    if !matches!(reply, Ok(TableAcceptReply::Accepted(_))) {
        return Err(format!("not accepted: {reply:?}"));
    }
    let accepted_at = Instant::now();
    for daemon in &fleet.daemons {
        while fleet.caller.table(daemon.address()).await.is_err() {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }
    let ms = accepted_at.elapsed().as_millis();
    Ok(format!(
        "it is in force on all three hosts {ms} ms after the acceptance"
    ))
}

async fn requests(fleet: &Fleet) -> Step {
    for index in 0..fleet.daemons.len() {
        let id = format!("pass-plan-{index}");
        let request = sample_request(&id, 20, true);
        let outcome = fleet.caller.request(fleet.address(index), &request).await;
        expect_whole_answer(&id, outcome.map_err(|e| e.to_string())?)?;
    }
    let bytes = sample_answer("pass-plan-0").len();
    Ok(format!(
        "each answer came back whole, {bytes} bytes, to the request it belongs to"
    ))
}

async fn order(fleet: &Fleet) -> Step {
    let request = sample_request("feed-order", 50, false);
    let (first, second) = tokio::join!(
        fleet.caller.request(fleet.address(0), &request),
        fleet.caller.request(fleet.address(1), &request),
    );
    let starts = fleet.runners.starts("feed-order");
    let is_answered = |outcome| matches!(outcome, &Ok(RequestOutcome::Answered(_)));
    if starts != 1 || !(is_answered(&first) || is_answered(&second)) {
        return Err(format!("it ran {starts} times: {first:?} {second:?}"));
    }
    let tell = |outcome: Result<RequestOutcome, _>| match outcome {
        Ok(RequestOutcome::Answered(_)) => "answered".to_owned(),
        Ok(RequestOutcome::Refused(refusal)) => format!("refused ({})", refusal.reason),
        Err(error) => format!("no outcome ({error})"),
    };
    Ok(format!(
        "the runners started it once; one host says {}, the other {}",
        tell(first),
        tell(second)
    ))
}

async fn gang(fleet: &Fleet) -> Step {
    let job = sample_job("ration-batch", 2, 500, true);
    let accepted = fleet.caller.job(fleet.address(1), &job).await;
    let accepted = accepted.map_err(|e| e.to_string())?;
    if fleet.record("ration-batch").is_none() {
        return Err("accepted, but not in the store".to_owned());
    }
    let reported = async || {
        let status = fleet.caller.job_status(fleet.address(2), &accepted.job_id);
        status.await.map(|status| status.record.phase)
    };
    while !matches!(reported().await, Ok(JobPhase::Finished)) {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    let starts = fleet.gang_events("ration-batch", LogEvent::Started).len();
    if starts != 2 {
        return Err(format!("{starts} of 2 members were started"));
    }
    Ok(format!(
        "accepted for zone {}, both members started, ran and finished; another host reports it",
        accepted.zone
    ))
}

async fn kill(fleet: &mut Fleet) -> Step {
    let job = sample_job("long-batch", 2, 4_000, true);
    let accepted = fleet.caller.job(fleet.address(0), &job).await;
    let accepted = accepted.map_err(|e| e.to_string())?;
    while fleet.gang_events("long-batch", LogEvent::Started).len() < 2 {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    fleet.daemons[0].kill().map_err(|e| e.to_string())?;
    let id = "after-the-kill";
    let request = sample_request(id, 20, true);
    let outcome = fleet.caller.request(fleet.address(1), &request).await;
    expect_whole_answer(id, outcome.map_err(|e| e.to_string())?)?;
    while fleet
        .record("long-batch")
        .is_none_or(|r| r.phase != JobPhase::Finished)
    {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    let starts = fleet.gang_events("long-batch", LogEvent::Started).len();
    if starts != 2 {
        return Err(format!("members were started {starts} times instead of 2"));
    }
    Ok(format!(
        "callers of the others are served, the gang in zone {} ran on and finished, started once",
        accepted.zone
    ))
}

async fn stop(fleet: &mut Fleet) -> Step {
    let request = sample_request("during-the-stop", 1_000, false);
    let address = fleet.address(1).to_owned();
    let caller = fleet.caller.clone();
    let running = tokio::spawn(async move { caller.request(&address, &request).await });
    while fleet.runners.starts("during-the-stop") == 0 {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    fleet.daemons[1].terminate().map_err(|e| e.to_string())?;
    let outcome = running.await.map_err(|e| e.to_string())?;
    expect_whole_answer("during-the-stop", outcome.map_err(|e| e.to_string())?)?;
    let status = fleet.daemons[1].wait().await.map_err(|e| e.to_string())?;
    match status {
        Some(status) if status.success() => {
            Ok("the running request got its whole answer, then the host ended with 0".to_owned())
        }
        other => Err(format!("it ended with {other:?}")),
    }
}

fn expect_whole_answer(id: &str, outcome: RequestOutcome) -> Result<(), String> {
    match outcome {
        RequestOutcome::Answered(answer)
            if answer.request_id.as_str() == id && answer.answer == sample_answer(id) =>
        {
            Ok(())
        }
        other => Err(format!("request {id} got {other:?}")),
    }
}
