//! Breadth-first search for a state that violates an invariant.

use std::cell::Cell;
use std::fmt::{self, Debug, Display};
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// Result of an exploration.
#[derive(Debug, Clone)]
pub struct Exploration {
    /// States whose successors were all visited.
    pub states: usize,
    /// The violation that is reached in the fewest steps.
    pub violation: Option<Violation>,
}

/// A violated invariant and the steps that lead to it.
#[derive(Debug, Clone)]
pub struct Violation {
    /// Text of the invariant.
    pub invariant: &'static str,
    /// Steps from the first state.
    pub steps: Vec<String>,
}

impl Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "invariant violated: {}", self.invariant)?;
        for (index, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:3}. {step}", index + 1)?;
        }
        Ok(())
    }
}

/// Visits every state that can be reached through `next`, until `violated` returns
/// an invariant.
pub fn explore<S, A>(
    start: S,
    next: impl Fn(&S) -> Vec<(A, S)>,
    violated: impl Fn(&S) -> Option<&'static str>,
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
        |state| violated(state).is_some(),
    );
    Exploration {
        states: states.get(),
        violation: path.map(|path| describe(&path, next, violated)),
    }
}

/// Names the steps along a path of states.
fn describe<S: Eq, A: Debug>(
    path: &[S],
    next: impl Fn(&S) -> Vec<(A, S)>,
    violated: impl Fn(&S) -> Option<&'static str>,
) -> Violation {
    let step = |pair: &[S]| {
        let mut all = next(&pair[0]).into_iter();
        let taken = all.find(|(_, state)| *state == pair[1]);
        taken.map_or_else(String::new, |(action, _)| format!("{action:?}"))
    };
    Violation {
        invariant: path.last().and_then(violated).unwrap_or("none"),
        steps: path.windows(2).map(step).collect(),
    }
}
