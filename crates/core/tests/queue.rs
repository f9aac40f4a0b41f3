//! The request queue: priorities, fairness between workspaces and deadlines.

use std::time::{Duration, Instant};

use poplar_core::queue::{Entry, PushError, Queue, Reason, priority_for_target};

const MS: Duration = Duration::from_millis(1);

fn entry(id: u64, workspace: &str, priority: u8, now: Instant) -> Entry {
    Entry {
        id,
        workspace: workspace.into(),
        priority,
        cost: 100,
        queued_at: now,
        send_by: now + MS * 1000,
    }
}

fn pop(queue: &mut Queue, now: Instant) -> Option<u64> {
    queue.pop(now, |_| true).map(|p| p.entry.id)
}

#[test]
fn the_more_urgent_class_goes_first() {
    let now = Instant::now();
    let mut queue = Queue::new(100);
    queue.push(entry(1, "club", 7, now)).unwrap();
    queue.push(entry(2, "pen", 0, now)).unwrap();
    assert_eq!(pop(&mut queue, now), Some(2));
    assert_eq!(pop(&mut queue, now), Some(1));
    assert_eq!(pop(&mut queue, now), None);
}

#[test]
fn a_burst_of_one_workspace_leaves_others_their_turn() {
    let now = Instant::now();
    let mut queue = Queue::new(1000);
    for id in 0..100 {
        queue.push(entry(id, "rush", 3, now)).unwrap();
    }
    queue.push(entry(200, "quiet", 3, now)).unwrap();
    assert_eq!(queue.backlog_ahead(3, "quiet", 100, now).tokens, 100 + 200);
    let order: Vec<u64> = (0..4).filter_map(|_| pop(&mut queue, now)).collect();
    assert!(order[..2].contains(&200), "{order:?}");
}

#[test]
fn turns_are_by_tokens_and_not_by_requests() {
    let now = Instant::now();
    let mut queue = Queue::new(1000);
    for id in 0..50 {
        let large = Entry {
            cost: 400,
            ..entry(id, "large", 3, now)
        };
        queue.push(large).unwrap();
        queue.push(entry(100 + id, "small", 3, now)).unwrap();
    }
    let order: Vec<u64> = (0..50).filter_map(|_| pop(&mut queue, now)).collect();
    let large = order.iter().filter(|id| **id < 50).count();
    assert!((9..=11).contains(&large), "{large} large ones of 50");
}

#[test]
fn an_entry_near_its_deadline_goes_before_entries_with_time_to_spare() {
    let now = Instant::now();
    let mut queue = Queue::new(100);
    queue.push(entry(1, "club", 7, now)).unwrap();
    let later = now + MS * 800;
    queue.push(entry(2, "pen", 0, later)).unwrap();
    queue.push(entry(3, "pen", 0, later)).unwrap();
    let popped = queue.pop(later, |_| true).unwrap();
    assert_eq!((popped.entry.id, popped.reason), (1, Reason::NearDeadline));

    let club = Entry {
        send_by: now + MS * 1200,
        ..entry(4, "club", 7, now)
    };
    queue.push(club).unwrap();
    // The urgent entries have no time to spare any more.
    assert_eq!(pop(&mut queue, later + MS * 300), Some(2));
}

/// Returns a queue in which `rush` was recently served far more than two others.
fn queue_after_burst(now: Instant) -> Queue {
    let mut queue = Queue::new(1000);
    for id in 0..20 {
        queue.push(entry(id, "rush", 3, now)).unwrap();
    }
    for (id, workspace) in [(100, "quiet"), (101, "still")] {
        queue.push(entry(id, workspace, 3, now)).unwrap();
    }
    while queue.len() > 10 {
        pop(&mut queue, now);
    }
    queue
}

#[test]
fn a_workspace_over_its_share_goes_after_less_urgent_work_of_others() {
    let now = Instant::now();
    let mut queue = queue_after_burst(now);
    queue.push(entry(200, "quiet", 6, now)).unwrap();
    let popped = queue.pop(now, |_| true).unwrap();
    assert_eq!((popped.entry.id, popped.priority), (200, 6));
    let popped = queue.pop(now, |_| true).unwrap();
    assert_eq!(popped.reason, Reason::OverShare);
    assert_eq!((popped.entry.priority, popped.priority), (3, 4));
}

#[test]
fn bulk_work_does_not_go_before_the_most_urgent_work_over_its_share() {
    let now = Instant::now();
    let mut queue = queue_after_burst(now);
    queue.push(entry(200, "quiet", 9, now)).unwrap();
    queue.push(entry(201, "rush", 0, now)).unwrap();
    assert_eq!(pop(&mut queue, now), Some(201));
    assert_eq!(pop(&mut queue, now), Some(200));
}

#[test]
fn a_near_deadline_does_not_help_a_workspace_over_its_share() {
    let now = Instant::now();
    let mut queue = queue_after_burst(now);
    queue.push(entry(200, "rush", 6, now)).unwrap();
    let later = now + MS * 900;
    queue.push(entry(201, "quiet", 3, later)).unwrap();
    assert_eq!(pop(&mut queue, later), Some(201));
}

#[test]
fn workspaces_busy_long_ago_do_not_reduce_the_even_share() {
    let now = Instant::now();
    let mut queue = Queue::new(1000);
    for id in 0..40 {
        let workspace = format!("w{}", id % 20);
        queue.push(entry(id, &workspace, 3, now)).unwrap();
    }
    while pop(&mut queue, now).is_some() {}
    // Two workspaces that share evenly half a minute later are both within their share.
    for id in 0..60 {
        let later = now + MS * (30_000 + 50 * id as u32);
        for workspace in ["w0", "w1"] {
            queue.push(entry(id, workspace, 3, later)).unwrap();
        }
        while pop(&mut queue, later).is_some() {}
    }
    let end = now + MS * 34_000;
    queue.push(entry(100, "w0", 3, end)).unwrap();
    assert_eq!(queue.pop(end, |_| true).unwrap().reason, Reason::FairTurn);
}

#[test]
fn the_backlog_over_a_share_is_served_at_the_rate_that_others_leave() {
    let now = Instant::now();
    let queue = queue_after_burst(now);
    let ahead = queue.backlog_ahead(3, "rush", 100, now + MS * 1000);
    assert_eq!(ahead.tokens, 1000);
    // The workspace was served 1000 tokens within one second.
    let rate = ahead.rate.unwrap();
    assert!((950.0..1050.0).contains(&rate), "{rate}");
    assert_eq!(queue.backlog_ahead(3, "quiet", 100, now).rate, None);
}

#[test]
fn late_entries_are_not_popped_but_returned_by_expire() {
    let now = Instant::now();
    let mut queue = Queue::new(100);
    queue.push(entry(1, "a", 3, now)).unwrap();
    queue.push(entry(2, "b", 3, now + MS * 10)).unwrap();
    let later = now + MS * 1001;
    assert_eq!(pop(&mut queue, later), Some(2));
    let late: Vec<u64> = queue.expire(later).iter().map(|e| e.id).collect();
    assert_eq!(late, [1]);
    assert!(queue.is_empty() && queue.expire(later).is_empty());
}

#[test]
fn entries_that_cannot_be_placed_stay_and_others_go() {
    let now = Instant::now();
    let mut queue = Queue::new(100);
    queue.push(entry(1, "a", 3, now)).unwrap();
    let ticket = queue.push(entry(2, "b", 5, now)).unwrap();
    let placed = queue.pop(now, |e| e.priority > 3).unwrap();
    assert_eq!(placed.entry.id, 2);
    assert!(queue.remove(ticket).is_none());
    assert_eq!(queue.len(), 1);
}

#[test]
fn no_workspace_can_fill_the_queue() {
    let now = Instant::now();
    let mut queue = Queue::new(100);
    let refused = (0..200).find_map(|id| queue.push(entry(id, "rush", 3, now)).err());
    assert_eq!(refused, Some(PushError::WorkspaceLimit { queued: 50 }));
    queue.push(entry(300, "quiet", 3, now)).unwrap();
}

#[test]
fn priorities_follow_the_target() {
    let of = |ms: u64| priority_for_target(Duration::from_millis(ms));
    let priorities = [100, 300, 301, 1000, 3000, 30_000, 600_000].map(of);
    assert_eq!(priorities, [0, 0, 1, 2, 4, 7, 9]);
}
