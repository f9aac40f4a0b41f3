//! Prompts and bodies of requests, from their numbers alone.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::mix::{Chat, Item, Sender, Work};
use crate::schedule::Arrival;

/// Words that prompts are made of.
const WORDS: [&str; 32] = [
    "lamp", "park", "route", "rider", "scene", "amber", "bridge", "start", "evening", "club",
    "north", "pole", "entry", "waiver", "dim", "market", "river", "bib", "distance", "warm",
    "road", "vigil", "garden", "finish", "crew", "corner", "team", "light", "hill", "crossing",
    "south", "morning",
];

/// A message of a chat request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Message {
    /// Who speaks.
    pub role: &'static str,
    /// What is said.
    pub content: String,
}

/// What the last event of an answer holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

/// A chat request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
struct ChatWire<'a> {
    model: &'a str,
    messages: Vec<Message>,
    max_tokens: u32,
    stream: bool,
    stream_options: StreamOptions,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
struct CallWire {
    workspace: String,
    number: u64,
}

/// Words from `seed`, at least `bytes` long.
fn text(seed: u64, bytes: usize) -> String {
    let mut text = String::with_capacity(bytes + 16);
    let mut count: u64 = 0;
    while text.len() < bytes {
        let pick = xxh3_64_with_seed(&count.to_le_bytes(), seed);
        text.push_str(WORDS[(pick % WORDS.len() as u64) as usize]);
        text.push(' ');
        count += 1;
    }
    text
}

/// The messages of a chat request: the common beginning, then its own part.
///
/// The answer's length is marked as the stand-in engine reads it.
pub fn messages(chat: &Chat, class: &str, sender: &Sender, arrival: &Arrival) -> Vec<Message> {
    let common = xxh3_64_with_seed(class.as_bytes(), 0);
    let common = xxh3_64_with_seed(sender.name.as_bytes(), common);
    let own = text(arrival.prompt ^ common, arrival.words as usize * 6);
    let mark = format!("[tokens={}]", arrival.answer);
    let message = |role, content| Message { role, content };
    let mut messages = Vec::with_capacity(2);
    if chat.prefix > 0 {
        messages.push(message("system", text(common, chat.prefix)));
    }
    messages.push(message("user", format!("{own}{mark}")));
    messages
}

/// Path and JSON body of a request.
///
/// `model` stands in place of the class where an engine is called directly.
pub fn request(
    item: &Item,
    sender: &Sender,
    arrival: &Arrival,
    model: Option<&str>,
) -> (String, Vec<u8>) {
    let (path, body) = match &item.work {
        Work::Chat(chat) => {
            let body = ChatWire {
                model: model.unwrap_or(item.class),
                messages: messages(chat, item.class, sender, arrival),
                max_tokens: chat.cap,
                stream: true,
                stream_options: StreamOptions {
                    include_usage: true,
                },
            };
            let path = "/v1/chat/completions".to_owned();
            (path, serde_json::to_vec(&body))
        }
        Work::Call(path) => {
            let body = CallWire {
                workspace: sender.name.clone(),
                number: arrival.number,
            };
            let path = format!("/v1/services/{}/{path}", item.class);
            (path, serde_json::to_vec(&body))
        }
    };
    (path, body.expect("requests are plain data"))
}
