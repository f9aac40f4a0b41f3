//! Many routers and one table: all of them come back from a loss of power at
//! once, each with grants of its last life to release and holdings to draw.

use std::time::{Duration, Instant};

use poplar_core::quota::{
    self, Account, Allocation, BudgetTotal, Change, Demand, HolderRow, PlanInput, Settlement,
};

const ROUTERS: usize = 58;
const BUDGETS: usize = 24;
const PREPAID: u64 = 4_000_000;
/// One transaction at the table, one after the other, as the users' sites say.
const TRANSACTION: Duration = Duration::from_millis(3);
/// One way to the table.
const WAY: Duration = Duration::from_millis(2);
const PERIOD: Duration = Duration::from_millis(580);
const TRIES: u32 = 10;
/// `contact_ms` of the users' sites: after it, a host is in touch again.
const IN_TOUCH: Duration = Duration::from_secs(4);

struct Router {
    accounts: Vec<Account>,
    ended: Vec<Settlement>,
    known: Vec<(BudgetTotal, u64)>,
    step: Step,
    tries: u32,
    next: Instant,
}

/// What a router does next.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Step {
    Read,
    Write,
    /// Its write's turn comes at the table.
    Decided,
}

struct Table {
    totals: Vec<(BudgetTotal, u64)>,
    busy: Instant,
    random: u64,
}

impl Table {
    fn random(&mut self) -> f64 {
        self.random = self
            .random
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1);
        (self.random >> 33) as f64 / (1u64 << 31) as f64
    }
}

fn outlook(router: &Router, budget: usize) -> PlanInput {
    let demand = Demand {
        own: 100.0,
        fleet: 100.0 * ROUTERS as f64,
    };
    PlanInput {
        pool: PREPAID.saturating_sub(router.known[budget].0.granted),
        others_held: 0,
        routers: ROUTERS as u32,
        demand,
        total_demand: demand,
        typical_size: 2_000,
        stopping: false,
    }
}

/// How the routers deal with each other's writes.
struct Manners {
    /// Whether each try rests on a fresh reading.
    reads: bool,
    /// The longest wait after a conflict, by its number.
    back_off: fn(u32, f64) -> Duration,
}

/// One checkpoint of a router, as its writer makes them.
fn checkpoint(router: &mut Router, table: &mut Table, now: Instant, manners: &Manners) {
    if router.step == Step::Read {
        // The reading is of the moment at which the table is asked.
        router.known.clone_from(&table.totals);
        router.step = Step::Write;
        router.next = now + 2 * WAY;
        return;
    }
    if router.step == Step::Write {
        // In order of arrival, one after the other.
        table.busy = table.busy.max(now + WAY) + TRANSACTION;
        router.step = Step::Decided;
        router.next = table.busy;
        return;
    }
    let outlooks: Vec<PlanInput> = (0..BUDGETS).map(|at| outlook(router, at)).collect();
    let changes: Vec<Change> = (0..BUDGETS)
        .map(|at| quota::wanted_change(&router.accounts[at], &outlooks[at]))
        .collect();
    let wanted: Vec<Change> = (0..BUDGETS)
        .map(|at| Change {
            returned: changes[at].returned + router.ended[at].released,
            ..changes[at]
        })
        .collect();
    let chosen = quota::select_changes(&wanted, router.tries);
    let current = |at: &usize| table.totals[*at].1 == router.known[*at].1;
    if chosen.iter().all(current) {
        for at in 0..BUDGETS {
            let terms =
                quota::plan_allocation(&router.accounts[at], &outlooks[at], &changes[at], now);
            router.accounts[at].record_sent(terms, now);
            router.accounts[at].mark_confirmed(now);
        }
        for at in chosen {
            let (total, version) = &mut table.totals[at];
            total.settle(&std::mem::take(&mut router.ended[at]));
            total.granted = total.granted + changes[at].drawn - changes[at].returned;
            *version += 1;
            router.known[at] = table.totals[at];
        }
        router.tries = 0;
        router.next = now + WAY + PERIOD;
    } else {
        for at in &chosen {
            router.known[*at] = table.totals[*at];
        }
        let pause = (manners.back_off)(router.tries, table.random());
        router.tries += 1;
        router.next = now + WAY + pause;
        if router.tries == TRIES {
            router.tries = 0;
            router.next = now + WAY + PERIOD;
        }
    }
    router.step = if manners.reads {
        Step::Read
    } else {
        Step::Write
    };
}

/// Routers that have released all of their last lives' grants in time.
fn settled(manners: &Manners) -> usize {
    let start = Instant::now();
    let grant = PREPAID / ROUTERS as u64;
    let last = HolderRow {
        allocations: (0..BUDGETS)
            .map(|at| {
                let terms = Allocation {
                    granted: grant,
                    spent: grant / 4,
                    ..Allocation::default()
                };
                (format!("w{at:02}").into(), terms)
            })
            .collect(),
        ..HolderRow::default()
    };
    let ended = last.settlements(Duration::from_secs(2));
    let total = BudgetTotal {
        granted: grant * ROUTERS as u64,
        stranded: 0,
    };
    let mut table = Table {
        totals: vec![(total, 1); BUDGETS],
        busy: start,
        random: 7,
    };
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|at| Router {
            accounts: vec![Account::default(); BUDGETS],
            ended: ended.iter().map(|(_, bound)| *bound).collect(),
            known: table.totals.clone(),
            step: Step::Read,
            tries: 0,
            next: start + Duration::from_millis(at as u64),
        })
        .collect();
    loop {
        let router = routers.iter_mut().min_by_key(|r| r.next).unwrap();
        let now = router.next;
        if now > start + IN_TOUCH {
            break;
        }
        checkpoint(router, &mut table, now, manners);
    }
    let granted = table.totals.iter().map(|(total, _)| total.granted);
    assert!(
        granted.max().unwrap() <= PREPAID,
        "more taken than there is"
    );
    let done = routers
        .iter()
        .filter(|r| r.ended.iter().all(|b| *b == Settlement::default()));
    done.count()
}

/// Kept to show what the wait by the number of routers is for.
const HASTY: Manners = Manners {
    reads: false,
    back_off: |tries, random| quota::conflict_backoff(tries, 1, random),
};
const PATIENT: Manners = Manners {
    reads: true,
    back_off: |tries, random| quota::conflict_backoff(tries, ROUTERS as u32, random),
};

#[test]
fn everything_killed_releases_its_grants_before_it_is_in_touch_again() {
    let (hasty, patient) = (settled(&HASTY), settled(&PATIENT));
    assert!(hasty < ROUTERS, "{hasty} settled without patience");
    assert_eq!(patient, ROUTERS, "{hasty} settled without patience");
}

#[test]
fn a_rush_of_one_workspace_narrows_its_write_to_what_callers_wait_for() {
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
        // Nothing can be drawn for it now.
        change(1_000_000, 0, 0),
    ];
    assert_eq!(quota::select_changes(&wanted, 0), [0, 1, 2, 3]);
    assert_eq!(quota::select_changes(&wanted, 1), [1, 3]);
    assert_eq!(quota::select_changes(&wanted, 2), [3]);
    // Where nobody waits, all of it can wait for the next try.
    assert_eq!(quota::select_changes(&wanted[..1], 2), [0]);
}
