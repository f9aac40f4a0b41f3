//! The ledger never reserves more than it holds.

use poplar_core::budget::ledger::Ledger;
use poplar_core::id::Name;

#[test]
fn a_reservation_is_refused_when_short_and_settles_exactly() {
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
