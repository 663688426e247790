//! The resource kinds and the table columns of each.

use serde_json::Value;

use crate::error::CtlError;

/// A resource kind. The order of the variants is the order in which resources are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResourceKind {
    /// A priority level of requests with its latency targets.
    Rank,
    /// A model that engines serve.
    Model,
    /// A client account with its credentials and limits.
    ClientAccount,
    /// A backend server: a model engine or another service.
    BackendServer,
}

impl ResourceKind {
    /// All kinds, ordered such that a resource refers only to resources of earlier kinds.
    pub const ALL: [ResourceKind; 4] = [
        ResourceKind::Rank,
        ResourceKind::Model,
        ResourceKind::ClientAccount,
        ResourceKind::BackendServer,
    ];

    /// Returns the value of the `kind` field in resource files.
    pub fn name(self) -> &'static str {
        match self {
            ResourceKind::Rank => "Rank",
            ResourceKind::Model => "Model",
            ResourceKind::ClientAccount => "ClientAccount",
            ResourceKind::BackendServer => "BackendServer",
        }
    }

    /// Returns the path segment of the kind in the administration API.
    pub fn path_segment(self) -> String {
        format!("{}s", self.name().to_lowercase())
    }

    /// Parses a kind from its singular or plural name, ignoring case.
    pub fn parse(text: &str) -> Result<ResourceKind, CtlError> {
        let text = text.to_lowercase();
        let is_named =
            |kind: &ResourceKind| text == kind.path_segment() || text == kind.name().to_lowercase();
        ResourceKind::ALL.into_iter().find(is_named).ok_or_else(|| {
            let known = ResourceKind::ALL.map(ResourceKind::path_segment).join(", ");
            CtlError::Usage(format!("unknown kind '{text}'; use one of: {known}").into())
        })
    }

    /// Returns the headings of the columns that summarize a spec.
    pub fn spec_headings(self) -> &'static [&'static str] {
        match self {
            ResourceKind::Rank => &["LEVEL", "FIRST TOKEN MS", "FINISH MS", "GUARANTEED"],
            ResourceKind::Model => &["CONTEXT TOKENS", "REPLICAS", "ADAPTERS"],
            ResourceKind::ClientAccount => &["RANKS", "WEIGHT", "TOKENS/S"],
            ResourceKind::BackendServer => &["TYPE", "ADDRESS", "DOMAIN", "LEAVING"],
        }
    }

    /// Returns the cells below [`ResourceKind::spec_headings`].
    pub fn spec_cells(self, spec: &Value) -> Vec<String> {
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
        fields.iter().map(|field| format_cell(spec.pointer(field))).collect()
    }
}

/// Formats a value as a table cell: `-` if missing or empty, list items separated by commas.
pub fn format_cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) if text.is_empty() => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(values)) if values.is_empty() => "-".to_owned(),
        Some(Value::Array(values)) => {
            values.iter().map(|value| format_cell(Some(value))).collect::<Vec<_>>().join(",")
        }
        Some(value) => value.to_string(),
    }
}
