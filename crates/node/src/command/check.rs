//! `parsleystage check`: validates a settings file and prints every finding.

use crate::{command::SettingsArgs, error::NodeError};

const USAGE: &str = "\
Check a settings file and print every finding.

Usage:
    parsleystage check --settings FILE
";

/// Runs the command. Fails with all findings if the settings are invalid.
pub fn run(parser: lexopt::Parser) -> Result<(), NodeError> {
    let Some(args) = SettingsArgs::parse(parser, USAGE)? else { return Ok(()) };
    let settings = args.load()?;
    println!("{}: valid settings of host {}", args.settings.display(), settings.name);
    Ok(())
}
