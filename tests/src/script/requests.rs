//! Commands that send requests to routers.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use super::Scenario;
use super::arguments::Arguments;
use crate::caller::{self, CallerRequest, Payload};
use crate::error::{Error, Result};
use crate::fleet::access_key;
use crate::load::{self, Load, Running};
use crate::record::tally;
use crate::{wait, web};

impl Scenario {
    /// `chat` and `call`: sends one request, in the background if `as` names it.
    pub(super) async fn request(
        &mut self,
        verb: &str,
        args: &mut Arguments,
        input: &str,
    ) -> Result<String> {
        let workspace = args
            .optional("workspace")?
            .unwrap_or_else(|| "rift".to_owned());
        let chat = verb == "chat";
        let class = args.optional("class")?;
        let class = class.unwrap_or_else(|| if chat { "rider-chat" } else { "payment" }.to_owned());
        let payload = match chat {
            true => Payload::Chat {
                text: input.trim_end().to_owned(),
                stream: args.flag("stream"),
                cap: args.number("max")?.map(|n| n as u32),
            },
            false => Payload::Call {
                path: args.optional("path")?.unwrap_or_else(|| "pay".to_owned()),
                body: input.trim_end().to_owned(),
            },
        };
        let request = CallerRequest {
            router: args.required("at")?,
            workspace,
            class,
            key: args.optional("key")?,
            payload,
        };
        let background = args.optional("as")?;
        let (fleet, records) = (self.fleet()?.clone(), self.records.clone());
        let task = tokio::spawn(async move {
            let record = caller::send(&fleet, &request).await?;
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

    /// `raw`: sends a body unchanged; prints the status, the code and the execution state.
    pub(super) async fn raw(&mut self, args: &mut Arguments, input: &str) -> Result<String> {
        let to = self.fleet()?.router(&args.required("at")?)?.callers;
        let path = args.optional("path")?;
        let path = path.unwrap_or_else(|| "chat.completions".to_owned());
        let secret = args.optional("secret")?;
        let secret = secret.unwrap_or_else(|| access_key("rift"));
        let body = match args.number("size")? {
            Some(size) => "x".repeat(size as usize),
            None => input.trim_end().to_owned(),
        };
        let mut request = Request::post(format!("/v1/{}", path.replace('.', "/")))
            .header("host", to.to_string())
            .header("authorization", format!("Bearer {secret}"));
        if let Some(key) = args.optional("key")? {
            request = request.header("idempotency-key", key);
        }
        if let Some(length) = args.number("promise")? {
            // The body stays shorter than the announced length.
            request = request.header("content-length", length);
        }
        let request = request.body(Full::new(Bytes::from(body)));
        let answer = web::call(to, request.map_err(|e| Error::new("raw", e))?).await?;
        let body: serde_json::Value = answer.json().unwrap_or_default();
        let error = &body["error"];
        let field = |name: &str| error[name].as_str().unwrap_or("-").to_owned();
        let status = answer.status.as_u16();
        Ok(format!("{status} {} {}\n", field("code"), field("run")))
    }

    /// `load`: starts many requests in the background.
    pub(super) async fn load(&mut self, args: &mut Arguments) -> Result<String> {
        let workspaces = args.values("workspaces");
        let tokens = args.values("tokens");
        let token = |at: usize, default: u32| -> Result<u32> {
            let text = tokens.get(at).or(tokens.last());
            text.map_or(Ok(default), |t| {
                t.parse().map_err(|e| Error::new("tokens", e))
            })
        };
        let load = Load {
            name: args.required("as")?,
            routers: args.values("at"),
            count: args.number("count")?.map(|n| n as usize),
            callers: args.number("width")?.unwrap_or(8) as usize,
            seed: args.number("seed")?.unwrap_or(1),
            answer_tokens: (token(0, 5)?, token(1, 30)?),
            class: args
                .optional("class")?
                .unwrap_or_else(|| "rider-chat".to_owned()),
            workspaces: match workspaces.is_empty() {
                true => vec!["rift".to_owned()],
                false => workspaces,
            },
            keyed: args.flag("keyed"),
            retries: args.number("retries")?.unwrap_or(0) as usize,
            balanced: args.flag("balanced"),
            pause: Duration::from_millis(args.number("pace")?.unwrap_or(0)),
        };
        let name = load.name.clone();
        let running = load::spawn(self.fleet()?, &self.records, load).await;
        self.running.push((name, running));
        Ok(String::new())
    }

    fn take_running(&mut self, args: &mut Arguments) -> Result<Running> {
        let name = args.required("of")?;
        let at = self.running.iter().position(|(n, _)| *n == name);
        let at = at.ok_or_else(|| Error::new(name, "no running load or request of that name"))?;
        Ok(self.running.remove(at).1)
    }

    /// `progress`: waits until `more` further requests of a load have ended.
    pub(super) async fn progress(&mut self, args: &mut Arguments) -> Result<String> {
        let name = args.required("of")?;
        let more = args.required_number("more")? as usize;
        let found = self.running.iter().find(|(n, _)| *n == name);
        let (_, running) =
            found.ok_or_else(|| Error::new(name, "no running load or request of that name"))?;
        let wanted = running.completed() + more;
        wait::until("progress", async || {
            (running.completed() >= wanted).then_some(())
        })
        .await?;
        Ok(String::new())
    }

    /// `join`: waits for a load and prints its outcomes; `words` leaves out the
    /// counts, and `may` the outcomes that may or may not occur.
    pub(super) async fn join(&mut self, args: &mut Arguments) -> Result<String> {
        let stop = args.flag("stop");
        let omit_counts = args.flag("words");
        let ignored_codes = args.values("may");
        let running = self.take_running(args)?;
        let mut records = running.join(stop).await?;
        let is_ignored = |outcome: String| {
            let code = outcome.split(' ').next().unwrap_or_default().to_owned();
            ignored_codes.contains(&code)
        };
        records.retain(|r| !is_ignored(r.outcome.to_string()));
        Ok(tally(&records, omit_counts))
    }
}
