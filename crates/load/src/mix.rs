//! What the two deployments ask for.

use std::time::Duration;

use poplar_core::config::Config;

/// What a request of a class is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// A model's answer.
    Chat(Chat),
    /// A call of a plain service at this path.
    Call(&'static str),
}

/// Shape of a chat request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chat {
    /// Bytes that all prompts of a workspace and class begin with.
    pub prefix: usize,
    /// Words of a prompt after that, fewest and most.
    pub words: (u32, u32),
    /// Tokens of the answer, fewest and most.
    pub answer: (u32, u32),
    /// Cap that the caller asks for, in tokens.
    pub cap: u32,
}

/// Targets of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Targets {
    /// Until the first token.
    pub first: Option<Duration>,
    /// Until the whole answer.
    pub finish: Duration,
}

/// Requests of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// The class.
    pub class: &'static str,
    /// What is asked for.
    pub work: Work,
    /// Whether a call may run twice.
    pub repeat: bool,
    /// Share of all arrivals, before it is scaled to a sum of 1.
    pub share: f64,
    /// Its targets.
    pub targets: Targets,
}

/// A workspace that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Sender {
    /// Its name.
    pub name: String,
    /// Its access key.
    pub key: String,
    /// Share of all arrivals, before it is scaled to a sum of 1.
    pub share: f64,
}

/// A deployment's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Mix {
    /// Its name.
    pub name: &'static str,
    /// By class.
    pub items: Vec<Item>,
    /// By workspace.
    pub senders: Vec<Sender>,
}

/// Names of the mixes.
pub const NAMES: &str = "waiharakeke or nairobi";

/// The mix called `name`.
pub fn find(name: &str) -> Option<Mix> {
    match name {
        "waiharakeke" => Some(waiharakeke()),
        "nairobi" => Some(nairobi()),
        _ => None,
    }
}

fn targets(first: u64, finish: u64) -> Targets {
    Targets {
        first: (first > 0).then(|| Duration::from_millis(first)),
        finish: Duration::from_millis(finish),
    }
}

fn chat(class: &'static str, share: f64, targets: Targets, chat: Chat) -> Item {
    Item {
        class,
        work: Work::Chat(chat),
        repeat: true,
        share,
        targets,
    }
}

fn call(
    class: &'static str,
    share: f64,
    targets: Targets,
    path: &'static str,
    repeat: bool,
) -> Item {
    Item {
        class,
        work: Work::Call(path),
        repeat,
        share,
        targets,
    }
}

fn senders(shares: &[(&str, f64)]) -> Vec<Sender> {
    let sender = |(name, share): &(&str, f64)| Sender {
        name: (*name).to_owned(),
        key: format!("trial-{name}"),
        share: *share,
    };
    shares.iter().map(sender).collect()
}

/// Street and park lighting: scenes, notes, and pushes to poles.
fn waiharakeke() -> Mix {
    let plan = Chat {
        prefix: 24_000,
        words: (80, 300),
        answer: (500, 1500),
        cap: 2000,
    };
    let tweak = Chat {
        prefix: 24_000,
        words: (10, 60),
        answer: (40, 200),
        cap: 256,
    };
    let note = Chat {
        prefix: 1_200,
        words: (10, 40),
        answer: (20, 100),
        cap: 128,
    };
    Mix {
        name: "waiharakeke",
        items: vec![
            chat("festival-plan", 2.0, targets(4_000, 60_000), plan),
            chat("vigil-tweak", 18.0, targets(560, 5_000), tweak),
            chat("fault-note", 20.0, targets(800, 8_000), note),
            call("pole-push", 25.0, targets(0, 2_000), "push", false),
            call("pole-status", 35.0, targets(0, 1_000), "status", true),
        ],
        senders: senders(&[
            ("council", 30.0),
            ("event-crew", 25.0),
            ("linesmen", 15.0),
            ("parks", 8.0),
            ("harbour", 6.0),
            ("markets", 5.0),
            ("memorials", 4.0),
            ("schools", 3.0),
            ("library", 2.0),
            ("sports-fields", 2.0),
        ]),
    }
}

/// Entries to cycling sportives: riders, clubs, waivers, bibs and payments.
fn nairobi() -> Mix {
    let bulk = Chat {
        prefix: 8_000,
        words: (200, 800),
        answer: (600, 1800),
        cap: 2000,
    };
    let review = Chat {
        prefix: 12_000,
        words: (150, 500),
        answer: (150, 500),
        cap: 600,
    };
    let chats = Chat {
        prefix: 2_400,
        words: (8, 50),
        answer: (40, 220),
        cap: 300,
    };
    Mix {
        name: "nairobi",
        items: vec![
            chat("club-bulk", 2.0, targets(20_000, 120_000), bulk),
            chat("waiver-review", 5.0, targets(5_000, 45_000), review),
            chat("rider-chat", 38.0, targets(560, 10_000), chats),
            call("bib-lookup", 40.0, targets(0, 300), "lookup", true),
            call("payment", 15.0, targets(0, 5_000), "pay", false),
        ],
        senders: senders(&[
            ("partner-a", 28.0),
            ("partner-b", 24.0),
            ("partner-c", 16.0),
            ("clubs-west", 8.0),
            ("clubs-east", 7.0),
            ("teams", 6.0),
            ("start-pen", 5.0),
            ("volunteers", 3.0),
            ("charity-ride", 2.0),
        ]),
    }
}

impl Mix {
    /// Takes the targets of the classes that `config` knows.
    pub fn retarget(&mut self, config: &Config) {
        for item in &mut self.items {
            if let Some(class) = config.class(item.class) {
                item.targets = Targets {
                    first: class.first_target,
                    finish: class.finish_target,
                };
                item.repeat = class.repeatable;
            }
        }
    }

    /// Leaves only the classes called `names`.
    pub fn only(&mut self, names: &[String]) {
        self.items
            .retain(|i| names.iter().any(|name| name == i.class));
    }

    /// Gives every prompt a common beginning of `bytes`.
    pub fn prefixed(&mut self, bytes: usize) {
        for item in &mut self.items {
            if let Work::Chat(chat) = &mut item.work {
                chat.prefix = bytes;
            }
        }
    }

    /// Place of the workspace `name`.
    pub fn sender(&self, name: &str) -> Option<usize> {
        self.senders.iter().position(|s| s.name == name)
    }
}
