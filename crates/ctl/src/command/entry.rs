//! `parsleyctl entry`: shows the addresses that callers are told to use.

use lexopt::ValueExt;

use crate::{
    error::CtlError,
    kind::cell,
    options::{CommonOptions, OutputForm, Taken},
    output,
};

const USAGE: &str = "\
Show the addresses that callers are told to use, in their order.

Usage:
    parsleyctl entry [options]

Options of every command: parsleyctl --help.

Options:
    --failure-domain NAME    Ask as a caller in this failure domain.

Example:
    parsleyctl entry --failure-domain north-1
";

/// Runs the command.
pub fn run(parser: lexopt::Parser) -> Result<(), CtlError> {
    let mut domain = None;
    let options = CommonOptions::parse(parser, USAGE, |name, parser| match name {
        "--failure-domain" => {
            domain = Some(parser.value()?.string()?);
            Ok(Taken::Yes)
        }
        _ => Ok(Taken::No),
    })?;
    let Some(options) = options else { return Ok(()) };
    let [] = options.exactly(USAGE)?;
    let path = match domain {
        Some(domain) if crate::resource_file::is_name(&domain) => {
            format!("/v1/entry?failure_domain={domain}")
        }
        Some(domain) => {
            return Err(CtlError::Usage(format!("'{domain}' is not a failure domain").into()));
        }
        None => "/v1/entry".to_owned(),
    };
    let answer = options.client()?.get(&path)?;
    if options.form == OutputForm::Json {
        return output::json(&answer);
    }
    let addresses = answer["addresses"].as_array().into_iter().flatten();
    let lines: String = addresses.map(|one| format!("{}\n", cell(Some(one)))).collect();
    output::text(&lines)
}
