//! What identifies a request among those that crash servers.
//!
//! A request that crashes servers may come again with other details, and sound
//! requests may differ from it in nothing but details. Which details matter can't be
//! known beforehand. Two identities are therefore counted side by side:
//!
//! - its content, which has all details that a server gets. An answer to a request
//!   with another content says nothing about it, nor do crashes count against one.
//! - its resource, which leaves details out, so that a request does not escape by
//!   changing them. An answer to any request for the resource takes back its crashes.
//!   If one content was at all of them, that is the cause, and the others are sound.

use std::time::Instant;

use crate::poison::{CrashHistory, Fingerprint, Kind, Reason};

/// What a request has in common with others, any of which may crash servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Features {
    /// Its content, which its copies have in common.
    pub content: Fingerprint,
    /// What is left of it without details; `None` if the content has none.
    pub resource: Option<Fingerprint>,
    /// Parts of its prompt that other requests may have.
    pub parts: Vec<Fingerprint>,
}

impl Features {
    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> + Clone {
        let content = std::iter::once(self.content).chain(self.resource);
        content.chain(self.parts.iter().copied())
    }
}

impl CrashHistory {
    /// Why a request with these features is to be refused; `None` if it may run.
    pub fn refusal_reason_of(&self, features: &Features, now: Instant) -> Option<Reason> {
        let own: Vec<Fingerprint> = features.iter().collect();
        let content = self.content_reason(features.content, &own, now);
        if let Some(certain) = content.as_ref().filter(|reason| !reason.is_shared) {
            return Some(certain.clone());
        }
        let resource = features
            .resource
            .and_then(|resource| self.resource_reason(resource, &own, now));
        let parts = features.parts.iter();
        let parts = parts.filter_map(|part| self.part_reason(*part, now));
        let reasons = content.into_iter().chain(resource).chain(parts);
        reasons.reduce(|a, b| Reason {
            crashes: a.crashes.max(b.crashes),
            ago: a.ago.min(b.ago),
            is_shared: a.is_shared && b.is_shared,
            causes: [a.causes, b.causes].concat(),
            only_features: a.only_features && b.only_features,
        })
    }

    /// Why requests for a resource are to be refused. `own` are all features of the
    /// request in question.
    fn resource_reason(
        &self,
        resource: Fingerprint,
        own: &[Fingerprint],
        now: Instant,
    ) -> Option<Reason> {
        let reason = self.content_reason(resource, own, now)?;
        let crashes = self.counted(resource, now);
        let is_other = |f: &Fingerprint| f.kind == Kind::Request && !own.contains(f);
        let has_cause = self.is_shared(&crashes, |f| !is_other(f));
        (!has_cause).then_some(Reason {
            only_features: true,
            ..reason
        })
    }
}
