//! Commands that ask routers for something.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use super::World;
use super::words::Words;
use crate::caller::{self, Ask, What};
use crate::fault::{Fault, Result};
use crate::fleet::access_key;
use crate::load::{self, Load, Running};
use crate::record::tally;
use crate::{wait, web};

impl World {
    /// `chat` and `call`: one request, in the background where it has a name.
    pub(super) async fn ask(
        &mut self,
        verb: &str,
        words: &mut Words,
        input: &str,
    ) -> Result<String> {
        let workspace = words
            .text("workspace")?
            .unwrap_or_else(|| "rift".to_owned());
        let chat = verb == "chat";
        let class = words.text("class")?;
        let class = class.unwrap_or_else(|| if chat { "rider-chat" } else { "payment" }.to_owned());
        let what = match chat {
            true => What::Chat {
                text: input.trim_end().to_owned(),
                stream: words.flag("stream"),
                cap: words.number("max")?.map(|n| n as u32),
            },
            false => What::Call {
                path: words.text("path")?.unwrap_or_else(|| "pay".to_owned()),
                body: input.trim_end().to_owned(),
            },
        };
        let ask = Ask {
            at: words.need("at")?,
            workspace,
            class,
            key: words.text("key")?,
            what,
        };
        let background = words.text("as")?;
        let (fleet, records) = (self.fleet()?.clone(), self.records.clone());
        let task = tokio::spawn(async move {
            let record = caller::ask(&fleet, &ask).await?;
            records.add(record.clone());
            Ok(vec![record])
        });
        let running = Running::single(task);
        if let Some(name) = background {
            self.running.push((name, running));
            return Ok(String::new());
        }
        let records = running.join(false).await?;
        Ok(tally(&records, true))
    }

    /// `raw`: a body as it stands; only status and code are shown.
    pub(super) async fn raw(&mut self, words: &mut Words, input: &str) -> Result<String> {
        let to = self.fleet()?.router(&words.need("at")?)?.callers;
        let path = words.text("path")?;
        let path = path.unwrap_or_else(|| "chat.completions".to_owned());
        let secret = words.text("secret")?;
        let secret = secret.unwrap_or_else(|| access_key("rift"));
        let body = match words.number("size")? {
            Some(size) => "x".repeat(size as usize),
            None => input.trim_end().to_owned(),
        };
        let mut request = Request::post(format!("/v1/{}", path.replace('.', "/")))
            .header("host", to.to_string())
            .header("authorization", format!("Bearer {secret}"));
        if let Some(key) = words.text("key")? {
            request = request.header("idempotency-key", key);
        }
        if let Some(length) = words.number("promise")? {
            // A body that never comes to its promised end.
            request = request.header("content-length", length);
        }
        let request = request.body(Full::new(Bytes::from(body)));
        let answer = web::call(to, request.map_err(|e| Fault::of("raw", e))?).await?;
        let body: serde_json::Value = answer.json().unwrap_or_default();
        let error = &body["error"];
        let word = |name: &str| error[name].as_str().unwrap_or("-").to_owned();
        let status = answer.status.as_u16();
        Ok(format!("{status} {} {}\n", word("code"), word("run")))
    }

    /// `load`: many requests in the background.
    pub(super) async fn load(&mut self, words: &mut Words) -> Result<String> {
        let workspaces = words.many("workspaces");
        let tokens = words.many("tokens");
        let token = |at: usize, default: u32| -> Result<u32> {
            let text = tokens.get(at).or(tokens.last());
            text.map_or(Ok(default), |t| {
                t.parse().map_err(|e| Fault::of("tokens", e))
            })
        };
        let load = Load {
            name: words.need("as")?,
            at: words.many("at"),
            count: words.number("count")?.map(|n| n as usize),
            width: words.number("width")?.unwrap_or(8) as usize,
            seed: words.number("seed")?.unwrap_or(1),
            tokens: (token(0, 5)?, token(1, 30)?),
            class: words
                .text("class")?
                .unwrap_or_else(|| "rider-chat".to_owned()),
            workspaces: match workspaces.is_empty() {
                true => vec!["rift".to_owned()],
                false => workspaces,
            },
            keyed: words.flag("keyed"),
            retries: words.number("retries")?.unwrap_or(0) as usize,
            balanced: words.flag("balanced"),
            pace: Duration::from_millis(words.number("pace")?.unwrap_or(0)),
        };
        let name = load.name.clone();
        let running = load::spawn(self.fleet()?, &self.records, load).await;
        self.running.push((name, running));
        Ok(String::new())
    }

    fn take(&mut self, words: &mut Words) -> Result<Running> {
        let name = words.need("of")?;
        let at = self.running.iter().position(|(n, _)| *n == name);
        let at = at.ok_or_else(|| Fault::of(name, "nothing of that name runs"))?;
        Ok(self.running.remove(at).1)
    }

    /// `progress`: waits until so many requests of a load have ended.
    pub(super) async fn progress(&mut self, words: &mut Words) -> Result<String> {
        let name = words.need("of")?;
        let more = words.need_number("more")? as usize;
        let found = self.running.iter().find(|(n, _)| *n == name);
        let (_, running) = found.ok_or_else(|| Fault::of(name, "nothing of that name runs"))?;
        let wanted = running.done() + more;
        wait::until("progress", async || {
            (running.done() >= wanted).then_some(())
        })
        .await?;
        Ok(String::new())
    }

    /// `join`: what came of a load; `words` leaves numbers out, `may` what need
    /// not be there.
    pub(super) async fn join(&mut self, words: &mut Words) -> Result<String> {
        let stop = words.flag("stop");
        let plain = words.flag("words");
        let may = words.many("may");
        let running = self.take(words)?;
        let mut records = running.join(stop).await?;
        let allowed = |outcome: String| {
            let code = outcome.split(' ').next().unwrap_or_default().to_owned();
            may.contains(&code)
        };
        records.retain(|r| !allowed(r.outcome.to_string()));
        Ok(tally(&records, plain))
    }
}
