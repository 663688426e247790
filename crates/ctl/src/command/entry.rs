//! `parsleyctl entry`: lists the entry addresses that hosts hand out to callers.

use lexopt::ValueExt;

use crate::{
    error::CtlError,
    kind::format_cell,
    options::{CommonOptions, OptionMatch, OutputFormat},
    output,
    resource_file::{NAME_RULE, is_name},
};

const USAGE: &str = "\
List the host addresses that callers should connect to, in order of preference.

Usage:
    parsleyctl entry [options]

Options of every command: parsleyctl --help.

Options:
    --failure-domain NAME    List the addresses for a caller in this failure domain.

Example:
    parsleyctl entry --failure-domain north-1
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let mut domain = None;
    let options = CommonOptions::parse(parser, USAGE, |name, parser| match name {
        "--failure-domain" => {
            domain = Some(parser.value()?.string()?);
            Ok(OptionMatch::Recognized)
        }
        _ => Ok(OptionMatch::Unknown),
    })?;
    let Some(options) = options else { return Ok(()) };
    let [] = options.expect_operands(USAGE)?;
    let path = match domain {
        Some(domain) if is_name(&domain) => {
            format!("/v1/entry?failure_domain={domain}")
        }
        Some(domain) => {
            let text = format!("invalid failure domain '{domain}'; {NAME_RULE}");
            return Err(CtlError::Usage(text.into()));
        }
        None => "/v1/entry".to_owned(),
    };
    let answer = options.client()?.get(&path)?;
    if options.format == OutputFormat::Json {
        return output::json(&answer);
    }
    let addresses = answer["addresses"].as_array().into_iter().flatten();
    let lines: String =
        addresses.map(|address| format!("{}\n", format_cell(Some(address)))).collect();
    output::text(&lines)
}
