//! The commands of `parsleystage`, one module each, and their command line handling.

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use parsley_core::{
    document,
    settings::{self, HostSettings},
};

use crate::error::NodeError;

pub mod check;
pub mod serve;

/// Arguments of a command that takes a settings file.
pub struct SettingsArgs {
    /// Path of the settings file, from `--settings`.
    pub settings: PathBuf,
}

impl SettingsArgs {
    /// Parses the arguments. Returns `None` if `--help` was given and the usage was printed.
    pub fn parse(
        mut parser: lexopt::Parser,
        usage: &str,
    ) -> Result<Option<SettingsArgs>, NodeError> {
        let mut settings = None;
        while let Some(arg) = parser.next()? {
            match arg {
                lexopt::Arg::Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
                lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
                    print!("{usage}");
                    return Ok(None);
                }
                other => return Err(other.unexpected().into()),
            }
        }
        let Some(settings) = settings else { return Err(usage_error(usage)) };
        Ok(Some(SettingsArgs { settings }))
    }

    /// Reads and validates the settings file.
    pub fn load(&self) -> Result<HostSettings, NodeError> {
        let text = std::fs::read_to_string(&self.settings)
            .map_err(|err| NodeError::Read(self.settings.clone(), err))?;
        settings::parse(&text).map_err(|findings| {
            let file = self.settings.display().to_string();
            NodeError::Settings(document::render_findings(&file, &findings).into())
        })
    }
}

/// Parses the name of the command and returns it with the parser positioned at its arguments.
///
/// Returns an empty name if the first argument is missing or is an unknown option, and `Err` with
/// the exit code after `--help` or `--version` printed its text.
pub fn parse_command_name(
    program: &str,
    usage: &str,
) -> Result<(String, lexopt::Parser), ExitCode> {
    let mut parser = lexopt::Parser::from_env();
    let name = match parser.next() {
        Ok(Some(lexopt::Arg::Value(name))) => name.to_string_lossy().into_owned(),
        Ok(Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V'))) => {
            println!("{program} {}", env!("CARGO_PKG_VERSION"));
            return Err(ExitCode::SUCCESS);
        }
        Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
            print!("{usage}");
            return Err(ExitCode::SUCCESS);
        }
        _ => String::new(),
    };
    Ok((name, parser))
}

/// Returns the error for an invalid command line, which prints `usage`.
pub fn usage_error(usage: &str) -> NodeError {
    NodeError::Usage(Arc::from(usage))
}

/// Prints the error, if any, and returns the exit code: 0 for success, 1 for a failure, 2 for
/// invalid arguments, settings or input files.
pub fn exit_code(result: Result<(), NodeError>) -> ExitCode {
    let Err(err) = result else { return ExitCode::SUCCESS };
    eprintln!("{err}");
    match err {
        NodeError::Usage(_)
        | NodeError::Settings(_)
        | NodeError::Arguments(_)
        | NodeError::Read(..) => ExitCode::from(2),
        _ => ExitCode::FAILURE,
    }
}
