//! Options that every command has.

use std::{env, fs, path::PathBuf, time::Duration};

use lexopt::{Arg, ValueExt};

use crate::{
    client::{Client, ClientBuilder},
    error::CtlError,
    output,
};

/// Time for each answer.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutputForm {
    /// Columns of text.
    Table,
    /// JSON.
    Json,
}

/// The options of every command and the operands.
#[derive(Debug)]
pub struct CommonOptions {
    /// Form of the output.
    pub form: OutputForm,
    /// Operands in their order.
    pub operands: Vec<String>,
    servers: Vec<String>,
    token_file: Option<PathBuf>,
    ca: Option<PathBuf>,
    timeout: Duration,
}

/// Whether a command's own options took an argument.
pub enum Taken {
    /// It was an option of the command.
    Yes,
    /// It was not.
    No,
}

impl CommonOptions {
    /// Reads the arguments. `take` reads the options that only this command has. Returns `None`
    /// after the usage was printed on `--help`.
    pub fn parse(
        mut parser: lexopt::Parser,
        usage: &str,
        mut take: impl FnMut(&str, &mut lexopt::Parser) -> Result<Taken, CtlError>,
    ) -> Result<Option<CommonOptions>, CtlError> {
        let mut options = CommonOptions {
            form: OutputForm::Table,
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
                "-o" | "--output" => options.form = form(&parser.value()?.string()?)?,
                _ => {
                    if let Taken::No = take(&name, &mut parser)? {
                        let text = format!("unknown option '{name}'; see --help");
                        return Err(CtlError::Usage(text.into()));
                    }
                }
            }
        }
        Ok(Some(options))
    }

    /// The operands, if there are exactly as many.
    pub fn exactly<const N: usize>(&self, usage: &str) -> Result<[&str; N], CtlError> {
        let operands: Vec<_> = self.operands.iter().map(String::as_str).collect();
        operands.try_into().map_err(|_| CtlError::Usage(usage.into()))
    }

    /// The client that the options describe.
    pub fn client(&self) -> Result<Client, CtlError> {
        let mut builder = ClientBuilder::new(self.timeout);
        for server in self.servers()? {
            builder = builder.server(&server);
        }
        if let Some(token) = self.token()? {
            builder = builder.token(&token);
        }
        if let Some(path) = self.ca.clone().or_else(|| variable("PARSLEY_CA").map(PathBuf::from)) {
            builder = builder.ca(&path)?;
        }
        builder.build()
    }

    fn servers(&self) -> Result<Vec<String>, CtlError> {
        if !self.servers.is_empty() {
            return Ok(self.servers.clone());
        }
        let Some(text) = variable("PARSLEY_SERVER") else {
            let text = "no host to ask; use --server or PARSLEY_SERVER";
            return Err(CtlError::Usage(text.into()));
        };
        Ok(text.split(',').map(|one| one.trim().to_owned()).collect())
    }

    fn token(&self) -> Result<Option<String>, CtlError> {
        let named = self.token_file.clone();
        let Some(path) = named.or_else(|| variable("PARSLEY_TOKEN_FILE").map(PathBuf::from)) else {
            return Ok(variable("PARSLEY_TOKEN"));
        };
        let text = fs::read_to_string(&path).map_err(|err| CtlError::Read(path, err))?;
        Ok(Some(text.trim().to_owned()))
    }
}

fn variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|text| !text.is_empty())
}

fn form(text: &str) -> Result<OutputForm, CtlError> {
    match text {
        "table" => Ok(OutputForm::Table),
        "json" => Ok(OutputForm::Json),
        _ => Err(CtlError::Usage(format!("unknown form '{text}'; use table or json").into())),
    }
}
