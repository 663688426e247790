//! Reads and validates the `spec` of a resource.

use std::{ops::RangeInclusive, sync::Arc};

use super::{BackendRole, BackendServer, ClientAccount, Model, Rank, ResourceKind, ResourceSet};
use crate::document::{self, Field, Finding, ObjectReader};

/// Most references or digests in one list.
const LIST_LIMIT: usize = 256;
/// Most adapters of one model.
const ADAPTER_LIMIT: usize = 4_096;
/// Range of the weight of a client account. With a wider range a share could round to zero.
const WEIGHT_RANGE: RangeInclusive<u64> = 1..=1_000;
/// Range of limits and sizes in tokens.
const TOKEN_RANGE: RangeInclusive<u64> = 1..=1_000_000_000_000;
/// Greatest time of a rank, in milliseconds; one day.
const RANK_MS: u64 = 86_400_000;

/// A validated `spec` of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum ResourceSpec {
    /// Specification of a client account.
    ClientAccount(ClientAccount),
    /// Specification of a rank.
    Rank(Rank),
    /// Specification of a model.
    Model(Model),
    /// Specification of a backend server.
    BackendServer(BackendServer),
}

/// Reads the `spec` of the resource `name` from JSON.
///
/// The values of fields are always validated. References and rules that involve other resources are
/// checked against `set` if it is given. Returns all findings if there are any.
pub fn read_spec(
    kind: ResourceKind,
    name: &str,
    text: &str,
    set: Option<&ResourceSet>,
) -> Result<ResourceSpec, Vec<Finding>> {
    let spec = SpecReader { name, set };
    document::read(text, |reader| match kind {
        ResourceKind::ClientAccount => spec.account(reader).map(ResourceSpec::ClientAccount),
        ResourceKind::Rank => spec.rank(reader).map(ResourceSpec::Rank),
        ResourceKind::Model => read_model(reader).map(ResourceSpec::Model),
        ResourceKind::BackendServer => spec.server(reader).map(ResourceSpec::BackendServer),
    })
}

struct SpecReader<'a> {
    name: &'a str,
    set: Option<&'a ResourceSet>,
}

impl SpecReader<'_> {
    /// Reads the name of another resource, which must exist in the set.
    fn reference(&self, kind: ResourceKind, field: &Field) -> Option<Arc<str>> {
        let name = field.name()?;
        if self.set.is_some_and(|set| !set.contains(kind, &name)) {
            let path = format!("{}/{name}", kind.segment());
            field.report(&format!("{path} does not exist"), "apply it first, or correct the name");
        }
        Some(name)
    }

    fn account(&self, reader: &mut ObjectReader) -> Option<ClientAccount> {
        let digests = reader.field("credential_digests").required("[\"<digest of the token>\"]");
        let credential_digests = digests.non_empty_list(LIST_LIMIT, |element| {
            let digest = element.digest()?;
            self.check_digest(element, &digest);
            Some(digest)
        });
        let ranks = reader.field("ranks").required("[\"standard\"]");
        let ranks =
            ranks.non_empty_list(LIST_LIMIT, |element| self.reference(ResourceKind::Rank, element));
        let weight = reader.field("weight").number(WEIGHT_RANGE);
        let tokens_per_second = reader.field("tokens_per_second").number(TOKEN_RANGE);
        let memory_tokens = reader.field("memory_tokens").number(TOKEN_RANGE);
        Some(ClientAccount {
            credential_digests: credential_digests?,
            ranks: ranks?,
            weight: weight.and_then(|weight| u32::try_from(weight).ok()).unwrap_or(1),
            tokens_per_second,
            memory_tokens,
        })
    }

    /// Reports a token that another account has already, since a token identifies one account.
    fn check_digest(&self, field: &Field, digest: &str) {
        let Some(set) = self.set else { return };
        let mut others = set.accounts.iter().filter(|(name, _)| ***name != *self.name);
        let has_digest = |account: &ClientAccount| {
            account.credential_digests.iter().any(|known| **known == *digest)
        };
        if let Some((other, _)) = others.find(|(_, account)| has_digest(account)) {
            let problem = format!("clientaccounts/{other} has the same token");
            field.report(&problem, "issue a token of its own to each account");
        }
    }

    fn rank(&self, reader: &mut ObjectReader) -> Option<Rank> {
        let level = reader.field("level").required("1");
        let order = level.number(0..=u64::from(u8::MAX));
        let first_token = reader.field("first_token_ms").required("2000");
        let first_token_ms = first_token.number(1..=RANK_MS);
        let finish_ms = reader.field("finish_ms").required("120000").number(1..=RANK_MS);
        if finish_ms.is_some() && first_token_ms > finish_ms {
            first_token.report("later than finish_ms", "write at most finish_ms");
        }
        let percent = reader.field("guaranteed_percent");
        let guaranteed = percent.number(0..=100).unwrap_or(0);
        let others = || {
            let set = self.set.into_iter();
            set.flat_map(|set| &set.ranks).filter(|(name, _)| ***name != *self.name)
        };
        if let Some((other, _)) = others().find(|(_, rank)| Some(u64::from(rank.level)) == order) {
            level.report(&format!("ranks/{other} has the same level"), "use a level of its own");
        }
        let taken: u64 = others().map(|(_, rank)| u64::from(rank.guaranteed_percent)).sum();
        if taken + guaranteed > 100 {
            let fix = format!("write at most {}", 100_u64.saturating_sub(taken));
            percent.report("the shares of all ranks exceed 100", &fix);
        }
        Some(Rank {
            level: u8::try_from(order?).ok()?,
            first_token_ms: first_token_ms?,
            finish_ms: finish_ms?,
            guaranteed_percent: u8::try_from(guaranteed).ok()?,
        })
    }

    fn server(&self, reader: &mut ObjectReader) -> Option<BackendServer> {
        let field = reader.field("address").required("\"10.0.1.7:8000\"");
        let address = field.address();
        let mut others = self.set.into_iter().flat_map(|set| &set.servers);
        let is_same = |(name, server): &(&Arc<str>, &BackendServer)| {
            ***name != *self.name && Some(&server.address) == address.as_ref()
        };
        if let Some((other, _)) = others.find(is_same) {
            field.report(&format!("backendservers/{other} has the same address"), "correct it");
        }
        let region = reader.field("region").required("\"north\"").name();
        let failure_domain = reader.field("failure_domain").required("\"north-1\"").name();
        let role = reader.field("role").required("{\"type\": \"engine\", ...}");
        let role = role.object(|reader| self.role(reader));
        let checks_fencing = reader.field("checks_fencing").boolean().unwrap_or(false);
        let leaving = reader.field("leaving").boolean().unwrap_or(false);
        Some(BackendServer {
            address: address?,
            region: region?,
            failure_domain: failure_domain?,
            role: role?,
            checks_fencing,
            leaving,
        })
    }

    fn role(&self, reader: &mut ObjectReader) -> Option<BackendRole> {
        let kind = reader.field("type").required("\"engine\"");
        match &*kind.text(LIST_LIMIT)? {
            "engine" => {
                let models = reader.field("models").required("[\"inspector\"]");
                let models = models.non_empty_list(LIST_LIMIT, |element| {
                    self.reference(ResourceKind::Model, element)
                });
                let memory = reader.field("memory_tokens").required("600000").number(TOKEN_RANGE);
                let batch = reader.field("batch").required("32").number(1..=65_536);
                Some(BackendRole::Engine {
                    models: models?,
                    memory_tokens: memory?,
                    batch: u32::try_from(batch?).ok()?,
                })
            }
            "service" => {
                let service = reader.field("service").required("\"registry\"").name();
                let repeatable = reader.field("repeatable").required("false").boolean();
                Some(BackendRole::Service { service: service?, repeatable: repeatable? })
            }
            _ => {
                kind.report("not a role", "write \"engine\" or \"service\"");
                None
            }
        }
    }
}

fn read_model(reader: &mut ObjectReader) -> Option<Model> {
    let context = reader.field("context_tokens").required("128000").number(TOKEN_RANGE);
    let adapters = reader.field("adapters").list(ADAPTER_LIMIT, Field::name);
    let replicas = reader.field("replicas").number(0..=100_000);
    Some(Model {
        context_tokens: context?,
        adapters: adapters.unwrap_or_default(),
        replicas: replicas.and_then(|replicas| u32::try_from(replicas).ok()),
    })
}
