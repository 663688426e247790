//! Kinds of resources and their columns.

use serde_json::Value;

use crate::error::CtlError;

/// A kind of resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResourceKind {
    /// A rank of work.
    Rank,
    /// A model.
    Model,
    /// A client account.
    ClientAccount,
    /// A model engine or plain service.
    BackendServer,
}

impl ResourceKind {
    /// All kinds; a resource refers only to kinds before its own.
    pub const ALL: [ResourceKind; 4] = [
        ResourceKind::Rank,
        ResourceKind::Model,
        ResourceKind::ClientAccount,
        ResourceKind::BackendServer,
    ];

    /// Name in files.
    pub fn name(self) -> &'static str {
        match self {
            ResourceKind::Rank => "Rank",
            ResourceKind::Model => "Model",
            ResourceKind::ClientAccount => "ClientAccount",
            ResourceKind::BackendServer => "BackendServer",
        }
    }

    /// Segment of the path in the administration API.
    pub fn segment(self) -> String {
        format!("{}s", self.name().to_lowercase())
    }

    /// The kind that an operator names, singular or plural, in any case.
    pub fn parse(text: &str) -> Result<ResourceKind, CtlError> {
        let text = text.to_lowercase();
        let is_named =
            |kind: &ResourceKind| text == kind.segment() || text == kind.name().to_lowercase();
        ResourceKind::ALL.into_iter().find(is_named).ok_or_else(|| {
            let known = ResourceKind::ALL.map(ResourceKind::segment).join(", ");
            CtlError::Usage(format!("unknown kind '{text}'; use one of: {known}").into())
        })
    }

    /// Headings of the columns that show a spec.
    pub fn columns(self) -> &'static [&'static str] {
        match self {
            ResourceKind::Rank => &["LEVEL", "FIRST TOKEN MS", "FINISH MS", "GUARANTEED"],
            ResourceKind::Model => &["CONTEXT TOKENS", "REPLICAS", "ADAPTERS"],
            ResourceKind::ClientAccount => &["RANKS", "WEIGHT", "TOKENS/S"],
            ResourceKind::BackendServer => &["TYPE", "ADDRESS", "DOMAIN", "LEAVING"],
        }
    }

    /// Cells of the columns.
    pub fn cells(self, spec: &Value) -> Vec<String> {
        let fields: &[&str] = match self {
            ResourceKind::Rank => {
                &["/level", "/first_token_ms", "/finish_ms", "/guaranteed_percent"]
            }
            ResourceKind::Model => &["/context_tokens", "/replicas", "/adapters"],
            ResourceKind::ClientAccount => &["/ranks", "/weight", "/tokens_per_second"],
            ResourceKind::BackendServer => {
                &["/role/type", "/address", "/failure_domain", "/leaving"]
            }
        };
        fields.iter().map(|field| cell(spec.pointer(field))).collect()
    }
}

/// A value as a cell of a table.
pub fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) if text.is_empty() => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(values)) if values.is_empty() => "-".to_owned(),
        Some(Value::Array(values)) => {
            values.iter().map(|value| cell(Some(value))).collect::<Vec<_>>().join(",")
        }
        Some(value) => value.to_string(),
    }
}
