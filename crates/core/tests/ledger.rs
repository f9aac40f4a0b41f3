//! The ledger never reserves more tokens than the router holds.

use poplar_core::budget::ledger::Ledger;
use poplar_core::id::Name;

#[test]
fn an_uncovered_reservation_is_refused_and_a_settled_one_is_charged_exactly() {
    let budget: Name = "lighting".into();
    let mut ledger = Ledger::new();
    ledger.credit(&budget, 100);
    assert_eq!(ledger.reserve(&budget, 60), Ok(()));
    assert_eq!(ledger.reserve(&budget, 60).unwrap_err().missing, 20);
    ledger.settle(&budget, 60, 25);
    assert_eq!(ledger.holding("lighting").free(), 75);
    ledger.write_off(&budget, 0);
    assert_eq!(ledger.debit(&budget, 80), 75);
    assert_eq!(ledger.holding("lighting").free(), 0);
}
