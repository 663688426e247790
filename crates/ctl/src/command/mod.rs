//! The commands of `parsleyctl`, one file each.

use crate::{
    error::CtlError,
    options::{CommonOptions, Taken},
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

/// Reads the arguments of a command that has only the common options.
fn common(parser: lexopt::Parser, usage: &str) -> Result<Option<CommonOptions>, CtlError> {
    CommonOptions::parse(parser, usage, |_, _| Ok(Taken::No))
}

/// The path of a resource in the administration API, if the name can be one.
fn resource_path(kind: crate::kind::ResourceKind, name: &str) -> Result<String, CtlError> {
    if !crate::resource_file::is_name(name) {
        let text = format!("'{name}' is not a name; use lower-case letters, digits, '-' and '.'");
        return Err(CtlError::Usage(text.into()));
    }
    Ok(format!("/admin/v1/{}/{name}", kind.segment()))
}
