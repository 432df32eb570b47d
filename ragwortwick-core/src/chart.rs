//! State charts that are parsed from JSON files and interpreted at run time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Deserialize;

use crate::{Error, Result};

/// `ChartSymbol` is implemented by an enum of the states, events, guards or actions of a chart file.
pub trait ChartSymbol: Copy + Eq + Ord + fmt::Debug + 'static {
    /// All members of the enum, each with its name in the file.
    const ALL: &'static [(&'static str, Self)];

    /// `from_name` returns the member with the given name.
    fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, symbol)| *symbol)
    }

    /// `name` returns the name of the member in the file.
    fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(_, symbol)| *symbol == self)
            .map_or("?", |(name, _)| name)
    }
}

/// `Transition` is the next state and the actions that a chart gives for one event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition<'a, S, A> {
    /// State after the event.
    pub next: S,
    /// Actions to take, in order.
    pub actions: &'a [A],
}

/// `StateChart` is a validated state chart over states `S`, events `E`, guards `G` and actions `A`.
#[derive(Clone, Debug)]
pub struct StateChart<S, E, G, A> {
    initial: S,
    finals: BTreeSet<S>,
    rows: Rows<S, E, G, A>,
}

type Rows<S, E, G, A> = BTreeMap<(S, E), Vec<Row<S, G, A>>>;

#[derive(Clone, Debug)]
struct Row<S, G, A> {
    guard: Option<G>,
    next: S,
    actions: Vec<A>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    name: String,
    #[serde(rename = "doc")]
    _doc: String,
    initial: String,
    #[serde(rename = "final")]
    finals: Vec<String>,
    transitions: Vec<RowFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RowFile {
    from: String,
    on: String,
    #[serde(default, rename = "if")]
    guard: Option<String>,
    to: String,
    #[serde(default, rename = "do")]
    actions: Vec<String>,
}

impl<S: ChartSymbol, E: ChartSymbol, G: ChartSymbol, A: ChartSymbol> StateChart<S, E, G, A> {
    /// `parse` parses and validates a chart file.
    ///
    /// # Errors
    ///
    /// Fails on malformed JSON, unknown names, unreachable states, and states that are not final and have
    /// no outgoing transition.
    pub fn parse(text: &str) -> Result<Self> {
        let file: ChartFile =
            serde_json::from_str(text).map_err(|e| Error::chart("?", e.to_string()))?;
        let initial = symbol::<S>(&file.name, "state", &file.initial)?;
        let finals = file
            .finals
            .iter()
            .map(|name| symbol::<S>(&file.name, "state", name))
            .collect::<Result<BTreeSet<S>>>()?;
        let mut rows = Rows::new();
        for row in &file.transitions {
            let from = symbol::<S>(&file.name, "state", &row.from)?;
            let on = symbol::<E>(&file.name, "event", &row.on)?;
            let guard = row
                .guard
                .as_ref()
                .map(|g| symbol::<G>(&file.name, "guard", g))
                .transpose()?;
            let next = symbol::<S>(&file.name, "state", &row.to)?;
            let actions = row
                .actions
                .iter()
                .map(|a| symbol::<A>(&file.name, "action", a))
                .collect::<Result<Vec<A>>>()?;
            rows.entry((from, on)).or_default().push(Row {
                guard,
                next,
                actions,
            });
        }
        let chart = Self {
            initial,
            finals,
            rows,
        };
        chart.validate(&file.name)?;
        Ok(chart)
    }

    /// `initial` returns the state in which a new instance starts.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// `is_final` reports whether the state is final.
    #[must_use]
    pub fn is_final(&self, state: S) -> bool {
        self.finals.contains(&state)
    }

    /// `transition` returns the first transition for the event whose guard holds, or `None` if the event is
    /// ignored.
    pub fn transition(
        &self,
        state: S,
        event: E,
        holds: impl Fn(G) -> bool,
    ) -> Option<Transition<'_, S, A>> {
        let rows = self.rows.get(&(state, event))?;
        let row = rows.iter().find(|row| row.guard.is_none_or(&holds))?;
        Some(Transition {
            next: row.next,
            actions: &row.actions,
        })
    }

    fn validate(&self, name: &str) -> Result<()> {
        let mut reached = BTreeSet::from([self.initial]);
        loop {
            let before = reached.len();
            for ((from, _), rows) in &self.rows {
                if reached.contains(from) {
                    reached.extend(rows.iter().map(|row| row.next));
                }
            }
            if reached.len() == before {
                break;
            }
        }
        for (state_name, state) in S::ALL {
            if !reached.contains(state) {
                return Err(Error::chart(
                    name,
                    format!("state {state_name} is unreachable"),
                ));
            }
            let has_outgoing = self.rows.keys().any(|(from, _)| from == state);
            if !has_outgoing && !self.finals.contains(state) {
                return Err(Error::chart(
                    name,
                    format!("state {state_name} has no outgoing transition"),
                ));
            }
        }
        Ok(())
    }
}

fn symbol<T: ChartSymbol>(chart: &str, kind: &str, name: &str) -> Result<T> {
    T::from_name(name).ok_or_else(|| Error::chart(chart, format!("unknown {kind} {name}")))
}
