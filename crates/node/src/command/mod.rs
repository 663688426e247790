//! The commands of `parsleystage`, one file each.

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use parsley_core::{
    document,
    settings::{self, HostSettings},
};

use crate::error::NodeError;

pub mod check;
pub mod serve;

/// Arguments of a command that works on a settings file.
pub struct SettingsArgs {
    /// Path of the settings file.
    pub settings: PathBuf,
}

impl SettingsArgs {
    /// Reads the arguments. Returns `None` after it printed the usage on `--help`.
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

    /// Reads the settings file.
    pub fn load(&self) -> Result<HostSettings, NodeError> {
        let text = std::fs::read_to_string(&self.settings)
            .map_err(|err| NodeError::Read(self.settings.clone(), err))?;
        settings::parse(&text).map_err(|findings| {
            let file = self.settings.display().to_string();
            NodeError::Settings(document::render_findings(&file, &findings).into())
        })
    }
}

/// Reads the name of the command; the parser is left at its arguments. `Err` after the usage or the
/// version was printed. A wrong word gives an empty name.
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

/// The error of a wrong command line.
pub fn usage_error(usage: &str) -> NodeError {
    NodeError::Usage(Arc::from(usage))
}

/// Prints the error, if any: 0 done, 1 failed, 2 wrong use or input.
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
