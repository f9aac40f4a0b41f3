//! Request mixes of the two sample deployments.
//!
//! A mix gives the classes of requests, the workspaces that send them, and how
//! arrivals are divided among both.

use std::time::Duration;

use poplar_core::config::Config;

/// Kind of the requests of a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A chat completion of a model.
    Chat(Chat),
    /// A call of a plain service, at this path.
    Call(&'static str),
}

/// Shape of a chat request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chat {
    /// Length in bytes of the prefix that all prompts of a workspace and class share.
    pub prefix: usize,
    /// Words of a prompt after the prefix, minimum and maximum.
    pub prompt_words: (u32, u32),
    /// Tokens of the answer, minimum and maximum.
    pub answer_tokens: (u32, u32),
    /// The `max_tokens` that the caller sends.
    pub max_tokens: u32,
}

/// Latency targets of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Targets {
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the complete answer.
    pub finish: Duration,
}

/// The load of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassLoad {
    /// Name of the class.
    pub name: &'static str,
    /// Kind of its requests.
    pub kind: RequestKind,
    /// Whether a request may be executed twice.
    pub repeatable: bool,
    /// Relative weight among all arrivals; weights need not add up to 1.
    pub weight: f64,
    /// Latency targets.
    pub targets: Targets,
}

/// A workspace that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Sender {
    /// Name of the workspace.
    pub name: String,
    /// Access key of the workspace.
    pub key: String,
    /// Relative weight among all arrivals; weights need not add up to 1.
    pub weight: f64,
}

/// The request mix of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Mix {
    /// Name of the mix.
    pub name: &'static str,
    /// Load of each class.
    pub classes: Vec<ClassLoad>,
    /// Load of each workspace.
    pub senders: Vec<Sender>,
}

/// Names of the mixes, as error messages list them.
pub const NAMES: &str = "waiharakeke or nairobi";

/// Finds the mix called `name`.
pub fn find(name: &str) -> Option<Mix> {
    match name {
        "waiharakeke" => Some(waiharakeke()),
        "nairobi" => Some(nairobi()),
        _ => None,
    }
}

fn targets(first_ms: u64, finish_ms: u64) -> Targets {
    Targets {
        first_token: (first_ms > 0).then(|| Duration::from_millis(first_ms)),
        finish: Duration::from_millis(finish_ms),
    }
}

fn chat(name: &'static str, weight: f64, targets: Targets, chat: Chat) -> ClassLoad {
    ClassLoad {
        name,
        kind: RequestKind::Chat(chat),
        repeatable: true,
        weight,
        targets,
    }
}

fn call(
    name: &'static str,
    weight: f64,
    targets: Targets,
    path: &'static str,
    repeatable: bool,
) -> ClassLoad {
    ClassLoad {
        name,
        kind: RequestKind::Call(path),
        repeatable,
        weight,
        targets,
    }
}

fn senders(weights: &[(&str, f64)]) -> Vec<Sender> {
    let sender = |(name, weight): &(&str, f64)| Sender {
        name: (*name).to_owned(),
        key: format!("trial-{name}"),
        weight: *weight,
    };
    weights.iter().map(sender).collect()
}

/// Street and park lighting: scenes, notes, and pushes to poles.
fn waiharakeke() -> Mix {
    let plan = Chat {
        prefix: 24_000,
        prompt_words: (80, 300),
        answer_tokens: (500, 1500),
        max_tokens: 2000,
    };
    let tweak = Chat {
        prefix: 24_000,
        prompt_words: (10, 60),
        answer_tokens: (40, 200),
        max_tokens: 256,
    };
    let note = Chat {
        prefix: 1_200,
        prompt_words: (10, 40),
        answer_tokens: (20, 100),
        max_tokens: 128,
    };
    Mix {
        name: "waiharakeke",
        classes: vec![
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
        prompt_words: (200, 800),
        answer_tokens: (600, 1800),
        max_tokens: 2000,
    };
    let review = Chat {
        prefix: 12_000,
        prompt_words: (150, 500),
        answer_tokens: (150, 500),
        max_tokens: 600,
    };
    let chats = Chat {
        prefix: 2_400,
        prompt_words: (8, 50),
        answer_tokens: (40, 220),
        max_tokens: 300,
    };
    Mix {
        name: "nairobi",
        classes: vec![
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
    /// Takes targets and repeatability from the classes that `config` has.
    pub fn apply_config(&mut self, config: &Config) {
        for load in &mut self.classes {
            if let Some(class) = config.class(load.name) {
                load.targets = Targets {
                    first_token: class.first_target,
                    finish: class.finish_target,
                };
                load.repeatable = class.repeatable;
            }
        }
    }

    /// Removes all classes but those in `names`.
    pub fn retain_classes(&mut self, names: &[String]) {
        self.classes
            .retain(|c| names.iter().any(|name| name == c.name));
    }

    /// Sets the length of the shared prompt prefix of every chat class.
    pub fn set_prefix(&mut self, bytes: usize) {
        for class in &mut self.classes {
            if let RequestKind::Chat(chat) = &mut class.kind {
                chat.prefix = bytes;
            }
        }
    }

    /// Index of the workspace `name` among the senders.
    pub fn sender_index(&self, name: &str) -> Option<usize> {
        self.senders.iter().position(|s| s.name == name)
    }
}
