//! Tokens of one router's holding that are reserved for requests at others.
//!
//! The lender reserves the most that a request can consume before it says so, and
//! counts that as spent until the borrower says how much was used. A message may be
//! lost, repeated or late: each lease has a number that the borrower never uses
//! again, so that a repeated request finds the lease that it opened, and one that
//! arrives after the lease was settled opens none. If the borrower does not settle a
//! lease in time, everything counts as used. What a request has consumed is
//! therefore never more than what its lender counts.
//!
//! A lender that stops as planned grants no lease and waits for those that are open. It
//! leaves a list of the rest to its successor, which settles them.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use crate::sorted::SortedVec;

/// Time after which a lease that was not settled counts as used: longer than any
/// request, its retries and the messages about it.
const LEASE_TIME: Duration = Duration::from_secs(90);
/// Time for which a settled lease is remembered: longer than a repeated message may
/// be on its way.
const MEMORY_TIME: Duration = Duration::from_secs(30);
/// Most leases, open and remembered ones, about 100 bytes each.
const MAX_LEASES: usize = 8192;

/// Identifies a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId {
    /// The borrower.
    pub router: IpAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Counts its leases.
    pub number: u64,
}

#[derive(Debug)]
enum Lease<T> {
    /// The lender has not decided yet.
    Pending,
    /// It holds what was reserved.
    Open(T),
    /// It was settled or refused.
    Closed,
}

/// What becomes of a request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Begin {
    /// It is new; the lender decides.
    New,
    /// The lender decides already.
    Pending,
    /// It was granted.
    Granted,
    /// It was settled or refused before, or there are too many leases.
    Refused,
}

/// The leases of one lender; `T` is a reservation, which ends when it is dropped.
#[derive(Debug)]
pub struct Leases<T> {
    leases: SortedVec<LeaseId, (Lease<T>, Instant)>,
    /// Whether the lender has ended, and its successor settles what is open.
    ended: bool,
}

impl<T> Default for Leases<T> {
    fn default() -> Self {
        Self {
            leases: SortedVec::new(),
            ended: false,
        }
    }
}

impl<T> Leases<T> {
    /// Begins to decide on a lease.
    pub fn begin(&mut self, id: LeaseId, now: Instant) -> Begin {
        if let Some((lease, _)) = self.leases.get(&id) {
            return match lease {
                Lease::Pending => Begin::Pending,
                Lease::Open(_) => Begin::Granted,
                Lease::Closed => Begin::Refused,
            };
        }
        if self.leases.len() >= MAX_LEASES {
            return Begin::Refused;
        }
        self.leases.insert(id, (Lease::Pending, now + LEASE_TIME));
        Begin::New
    }

    /// Grants a lease. Returns the reservation if the borrower no longer wants it.
    #[must_use]
    pub fn grant(&mut self, id: LeaseId, reserved: T, now: Instant) -> Option<T> {
        match self.leases.get_mut(&id) {
            Some((lease @ Lease::Pending, until)) => {
                *lease = Lease::Open(reserved);
                *until = now + LEASE_TIME;
                None
            }
            _ => Some(reserved),
        }
    }

    /// Takes over a lease that the previous process granted.
    pub fn inherit(&mut self, id: LeaseId, reserved: T, now: Instant) {
        self.leases
            .insert(id, (Lease::Open(reserved), now + LEASE_TIME));
    }

    /// Refuses a lease. The borrower may ask again, with another number.
    pub fn refuse(&mut self, id: LeaseId, now: Instant) {
        self.close(id, now);
    }

    /// Ends a lease at the borrower's word. Returns the reservation if it was open.
    pub fn settle(&mut self, id: LeaseId, now: Instant) -> Option<T> {
        self.close(id, now)
    }

    fn close(&mut self, id: LeaseId, now: Instant) -> Option<T> {
        if !self.leases.contains(&id) && self.leases.len() >= MAX_LEASES {
            return None;
        }
        // An unknown lease is remembered too: the request for it may still arrive.
        let closed = (Lease::Closed, now + MEMORY_TIME);
        match self.leases.insert(id, closed)?.0 {
            Lease::Open(reserved) => Some(reserved),
            Lease::Pending | Lease::Closed => None,
        }
    }

    /// Ends the lender: the leases that are open now are left to its successor.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Whether the lender has ended.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Forgets settled leases, and returns reservations that were not settled in
    /// time.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        self.leases.retain(|_, (lease, until)| {
            if now < *until {
                return true;
            }
            if let Lease::Open(reserved) = std::mem::replace(lease, Lease::Closed) {
                expired.push(reserved);
                *until = now + MEMORY_TIME;
                return true;
            }
            false
        });
        expired
    }

    /// The open leases and what each of them reserves.
    pub fn open(&self) -> impl Iterator<Item = (LeaseId, &T)> {
        self.leases
            .iter()
            .filter_map(|(id, (lease, _))| match lease {
                Lease::Open(reserved) => Some((*id, reserved)),
                Lease::Pending | Lease::Closed => None,
            })
    }

    /// Number of open leases.
    pub fn open_count(&self) -> usize {
        self.open().count()
    }
}
