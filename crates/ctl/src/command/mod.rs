//! The subcommands of `parsleyctl`, one module each.

use crate::{
    error::CtlError,
    kind::ResourceKind,
    options::{CommonOptions, OptionMatch},
    resource_file::{NAME_RULE, is_name},
};

pub mod apply;
pub mod delete;
pub mod describe;
pub mod drain;
pub mod dump;
pub mod entry;
pub mod get;
pub mod status;
pub mod watch;

/// Parses the arguments of a command without options of its own. Returns `None` after `--help`.
fn common(parser: lexopt::Parser, usage: &str) -> Result<Option<CommonOptions>, CtlError> {
    CommonOptions::parse(parser, usage, |_, _| Ok(OptionMatch::Unknown))
}

/// Returns the path of a resource in the administration API.
///
/// Fails with [`CtlError::Usage`] if the name is not a valid resource name.
fn resource_path(kind: ResourceKind, name: &str) -> Result<String, CtlError> {
    if !is_name(name) {
        let text = format!("invalid name '{name}'; {NAME_RULE}");
        return Err(CtlError::Usage(text.into()));
    }
    Ok(format!("/admin/v1/{}/{name}", kind.path_segment()))
}
