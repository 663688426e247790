//! Command-line options shared by all commands, and their environment variables.

use std::{env, fs, path::PathBuf, time::Duration};

use lexopt::{Arg, ValueExt};

use crate::{
    client::{AdminClient, AdminClientBuilder},
    error::CtlError,
    output,
};

/// Timeout of each request if `--timeout` is not given; `--timeout 0` means one second.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Output format, set with `-o`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutputFormat {
    /// Aligned or tab-separated text for people.
    Table,
    /// JSON for scripts.
    Json,
}

/// The parsed common options and the operands of a command.
#[derive(Debug)]
pub struct CommonOptions {
    /// Output format; a table by default.
    pub format: OutputFormat,
    /// Arguments that are neither options nor option values, in order.
    pub operands: Vec<String>,
    servers: Vec<String>,
    token_file: Option<PathBuf>,
    ca: Option<PathBuf>,
    timeout: Duration,
}

/// Whether a command recognized an option that is not a common one.
pub enum OptionMatch {
    /// The command recognized the option and consumed its value.
    Recognized,
    /// The command has no such option.
    Unknown,
}

impl CommonOptions {
    /// Parses the arguments of a command. `parse_own` handles the options that are specific to the
    /// command. On `--help`, prints the usage and returns `None`.
    pub fn parse(
        mut parser: lexopt::Parser,
        usage: &str,
        mut parse_own: impl FnMut(&str, &mut lexopt::Parser) -> Result<OptionMatch, CtlError>,
    ) -> Result<Option<CommonOptions>, CtlError> {
        let mut options = CommonOptions {
            format: OutputFormat::Table,
            operands: Vec::new(),
            servers: Vec::new(),
            token_file: None,
            ca: None,
            timeout: DEFAULT_TIMEOUT,
        };
        while let Some(arg) = parser.next()? {
            let name = match arg {
                Arg::Value(value) => {
                    options.operands.push(value.string()?);
                    continue;
                }
                Arg::Long(name) => format!("--{name}"),
                Arg::Short(name) => format!("-{name}"),
            };
            match name.as_str() {
                "--help" | "-h" => {
                    output::text(usage)?;
                    return Ok(None);
                }
                "--server" => options.servers.push(parser.value()?.string()?),
                "--token-file" => options.token_file = Some(parser.value()?.into()),
                "--ca" => options.ca = Some(parser.value()?.into()),
                "--timeout" => {
                    let seconds: u32 = parser.value()?.parse()?;
                    options.timeout = Duration::from_secs(seconds.max(1).into());
                }
                "-o" | "--output" => options.format = parse_format(&parser.value()?.string()?)?,
                _ => {
                    if let OptionMatch::Unknown = parse_own(&name, &mut parser)? {
                        let text = format!("unknown option '{name}'; see --help");
                        return Err(CtlError::Usage(text.into()));
                    }
                }
            }
        }
        Ok(Some(options))
    }

    /// Returns the operands, or fails with the usage text if their number is not `N`.
    pub fn expect_operands<const N: usize>(&self, usage: &str) -> Result<[&str; N], CtlError> {
        let operands: Vec<_> = self.operands.iter().map(String::as_str).collect();
        operands.try_into().map_err(|_| CtlError::Usage(usage.into()))
    }

    /// Builds a client from the options; environment variables replace options that were not given.
    ///
    /// Fails if no server is given, if a server address is malformed, or if the token or CA file
    /// cannot be read.
    pub fn client(&self) -> Result<AdminClient, CtlError> {
        let mut builder = AdminClientBuilder::new(self.timeout);
        for server in self.servers()? {
            builder = builder.server(&server);
        }
        if let Some(token) = self.token()? {
            builder = builder.token(&token);
        }
        if let Some(path) =
            self.ca.clone().or_else(|| env_variable("PARSLEY_CA").map(PathBuf::from))
        {
            builder = builder.ca(&path)?;
        }
        builder.build()
    }

    fn servers(&self) -> Result<Vec<String>, CtlError> {
        if !self.servers.is_empty() {
            return Ok(self.servers.clone());
        }
        let Some(text) = env_variable("PARSLEY_SERVER") else {
            let text = "no server address given; use --server or PARSLEY_SERVER";
            return Err(CtlError::Usage(text.into()));
        };
        Ok(text.split(',').map(|server| server.trim().to_owned()).collect())
    }

    fn token(&self) -> Result<Option<String>, CtlError> {
        let option = self.token_file.clone();
        let Some(path) = option.or_else(|| env_variable("PARSLEY_TOKEN_FILE").map(PathBuf::from))
        else {
            return Ok(env_variable("PARSLEY_TOKEN"));
        };
        let text = fs::read_to_string(&path).map_err(|err| CtlError::ReadFile(path, err))?;
        Ok(Some(text.trim().to_owned()))
    }
}

/// Reads an environment variable; an empty one counts as unset.
fn env_variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|text| !text.is_empty())
}

fn parse_format(text: &str) -> Result<OutputFormat, CtlError> {
    match text {
        "table" => Ok(OutputFormat::Table),
        "json" => Ok(OutputFormat::Json),
        _ => Err(CtlError::Usage(
            format!("unknown output format '{text}'; use table or json").into(),
        )),
    }
}
