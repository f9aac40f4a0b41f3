//! Builds the prompts and bodies of requests.
//!
//! Both depend only on the mix and the arrival, so that a run can be repeated.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::mix::{Chat, ClassLoad, RequestKind, Sender};
use crate::schedule::Arrival;

/// Vocabulary of the prompts.
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
    /// Role of the speaker.
    pub role: &'static str,
    /// Text of the message.
    pub content: String,
}

/// Options of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

/// Body of a chat request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
struct ChatWire<'a> {
    model: &'a str,
    messages: Vec<Message>,
    max_tokens: u32,
    stream: bool,
    stream_options: StreamOptions,
}

/// Body of a call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
struct CallWire {
    workspace: String,
    number: u64,
}

/// Builds pseudo-random text of at least `bytes` bytes from `seed`.
fn filler_text(seed: u64, bytes: usize) -> String {
    let mut text = String::with_capacity(bytes + 16);
    let mut position: u64 = 0;
    while text.len() < bytes {
        let hash = xxh3_64_with_seed(&position.to_le_bytes(), seed);
        text.push_str(WORDS[(hash % WORDS.len() as u64) as usize]);
        text.push(' ');
        position += 1;
    }
    text
}

/// Builds the messages of a chat request: the shared prefix, then its own text.
///
/// The `[tokens=N]` mark tells the stand-in engine how long the answer is to be.
pub fn messages(chat: &Chat, class: &str, sender: &Sender, arrival: &Arrival) -> Vec<Message> {
    let common_seed = xxh3_64_with_seed(class.as_bytes(), 0);
    let common_seed = xxh3_64_with_seed(sender.name.as_bytes(), common_seed);
    let own_text = filler_text(arrival.prompt ^ common_seed, arrival.words as usize * 6);
    let length_mark = format!("[tokens={}]", arrival.answer);
    let message = |role, content| Message { role, content };
    let mut messages = Vec::with_capacity(2);
    if chat.prefix > 0 {
        messages.push(message("system", filler_text(common_seed, chat.prefix)));
    }
    messages.push(message("user", format!("{own_text}{length_mark}")));
    messages
}

/// Builds the path and JSON body of a request.
///
/// `model` replaces the class name if an engine is called directly.
pub fn request(
    class: &ClassLoad,
    sender: &Sender,
    arrival: &Arrival,
    model: Option<&str>,
) -> (String, Vec<u8>) {
    let (path, body) = match &class.kind {
        RequestKind::Chat(chat) => {
            let body = ChatWire {
                model: model.unwrap_or(class.name),
                messages: messages(chat, class.name, sender, arrival),
                max_tokens: chat.max_tokens,
                stream: true,
                stream_options: StreamOptions {
                    include_usage: true,
                },
            };
            let path = "/v1/chat/completions".to_owned();
            (path, serde_json::to_vec(&body))
        }
        RequestKind::Call(path) => {
            let body = CallWire {
                workspace: sender.name.clone(),
                number: arrival.number,
            };
            let path = format!("/v1/services/{}/{path}", class.name);
            (path, serde_json::to_vec(&body))
        }
    };
    (path, body.expect("request bodies are serialisable"))
}
