//! `ragwortwick table accept` and `revert-to`: put a reviewed table in force.

use std::collections::hash_map::RandomState;
use std::fmt::Write as _;
use std::hash::{BuildHasher, Hasher};
use std::path::Path;
use std::time::Duration;

use http::Method;
use ragwortwick_border::{
    AcceptedTable, FleetStatus, StoreAway, TableAccept, TableAcceptReply, TableConflict,
};
use ragwortwick_core::DurationMs;
use serde_json::json;

use super::{file, history, in_force, review};
use crate::arguments::Signature;
use crate::entry::{EntryHosts, encode, parse};
use crate::sheet::{Draft, Mistake};
use crate::shown::Shown;
use crate::{CliError, ExitClass};

/// Tries of one acceptance; they carry one nonce, so that it is applied once at most.
const TRIES: u32 = 3;

/// Longest pause between two tries, whatever the host asks for: somebody waits at the terminal.
const LONGEST_PAUSE_MS: DurationMs = DurationMs(2_000);

/// Asks whether the table has reached the other hosts; 8 s is the promise.
const IN_FORCE_ASKS: u32 = 32;

/// Pause between two of these asks.
const IN_FORCE_PAUSE: Duration = Duration::from_millis(250);

/// Most tables searched for an earlier one.
const SEARCHED: u32 = 200;

pub(super) async fn file(
    hosts: &EntryHosts,
    path: &Path,
    signature: Signature,
    is_quiet: bool,
) -> Result<Shown, CliError> {
    let draft = file::draft(path)?;
    put_in_force(hosts, path, draft, signature, is_quiet).await
}

pub(super) async fn revert(
    hosts: &EntryHosts,
    number: u64,
    signature: Signature,
    is_quiet: bool,
) -> Result<Shown, CliError> {
    let tables = history::fetch(hosts, SEARCHED).await?;
    let current = in_force(hosts).await?;
    let Some(earlier) = tables.into_iter().find(|table| table.number == number) else {
        return Err(CliError::new(
            ExitClass::NotFound,
            format!("table {number} is not among the last {SEARCHED} accepted ones"),
            "ragwortwick table history lists their numbers",
        ));
    };
    let draft = Draft {
        based_on_number: current.number,
        table: earlier.table,
        lines: Vec::new(),
    };
    let name = format!("table {number}");
    put_in_force(hosts, Path::new(&name), draft, signature, is_quiet).await
}

async fn put_in_force(
    hosts: &EntryHosts,
    path: &Path,
    draft: Draft,
    signature: Signature,
    is_quiet: bool,
) -> Result<Shown, CliError> {
    // A repeat must reach the host even though its own first try may be what is in force now.
    if signature.nonce.is_none() {
        let reviewed = review::fetch(hosts, &draft.table).await?;
        review::check(path, &draft, &reviewed)?;
        confirm(&signature, &review::show(&reviewed), is_quiet)?;
    }
    let accept = TableAccept {
        based_on_number: draft.based_on_number,
        nonce: signature.nonce.unwrap_or_else(fresh_nonce),
        accepted_by: signature.accepted_by,
        reason: signature.reason,
        table: draft.table.clone(),
    };
    match send(hosts, &accept).await? {
        TableAcceptReply::Accepted(accepted) => in_force_where(hosts, &accepted).await,
        TableAcceptReply::Conflict(conflict) => Err(lost_race(&conflict)),
        TableAcceptReply::Invalid(review) => {
            let mistakes: Vec<Mistake> = review.problems.iter().map(|p| draft.mistake(p)).collect();
            Err(file::mistaken(path, &mistakes))
        }
        TableAcceptReply::StoreAway(away) => Err(store_away(&away, &accept.nonce)),
    }
}

fn confirm(signature: &Signature, review: &str, is_quiet: bool) -> Result<(), CliError> {
    if signature.is_sure {
        return Ok(());
    }
    if is_quiet || !signature.can_ask {
        return Err(CliError::usage(
            "nobody can be asked here: review the table first and then give --yes",
        ));
    }
    eprint!("{review}\nput this in force? [y/N] ");
    let mut answer = String::new();
    // A terminal that is gone counts as no.
    let _ = std::io::stdin().read_line(&mut answer);
    if matches!(answer.trim(), "y" | "Y" | "yes") {
        Ok(())
    } else {
        Err(CliError::new(
            ExitClass::Failed,
            "not accepted: nothing was changed",
            "answer y to put the table in force",
        ))
    }
}

/// The standard library's hasher is seeded by the system at random, which is all a nonce needs.
fn fresh_nonce() -> String {
    let random = || RandomState::new().build_hasher().finish();
    format!("{:016x}{:016x}", random(), random())
}

/// The answer to a write that took effect can be lost; the same nonce makes a repeat find it.
async fn send(hosts: &EntryHosts, accept: &TableAccept) -> Result<TableAcceptReply, CliError> {
    let body = encode(accept)?;
    let mut tries = 1;
    loop {
        let reply = hosts
            .exchange(Method::POST, "/v1/table/accept", Some(body.clone()))
            .await?;
        if reply.status.as_u16() == 400 || reply.status.as_u16() == 413 {
            return crate::entry::decode(&reply);
        }
        let reply: TableAcceptReply = parse(&reply)?;
        match &reply {
            TableAcceptReply::StoreAway(away) if away.may_have_taken_effect && tries < TRIES => {
                tries += 1;
                tokio::time::sleep(away.retry_after_ms.min(LONGEST_PAUSE_MS).into()).await;
            }
            _ => return Ok(reply),
        }
    }
}

async fn in_force_where(hosts: &EntryHosts, accepted: &AcceptedTable) -> Result<Shown, CliError> {
    let mut fleet = FleetStatus {
        hosts: Vec::new(),
        unreachable: Vec::new(),
    };
    for _ in 0..IN_FORCE_ASKS {
        fleet = hosts.get("/v1/status").await?;
        if behind(&fleet, accepted.number) == 0 {
            break;
        }
        tokio::time::sleep(IN_FORCE_PAUSE).await;
    }
    let ahead = fleet.hosts.len() - behind(&fleet, accepted.number);
    let mut text = format!(
        "table {} is accepted and in force on {ahead} of {} entry hosts that answer\n",
        accepted.number,
        fleet.hosts.len()
    );
    for host in &fleet.unreachable {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{host} did not answer; it takes the table once it is back"
        );
    }
    let json = json!({
        "accepted": accepted,
        "in_force_on": ahead,
        "answering": fleet.hosts.len(),
        "unreachable": fleet.unreachable,
    });
    Shown::new(text, &json)
}

fn behind(fleet: &FleetStatus, number: u64) -> usize {
    let is_behind = |host: &&ragwortwick_border::HostStatus| host.table_number < number;
    fleet.hosts.iter().filter(is_behind).count()
}

fn lost_race(conflict: &TableConflict) -> CliError {
    let current = &conflict.current;
    let problem = format!(
        "someone else accepted first: table {} by {} ({}) changed:{}",
        current.number,
        current.accepted_by,
        current.reason,
        review::indented(&conflict.changes)
    );
    CliError::new(ExitClass::Conflict, problem, review::way_out()).with_details(json!(conflict))
}

fn store_away(away: &StoreAway, nonce: &str) -> CliError {
    let details = json!({"store_away": away, "nonce": nonce});
    let error = if away.may_have_taken_effect {
        CliError::new(
            ExitClass::StoreAway,
            "the store's answer was lost: the table may have been accepted",
            format!(
                "repeat the command with --nonce {nonce}: it is applied once, and you learn which"
            ),
        )
    } else {
        CliError::new(
            ExitClass::StoreAway,
            "the store is away: nothing was accepted, the table in force stays in force",
            "try again in a minute; ragwortwick status shows when the store is reachable",
        )
    };
    error.with_details(details)
}
