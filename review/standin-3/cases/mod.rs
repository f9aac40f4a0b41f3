//! The cases. Each returns whether the rule held.

mod brittle;
mod crowd;
mod deadly_part;
mod long_body;
mod long_ids;
mod no_counts;
mod stalled_crowd;

use std::io;

use crate::record::Record;

/// Runs a case.
pub fn run(name: &str, record: Record, trouble: bool) -> io::Result<bool> {
    match name {
        "brittle" => brittle::run(record, trouble),
        "crowd" => crowd::run(record, trouble),
        "long-ids" => long_ids::run(record, trouble),
        "no-counts" => no_counts::run(record, trouble, no_counts::WITHOUT_COUNTS),
        "no-limit" => no_counts::run(record, trouble, no_counts::WITHOUT_LIMIT),
        "stalled-crowd" => stalled_crowd::run(record, trouble),
        "long-body" => long_body::run(record, trouble),
        "deadly-part-burst" => deadly_part::run(record, trouble, deadly_part::Kind::Burst),
        "deadly-part-far" => deadly_part::run(record, trouble, deadly_part::Kind::Far),
        "deadly-part-moved" => deadly_part::run(record, trouble, deadly_part::Kind::Moved),
        _ => Err(io::Error::other("no such case")),
    }
}
