//! Breadth-first search for a state that breaks an invariant.

use std::cell::Cell;
use std::fmt::{self, Debug, Display};
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// What an exploration found.
#[derive(Debug, Clone)]
pub struct Exploration {
    /// States whose successors were all visited.
    pub states: usize,
    /// The shortest way to a broken invariant.
    pub violation: Option<Violation>,
}

/// A broken invariant and the steps that lead to it.
#[derive(Debug, Clone)]
pub struct Violation {
    /// What does not hold.
    pub invariant: &'static str,
    /// Steps from the start.
    pub steps: Vec<String>,
}

impl Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "broken: {}", self.invariant)?;
        for (at, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:3}. {step}", at + 1)?;
        }
        Ok(())
    }
}

/// Visits every state that `next` leads to until `broken` names an invariant.
pub fn explore<S, A>(
    start: S,
    next: impl Fn(&S) -> Vec<(A, S)>,
    broken: impl Fn(&S) -> Option<&'static str>,
) -> Exploration
where
    S: Clone + Eq + Hash,
    A: Debug,
{
    let states = Cell::new(0);
    let path = bfs(
        &start,
        |state| {
            states.set(states.get() + 1);
            next(state).into_iter().map(|(_, state)| state)
        },
        |state| broken(state).is_some(),
    );
    Exploration {
        states: states.get(),
        violation: path.map(|path| describe(&path, next, broken)),
    }
}

fn describe<S: Eq, A: Debug>(
    path: &[S],
    next: impl Fn(&S) -> Vec<(A, S)>,
    broken: impl Fn(&S) -> Option<&'static str>,
) -> Violation {
    let step = |pair: &[S]| {
        let mut all = next(&pair[0]).into_iter();
        let taken = all.find(|(_, state)| *state == pair[1]);
        taken.map_or_else(String::new, |(action, _)| format!("{action:?}"))
    };
    Violation {
        invariant: path.last().and_then(broken).unwrap_or("none"),
        steps: path.windows(2).map(step).collect(),
    }
}
