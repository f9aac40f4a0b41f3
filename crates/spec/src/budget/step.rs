//! Transitions of the budget model: every step that is possible in a state.

mod change;
mod lifecycle;
mod spend;
mod transfer;

use std::sync::Arc;

use super::{Context, Fault, INCARNATIONS, Process, World};

/// A step of the model. Traces print the variant names.
///
/// The first number is the incarnation that acts unless stated otherwise.
#[derive(Debug, Clone, Copy)]
#[expect(
    dead_code,
    reason = "The fields are read by Debug in traces of violated invariants."
)]
pub(super) enum Step {
    /// An incarnation starts.
    Start(usize),
    /// A router begins to draw tokens from the budget.
    Draw(usize),
    /// A donor begins to record a transfer in the table.
    Record(usize),
    /// A stopping router begins to close its grant.
    Close(usize),
    /// A router commits its change of the grant.
    Commit(usize, CommitOutcome),
    /// A router reads the rows after a lost answer.
    Read(usize),
    /// A delayed commit takes effect; the number is its place among these.
    Land(usize),
    /// A router reserves the worst case of a request, given second.
    Reserve(usize, usize),
    /// A request, given first, is settled with the tokens that it used.
    Settle(usize, u64),
    /// The reservation of a request is written off.
    WriteOff(usize),
    /// A router writes its bills.
    Flush(usize, CommitOutcome),
    /// A router reads its own row after the answer to a bill write was lost.
    ReadFlush(usize),
    /// A router requests a transfer from a donor, given second.
    Ask(usize, usize),
    /// A message is delivered; the number is its place among the messages.
    Deliver(usize),
    /// A message is delivered and will be delivered again.
    Double(usize),
    /// A planned stop begins.
    Stop(usize),
    /// A router crashes.
    Crash(usize),
    /// An incarnation is sealed.
    Seal(usize),
    /// Tokens of an ended incarnation go back to the budget.
    Release(usize),
    /// A peer writes the late bill of a request.
    Late(usize),
    /// The operator sends the top-up.
    TopUp,
}

/// How the table processes a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CommitOutcome {
    /// The commit is processed at once and answered.
    Answered,
    /// The commit is processed at once, but its answer is lost.
    AnswerLost,
    /// The commit may take effect later or never; there is no answer.
    Delayed,
}

const COMMIT_OUTCOMES: [CommitOutcome; 3] = [
    CommitOutcome::Answered,
    CommitOutcome::AnswerLost,
    CommitOutcome::Delayed,
];

/// Possible next steps with the states that they lead to.
type Successors = Vec<(Step, World)>;

/// Every step that is possible in `world`, with the state after it.
pub(super) fn next(world: &World, cx: Context) -> Successors {
    let mut successors = Vec::new();
    for index in 0..INCARNATIONS {
        start(world, index, cx, &mut successors);
        change::steps(world, index, cx, &mut successors);
        spend::steps(world, index, cx, &mut successors);
        transfer::requests(world, index, &mut successors);
        lifecycle::steps(world, index, cx, &mut successors);
    }
    change::delayed_writes(world, cx, &mut successors);
    transfer::deliveries(world, cx, &mut successors);
    lifecycle::late_bills(world, cx, &mut successors);
    lifecycle::top_up(world, cx, &mut successors);
    for (_, world) in &mut successors {
        normalise(world, cx);
    }
    successors
}

/// Starts an incarnation that does not run yet.
fn start(world: &World, index: usize, cx: Context, successors: &mut Successors) {
    if cx.bounds.restart && world.processes[index] == Process::NotStarted {
        let mut next = world.clone();
        next.processes[index] = Process::Running(Arc::default());
        successors.push((Step::Start(index), next));
    }
}

/// Normalises a state, so that equal states compare equal: delayed commits that
/// can no longer take effect are dropped and lists are sorted.
fn normalise(world: &mut World, cx: Context) {
    let table = &world.table;
    world
        .delayed
        .retain(|delayed| table.can_apply(delayed) || unchecked(delayed, cx));
    world.delayed.sort();
    world.messages.sort();
}

/// Whether the fault lets a delayed commit take effect on changed rows.
fn unchecked(delayed: &super::table::Delayed, cx: Context) -> bool {
    match delayed {
        super::table::Delayed::Change(..) => cx.has(Fault::UncheckedDraw),
        super::table::Delayed::Bills(..) => cx.has(Fault::UncheckedBill),
    }
}
