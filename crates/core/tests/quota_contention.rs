//! Contention for one table: all routers restart after a power failure at once.
//! Each has to release the allocations of its last incarnation and draw new ones,
//! and must succeed although the writes of all routers conflict.

use std::time::{Duration, Instant};

use poplar_core::quota::{
    self, Account, Allocation, BudgetTotal, Change, Demand, HolderRow, PlanInput, Settlement,
};

const ROUTERS: usize = 58;
const BUDGETS: usize = 24;
const PREPAID: u64 = 4_000_000;
/// Duration of one transaction at the table; they run one after the other.
const TRANSACTION: Duration = Duration::from_millis(3);
/// Network delay to the table, one way.
const ONE_WAY: Duration = Duration::from_millis(2);
/// Time between two checkpoints of a router.
const PERIOD: Duration = Duration::from_millis(580);
/// Attempts of one checkpoint before it is left to the next.
const MAX_TRIES: u32 = 10;
/// Time after which a host counts as connected again (`contact_ms` of the
/// sites).
const CONTACT_TIME: Duration = Duration::from_secs(4);

struct Router {
    accounts: Vec<Account>,
    unsettled: Vec<Settlement>,
    /// Totals as this router read them last, with their versions.
    known: Vec<(BudgetTotal, u64)>,
    step: Step,
    tries: u32,
    next: Instant,
}

/// Next step of a router.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    Read,
    Write,
    /// The table executes the router's write.
    Commit,
}

struct Table {
    totals: Vec<(BudgetTotal, u64)>,
    /// When the table has finished all writes so far.
    busy_until: Instant,
    rng: u64,
}

impl Table {
    fn random(&mut self) -> f64 {
        self.rng = self.rng.wrapping_mul(6364136223846793005).wrapping_add(1);
        (self.rng >> 33) as f64 / (1u64 << 31) as f64
    }
}

fn input(router: &Router, budget: usize) -> PlanInput {
    let demand = Demand {
        own: 100.0,
        fleet: 100.0 * ROUTERS as f64,
    };
    PlanInput {
        pool: PREPAID.saturating_sub(router.known[budget].0.granted),
        others_held: 0,
        routers: ROUTERS as u32,
        holders: ROUTERS as u32,
        is_holder: true,
        demand,
        total_demand: demand,
        typical_size: 2_000,
        stopping: false,
    }
}

/// How routers retry after a conflict.
struct RetryPolicy {
    /// Whether each attempt reads the totals anew.
    rereads: bool,
    /// Wait after a conflict, given its number and a random draw.
    backoff: fn(u32, f64) -> Duration,
}

/// Performs the next step of a router's checkpoint.
fn checkpoint(router: &mut Router, table: &mut Table, now: Instant, policy: &RetryPolicy) {
    if router.step == Step::Read {
        // The router sees the state at the moment of the request.
        router.known.clone_from(&table.totals);
        router.step = Step::Write;
        router.next = now + 2 * ONE_WAY;
        return;
    }
    if router.step == Step::Write {
        // Writes are executed one at a time, in order of arrival.
        table.busy_until = table.busy_until.max(now + ONE_WAY) + TRANSACTION;
        router.step = Step::Commit;
        router.next = table.busy_until;
        return;
    }
    let inputs: Vec<PlanInput> = (0..BUDGETS).map(|at| input(router, at)).collect();
    let changes: Vec<Change> = (0..BUDGETS)
        .map(|at| quota::wanted_change(&router.accounts[at], &inputs[at]))
        .collect();
    let wanted: Vec<Change> = (0..BUDGETS)
        .map(|at| Change {
            returned: changes[at].returned + router.unsettled[at].released,
            ..changes[at]
        })
        .collect();
    let chosen = quota::select_changes(&wanted, router.tries);
    let current = |at: &usize| table.totals[*at].1 == router.known[*at].1;
    if chosen.iter().all(current) {
        for at in 0..BUDGETS {
            let allocation =
                quota::plan_allocation(&router.accounts[at], &inputs[at], &changes[at], now);
            router.accounts[at].record_sent(allocation, now);
            router.accounts[at].mark_confirmed(now);
        }
        for at in chosen {
            let (total, version) = &mut table.totals[at];
            total.settle(&std::mem::take(&mut router.unsettled[at]));
            total.granted = total.granted + changes[at].drawn - changes[at].returned;
            *version += 1;
            router.known[at] = table.totals[at];
        }
        router.tries = 0;
        router.next = now + ONE_WAY + PERIOD;
    } else {
        for at in &chosen {
            router.known[*at] = table.totals[*at];
        }
        let pause = (policy.backoff)(router.tries, table.random());
        router.tries += 1;
        router.next = now + ONE_WAY + pause;
        if router.tries == MAX_TRIES {
            router.tries = 0;
            router.next = now + ONE_WAY + PERIOD;
        }
    }
    router.step = if policy.rereads {
        Step::Read
    } else {
        Step::Write
    };
}

/// Number of routers that settle all their earlier allocations in time.
fn settled_routers(policy: &RetryPolicy) -> usize {
    let start = Instant::now();
    let grant = PREPAID / ROUTERS as u64;
    let last = HolderRow {
        allocations: (0..BUDGETS)
            .map(|at| {
                let allocation = Allocation {
                    granted: grant,
                    spent: grant / 4,
                    ..Allocation::default()
                };
                (format!("w{at:02}").into(), allocation)
            })
            .collect(),
        ..HolderRow::default()
    };
    let unsettled = last.settlements(Duration::from_secs(2));
    let total = BudgetTotal {
        granted: grant * ROUTERS as u64,
        stranded: 0,
    };
    let mut table = Table {
        totals: vec![(total, 1); BUDGETS],
        busy_until: start,
        rng: 7,
    };
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|at| Router {
            accounts: vec![Account::default(); BUDGETS],
            unsettled: unsettled
                .iter()
                .map(|(_, settlement)| *settlement)
                .collect(),
            known: table.totals.clone(),
            step: Step::Read,
            tries: 0,
            next: start + Duration::from_millis(at as u64),
        })
        .collect();
    loop {
        let router = routers.iter_mut().min_by_key(|r| r.next).unwrap();
        let now = router.next;
        if now > start + CONTACT_TIME {
            break;
        }
        checkpoint(router, &mut table, now, policy);
    }
    let granted = table.totals.iter().map(|(total, _)| total.granted);
    assert!(
        granted.max().unwrap() <= PREPAID,
        "more tokens granted than the budget has"
    );
    let settled = routers
        .iter()
        .filter(|r| r.unsettled.iter().all(|s| *s == Settlement::default()));
    settled.count()
}

/// The policy of a small fleet. It shows that the backoff has to grow with the
/// number of routers.
const SMALL_FLEET: RetryPolicy = RetryPolicy {
    rereads: false,
    backoff: |tries, random| quota::conflict_backoff(tries, 1, random),
};
/// The policy of a fleet of this size.
const LARGE_FLEET: RetryPolicy = RetryPolicy {
    rereads: true,
    backoff: |tries, random| quota::conflict_backoff(tries, ROUTERS as u32, random),
};

#[test]
fn all_routers_settle_earlier_allocations_in_time_after_a_power_failure() {
    let (small, large) = (settled_routers(&SMALL_FLEET), settled_routers(&LARGE_FLEET));
    assert!(
        small < ROUTERS,
        "{small} settled with the small fleet's policy"
    );
    assert_eq!(
        large, ROUTERS,
        "{small} settled with the small fleet's policy"
    );
}

#[test]
fn conflicts_narrow_the_write_to_what_requests_wait_for() {
    let change = |need, drawn, returned| Change {
        need,
        drawn,
        returned,
    };
    let wanted = [
        change(0, 90_000, 0),
        change(7_000, 9_000, 0),
        change(0, 0, 50_000),
        change(300_000, 400_000, 0),
        change(0, 0, 0),
        // The pool is empty, so nothing can be drawn for it.
        change(1_000_000, 0, 0),
    ];
    assert_eq!(quota::select_changes(&wanted, 0), [0, 1, 2, 3]);
    assert_eq!(quota::select_changes(&wanted, 1), [1, 3]);
    assert_eq!(quota::select_changes(&wanted, 2), [3]);
    // Without waiting requests, the number of changes is not reduced.
    assert_eq!(quota::select_changes(&wanted[..1], 2), [0]);
}
